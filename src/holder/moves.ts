import type { HeldShard } from './held.js';
import type { RecordStore } from './store.js';
import { encodeRecord } from '../jobs/index.js';
import { isObject, millis, type MachineId, type Millis, type NodeName, type ShardName } from '../kernel/index.js';
import { blockLimit, encodeShard, enter, leave, settleKey, settleShard, type Entry } from '../membership/index.js';
import { Urgency, jobKey, shardKey } from '../state/index.js';
import type { HeldMachine } from './machine.js';
import type { JobRun } from './run.js';

/** Each move is a write: a swarm of small jobs must not spend what accepting and finishing them needs. */
const MOVES_EVERY_MS = 150;
const LEAVE_WITHIN_MS = 10_000;
/** Writes that are under way when a shard is given up have so long to come back. */
const SETTLE_WITHIN_MS = 2500;

const machinesOf = (entry: Entry | null, machines: readonly HeldMachine[]): readonly HeldMachine[] => {
  const taken = new Set(entry?.taken.map(({ id }) => id));
  return machines.filter(({ id }) => taken.has(id));
};

/** What leaves the shard: jobs to where there is room, machines to other blocks or back, and the shard itself. */
export class Moves {
  private moving = false;
  movedAt: Millis;

  constructor(
    private readonly held: HeldShard,
    private readonly store: RecordStore,
  ) {
    this.movedAt = millis(held.since - MOVES_EVERY_MS);
  }

  /** A job with nothing possibly there may change shards, to where it can start. */
  moveElsewhere(run: JobRun, count: number, now: Millis): void {
    if (run.active.size > 0 || run.storing || run.moving || this.held.claimFence.size > 0) return;
    if (this.held.taskIndex.names(run.id)) return;
    // Looking costs too: every machine of the other blocks is asked.
    this.movedAt = now;
    const to = this.held.deps.roomElsewhere(this.held.shard, run.spec, count);
    if (to === null || to === this.held.shard) return;
    run.moving = true;
    const key = jobKey(run.id);
    const done = run.done.copy();
    const value = { ...(encodeRecord({ ...run.record, done, shard: to }) as object), born: run.born };
    const own = this.held.deps.mirror.get(shardKey(this.held.shard));
    if (!own) {
      run.moving = false;
      return;
    }
    // Guarded by the shard too: whoever has claimed it may have started the job without a write.
    const guards = [
      { key, version: run.version as number },
      { key: shardKey(this.held.shard), version: own.version as number },
    ];
    void this.held.deps.state
      .txn(Urgency.shard, guards, [{ put: key, value }])
      .then(async (result) => {
        if (result.kind === 'ok') {
          this.held.deps.log.info(
            { job: run.id, from: this.held.shard, to },
            'a waiting job moves to a shard with room',
          );
          this.held.deps.mirror.apply({ key, value, removed: false, version: result.revision });
          return;
        }
        // Applied later, it would give the job to another holder while this one runs it.
        if (result.kind === 'unknown')
          await settleKey(
            key,
            this.held.deps.state,
            this.held.deps.mirror,
            this.held.deps.runtime,
            () => !this.held.dropped && !run.ended,
            (stored) => (isObject(stored) ? { ...stored, born: run.born } : stored),
          );
        await this.store.reread(run);
      })
      .finally(() => {
        run.moving = false;
      });
  }

  /** The same as far as moves may be made now: each is a write. */
  moveSoon(run: JobRun, now: Millis, count = 1): void {
    if (now - this.movedAt >= MOVES_EVERY_MS) this.moveElsewhere(run, count, now);
  }

  /** The leader wants this machine elsewhere, or back; it leaves once it is empty. */
  transfer(id: MachineId, to: ShardName | null): void {
    const machine = this.held.members.present(id);
    if (!machine || machine.leaving) return;
    if (!machine.belief.empty && this.held.inUse(machine)) return;
    machine.leaving = { to, since: this.held.deps.runtime.now() };
    // Idle accelerators leave although their cpus are lent out: that work saves and moves.
    for (const { run, task } of [...machine.active.values()]) this.held.stopWithMates(run, task, 'drain');
    this.held.soon();
  }

