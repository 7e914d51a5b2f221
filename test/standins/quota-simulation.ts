import {
  isObject,
  millis,
  revision,
  shardName,
  type Millis,
  type Revision,
  type ShardName,
} from '../../src/kernel/index.js';
import { QuotaShares, type QuotaDeps, type QuotaHolder, type QuotaMode, type TeamNeed } from '../../src/quota/index.js';
import {
  QUOTAS_PREFIX,
  ROLLOUT_STATE_KEY,
  shardKey,
  type Entry,
  type Guard,
  type Op,
  type TxnResult,
} from '../../src/state/index.js';

/**
 * Safeguards from docs/quota-design.md that a run may omit, to show that each is needed. 'lower at once': a share
 * counts as lowered while the write that lowers it is in flight. 'settle': a shard's record is rewritten after a write
 * with unknown outcome. 'record guard': writes are guarded by the version of the quota record. 'settled holders': only
 * a holder that knows all tasks on its machines takes part.
 */
export type OmittedSafeguard = 'nothing' | 'lower at once' | 'settle' | 'record guard' | 'settled holders';

export const TEAM = 'team';
const STEP_MS = 100;
const MAX_DELAY_STEPS = 120;
const SETTLE_STEPS = 25;

/** One change in the store's log. */
interface LoggedChange {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** Simulated state service: keys with versions, and a log of all changes in order. */
class Store {
  readonly keys = new Map<string, Entry>();
  readonly log: LoggedChange[] = [];

  holds(guards: readonly Guard[]): boolean {
    return guards.every(({ key, version }) => (this.keys.get(key)?.version ?? 0) === version);
  }

  write(ops: readonly Op[]): Revision {
    const version = revision((this.log.at(-1)?.version ?? 0) + 1);
    for (const op of ops) {
      const key = 'put' in op ? op.put : op.remove;
      const value = 'put' in op ? op.value : undefined;
      if (value === undefined) this.keys.delete(key);
      else this.keys.set(key, { key, value, version });
      this.log.push({ key, value, version });
    }
    return version;
  }
}

/** Actual state of a shard: the team's running and waiting tasks, and which node has held it since which revision. */
interface Shard {
  readonly name: ShardName;
  use: number;
  waiting: number;
  holder: number;
  claimedAt: Revision;
  /** The step from which the holder knows what runs on the shard's machines. */
  settledAt: number;
}

/** One controller: the real quota code on a mirror that lags behind the store. */
class Node {
  readonly entries = new Map<string, Entry>();
  seen = 0;
  readonly shares: QuotaShares;
  /** Shards that the node believes it holds; another may have claimed them since. */
  readonly held = new Set<Shard>();

  constructor(
    private readonly world: QuotaSimulation,
    readonly n: number,
  ) {
    this.shares = new QuotaShares(this.deps());
    if (world.omitted === 'lower at once') {
      // A share that a write in flight lowers is lowered only once the write is done.
      (this.shares as unknown as { lowered: { set: () => void } }).lowered.set = () => undefined;
    }
  }

  /** Applies a change from the store to this node's mirror. */
  applyChange({ key, value, version }: LoggedChange): void {
    const known = this.entries.get(key);
    if (known && known.version >= version) return;
    // A node that sees another node's claim of a shard no longer holds it.
    const holder = isObject(value) ? value['holder'] : undefined;
    for (const shard of this.held) if (shardKey(shard.name) === key && holder !== this.n) this.held.delete(shard);
    if (value === undefined) this.entries.delete(key);
    else this.entries.set(key, { key, value, version: revision(version) });
  }

