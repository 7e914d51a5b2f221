import { decodeJobRecord, decodeJobSpec, isNewerJobFormat, type JobSpec } from '../jobs/index.js';
import {
  isObject,
  jobId,
  millis,
  revision,
  taskKey,
  type JobId,
  type MachineId,
  type Millis,
  type NodeName,
  type Revision,
  type ShardName,
} from '../kernel/index.js';
import type { BlockMachine, PreviousHolder, ShardValue } from '../membership/index.js';
import { jobKey, JOBS_PREFIX, progressKey, reread, shardKey, type Change } from '../state/index.js';
import { TaskIndex, encodeRedirect, encodeReply, type ListedTask, type WorkerMessage } from '../workers/index.js';
import { bookingOf, type Booking } from './booking.js';
import { handleExit } from './exits.js';
import { ordersToForget } from './forget-orders.js';
import { leftoverStops } from './leftover-stops.js';
import { HeldMachine } from './held-machine.js';
import { JobOutcomes } from './job-outcomes.js';
import { BlockMembers, type ChangeSource } from './block-members.js';
import { logOrders } from './order-log.js';
import { UnexpectedTasks } from './unexpected-tasks.js';
import { applyGroupedProgress } from './apply-grouped-progress.js';
import { JobRun, orderedTask, type ActiveTask, type StopReason } from './job-run.js';
import type { HolderDeps, ReportReply } from './deps.js';

/** How long a booking is reused although the run time that a preemption would lose grows. */
const BOOKING_VALID_MS = 1500;

/**
 * State of a shard on the node that holds it: its open jobs and its block of machines, with the desired state (from the
 * state service) and the observed state (from the workers). The components of `ShardHolder` reconcile the two.
 */
export class HeldShardState {
  readonly members: BlockMembers;
  readonly jobs = new Map<JobId, JobRun>();
  /**
   * Index of machines by task and job, because a scan of a block would visit hundreds of machines and thousands of
   * tasks.
   */
  readonly taskIndex = new TaskIndex();
  /** Ended jobs whose tasks may still be on a machine. */
  readonly endedRuns = new Set<JobRun>();
  /** Jobs whose records only a later release can read: their running tasks are left running, and none is started. */
  private readonly unreadableJobs = new Set<JobId>();
  /**
   * Jobs whose dependencies are not known to be done. After a claim their tasks may nevertheless be running, started by
   * the previous holder, so listed tasks are left running.
   */
  readonly waiting = new Set<JobId>();
  /** Machines that list tasks which have to be stopped. */
  readonly machinesWithStops = new Set<HeldMachine>();
  /** Whether something that the placement plan depends on has changed since the last plan. */
  planOutdated = true;
  /** Machines of the block at the claim that have not acknowledged this holder's token: they may run unknown tasks. */
  readonly unfencedMachines = new Set<MachineId>();
  /** When all previous holders were known to have stopped sending commands; null while one may still send them. */
  previousHoldersStoppedAt: Millis | null;
  /** Previous holders that may still command workers. */
  readonly previousHolders: Map<NodeName, PreviousHolder>;
  /** Set while the shard is being released: no rounds run, and reports are refused. */
  releasing = false;
  /** When this node took over the shard, on its own clock. */
  readonly since: Millis;
  /** Set once this node no longer holds the shard. */
  dropped = false;
  /** Live tasks that workers listed unexpectedly. */
  readonly unexpectedTasks: UnexpectedTasks;
  /** What has become of jobs that have left the shard. */
  private readonly jobOutcomes: JobOutcomes;
  /** Set when a machine's tokens should be derived from a new revision of the shard's record. */
  needsNewRevision = false;

  constructor(
    readonly shard: ShardName,
    readonly claimedAt: Revision,
    value: ShardValue,
    previous: readonly PreviousHolder[],
    /** Machines that the previous holder considered faulty. */
    faulty: readonly MachineId[],
    readonly deps: HolderDeps,
  ) {
    const now = deps.runtime.now();
    this.since = now;
    this.unexpectedTasks = new UnexpectedTasks(shard, claimedAt, deps.log);
    this.jobOutcomes = new JobOutcomes(deps);
    this.previousHolders = new Map(previous.map((holder) => [holder.node, holder]));
    this.previousHoldersStoppedAt = previous.length === 0 ? now : null;
    this.members = new BlockMembers(shard, claimedAt, deps, {
      createMachine: (info, base) => this.createMachine(info, base),
      isFenced: (machine) => !this.unfencedMachines.has(machine.id),
      onMachineDeparted: (machine, why) => {
        this.recordAllAttemptsGone(machine, why);
        this.markFenced(machine.id);
        this.machinesWithStops.delete(machine);
      },
    });
    this.members.initialize(value);
    for (const id of this.machines.keys()) this.unfencedMachines.add(id);
    for (const id of faulty) this.machines.get(id)?.markFaulty(now);
    for (const entry of deps.mirror.entriesIn(JOBS_PREFIX)) {
      this.onJob({ key: entry.key, value: entry.value, removed: false, version: entry.version });
    }
  }

