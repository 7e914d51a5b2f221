import { TeamQuotaTracker } from './team-quotas.js';
import { TaskEvictor } from './evictions.js';
import { HeldShardState } from './held-shard-state.js';
import { missingMachineEmptyAt } from './block-members.js';
import { Moves } from './moves.js';
import { TaskPlacer } from './task-placer.js';
import { RecordStore } from './record-store.js';
import {
  jobId,
  millis,
  parseTaskKey,
  type MachineId,
  type Millis,
  type NodeName,
  type ShardName,
} from '../kernel/index.js';
import type { Change } from '../state/index.js';
import type { MachineSummary, ShardSummary } from '../peers/index.js';
import { nextCommandOrders, type Order } from '../workers/index.js';
import type { TeamNeed } from '../quota/index.js';
import { keepsGpuMachineInUse } from './booking.js';
import { NO_MACHINES } from './job-run.js';
import type { HeldMachine } from './held-machine.js';
import { logOrders } from './order-log.js';

/** Interval of the checks that depend on time alone, such as lease expiry, regardless of the reports in between. */
const SWEEP_INTERVAL_MS = 250;
/** After a claim, unfenced machines may be given up early when they are fewer than one in this many machines. */
const MIN_MACHINES_PER_UNFENCED = 10;
/** Failed commands, and time since the claim, after which an unfenced machine may be given up early. */
const GIVE_UP_AFTER_FAILED_COMMANDS = 3;
const GIVE_UP_AFTER_MS = 3000;
/** A stop order is repeated at this interval until the worker lists the task as saving or exited. */
const STOP_RESEND_INTERVAL_MS = 2500;

/**
 * Holds one shard: each round reconciles the desired and the observed state. A restart and a takeover follow the same
 * steps: claim the shard, fence every machine, resume.
 */
export class ShardHolder extends HeldShardState {
  private lastSweepAt: Millis;
  private lastStragglerCheckAt: Millis;
  private readonly recordStore: RecordStore;
  private readonly evictor: TaskEvictor;
  private readonly moves: Moves;
  private readonly placer: TaskPlacer;
  private readonly teamQuotas: TeamQuotaTracker;

  constructor(...args: ConstructorParameters<typeof HeldShardState>) {
    super(...args);
    this.lastStragglerCheckAt = this.since;
    this.lastSweepAt = millis(this.since - SWEEP_INTERVAL_MS);
    this.recordStore = new RecordStore(this);
    this.evictor = new TaskEvictor(this);
    this.moves = new Moves(this, this.recordStore);
    this.teamQuotas = new TeamQuotaTracker(this);
    this.placer = new TaskPlacer(this, this.moves, this.teamQuotas);
  }

  /** Starts to move a machine to another shard, or to return it if `to` is null; see `Moves.transfer`. */
  transfer(id: MachineId, to: ShardName | null): void {
    this.moves.transfer(id, to);
  }

  /** Whether the shard can change holders without disruption; see `Moves.canBeHandedOver`. */
  get canBeHandedOver(): boolean {
    return this.moves.canBeHandedOver;
  }

  /** Handles a change of the record that stores the progress of this shard's jobs as a group. */
  onProgress(change: Change): void {
    this.recordStore.grouped.onChange(change);
  }

  /** Releases the shard by a write; see `Moves.releaseShard`. */
  releaseShard(why: string, to: NodeName | null = null): Promise<boolean> {
    return this.moves.releaseShard(why, to);
  }

  /** Runs one reconcile round. */
  reconcile(): void {
    if (this.dropped || this.releasing) return;
    const now = this.deps.runtime.now();
    const sweep = now - this.lastSweepAt >= SWEEP_INTERVAL_MS;
    if (sweep) {
      this.lastSweepAt = now;
      this.expireLeases(now);
      this.evictor.evictForDrainsAndNotices(now);
    }
    this.pruneEndedRuns();
    this.recordStore.storeDue(now);
    if (now - this.lastStragglerCheckAt >= 1000) {
      this.lastStragglerCheckAt = now;
      this.evictor.restartStragglers(now);
    }
    const orders = new Map<MachineId, Order[]>();
    this.collectStops(orders, now);
    if (sweep || this.planOutdated) {
      this.planOutdated = false;
      this.placer.place(orders, now);
    }
    if (sweep) {
      if (this.deps.quotas.isReturning())
        this.teamQuotas.relocateWorkAccountedElsewhere((run) =>
          this.moves.moveJobIfDue(run, now, { count: 1, mayTry: true, avoid: NO_MACHINES }),
        );
      for (const [id, machine] of this.machines) this.sendOrders(machine, orders.get(id) ?? [], now);
      this.moves.transferEmptyMachines(now);
      return;
    }
    for (const [id, list] of orders) {
      const machine = this.machines.get(id);
      if (machine) this.sendOrders(machine, list, now);
    }
  }

