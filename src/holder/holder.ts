import { TeamAccounts } from './accounts.js';
import { Departures } from './departures.js';
import { HeldShard } from './held.js';
import { missingUntil } from './members.js';
import { Moves } from './moves.js';
import { Starts } from './starts.js';
import { RecordStore } from './store.js';
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
import type { Order } from '../workers/index.js';
import type { TeamNeed } from '../quota/index.js';
import { usesAccelerators } from './booking.js';
import type { HeldMachine } from './machine.js';

/** What depends on time alone is looked at this often, whatever is reported in between. */
const SWEEP_EVERY_MS = 250;
/** After a claim: of so many machines one may be silent, through so many tries, for so long. */
const FEW_SILENT = 10;
const SILENT_TRIES = 3;
const SILENT_FOR_MS = 3000;
const STOP_AGAIN_MS = 2500;

/**
 * Holds one shard: each round works out the difference between what is wanted and what is. A restart and a
 * takeover are the same: claim, fence every machine, go on.
 */
export class ShardHolder extends HeldShard {
  private sweptAt: Millis;
  private lastSpeculation: Millis;
  private readonly store: RecordStore;
  private readonly departures: Departures;
  private readonly moves: Moves;
  private readonly starts: Starts;
  private readonly accounts: TeamAccounts;

  constructor(...made: ConstructorParameters<typeof HeldShard>) {
    super(...made);
    this.lastSpeculation = this.since;
    this.sweptAt = millis(this.since - SWEEP_EVERY_MS);
    this.store = new RecordStore(this);
    this.departures = new Departures(this);
    this.moves = new Moves(this, this.store);
    this.accounts = new TeamAccounts(this);
    this.starts = new Starts(this, this.moves, this.accounts);
  }

  /** The leader wants this machine elsewhere, or back; it leaves once it is empty. */
  transfer(id: MachineId, to: ShardName | null): void {
    this.moves.transfer(id, to);
  }

  /** May the shard change hands without anybody noticing: everything in it is known and heard? */
  get quiet(): boolean {
    return this.moves.quiet;
  }

  /** What is stored as done of this shard's jobs has changed. */
  onProgress(change: Change): void {
    this.store.grouped.onChange(change);
  }

  /** Gives the shard up by a write; see `Moves`. */
  giveUp(why: string, to: NodeName | null = null): Promise<boolean> {
    return this.moves.giveUp(why, to);
  }

  round(): void {
    if (this.dropped || this.frozen) return;
    const now = this.deps.runtime.now();
    const sweep = now - this.sweptAt >= SWEEP_EVERY_MS;
    if (sweep) {
      this.sweptAt = now;
      this.expireLeases(now);
      this.departures.heedNotices(now);
    }
    this.prune();
    this.store.store(now);
    if (now - this.lastSpeculation >= 1000) {
      this.lastSpeculation = now;
      this.departures.speculate(now);
    }
    const orders = new Map<MachineId, Order[]>();
    this.collectStops(orders, now);
    if (sweep || this.replan) {
      this.replan = false;
      this.starts.place(orders, now);
    }
    if (sweep) {
      if (this.deps.quotas.isReturning()) this.accounts.foldForeign((run) => this.moves.moveSoon(run, now));
      for (const [id, machine] of this.machines) this.deliver(machine, orders.get(id) ?? [], now);
      this.moves.letGo(now);
      return;
    }
    for (const [id, list] of orders) {
      const machine = this.machines.get(id);
      if (machine) this.deliver(machine, list, now);
    }
  }

  private expireLeases(now: Millis): void {
    const { leaseMs, reportMs } = this.deps.settings.workers;
    for (const machine of this.machines.values()) {
      if (machine.lost) continue;
      if (this.claimFence.has(machine.id) && this.proof === null) continue;
      const at = machine.missing ? missingUntil(machine, leaseMs, reportMs) : machine.belief.expiresAt(leaseMs);
      // Only our own answers can have kept the worker alive, as long as nobody can have replaced us.
      if (now < at || this.deps.heldUntil() < at) continue;
      if (machine.missing) {
        this.members.expire(machine);
        continue;
      }
      machine.lost = true;
      machine.belief.expire();
      this.unfence(machine.id);
      this.deps.trail?.note({ kind: 'lost', machine: machine.id });
      this.deps.log.info({ machine: machine.id }, 'a worker is silent and its lease is over');
      this.releaseAll(machine, 'lease over');
    }
  }

  /** Ended jobs stay until nothing of theirs is on a machine. */
  private prune(): void {
    for (const run of this.endedRuns) {
      for (const active of run.active.values()) this.stop(run, active, 'cancelled');
      if (run.active.size > 0 || this.taskIndex.names(run.id)) continue;
      this.endedRuns.delete(run);
      if (this.jobs.get(run.id) === run) this.jobs.delete(run.id);
    }
  }

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