  /** All that are ready to leave for one place leave in one write: each writes the whole block's record. */
  letGo(now: Millis): void {
    const ready = new Map<ShardName | null, HeldMachine[]>();
    for (const machine of this.held.machines.values()) {
      const { leaving } = machine;
      if (!leaving || leaving.since < 0) continue;
      if (now - leaving.since > LEAVE_WITHIN_MS) {
        machine.leaving = null;
        this.held.soon();
        continue;
      }
      const { belief } = machine;
      // Only empty, with nothing possibly there, and with nothing that we still have to store.
      if (!belief.fenced || !belief.empty || belief.tasks.size > 0 || !machine.commandSender.idle) continue;
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
    const { mirror, state, log, directory } = this.held.deps;
    const own = directory.all.get(this.held.shard);
    if (!own || own.value.holder !== this.held.deps.self) return;
    const target = to === null ? undefined : directory.all.get(to);
    // What one page names leaves at once; others follow in the next round.
    const [first] = leave(this.held.shard, own, new Set(machines.map(({ id }) => id)));
    const together = machines.filter(({ id }) => first?.ids.includes(id) === true);
    const infos = together.map((machine) => ({ ...machine.info, address: machine.commandSender.knownAddress }));
    const { limits } = state;
    const room = { recordMost: blockLimit(limits.presentValueKb), pageBytes: limits.valueBytes };
    const entry = to !== null && target ? enter(to, target, infos, room) : null;
    const taken = to === null ? together : machinesOf(entry, together);
    for (const machine of together) if (!taken.includes(machine)) machine.leaving = null;
    if (taken.length === 0) return;
    const ids = new Set(taken.map((machine) => machine.id));
    const earlier = [...this.held.earlier.values()];
    const [left] = leave(this.held.shard, { ...own, value: { ...own.value, earlier } }, ids);
    if (!left) return;
    // From here on their reports are not answered: whoever has them next counts their leases from the write.
    for (const machine of taken) machine.leaving = { to, since: millis(-1) };
    const head = { key: shardKey(this.held.shard), version: own.version as number };
    const guards = new Map([head, ...left.change.guards, ...(entry?.change.guards ?? [])].map((g) => [g.key, g]));
    const ops = [...left.change.ops, ...(entry?.change.ops ?? [])];
    const result = await state.txn(Urgency.shard, [...guards.values()], ops);
    if (result.kind === 'ok') {
      log.info({ machines: [...ids], from: this.held.shard, to }, 'machines leave the block');
      mirror.wrote(ops, result.revision);
      return;
    }
    // An unknown write may still be applied: the machines take nothing new until that is settled.
    if (result.kind === 'unknown') {
      for (const { key } of left.change.guards)
        await settleKey(key, state, mirror, this.held.deps.runtime, () => !this.held.dropped);
    }
    for (const machine of taken) machine.leaving = null;
    this.held.soon();
  }

  /** May the shard change hands without anybody noticing: everything in it is known and heard? */
  get quiet(): boolean {
    if (!this.held.fenced) return false;
    const now = this.held.deps.runtime.now();
    for (const machine of this.held.machines.values()) {
      if (!machine.belief.fenced || !machine.commandSender.idle || machine.belief.pendingStarts.size > 0) return false;
      if (
        machine.missing ||
        machine.leaving ||
        now - machine.belief.lastHeardAt > 2 * this.held.deps.settings.workers.reportMs
      )
        return false;
    }
    return true;
  }

  private get writing(): boolean {
    for (const machine of this.held.machines.values()) if ((machine.leaving?.since ?? 0) < 0) return true;
    for (const run of this.held.jobs.values()) if (run.storing || run.moving) return true;
    return false;
  }

  /**
   * Gives the shard up by a write: from there on this node commands nothing and answers no report,
   * so whoever claims it counts the workers' leases from that write.
   */
  async giveUp(why: string, to: NodeName | null = null): Promise<boolean> {
    // Whoever claims the shard wouldn't know of machines that are missing from its block.
    if (this.held.frozen || this.held.members.missing > 0) return false;
    this.held.frozen = true;
    // Progress is written all the time: nothing new begins, and what is under way comes back first.
    for (
      const until = this.held.deps.runtime.now() + SETTLE_WITHIN_MS;
      this.writing && !this.held.dropped;
      await this.held.deps.runtime.sleep(20)
    ) {
      if (this.held.deps.runtime.now() < until) continue;
      this.held.frozen = false;
      return false;
    }
    const own = this.held.deps.directory.all.get(this.held.shard);
    const value = own?.value;
    if (this.held.dropped || !own || !value || value.holder !== this.held.deps.self) {
      this.held.frozen = false;
      return false;
    }
    const next = encodeShard({ ...value, earlier: [...this.held.earlier.values()], released: true, next: to });
    // From here on nothing is commanded until it is through: not behind users' submissions.
    const result = await this.held.deps.state.txn(
      Urgency.session,
      [{ key: shardKey(this.held.shard), version: own.version }],
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
      await settleShard(
        this.held.shard,
        this.held.deps.state,
        this.held.deps.mirror,
        this.held.deps.runtime,
        () => !this.held.dropped,
      );
    if (!this.held.dropped) this.held.frozen = false;
    return false;
  }
}