  /** Machines of the block, and machines missing from it that may still run tasks of this shard. */
  get machines(): ReadonlyMap<MachineId, HeldMachine> {
    return this.members.machines;
  }

  /** Whether every machine of the block at the claim is fenced or known to run nothing. */
  get fenced(): boolean {
    return this.unfencedMachines.size === 0;
  }

  /**
   * Records that a previous holder no longer commands workers. After the last one, unanswered workers' leases count
   * from now.
   */
  confirmStopped(node: NodeName): void {
    if (!this.previousHolders.delete(node) || this.previousHolders.size > 0 || this.previousHoldersStoppedAt !== null)
      return;
    const now = this.deps.runtime.now();
    this.previousHoldersStoppedAt = now;
    for (const id of this.unfencedMachines) this.machines.get(id)?.tracker.recordLeaseRenewal(now);
    this.deps.log.info({ shard: this.shard }, 'all previous holders are known to have stopped');
  }

  /** Previous holders that must be known to have stopped before a silent worker's lease can be considered expired. */
  get unconfirmedPreviousHolders(): PreviousHolder[] {
    return this.unfencedMachines.size > 0 ? [...this.previousHolders.values()] : [];
  }

  /** Records that nothing unknown can run on the machine any more. */
  markFenced(id: MachineId): void {
    if (!this.unfencedMachines.delete(id) || this.unfencedMachines.size > 0) return;
    const afterMs = Math.round(this.deps.runtime.now() - this.since);
    this.deps.log.info({ shard: this.shard, afterMs }, 'all machines are fenced: resuming jobs from before the claim');
  }

  /** Closes the connections to the workers once the shard is held elsewhere. */
  drop(): void {
    this.dropped = true;
    for (const machine of this.machines.values()) machine.commandSender.close();
  }

  /** Handles a change of the shard's stored machines. */
  onShard(value: ShardValue, source: ChangeSource): void {
    this.members.applyStored(value, source);
    this.needsNewRevision = false;
    this.deps.requestRound();
  }

  private createMachine(info: BlockMachine, base: Revision): HeldMachine {
    const { runtime, log, sockets } = this.deps;
    const hooks = {
      heard: () => {
        this.deps.recordWorkerContact();
        this.applyWorkerState(machine);
        this.requestReplan();
      },
      superseded: () => this.superseded(machine),
      outcomeOf: (id: JobId) => this.jobOutcomes.of(id),
    };
    const machine = new HeldMachine(info, base, runtime, log, this.taskIndex, hooks, sockets);
    return machine;
  }

  /** Requests a reconcile round with a new placement plan. */
  requestReplan(): void {
    this.planOutdated = true;
    this.deps.requestRound();
  }

  /** Marks the booking of a machine as out of date and requests a round. */
  private invalidateBooking(machine: HeldMachine): void {
    if (machine.booking) machine.booking = { ...machine.booking, generation: -1 };
    this.requestReplan();
  }

  /** Handles a change of a job's record. */
  onJob(change: Change): void {
    const id = jobId(change.key.slice(JOBS_PREFIX.length));
    const run = this.jobs.get(id);
    if (change.removed || !isNewerJobFormat(change.value)) this.unreadableJobs.delete(id);
    else return this.ignoreUnreadableJob(id, run);
    if (change.removed || (isObject(change.value) && change.value['shard'] !== this.shard)) {
      this.onJobEnded(id);
      return;
    }
    // The job has ended, as the state service or a peer reported: what the watch delivers of it is older.
    if (this.deps.registry.isKnownEnded(id)) {
      this.onJobEnded(id);
      return;
    }
    if (run && !run.ended && run.version >= change.version) return;
    const record = decodeJobRecord(change.value);
    if (!record) return;
    if (run && !run.ended) {
      run.version = change.version;
      run.record = record;
      run.stored = run.stored.union(record.done);
      return;
    }
    if (record.awaits.length > 0 && !this.deps.pipelines.isReady(id)) {
      this.waiting.add(id);
      return;
    }
    this.waiting.delete(id);
    const bornField = isObject(change.value) ? change.value['born'] : undefined;
    const born = typeof bornField === 'number' ? revision(bornField) : change.version;
    const newRun = new JobRun(record, change.version, born, this.deps.runtime.now(), this.deps.pipelines);
    applyGroupedProgress(newRun, this.deps.mirror.get(progressKey(this.shard))?.value);
    if (run) this.endedRuns.delete(run);
    this.jobs.set(id, newRun);
    const { spec, submittedAt } = record;
    this.deps.trail?.record({ kind: 'job', job: id, spec, submittedAt, shard: this.shard });
    // Workers may list tasks of this job already, after a takeover or when the watch is late.
    for (const name of this.taskIndex.machinesOfJob(id)) {
      const machine = this.machines.get(name);
      if (!machine) continue;
      this.applyWorkerState(machine);
      this.invalidateBooking(machine);
    }
    this.requestReplan();
  }

