/** Randomized fault injection: draws fault schedules, runs them, and shrinks a schedule that fails. */
import { stringify } from 'smol-toml';
import { parseScenario, type SimulationScenario, type Fault } from '../scenario/index.js';
import { Region, type DayResult } from '../region.js';
import { CURRENT_RELEASE, type ReleaseCatalog } from '../releases/index.js';
import { RandomStream } from '../sim/index.js';

const MAX_FAULTS = 9;
const FIRST_FAULT_AT_S = 20;

/** Returns the scenario with other faults and another seed. */
const withFaults = (day: SimulationScenario, faults: readonly Fault[], seed: number): SimulationScenario => ({
  ...day,
  seed,
  troubles: [...faults],
});

/** Draws one fault of any kind, which starts between 20 s and the scenario's quiet end. */
export function drawFault(random: RandomStream, day: SimulationScenario): Fault {
  const latestStartS = day.duration_s - day.quiet_end_s;
  const at_s = Math.floor(random.uniform(FIRST_FAULT_AT_S, Math.max(FIRST_FAULT_AT_S + 1, latestStartS)));
  const for_s = Math.round(random.logNormal({ median: 12, p95: 45, max: 70 }) * 10) / 10;
  const share = Math.round(random.uniform(0.05, 0.5) * 100) / 100;
  const manner = random.chance(0.6) ? 'hold' : 'reset';
  const controller = random.chance(0.25)
    ? random.chance(0.5)
      ? 'leader'
      : 'all'
    : random.integerBelow(day.controllers.count);
  const jobClass = random.pickOne(day.classes)?.name ?? '';
  const zone = random.pickOne(day.zones) ?? '';
  const from =
    random.pickOne(['all', 'state', 'workers', 'controllers', 'users', 'state and controllers'] as const) ?? 'all';
  const shortDowntimeS = random.pickOne([0.05, 0.2, 0.9]) ?? 0.2;
  const candidates: readonly Fault[] = [
    { kind: 'burst', at_s, for_s, class: jobClass, times: 4 },
    { kind: 'machines_die', at_s, share },
    { kind: 'machines_hang', at_s, for_s, share },
    { kind: 'machines_cut', at_s, for_s, share, manner },
    { kind: 'machines_fail_tasks', at_s, for_s, share },
    { kind: 'machines_slow', at_s, for_s, share, times: 4 },
    { kind: 'machines_deaf', at_s, for_s, share },
    { kind: 'machines_mute', at_s, for_s, share },
    { kind: 'commands_held', at_s, for_s, share },
    { kind: 'machines_restart', at_s, share, down_s: shortDowntimeS },
    { kind: 'reports_again', at_s, for_s, share, late_s: for_s },
    { kind: 'reports_again', at_s, for_s, share, for_next: true },
    { kind: 'commands_again', at_s, for_s, share, late_s: [0.1, for_s] },
    { kind: 'commands_again', at_s, for_s, share, for_next: true },
    { kind: 'writes_again', at_s, for_s, share, late_s: [0.1, for_s] },
    { kind: 'spot_wave', at_s, share, notice: random.chance(0.7) },
    { kind: 'controller_crash', at_s, controller, down_s: for_s },
    { kind: 'controller_crash', at_s, controller, down_s: shortDowntimeS },
    { kind: 'controller_pause', at_s, for_s, controller },
    { kind: 'controller_cut', at_s, for_s, controller, from, manner },
    { kind: 'controller_cut', at_s, for_s, controller, from, manner },
    { kind: 'controller_refused', at_s, for_s, controller },
    { kind: 'rolling_restart', at_s, gap_s: Math.max(1, for_s / 3) },
    { kind: 'peers_refuse', at_s, for_s },
    { kind: 'state_outage', at_s, for_s },
    { kind: 'state_slow', at_s, for_s, times: 20 },
    { kind: 'late_writes', at_s, for_s, share: Math.min(0.3, share) },
    { kind: 'late_writes', at_s, for_s, share: Math.min(0.3, share), at_once: true },
    { kind: 'answers_held', at_s, for_s, share },
    { kind: 'cancel_now', at_s, count: 12, ...(random.chance(0.6) ? { hang_s: for_s } : {}) },
    { kind: 'cancel_at_end', at_s, for_s, share },
    { kind: 'odd_requests', at_s, for_s },
    { kind: 'close_looks', at_s, for_s },
    { kind: 'boots_at_once', at_s, for_s },
    { kind: 'watch_forgets', at_s },
    { kind: 'cloud_outage', at_s, for_s },
    { kind: 'capacity_drop', at_s, for_s, share },
    { kind: 'boots_late', at_s, for_s, times: 3 },
    { kind: 'boots_never', at_s, for_s, share },
    { kind: 'zone_cut', at_s, for_s, zone, manner },
  ];
  return random.pickOne(candidates) ?? { kind: 'watch_forgets', at_s };
}

/** Draws a schedule of 1 to 9 faults, which depends on the seed and the scenario alone. */
export function drawFaultSchedule(seed: number, day: SimulationScenario): Fault[] {
  const random = new RandomStream(seed, 'schedule');
  const count = 1 + random.integerBelow(MAX_FAULTS);
  return Array.from({ length: count }, () => drawFault(random, day)).sort((a, b) => a.at_s - b.at_s);
}

