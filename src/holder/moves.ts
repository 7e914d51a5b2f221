import type { HeldShardState } from './held-shard-state.js';
import type { RecordStore } from './record-store.js';
import { encodeJobRecord } from '../jobs/index.js';
import { isObject, millis, type MachineId, type Millis, type NodeName, type ShardName } from '../kernel/index.js';
import {
  maxBlockMachines,
  encodeShard,
  addMachines,
  removeMachines,
  settlePendingWrites,
  settlePendingShardWrites,
  type MachineInsertion,
} from '../membership/index.js';
import { Urgency, jobKey, shardKey } from '../state/index.js';
import type { WantedCapacity } from './deps.js';
import type { HeldMachine } from './held-machine.js';
import { AVOID_MACHINE_MS, NO_MACHINES, type JobRun } from './job-run.js';

/**
 * Minimum time between job moves. Each is a write, and many small jobs must not use up the writes that accepting and
 * finishing jobs needs.
 */
const MOVE_INTERVAL_MS = 150;
/** A machine that has not become ready to leave by then stays in the block. */
const MACHINE_TRANSFER_TIMEOUT_MS = 10_000;
/** Time that pending writes have to complete when a shard is released. */
const PENDING_WRITES_TIMEOUT_MS = 2500;

/** The machines that an entry into another shard has room for. */
const acceptedMachines = (entry: MachineInsertion | null, machines: readonly HeldMachine[]): readonly HeldMachine[] => {
  const taken = new Set(entry?.taken.map(({ id }) => id));
  return machines.filter(({ id }) => taken.has(id));
};

/** Moves jobs to shards with capacity, transfers or returns machines, and releases the shard itself. */
export class Moves {
  private movingMachines = false;
  lastJobMoveAt: Millis;

  constructor(
    private readonly held: HeldShardState,
    private readonly recordStore: RecordStore,
  ) {
    this.lastJobMoveAt = millis(held.since - MOVE_INTERVAL_MS);
  }

  /** Moves a job to a shard with the wanted capacity. Only a job without tasks that may be on a machine here can move. */
  moveJob(run: JobRun, wanted: WantedCapacity, now: Millis): void {
    if (run.active.size > 0 || run.storeInProgress || run.moving || this.held.unfencedMachines.size > 0) return;
    if (this.held.taskIndex.hasTasksOf(run.id)) return;
    // The search counts as a move as well: it checks every machine of the other blocks.
    this.lastJobMoveAt = now;
    const to = this.held.deps.findShardWithCapacity(this.held.shard, run.spec, wanted);
    if (to === null || to === this.held.shard) return;
    run.moving = true;
    const key = jobKey(run.id);
    const done = run.done.copy();
    const record = { ...run.record, done, shard: to, failedOn: run.machinesToReport };
    const value = { ...(encodeJobRecord(record) as object), born: run.createdAtRevision };
    const ownEntry = this.held.deps.mirror.get(shardKey(this.held.shard));
    if (!ownEntry) {
      run.moving = false;
      return;
    }
    // Guarded by the shard's version too: a node that has claimed the shard may have started the job without a write.
    const guards = [
      { key, version: run.version as number },
      { key: shardKey(this.held.shard), version: ownEntry.version as number },
    ];
    void this.held.deps.state
      .txn(Urgency.shard, guards, [{ put: key, value }])
      .then(async (result) => {
        if (result.kind === 'ok') {
          this.held.deps.log.info(
            { job: run.id, from: this.held.shard, to },
            'moved a waiting job to a shard with capacity',
          );
          this.held.deps.mirror.apply({ key, value, removed: false, version: result.revision });
          return;
        }
        // If the write were applied later, another holder would get the job while this one runs it.
        if (result.kind === 'unknown')
          await settlePendingWrites(
            key,
            this.held.deps.state,
            this.held.deps.mirror,
            this.held.deps.runtime,
            () => !this.held.dropped && !run.ended,
            (stored) => (isObject(stored) ? { ...stored, born: run.createdAtRevision } : stored),
          );
        await this.recordStore.reread(run);
      })
      .finally(() => {
        run.moving = false;
      });
  }