  /** Handles that all dependencies of a job are done. */
  onDependenciesDone(id: JobId): void {
    const entry = this.waiting.has(id) ? this.deps.mirror.get(jobKey(id)) : undefined;
    if (entry) this.onJob({ key: entry.key, value: entry.value, removed: false, version: entry.version });
  }

  /** Stops managing a job whose record is in a format of a later release. */
  private ignoreUnreadableJob(id: JobId, run: JobRun | undefined): void {
    if (this.unreadableJobs.has(id)) return;
    this.unreadableJobs.add(id);
    this.deps.log.error(
      { job: id },
      "job record has a format that this release can't read: its tasks are left as they are",
    );
    if (!run) return;
    // This holder managed the job until a later release rewrote its record: its running tasks are left running.
    this.jobs.delete(id);
    this.endedRuns.delete(run);
    for (const machine of this.machines.values()) {
      for (const [key, held] of machine.active) if (held.run === run) machine.active.delete(key);
    }
  }

  /** Ends a job: its tasks are stopped, and it is removed once none of them may be on a machine. */
  endRun(run: JobRun): void {
    run.ended = true;
    this.endedRuns.add(run);
    this.stopAllTasks(run.id);
  }

  /** Marks the machines that list tasks of an ended job, so that the next round stops these tasks. */
  private stopAllTasks(id: JobId): void {
    for (const name of this.taskIndex.machinesOfJob(id)) {
      const machine = this.machines.get(name);
      if (!machine) continue;
      this.machinesWithStops.add(machine);
      this.invalidateBooking(machine);
    }
    this.requestReplan();
  }

  /**
   * Whether listed tasks of the job are left as they are: its record is unreadable for this release, or its
   * dependencies are not known to be done yet.
   */
  isUnmanaged(id: JobId): boolean {
    return this.unreadableJobs.has(id) || this.waiting.has(id);
  }

  /**
   * Handles that a job has ended. Ended jobs never reopen, so the record is not read again: a read that failed while
   * the state service refused only this node would lose the peer's message for good.
   */
  onJobEnded(id: JobId): void {
    const run = this.jobs.get(id);
    if (run && !run.ended) this.endRun(run);
    else if (this.waiting.delete(id)) this.stopAllTasks(id);
  }

  /** Handles a worker with a higher token than this holder's: reads whether another node has claimed the shard. */
  private superseded(machine: HeldMachine): void {
    this.deps.log.info(
      { shard: this.shard, machine: machine.id },
      'worker has seen a higher fencing token: another holder commands it',
    );
    void reread(this.deps.state, this.deps.mirror, shardKey(this.shard));
  }

