import { Subject } from 'rxjs';
import { Carrier, type BoundFacts } from '../../src/carry/index.js';
import {
  incarnation,
  millis,
  nodeName,
  revision,
  shardName,
  wallMillis,
  type Incarnation,
  type JobId,
  type Millis,
  type NodeName,
  type Revision,
  type ShardName,
  type Timer,
} from '../../src/kernel/index.js';
import type { KnownShard } from '../../src/membership/index.js';
import type { PeerMessage, PeerStatus } from '../../src/peers/index.js';
import { CARRIED_CANCELLATIONS } from '../../src/rollout/index.js';
import { jobKey, nodeKey, SHARDS, shardKey, type Change, type Entry } from '../../src/state/index.js';

/** Guards of the argument in docs/cancel-design.md that a run may leave out, to see that they are needed. */
export type LeftOut = 'nothing' | 'acknowledgement' | 'bound' | 'catching up';

export interface Fault {
  readonly at: number;
  readonly forMs: number;
  readonly kind: 'refused' | 'outage' | 'apart' | 'end' | 'still' | 'out of reach';
  readonly node: number;
  readonly other: number;
}

export const FACTS: BoundFacts = { cancelMs: 48_000, leaseMs: 18_000, nodeLeaseMs: 4000 };
const STEP_MS = 100;
const REPORT_MS = 2000;
const FEATURES = [CARRIED_CANCELLATIONS];

/** The state service: every change in order, and keys of nodes that run out. */
class Store {
  readonly log: Change[] = [];
  readonly keys = new Map<string, Entry>();
  readonly refused = new Set<number>();
  down = false;

  write(changes: readonly { readonly key: string; readonly value?: unknown }[]): Revision {
    const version = revision((this.log.at(-1)?.version ?? 0) + 1);
    for (const { key, value } of changes) {
      const removed = value === undefined;
      if (removed) this.keys.delete(key);
      else this.keys.set(key, { key, value, version });
      this.log.push({ key, value, removed, version });
    }
    return version;
  }

  serves(node: number): boolean {
    return !this.down && !this.refused.has(node);
  }
}

interface Held {
  readonly claimedAt: Revision;
}

/** One life of a controller: the real carrier between a mirror that lags and holders that know what is over. */
class Life {
  readonly incarnation: Incarnation;
  readonly carrier: Carrier;
  readonly held = new Map<ShardName, Held>();
  readonly over = new Set<JobId>();
  readonly entries = new Map<string, Entry>();
  readonly changes = new Subject<Change>();
  readonly inbox: { readonly from: number; readonly message: PeerMessage; readonly due: number }[] = [];
  readonly heard = new Map<NodeName, PeerStatus>();
  seen = revision(0);
  renewedAt = millis(Number.NEGATIVE_INFINITY);
  registered = false;
  private waiters: { readonly upTo: Revision; readonly resolve: (there: boolean) => void }[] = [];

  constructor(
    private readonly world: Carrying,
    readonly n: number,
  ) {
    this.incarnation = incarnation(`life-${world.lives++}`);
    const self = nodeName(`n-${n}`);
    this.carrier = new Carrier({
      ...{ self, incarnation: this.incarnation, facts: FACTS, runtime: world.runtimeOf(n) },
      others: world.nodes.filter((node) => node !== n).map((node) => nodeName(`n-${node}`)),
      log: { info: () => undefined, warn: () => undefined },
      state: { txn: (_urgency, _guards, ops) => Promise.resolve(this.txn(ops)) },
      mirror: this.mirror(),
      directory: this.directory(),
      peers: { send: (to, message) => this.send(to, message), statusOf: (node) => this.heard.get(node) ?? null },
      on: () => world.leftOut !== 'acknowledgement',
      renewedAt: () => this.renewedAt,
      held: () => [...this.held].map(([shard, { claimedAt }]) => [shard, claimedAt] as const),
      ousted: (shard) => this.held.delete(shard),
      over: (id) => this.over.add(id),
    });
  }

