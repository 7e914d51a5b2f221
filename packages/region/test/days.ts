import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { readDay, Region, type Day, type DayResult, type RegionOptions, type Trouble } from '../src/index.js';

export const dayText = (name: string): string =>
  readFileSync(join(process.cwd(), 'packages/region/days', `${name}.toml`), 'utf8');

export const shippedDay = (name: string): Day => readDay(dayText(name), `${name}.toml`);

/** The quiet day's fleet on a shorter day of ours. */
export const shortDay = (durationS: number, troubles: readonly Trouble[], seed = 7): Day => ({
  ...shippedDay('quiet'),
  name: 'short',
  seed,
  duration_s: durationS,
  quiet_end_s: 0,
  troubles: [...troubles],
});

/** One-task jobs come four a second for minutes, a quarter of them cancelled, beside little else. */
export const swarmDay = (durationS: number, troubles: readonly Trouble[], seed = 7): Day => {
  const day = shortDay(durationS, troubles, seed);
  const one = { sizes: [1], weights: [1] };
  const often = { per_minute: 240, cancel_share: 0.25, cancel_within_s: 12 };
  return {
    ...day,
    classes: day.classes.map((c) =>
      c.name === 'letters' ? { ...c, ...often, tasks: one, run_s: { median: 6, p95: 10, max: 12 }, initial: 0 } : c,
    ),
  };
};

/** For 70 s every controller is cut off from everything, and packets come late. */
export const cutOffNight = (seed: number): Day => ({
  ...shippedDay('night'),
  seed,
  duration_s: 125,
  quiet_end_s: 0,
  troubles: [{ kind: 'controller_cut', at_s: 50, for_s: 70, controller: 'all', from: 'all', manner: 'hold' }],
});

export async function played(day: Day, options: Omit<RegionOptions, 'day'> = {}): Promise<DayResult> {
  const region = new Region({ day, ...options });
  await region.play();
  return region.close();
}

/** What somebody does at a moment of a day, in seconds. */
export type Act = readonly [atS: number, act: (region: Region) => void];

/** Plays a day to its end, with what is done at moments of it; the region is still open. */
export async function playedThrough(options: RegionOptions, acts: readonly Act[] = []): Promise<Region> {
  const region = new Region(options);
  for (const [atS, act] of acts) {
    await region.play(atS);
    act(region);
  }
  await region.play();
  return region;
}