  /** Answers a worker's report. An answered report renews the worker's lease. */
  onReport(message: WorkerMessage): ReportReply {
    const machine = this.members.findPresent(message.machine);
    const now = this.deps.runtime.now();
    if (!machine || this.dropped) return { status: 421, body: encodeRedirect(null) };
    // The next holder counts the worker's lease from the write that hands the shard or the machine over.
    if (this.releasing || (machine.leaving?.since ?? 0) < 0)
      return { status: 503, body: { error: 'the shard or the machine is being handed over' } };
    // Another node may hold the shard by now, so this worker's lease must not be renewed.
    if (this.deps.holderMode() === 'nothing')
      return { status: 503, body: { error: 'ownership of the shard is not confirmed' } };
    const { generation, fenced } = machine.tracker;
    const outcome = machine.tracker.applyReport(message, now);
    if (outcome === 'superseded') {
      this.superseded(machine);
      return { status: 421, body: encodeRedirect(null) };
    }
    machine.commandSender.setAddress(message.address);
    if (outcome === 'applied') {
      const noticed = (message.noticeS === null) !== (machine.noticeUntil === null);
      machine.noticeUntil = message.noticeS === null ? null : millis(now + message.noticeS * 1000);
      if (noticed && message.noticeS !== null)
        this.deps.trail?.record({ kind: 'notice', machine: machine.id, leftS: message.noticeS });
      if (generation !== machine.tracker.generation || machine.lost || noticed || fenced !== machine.tracker.fenced) {
        machine.lost = false;
        this.applyWorkerState(machine);
        this.requestReplan();
      }
    } else if (message.session < machine.tracker.session || !machine.tracker.hasMessage) {
      return { status: 503, body: { error: 'the report is stale' } };
    }
    const leftovers = leftoverStops(this, machine, now);
    if (leftovers === null) return { status: 503, body: { error: 'the worker lists tasks of ended jobs' } };
    machine.tracker.recordLeaseRenewal(now);
    const forgotten = ordersToForget(machine, outcome, this.findRun, (id) => this.isUnmanaged(id));
    this.needsNewRevision ||= machine.tracker.tokensAreShort;
    logOrders(
      this,
      machine,
      forgotten,
      `letting a worker forget ended attempts in the answer to its ${outcome} report`,
    );
    return { status: 200, body: encodeReply(machine.tracker.token, [...forgotten, ...leftovers]) };
  }

  /** Applies the tasks that a worker lists: progress, exits, and tasks that a previous holder started. */
  private applyWorkerState(machine: HeldMachine): void {
    const now = this.deps.runtime.now();
    if (machine.tracker.fenced) this.markFenced(machine.id);
    for (const [key, listed] of machine.tracker.tasks) {
      const run = this.jobs.get(listed.job);
      if (this.isUnmanaged(listed.job)) continue;
      if (!run) {
        // The job was cancelled while the previous holder was down, so only this holder can stop the task.
        if (listed.state === 'exited') continue;
        this.unexpectedTasks.note(machine, listed);
        this.machinesWithStops.add(machine);
        continue;
      }
      const active = run.active.get(listed.index);
      const isCurrentAttempt =
        active !== undefined && active.machine === machine.id && active.attempt === listed.attempt;
      if (listed.state === 'exited') {
        if (machine.processedExits.get(key) === listed.attempt) continue;
        machine.processedExits.set(key, listed.attempt);
        handleExit(this, machine, run, listed, isCurrentAttempt ? active : undefined, now);
      } else if (isCurrentAttempt) {
        this.onTaskState(machine, run, active, listed, now);
      } else if (!active && !run.done.has(listed.index)) {
        // A previous holder started this task: it is adopted and kept running.
        if (this.unexpectedTasks.isOwnAttempt(listed)) this.unexpectedTasks.note(machine, listed);
        const adopted = orderedTask(listed, machine.id, now, { adopted: true });
        this.assign(machine, run, adopted);
        this.onTaskState(machine, run, adopted, listed, now);
      } else this.unexpectedTasks.note(machine, listed);
      if (listed.state !== 'exited' && this.stopGraceS(machine, listed, now) !== null)
        this.machinesWithStops.add(machine);
    }
    for (const byTask of [machine.processedExits, machine.unexpectedAttempts, machine.stopSentAt])
      for (const key of byTask.keys()) if (!machine.tracker.tasks.has(key)) byTask.delete(key);
    for (const [key, { run, task }] of machine.active) {
      if (!machine.tracker.mayHaveTask(key)) this.recordAttemptGone(machine, run, task, 'not there any more');
    }
    this.bookingOf(machine, now);
  }

  /** Tracks an attempt of a task on a machine. */
  assign(machine: HeldMachine, run: JobRun, task: ActiveTask): void {
    run.active.set(task.index, task);
    machine.active.set(taskKey(run.id, task.index), { run, task });
  }

  /** The booking of a machine, cached; null while its type is unknown. */
  bookingOf(machine: HeldMachine, now: Millis): Booking | null {
    const type = this.deps.types().get(machine.info.type);
    if (!type) return null;
    const known = machine.booking;
    const current = known?.generation === machine.tracker.generation && known.type === type;
    if (known && current && (now - known.at < BOOKING_VALID_MS || known.running.length === 0)) return known;
    const booking = bookingOf(machine.tracker, type, this.findRun, now);
    if (booking.inUse || known?.inUse === true) machine.idleSince = now;
    machine.booking = booking;
    return booking;
  }

  private readonly findRun = (id: JobId): JobRun | undefined => this.jobs.get(id);

  /** Whether tasks keep the machine from being idle; see `Booking.inUse`. */
  inUse(machine: HeldMachine): boolean {
    return this.bookingOf(machine, this.deps.runtime.now())?.inUse ?? !machine.tracker.empty;
  }

