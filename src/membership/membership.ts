import {
  isObject,
  millis,
  shardName,
  type Clock,
  type Incarnation,
  type Logger,
  type Millis,
  type NodeName,
  type Revision,
  type ShardName,
} from '../kernel/index.js';
import {
  formatVersionOf,
  LEADER_KEY,
  nodeKey,
  rereadGuards,
  shardKey,
  Urgency,
  type RecordFields,
  type Mirror,
  type StateClient,
  type TxnResult,
} from '../state/index.js';
import type { ShardDirectory } from './shard-directory.js';
import { Paging } from './paging.js';
import { previousHolders, encodeShard, SHARD_FORMAT, type PreviousHolder, type ShardValue } from './shard-record.js';

/** Time to live of a node's lease in the state service. */
export const NODE_LEASE_MS = 4000;
const LEASE_RENEW_INTERVAL_MS = 1000;
/** Unit of the delays by which nodes stagger their claims, so that the node with the best reason claims first. */
const CLAIM_DELAY_STEP_MS = 500;
/** How long a shard that was never claimed waits for the first start of the node that it is named after. */
const FIRST_START_GRACE_MS = 4000;

/** What membership asks of the rest of the controller. */
export interface MembershipHooks {
  /** The shards that this node holds. */
  held(): readonly ShardName[];
  /**
   * Reads from the state service whether this node still holds its shards. Needed whenever its lease may have lapsed.
   */
  verifyOwnership(): Promise<boolean>;
  /** False while another node is better suited to hold shards. */
  mayClaim(): boolean;
  /** False while another node should be the leader. */
  mayLead(): boolean;
  /** True if machines are stored in pages instead of in the shards' records. */
  usesPages(): boolean;
  /** The fields of this node's key that describe its program, beside its incarnation. */
  announcement(): RecordFields;
}

/**
 * Reports whether a shard is free to be claimed: it was never held, its holder has released it, or the holder's key is
 * gone or belongs to a later incarnation of the node. Must not be called for an unreadable record: some node may hold
 * that shard.
 */
export function isVacant(value: ShardValue | null, liveIncarnationOf: (node: NodeName) => Incarnation | null): boolean {
  return value === null || value.released || liveIncarnationOf(value.holder) !== value.incarnation;
}

/** This node's lease and key in the state service, the election of the leader, and claims of shards. */
export class Membership {
  readonly paging: Paging;
  private lease: number | undefined;
  /** True once it is known that no shard was lost to another node while the lease may have lapsed. */
  private ownershipVerified = false;
  /** Version of this node's key while it is registered. */
  private nodeVersion: Revision | undefined;
  /** Possible remaining holders of each shard as of our latest claim. */
  private readonly previousHolders = new Map<ShardName, readonly PreviousHolder[]>();
  /** When this node first saw each shard vacant. */
  private vacantSince = new Map<ShardName, Millis>();
  /** Unreadable shards that have been logged. */
  private readonly loggedUnreadable = new Set<ShardName>();
  /** The version of each shard's record at which a refused claim was last logged. */
  private readonly loggedRefusals = new Map<ShardName, number>();
  /** Version of the leader's key when this node last checked, or null if it was not the leader then. */
  private loggedTerm: Revision | null = null;
  /** Send time of the last renewal that proved that this node still holds its shards. */
  private ownershipProofSentAt: Millis;
  private readonly startedAt: Millis;

