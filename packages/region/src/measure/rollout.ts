/** Measures the cost of rollouts and of storing progress. */

import { decodeShard } from '../../../../src/membership/index.js';
import { isObject } from '../../../../src/kernel/index.js';
import { Region, type RegionOptions } from '../region.js';
import { CURRENT_RELEASE } from '../releases/index.js';
import { fleetDay } from './fleet-day.js';

/** Options of a rollout measurement. */
export interface RolloutOptions {
  readonly machines: number;
  readonly seed: number;
  /** Release of all controllers at the start. */
  readonly from: string;
  /** Release that replaces it. */
  readonly to: string;
  /** Controllers leave the cluster before they end; otherwise they are killed. */
  readonly leave: boolean;
  readonly releases?: RegionOptions['releases'];
  /** When the rollout begins, in simulated seconds. */
  readonly atS?: number;
  /** Simulated seconds between the replacements of two controllers. */
  readonly gapS?: number;
  /** How long the rollout is observed from its beginning, in simulated seconds. */
  readonly observedS?: number;
}

/** What a rollout costs. */
export interface RolloutMeasurement extends Pick<RolloutOptions, 'machines' | 'seed' | 'from' | 'to' | 'leave'> {
  /** Total seconds without a live holder, of the shard for which this was longest. */
  readonly unheldS: number;
  /** Longest uninterrupted time of any shard without a live holder, in seconds. */
  readonly longestUnheldS: number;
  /** How often a shard was claimed by another controller or by another incarnation of its holder. */
  readonly claims: number;
  /** Tasks that workers killed. */
  readonly killed: number;
  readonly submitted: number;
  /** Submissions that were answered with 429 or 503, or not at all; each is retried. */
  readonly refusedSubmissions: number;
  /** 95th percentile of the seconds to the first start of a task, by class. */
  readonly waitP95S: Readonly<Record<string, number | null>>;
  /** 95th percentile of the seconds to the completion of a job, by class; null for services. */
  readonly finishP95S: Readonly<Record<string, number | null>>;
  readonly requestsPerS: number;
  readonly changesPerS: number;
  /** Frames that a controller refused as malformed. */
  readonly refusedFrames: number;
  /** Frames that a controller skipped because a later release sent them. */
  readonly skippedFrames: number;
  readonly breaches: number;
}

/** Interval at which the holders of shards are sampled, in simulated seconds. */
const SAMPLE_STEP_S = 0.05;

/** Replaces the controllers of a loaded fleet one after the other, and measures the cost. */
export async function measureRollout(options: RolloutOptions): Promise<RolloutMeasurement> {
  const { machines, seed, from, to, leave, releases, atS = 75, gapS = 25, observedS = 120 } = options;
  const fleet = fleetDay(machines, atS + observedS + 1, [{ kind: 'rollout', at_s: atS, gap_s: gapS, to, leave }]);
  const releaseNames = Array.from({ length: fleet.controllers.count }, () => from);
  const day = { ...fleet, seed, controllers: { ...fleet.controllers, releases: releaseNames } };
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
  const liveIncarnation = (name: string): string | null => {
    const key = parts.state.get(`live/nodes/${name}`);
    const up = region.controllers.find(({ spec }) => spec.name === name)?.process?.running === true;
    return up && isObject(key) && typeof key['incarnation'] === 'string' ? key['incarnation'] : null;
  };
  const shards = region.controllers.map(({ spec }) => ({
    name: spec.name,
    lastIncarnation: '',
    totalUnheldS: 0,
    currentUnheldS: 0,
    maxUnheldS: 0,
  }));
  let claims = -shards.length;
  for (let t = SAMPLE_STEP_S; t <= observedS; t += SAMPLE_STEP_S) {
    await region.play(atS + t);
    for (const shard of shards) {
      const record = decodeShard(parts.state.get(`live/shards/${shard.name}`));
      const held = record !== null && !record.released && liveIncarnation(record.holder) === record.incarnation;
      shard.currentUnheldS = held ? 0 : shard.currentUnheldS + SAMPLE_STEP_S;
      if (!held) shard.totalUnheldS += SAMPLE_STEP_S;
      shard.maxUnheldS = Math.max(shard.maxUnheldS, shard.currentUnheldS);
      if (record && !record.released && record.incarnation !== shard.lastIncarnation) {
        claims += 1;
        shard.lastIncarnation = record.incarnation;
      }
    }
  }
  const after = { ...parts.state.counts };
  const killedAfter = killed;
  const result = region.close();
  const perClass = <T>(pick: (c: (typeof result.classes)[number]) => T): Record<string, T> =>
    Object.fromEntries(result.classes.map((c) => [c.name, pick(c)]));
  const roundToHundredths = (seconds: number): number => Math.round(seconds * 100) / 100;
  return {
    ...{ machines, seed, from, to, leave, claims, refusedFrames, skippedFrames },
    unheldS: roundToHundredths(Math.max(...shards.map(({ totalUnheldS }) => totalUnheldS))),
    longestUnheldS: roundToHundredths(Math.max(...shards.map(({ maxUnheldS }) => maxUnheldS))),
    killed: killedAfter - killedBefore,
    submitted: result.classes.reduce((sum, c) => sum + c.submitted, 0),
    refusedSubmissions: result.classes.reduce((sum, c) => sum + c.refused, 0),
    waitP95S: perClass((c) => c.waitS?.p95 ?? null),
    finishP95S: perClass((c) => (c.shape === 'service' ? null : (c.finishS?.p95 ?? null))),
    requestsPerS: roundToHundredths((after.requests - before.requests) / observedS),
    changesPerS: roundToHundredths((after.changes - before.changes) / observedS),
    breaches: result.breaches.length + result.defects.length,
  };
}