  private deps(): QuotaDeps {
    const { world } = this;
    return {
      teams: world.teams,
      state: {
        limits: { writeRps: 1000, txnOps: 16 } as QuotaDeps['state']['limits'],
        writers: 1,
        get: (key) => {
          const entry = world.store.keys.get(key);
          return Promise.resolve(entry ? { kind: 'found', entry } : { kind: 'absent' });
        },
        txn: (_urgency, guards, ops) => world.txn(guards, ops),
      },
      mirror: {
        get: (key) => this.entries.get(key),
        apply: ({ key, value, version }) => this.applyChange({ key, value, version }),
        applyTxn: (ops, version) => {
          for (const op of ops)
            this.applyChange(
              'put' in op ? { key: op.put, value: op.value, version } : { key: op.remove, value: undefined, version },
            );
        },
      },
      runtime: { now: () => world.now },
      log: { info: () => undefined, warn: () => undefined, error: () => undefined },
      mode: () => (this.entries.get(ROLLOUT_STATE_KEY)?.value as QuotaMode | undefined) ?? 'whole',
      shards: () => world.shards.map(({ name }) => name),
      sealed: () =>
        new Map(
          world.shards.flatMap(({ name }) => {
            const entry = this.entries.get(shardKey(name));
            return entry ? [[name, entry.version] as const] : [];
          }),
        ),
      holders: () => [...this.held].map((shard) => this.holderOf(shard)),
      sendNeeds: (needs) => {
        for (const node of world.nodes) if (node !== this && world.random() > 0.2) node.shares.recordNeeds(needs);
      },
      settlePendingWrites: (shard) => (world.omitted === 'settle' ? Promise.resolve() : world.settle(shard)),
    };
  }

  private holderOf(shard: Shard): QuotaHolder {
    const { world } = this;
    const settled = world.omitted === 'settled holders' || world.step >= shard.settledAt;
    const known = settled && world.step >= shard.settledAt ? shard.use : 0;
    const need: TeamNeed = {
      use: { cpus: known, gpus: 0 },
      waiting: { cpus: shard.waiting, gpus: 0 },
      unit: { cpus: 1, gpus: 0 },
      ...{ priority: 1, waitedMs: 100 },
    };
    return { shard: shard.name, claimedAt: shard.claimedAt, settled, teamNeeds: () => new Map([[TEAM, need]]) };
  }
}

/**
 * Simulates nodes that start and end tasks, claim each other's shards, and write with delays. The use of all shards
 * together must stay within the limit.
 */
export class QuotaSimulation {
  step = 0;
  readonly store = new Store();
  readonly shards: Shard[];
  readonly nodes: Node[];
  teams: Map<string, { cpus: number; cpusMax: number; gpus: number; gpusMax: number }>;
  /** Events that are due at a later step. */
  private readonly late: { readonly at: number; readonly run: () => void }[] = [];
  writes = 0;

  constructor(
    readonly random: () => number,
    readonly limit: number,
    readonly omitted: OmittedSafeguard,
    size = 3,
  ) {
    this.teams = new Map([[TEAM, { cpus: 0, cpusMax: limit, gpus: 0, gpusMax: 0 }]]);
    this.shards = Array.from({ length: size }, (_, i) => ({
      ...{ name: shardName(`s-${i}`), use: 0, waiting: 0, holder: i, claimedAt: revision(1), settledAt: 0 },
    }));
    this.nodes = this.shards.map((_, i) => new Node(this, i));
    for (const shard of this.shards) {
      const version = this.store.write([{ put: shardKey(shard.name), value: { holder: shard.holder } }]);
      shard.claimedAt = version;
      this.nodes[shard.holder]?.held.add(shard);
    }
    this.store.write([{ put: ROLLOUT_STATE_KEY, value: 'shared' }]);
  }

  get now(): Millis {
    return millis(this.step * STEP_MS);
  }

  get used(): number {
    return this.shards.reduce((sum, { use }) => sum + use, 0);
  }

  /** Changes the limit for all nodes at once. */
  setLimit(limit: number): void {
    this.teams.set(TEAM, { cpus: 0, cpusMax: limit, gpus: 0, gpusMax: 0 });
  }

  /** Runs a transaction. Some are refused, some lose their response, and some are applied long after. */
  txn(guards: readonly Guard[], ops: readonly Op[]): Promise<TxnResult> {
    this.writes += 1;
    const checked =
      this.omitted === 'record guard' ? guards.filter(({ key }) => !key.startsWith(QUOTAS_PREFIX)) : guards;
    const apply = (): TxnResult =>
      this.store.holds(checked) ? { kind: 'ok', revision: this.store.write(ops) } : { kind: 'conflict' };
    const drawn = this.random();
    if (drawn < 0.08) return Promise.resolve({ kind: 'refused' });
    if (drawn < 0.2) {
      this.after(Math.floor(this.random() * MAX_DELAY_STEPS), () => void apply());
      return this.later(3, () => ({ kind: 'unknown' }));
    }
    if (drawn < 0.3) {
      apply();
      return this.later(3, () => ({ kind: 'unknown' }));
    }
    return this.later(Math.floor(this.random() * 3), apply);
  }