  private deliver(machine: HeldMachine, orders: Order[], now: Millis): void {
    const { belief, commandSender } = machine;
    if (machine.missing) return;
    const silent = now - belief.lastHeardAt > 1.4 * this.deps.settings.workers.reportMs;
    if (orders.length === 0 && belief.fenced && !belief.doubted && !(silent && !machine.lost)) return;
    if (!commandSender.ready()) return;
    for (const order of orders) {
      if (order.op === 'start') belief.noteStart(order.key, order.attempt);
      else machine.stopSentAt.set(order.key, now);
    }
    this.tellOrders(machine, orders);
    const startsUse = (o: Order): boolean => {
      if (o.op !== 'start') return false;
      const gpus = this.deps.types().get(machine.info.type)?.gpus ?? 0;
      const spec = this.specOf(parseTaskKey(o.key)?.job ?? jobId(''));
      return gpus <= 0 || !spec || usesAccelerators(spec);
    };
    if (orders.some(startsUse)) machine.emptySince = now;
    void commandSender.send(orders);
  }

  /** Starts and stops, with what allows them: the claim, the token, and how much of the state service was seen. */
  private tellOrders(machine: HeldMachine, orders: readonly Order[]): void {
    const { deps, shard, claimedAt } = this;
    if (orders.length === 0 || !deps.log.isLevelEnabled('debug')) return;
    const named = orders.map(({ op, key, attempt }) => ({ op, key, attempt }));
    const { token, session } = machine.belief;
    const rights = { claimedAt, standing: deps.standing(), seenUpTo: deps.mirror.seenUpTo };
    deps.log.debug({ shard, machine: machine.id, token, session, ...rights, orders: named }, 'orders go to a worker');
  }

  /**
   * After a claim every old job waits for the last machine to acknowledge. When nearly all have, the few that
   * don't answer are dead rather than slow: losing them costs less than keeping everybody waiting.
   */
  private givenUpOn(machine: HeldMachine, now: Millis): boolean {
    const heldMs = now - this.since;
    if (heldMs > this.deps.settings.workers.leaseMs + 2000) return true;
    const few = this.claimFence.size * FEW_SILENT < this.machines.size;
    return few && machine.commandSender.failures >= SILENT_TRIES && heldMs > SILENT_FOR_MS;
  }

  /** Tasks of jobs that nobody knows any more, which keep teams with a limit from starting anything. */
  get heldBackBy(): number {
    return this.accounts.heldBackBy;
  }

  /** Everything that may be on its machines is known, and it is not changing hands. */
  get settled(): boolean {
    return this.fenced && !this.frozen && !this.dropped && this.deps.certain();
  }

  /** What limited teams use here and wait for. */
  teamNeeds(): ReadonlyMap<string, TeamNeed> {
    return this.accounts.needs(this.starts.shareBound);
  }

  /** It has work of limited teams whose account another shard keeps. */
  get hasForeignWork(): boolean {
    return this.accounts.foreign;
  }

  summary(): ShardSummary {
    const now = this.deps.runtime.now();
    const machines: MachineSummary[] = [];
    const { reportMs, leaseMs } = this.deps.settings.workers;
    let heardLately = 0;
    let reportedLately = 0;
    const present = [...this.machines.values()].filter(({ missing }) => !missing);
    for (const { belief } of present) {
      if (now - belief.lastHeardAt < 2.5 * reportMs) heardLately += 1;
      if (now - belief.lastReportAt < 2.5 * reportMs) reportedLately += 1;
    }
    for (const machine of present) {
      const booking = this.bookingOf(machine, now);
      const silentMs = now - machine.belief.lastHeardAt;
      // Not acknowledged since the claim: it may run what was cancelled, and old jobs wait for it.
      const unknown = this.claimFence.has(machine.id) && this.givenUpOn(machine, now);
      // Silent for reports and for commands while others of the block are heard: not our own network.
      const dead =
        machine.commandSender.failures >= 2 && silentMs > 2 * reportMs + 1500 && heardLately * 2 > present.length;
      // It answers commands and reaches no controller, while others of the block do: no lease of its lasts.
      const unreportedMs = now - machine.belief.lastReportAt;
      const answers = silentMs < 2.5 * reportMs;
      const mute = answers && unreportedMs > leaseMs + 2 * reportMs && reportedLately * 2 > present.length;
      if (mute !== machine.mute && (mute || unreportedMs < 2.5 * reportMs)) {
        machine.mute = mute;
        const what = mute ? 'a machine answers commands and reaches no controller: it is given up' : 'it reports again';
        this.deps.log.info({ machine: machine.id }, what);
      }
      const lost = machine.lost || dead || mute || unknown;
      if (lost) machine.givenUpAt = now;
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
        usable: booking?.known === true && this.starts.sound(machine, now),
        lost,
        faulty: machine.faulty(now),
        images: machine.imageList,
      });
    }
    const running = [...this.jobs.values()]
      .filter((run) => !run.ended)
      .map((run) => ({ job: run.id, running: run.runningCount, done: run.done.count }));
    return { shard: this.shard, holder: this.deps.self, machines, demand: this.starts.demand, running };
  }
}