  /** Moves a job unless the last move was less than `MOVE_INTERVAL_MS` ago. */
  moveJobIfDue(run: JobRun, now: Millis, wanted: WantedCapacity): void {
    if (now - this.lastJobMoveAt >= MOVE_INTERVAL_MS) this.moveJob(run, wanted, now);
  }

  /**
   * Moves a job that fails on every machine to a shard where it has not been tried, or to any other shard once it has
   * not failed here for as long as it avoids a machine: the machines of this shard may all be at fault.
   */
  moveFailingJob(run: JobRun, now: Millis): void {
    const { lastAt, machines } = run.failures;
    if (lastAt === null || !run.mayAttemptMove(now)) return;
    const avoid = now - lastAt < AVOID_MACHINE_MS ? new Set(machines) : NO_MACHINES;
    const count = run.spec.kind === 'gang' ? run.spec.tasks : 1;
    this.moveJobIfDue(run, now, { count, mayTry: true, avoid });
  }

  /**
   * Starts to move a machine to another shard, or to return it (`to` is null), as the leader asks. It leaves once it is
   * empty. A machine that is in use stays.
   */
  transfer(id: MachineId, to: ShardName | null): void {
    const machine = this.held.members.findPresent(id);
    if (!machine || machine.leaving) return;
    if (!machine.tracker.empty && this.held.inUse(machine)) return;
    machine.leaving = { to, since: this.held.deps.runtime.now() };
    // A machine with idle accelerators leaves even if arrays use its CPUs: those tasks save and start again elsewhere.
    for (const { run, task } of [...machine.active.values()]) this.held.stopWithGang(run, task, 'drain');
    this.held.requestReplan();
  }

  /**
   * Transfers all machines that are ready for one destination in one write, because each write contains the whole
   * block's record.
   */
  transferEmptyMachines(now: Millis): void {
    const ready = new Map<ShardName | null, HeldMachine[]>();
    for (const machine of this.held.machines.values()) {
      const { leaving } = machine;
      if (!leaving || leaving.since < 0) continue;
      if (now - leaving.since > MACHINE_TRANSFER_TIMEOUT_MS) {
        machine.leaving = null;
        this.held.requestReplan();
        continue;
      }
      const { tracker } = machine;
      // It leaves only when it is empty, no task may be there, and no exit that is listed there remains to be stored.
      if (!tracker.fenced || !tracker.empty || tracker.tasks.size > 0 || !machine.commandSender.idle) continue;
      const to = leaving.to as ShardName | null;
      const list = ready.get(to);
      if (list) list.push(machine);
      else ready.set(to, [machine]);
    }
    const [next] = ready;
    if (!next || this.movingMachines) return;
    this.movingMachines = true;
    void this.moveMachines(next[1], next[0]).finally(() => {
      this.movingMachines = false;
    });
  }

  /** Writes the transfer of machines to another shard, or their return. */
  private async moveMachines(machines: readonly HeldMachine[], to: ShardName | null): Promise<void> {
    const { mirror, state, log, directory } = this.held.deps;
    const own = directory.all.get(this.held.shard);
    if (!own || own.value.holder !== this.held.deps.self) return;
    const target = to === null ? undefined : directory.all.get(to);
    // One write removes the machines of one page; the others follow in the next round.
    const [first] = removeMachines(this.held.shard, own, new Set(machines.map(({ id }) => id)));
    const batch = machines.filter(({ id }) => first?.ids.includes(id) === true);
    const infos = batch.map((machine) => ({ ...machine.info, address: machine.commandSender.knownAddress }));
    const { limits } = state;
    const room = { maxRecordMachines: maxBlockMachines(limits.currentMaxValueKb), pageBytes: limits.maxValueBytes };
    const entry = to !== null && target ? addMachines(to, target, infos, room) : null;
    const taken = to === null ? batch : acceptedMachines(entry, batch);
    for (const machine of batch) if (!taken.includes(machine)) machine.leaving = null;
    if (taken.length === 0) return;
    const ids = new Set(taken.map((machine) => machine.id));
    const earlier = [...this.held.previousHolders.values()];
    const [left] = removeMachines(this.held.shard, { ...own, value: { ...own.value, earlier } }, ids);
    if (!left) return;
    // From here on their reports are not answered, because the next holder counts their leases from this write.
    for (const machine of taken) machine.leaving = { to, since: millis(-1) };
    const head = { key: shardKey(this.held.shard), version: own.version as number };
    const guards = new Map([head, ...left.change.guards, ...(entry?.change.guards ?? [])].map((g) => [g.key, g]));
    const ops = [...left.change.ops, ...(entry?.change.ops ?? [])];
    const result = await state.txn(Urgency.shard, [...guards.values()], ops);
    if (result.kind === 'ok') {
      log.info({ machines: [...ids], from: this.held.shard, to }, 'transferred machines out of the block');
      mirror.applyTxn(ops, result.revision);
      return;
    }
    // A write of unknown outcome may still be applied: the machines get no new tasks until it is settled.
    if (result.kind === 'unknown') {
      for (const { key } of left.change.guards)
        await settlePendingWrites(key, state, mirror, this.held.deps.runtime, () => !this.held.dropped);
    }
    for (const machine of taken) machine.leaving = null;
    this.held.requestReplan();
  }

