import { decodeShard } from '../../../../src/membership/index.js';
import { isObject } from '../../../../src/kernel/index.js';
import { Region, type RegionOptions } from '../region.js';
import { THIS } from '../releases/index.js';
import { fleetDay } from './fleet.js';

export interface RollOptions {
  readonly machines: number;
  readonly seed: number;
  /** What all controllers begin as, and what they are replaced by. */
  readonly from: string;
  readonly to: string;
  readonly leave: boolean;
  readonly releases?: RegionOptions['releases'];
  readonly atS?: number;
  readonly gapS?: number;
  readonly watchS?: number;
}

export interface Roll extends Pick<RollOptions, 'machines' | 'seed' | 'from' | 'to' | 'leave'> {
  /** Seconds in which nobody alive held it, of the shard that was longest without: in all, and the longest in one go. */
  readonly unheldS: number;
  readonly longestUnheldS: number;
  /** How often a shard came to another holder or another life of its holder. */
  readonly claims: number;
  readonly killed: number;
  readonly submitted: number;
  /** Submissions that were answered with 429, 503 or nothing at all, a retry each. */
  readonly refusedSubmissions: number;
  /** By class: seconds to a task's first start, and to a job's last completion (services: none), 95th percentile. */
  readonly waitP95S: Readonly<Record<string, number | null>>;
  readonly finishP95S: Readonly<Record<string, number | null>>;
  readonly requestsPerS: number;
  readonly changesPerS: number;
  /** Frames that a controller refused as malformed, and that it skipped as a later release's. */
  readonly refusedFrames: number;
  readonly skippedFrames: number;
  readonly breaches: number;
}

const STEP_S = 0.05;

/** Replaces the controllers of a loaded fleet one after the other, and measures what that costs. */
export async function measureRoll(options: RollOptions): Promise<Roll> {
  const { machines, seed, from, to, leave, releases, atS = 75, gapS = 25, watchS = 120 } = options;
  const fleet = fleetDay(machines, atS + watchS + 1, [{ kind: 'rollout', at_s: atS, gap_s: gapS, to, leave }]);
  const names = Array.from({ length: fleet.controllers.count }, () => from);
  const day = { ...fleet, seed, controllers: { ...fleet.controllers, releases: names } };
  let [killed, refusedFrames, skippedFrames] = [0, 0, 0];
  const region = new Region({
    day,
    ...(releases ? { releases } : {}),
    event: (line) => {
      if (line.endsWith(' killed\n')) killed += 1;
    },
    controllerLog: {
      level: 'info',
      write: (line) => {
        if (line.includes('a malformed frame was refused')) refusedFrames += 1;
        if (line.includes('a frame of a later release is skipped')) skippedFrames += 1;
      },
    },
  });
  await region.play(atS);
  const { parts } = region;
  const killedBefore = killed;
  const before = { ...parts.state.counts };
  const alive = (name: string): string | null => {
    const key = parts.state.get(`live/nodes/${name}`);
    const up = region.controllers.find(({ seat }) => seat.name === name)?.process?.running === true;
    return up && isObject(key) && typeof key['incarnation'] === 'string' ? key['incarnation'] : null;
  };
  const shards = region.controllers.map(({ seat }) => ({
    name: seat.name,
    life: '',
    unheld: 0,
    inOneGo: 0,
    longest: 0,
  }));
  let claims = -shards.length;
  for (let t = STEP_S; t <= watchS; t += STEP_S) {
    await region.play(atS + t);
    for (const shard of shards) {
      const record = decodeShard(parts.state.get(`live/shards/${shard.name}`));
      const held = record !== null && !record.released && alive(record.holder) === record.incarnation;
      shard.inOneGo = held ? 0 : shard.inOneGo + STEP_S;
      if (!held) shard.unheld += STEP_S;
      shard.longest = Math.max(shard.longest, shard.inOneGo);
      if (record && !record.released && record.incarnation !== shard.life) {
        claims += 1;
        shard.life = record.incarnation;
      }
    }
  }
  const after = { ...parts.state.counts };
  const killedThen = killed;
  const result = region.close();
  const by = <T>(pick: (c: (typeof result.classes)[number]) => T): Record<string, T> =>
    Object.fromEntries(result.classes.map((c) => [c.name, pick(c)]));
  const rounded = (seconds: number): number => Math.round(seconds * 100) / 100;
  return {
    ...{ machines, seed, from, to, leave, claims, refusedFrames, skippedFrames },
    unheldS: rounded(Math.max(...shards.map(({ unheld }) => unheld))),
    longestUnheldS: rounded(Math.max(...shards.map(({ longest }) => longest))),
    killed: killedThen - killedBefore,
    submitted: result.classes.reduce((sum, c) => sum + c.submitted, 0),
    refusedSubmissions: result.classes.reduce((sum, c) => sum + c.refused, 0),
    waitP95S: by((c) => c.waitS?.p95 ?? null),
    finishP95S: by((c) => (c.shape === 'service' ? null : (c.finishS?.p95 ?? null))),
    requestsPerS: rounded((after.requests - before.requests) / watchS),
    changesPerS: rounded((after.changes - before.changes) / watchS),
    breaches: result.breaches.length + result.defects.length,
  };
}

export interface Changes {
  readonly machines: number;
  readonly seed: number;
  /** Grouped progress is on; otherwise an operator holds it. */
  readonly grouped: boolean;
  readonly requestsPerS: number;
  readonly changesPerS: number;
  /** Changes a second of jobs' own records and of groups, and bytes a second of their values. */
  readonly jobChangesPerS: number;
  readonly groupChangesPerS: number;
  readonly bytesPerS: number;
  readonly breaches: number;
}

/** What storing progress costs a loaded fleet, with the feature and while an operator holds it. */
export async function measureChanges(machines: number, seed: number, grouped: boolean, watchS = 90): Promise<Changes> {
  const fleet = fleetDay(machines, 60 + watchS + 1);
  const region = new Region({ day: { ...fleet, seed } });
  const { state } = region.parts;
  if (!grouped)
    state.put('live/rollout/wishes', {
      paused: false,
      features: { 'grouped-progress': { wish: 'hold', at: 1 } },
      finish: [],
    });
  let [jobs, groups, bytes] = [0, 0, 0];
  state.wrote = (key, value) => {
    const job = key.startsWith('live/jobs/');
    if (job) jobs += 1;
    else if (key.startsWith('live/progress/')) groups += 1;
    if (job || key.startsWith('live/progress/')) bytes += Buffer.byteLength(JSON.stringify(value ?? null));
  };
  await region.play(60);
  const before = { ...state.counts, jobs, groups, bytes };
  await region.play(60 + watchS);
  const after = { ...state.counts, jobs, groups, bytes };
  const result = region.close();
  const perS = (what: keyof typeof before): number => Math.round(((after[what] - before[what]) / watchS) * 100) / 100;
  return {
    ...{ machines, seed, grouped, requestsPerS: perS('requests'), changesPerS: perS('changes') },
    ...{ jobChangesPerS: perS('jobs'), groupChangesPerS: perS('groups'), bytesPerS: Math.round(perS('bytes')) },
    breaches: result.breaches.length + result.defects.length,
  };
}

/** The rolls that are compared: a release beside itself is what they are measured against. */
export const rollsOf = (old: string): readonly Pick<RollOptions, 'from' | 'to' | 'leave'>[] => [
  { from: old, to: old, leave: false },
  { from: old, to: THIS, leave: false },
  { from: THIS, to: old, leave: true },
  { from: THIS, to: THIS, leave: false },
  { from: THIS, to: THIS, leave: true },
];
