/** Measures the recovery from crashes of controllers. */

import { decodeShard } from '../../../../src/membership/index.js';
import type { Fault } from '../scenario/index.js';
import { Region } from '../region.js';
import { fleetDay } from './fleet-day.js';

/** Controllers that crash at the same moment. */
export type CrashTarget = 'one' | 'leader' | 'two' | 'all';
/** All crash targets. */
export const CRASH_TARGETS: readonly CrashTarget[] = ['one', 'leader', 'two', 'all'];

/** How long each step of the recovery takes. Times are in seconds since the crash; null if the step was not reached. */
export interface RecoveryMeasurement {
  readonly machines: number;
  readonly ended: CrashTarget;
  readonly seed: number;
  readonly rps: number;
  readonly writeRps: number;
  /** Until every shard that lost its holder was claimed again. */
  readonly claimedS: number | null;
  /** Until half of the machines of those shards had a report answered. */
  readonly halfAnsweredS: number | null;
  /** Until all machines of those shards had a report answered. */
  readonly lastAnsweredS: number | null;
  /** Until a task that a new holder started was on a machine of one of those shards. */
  readonly firstStartS: number | null;
  /** Until such a task was on a machine of each of those shards. */
  readonly lastFirstStartS: number | null;
  /** Tasks that a worker killed because its lease had expired. */
  readonly killed: number;
  /** Requests to the state service per second, from the crash until `lastAnsweredS`. */
  readonly requestsPerS: number;
  /** Changes of the state service per second in that time. */
  readonly changesPerS: number;
  /** Requests that the state service refused in that time. */
  readonly refused: number;
  readonly breaches: number;
}

/** Interval at which the recovery is sampled, in simulated seconds. */
const SAMPLE_STEP_S = 0.1;
/** Attempt numbers of a holder begin with the revision of its claim times this number. */
const ATTEMPTS_PER_REVISION = 2 ** 20;

/** Options of a recovery measurement. */
interface RecoveryOptions {
  readonly machines: number;
  readonly ended: CrashTarget;
  readonly seed: number;
  /** Limit of the state service in requests per second. */
  readonly rps: number;
  /** Limit of the state service in changes per second. */
  readonly writeRps: number;
  /** When the controllers crash, in simulated seconds. */
  readonly atS?: number;
  /** How long the recovery is observed after the crash, in simulated seconds. */
  readonly observedS?: number;
}

/** Crashes controllers of a loaded fleet, and measures how long each step of the recovery takes. */
export async function measureRecovery({
  machines,
  ended,
  seed,
  rps,
  writeRps,
  atS = 75,
  observedS = 45,
}: RecoveryOptions): Promise<RecoveryMeasurement> {
  // A burst of submissions around the crash brings the state service to its limit of changes per second.
  const submissionBurst: Fault = { kind: 'burst', at_s: atS - 10, for_s: 30, class: 'batch', times: 3 };
  const fleet = fleetDay(machines, atS + observedS + 1, [submissionBurst]);
  const day = { ...fleet, seed, state: { ...fleet.state, rps, write_rps: writeRps } };
  const taskStarts: { at: number; attempt: number; machine: string }[] = [];
  let killed = 0;
  const region = new Region({
    day,
    event: (line) => {
      const [at = '', what, , attempt = '', machine = '', cause] = line.trimEnd().split(' ');
      if (what === 'on') taskStarts.push({ at: Number(at), attempt: Number(attempt), machine });
      if (what === 'off' && cause === 'killed') killed += 1;
    },
  });
  await region.play(atS);
  const { parts } = region;
  const leader = region.leader ?? region.controllers[0];
  const otherControllers = region.controllers.filter((controller) => controller !== leader);
  const crashed = {
    one: otherControllers.slice(0, 1),
    leader: leader ? [leader] : [],
    two: leader ? [leader, ...otherControllers.slice(0, 1)] : [],
    all: region.controllers,
  }[ended];
  const crashedNames = new Set(crashed.map(({ spec }) => spec.name));
  const shardRecord = (shard: string) => decodeShard(parts.state.get(`live/shards/${shard}`));
  const machinesByShard = new Map<string, Set<string>>();
  for (const { spec } of region.controllers) {
    const record = shardRecord(spec.name);
    if (record && crashedNames.has(record.holder))
      machinesByShard.set(spec.name, new Set(record.machines.map(({ id }) => id)));
  }
  const incarnationsBefore = new Map(
    [...machinesByShard.keys()].map((shard) => [shard, shardRecord(shard)?.incarnation]),
  );
  const answeredReports = (id: string): number => parts.workers.get(id)?.model.answers ?? 0;
  const affected = [...machinesByShard.values()].flatMap((machineIds) => [...machineIds]);
  const answersBefore = new Map(affected.map((id) => [id, answeredReports(id)]));
  const [before, killedBefore] = [{ ...parts.state.counts }, killed];
  const crashedAtMs = region.now;
  // Attempts of a later claim have higher numbers than this, because a holder's attempts begin with the revision of its claim.
  const firstNewAttempt = parts.state.revision * ATTEMPTS_PER_REVISION;
  taskStarts.length = 0;
  for (const controller of crashed) region.crash(controller, day.controllers.restart_s);
  let claimedS: number | null = null;
  let halfAnsweredS: number | null = null;
  let lastAnsweredS: number | null = null;
  let after = before;
  for (let t = SAMPLE_STEP_S; t <= observedS; t += SAMPLE_STEP_S) {
    await region.play(atS + t);
    const elapsedS = (region.now - crashedAtMs) / 1000;
    if (
      claimedS === null &&
      [...incarnationsBefore].every(
        ([shard, incarnationBefore]) => shardRecord(shard)?.incarnation !== incarnationBefore,
      )
    )
      claimedS = elapsedS;
    let [answered, present] = [0, 0];
    for (const id of affected) {
      if (!parts.workers.has(id)) continue;
      present += 1;
      if (answeredReports(id) > (answersBefore.get(id) ?? 0)) answered += 1;
    }
    if (halfAnsweredS === null && answered * 2 >= present) halfAnsweredS = elapsedS;
    if (lastAnsweredS === null && answered === present) {
      lastAnsweredS = elapsedS;
      after = { ...parts.state.counts };
    }
  }
  if (lastAnsweredS === null) after = { ...parts.state.counts };
  const firstStarts = [...machinesByShard.values()].map(
    (machineIds) =>
      taskStarts.find(({ machine, attempt }) => machineIds.has(machine) && attempt >= firstNewAttempt)?.at ?? null,
  );
  const startDelaysS = firstStarts.filter((at): at is number => at !== null).map((at) => (at - crashedAtMs) / 1000);
  const killedDuringRecovery = killed - killedBefore;
  const spanS = lastAnsweredS ?? observedS;
  const result = region.close();
  return {
    ...{ machines, ended, seed, rps, writeRps, claimedS, halfAnsweredS, lastAnsweredS },
    firstStartS: startDelaysS.length > 0 ? Math.min(...startDelaysS) : null,
    lastFirstStartS:
      startDelaysS.length > 0 && startDelaysS.length === firstStarts.length ? Math.max(...startDelaysS) : null,
    killed: killedDuringRecovery,
    requestsPerS: (after.requests - before.requests) / spanS,
    changesPerS: (after.changes - before.changes) / spanS,
    refused: after.refused - before.refused,
    breaches: result.breaches.length,
  };
}