  /** Updates a tracked attempt from what its worker lists. */
  private onTaskState(machine: HeldMachine, run: JobRun, active: ActiveTask, listed: ListedTask, now: Millis): void {
    if (active.state !== listed.state) {
      active.state = listed.state;
      if (listed.state === 'running') {
        active.runningAt ??= now;
        run.startedAt ??= now;
        const { index, attempt, adopted } = active;
        this.deps.trail?.record({ kind: 'began', job: run.id, index, attempt, machine: machine.id, adopted });
        if (machine.noteImage(run.spec.image))
          this.deps.trail?.record({ kind: 'image', machine: machine.id, image: run.spec.image });
      }
    }
  }

  /** Records that an attempt is no longer on its machine. */
  recordAttemptGone(machine: HeldMachine, run: JobRun, active: ActiveTask, why: string): void {
    run.noteRunning(active, this.deps.runtime.now());
    run.active.delete(active.index);
    machine.active.delete(taskKey(run.id, active.index));
    const { index, attempt } = active;
    const ran = active.runningAt !== null;
    this.deps.trail?.record({ kind: 'left', job: run.id, index, attempt, machine: machine.id, why, ran });
    this.deps.log.debug({ job: run.id, index: active.index, machine: machine.id, why }, 'task left its machine');
    if (run.spec.kind === 'gang' && !run.done.has(active.index)) {
      // A gang's attempt fails as a whole: running tasks exit by themselves, the others are stopped, then all restart.
      for (const other of run.active.values()) if (other.state !== 'running') this.stop(run, other, 'regroup');
    }
    this.requestReplan();
  }

  /** Records that none of the tracked tasks is on the machine any more. */
  recordAllAttemptsGone(machine: HeldMachine, why: string): void {
    for (const { run, task } of [...machine.active.values()]) this.recordAttemptGone(machine, run, task, why);
  }

  /** Marks a task to be stopped; the next round sends the order. */
  stop(run: JobRun, active: ActiveTask, reason: StopReason, graceS = run.graceS): void {
    if (active.stopping) return;
    if (reason === 'cancelled' || reason === 'regroup') graceS = 0;
    active.stopping = { reason, since: this.deps.runtime.now(), graceS };
    const { index, attempt } = active;
    this.deps.trail?.record({ kind: 'stopping', job: run.id, index, attempt, machine: active.machine, why: reason });
    const machine = this.machines.get(active.machine);
    if (machine) {
      this.machinesWithStops.add(machine);
      this.invalidateBooking(machine);
    }
    this.deps.log.debug({ job: run.id, index: active.index, machine: active.machine, reason }, 'stopping task');
  }

  /** Stops a task and, for a gang, all other tasks with it: a gang can save its state only as a whole. */
  stopWithGang(run: JobRun, active: ActiveTask, reason: StopReason): void {
    if (run.spec.kind !== 'gang') this.stop(run, active, reason);
    else for (const member of run.active.values()) this.stop(run, member, reason);
  }

  /** The spec of a job that this holder manages. */
  readonly specOf = (id: JobId): JobSpec | null => this.jobs.get(id)?.spec ?? null;

  /** The spec of any job that is stored as open, in any shard. */
  readonly storedSpecOf = (id: JobId): JobSpec | null => {
    const stored = this.jobs.has(id) ? undefined : this.deps.mirror.get(jobKey(id));
    return stored ? decodeJobSpec(stored.value) : this.specOf(id);
  };

  /**
   * Grace period, in seconds, with which a listed task has to be stopped; null when it may stay. The grace period is
   * dropped once the stop has taken longer than it, the wait for other gang members and 5 s.
   */
  stopGraceS(machine: HeldMachine, listed: ListedTask, now: Millis): number | null {
    const run = this.jobs.get(listed.job);
    if (this.isUnmanaged(listed.job)) return null;
    if (!run || run.ended || run.done.has(listed.index)) return 0;
    const active = run.active.get(listed.index);
    if (!active || active.machine !== machine.id || active.attempt !== listed.attempt) return 0;
    if (!active.stopping) return null;
    const { graceS, since } = active.stopping;
    const limit = (graceS + 5) * 1000 + this.deps.settings.workers.gangPeerMs;
    return now - since > limit ? 0 : graceS;
  }

  /** Counts of running and done tasks of an open job; null when this holder has no such job. */
  progressOf(id: JobId): { running: number; done: number } | null {
    const run = this.jobs.get(id);
    return run && !run.ended ? { running: run.runningCount, done: run.done.count } : null;
  }
}
