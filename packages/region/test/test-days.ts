import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import {
  parseScenario,
  Region,
  type SimulationScenario,
  type DayResult,
  type RegionOptions,
  type Fault,
} from '../src/index.js';

/** Reads the TOML text of a day in packages/region/days. */
export const dayText = (name: string): string =>
  readFileSync(join(process.cwd(), 'packages/region/days', `${name}.toml`), 'utf8');

/** Reads and validates a day in packages/region/days. */
export const shippedDay = (name: string): SimulationScenario => parseScenario(dayText(name), `${name}.toml`);

/** The fleet and job classes of the day `quiet`, with another duration and these faults. */
export const shortDay = (durationS: number, faults: readonly Fault[], seed = 7): SimulationScenario => ({
  ...shippedDay('quiet'),
  name: 'short',
  seed,
  duration_s: durationS,
  quiet_end_s: 0,
  troubles: [...faults],
});

/** A day on which four one-task jobs arrive per second, a quarter of which are cancelled, and little else. */
export const highArrivalRateDay = (durationS: number, faults: readonly Fault[], seed = 7): SimulationScenario => {
  const day = shortDay(durationS, faults, seed);
  const oneTask = { sizes: [1], weights: [1] };
  const arrivals = { per_minute: 240, cancel_share: 0.25, cancel_within_s: 12 };
  return {
    ...day,
    classes: day.classes.map((c) =>
      c.name === 'letters'
        ? { ...c, ...arrivals, tasks: oneTask, run_s: { median: 6, p95: 10, max: 12 }, initial: 0 }
        : c,
    ),
  };
};

/** A night in which every controller is cut off from all hosts for 70 s; packets are held and delivered afterwards. */
export const isolatedControllersNight = (seed: number): SimulationScenario => ({
  ...shippedDay('night'),
  seed,
  duration_s: 125,
  quiet_end_s: 0,
  troubles: [{ kind: 'controller_cut', at_s: 50, for_s: 70, controller: 'all', from: 'all', manner: 'hold' }],
});

/** Simulates a whole day and returns its result. */
export async function playDay(day: SimulationScenario, options: Omit<RegionOptions, 'day'> = {}): Promise<DayResult> {
  const region = new Region({ day, ...options });
  await region.play();
  return region.close();
}

/** An action on the region at a moment of the day, in seconds. */
export type TimedAction = readonly [atS: number, action: (region: Region) => void];

/** Simulates a day to its end with actions at given moments. The caller closes the region. */
export async function playWithActions(options: RegionOptions, actions: readonly TimedAction[] = []): Promise<Region> {
  const region = new Region(options);
  for (const [atS, action] of actions) {
    await region.play(atS);
    action(region);
  }
  await region.play();
  return region;
}
