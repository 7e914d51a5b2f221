import { Subject } from 'rxjs';
import { CancellationPropagator, type HolderTimings } from '../../src/cancellation/index.js';
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
import { ACKNOWLEDGED_CANCELLATIONS } from '../../src/rollout/index.js';
import { jobKey, nodeKey, SHARDS_PREFIX, shardKey, type Change, type Entry } from '../../src/state/index.js';

/** Guards of the proof in docs/cancel-design.md, one of which a run may omit to show that it is needed. */
export type OmittedGuard = 'nothing' | 'acknowledgement' | 'deadline' | 'watch catch-up';

/**
 * A fault that starts at `at` and lasts `forMs`. Partitions and unreachable machines involve both `node` and `other`.
 */
export interface Fault {
  readonly at: number;
  readonly forMs: number;
  readonly kind: 'refused' | 'outage' | 'partition' | 'crash' | 'pause' | 'out of reach';
  readonly node: number;
  readonly other: number;
}

/** Time limits of the simulated cluster: cancellations, workers' leases, and node leases. */
export const TIMINGS: HolderTimings = { cancelMs: 48_000, leaseMs: 18_000, nodeLeaseMs: 4000 };
/** Step of the simulated time. */
const TICK_MS = 100;
/** Interval at which a machine reports to the controller that answers it. */
const REPORT_INTERVAL_MS = 2000;
const FEATURES = [ACKNOWLEDGED_CANCELLATIONS];

/** Model of the state service: the log of all changes, the current keys, and the nodes that it refuses. */
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

  /** Reports whether the state service answers a node. */
  serves(node: number): boolean {
    return !this.down && !this.refused.has(node);
  }
}

/** A shard that the controller holds, and the revision of its claim. */
interface HeldShard {
  readonly claimedAt: Revision;
}

/** One incarnation of a controller: the production code for cancellations on a lagging mirror and modelled holders. */
class Controller {
  readonly incarnation: Incarnation;
  readonly propagator: CancellationPropagator;
  readonly held = new Map<ShardName, HeldShard>();
  readonly endedJobs = new Set<JobId>();
  readonly entries = new Map<string, Entry>();
  readonly changes = new Subject<Change>();
  readonly inbox: { readonly from: number; readonly message: PeerMessage; readonly due: number }[] = [];
  readonly peerStatuses = new Map<NodeName, PeerStatus>();
  watchedRevision = revision(0);
  renewedAt = millis(Number.NEGATIVE_INFINITY);
  registered = false;
  private waiters: { readonly upTo: Revision; readonly resolve: (there: boolean) => void }[] = [];

  constructor(
    private readonly cluster: SimulatedCluster,
    readonly n: number,
  ) {
    this.incarnation = incarnation(`incarnation-${cluster.startedControllers++}`);
    const self = nodeName(`n-${n}`);
    this.propagator = new CancellationPropagator({
      ...{ self, incarnation: this.incarnation, facts: TIMINGS, runtime: cluster.runtimeOf(n) },
      others: cluster.nodes.filter((node) => node !== n).map((node) => nodeName(`n-${node}`)),
      log: { info: () => undefined, warn: () => undefined },
      state: { txn: (_urgency, _guards, ops) => Promise.resolve(this.writeToStore(ops)) },
      mirror: this.createMirror(),
      directory: this.createDirectory(),
      peers: { send: (to, message) => this.send(to, message), statusOf: (node) => this.peerStatuses.get(node) ?? null },
      enabled: () => cluster.omittedGuard !== 'acknowledgement',
      ownershipProvenAt: () => this.renewedAt,
      held: () => [...this.held].map(([shard, { claimedAt }]) => [shard, claimedAt] as const),
      onShardLost: (shard) => this.held.delete(shard),
      onJobEnded: (id) => this.endedJobs.add(id),
    });
  }

  private writeToStore(ops: readonly object[]): { kind: 'refused' } | { kind: 'ok'; revision: Revision } {
    if (!this.cluster.store.serves(this.n)) return { kind: 'refused' };
    return { kind: 'ok', revision: this.cluster.store.write(ops.map(toStoreChange)) };
  }

