import type { MachineType } from '../cloud/index.js';
import type { Settings } from '../config/index.js';
import { decodeRecord, encodeRecord, type JobRegistry, type JobSpec } from '../jobs/index.js';
import {
  attempt,
  isObject,
  jobId,
  millis,
  parseTaskKey,
  revision,
  taskKey,
  type Attempt,
  type JobId,
  type Logger,
  type MachineId,
  type Millis,
  type NodeName,
  type Revision,
  type Runtime,
  type ShardName,
  type SocketBudget,
  type TaskKey,
} from '../kernel/index.js';
import {
  blockLimit,
  decodeShard,
  encodeShard,
  settleKey,
  settleShard,
  type PreviousHolder,
  type ShardValue,
} from '../membership/index.js';
import type { DemandSummary, MachineSummary, ShardSummary } from '../peers/index.js';
import {
  planPlacement,
  relevance,
  type MachineView,
  type PendingJob,
  type Reserve,
  type TeamUse,
} from '../placement/index.js';
import { chooseRestarts, flagTasks, resourceR, type Flag, type Tunables } from '../speculation/index.js';
import { JOBS, jobKey, shardKey, Urgency, type Change, type Mirror, type StateClient } from '../state/index.js';
import {
  encodeRedirect,
  encodeReply,
  Whereabouts,
  type ListedTask,
  type Order,
  type WorkerMessage,
} from '../workers/index.js';
import { bookingOf, usesAccelerators, type Booking } from './booking.js';
import { HeldMachine } from './machine.js';
import { JobRun, type ActiveTask, type StopReason } from './run.js';

/** What operators have set; see the admin slice. */
export interface OperatorView {
  readonly tunables: Tunables;
  readonly cordoned: ReadonlySet<string>;
  readonly drained: ReadonlySet<string>;
}

export interface HolderDeps {
  readonly self: NodeName;
  readonly settings: Settings;
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly registry: JobRegistry;
  readonly runtime: Runtime;
  /** Connections to workers, of all shards together. */
  readonly sockets: SocketBudget;
  readonly log: Logger;
  types(): ReadonlyMap<string, MachineType>;
  operator(): OperatorView;
  /** Until when at least nobody else can have taken our shards over. */
  heldUntil(): Millis;
  /** True while nobody else can have claimed our shards, whatever the watch has not shown yet. */
  certain(): boolean;
  /** Something is to be done soon. */
  nudge(): void;
  /** A worker has answered. */
  heard(): void;
  /** Another shard that has room for this job now. */
  roomElsewhere(from: ShardName, spec: JobSpec, count: number): ShardName | null;
}

export interface ReportReply {
  readonly status: number;
  readonly body: unknown;
}

const maxReserve = (a: Reserve | null, b: Reserve): Reserve => ({
  cpus: Math.max(a?.cpus ?? 0, b.cpus),
  memoryGb: Math.max(a?.memoryGb ?? 0, b.memoryGb),
});

const MAX_READY = 100;
const FORGET_AT_ONCE = 6;
const PROGRESS_EVERY_MS = 1500;
/** So many jobs' progress at a time: the rest waits here, where the next write holds all of it. */
const PROGRESS_AT_ONCE = 2;
const FINISH_AGAIN_MS = 400;
/** What depends on time alone is looked at this often, whatever is reported in between. */
const SWEEP_EVERY_MS = 250;
/** How old what stopping a task would lose may be. */
const BOOKING_VALID_MS = 1500;
const LOOK_ELSEWHERE_EVERY_MS = 1500;
/** An array is through with its slowest task: how much longer that runs than the median. */
const LAST_TASK = 1.3;
/** After a claim: of so many machines one may be silent, through so many tries, for so long. */
const FEW_SILENT = 10;
const SILENT_TRIES = 3;
const SILENT_FOR_MS = 3000;
/** Within what time jobs of classes without an aim are to be through, or started. */
const AIMLESS_ARRAY_S = 900;
const AIMLESS_S = 120;
const LOOK_ELSEWHERE_AT_ONCE = 2;
/** Each move is a write: a swarm of small jobs must not spend what accepting and finishing them needs. */
const MOVES_EVERY_MS = 150;
const STOP_AGAIN_MS = 2500;
const MOVE_AFTER_MS = 1200;
const LEAVE_WITHIN_MS = 10_000;
/** Writes that are under way when a shard is given up have so long to come back. */
const SETTLE_WITHIN_MS = 2500;

/**
 * Holds one shard: its open jobs and its block of machines. What is wanted comes from the state
 * service, what is from the workers; each round works out the difference. A restart and a takeover
 * are the same: claim, fence every machine, go on.
 */
export class ShardHolder {
  readonly machines = new Map<MachineId, HeldMachine>();
  readonly jobs = new Map<JobId, JobRun>();
  /** Found by what is asked, not by a walk: a block holds hundreds of machines and thousands of tasks. */
  private readonly whereabouts = new Whereabouts();
  /** Jobs that are over while something of theirs may be on a machine. */
  private readonly endedRuns = new Set<JobRun>();
  /** Machines with something to stop. */
  private readonly toStop = new Set<HeldMachine>();
  /** Something has changed that a plan depends on. */
  private replan = true;
  private sweptAt: Millis;
  private storingProgress = 0;
  private moving = false;
  private movedAt: Millis;
  /** Machines of the block at the claim that may still run what we have not seen. */
  private readonly claimFence = new Set<MachineId>();
  private attempts = 0;
  private proof: Millis | null;
  /** Earlier holders that may still command. */
  private readonly earlier: Map<NodeName, PreviousHolder>;
  private frozen = false;
  private demand: DemandSummary[] = [];
  private lastSpeculation: Millis;
  private readonly since: Millis;
  private largestGpuTask: Reserve | null = null;
  private dropped = false;