  /**
   * Whether the shard can change holders without disruption: its machines are all fenced, have sent a message recently
   * and have no pending orders.
   */
  get canBeHandedOver(): boolean {
    if (!this.held.fenced) return false;
    const now = this.held.deps.runtime.now();
    for (const machine of this.held.machines.values()) {
      if (!machine.tracker.fenced || !machine.commandSender.idle || machine.tracker.pendingStarts.size > 0)
        return false;
      if (
        machine.isMissing ||
        machine.leaving ||
        now - machine.tracker.lastMessageAt > 2 * this.held.deps.settings.workers.reportMs
      )
        return false;
    }
    return true;
  }

  /** Whether writes about machines or jobs of the shard are in flight. */
  private get hasPendingWrites(): boolean {
    for (const machine of this.held.machines.values()) if ((machine.leaving?.since ?? 0) < 0) return true;
    for (const run of this.held.jobs.values()) if (run.storeInProgress || run.moving) return true;
    return false;
  }

  /**
   * Releases the shard by a write, for the node `to` if given. From that write on this node sends no commands and
   * answers no reports, so the next holder counts the workers' leases from it. Returns false when the shard stays here.
   */
  async releaseShard(why: string, to: NodeName | null = null): Promise<boolean> {
    // The next holder would not know of machines that are missing from the block.
    if (this.held.releasing || this.held.members.missingCount > 0) return false;
    this.held.releasing = true;
    // Progress is written all the time: no new writes begin, and the pending ones complete first.
    for (
      const until = this.held.deps.runtime.now() + PENDING_WRITES_TIMEOUT_MS;
      this.hasPendingWrites && !this.held.dropped;
      await this.held.deps.runtime.sleep(20)
    ) {
      if (this.held.deps.runtime.now() < until) continue;
      this.held.releasing = false;
      return false;
    }
    const ownEntry = this.held.deps.directory.all.get(this.held.shard);
    const value = ownEntry?.value;
    if (this.held.dropped || !ownEntry || !value || value.holder !== this.held.deps.self) {
      this.held.releasing = false;
      return false;
    }
    const next = encodeShard({ ...value, earlier: [...this.held.previousHolders.values()], released: true, next: to });
    // No commands are sent until this write completes, so it must not queue behind users' submissions.
    const result = await this.held.deps.state.txn(
      Urgency.session,
      [{ key: shardKey(this.held.shard), version: ownEntry.version }],
      [{ put: shardKey(this.held.shard), value: next }],
    );
    if (result.kind === 'ok') {
      this.held.deps.log.info({ shard: this.held.shard, why, to }, 'giving a shard up');
      this.held.deps.mirror.apply({
        key: shardKey(this.held.shard),
        value: next,
        removed: false,
        version: result.revision,
      });
      return true;
    }
    if (result.kind === 'unknown')
      await settlePendingShardWrites(
        this.held.shard,
        this.held.deps.state,
        this.held.deps.mirror,
        this.held.deps.runtime,
        () => !this.held.dropped,
      );
    if (!this.held.dropped) this.held.releasing = false;
    return false;
  }
}
