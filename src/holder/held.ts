import { decodeRecord, decodeSpec, isForeignJob, type JobSpec } from '../jobs/index.js';
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
import { jobKey, JOBS, progressKey, reread, shardKey, type Change } from '../state/index.js';
import { TaskIndex, encodeRedirect, encodeReply, type ListedTask, type WorkerMessage } from '../workers/index.js';
import { bookingOf, type Booking } from './booking.js';
import { takeExit } from './exits.js';
import { forgets } from './forgetting.js';
import { leftoversOn } from './leftovers.js';
import { HeldMachine } from './machine.js';
import { BlockMembers, type BlockSource } from './members.js';
import { recall } from './recall.js';
import { JobRun, type ActiveTask, type StopReason } from './run.js';
import type { HolderDeps, ReportReply } from './deps.js';

/** How old what stopping a task would lose may be. */
const BOOKING_VALID_MS = 1500;

/**
 * A shard as its holder sees it: its open jobs and its block of machines, what is wanted of them (from the
 * state service) and what is (from the workers). Its parts, each with a duty of its own, act on the difference.
 */
export class HeldShard {
  readonly members: BlockMembers;
  readonly jobs = new Map<JobId, JobRun>();
  /** Found by what is asked, not by a walk: a block holds hundreds of machines and thousands of tasks. */
  readonly taskIndex = new TaskIndex();
  /** Jobs that are over while something of theirs may be on a machine. */
  readonly endedRuns = new Set<JobRun>();
  /** Jobs of this shard whose records only a later release reads: what runs of them goes on, nothing of them starts. */
  private readonly foreign = new Set<JobId>();
  /** Jobs of this shard that may await others yet. After a claim their tasks may be at work: what is listed of them stays. */
  readonly waiting = new Set<JobId>();
  /** Machines with something to stop. */
  readonly toStop = new Set<HeldMachine>();
  /** Something has changed that a plan depends on. */
  replan = true;
  /** Machines of the block at the claim that may still run what we have not seen. */
  readonly claimFence = new Set<MachineId>();
  proof: Millis | null;
  /** Earlier holders that may still command. */
  readonly earlier: Map<NodeName, PreviousHolder>;
  frozen = false;
  readonly since: Millis;
  dropped = false;

  constructor(
    readonly shard: ShardName,
    readonly claimedAt: Revision,
    value: ShardValue,
    previous: readonly PreviousHolder[],
    /** Machines that the holder before took for faulty. */
    faulty: readonly MachineId[],
    readonly deps: HolderDeps,
  ) {
    const now = deps.runtime.now();
    this.since = now;
    this.earlier = new Map(previous.map((holder) => [holder.node, holder]));
    this.proof = previous.length === 0 ? now : null;
    this.members = new BlockMembers(shard, claimedAt, deps, {
      make: (info, base) => this.makeMachine(info, base),
      isKnown: (machine) => !this.claimFence.has(machine.id),
      release: (machine, why) => {
        this.releaseAll(machine, why);
        this.unfence(machine.id);
        this.toStop.delete(machine);
      },
    });
    this.members.begin(value);
    for (const id of this.machines.keys()) this.claimFence.add(id);
    for (const id of faulty) this.machines.get(id)?.condemn(now);
    for (const entry of deps.mirror.under(JOBS)) {
      this.onJob({ key: entry.key, value: entry.value, removed: false, version: entry.version });
    }
  }

  /** Machines of the block, and those missing from it on which something of this shard may run. */
  get machines(): ReadonlyMap<MachineId, HeldMachine> {
    return this.members.machines;
  }

  get fenced(): boolean {
    return this.claimFence.size === 0;
  }

  /** An earlier holder is known to command no more; after the last, the workers' leases run out from here on. */
  proven(node: NodeName): void {
    if (!this.earlier.delete(node) || this.earlier.size > 0 || this.proof !== null) return;
    const now = this.deps.runtime.now();
    this.proof = now;
    for (const id of this.claimFence) this.machines.get(id)?.belief.answered(now);
    this.deps.log.info({ shard: this.shard }, 'the earlier holder is known to have stopped');
  }

  /** Who must be known to have stopped before a silent worker's lease can be taken for over. */
  get doubtful(): PreviousHolder[] {
    return this.claimFence.size > 0 ? [...this.earlier.values()] : [];
  }

  unfence(id: MachineId): void {
    if (!this.claimFence.delete(id) || this.claimFence.size > 0) return;
    const afterMs = Math.round(this.deps.runtime.now() - this.since);
    this.deps.log.info({ shard: this.shard, afterMs }, 'every machine is known: jobs from before the claim go on');
  }