  constructor(
    private readonly self: NodeName,
    private readonly others: readonly NodeName[],
    private readonly incarnation: Incarnation,
    private readonly state: StateClient,
    private readonly mirror: Mirror,
    private readonly directory: ShardDirectory,
    private readonly hooks: MembershipHooks,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {
    this.paging = new Paging({ state, mirror, directory, log });
    this.startedAt = clock.now();
    this.ownershipProofSentAt = millis(-1);
  }

  /** True while this node's key is known to be in the state service. */
  get registered(): boolean {
    return this.nodeVersion !== undefined;
  }

  /** The latest time at which this node's shards certainly hadn't been claimed by another node. */
  get ownershipProvenAt(): Millis {
    return this.ownershipProofSentAt;
  }

  /**
   * True while our lease is certain to be valid, clock drift included: until it expires nobody can claim a shard of
   * ours.
   */
  get leaseValid(): boolean {
    return this.clock.now() < this.ownershipProofSentAt + NODE_LEASE_MS / 1.002;
  }

  /** The incarnation in a node's key, or null if the node has no key and therefore no valid lease. */
  liveIncarnationOf = (node: NodeName): Incarnation | null => {
    const value = this.mirror.get(nodeKey(node))?.value;
    return isObject(value) && typeof value['incarnation'] === 'string' ? (value['incarnation'] as Incarnation) : null;
  };

  /** The names of all shards: there is one for each controller, named after it. */
  get shards(): readonly ShardName[] {
    return [this.self, ...this.others].map((node) => shardName(node)).sort();
  }

  /** Number of live controllers, this one included. They share the state service's limit on changes per second. */
  get liveControllerCount(): number {
    return 1 + this.others.filter((node) => this.liveIncarnationOf(node) !== null).length;
  }

  /** The leader according to the mirror, or null. */
  get leader(): NodeName | null {
    const value = this.mirror.get(LEADER_KEY)?.value;
    return isObject(value) && typeof value['node'] === 'string' ? (value['node'] as NodeName) : null;
  }

  /**
   * The version of the leader's key while this node is the leader, otherwise null. It guards every write of the leader.
   */
  get leaderTerm(): Revision | null {
    const entry = this.mirror.get(LEADER_KEY);
    if (!entry || !isObject(entry.value) || entry.value['incarnation'] !== this.incarnation) return null;
    return this.clock.now() - this.ownershipProofSentAt < NODE_LEASE_MS ? entry.version : null;
  }

  /** Interval at which the lease has to be renewed. */
  get renewEveryMs(): number {
    return LEASE_RENEW_INTERVAL_MS;
  }

  /** Runs one round of maintaining the lease and the node's key: renews the lease, or registers again if it is gone. */
  async maintainLease(): Promise<void> {
    const sentAt = this.clock.now();
    if (this.lease !== undefined && this.nodeVersion !== undefined) {
      const renewed = await this.state.renewLease(this.lease);
      if (renewed === 'ok') {
        // After a lapse, others may have claimed our shards: the lease proves nothing until that has been read.
        this.ownershipVerified ||= await this.hooks.verifyOwnership();
        if (this.ownershipVerified) this.ownershipProofSentAt = sentAt;
        return;
      }
      if (renewed === 'unavailable') return;
      this.log.info('the node lease no longer exists in the state service, registering again');
      this.lease = undefined;
      this.nodeVersion = undefined;
      this.ownershipVerified = false;
    }
    this.lease ??= (await this.state.grantLease(NODE_LEASE_MS)) ?? undefined;
    if (this.lease === undefined) return;
    const value = { ...this.hooks.announcement(), incarnation: this.incarnation };
    const key = nodeKey(this.self);
    const known = await this.state.get(key);
    if (known.kind === 'unavailable') return;
    // Without the guard, a delayed registration of an earlier incarnation could replace this one: its lease may still
    // be valid for a moment, and our shards would seem vacant while we hold them.
    const guard = { key, version: known.kind === 'found' ? (known.entry.version as number) : 0 };
    const result = await this.state.txn(Urgency.session, [guard], [{ put: key, value, lease: this.lease }], 1500);
    if (result.kind === 'ok') {
      this.nodeVersion = result.revision;
      this.mirror.apply({ key, value, removed: false, version: result.revision });
      this.ownershipVerified = await this.hooks.verifyOwnership();
      this.log.info({ incarnation: this.incarnation }, 'registered with the state service');
    } else if (result.kind === 'no-lease') this.lease = undefined;
  }

  /** Runs one round of the election: becomes the leader if there is none. */
  async elect(): Promise<void> {
    this.logTermChange();
    if (this.lease === undefined || this.nodeVersion === undefined) return;
    // A leader that can't read every block would assign a machine that is in an unreadable block to another shard.
    if (this.directory.unreadable.size > 0 || !this.hooks.mayLead()) return this.stepDown();
    if (this.mirror.get(LEADER_KEY)) return;
    const value = { node: this.self, incarnation: this.incarnation };
    // Session urgency: queued behind users' submissions, no leader would be elected for as long as a burst lasts.
    const result = await this.state.txn(
      Urgency.session,
      [
        { key: LEADER_KEY, version: 0 },
        { key: nodeKey(this.self), version: this.nodeVersion },
      ],
      [{ put: LEADER_KEY, value, lease: this.lease }],
    );
    if (result.kind === 'ok') {
      this.mirror.apply({ key: LEADER_KEY, value, removed: false, version: result.revision });
      this.logTermChange();
    }
  }

  /** Logs when this node starts or stops being the leader, whatever the cause. */
  private logTermChange(): void {
    const { leaderTerm, loggedTerm } = this;
    if (leaderTerm === loggedTerm) return;
    this.loggedTerm = leaderTerm;
    const { seenUpTo } = this.mirror;
    if (loggedTerm !== null)
      this.log.info({ term: loggedTerm, leader: this.leader, seenUpTo }, 'this node is no longer the leader');
    if (leaderTerm !== null) this.log.info({ term: leaderTerm, seenUpTo }, 'this node is the leader');
  }

  /** Gives up leadership by removing the leader's key, which guards every write of the leader. */
  private async stepDown(): Promise<void> {
    const { leaderTerm } = this;
    if (leaderTerm === null) return;
    const result = await this.state.txn(
      Urgency.session,
      [{ key: LEADER_KEY, version: leaderTerm }],
      [{ remove: LEADER_KEY }],
    );
    if (result.kind !== 'ok') return;
    this.mirror.apply({ key: LEADER_KEY, value: undefined, removed: true, version: result.revision });
    this.logTermChange();
  }

  /**
   * Runs one round of claiming vacant shards: this node's own shard at once, others after a delay that depends on rank.
   */
  async claimVacantShards(): Promise<void> {
    const nodeVersion = this.nodeVersion;
    if (nodeVersion === undefined || !this.hooks.mayClaim()) return;
    const now = this.clock.now();
    for (const shard of this.shards) {
      const entry = this.mirror.get(shardKey(shard));
      if (this.directory.unreadable.has(shard)) {
        this.skipUnreadable(shard);
        continue;
      }
      this.loggedUnreadable.delete(shard);
      // Taken from the directory: this runs several times a second, and a record with hundreds of machines is decoded
      // once.
      const value = this.directory.all.get(shard)?.value ?? null;
      if (!isVacant(value, this.liveIncarnationOf)) {
        this.vacantSince.delete(shard);
        continue;
      }
      const since = this.vacantSince.get(shard) ?? now;
      this.vacantSince.set(shard, since);
      if (now - since < this.claimDelayMs(shard, entry !== undefined, value, now)) continue;
      // The watch may have shown a head before its pages: the shard's machines must be known before it is claimed.
      if (value !== null && value.epoch !== null && this.directory.newestRevision > this.mirror.seenUpTo) continue;
      await this.claimShard(shard, entry?.version ?? 0, value, nodeVersion);
    }
  }

  /**
   * Leaves a shard with an unreadable record alone and logs it once. Claiming it would overwrite the record, lose its
   * machines, and run the tasks on them a second time.
   */
  private skipUnreadable(shard: ShardName): void {
    this.vacantSince.delete(shard);
    if (this.loggedUnreadable.has(shard)) return;
    this.loggedUnreadable.add(shard);
    const stored = this.mirror.get(shardKey(shard))?.value;
    this.log.error(
      { shard, format: formatVersionOf(stored), reads: SHARD_FORMAT },
      "a shard's record can't be read by this release: it is left alone",
    );
  }

  /**
   * How long a shard must be vacant before this node claims it. Its own shard and a shard that was handed over to it
   * are claimed at once. Otherwise the delay grows if the node that the shard is named after is alive, if the shard was
   * released, by 150 ms for each live node with a smaller name, and with the number of shards that this node holds.
   */
  private claimDelayMs(shard: ShardName, exists: boolean, value: ShardValue | null, now: Millis): number {
    if ((shard as string) === (this.self as string)) return 0;
    // The previous holder has handed the shard over to this node.
    if (value?.released === true && value.next === this.self) return 0;
    const homeNode = shard as unknown as NodeName;
    // A shard that was never claimed waits for the first start of the node that it is named after.
    if (!exists) return Math.max(0, FIRST_START_GRACE_MS - (now - this.startedAt)) + CLAIM_DELAY_STEP_MS;
    const homeNodeAlive = this.liveIncarnationOf(homeNode) !== null;
    const rank = this.others.filter(
      (n) => n !== homeNode && this.liveIncarnationOf(n) !== null && n < this.self,
    ).length;
    const heldCount = this.hooks.held().length;
    return (
      (homeNodeAlive ? 3 * CLAIM_DELAY_STEP_MS : 0) +
      (value?.released === true ? CLAIM_DELAY_STEP_MS : 0) +
      rank * 150 +
      Math.max(0, heldCount - 1) * CLAIM_DELAY_STEP_MS
    );
  }

  /** Claims a shard at the given version of its record; 0: the shard was never held. */
  private async claimShard(
    shard: ShardName,
    version: number,
    value: ShardValue | null,
    nodeVersion: Revision,
  ): Promise<void> {
    const holder = value?.holder ?? null;
    const nodes = [{ key: nodeKey(this.self), version: nodeVersion as number }];
    // Guarded by the holder's key: a holder that registers again at this very moment keeps its shard.
    if (holder !== null && holder !== this.self && value?.released !== true) {
      nodes.push({ key: nodeKey(holder), version: this.mirror.get(nodeKey(holder))?.version ?? 0 });
    }
    const earlier = previousHolders(value, this.self);
    const known = this.directory.all.get(shard);
    const paged = this.hooks.usesPages();
    const movesToPages = paged && value?.epoch === null && known !== undefined;
    // The record as a single value may exceed the state service's limit by now, so its machines are staged in pages
    // first.
    if (movesToPages && !(await this.paging.stage(shard, known, Urgency.session))) return;
    const recordGuards = movesToPages
      ? this.paging.moveToPagesGuards(shard, known.version, nodes.length)
      : [{ key: shardKey(shard), version }];
    const guards = [...nodes, ...recordGuards];
    const next: ShardValue = {
      epoch: value?.epoch ?? (paged ? version : null),
      holder: this.self,
      incarnation: this.incarnation,
      released: false,
      next: null,
      earlier,
      machines: value?.machines ?? [],
      ...(value?.sealed === true ? { sealed: true } : {}),
      ...(value?.rest === undefined ? {} : { rest: value.rest }),
    };
    // Set before the write: a claim of unknown outcome may still show up in the watch.
    this.previousHolders.set(shard, earlier);
    const result = await this.state.txn(Urgency.session, guards, [{ put: shardKey(shard), value: encodeShard(next) }]);
    if (result.kind !== 'ok') {
      this.logRefusedClaim(shard, version, result.kind);
      if (result.kind !== 'refused') await rereadGuards(this.state, this.mirror, guards);
      return;
    }
    this.vacantSince.delete(shard);
    const { epoch, machines } = next;
    const why = value === null ? 'never held' : value.released ? 'released' : 'its holder is gone';
    const { revision } = result;
    const seen = { over: version, seenUpTo: this.mirror.seenUpTo };
    this.log.info({ shard, from: holder, machines: machines.length, epoch, revision, ...seen, why }, 'claimed a shard');
    this.mirror.apply({ key: shardKey(shard), value: encodeShard(next), removed: false, version: result.revision });
  }

  /** Logs a failed claim, but only once for each version of the record, because the claim is retried every round. */
  private logRefusedClaim(shard: ShardName, recordVersion: number, why: TxnResult['kind']): void {
    if (this.loggedRefusals.get(shard) === recordVersion) return;
    this.loggedRefusals.set(shard, recordVersion);
    this.log.info({ shard, over: recordVersion, seenUpTo: this.mirror.seenUpTo, why }, 'claim of a shard failed');
  }

  /** The holders of a shard before our latest claim that may still send commands. */
  previousHoldersOf(shard: ShardName): readonly PreviousHolder[] {
    return this.previousHolders.get(shard) ?? [];
  }
}