/**
 * Returns the scenario with controllers that start as an earlier release, as the present one, or as a mix of both, and
 * with one or two rollouts beside its faults. The draw depends on the seed alone.
 */
export function drawReleaseMix(seed: number, day: SimulationScenario, olderRelease: string): SimulationScenario {
  const random = new RandomStream(seed, 'releases');
  const { count } = day.controllers;
  const drawRelease = (): string => (random.chance(0.5) ? olderRelease : CURRENT_RELEASE);
  const latestStartS = day.duration_s - day.quiet_end_s;
  const rollouts = Array.from({ length: 1 + random.integerBelow(2) }, (): Fault => ({
    kind: 'rollout',
    at_s: Math.floor(random.uniform(FIRST_FAULT_AT_S, Math.max(FIRST_FAULT_AT_S + 1, latestStartS * 0.8))),
    gap_s: Math.round(random.uniform(3, 25) * 10) / 10,
    to: drawRelease(),
    order: random.sample(
      Array.from({ length: count }, (_, i) => i),
      1 + random.integerBelow(count),
    ),
    leave: random.chance(0.4),
  }));
  const faults = [...day.troubles, ...rollouts].sort((a, b) => a.at_s - b.at_s);
  return {
    ...day,
    troubles: faults,
    controllers: { ...day.controllers, releases: Array.from({ length: count }, drawRelease) },
  };
}

/** Runs a scenario to its end or to the first violation of a rule. */
export async function runUntilViolation(day: SimulationScenario, releases?: ReleaseCatalog): Promise<DayResult> {
  let violated = false;
  const region = new Region({ day, ...(releases ? { releases } : {}), broken: () => (violated = true) });
  await region.play(day.duration_s, { stop: () => violated });
  return region.close();
}

/**
 * Shrinks a fault schedule that fails: removes halves of it first, then single faults, as long as `stillFails` holds,
 * until no fault can be removed.
 */
export async function shrink(
  faults: readonly Fault[],
  stillFails: (faults: readonly Fault[]) => Promise<boolean>,
): Promise<readonly Fault[]> {
  let remaining = faults;
  for (let size = Math.max(1, Math.floor(remaining.length / 2)); ;) {
    let shortened: readonly Fault[] | null = null;
    for (let at = 0; at < remaining.length && !shortened; at += size) {
      const candidate = [...remaining.slice(0, at), ...remaining.slice(at + size)];
      if (await stillFails(candidate)) shortened = candidate;
    }
    if (shortened) {
      remaining = shortened;
      size = Math.max(1, Math.min(size, Math.floor(remaining.length / 2)));
    } else if (size > 1) size = Math.floor(size / 2);
    else return remaining;
    if (remaining.length === 0) return remaining;
  }
}

/** Options of a search for failing fault schedules. */
export interface FaultSearchOptions {
  /** Seed of the first schedule; each further schedule uses the next one. */
  readonly seed: number;
  /** Called before each run; false ends the search. */
  readonly shouldContinue: () => boolean;
  /** Receives one line of progress at a time. */
  readonly told: (line: string) => void;
  /** Keeps the scenario's own faults beside the drawn ones. */
  readonly keep?: boolean;
  /** Name of an earlier release whose controllers take part. */
  readonly mixed?: string;
  readonly releases?: ReleaseCatalog;
}

/** A run fails by a violated rule, an uncaught error, or because a class, a team or a class's largest jobs were not served. */
const hasFailed = (result: DayResult): boolean =>
  result.breaches.length + result.defects.length + result.failures.length > 0;

/** Runs drawn fault schedules until one fails, and shrinks it; returns null if the search ends without a failure. */
export async function searchForFailure(
  day: SimulationScenario,
  { seed, shouldContinue, told, keep, mixed, releases }: FaultSearchOptions,
): Promise<{ readonly day: SimulationScenario; readonly first: DayResult } | null> {
  for (let currentSeed = seed; shouldContinue(); currentSeed++) {
    const ownFaults = keep === true ? day.troubles : [];
    const schedule = [...ownFaults, ...drawFaultSchedule(currentSeed, day)].sort((a, b) => a.at_s - b.at_s);
    const drawn = withFaults(day, schedule, currentSeed);
    const scenario = mixed === undefined ? drawn : drawReleaseMix(currentSeed, drawn, mixed);
    const { troubles } = scenario;
    const first = await runUntilViolation(scenario, releases);
    const failure =
      first.breaches[0]?.rule ?? (first.defects.length > 0 ? 'an uncaught error' : (first.failures[0] ?? null));
    told(
      `seed ${currentSeed}: ${troubles.length} faults, ${failure ?? 'no failure'}, ${first.open.length} unfinished jobs`,
    );
    if (!hasFailed(first)) continue;
    told(`seed ${currentSeed}: shrinking the fault schedule`);
    const minimal = await shrink(troubles, async (candidate) =>
      hasFailed(await runUntilViolation(withFaults(scenario, candidate, currentSeed), releases)),
    );
    return { day: withFaults(scenario, minimal, currentSeed), first };
  }
  return null;
}

/** Formats a scenario as TOML and checks that it can be parsed again. */
export function formatScenario(day: SimulationScenario): string {
  const toml = stringify(JSON.parse(JSON.stringify(day)));
  parseScenario(toml, 'formatted scenario');
  return toml;
}
