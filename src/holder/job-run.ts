import {
  BitSet,
  millis,
  type Attempt,
  type JobId,
  type MachineId,
  type Millis,
  type Revision,
  type WallMillis,
} from '../kernel/index.js';
import type { JobRecord, JobSpec } from '../jobs/index.js';
import { withInheritedConstraints, type InheritedConstraints } from '../pipelines/index.js';
import { lowestIndices, type TaskIndices } from '../placement/index.js';
import type { Pipelines } from './deps.js';
import { median } from '../speculation/index.js';
import type { TaskState } from '../workers/index.js';
import { JobFailures, type FailureCause, type TaskFailure } from './job-failures.js';

/** Why a task is stopped; recorded in the event trail. */
export type StopReason = 'cancelled' | 'preempted' | 'notice' | 'drain' | 'straggler' | 'regroup';

/** An attempt of a task that may be on a machine. */
export interface ActiveTask {
  readonly index: number;
  readonly machine: MachineId;
  readonly attempt: Attempt;
  /** When the start was planned, or the task was adopted. */
  readonly orderedAt: Millis;
  /** Whether a previous holder started it. Its start time and so its run time are unknown. */
  readonly adopted: boolean;
  /** State that its worker last listed; 'ordered' until then. */
  state: TaskState | 'ordered';
  /** When it was first seen running. */
  runningAt: Millis | null;
  /** Whether it has been counted as evidence that its machine works. */
  hasWorked: boolean;
  /** Set once it is to be stopped. */
  stopping: { readonly reason: StopReason; readonly since: Millis; readonly graceS: number } | null;
}

/** A task that was just ordered or adopted, before its worker's list has been applied to it. */
export const orderedTask = (
  { index, attempt }: Pick<ActiveTask, 'index' | 'attempt'>,
  machine: MachineId,
  now: Millis,
  { adopted }: Pick<ActiveTask, 'adopted'>,
): ActiveTask => ({
  ...{ index, machine, attempt, adopted },
  ...{ orderedAt: now, state: 'ordered', runningAt: null, hasWorked: false, stopping: null },
});

/** How long a job avoids a machine on which a task of it failed or was restarted. */
export const AVOID_MACHINE_MS = 60_000;
/** Retry backoff of a job that fails on every machine. */
const INITIAL_BACKOFF_MS = 2000;
const MAX_BACKOFF_MS = 60_000;
/** Number of recent run times from which the median is computed. */
const MAX_RECORDED_RUNS = 100;
/** Machines on which a job has failed that its record names when it moves to another shard. */
const MAX_REPORTED_MACHINES = 3;
/** Minimum time between two attempts to move a job; summaries of other shards are not updated more often. */
const MOVE_RETRY_MS = 1500;
export const NO_MACHINES: ReadonlySet<MachineId> = new Set();
const NO_PIPELINES = { inherited: (): null => null, readyAt: (): null => null };

/** Run-time state of an open job on the node that holds its shard. */
export class JobRun {
  /** Attempts that may be on a machine, by task index. */
  readonly active = new Map<number, ActiveTask>();
  /** Tasks that are done, stored or not. */
  readonly done: BitSet;
  /** Tasks that are stored as done in the state service. */
  stored: BitSet;
  /** The job is done or cancelled: any task that is still on a machine is stopped. */
  ended = false;
  /** A write of the job's record is in flight. */
  storeInProgress = false;
  /** When the last write of the job's record ended. */
  lastStoredAt: Millis;
  /** When a task was first seen running. */
  startedAt: Millis | null = null;
  /** The failures of its tasks. */
  readonly failures: JobFailures;
  /** No task is started before this time. */
  notBefore: Millis;
  /** Number of failed retries in a row since the job was first considered at fault. */
  private failedRetries = 0;
  /** Longest time that a task of it was seen running. */
  private longestRunMs = 0;
  /** When the run times of all active tasks were last looked at. */
  private allNotedAt: Millis | null = null;
  /** Tasks that were restarted as stragglers. */
  readonly restarted = new Set<number>();
  /** Run times of the last completed tasks, in seconds. */
  readonly finishedRunsS: number[] = [];
  private cachedMedianRunS: number | null = null;
  /** Machines that the job avoids, and until when. */
  readonly avoid = new Map<MachineId, Millis>();
  /** Since when ready tasks of the job have found no capacity. */
  unplacedSince: Millis | null = null;
  /** Whether the trail has recorded that it waits. */
  waitEventRecorded = false;
  /** A write that moves the job to another shard is in flight. */
  moving = false;
  /** When a move to another shard was last attempted. */
  private lastMoveAttemptAt: Millis | null = null;
  /** Its completion is not written before this time, after a write that failed. */
  finishNotBefore: Millis;
  /** Lower bound of the first index that is not done: all tasks below it are done. */
  private firstUndoneIndex = 0;
  /** Whether its dependents will miss their deadline unless it runs now: it then takes on their full priority. */
  usesInheritedPriority = false;
  /** The last result of `spec` and its inputs. */
  private cachedSpec: {
    readonly inherited: InheritedConstraints;
    readonly stored: JobSpec;
    readonly usesInheritedPriority: boolean;
    readonly spec: JobSpec;
  } | null = null;

