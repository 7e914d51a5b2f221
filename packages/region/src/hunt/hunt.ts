import { stringify } from 'smol-toml';
import { readDay, type Day, type Trouble } from '../day/index.js';
import { Region, type DayResult } from '../region.js';
import { THIS, type Releases } from '../releases/index.js';
import { Luck } from '../sim/index.js';

const MOST_TROUBLES = 9;
const FIRST_AT_S = 20;

/** The same day with other troubles and another seed. */
const withTroubles = (day: Day, troubles: readonly Trouble[], seed: number): Day => ({
  ...day,
  seed,
  troubles: [...troubles],
});

/** One trouble of any kind, somewhere between the day's first seconds and its quiet end. */
export function drawTrouble(luck: Luck, day: Day): Trouble {
  const last = day.duration_s - day.quiet_end_s;
  const at_s = Math.floor(luck.between(FIRST_AT_S, Math.max(FIRST_AT_S + 1, last)));
  const for_s = Math.round(luck.spread({ median: 12, p95: 45, max: 70 }) * 10) / 10;
  const share = Math.round(luck.between(0.05, 0.5) * 100) / 100;
  const manner = luck.chance(0.6) ? 'hold' : 'reset';
  const controller = luck.chance(0.25) ? (luck.chance(0.5) ? 'leader' : 'all') : luck.whole(day.controllers.count);
  const jobClass = luck.pick(day.classes)?.name ?? '';
  const zone = luck.pick(day.zones) ?? '';
  const from =
    luck.pick(['all', 'state', 'workers', 'controllers', 'users', 'state and controllers'] as const) ?? 'all';
  const moment = luck.pick([0.05, 0.2, 0.9]) ?? 0.2;
  const kinds: readonly Trouble[] = [
    { kind: 'burst', at_s, for_s, class: jobClass, times: 4 },
    { kind: 'machines_die', at_s, share },
    { kind: 'machines_hang', at_s, for_s, share },
    { kind: 'machines_cut', at_s, for_s, share, manner },
    { kind: 'machines_fail_tasks', at_s, for_s, share },
    { kind: 'machines_slow', at_s, for_s, share, times: 4 },
    { kind: 'machines_deaf', at_s, for_s, share },
    { kind: 'machines_mute', at_s, for_s, share },
    { kind: 'commands_held', at_s, for_s, share },
    { kind: 'machines_restart', at_s, share, down_s: moment },
    { kind: 'reports_again', at_s, for_s, share, late_s: for_s },
    { kind: 'reports_again', at_s, for_s, share, for_next: true },
    { kind: 'spot_wave', at_s, share, notice: luck.chance(0.7) },
    { kind: 'controller_crash', at_s, controller, down_s: for_s },
    { kind: 'controller_crash', at_s, controller, down_s: moment },
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
    { kind: 'cancel_now', at_s, count: 12, ...(luck.chance(0.6) ? { hang_s: for_s } : {}) },
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
  return luck.pick(kinds) ?? { kind: 'watch_forgets', at_s };
}

/** A schedule of troubles, by seed alone. */
export function drawSchedule(seed: number, day: Day): Trouble[] {
  const luck = new Luck(seed, 'schedule');
  const count = 1 + luck.whole(MOST_TROUBLES);
  return Array.from({ length: count }, () => drawTrouble(luck, day)).sort((a, b) => a.at_s - b.at_s);
}

/**
 * A day that begins with controllers of an earlier release, of this one, or of both, and replaces them once or twice
 * while its troubles are on; by seed alone.
 */
export function mixReleases(seed: number, day: Day, old: string): Day {
  const luck = new Luck(seed, 'releases');
  const { count } = day.controllers;
  const either = (): string => (luck.chance(0.5) ? old : THIS);
  const last = day.duration_s - day.quiet_end_s;
  const rolls = Array.from({ length: 1 + luck.whole(2) }, (): Trouble => ({
    kind: 'rollout',
    at_s: Math.floor(luck.between(FIRST_AT_S, Math.max(FIRST_AT_S + 1, last * 0.8))),
    gap_s: Math.round(luck.between(3, 25) * 10) / 10,
    to: either(),
    order: luck.some(
      Array.from({ length: count }, (_, i) => i),
      1 + luck.whole(count),
    ),
    leave: luck.chance(0.4),
  }));
  const troubles = [...day.troubles, ...rolls].sort((a, b) => a.at_s - b.at_s);
  return {
    ...day,
    troubles,
    controllers: { ...day.controllers, releases: Array.from({ length: count }, either) },
  };
}

/** Plays a day to its end, or until the first rule breaks. */
export async function playOnce(day: Day, releases?: Releases): Promise<DayResult> {
  let broken = false;
  const region = new Region({ day, ...(releases ? { releases } : {}), broken: () => (broken = true) });
  await region.play(day.duration_s, { stop: () => broken });
  return region.close();
}

/**
 * Takes away whatever isn't needed for `breaks` to hold: halves of the schedule first, then single
 * troubles, until none can go.
 */
export async function shrink(
  troubles: readonly Trouble[],
  breaks: (troubles: readonly Trouble[]) => Promise<boolean>,
): Promise<readonly Trouble[]> {
  let left = troubles;
  for (let size = Math.max(1, Math.floor(left.length / 2)); ;) {
    let shorter: readonly Trouble[] | null = null;
    for (let at = 0; at < left.length && !shorter; at += size) {
      const tried = [...left.slice(0, at), ...left.slice(at + size)];
      if (await breaks(tried)) shorter = tried;
    }
    if (shorter) {
      left = shorter;
      size = Math.max(1, Math.min(size, Math.floor(left.length / 2)));
    } else if (size > 1) size = Math.floor(size / 2);
    else return left;
    if (left.length === 0) return left;
  }
}

export interface HuntOptions {
  readonly seed: number;
  readonly goOn: () => boolean;
  readonly told: (line: string) => void;
  /** The day's own troubles stay, beside those that are drawn. */
  readonly keep?: boolean;
  /** Controllers of this earlier release take part. */
  readonly mixed?: string;
  readonly releases?: Releases;
}

/** A day fails by a rule, by a defect, or because a class, a team or a class's largest jobs were not served. */
const guilty = (result: DayResult): boolean =>
  result.breaches.length + result.defects.length + result.failures.length > 0;

/** Plays schedule after schedule; null when the time is over and no rule was broken. */
export async function hunt(
  day: Day,
  { seed, goOn, told, keep, mixed, releases }: HuntOptions,
): Promise<{ readonly day: Day; readonly first: DayResult } | null> {
  for (let at = seed; goOn(); at++) {
    const own = keep === true ? day.troubles : [];
    const schedule = [...own, ...drawSchedule(at, day)].sort((a, b) => a.at_s - b.at_s);
    const drawn = withTroubles(day, schedule, at);
    const whole = mixed === undefined ? drawn : mixReleases(at, drawn, mixed);
    const { troubles } = whole;
    const first = await playOnce(whole, releases);
    const what = first.breaches[0]?.rule ?? (first.defects.length > 0 ? 'a defect' : (first.failures[0] ?? null));
    told(`seed ${at}: ${troubles.length} troubles, ${what ?? 'every rule kept'}, ${first.open.length} jobs open`);
    if (!guilty(first)) continue;
    told(`seed ${at}: shrinking`);
    const fewest = await shrink(troubles, async (tried) =>
      guilty(await playOnce(withTroubles(whole, tried, at), releases)),
    );
    return { day: withTroubles(whole, fewest, at), first };
  }
  return null;
}

/** A day as TOML, such as `readDay` reads. */
export function writeDay(day: Day): string {
  const toml = stringify(JSON.parse(JSON.stringify(day)));
  readDay(toml, 'the day as written');
  return toml;
}