  /** Removes the tasks of workers whose lease has expired. */
  private expireLeases(now: Millis): void {
    const { leaseMs, reportMs } = this.deps.settings.workers;
    for (const machine of this.machines.values()) {
      if (machine.lost) continue;
      if (this.unfencedMachines.has(machine.id) && this.previousHoldersStoppedAt === null) continue;
      const at = machine.isMissing
        ? missingMachineEmptyAt(machine, leaseMs, reportMs)
        : machine.tracker.leaseExpiresAt(leaseMs);
      // Only this holder's answers can have renewed the worker's lease if no other node can have claimed the shard
      // until `at`.
      if (now < at || this.deps.ownershipProvenAt() < at) continue;
      if (machine.isMissing) {
        this.members.expire(machine);
        continue;
      }
      machine.lost = true;
      machine.tracker.expireLease();
      this.markFenced(machine.id);
      this.deps.trail?.record({ kind: 'lost', machine: machine.id });
      this.deps.log.info({ machine: machine.id }, 'worker lost: it is silent and its lease has expired');
      this.recordAllAttemptsGone(machine, 'lease over');
    }
  }

  /** Removes ended jobs once none of their tasks may be on a machine. */
  private pruneEndedRuns(): void {
    for (const run of this.endedRuns) {
      for (const active of run.active.values()) this.stop(run, active, 'cancelled');
      if (run.active.size > 0 || this.taskIndex.hasTasksOf(run.id)) continue;
      this.endedRuns.delete(run);
      if (this.jobs.get(run.id) === run) this.jobs.delete(run.id);
    }
  }

  /** Adds stop orders for listed tasks that have to stop, repeated until the worker lists them as exited. */
  private collectStops(orders: Map<MachineId, Order[]>, now: Millis): void {
    for (const machine of this.machinesWithStops) {
      const list: Order[] = [];
      let hasStops = false;
      for (const [key, listed] of machine.tracker.tasks) {
        if (listed.state === 'exited') continue;
        const grace = this.stopGraceS(machine, listed, now);
        if (grace === null) continue;
        hasStops = true;
        const sentAt = machine.stopSentAt.get(key);
        const saving = listed.state === 'saving' && grace > 0;
        if (saving || (sentAt !== undefined && now - sentAt < STOP_RESEND_INTERVAL_MS)) continue;
        list.push({ op: 'stop', key, attempt: listed.attempt, graceS: grace });
      }
      if (list.length > 0) orders.set(machine.id, list);
      // A start that is still in flight shows up in a later message, which adds the machine again.
      else if (!hasStops) this.machinesWithStops.delete(machine);
    }
  }

  /**
   * Sends orders to a worker, or an empty command as a probe when it is unfenced or silent or sends only stale messages.
   */
  private sendOrders(machine: HeldMachine, wanted: readonly Order[], now: Millis): void {
    const { tracker, commandSender } = machine;
    if (machine.isMissing) return;
    const silent = now - tracker.lastMessageAt > 1.4 * this.deps.settings.workers.reportMs;
    if (wanted.length === 0 && tracker.fenced && !tracker.needsProbe && !(silent && !machine.lost)) return;
    if (!commandSender.ready()) return;
    // What is not sent is not recorded either, so that a later round orders it again.
    const orders = nextCommandOrders(wanted);
    for (const order of orders) {
      if (order.op === 'start') tracker.recordStart(order.key, order.attempt);
      else machine.stopSentAt.set(order.key, now);
    }
    logOrders(this, machine, orders, 'sending orders to worker');
    const startsKeepInUse = (o: Order): boolean => {
      if (o.op !== 'start') return false;
      const gpus = this.deps.types().get(machine.info.type)?.gpus ?? 0;
      const spec = this.specOf(parseTaskKey(o.key)?.job ?? jobId(''));
      return gpus <= 0 || !spec || keepsGpuMachineInUse(spec);
    };
    if (orders.some(startsKeepInUse)) machine.idleSince = now;
    void commandSender.send(orders);
  }