  constructor(
    public record: JobRecord,
    public version: Revision,
    /** Revision at which the job was created; rewrites and moves of the record keep it. */
    readonly createdAtRevision: Revision,
    /** When this holder learned of the job. */
    readonly seenAt: Millis,
    private readonly pipelines: Pick<Pipelines, 'inherited' | 'readyAt'> = NO_PIPELINES,
  ) {
    this.failures = new JobFailures(record.failedOn ?? []);
    this.done = record.done.copy();
    this.stored = record.done;
    this.lastStoredAt = seenAt;
    this.notBefore = seenAt;
    this.finishNotBefore = seenAt;
  }

  get id(): JobId {
    return this.record.spec.id;
  }

  /** The submitted spec, with the priority and deadline of dependent jobs where these are higher or earlier. */
  get spec(): JobSpec {
    const inherited = this.pipelines.inherited(this.id);
    if (!inherited) return this.record.spec;
    const { cachedSpec, usesInheritedPriority } = this;
    if (
      cachedSpec?.inherited === inherited &&
      cachedSpec.stored === this.record.spec &&
      cachedSpec.usesInheritedPriority === usesInheritedPriority
    )
      return cachedSpec.spec;
    const spec = withInheritedConstraints(this.record, inherited, usesInheritedPriority);
    this.cachedSpec = { inherited, stored: this.record.spec, usesInheritedPriority, spec };
    return spec;
  }

  /** Whether other jobs depend on it, so that it inherits their deadline. */
  get hasDependents(): boolean {
    return this.pipelines.inherited(this.id) !== null;
  }

  /** When its class's objectives start to count: at its submission, or when its last dependency was done. */
  get objectivesFrom(): WallMillis {
    return this.record.awaits.length === 0 ? this.submittedAt : (this.pipelines.readyAt(this.id) ?? this.submittedAt);
  }

  get submittedAt(): WallMillis {
    return this.record.submittedAt;
  }

  /** Records the run time of a completed task, in seconds. */
  noteRun(ranS: number): void {
    this.finishedRunsS.push(ranS);
    if (this.finishedRunsS.length > MAX_RECORDED_RUNS) this.finishedRunsS.shift();
    this.cachedMedianRunS = median(this.finishedRunsS);
  }

  /** Median run time of the last completed tasks; null before the first. */
  get medianRunS(): number | null {
    return this.cachedMedianRunS;
  }

  /** Expected run time of a task: the median, or the estimate in its spec. */
  get expectedRunS(): number {
    return this.cachedMedianRunS ?? this.spec.estimateS;
  }

  /** Whether all tasks are done; services never complete. */
  get complete(): boolean {
    return this.spec.kind !== 'service' && this.done.count >= this.spec.tasks;
  }

  /** Number of tasks that are running. */
  get runningCount(): number {
    let running = 0;
    for (const task of this.active.values()) if (task.state === 'running') running += 1;
    return running;
  }

  /** Whether a task of it has completed, or has run for long enough to show that the job works. */
  private get hasWorked(): boolean {
    return this.done.count > 0 || this.longestRunMs >= this.failures.stableRunMs;
  }

  /**
   * Whether the job itself is at fault: it fails wherever it is tried, and no task of it has worked. Such a job is
   * retried with backoff, and only with capacity that no other job needs.
   */
  get failsEverywhere(): boolean {
    return this.failures.showJobAtFault && !this.hasWorked;
  }

  /** Whether a task has run for long enough to show that it works. */
  runsStably({ runningAt }: Pick<ActiveTask, 'runningAt'>, now: Millis): boolean {
    return runningAt !== null && now - runningAt >= this.failures.stableRunMs;
  }