  drop(): void {
    this.dropped = true;
    for (const machine of this.machines.values()) machine.commandSender.close();
  }

  onShard(value: ShardValue, source: BlockSource): void {
    this.members.follow(value, source);
    this.deps.nudge();
  }

  private makeMachine(info: BlockMachine, base: Revision): HeldMachine {
    const { runtime, log, sockets } = this.deps;
    const hooks = {
      heard: () => {
        this.deps.heard();
        this.sync(machine);
        this.soon();
      },
      superseded: () => this.superseded(machine),
    };
    const machine = new HeldMachine(info, base, runtime, log, this.taskIndex, hooks, sockets);
    return machine;
  }

  /** Something has changed: a round follows soon, with a plan. */
  soon(): void {
    this.replan = true;
    this.deps.nudge();
  }

  /** What is booked there is worked out anew. */
  private touch(machine: HeldMachine): void {
    if (machine.booking) machine.booking = { ...machine.booking, generation: -1 };
    this.soon();
  }

  onJob(change: Change): void {
    const id = jobId(change.key.slice(JOBS.length));
    const run = this.jobs.get(id);
    if (change.removed || !isForeignJob(change.value)) this.foreign.delete(id);
    else return this.leaveAlone(id, run);
    if (change.removed || (isObject(change.value) && change.value['shard'] !== this.shard)) {
      this.onOver(id);
      return;
    }
    // It ended in the state service, or so a peer says: whatever the watch still shows of it is older.
    if (this.deps.registry.isOver(id)) {
      this.onOver(id);
      return;
    }
    if (run && !run.ended && run.version >= change.version) return;
    const record = decodeRecord(change.value);
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
    const fresh = new JobRun(record, change.version, born, this.deps.runtime.now(), this.deps.pipelines);
    recall(fresh, this.deps.mirror.get(progressKey(this.shard))?.value);
    if (run) this.endedRuns.delete(run);
    this.jobs.set(id, fresh);
    const { spec, submittedAt } = record;
    this.deps.trail?.note({ kind: 'job', job: id, spec, submittedAt, shard: this.shard });
    // Tasks of it may be listed already: this is a takeover, or the watch was late.
    for (const name of this.taskIndex.machinesOfJob(id)) {
      const machine = this.machines.get(name);
      if (!machine) continue;
      this.sync(machine);
      this.touch(machine);
    }
    this.soon();
  }

  /** All that it needs is done. */
  onReady(id: JobId): void {
    const entry = this.waiting.has(id) ? this.deps.mirror.get(jobKey(id)) : undefined;
    if (entry) this.onJob({ key: entry.key, value: entry.value, removed: false, version: entry.version });
  }

  private leaveAlone(id: JobId, run: JobRun | undefined): void {
    if (this.foreign.has(id)) return;
    this.foreign.add(id);
    this.deps.log.error({ job: id }, "a job's record can't be read by this release: it is left alone");
    if (!run) return;
    // It was ours and has been rewritten by a later release: what runs of it stays where it is.
    this.jobs.delete(id);
    this.endedRuns.delete(run);
    for (const machine of this.machines.values()) {
      for (const [key, held] of machine.active) if (held.run === run) machine.active.delete(key);
    }
  }

  endRun(run: JobRun): void {
    run.ended = true;
    this.endedRuns.add(run);
    this.stopAll(run.id);
  }

  private stopAll(id: JobId): void {
    for (const name of this.taskIndex.machinesOfJob(id)) {
      const machine = this.machines.get(name);
      if (!machine) continue;
      this.toStop.add(machine);
      this.touch(machine);
    }
    this.soon();
  }

  /** What is listed of it stays where it is: this program can't judge it, or not yet. */
  untouched(id: JobId): boolean {
    return this.foreign.has(id) || this.waiting.has(id);
  }

  /**
   * It is over, and so it stays: no read is needed. Found by `gap`: asked for while the state service refused this node
   * alone, the word of a peer was dropped for good.
   */
  onOver(id: JobId): void {
    const run = this.jobs.get(id);
    if (run && !run.ended) this.endRun(run);
    else if (this.waiting.delete(id)) this.stopAll(id);
  }

  private superseded(machine: HeldMachine): void {
    this.deps.log.info(
      { shard: this.shard, machine: machine.id },
      'a worker has seen a higher token: another holder is at work',
    );
    void reread(this.deps.state, this.deps.mirror, shardKey(this.shard));
  }