  private txn(ops: readonly object[]): { kind: 'refused' } | { kind: 'ok'; revision: Revision } {
    if (!this.world.store.serves(this.n)) return { kind: 'refused' };
    return { kind: 'ok', revision: this.world.store.write(ops.map(renamed)) };
  }

  private mirror(): ConstructorParameters<typeof Carrier>[0]['mirror'] {
    const seen = (): Revision => this.seen;
    return {
      get: (key) => this.entries.get(key),
      apply: (change) => this.apply(change),
      reach: (upTo) =>
        this.seen >= upTo
          ? Promise.resolve(true)
          : new Promise((resolve) => {
              this.waiters.push({ upTo, resolve });
            }),
      get seenUpTo() {
        return seen();
      },
      loaded: true,
      changes: this.changes,
    };
  }

  private directory(): { readonly all: ReadonlyMap<ShardName, KnownShard> } {
    const shards = (): Map<ShardName, KnownShard> => {
      const found = [...this.entries.values()].filter(({ key }) => key.startsWith(SHARDS));
      return new Map(
        found.map(({ key, value, version }) => [
          shardName(key.slice(SHARDS.length)),
          { value: value as KnownShard['value'], version, pages: [], spare: [] },
        ]),
      );
    };
    return {
      get all() {
        return shards();
      },
    };
  }

  private apply(change: Change): void {
    const known = this.entries.get(change.key);
    if (known && known.version >= change.version) return;
    if (change.removed) {
      this.entries.delete(change.key);
      this.over.add(change.key.slice(jobKey('' as JobId).length) as JobId);
    } else this.entries.set(change.key, { ...change });
    this.changes.next(change);
  }

  /** The watch shows what has happened up to here, in order. */
  follow(upTo: Revision): void {
    for (const change of this.world.store.log)
      if (change.version > this.seen && change.version <= upTo) this.apply(change);
    this.seen = upTo;
    const there = this.waiters.filter((waiter) => waiter.upTo <= upTo);
    this.waiters = this.waiters.filter((waiter) => waiter.upTo > upTo);
    for (const { resolve } of there) resolve(true);
  }

  private send(to: NodeName, message: PeerMessage): boolean {
    return this.world.carry(this.n, Number(String(to).slice(2)), message);
  }

  receive(from: number, message: PeerMessage, life: Incarnation): void {
    const node = nodeName(`n-${from}`);
    const said = { stateOk: true, fit: true, leaving: false, release: 4, features: FEATURES, limitsFallen: false };
    this.heard.set(node, { ...said, node, incarnation: life, heardAt: this.world.clockOf(this.n) });
    this.carrier.onPeer(node, message);
  }

  /** Does this life run the job on, as its holder? */
  answersFor(shard: ShardName): boolean {
    if (this.world.leftOut !== 'bound' && this.carrier.standing === 'nothing') return false;
    return this.held.has(shard);
  }
}

const renamed = (op: object): { key: string; value?: unknown } => {
  const { put, value } = op as { put?: string; value?: unknown };
  return put === undefined ? { key: (op as { remove?: string }).remove ?? '' } : { key: put, value };
};

interface Machine {
  readonly job: JobId;
  readonly shard: ShardName;
  alive: boolean;
  /** The highest claim that it has seen. */
  token: number;
  leasedAt: number;
  at: number;
  reportAt: number;
}

/**
 * A plain world around the real carriers: three controllers, a store whose watch lags, packets that are held up, one
 * machine with one long task in each shard, and users who cancel all of them. It says what was told and what runs on.
 */
export class Carrying {
  readonly store = new Store();
  readonly nodes = [0, 1, 2];
  readonly broken: string[] = [];
  readonly told = new Map<JobId, number>();
  lives = 0;
  private now = 0;
  private timers: { at: number; run: () => void; cancelled: boolean }[] = [];
  private readonly running: (Life | null)[] = [];
  private readonly machines: Machine[] = [];
  private readonly asked = new Set<JobId>();
  private dice = 0;

