import type { JobSpec } from '../../../../src/jobs/index.js';
import { kindKeyOf, type RecordedJob, type Night } from './night.js';
import type { PlatformFacts } from './platform-facts.js';
import { deriveRunTimes, type RecordedRunTimes } from './run-times.js';

/** One job as the replay submits it. Times are in seconds since the night began. */
export interface ScenarioJob {
  readonly spec: JobSpec;
  /** Submission. */
  readonly atS: number;
  /** Cancellation by the owner, or null if the job was not cancelled. */
  readonly cancelAtS: number | null;
  /** Seconds of work by task index; a gang has one entry, under task 0. Missing run times are drawn from a model. */
  readonly workS: ReadonlyMap<number, number>;
  /**
   * Seconds from the end of the last task until the completion of the job was stored, or null if the job was not done.
   * An outage of the state service lengthens this delay.
   */
  readonly completionWriteS: number | null;
  /** The job's own fault makes its tasks fail on every machine. */
  readonly mistaken: boolean;
  /**
   * Set if the job lies partly outside the recording, before its beginning or after its end. Its finishing time is then
   * not comparable.
   */
  readonly cut: 'before' | 'after' | null;
  /** How the plan changed the job, or null if it did not. */
  readonly changed: string | null;
}

/** One machine as the replay provides it. Times are in seconds since the night began unless stated otherwise. */
export interface ScenarioMachine {
  readonly id: string;
  /** Machine kind: type, zone and whether it is a spot machine. */
  readonly kind: string;
  /** Present when the night began, rather than rented during it. */
  readonly initial: boolean;
  /**
   * Seconds until the machine is up: from the beginning of the night for initial machines, from rental to the first
   * report for others. Null if the machine never came up.
   */
  readonly upAfterS: number | null;
  /** Death without a notice, or null if the machine did not die. */
  readonly diesAtS: number | null;
  /** Notice that the cloud takes the machine back, and the seconds from the notice to the loss of the machine. */
  readonly takenBack: { readonly noticeAtS: number; readonly noticeS: number } | null;
  /** Factor by which tasks run longer than on other machines; 1 for a normal machine. */
  readonly slowness: number;
  /** Time from which tasks fail on this machine, or null if it is not faulty. */
  readonly failsFromS: number | null;
}

/** The input of a replay. Applying a plan produces a changed scenario. */
export interface Scenario {
  /** Wall-clock time of the beginning of the night, in milliseconds since the epoch. */
  readonly fromMs: number;
  readonly lengthS: number;
  /** The recording covers the start of every controller. */
  readonly coldStart: boolean;
  readonly facts: PlatformFacts;
  /** Number of controllers. */
  readonly controllers: number;
  /** Restarts of controllers; `controller` is an index and `downS` the time until the controller is back. */
  readonly crashes: readonly { readonly controller: number; readonly atS: number; readonly downS: number }[];
  readonly jobs: readonly ScenarioJob[];
  readonly machines: readonly ScenarioMachine[];
  /** Number of machines that the cloud has, by machine kind, for the kinds that ran out during the night. */
  readonly capacity: ReadonlyMap<string, number>;
  /** Run times, slow machines and deaths derived from the night. */
  readonly runs: RecordedRunTimes;
  /** The recorded night. Up to `divergesAtS` the replay follows its recorded decisions. */
  readonly night: Night;
  /**
   * Time at which the plan first makes a difference and the replay starts to make its own decisions. Infinity means
   * never.
   */
  readonly divergesAtS: number;
}

/** Seconds from a machine coming up until it belongs to a block of machines. */
export const JOIN_DELAY_S = 1;
/** In a cold start, an initial machine that joins within this time counts as up from the beginning. */
const COLD_START_JOIN_LIMIT_S = 12;
/** Assumed number of machines beyond those recorded, for a kind that never ran out. */
const UNCONSTRAINED_EXTRA_MACHINES = 100;

/** Whether a job fails by its own fault: its tasks failed on at least three machines and none was ever done. */
const failsEverywhere = ({ attempts }: RecordedJob): boolean =>
  !attempts.some((a) => a.why === 'done') &&
  new Set(attempts.filter((a) => a.why === 'error').map((a) => a.machine)).size >= 3;

/** Returns the seconds from the end of a job's last task until its completion was stored, or null if it wasn't done. */
function completionWriteS({ attempts, ended }: RecordedJob): number | null {
  const endsS = attempts.flatMap((a) => (a.why === 'done' && a.leftS !== null ? [a.leftS] : []));
  if (ended?.phase !== 'done' || endsS.length === 0) return null;
  return Math.max(0, ended.atS - endsS.reduce((a, b) => Math.max(a, b)));
}