  onReport(message: WorkerMessage): ReportReply {
    const machine = this.members.present(message.machine);
    const now = this.deps.runtime.now();
    if (!machine || this.dropped) return { status: 421, body: encodeRedirect(null) };
    if (this.frozen || (machine.leaving?.since ?? 0) < 0)
      return { status: 503, body: { error: 'the shard changes hands' } };
    // Another may hold the shard by now: the worker's lease has to run out in time.
    if (this.deps.standing() === 'nothing') return { status: 503, body: { error: 'nobody is heard' } };
    const { generation, fenced } = machine.belief;
    const verdict = machine.belief.take(message, now);
    if (verdict === 'superseded') {
      this.superseded(machine);
      return { status: 421, body: encodeRedirect(null) };
    }
    machine.commandSender.setAddress(message.address);
    if (verdict === 'taken') {
      const noticed = (message.noticeS === null) !== (machine.noticeUntil === null);
      machine.noticeUntil = message.noticeS === null ? null : millis(now + message.noticeS * 1000);
      if (noticed && message.noticeS !== null)
        this.deps.trail?.note({ kind: 'notice', machine: machine.id, leftS: message.noticeS });
      if (generation !== machine.belief.generation || machine.lost || noticed || fenced !== machine.belief.fenced) {
        machine.lost = false;
        this.sync(machine);
        this.soon();
      }
    } else if (message.session < machine.belief.session || !machine.belief.heard) {
      return { status: 503, body: { error: 'an old report' } };
    }
    const leftovers = leftoversOn(this, machine, now);
    if (leftovers === null) return { status: 503, body: { error: 'it lists tasks of jobs that are over' } };
    machine.belief.answered(now);
    const forgotten = forgets(machine, this.runOf, (id) => this.untouched(id));
    return { status: 200, body: encodeReply(machine.belief.token, [...forgotten, ...leftovers]) };
  }

  /** Takes in what a worker lists: progress, exits, and tasks that an earlier holder started. */
  private sync(machine: HeldMachine): void {
    const now = this.deps.runtime.now();
    if (machine.belief.fenced) this.unfence(machine.id);
    for (const [key, listed] of machine.belief.tasks) {
      const run = this.jobs.get(listed.job);
      if (this.untouched(listed.job)) continue;
      if (!run) {
        // Cancelled while the earlier holder was down: nobody else will ever stop it.
        if (listed.state !== 'exited') this.toStop.add(machine);
        continue;
      }
      const active = run.active.get(listed.index);
      const mine = active !== undefined && active.machine === machine.id && active.attempt === listed.attempt;
      if (listed.state === 'exited') {
        if (machine.seenExits.get(key) === listed.attempt) continue;
        machine.seenExits.set(key, listed.attempt);
        takeExit(this, machine, run, listed, mine ? active : undefined, now);
      } else if (mine) {
        this.onState(machine, run, active, listed, now);
      } else if (!active && !run.done.has(listed.index)) {
        // Started by an earlier holder: it is kept running.
        const adopted: ActiveTask = {
          index: listed.index,
          machine: machine.id,
          attempt: listed.attempt,
          orderedAt: now,
          adopted: true,
          state: 'ordered',
          runningAt: null,
          stopping: null,
        };
        this.assign(machine, run, adopted);
        this.onState(machine, run, adopted, listed, now);
      }
      if (listed.state !== 'exited' && this.graceOf(machine, listed, now) !== null) this.toStop.add(machine);
    }
    for (const key of machine.seenExits.keys()) if (!machine.belief.tasks.has(key)) machine.seenExits.delete(key);
    for (const key of machine.stopSentAt.keys()) if (!machine.belief.tasks.has(key)) machine.stopSentAt.delete(key);
    for (const [key, { run, task }] of machine.active) {
      if (!machine.belief.possibly(key)) this.release(machine, run, task, 'not there any more');
    }
    this.bookingOf(machine, now);
  }

  assign(machine: HeldMachine, run: JobRun, task: ActiveTask): void {
    run.active.set(task.index, task);
    machine.active.set(taskKey(run.id, task.index), { run, task });
  }