  constructor(
    readonly leftOut: LeftOut,
    private readonly faults: readonly Fault[],
    /** Of what is drawn within the world: lags, and who asks whom. */
    private readonly seed: number,
  ) {
    for (const n of this.nodes) this.running.push(new Life(this, n));
    for (const n of this.nodes) {
      const shard = shardName(`n-${n}`);
      const job = `j-${n}` as JobId;
      this.store.write([{ key: jobKey(job), value: { job } }]);
      this.machines.push({ job, shard, alive: true, token: 0, leasedAt: 0, at: n, reportAt: 0 });
    }
  }

  private chance(share: number): boolean {
    this.dice = (Math.imul(this.dice ^ this.seed, 2_654_435_761) + 40_503) >>> 0;
    return (this.dice >>> 8) / 2 ** 24 < share;
  }

  clockOf(n: number): Millis {
    return millis(this.now * (1 + 0.0004 * (n - 1)));
  }

  runtimeOf(n: number): { now: () => Millis; after: (ms: number, run: () => void) => Timer } {
    return {
      now: () => this.clockOf(n),
      after: (ms, run) => {
        const timer = { at: this.now + ms, run, cancelled: false };
        this.timers.push(timer);
        return { cancel: () => (timer.cancelled = true) } as unknown as Timer;
      },
    };
  }

  private is(kind: Fault['kind'], n: number, other = n): boolean {
    return this.faults.some((fault) => {
      if (fault.kind !== kind || this.now < fault.at || this.now >= fault.at + fault.forMs) return false;
      if (kind !== 'apart' && kind !== 'out of reach') return fault.node === n;
      return (fault.node === n && fault.other === other) || (fault.node === other && fault.other === n);
    });
  }

  /** A packet between controllers; one that is held up comes once the cut is over, however late. */
  carry(from: number, to: number, message: PeerMessage): boolean {
    const life = this.running[from];
    if (!life) return false;
    const lag = STEP_MS * (1 + (this.chance(0.2) ? 30 : 0));
    const target = this.running[to];
    target?.inbox.push({ from, message, due: this.now + lag });
    return true;
  }

  async play(untilMs: number): Promise<void> {
    for (; this.now < untilMs; this.now += STEP_MS) {
      await this.step();
      for (let i = 0; i < 4; i++) await Promise.resolve();
    }
  }

  private async step(): Promise<void> {
    this.store.down = this.faults.some((f) => f.kind === 'outage' && this.now >= f.at && this.now < f.at + f.forMs);
    for (const n of this.nodes) {
      if (this.is('refused', n)) this.store.refused.add(n);
      else this.store.refused.delete(n);
      if (this.is('end', n)) this.running[n] = null;
      else this.running[n] ??= new Life(this, n);
      const life = this.running[n];
      if (life && !this.is('still', n)) this.live(life);
    }
    const due = this.timers.filter(({ at }) => at <= this.now);
    this.timers = this.timers.filter(({ at }) => at > this.now);
    for (const timer of due) if (!timer.cancelled) timer.run();
    for (const machine of this.machines) this.report(machine);
    if (this.now % 1000 === 0) {
      this.cancel();
      await Promise.all(
        this.running.map((life) => (life && !this.is('still', life.n) ? life.carrier.round() : undefined)),
      );
    }
  }

  private live(life: Life): void {
    const { n } = life;
    const arrived = life.inbox.filter(({ from, due }) => due <= this.now && !this.is('apart', n, from));
    for (const one of arrived) {
      life.inbox.splice(life.inbox.indexOf(one), 1);
      life.receive(one.from, one.message, this.running[one.from]?.incarnation ?? incarnation('ended'));
    }
    if (!this.store.serves(n)) return;
    const key = nodeKey(nodeName(`n-${n}`));
    this.store.keys.set(`lease ${key}`, { key, value: this.now, version: revision(0) });
    if (!life.registered) {
      life.registered = true;
      this.store.write([{ key, value: { incarnation: life.incarnation, release: { features: FEATURES } } }]);
    }
    life.renewedAt = this.clockOf(n);
    // The watch lags, by a second now and then.
    if (this.chance(0.3)) life.follow(this.store.log.at(-1)?.version ?? revision(0));
    for (const { shard } of this.machines) this.claim(life, shard);
  }