  constructor(
    readonly shard: ShardName,
    readonly claimedAt: Revision,
    value: ShardValue,
    previous: readonly PreviousHolder[],
    /** Machines that the holder before took for faulty. */
    faulty: readonly MachineId[],
    private readonly deps: HolderDeps,
  ) {
    const now = deps.runtime.now();
    this.lastSpeculation = now;
    this.since = now;
    this.sweptAt = millis(now - SWEEP_EVERY_MS);
    this.movedAt = millis(now - MOVES_EVERY_MS);
    this.earlier = new Map(previous.map((holder) => [holder.node, holder]));
    this.proof = previous.length === 0 ? now : null;
    this.syncBlock(value, claimedAt);
    for (const id of this.machines.keys()) this.claimFence.add(id);
    for (const id of faulty) this.machines.get(id)?.condemn(now);
    for (const entry of deps.mirror.under(JOBS)) {
      this.onJob({ key: entry.key, value: entry.value, removed: false, version: entry.version });
    }
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

  private unfence(id: MachineId): void {
    if (!this.claimFence.delete(id) || this.claimFence.size > 0) return;
    const afterMs = Math.round(this.deps.runtime.now() - this.since);
    this.deps.log.info({ shard: this.shard, afterMs }, 'every machine is known: jobs from before the claim go on');
  }

  drop(): void {
    this.dropped = true;
    for (const machine of this.machines.values()) machine.courier.close();
  }

  // ---- what is wanted: changes in the state service

  onShard(value: ShardValue, version: Revision): void {
    this.syncBlock(value, version);
    this.deps.nudge();
  }

  private syncBlock(value: ShardValue, version: Revision): void {
    const wanted = new Set(value.machines.map((m) => m.id));
    for (const info of value.machines) {
      if (this.machines.has(info.id)) continue;
      const machine: HeldMachine = new HeldMachine(
        info,
        version,
        this.deps.runtime,
        this.deps.log,
        this.whereabouts,
        {
          heard: () => {
            this.deps.heard();
            this.sync(machine);
            this.soon();
          },
          superseded: () => this.superseded(machine),
        },
        this.deps.sockets,
      );
      this.machines.set(info.id, machine);
    }
    for (const [id, machine] of this.machines) {
      if (wanted.has(id)) continue;
      // Whoever else takes a machine out of the block has had it deleted first: nothing is on it.
      machine.belief.expire();
      this.releaseAll(machine, 'machine gone');
      this.unfence(id);
      machine.courier.close();
      this.toStop.delete(machine);
      this.machines.delete(id);
    }
  }

  /** Something has changed: a round follows soon, with a plan. */
  private soon(): void {
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
    if (change.removed) {
      if (run && !run.ended) this.endRun(run);
      return;
    }
    if (isObject(change.value) && change.value['shard'] !== this.shard) {
      if (run && !run.ended) this.endRun(run);
      return;
    }
    if (run && !run.ended && run.version >= change.version) return;
    const record = decodeRecord(change.value);
    if (!record) return;
    if (run && !run.ended) {
      run.version = change.version;
      run.record = record;
      run.stored = record.done;
      return;
    }
    const bornField = isObject(change.value) ? change.value['born'] : undefined;
    const born = typeof bornField === 'number' ? revision(bornField) : change.version;
    const fresh = new JobRun(record, change.version, born, this.deps.runtime.now());
    if (run) this.endedRuns.delete(run);
    this.jobs.set(id, fresh);
    // Tasks of it may be listed already: this is a takeover, or the watch was late.
    for (const name of this.whereabouts.machinesOfJob(id)) {
      const machine = this.machines.get(name);
      if (!machine) continue;
      this.sync(machine);
      this.touch(machine);
    }
    this.soon();
  }

  private endRun(run: JobRun): void {
    run.ended = true;
    this.endedRuns.add(run);
    for (const name of this.whereabouts.machinesOfJob(run.id)) {
      const machine = this.machines.get(name);
      if (!machine) continue;
      this.toStop.add(machine);
      this.touch(machine);
    }
    this.soon();
  }

  /** The user cancelled it through another node, which tells us ahead of the watch. */
  async onCancelled(id: JobId): Promise<void> {
    const run = this.jobs.get(id);
    if (!run || run.ended) return;
    const state = await this.deps.registry.look(id);
    if (state.kind === 'ended') this.endRun(run);
  }

  private superseded(machine: HeldMachine): void {
    this.deps.log.info(
      { shard: this.shard, machine: machine.id },
      'a worker has seen a higher token: another holder is at work',
    );
    void this.deps.state.get(shardKey(this.shard)).then((read) => {
      if (read.kind !== 'found') return;
      this.deps.mirror.apply({
        key: read.entry.key,
        value: read.entry.value,
        removed: false,
        version: read.entry.version,
      });
    });
  }

  // ---- what is: workers' messages

  onReport(message: WorkerMessage): ReportReply {
    const machine = this.machines.get(message.machine);
    const now = this.deps.runtime.now();
    if (!machine || this.dropped) return { status: 421, body: encodeRedirect(null) };
    if (this.frozen || (machine.leaving?.since ?? 0) < 0)
      return { status: 503, body: { error: 'the shard changes hands' } };
    const { generation, fenced } = machine.belief;
    const verdict = machine.belief.take(message, now);
    if (verdict === 'superseded') {
      this.superseded(machine);
      return { status: 421, body: encodeRedirect(null) };
    }
    machine.courier.setAddress(message.address);
    if (verdict === 'taken') {
      const noticed = (message.noticeS === null) !== (machine.noticeUntil === null);
      machine.noticeUntil = message.noticeS === null ? null : millis(now + message.noticeS * 1000);
      if (generation !== machine.belief.generation || machine.lost || noticed || fenced !== machine.belief.fenced) {
        machine.lost = false;
        this.sync(machine);
        this.soon();
      }
    } else if (message.session < machine.belief.session || !machine.belief.heard) {
      return { status: 503, body: { error: 'an old report' } };
    }
    machine.belief.answered(now);
    return { status: 200, body: encodeReply(machine.belief.token, this.forgets(machine)) };
  }

  /**
   * Exited tasks that the worker need not keep. A finished one only when that is stored. Each forgetting
   * makes the worker report at once, so it waits for a few, or for the machine to be idle.
   */
  private forgets(machine: HeldMachine): Order[] {
    const orders: Order[] = [];
    let atOnce = machine.belief.empty;
    for (const [key, listed] of machine.belief.tasks) {
      if (listed.state !== 'exited' || machine.belief.pendingStarts.has(key)) continue;
      const run = this.jobs.get(listed.job);
      const kept = listed.why === 'done' && run && !run.ended && !run.stored.has(listed.index);
      if (!kept) orders.push({ op: 'forget', key, attempt: listed.attempt });
      // Such a task may be started there again, which is plainest when nothing is left of it.
      if (!kept && listed.why !== 'done') atOnce = true;
    }
    return atOnce || orders.length >= FORGET_AT_ONCE ? orders : [];
  }

  /** Takes in what a worker lists: progress, exits, and tasks that an earlier holder started. */
  private sync(machine: HeldMachine): void {
    const now = this.deps.runtime.now();
    if (machine.belief.fenced) this.unfence(machine.id);
    for (const [key, listed] of machine.belief.tasks) {
      const run = this.jobs.get(listed.job);
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
        this.onExit(machine, run, listed.index, mine ? active : undefined, listed, now);
      } else if (mine) {
        this.onState(machine, run, active, listed, now);
      } else if (!active && !run.done.has(listed.index)) {
        // Started by an earlier holder: it is kept running.
        const adopted: ActiveTask = {
          index: listed.index,
          machine: machine.id,
          attempt: listed.attempt,
          orderedAt: now,
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

  private assign(machine: HeldMachine, run: JobRun, task: ActiveTask): void {
    run.active.set(task.index, task);
    machine.active.set(taskKey(run.id, task.index), { run, task });
  }

  /** What is booked on a machine; null as long as its type is unknown. */
  private bookingOf(machine: HeldMachine, now: Millis): Booking | null {
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

  private inUse(machine: HeldMachine): boolean {
    return this.bookingOf(machine, this.deps.runtime.now())?.inUse ?? !machine.belief.empty;
  }

  private onState(machine: HeldMachine, run: JobRun, active: ActiveTask, listed: ListedTask, now: Millis): void {
    if (active.state !== listed.state) {
      active.state = listed.state;
      if (listed.state === 'running') {
        active.runningAt ??= now;
        run.startedAt ??= now;
        machine.noteImage(run.spec.image);
      }
    }
  }

  private onExit(
    machine: HeldMachine,
    run: JobRun,
    index: number,
    active: ActiveTask | undefined,
    listed: ListedTask,
    now: Millis,
  ): void {
    const { spec } = run;
    if (listed.why === 'done' && run.markDone(index)) {
      machine.noteImage(spec.image);
      if (active?.runningAt != null && spec.kind === 'array') {
        const ranS = (now - active.runningAt) / 1000;
        const typical = run.typicalRunS;
        if (typical !== null && typical > 1 && run.finishedRunsS.length >= 3) machine.noteRun(ranS / typical);
        run.noteRun(ranS);
      }
      this.soon();
    }
    if (listed.why === 'error') {
      this.onFailure(machine, run, index, now);
    }
    if (listed.why === 'no-room' || listed.why === 'busy') machine.coolUntil = millis(now + 1000);
    if (listed.why === 'unknown') run.notBefore = millis(now + 1000);
    if (active) this.release(machine, run, active, listed.why ?? 'exited');
  }

  /** Either the machine is at fault or the job: who fails wherever it is tried condemns nobody. */
  private onFailure(machine: HeldMachine, run: JobRun, index: number, now: Millis): void {
    const before = run.failsEverywhere;
    run.noteError(machine.id, now, this.deps.runtime.random());
    if (run.failsEverywhere) {
      if (before) return;
      for (const id of run.errorMachines) this.machines.get(id)?.absolve(run.id);
      this.deps.log.info(
        { job: run.id, machines: [...run.errorMachines] },
        'a job fails wherever it is tried: it is tried again now and then, behind everything else',
      );
      return;
    }
    const known = machine.faulty(now);
    machine.noteFailure(run.id, now);
    this.deps.log.debug({ job: run.id, index, machine: machine.id }, 'a task failed');
    if (!known && machine.faulty(now))
      this.deps.log.info(
        { machine: machine.id, job: run.id },
        'a machine fails what is started there: nothing new goes there',
      );
  }

  private release(machine: HeldMachine, run: JobRun, active: ActiveTask, why: string): void {
    run.noteRunning(active, this.deps.runtime.now());
    run.active.delete(active.index);
    machine.active.delete(taskKey(run.id, active.index));
    this.deps.log.debug({ job: run.id, index: active.index, machine: machine.id, why }, 'a task is off its machine');
    if (run.spec.kind === 'gang' && !run.done.has(active.index)) {
      // The attempt is broken: the rest leaves by itself or is told to, then all start again.
      for (const other of run.active.values()) if (other.state !== 'running') this.stop(run, other, 'regroup');
    }
    this.soon();
  }

  private releaseAll(machine: HeldMachine, why: string): void {
    for (const { run, task } of [...machine.active.values()]) this.release(machine, run, task, why);
  }

  private stop(run: JobRun, active: ActiveTask, reason: StopReason, graceS = run.graceS): void {
    if (active.stopping) return;
    if (reason === 'cancelled' || reason === 'regroup') graceS = 0;
    active.stopping = { reason, since: this.deps.runtime.now(), graceS };
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
  private stopWithMates(run: JobRun, active: ActiveTask, reason: StopReason): void {
    if (run.spec.kind !== 'gang') this.stop(run, active, reason);
    else for (const mate of run.active.values()) this.stop(run, mate, reason);
  }

  // ---- the difference

  round(): void {
    if (this.dropped || this.frozen) return;
    const now = this.deps.runtime.now();
    const sweep = now - this.sweptAt >= SWEEP_EVERY_MS;
    if (sweep) {
      this.sweptAt = now;
      this.expireLeases(now);
      this.heedNotices(now);
    }
    this.prune();
    this.store(now);
    if (now - this.lastSpeculation >= 1000) {
      this.lastSpeculation = now;
      this.speculate(now);
    }
    const orders = new Map<MachineId, Order[]>();
    this.collectStops(orders, now);
    if (sweep || this.replan) {
      this.replan = false;
      this.place(orders, now);
    }
    if (sweep) {
      for (const [id, machine] of this.machines) this.deliver(machine, orders.get(id) ?? [], now);
      this.letGo(now);
      return;
    }
    for (const [id, list] of orders) {
      const machine = this.machines.get(id);
      if (machine) this.deliver(machine, list, now);
    }
  }

  private expireLeases(now: Millis): void {
    const lease = this.deps.settings.workers.leaseMs;
    for (const machine of this.machines.values()) {
      if (machine.lost) continue;
      if (this.claimFence.has(machine.id) && this.proof === null) continue;
      const at = machine.belief.expiresAt(lease);
      // Only our own answers can have kept the worker alive, as long as nobody can have replaced us.
      if (now < at || this.deps.heldUntil() < at) continue;
      machine.lost = true;
      machine.belief.expire();
      this.unfence(machine.id);
      this.deps.log.info({ machine: machine.id }, 'a worker is silent and its lease is over');
      this.releaseAll(machine, 'lease over');
    }
  }

  /** Ended jobs stay until nothing of theirs is on a machine. */
  private prune(): void {
    for (const run of this.endedRuns) {
      for (const active of run.active.values()) this.stop(run, active, 'cancelled');
      if (run.active.size > 0 || this.whereabouts.names(run.id)) continue;
      this.endedRuns.delete(run);
      if (this.jobs.get(run.id) === run) this.jobs.delete(run.id);
    }
  }

  /**
   * Completions at once; progress as far as changes a second are left, the longest unsaved first.
   * Progress that is lost costs little, so nobody else's write ever waits for it.
   */
  private store(now: Millis): void {
    const unsaved: JobRun[] = [];
    for (const run of this.jobs.values()) {
      if (run.ended || run.storing || run.moving) continue;
      if (run.complete) {
        if (now >= run.finishNotBefore) void this.storing(run, () => this.finish(run));
      } else if (run.done.count > run.stored.count && now - run.lastStoredAt >= PROGRESS_EVERY_MS) unsaved.push(run);
    }
    if (unsaved.length === 0 || this.storingProgress >= PROGRESS_AT_ONCE) return;
    unsaved.sort((a, b) => a.lastStoredAt - b.lastStoredAt);
    for (const run of unsaved.slice(0, PROGRESS_AT_ONCE - this.storingProgress)) {
      this.storingProgress += 1;
      void this.storing(run, () => this.storeProgress(run)).finally(() => {
        this.storingProgress -= 1;
        this.deps.nudge();
      });
    }
  }

  private async storing(run: JobRun, write: () => Promise<void>): Promise<void> {
    run.storing = true;
    try {
      await write();
    } finally {
      run.lastStoredAt = this.deps.runtime.now();
      run.storing = false;
    }
  }

  private async finish(run: JobRun): Promise<void> {
    const result = await this.deps.registry.end(run.id, run.version, { phase: 'done', done: run.done.count }, 2000);
    if (result === 'ok') {
      if (!run.ended) this.endRun(run);
      this.deps.log.info({ job: run.id }, 'job done');
      return;
    }
    run.finishNotBefore = millis(this.deps.runtime.now() + FINISH_AGAIN_MS);
    if (result === 'conflict') await this.reread(run);
  }

  private async storeProgress(run: JobRun): Promise<void> {
    const done = run.done.copy();
    const record = { ...run.record, done };
    const value = { ...(encodeRecord(record) as object), born: run.born };
    const key = jobKey(run.id);
    const result = await this.deps.state.txn(Urgency.progress, [{ key, version: run.version }], [{ put: key, value }]);
    if (result.kind === 'ok') {
      this.deps.mirror.apply({ key, value, removed: false, version: result.revision });
      run.version = result.revision;
      run.record = record;
      run.stored = done;
    } else if (result.kind === 'conflict' || result.kind === 'unknown') await this.reread(run);
  }

  /** Somebody else wrote, or a write of unknown outcome was applied: what is stored decides. */
  private async reread(run: JobRun): Promise<void> {
    const key = jobKey(run.id);
    const read = await this.deps.state.get(key);
    if (read.kind === 'found') {
      this.deps.mirror.apply({ key, value: read.entry.value, removed: false, version: read.entry.version });
      const record = decodeRecord(read.entry.value);
      if (record && !run.ended && record.shard === this.shard) {
        run.version = read.entry.version;
        run.record = record;
        run.stored = record.done;
      }
    } else if (read.kind === 'absent') this.endRun(run);
  }

  private heedNotices(now: Millis): void {
    const drained = this.deps.operator().drained;
    for (const machine of this.machines.values()) {
      const leftS = machine.noticeUntil === null ? null : (machine.noticeUntil - now) / 1000;
      const drain = drained.has(machine.id);
      if (leftS === null && !drain) continue;
      for (const { run, task } of [...machine.active.values()]) {
        if (task.stopping) continue;
        if (drain) this.stopWithMates(run, task, 'drain');
        else if (leftS !== null && this.mustLeave(run, task, leftS, now)) this.stopWithMates(run, task, 'notice');
      }
    }
  }

  /** Work that can save runs until just before the end; work that cannot only if it finishes in time. */
  private mustLeave(run: JobRun, active: ActiveTask, leftS: number, now: Millis): boolean {
    if (run.spec.kind === 'service' || active.state !== 'running') return true;
    if (run.spec.checkpointS > 0) return leftS < run.spec.saveS + 3;
    return run.expectedRunS - (now - (active.runningAt ?? now)) / 1000 > leftS;
  }

  private speculate(now: Millis): void {
    const t = this.deps.operator().tunables;
    const booked: { cpu: number; memory: number }[] = [];
    const late = new Set<string>();
    for (const machine of this.machines.values()) {
      const b = this.bookingOf(machine, now);
      if (b?.known) booked.push({ cpu: 1 - b.freeCpus / b.type.cpus, memory: 1 - b.freeMemoryGb / b.type.memoryGb });
      if (now - machine.belief.lastHeardAt > 2 * this.deps.settings.workers.reportMs) late.add(machine.id);
    }
    const r = resourceR(booked, t);
    const flags: Flag[] = [];
    const running = new Map<string, number>();
    const wall = this.deps.runtime.wall();
    for (const run of this.jobs.values()) {
      if (run.ended || run.spec.kind !== 'array' || run.startedAt === null) continue;
      const started = run.startedAt;
      const tasks = [...run.active.values()].filter(
        (a) => a.state === 'running' && a.runningAt !== null && !a.stopping,
      );
      running.set(run.id, tasks.length);
      const startedWall = wall - (now - started);
      flags.push(
        ...flagTasks(
          {
            job: run.id,
            tasks: run.spec.tasks,
            finished: run.done.count,
            finishedRunsS: run.finishedRunsS,
            estimateS: run.spec.estimateS,
            deadlineS: run.spec.deadlineS === null ? null : run.spec.deadlineS - (startedWall - run.submittedAt) / 1000,
            running: tasks.map((a) => ({
              index: a.index,
              machine: a.machine,
              elapsedS: (now - (a.runningAt ?? now)) / 1000,
              startedAfterS: ((a.runningAt ?? now) - started) / 1000,
              restarted: run.restarted.has(a.index),
            })),
          },
          r,
          t,
        ),
      );
    }
    for (const flag of chooseRestarts(flags, running, late, t)) {
      const run = this.jobs.get(jobId(flag.job));
      const active = run?.active.get(flag.index);
      if (!run || !active) continue;
      run.restarted.add(flag.index);
      run.keepOff(active.machine, now);
      this.stop(run, active, 'straggler');
      this.deps.log.info(
        { job: run.id, index: flag.index, machine: flag.machine, threshold: flag.threshold, estimateS: flag.estimateS },
        'a straggler is restarted elsewhere',
      );
    }
  }

  private readonly specOf = (id: JobId): JobSpec | null => this.jobs.get(id)?.spec ?? null;

  private collectStops(orders: Map<MachineId, Order[]>, now: Millis): void {
    for (const machine of this.toStop) {
      const list: Order[] = [];
      let any = false;
      for (const [key, listed] of machine.belief.tasks) {
        if (listed.state === 'exited') continue;
        const grace = this.graceOf(machine, listed, now);
        if (grace === null) continue;
        any = true;
        const sentAt = machine.stopSentAt.get(key);
        const saving = listed.state === 'saving' && grace > 0;
        if (saving || (sentAt !== undefined && now - sentAt < STOP_AGAIN_MS)) continue;
        list.push({ op: 'stop', key, attempt: listed.attempt, graceS: grace });
      }
      if (list.length > 0) orders.set(machine.id, list);
      // What is still on its way there shows in a later message, which puts the machine back in.
      else if (!any) this.toStop.delete(machine);
    }
  }

  /** How long a task may save before it is gone, or null when it may stay. */
  private graceOf(machine: HeldMachine, listed: ListedTask, now: Millis): number | null {
    const run = this.jobs.get(listed.job);
    if (!run || run.ended || run.done.has(listed.index)) return 0;
    const active = run.active.get(listed.index);
    if (!active || active.machine !== machine.id || active.attempt !== listed.attempt) return 0;
    if (!active.stopping) return null;
    const { graceS, since } = active.stopping;
    const limit = (graceS + 5) * 1000 + this.deps.settings.workers.gangPeerMs;
    return now - since > limit ? 0 : graceS;
  }

  private usable(machine: HeldMachine, now: Millis): boolean {
    return now >= machine.coolUntil && machine.courier.ready() && this.sound(machine, now);
  }

  /** May take new tasks, but for a command that is just on its way. */
  private sound(machine: HeldMachine, now: Millis): boolean {
    const { belief } = machine;
    const operator = this.deps.operator();
    return (
      belief.fenced &&
      belief.heard &&
      !machine.lost &&
      !machine.leaving &&
      machine.noticeUntil === null &&
      machine.courier.failures === 0 &&
      now - belief.lastHeardAt < 2.5 * this.deps.settings.workers.reportMs + 500 &&
      !machine.faulty(now) &&
      !operator.cordoned.has(machine.id) &&
      !operator.drained.has(machine.id)
    );
  }

  private viewOf(machine: HeldMachine, now: Millis): MachineView | null {
    const b = this.bookingOf(machine, now);
    if (!b?.known) return null;
    const { type } = b;
    const usable = this.usable(machine, now);
    const suspicion = machine.suspicion(now);
    const images = machine.imageList;
    const known = machine.view;
    // Most machines are in one round what they were in the last.
    if (known?.booking === b && known.view.usable === usable && known.view.suspicion === suspicion) {
      if (known.view.images === images) return known.view;
    }
    const view: MachineView = {
      id: machine.id,
      type: machine.info.type,
      zone: machine.info.zone,
      spot: machine.info.spot,
      cpus: type.cpus,
      gpus: type.gpus,
      memoryGb: type.memoryGb,
      freeCpus: b.freeCpus,
      freeGpus: b.freeGpus,
      freeMemoryGb: b.freeMemoryGb,
      usable,
      images,
      fetchGbPerS: type.fetchGbPerS,
      fetching: b.fetching,
      cpuPrice: (machine.info.spot ? type.spotPrice : type.price) / type.cpus,
      suspicion,
      running: b.running,
    };
    machine.view = { booking: b, view };
    return view;
  }

  /** Seconds until the job misses its next and its last aim, by its deadline or its class's aims. */
  private slackOf(run: JobRun): { slackS: number; lastSlackS: number; aimed: boolean } {
    const { spec } = run;
    const sinceS = (this.deps.runtime.wall() - run.submittedAt) / 1000;
    const runS = run.expectedRunS * (spec.kind === 'array' && spec.tasks > 1 ? LAST_TASK : 1);
    const times: number[] = [];
    if (spec.deadlineS !== null) times.push(spec.deadlineS - runS);
    else {
      for (const o of this.deps.settings.objectives) {
        if (o.jobClass !== spec.jobClass || o.withinS === null) continue;
        if (o.kind === 'wait') times.push(o.withinS);
        if (o.kind === 'finished') times.push(o.withinS - runS);
      }
    }
    const aimed = times.length > 0;
    // Arrays that nobody has named a time for fill what is idle; everything else starts soon.
    if (!aimed) times.push(spec.kind === 'array' ? AIMLESS_ARRAY_S : AIMLESS_S);
    const ahead = times.map((t) => t - sinceS).filter((t) => t >= 0);
    const lastSlackS = Math.max(...times) - sinceS;
    return { slackS: ahead.length > 0 ? Math.min(...ahead) : lastSlackS, lastSlackS, aimed };
  }

  private workOf(run: JobRun): number {
    const runS = Math.max(1, run.expectedRunS);
    return (run.spec.tasks - run.done.count) * runS * run.spec.cpus;
  }

  /** The largest task with accelerators that was seen: what other work leaves room for. */
  private reserve(): Reserve | null {
    for (const run of this.jobs.values()) {
      if (run.spec.gpus > 0) this.largestGpuTask = maxReserve(this.largestGpuTask, run.spec);
    }
    return this.largestGpuTask;
  }

  /** Only teams with a limit; everything possibly there counts. */
  private teamUse(): Map<string, TeamUse> {
    const use = new Map<string, TeamUse>();
    for (const [name, team] of this.deps.settings.teams) {
      if (team.cpusMax > 0 || team.gpusMax > 0)
        use.set(name, { cpus: 0, gpus: 0, cpusMax: team.cpusMax, gpusMax: team.gpusMax });
    }
    if (use.size === 0) return use;
    for (const machine of this.machines.values()) {
      const keys = new Set<TaskKey>(machine.belief.pendingStarts.keys());
      for (const [key, listed] of machine.belief.tasks) if (listed.state !== 'exited') keys.add(key);
      for (const key of keys) {
        const parsed = parseTaskKey(key);
        const spec = parsed ? this.specOf(parsed.job) : null;
        const team = spec ? use.get(spec.team) : undefined;
        if (!spec || !team) continue;
        team.cpus += spec.cpus;
        team.gpus += spec.gpus;
      }
    }
    return use;
  }

  private place(orders: Map<MachineId, Order[]>, now: Millis): void {
    const teams = this.teamUse();
    const pending: PendingJob[] = [];
    for (const run of this.jobs.values()) {
      if (run.missing <= 0 || run.ended || run.moving || run.complete || now < run.notBefore) continue;
      // After a claim, what the earlier holder may have started is not started again before it is seen.
      if (this.claimFence.size > 0 && (run.born <= this.claimedAt || teams.has(run.spec.team))) continue;
      // Accepted by this very node, perhaps after a claim that the watch has not shown yet: the claimant
      // starts it at once, on machines that we might still command.
      if (!this.deps.certain() && run.born > this.deps.mirror.seenUpTo) continue;
      if (run.spec.kind === 'gang' && run.active.size > 0) continue;
      const most = run.failsEverywhere ? 1 : MAX_READY;
      const ready = run.ready(run.spec.kind === 'gang' ? run.spec.tasks : most);
      if (ready.length === 0) {
        run.unplacedSince = null;
        continue;
      }
      const { zoneUse, machineUse } = this.useOf(run);
      pending.push({
        spec: run.spec,
        ready,
        zoneUse,
        machineUse,
        avoid: run.avoided(now),
        ...this.slackOf(run),
        workS: this.workOf(run),
        suspect: run.failsEverywhere,
      });
    }
    if (pending.length === 0) {
      this.noteDemand([], now);
      return;
    }
    const views: MachineView[] = [];
    const relevant = relevance(pending.map((job) => job.spec));
    for (const machine of this.machines.values()) {
      const booking = this.bookingOf(machine, now);
      if (!booking || !relevant(machine.info, booking)) continue;
      const view = this.viewOf(machine, now);
      if (view?.usable === true) views.push(view);
    }
    const reserve = this.reserve();
    const plan = planPlacement({ machines: views, pending, teams, maxStarts: 200, reserve });
    for (const stop of plan.stops) {
      const run = this.jobs.get(stop.job);
      const active = run?.active.get(stop.index);
      if (!run || !active || active.stopping) continue;
      this.deps.log.info(
        { job: stop.job, index: stop.index, machine: stop.machine, for: stop.forJob },
        'preempting a task',
      );
      this.stop(run, active, 'preempted', stop.atOnce ? 0 : run.graceS);
    }
    const gangAttempts = new Map<JobId, Attempt>();
    for (const start of plan.starts) {
      const run = this.jobs.get(start.job);
      const key = taskKey(start.job, start.index);
      if (!run || this.possiblyAnywhere(key)) continue;
      let number = run.spec.kind === 'gang' ? gangAttempts.get(start.job) : undefined;
      if (number === undefined) {
        this.attempts += 1;
        // Grows across holders without a write: the claim's revision is part of it.
        number = attempt(this.claimedAt * 2 ** 20 + this.attempts);
        gangAttempts.set(start.job, number);
      }
      const machine = this.machines.get(start.machine);
      if (!machine) continue;
      this.assign(machine, run, {
        index: start.index,
        machine: start.machine,
        attempt: number,
        orderedAt: now,
        state: 'ordered',
        runningAt: null,
        stopping: null,
      });
      const list = orders.get(start.machine) ?? [];
      list.push({ op: 'start', key, attempt: number });
      orders.set(start.machine, list);
    }
    this.noteDemand(plan.unplaced, now);
  }

  /** A task may be started only if it is possibly nowhere. */
  private possiblyAnywhere(key: TaskKey): boolean {
    for (const id of this.whereabouts.machinesOf(key)) if (this.machines.get(id)?.belief.possibly(key)) return true;
    return false;
  }

  /** Where a job's tasks are, as far as its kind of job asks for it. */
  private useOf(run: JobRun): { zoneUse: Map<string, number>; machineUse: Map<MachineId, number> } {
    const zoneUse = new Map<string, number>();
    const machineUse = new Map<MachineId, number>();
    if (!run.spec.oneZone && !run.spec.spread && run.spec.kind !== 'service') return { zoneUse, machineUse };
    for (const active of run.active.values()) {
      const zone = this.machines.get(active.machine)?.info.zone ?? '';
      zoneUse.set(zone, (zoneUse.get(zone) ?? 0) + 1);
      machineUse.set(active.machine, (machineUse.get(active.machine) ?? 0) + 1);
    }
    return { zoneUse, machineUse };
  }

  private noteDemand(unplaced: readonly { readonly job: JobId; readonly count: number }[], now: Millis): void {
    let looks = 0;
    const waiting = new Set(unplaced.map((u) => u.job));
    for (const run of this.jobs.values()) if (!waiting.has(run.id)) run.unplacedSince = null;
    this.demand = [];
    for (const { job, count } of unplaced) {
      const run = this.jobs.get(job);
      // Nothing is rented and nothing is moved for a job that fails wherever it is tried.
      if (!run || run.failsEverywhere) continue;
      run.unplacedSince ??= now;
      // A moment's wait is a command on its way, not a lack of machines.
      if (now - run.unplacedSince < 150) continue;
      const missing = run.spec.kind === 'gang' ? count : Math.max(count, run.missing);
      this.demand.push({
        job,
        priority: run.spec.priority,
        missing,
        running: run.runningCount,
        slackS: this.slackOf(run).slackS,
        estimateS: run.expectedRunS,
        cpus: run.spec.cpus,
        gpus: run.spec.gpus,
      });
      if (now - run.unplacedSince <= MOVE_AFTER_MS || looks >= LOOK_ELSEWHERE_AT_ONCE) continue;
      // Room elsewhere is found by the others' summaries, which are no newer than this either.
      if (run.lookedAt !== null && now - run.lookedAt < LOOK_ELSEWHERE_EVERY_MS) continue;
      run.lookedAt = now;
      looks += 1;
      if (now - this.movedAt >= MOVES_EVERY_MS) this.moveElsewhere(run, count, now);
    }
  }

  /** A job with nothing possibly there may change shards, to where it can start. */
  private moveElsewhere(run: JobRun, count: number, now: Millis): void {
    if (run.active.size > 0 || run.storing || run.moving || this.claimFence.size > 0) return;
    if (this.whereabouts.names(run.id)) return;
    // Looking costs too: every machine of the other blocks is asked.
    this.movedAt = now;
    const to = this.deps.roomElsewhere(this.shard, run.spec, count);
    if (to === null || to === this.shard) return;
    run.moving = true;
    const key = jobKey(run.id);
    const done = run.done.copy();
    const value = { ...(encodeRecord({ ...run.record, done, shard: to }) as object), born: run.born };
    const own = this.deps.mirror.get(shardKey(this.shard));
    if (!own) {
      run.moving = false;
      return;
    }
    // Guarded by the shard too: whoever has claimed it may have started the job without a write.
    const guards = [
      { key, version: run.version as number },
      { key: shardKey(this.shard), version: own.version as number },
    ];
    void this.deps.state
      .txn(Urgency.shard, guards, [{ put: key, value }])
      .then(async (result) => {
        if (result.kind === 'ok') {
          this.deps.log.info({ job: run.id, from: this.shard, to }, 'a waiting job moves to a shard with room');
          this.deps.mirror.apply({ key, value, removed: false, version: result.revision });
          return;
        }
        // Applied later, it would give the job to another holder while this one runs it.
        if (result.kind === 'unknown')
          await settleKey(
            key,
            this.deps.state,
            this.deps.mirror,
            this.deps.runtime,
            () => !this.dropped && !run.ended,
            (stored) => (isObject(stored) ? { ...stored, born: run.born } : stored),
          );
        await this.reread(run);
      })
      .finally(() => {
        run.moving = false;
      });
  }

  private deliver(machine: HeldMachine, orders: Order[], now: Millis): void {
    const { belief, courier } = machine;
    const silent = now - belief.lastHeardAt > 1.4 * this.deps.settings.workers.reportMs;
    if (orders.length === 0 && belief.fenced && !(silent && !machine.lost)) return;
    if (!courier.ready()) return;
    for (const order of orders) {
      if (order.op === 'start') belief.noteStart(order.key, order.attempt);
      else machine.stopSentAt.set(order.key, now);
    }
    const startsUse = (o: Order): boolean => {
      if (o.op !== 'start') return false;
      const gpus = this.deps.types().get(machine.info.type)?.gpus ?? 0;
      const spec = this.specOf(parseTaskKey(o.key)?.job ?? jobId(''));
      return gpus <= 0 || !spec || usesAccelerators(spec);
    };
    if (orders.some(startsUse)) machine.emptySince = now;
    void courier.send(orders);
  }

  // ---- machines that leave, and the shard's own leaving

  /** The leader wants this machine elsewhere, or back; it leaves once it is empty. */
  transfer(id: MachineId, to: ShardName | null): void {
    const machine = this.machines.get(id);
    if (!machine || machine.leaving) return;
    if (!machine.belief.empty && this.inUse(machine)) return;
    machine.leaving = { to, since: this.deps.runtime.now() };
    // Idle accelerators leave although their cpus are lent out: that work saves and moves.
    for (const { run, task } of [...machine.active.values()]) this.stopWithMates(run, task, 'drain');
    this.soon();
  }

  /** All that are ready to leave for one place leave in one write: each writes the whole block's record. */
  private letGo(now: Millis): void {
    const ready = new Map<ShardName | null, HeldMachine[]>();
    for (const machine of this.machines.values()) {
      const { leaving } = machine;
      if (!leaving || leaving.since < 0) continue;
      if (now - leaving.since > LEAVE_WITHIN_MS) {
        machine.leaving = null;
        this.soon();
        continue;
      }
      const { belief } = machine;
      // Only empty, with nothing possibly there, and with nothing that we still have to store.
      if (!belief.fenced || !belief.empty || belief.tasks.size > 0 || !machine.courier.idle) continue;
      const to = leaving.to as ShardName | null;
      const list = ready.get(to);
      if (list) list.push(machine);
      else ready.set(to, [machine]);
    }
    const [next] = ready;
    if (!next || this.moving) return;
    this.moving = true;
    void this.moveMachines(next[1], next[0]).finally(() => {
      this.moving = false;
    });
  }

  private async moveMachines(machines: readonly HeldMachine[], to: ShardName | null): Promise<void> {
    const { mirror, state, log, settings } = this.deps;
    const own = mirror.get(shardKey(this.shard));
    const value = own ? decodeShard(own.value) : null;
    if (!own || !value || value.holder !== this.deps.self) return;
    const target = to === null ? undefined : mirror.get(shardKey(to));
    const theirs = target ? decodeShard(target.value) : null;
    const room = theirs ? blockLimit(settings.stateLimits.valueKb) - theirs.machines.length : Infinity;
    const leaving = machines.slice(0, to !== null && !theirs ? 0 : Math.max(0, room));
    for (const machine of machines.slice(leaving.length)) machine.leaving = null;
    if (leaving.length === 0) return;
    // From here on their reports are not answered: whoever has them next counts their leases from the write.
    for (const machine of leaving) machine.leaving = { to, since: millis(-1) };
    const ids = new Set(leaving.map((machine) => machine.id));
    const guards = [{ key: shardKey(this.shard), version: own.version as number }];
    const earlier = [...this.earlier.values()];
    const mine = encodeShard({ ...value, earlier, machines: value.machines.filter((m) => !ids.has(m.id)) });
    const ops = [{ put: shardKey(this.shard), value: mine }];
    if (to !== null && target && theirs) {
      const infos = leaving.map((machine) => ({ ...machine.info, address: machine.courier.knownAddress }));
      guards.push({ key: shardKey(to), version: target.version });
      ops.push({ put: shardKey(to), value: encodeShard({ ...theirs, machines: [...theirs.machines, ...infos] }) });
    }
    const result = await state.txn(Urgency.shard, guards, ops);
    if (result.kind === 'ok') {
      log.info({ machines: [...ids], from: this.shard, to }, 'machines leave the block');
      for (const op of ops) mirror.apply({ key: op.put, value: op.value, removed: false, version: result.revision });
      return;
    }
    // An unknown write may still be applied: the machines take nothing new until that is settled.
    if (result.kind === 'unknown') await settleShard(this.shard, state, mirror, this.deps.runtime, () => !this.dropped);
    for (const machine of leaving) machine.leaving = null;
    this.soon();
  }

  /** May the shard change hands without anybody noticing: everything in it is known and heard? */
  get quiet(): boolean {
    if (!this.fenced) return false;
    const now = this.deps.runtime.now();
    for (const machine of this.machines.values()) {
      if (!machine.belief.fenced || !machine.courier.idle || machine.belief.pendingStarts.size > 0) return false;
      if (machine.leaving || now - machine.belief.lastHeardAt > 2 * this.deps.settings.workers.reportMs) return false;
    }
    return true;
  }

  private get writing(): boolean {
    for (const machine of this.machines.values()) if ((machine.leaving?.since ?? 0) < 0) return true;
    for (const run of this.jobs.values()) if (run.storing || run.moving) return true;
    return false;
  }

  /**
   * Gives the shard up by a write: from there on this node commands nothing and answers no report,
   * so whoever claims it counts the workers' leases from that write.
   */
  async giveUp(why: string, to: NodeName | null = null): Promise<boolean> {
    if (this.frozen) return false;
    this.frozen = true;
    // Progress is written all the time: nothing new begins, and what is under way comes back first.
    for (
      const until = this.deps.runtime.now() + SETTLE_WITHIN_MS;
      this.writing && !this.dropped;
      await this.deps.runtime.sleep(20)
    ) {
      if (this.deps.runtime.now() < until) continue;
      this.frozen = false;
      return false;
    }
    const own = this.deps.mirror.get(shardKey(this.shard));
    const value = own ? decodeShard(own.value) : null;
    if (this.dropped || !own || !value || value.holder !== this.deps.self) {
      this.frozen = false;
      return false;
    }
    const next = encodeShard({ ...value, earlier: [...this.earlier.values()], released: true, next: to });
    const result = await this.deps.state.txn(
      Urgency.shard,
      [{ key: shardKey(this.shard), version: own.version }],
      [{ put: shardKey(this.shard), value: next }],
    );
    if (result.kind === 'ok') {
      this.deps.log.info({ shard: this.shard, why, to }, 'giving a shard up');
      this.deps.mirror.apply({ key: shardKey(this.shard), value: next, removed: false, version: result.revision });
      return true;
    }
    if (result.kind === 'unknown')
      await settleShard(this.shard, this.deps.state, this.deps.mirror, this.deps.runtime, () => !this.dropped);
    if (!this.dropped) this.frozen = false;
    return false;
  }

  // ---- what others are told

  runningOf(id: JobId): { running: number; done: number } | null {
    const run = this.jobs.get(id);
    return run && !run.ended ? { running: run.runningCount, done: run.done.count } : null;
  }

  /**
   * After a claim every old job waits for the last machine to acknowledge. When nearly all have, the few that
   * don't answer are dead rather than slow: losing them costs less than keeping everybody waiting.
   */
  private givenUpOn(machine: HeldMachine, now: Millis): boolean {
    const heldMs = now - this.since;
    if (heldMs > this.deps.settings.workers.leaseMs + 2000) return true;
    const few = this.claimFence.size * FEW_SILENT < this.machines.size;
    return few && machine.courier.failures >= SILENT_TRIES && heldMs > SILENT_FOR_MS;
  }

  summary(): ShardSummary {
    const now = this.deps.runtime.now();
    const machines: MachineSummary[] = [];
    let heardLately = 0;
    for (const machine of this.machines.values()) {
      if (now - machine.belief.lastHeardAt < 2.5 * this.deps.settings.workers.reportMs) heardLately += 1;
    }
    for (const machine of this.machines.values()) {
      const booking = this.bookingOf(machine, now);
      const silentMs = now - machine.belief.lastHeardAt;
      // Not acknowledged since the claim: it may run what was cancelled, and old jobs wait for it.
      const unknown = this.claimFence.has(machine.id) && this.givenUpOn(machine, now);
      // Silent for reports and for commands while others of the block are heard: not our own network.
      const dead =
        machine.courier.failures >= 2 &&
        silentMs > 2 * this.deps.settings.workers.reportMs + 1500 &&
        heardLately * 2 > this.machines.size;
      machines.push({
        id: machine.id,
        type: machine.info.type,
        zone: machine.info.zone,
        spot: machine.info.spot,
        freeCpus: booking?.freeCpus ?? 0,
        freeGpus: booking?.freeGpus ?? 0,
        freeMemoryGb: booking?.freeMemoryGb ?? 0,
        yieldCpus: booking?.yieldCpus ?? 0,
        yieldMemoryGb: booking?.yieldMemoryGb ?? 0,
        idleMs: this.inUse(machine) ? 0 : now - machine.emptySince,
        empty: machine.belief.empty,
        // Others send jobs and machines by this: what is only said to be usable makes jobs go in circles.
        usable: booking?.known === true && this.sound(machine, now),
        lost: machine.lost || dead || unknown,
        faulty: machine.faulty(now),
        images: machine.imageList,
      });
    }
    const running = [...this.jobs.values()]
      .filter((run) => !run.ended)
      .map((run) => ({ job: run.id, running: run.runningCount, done: run.done.count }));
    return { shard: this.shard, holder: this.deps.self, machines, demand: this.demand, running };
  }
}