  /** Schedules `run` for `steps` steps from now. */
  private after(steps: number, run: () => void): void {
    this.late.push({ at: this.step + steps, run });
  }

  /** Resolves with `result()` after `steps` steps. */
  private later<T>(steps: number, result: () => T): Promise<T> {
    return new Promise((resolve) => this.after(steps, () => resolve(result())));
  }

  /** Rewrites a shard's record, so that delayed writes guarded by its old version fail. */
  settle(name: ShardName): Promise<void> {
    const key = shardKey(name);
    const entry = this.store.keys.get(key);
    if (entry) this.store.write([{ put: key, value: entry.value }]);
    return Promise.resolve();
  }

  private pick<T>(from: readonly T[]): T | undefined {
    return from[Math.floor(this.random() * from.length)];
  }

  private node(): Node | undefined {
    return this.pick(this.nodes);
  }

  /** One step: runs the events that are due, then one random event, then starts and ends tasks in all shards. */
  async tick(): Promise<void> {
    this.step += 1;
    for (const due of this.late.filter(({ at }) => at <= this.step)) {
      this.late.splice(this.late.indexOf(due), 1);
      due.run();
    }
    const node = this.node();
    const drawn = this.random();
    if (node && drawn < 0.6) this.watch(node, Math.ceil(this.random() * 4));
    else if (node && drawn < 0.85) node.shares.reconcile();
    else if (drawn < 0.9) this.claim();
    else if (drawn < 0.97) {
      const shard = this.pick(this.shards);
      if (shard) shard.waiting = Math.floor(this.random() * this.limit);
    }
    // Promises of this step settle before the next step.
    await new Promise((resolve) => setImmediate(resolve));
    this.work();
  }

  /** Delivers up to `changes` changes of the store's log to a node. */
  private watch(node: Node, changes: number): void {
    for (let i = 0; i < changes; i++) {
      const logged = this.store.log[node.seen];
      if (!logged) return;
      node.seen += 1;
      node.applyChange(logged);
    }
  }

  /**
   * Lets a random node claim a random shard. It sees all changes up to its claim, but learns only later what runs
   * there.
   */
  private claim(): void {
    const shard = this.pick(this.shards);
    const node = this.node();
    if (!shard || !node || shard.holder === node.n) return;
    // The previous holder goes on writing until its watch shows the claim.
    shard.claimedAt = this.store.write([{ put: shardKey(shard.name), value: { holder: node.n } }]);
    this.watch(node, this.store.log.length);
    shard.holder = node.n;
    shard.settledAt = this.step + SETTLE_STEPS;
    node.held.add(shard);
  }

  /** Ends and starts tasks at random, within the caps that the holders know. */
  private work(): void {
    for (const shard of this.shards) {
      const node = this.nodes[shard.holder];
      if (this.random() < 0.15 && shard.use > 0) shard.use -= 1;
      if (!node || this.step < shard.settledAt || shard.waiting <= 0 || this.random() < 0.4) continue;
      const cap = node.shares.capOf(TEAM, shard.name);
      if (cap && shard.use + 1 > cap.cpus + 1e-6) continue;
      shard.use += 1;
      shard.waiting -= 1;
    }
  }

  /** The stored quota record; null if there is none. */
  get stored(): unknown {
    return this.store.keys.get(`${QUOTAS_PREFIX}${TEAM}`)?.value ?? null;
  }

  /** Starts with tasks in several shards from before limits were divided; all nodes know that the mode is 'shared'. */
  startWithUse(uses: readonly number[]): void {
    for (const node of this.nodes) this.watch(node, this.store.log.length);
    uses.forEach((use, i) => {
      const shard = this.shards[i];
      if (shard) shard.use = use;
    });
  }
}