/** Converts a recorded job into a job to replay. */
function toScenarioJob(job: RecordedJob, runs: RecordedRunTimes): ScenarioJob {
  const { spec, ended } = job;
  const work = runs.workS.get(spec.id) ?? new Map<number, number>();
  const cancelAtS = ended?.phase === 'cancelled' ? ended.atS : null;
  if (!job.before) {
    const cut = ended === null ? ('after' as const) : null;
    const writeS = completionWriteS(job);
    return {
      spec,
      atS: job.submittedS,
      cancelAtS,
      workS: work,
      completionWriteS: writeS,
      mistaken: failsEverywhere(job),
      cut,
      changed: null,
    };
  }
  // Of a job that was open before the night, only the tasks with recorded attempts are replayed.
  const recordedIndexes = [...new Set(job.attempts.map((a) => a.index))].sort((a, b) => a - b);
  const isArray = spec.kind === 'array' && recordedIndexes.length > 0;
  const remainingS = new Map<number, number>();
  for (const [i, index] of recordedIndexes.entries()) {
    const knownS = work.get(index);
    const completed = job.attempts.filter((a) => a.index === index && a.why === 'done' && a.leftS !== null);
    const taskRemainingS = knownS ?? completed[0]?.leftS ?? null;
    if (isArray && taskRemainingS !== null) remainingS.set(i, taskRemainingS);
  }
  return {
    spec: isArray ? { ...spec, tasks: recordedIndexes.length } : spec,
    ...{ atS: 0, cancelAtS, workS: isArray ? remainingS : work, completionWriteS: null },
    ...{ mistaken: failsEverywhere(job), cut: 'before', changed: null },
  };
}

/** Converts the recorded machines into machines to replay, in the order of their rental. */
function toScenarioMachines(night: Night, runs: RecordedRunTimes): ScenarioMachine[] {
  const firstErrorS = new Map<string, number>();
  for (const { attempts } of night.jobs.values())
    for (const a of attempts)
      if (a.why === 'error' && a.leftS !== null)
        firstErrorS.set(a.machine, Math.min(firstErrorS.get(a.machine) ?? Infinity, a.leftS));
  const order = [...night.machines.values()].sort(
    (a, b) => (a.rentedS ?? -1) - (b.rentedS ?? -1) || (a.id < b.id ? -1 : 1),
  );
  return order.map((m): ScenarioMachine => {
    const initial = m.rentedS === null;
    let upAfterS: number | null = null;
    if (m.joinedS !== null) {
      if (!initial) upAfterS = Math.max(0.3, m.joinedS - (m.rentedS ?? 0) - JOIN_DELAY_S);
      else upAfterS = !night.coldStart || m.joinedS < COLD_START_JOIN_LIMIT_S ? 0 : m.joinedS - JOIN_DELAY_S;
    }
    return {
      ...{ id: m.id, kind: kindKeyOf(m), initial, upAfterS, diesAtS: runs.deathS.get(m.id) ?? null },
      takenBack: m.notice && { noticeAtS: m.notice.atS, noticeS: m.notice.leftS },
      slowness: runs.slowdown.get(m.id) ?? 1,
      failsFromS: m.faultyS === null ? null : (firstErrorS.get(m.id) ?? null),
    };
  });
}

/** Returns the capacity of each kind that ran out: the largest number of its machines held at a shortage. */
function observedCapacity(night: Night): Map<string, number> {
  const capacity = new Map<string, number>();
  const heldMachines = (kind: string, atS: number): number =>
    [...night.machines.values()].filter(
      (m) => kindKeyOf(m) === kind && (m.rentedS ?? 0) <= atS && (m.returned?.atS ?? Infinity) > atS,
    ).length;
  for (const { atS, kind } of night.shortages)
    capacity.set(kind, Math.max(capacity.get(kind) ?? 0, heldMachines(kind, atS)));
  return capacity;
}

/** Returns how many machines of a kind the cloud of a replay has. */
export const cloudCapacity = ({ capacity, machines }: Scenario, kind: string): number =>
  // The cloud may have had more machines at the beginning of the night than at a later shortage.
  Math.max(
    capacity.get(kind) ?? machines.filter((m) => m.kind === kind).length + UNCONSTRAINED_EXTRA_MACHINES,
    machines.filter((m) => m.kind === kind && m.initial).length,
  );

/** Builds the scenario that replays a recorded night unchanged. */
export function buildScenario(night: Night): Scenario {
  const runs = deriveRunTimes(night);
  const nodes = [...new Set(night.incarnations.map(({ node }) => node))].sort();
  const crashes = nodes.flatMap((node, controller) => {
    const incarnations = night.incarnations.filter((x) => x.node === node).sort((a, b) => a.fromS - b.fromS);
    return incarnations.slice(1).map((next, i) => {
      const atS = incarnations[i]?.lastS ?? 0;
      return { controller, atS, downS: Math.max(0.5, next.fromS - atS) };
    });
  });
  return {
    ...{ fromMs: night.fromMs, lengthS: night.lengthS, coldStart: night.coldStart, facts: night.facts },
    ...{ controllers: nodes.length, crashes, runs, capacity: observedCapacity(night), night, divergesAtS: Infinity },
    jobs: [...night.jobs.values()].map((job) => toScenarioJob(job, runs)).sort((a, b) => a.atS - b.atS),
    machines: toScenarioMachines(night, runs),
  };
}