  private vacant(shard: ShardName): boolean {
    const record = this.store.keys.get(shardKey(shard))?.value as KnownShard['value'] | undefined;
    if (!record) return true;
    const key = nodeKey(record.holder);
    const lease = this.store.keys.get(`lease ${key}`)?.value as number | undefined;
    const life = this.store.keys.get(key)?.value as { incarnation: string } | undefined;
    return (lease ?? 0) < this.now - FACTS.nodeLeaseMs || life?.incarnation !== record.incarnation;
  }

  private claim(life: Life, shard: ShardName): void {
    const key = shardKey(shard);
    const self = nodeName(`n-${life.n}`);
    if (this.vacant(shard) && (String(self) === String(shard) || this.now > 6000)) {
      const value = { holder: self, incarnation: life.incarnation, released: false, machines: [] };
      this.store.write([{ key, value }]);
    }
    const entry = this.store.keys.get(key);
    const value = entry?.value as KnownShard['value'] | undefined;
    if (!entry || !value) return;
    const mine = value.holder === self && value.incarnation === life.incarnation;
    if (mine && !life.held.has(shard)) {
      if (this.leftOut === 'catching up' || life.seen >= entry.version)
        life.held.set(shard, { claimedAt: entry.version });
    } else if (!mine && life.seen >= entry.version) life.held.delete(shard);
  }

  private report(machine: Machine): void {
    if (machine.alive && this.now - machine.leasedAt > FACTS.leaseMs) machine.alive = false;
    const { told, broken } = this;
    const toldAt = told.get(machine.job);
    if (machine.alive && toldAt !== undefined && this.now > toldAt + FACTS.cancelMs)
      broken.push(`${machine.job} was told at ${toldAt} and runs at ${this.now}`);
    if (this.now < machine.reportAt) return;
    machine.reportAt = this.now + REPORT_MS;
    const life = this.running[machine.at];
    const held = life?.held.get(machine.shard);
    const reached = life && !this.is('still', life.n) && !this.outOfReach(machine, life.n);
    if (!life || !reached || !held || held.claimedAt < machine.token || !life.answersFor(machine.shard)) {
      machine.at = (machine.at + 1) % this.nodes.length;
      machine.reportAt = this.now + 1000;
      return;
    }
    machine.token = held.claimedAt;
    machine.leasedAt = this.now;
    if (life.over.has(machine.job)) machine.alive = false;
  }

  private outOfReach({ shard }: Machine, n: number): boolean {
    return this.is('out of reach', n, Number(String(shard).slice(2)));
  }

  /** Users ask any node, again and again, until they are told. */
  private cancel(): void {
    if (this.now < 8000) return;
    for (const { job } of this.machines) {
      if (this.told.has(job) || !this.chance(0.3)) continue;
      const life = this.running[this.nodes.find(() => this.chance(0.4)) ?? 0];
      if (!life || this.is('still', life.n) || !this.store.serves(life.n)) continue;
      const final = `finals/${job}`;
      if (!this.asked.has(job)) {
        this.asked.add(job);
        this.store.write([{ key: jobKey(job) }, { key: final, value: { phase: 'cancelled' } }]);
      }
      const version = this.store.keys.get(final)?.version ?? revision(0);
      const { n } = life;
      void life.carrier.carried(job, { phase: 'cancelled', done: 0, at: wallMillis(0) }, version).then((carried) => {
        if (carried && this.running[n] === life && !this.told.has(job)) this.told.set(job, this.now);
      });
    }
  }
}