/** Load that storing progress puts on the state service. */
export interface StateChangeMeasurement {
  readonly machines: number;
  readonly seed: number;
  /** Whether the feature `grouped-progress` is on; otherwise an operator holds it back. */
  readonly grouped: boolean;
  readonly requestsPerS: number;
  readonly changesPerS: number;
  /** Changes of the records of single jobs per second. */
  readonly jobChangesPerS: number;
  /** Changes of grouped progress records per second. */
  readonly groupChangesPerS: number;
  /** Bytes of the values of both kinds per second. */
  readonly bytesPerS: number;
  readonly breaches: number;
}

/** Measures the load of storing the progress of a loaded fleet, with or without grouped progress. */
export async function measureStateChanges(
  machines: number,
  seed: number,
  grouped: boolean,
  observedS = 90,
): Promise<StateChangeMeasurement> {
  const fleet = fleetDay(machines, 60 + observedS + 1);
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
    const isJobRecord = key.startsWith('live/jobs/');
    if (isJobRecord) jobs += 1;
    else if (key.startsWith('live/progress/')) groups += 1;
    if (isJobRecord || key.startsWith('live/progress/')) bytes += Buffer.byteLength(JSON.stringify(value ?? null));
  };
  await region.play(60);
  const before = { ...state.counts, jobs, groups, bytes };
  await region.play(60 + observedS);
  const after = { ...state.counts, jobs, groups, bytes };
  const result = region.close();
  const ratePerS = (counter: keyof typeof before): number =>
    Math.round(((after[counter] - before[counter]) / observedS) * 100) / 100;
  return {
    ...{ machines, seed, grouped, requestsPerS: ratePerS('requests'), changesPerS: ratePerS('changes') },
    ...{
      jobChangesPerS: ratePerS('jobs'),
      groupChangesPerS: ratePerS('groups'),
      bytesPerS: Math.round(ratePerS('bytes')),
    },
    breaches: result.breaches.length + result.defects.length,
  };
}

/** Rollouts that are compared. Those from a release to the same release are the baseline. */
export const rolloutVariants = (old: string): readonly Pick<RolloutOptions, 'from' | 'to' | 'leave'>[] => [
  { from: old, to: old, leave: false },
  { from: old, to: CURRENT_RELEASE, leave: false },
  { from: CURRENT_RELEASE, to: old, leave: true },
  { from: CURRENT_RELEASE, to: CURRENT_RELEASE, leave: false },
  { from: CURRENT_RELEASE, to: CURRENT_RELEASE, leave: true },
];