  /**
   * Whether an unfenced machine is given up. After a claim, jobs from before it wait until the last machine has
   * acknowledged the token. When nearly all have, the few that do not answer are dead rather than slow, and losing them
   * costs less than making all these jobs wait.
   */
  private isGivenUp(machine: HeldMachine, now: Millis): boolean {
    const heldMs = now - this.since;
    if (heldMs > this.deps.settings.workers.leaseMs + 2000) return true;
    const few = this.unfencedMachines.size * MIN_MACHINES_PER_UNFENCED < this.machines.size;
    return few && machine.commandSender.failures >= GIVE_UP_AFTER_FAILED_COMMANDS && heldMs > GIVE_UP_AFTER_MS;
  }

  /** Number of tasks of unknown jobs. Above 0, they keep teams with a limit from starting anything. */
  get blockingUnknownTasks(): number {
    return this.teamQuotas.blockingUnknownTasks;
  }

  /** Whether all tasks that may be on the machines are known and the shard is not changing holders. */
  get settled(): boolean {
    return this.fenced && !this.releasing && !this.dropped && this.deps.leaseValid();
  }

  /** What teams with a limit use and wait for in this shard. */
  teamNeeds(): ReadonlyMap<string, TeamNeed> {
    return this.teamQuotas.needs(this.placer.shareBound);
  }

  /** Whether it has open jobs of teams with a limit whose whole limit is assigned to another shard. */
  get hasWorkAccountedElsewhere(): boolean {
    return this.teamQuotas.hasWorkAccountedElsewhere;
  }

  /** Summary of the shard's machines and demand for the peers and the leader. */
  summary(): ShardSummary {
    const now = this.deps.runtime.now();
    const machines: MachineSummary[] = [];
    const { reportMs, leaseMs } = this.deps.settings.workers;
    let heardLately = 0;
    let reportedLately = 0;
    const present = [...this.machines.values()].filter(({ isMissing }) => !isMissing);
    for (const { tracker } of present) {
      if (now - tracker.lastMessageAt < 2.5 * reportMs) heardLately += 1;
      if (now - tracker.lastReportAt < 2.5 * reportMs) reportedLately += 1;
    }
    for (const machine of present) {
      const booking = this.bookingOf(machine, now);
      const silentMs = now - machine.tracker.lastMessageAt;
      // It has not acknowledged the token since the claim: it may run cancelled tasks, and earlier jobs wait for it.
      const unknown = this.unfencedMachines.has(machine.id) && this.isGivenUp(machine, now);
      // It neither reports nor answers commands. Most other machines of the block do report or answer, so this node's
      // own network is not the cause.
      const unreachable =
        machine.commandSender.failures >= 2 && silentMs > 2 * reportMs + 1500 && heardLately * 2 > present.length;
      // It answers commands but its reports reach no controller, while most other machines' do: its leases expire.
      const unreportedMs = now - machine.tracker.lastReportAt;
      const respondsToCommands = silentMs < 2.5 * reportMs;
      const unreporting =
        respondsToCommands && unreportedMs > leaseMs + 2 * reportMs && reportedLately * 2 > present.length;
      if (unreporting !== machine.unreporting && (unreporting || unreportedMs < 2.5 * reportMs)) {
        machine.unreporting = unreporting;
        const what = unreporting
          ? 'machine answers commands but reaches no controller with its reports: giving it up'
          : 'machine reports again';
        this.deps.log.info({ machine: machine.id }, what);
      }
      const assessment = machine.assess(now);
      const acceptsTasks = booking?.known === true && this.placer.acceptsTasks(machine, now);
      const stateToLog = machine.stateToLog(now);
      if (stateToLog !== null) this.deps.log.info({ machine: machine.id, state: stateToLog }, 'machine health changed');
      const lost = machine.lost || unreachable || unreporting || unknown;
      if (lost) machine.reportedLostAt = now;
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
        idleMs: this.inUse(machine) ? 0 : now - machine.idleSince,
        empty: machine.tracker.empty,
        // Peers move jobs and machines based on this. If it were true of unusable machines, jobs would move in circles.
        usable: acceptsTasks && assessment.state === 'healthy',
        lost,
        faulty: assessment.faulty,
        onProbation: acceptsTasks && assessment.state === 'probation' && assessment.startLimit > 0,
        images: machine.imageList,
      });
    }
    const running = [...this.jobs.values()]
      .filter((run) => !run.ended)
      .map((run) => ({ job: run.id, running: run.runningCount, done: run.done.count }));
    return { shard: this.shard, holder: this.deps.self, machines, demand: this.placer.demand, running };
  }
}