  /** The machines that another shard has to know about, the latest last; none once a task has worked. */
  get machinesToReport(): readonly MachineId[] {
    return this.hasWorked ? [] : this.failures.machines.slice(-MAX_REPORTED_MACHINES);
  }

  /** What the failure of a task is evidence of, as far as is known now. */
  causeOf({ index, machine }: TaskFailure, now: Millis): FailureCause {
    if (this.done.has(index)) return 'machine';
    const next = this.spec.kind === 'service' ? this.active.get(index) : undefined;
    if (next && next.machine !== machine && this.runsStably(next, now)) return 'machine';
    if (this.failsEverywhere || this.failures.showTaskAtFault(index)) return 'job';
    return this.hasWorked ? 'suspected-machine' : 'unknown';
  }

  /** Records how long a task has been running. */
  noteRunning(task: ActiveTask, now: Millis): void {
    if (task.runningAt !== null) this.longestRunMs = Math.max(this.longestRunMs, now - task.runningAt);
  }

  /** Does the same for all active tasks, once for all failures that one report lists. */
  noteAllRunning(now: Millis): void {
    if (this.hasWorked || this.allNotedAt === now) return;
    this.allNotedAt = now;
    for (const task of this.active.values()) this.noteRunning(task, now);
  }

  /**
   * Records a failed task. All failures before the next retry count as one; `jitter` is between 0 and 1.
   * `machineHasWorkedSince`: tasks have run well on its machine since the job last failed there.
   */
  noteFailure(failure: TaskFailure, now: Millis, jitter: number, machineHasWorkedSince = false): void {
    this.failures.record(failure, now, machineHasWorkedSince);
    this.avoidMachine(failure.machine, now);
    this.noteAllRunning(now);
    if (!this.failsEverywhere || now < this.notBefore) return;
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** this.failedRetries);
    this.failedRetries += 1;
    this.notBefore = millis(now + backoffMs * (0.75 + jitter / 2));
  }

  /** Whether a move to another shard may be attempted now; if so, that counts as an attempt. */
  mayAttemptMove(now: Millis): boolean {
    if (this.lastMoveAttemptAt !== null && now - this.lastMoveAttemptAt < MOVE_RETRY_MS) return false;
    this.lastMoveAttemptAt = now;
    return true;
  }

  /** Avoids a machine after a failure or restart there: one that fails tasks at once always has free capacity. */
  avoidMachine(machine: MachineId, now: Millis): void {
    this.avoid.set(machine, millis(now + AVOID_MACHINE_MS));
  }

  /** Machines that the job avoids at this time. */
  avoidedMachines(now: Millis): ReadonlySet<MachineId> {
    if (this.avoid.size === 0) return NO_MACHINES;
    for (const [machine, until] of this.avoid) if (until < now) this.avoid.delete(machine);
    return new Set(this.avoid.keys());
  }

  /**
   * The lowest task indices, at most `most`, that are neither done nor possibly on a machine. Those of a waiting gang
   * take no memory of their own: all of its tasks are ready, and many large gangs may wait at the same time.
   */
  ready(most: number): TaskIndices {
    const { tasks, kind } = this.spec;
    const isWaitingGang = kind === 'gang' && this.done.count === 0 && this.active.size === 0;
    if (isWaitingGang) return lowestIndices(Math.min(most, tasks));
    while (this.firstUndoneIndex < tasks && this.done.has(this.firstUndoneIndex)) this.firstUndoneIndex += 1;
    const ready: number[] = [];
    for (let index = this.firstUndoneIndex; index < tasks && ready.length < most; index++) {
      if (!this.done.has(index) && !this.active.has(index)) ready.push(index);
    }
    return ready;
  }

  /** Number of tasks that are neither done nor possibly on a machine. */
  get unstartedCount(): number {
    return this.spec.tasks - this.done.count - this.active.size;
  }

  /** Marks a task as done. Returns whether that changed anything; tasks of services are never done. */
  markDone(index: number): boolean {
    if (this.spec.kind === 'service') return false;
    if (this.spec.kind === 'gang') {
      // A gang completes as a whole.
      let changed = false;
      for (let i = 0; i < this.spec.tasks; i++) changed = this.done.add(i) || changed;
      return changed;
    }
    return this.done.add(index);
  }

  /** Grace period of a stop, in seconds: time to save for jobs that checkpoint, otherwise none. */
  get graceS(): number {
    return this.spec.checkpointS > 0 ? this.spec.saveS + 1 : 0;
  }
}