  private createMirror(): ConstructorParameters<typeof CancellationPropagator>[0]['mirror'] {
    const watchedRevision = (): Revision => this.watchedRevision;
    return {
      get: (key) => this.entries.get(key),
      apply: (change) => this.apply(change),
      reach: (upTo) =>
        this.watchedRevision >= upTo
          ? Promise.resolve(true)
          : new Promise((resolve) => {
              this.waiters.push({ upTo, resolve });
            }),
      get seenUpTo() {
        return watchedRevision();
      },
      loaded: true,
      changes: this.changes,
    };
  }

  private createDirectory(): { readonly all: ReadonlyMap<ShardName, KnownShard> } {
    const shards = (): Map<ShardName, KnownShard> => {
      const found = [...this.entries.values()].filter(({ key }) => key.startsWith(SHARDS_PREFIX));
      return new Map(
        found.map(({ key, value, version }) => [
          shardName(key.slice(SHARDS_PREFIX.length)),
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
      this.endedJobs.add(change.key.slice(jobKey('' as JobId).length) as JobId);
    } else this.entries.set(change.key, { ...change });
    this.changes.next(change);
  }

  /** Delivers all changes up to a revision in order, as the watch does. */
  advanceWatch(upTo: Revision): void {
    for (const change of this.cluster.store.log)
      if (change.version > this.watchedRevision && change.version <= upTo) this.apply(change);
    this.watchedRevision = upTo;
    const reached = this.waiters.filter((waiter) => waiter.upTo <= upTo);
    this.waiters = this.waiters.filter((waiter) => waiter.upTo > upTo);
    for (const { resolve } of reached) resolve(true);
  }

  private send(to: NodeName, message: PeerMessage): boolean {
    return this.cluster.sendPacket(this.n, Number(String(to).slice(2)), message);
  }

  receive(from: number, message: PeerMessage, senderIncarnation: Incarnation): void {
    const node = nodeName(`n-${from}`);
    const status = { stateOk: true, fit: true, leaving: false, release: 4, features: FEATURES, limitsFallen: false };
    this.peerStatuses.set(node, {
      ...status,
      node,
      incarnation: senderIncarnation,
      lastHelloAt: this.cluster.clockOf(this.n),
    });
    this.propagator.onPeerMessage(node, message);
  }

  /** Reports whether this incarnation answers workers as the holder of the shard. */
  answersFor(shard: ShardName): boolean {
    if (this.cluster.omittedGuard !== 'deadline' && this.propagator.holderMode === 'nothing') return false;
    return this.held.has(shard);
  }
}

const toStoreChange = (op: object): { key: string; value?: unknown } => {
  const { put, value } = op as { put?: string; value?: unknown };
  return put === undefined ? { key: (op as { remove?: string }).remove ?? '' } : { key: put, value };
};

/** A machine with one long task of a job. It reports to one controller after another until one answers. */
interface Machine {
  readonly job: JobId;
  readonly shard: ShardName;
  alive: boolean;
  /** The highest claim revision that it has seen; it serves as a fencing token. */
  highestClaim: number;
  leaseRenewedAt: number;
  controllerIndex: number;
  nextReportAt: number;
}

/**
 * A simulated cluster around the production code for cancellations: three controllers, a store whose watch lags,
 * delayed packets, one machine with one long task in each shard, and users who cancel all of the jobs. It records which
 * users were told and which tasks run longer than they may.
 */
export class SimulatedCluster {
  readonly store = new Store();
  readonly nodes = [0, 1, 2];
  /** Descriptions of tasks that ran too long after their user was told. */
  readonly violations: string[] = [];
  /** When the user of each job was told that it is cancelled. */
  readonly told = new Map<JobId, number>();
  startedControllers = 0;
  private now = 0;
  private timers: { at: number; run: () => void; cancelled: boolean }[] = [];
  private readonly controllers: (Controller | null)[] = [];
  private readonly machines: Machine[] = [];
  private readonly requestedJobs = new Set<JobId>();
  private randomState = 0;

  constructor(
    readonly omittedGuard: OmittedGuard,
    private readonly faults: readonly Fault[],
    /** Seed of the random choices within the cluster: lags, and which controller a user asks. */
    private readonly seed: number,
  ) {
    for (const n of this.nodes) this.controllers.push(new Controller(this, n));
    for (const n of this.nodes) {
      const shard = shardName(`n-${n}`);
      const job = `j-${n}` as JobId;
      this.store.write([{ key: jobKey(job), value: { job } }]);
      this.machines.push({
        job,
        shard,
        alive: true,
        highestClaim: 0,
        leaseRenewedAt: 0,
        controllerIndex: n,
        nextReportAt: 0,
      });
    }
  }

  /** Draws from a generator that depends only on the seed: true with the given probability. */
  private randomly(probability: number): boolean {
    this.randomState = (Math.imul(this.randomState ^ this.seed, 2_654_435_761) + 40_503) >>> 0;
    return (this.randomState >>> 8) / 2 ** 24 < probability;
  }

  /** The clock of a controller, which drifts against those of the others. */
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

  /** Reports whether a fault of this kind is active now for a node, or between two nodes. */
  private hasFault(kind: Fault['kind'], n: number, other = n): boolean {
    return this.faults.some((fault) => {
      if (fault.kind !== kind || this.now < fault.at || this.now >= fault.at + fault.forMs) return false;
      if (kind !== 'partition' && kind !== 'out of reach') return fault.node === n;
      return (fault.node === n && fault.other === other) || (fault.node === other && fault.other === n);
    });
  }

  /** Sends a packet between controllers. During a partition it is held back and arrives afterwards, however late. */
  sendPacket(from: number, to: number, message: PeerMessage): boolean {
    const sender = this.controllers[from];
    if (!sender) return false;
    const lag = TICK_MS * (1 + (this.randomly(0.2) ? 30 : 0));
    const target = this.controllers[to];
    target?.inbox.push({ from, message, due: this.now + lag });
    return true;
  }

  async run(untilMs: number): Promise<void> {
    for (; this.now < untilMs; this.now += TICK_MS) {
      await this.tick();
      for (let i = 0; i < 4; i++) await Promise.resolve();
    }
  }

  /** Runs one step: faults, controllers, timers and machines, and once a second the users and the rounds. */
  private async tick(): Promise<void> {
    this.store.down = this.faults.some((f) => f.kind === 'outage' && this.now >= f.at && this.now < f.at + f.forMs);
    for (const n of this.nodes) {
      if (this.hasFault('refused', n)) this.store.refused.add(n);
      else this.store.refused.delete(n);
      if (this.hasFault('crash', n)) this.controllers[n] = null;
      else this.controllers[n] ??= new Controller(this, n);
      const controller = this.controllers[n];
      if (controller && !this.hasFault('pause', n)) this.runController(controller);
    }
    const due = this.timers.filter(({ at }) => at <= this.now);
    this.timers = this.timers.filter(({ at }) => at > this.now);
    for (const timer of due) if (!timer.cancelled) timer.run();
    for (const machine of this.machines) this.reportFromMachine(machine);
    if (this.now % 1000 === 0) {
      this.requestCancellations();
      await Promise.all(
        this.controllers.map((each) => (each && !this.hasFault('pause', each.n) ? each.propagator.round() : undefined)),
      );
    }
  }

  /** Delivers the packets of a controller, renews its lease, advances its watch, and lets it claim vacant shards. */
  private runController(controller: Controller): void {
    const { n } = controller;
    const dueMessages = controller.inbox.filter(
      ({ from, due }) => due <= this.now && !this.hasFault('partition', n, from),
    );
    for (const packet of dueMessages) {
      controller.inbox.splice(controller.inbox.indexOf(packet), 1);
      controller.receive(
        packet.from,
        packet.message,
        this.controllers[packet.from]?.incarnation ?? incarnation('ended'),
      );
    }
    if (!this.store.serves(n)) return;
    const key = nodeKey(nodeName(`n-${n}`));
    this.store.keys.set(`lease ${key}`, { key, value: this.now, version: revision(0) });
    if (!controller.registered) {
      controller.registered = true;
      this.store.write([{ key, value: { incarnation: controller.incarnation, release: { features: FEATURES } } }]);
    }
    controller.renewedAt = this.clockOf(n);
    // The watch is delivered in only some of the ticks, so it sometimes lags by a second.
    if (this.randomly(0.3)) controller.advanceWatch(this.store.log.at(-1)?.version ?? revision(0));
    for (const { shard } of this.machines) this.claimIfVacant(controller, shard);
  }

  private isVacant(shard: ShardName): boolean {
    const record = this.store.keys.get(shardKey(shard))?.value as KnownShard['value'] | undefined;
    if (!record) return true;
    const key = nodeKey(record.holder);
    const lease = this.store.keys.get(`lease ${key}`)?.value as number | undefined;
    const registration = this.store.keys.get(key)?.value as { incarnation: string } | undefined;
    return (lease ?? 0) < this.now - TIMINGS.nodeLeaseMs || registration?.incarnation !== record.incarnation;
  }

  private claimIfVacant(controller: Controller, shard: ShardName): void {
    const key = shardKey(shard);
    const self = nodeName(`n-${controller.n}`);
    if (this.isVacant(shard) && (String(self) === String(shard) || this.now > 6000)) {
      const value = { holder: self, incarnation: controller.incarnation, released: false, machines: [] };
      this.store.write([{ key, value }]);
    }
    const entry = this.store.keys.get(key);
    const value = entry?.value as KnownShard['value'] | undefined;
    if (!entry || !value) return;
    const mine = value.holder === self && value.incarnation === controller.incarnation;
    if (mine && !controller.held.has(shard)) {
      if (this.omittedGuard === 'watch catch-up' || controller.watchedRevision >= entry.version)
        controller.held.set(shard, { claimedAt: entry.version });
    } else if (!mine && controller.watchedRevision >= entry.version) controller.held.delete(shard);
  }

  /** Checks a machine for a violation and lets it report, which renews its lease or moves it to the next controller. */
  private reportFromMachine(machine: Machine): void {
    if (machine.alive && this.now - machine.leaseRenewedAt > TIMINGS.leaseMs) machine.alive = false;
    const { told, violations } = this;
    const toldAt = told.get(machine.job);
    if (machine.alive && toldAt !== undefined && this.now > toldAt + TIMINGS.cancelMs)
      violations.push(`${machine.job} was told at ${toldAt} and runs at ${this.now}`);
    if (this.now < machine.nextReportAt) return;
    machine.nextReportAt = this.now + REPORT_INTERVAL_MS;
    const controller = this.controllers[machine.controllerIndex];
    const held = controller?.held.get(machine.shard);
    const reached = controller && !this.hasFault('pause', controller.n) && !this.isOutOfReach(machine, controller.n);
    if (
      !controller ||
      !reached ||
      !held ||
      held.claimedAt < machine.highestClaim ||
      !controller.answersFor(machine.shard)
    ) {
      machine.controllerIndex = (machine.controllerIndex + 1) % this.nodes.length;
      machine.nextReportAt = this.now + 1000;
      return;
    }
    machine.highestClaim = held.claimedAt;
    machine.leaseRenewedAt = this.now;
    if (controller.endedJobs.has(machine.job)) machine.alive = false;
  }

  private isOutOfReach({ shard }: Machine, n: number): boolean {
    return this.hasFault('out of reach', n, Number(String(shard).slice(2)));
  }

  /** Users ask random controllers repeatedly until they are told that their job is cancelled. */
  private requestCancellations(): void {
    if (this.now < 8000) return;
    for (const { job } of this.machines) {
      if (this.told.has(job) || !this.randomly(0.3)) continue;
      const controller = this.controllers[this.nodes.find(() => this.randomly(0.4)) ?? 0];
      if (!controller || this.hasFault('pause', controller.n) || !this.store.serves(controller.n)) continue;
      const final = `finals/${job}`;
      if (!this.requestedJobs.has(job)) {
        this.requestedJobs.add(job);
        this.store.write([{ key: jobKey(job) }, { key: final, value: { phase: 'cancelled' } }]);
      }
      const version = this.store.keys.get(final)?.version ?? revision(0);
      const { n } = controller;
      void controller.propagator
        .awaitAcknowledgement(job, { phase: 'cancelled', done: 0, at: wallMillis(0) }, version)
        .then((acknowledged) => {
          if (acknowledged && this.controllers[n] === controller && !this.told.has(job)) this.told.set(job, this.now);
        });
    }
  }
}