  /** What is booked on a machine; null as long as its type is unknown. */
  bookingOf(machine: HeldMachine, now: Millis): Booking | null {
    const type = this.deps.types().get(machine.info.type);
    if (!type) return null;
    const known = machine.booking;
    const current = known?.generation === machine.belief.generation && known.type === type;
    if (known && current && (now - known.at < BOOKING_VALID_MS || known.running.length === 0)) return known;
    const booking = bookingOf(machine.belief, type, this.runOf, now);
    if (booking.inUse || known?.inUse === true) machine.emptySince = now;
    machine.booking = booking;
    return booking;
  }

  private readonly runOf = (id: JobId): JobRun | undefined => this.jobs.get(id);

  inUse(machine: HeldMachine): boolean {
    return this.bookingOf(machine, this.deps.runtime.now())?.inUse ?? !machine.belief.empty;
  }

  private onState(machine: HeldMachine, run: JobRun, active: ActiveTask, listed: ListedTask, now: Millis): void {
    if (active.state !== listed.state) {
      active.state = listed.state;
      if (listed.state === 'running') {
        active.runningAt ??= now;
        run.startedAt ??= now;
        const { index, attempt, adopted } = active;
        this.deps.trail?.note({ kind: 'began', job: run.id, index, attempt, machine: machine.id, adopted });
        if (machine.noteImage(run.spec.image))
          this.deps.trail?.note({ kind: 'image', machine: machine.id, image: run.spec.image });
      }
    }
  }

  release(machine: HeldMachine, run: JobRun, active: ActiveTask, why: string): void {
    run.noteRunning(active, this.deps.runtime.now());
    run.active.delete(active.index);
    machine.active.delete(taskKey(run.id, active.index));
    const { index, attempt } = active;
    const ran = active.runningAt !== null;
    this.deps.trail?.note({ kind: 'left', job: run.id, index, attempt, machine: machine.id, why, ran });
    this.deps.log.debug({ job: run.id, index: active.index, machine: machine.id, why }, 'a task is off its machine');
    if (run.spec.kind === 'gang' && !run.done.has(active.index)) {
      // The attempt is broken: the rest leaves by itself or is told to, then all start again.
      for (const other of run.active.values()) if (other.state !== 'running') this.stop(run, other, 'regroup');
    }
    this.soon();
  }

  releaseAll(machine: HeldMachine, why: string): void {
    for (const { run, task } of [...machine.active.values()]) this.release(machine, run, task, why);
  }

  stop(run: JobRun, active: ActiveTask, reason: StopReason, graceS = run.graceS): void {
    if (active.stopping) return;
    if (reason === 'cancelled' || reason === 'regroup') graceS = 0;
    active.stopping = { reason, since: this.deps.runtime.now(), graceS };
    const { index, attempt } = active;
    this.deps.trail?.note({ kind: 'stopping', job: run.id, index, attempt, machine: active.machine, why: reason });
    const machine = this.machines.get(active.machine);
    if (machine) {
      this.toStop.add(machine);
      this.touch(machine);
    }
    this.deps.log.debug(
      { job: run.id, index: active.index, machine: active.machine, reason },
      'a task is to be stopped',
    );
  }

  /** Tasks of a gang are stopped together or the saving fails. */
  stopWithMates(run: JobRun, active: ActiveTask, reason: StopReason): void {
    if (run.spec.kind !== 'gang') this.stop(run, active, reason);
    else for (const mate of run.active.values()) this.stop(run, mate, reason);
  }

  readonly specOf = (id: JobId): JobSpec | null => this.jobs.get(id)?.spec ?? null;

  /** The same for any job that is stored as open, of whatever shard. */
  readonly storedSpecOf = (id: JobId): JobSpec | null => {
    const stored = this.jobs.has(id) ? undefined : this.deps.mirror.get(jobKey(id));
    return stored ? decodeSpec(stored.value) : this.specOf(id);
  };

  /** How long a task may save before it is gone, or null when it may stay. */
  graceOf(machine: HeldMachine, listed: ListedTask, now: Millis): number | null {
    const run = this.jobs.get(listed.job);
    if (this.untouched(listed.job)) return null;
    if (!run || run.ended || run.done.has(listed.index)) return 0;
    const active = run.active.get(listed.index);
    if (!active || active.machine !== machine.id || active.attempt !== listed.attempt) return 0;
    if (!active.stopping) return null;
    const { graceS, since } = active.stopping;
    const limit = (graceS + 5) * 1000 + this.deps.settings.workers.gangPeerMs;
    return now - since > limit ? 0 : graceS;
  }

  runningOf(id: JobId): { running: number; done: number } | null {
    const run = this.jobs.get(id);
    return run && !run.ended ? { running: run.runningCount, done: run.done.count } : null;
  }
}
