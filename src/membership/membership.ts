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
  formatOf,
  LEADER,
  nodeKey,
  rereadGuards,
  shardKey,
  Urgency,
  type Fields,
  type Mirror,
  type StateClient,
  type TxnResult,
} from '../state/index.js';
import type { ShardDirectory } from './directory.js';
import { Paging } from './paging.js';
import { earlierHolders, encodeShard, SHARD_FORMAT, type PreviousHolder, type ShardValue } from './shard.js';

export const LEASE_MS = 4000;
const RENEW_EVERY_MS = 1000;
/** How long another node waits before it claims what its own node may still claim itself. */
const RANK_DELAY_MS = 500;
const FIRST_START_MS = 4000;

export interface MembershipHooks {
  held(): readonly ShardName[];
  /** After a lapse: reads afresh whether our shards are still ours. */
  verify(): Promise<boolean>;
  /** False while another node would hold shards better. */
  mayClaim(): boolean;
  /** False while another node should lead. */
  mayLead(): boolean;
  /** Machines stand in pages, not in the shards' records. */
  paged(): boolean;
  /** What this node's key says of its program, beside its incarnation. */
  announcement(): Fields;
}

/**
 * Is a shard free to be claimed? It was never held, or its holder has released it, or its holder's key is gone or
 * belongs to a later life of the node. Not for records that can't be read: they stand for somebody's shard.
 */
export function isVacant(value: ShardValue | null, alive: (node: NodeName) => Incarnation | null): boolean {
  return value === null || value.released || alive(value.holder) !== value.incarnation;
}

/** This node's lease and key, the election of the leader, and claims of shards. */
export class Membership {
  readonly paging: Paging;
  private lease: number | undefined;
  private verified = false;
  private nodeVersion: Revision | undefined;
  private readonly previous = new Map<ShardName, readonly PreviousHolder[]>();
  private vacantSince = new Map<ShardName, Millis>();
  private readonly leftAlone = new Set<ShardName>();
  /** Versions of shards' records of which a refused claim has been told. */
  private readonly refusedAt = new Map<ShardName, number>();
  /** The leader's key while this node led when it last looked. */
  private term: Revision | null = null;
  private provenAt: Millis;
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
    this.provenAt = millis(-1);
  }

  get registered(): boolean {
    return this.nodeVersion !== undefined;
  }

  /** The latest moment at which nobody can yet have taken this node's shards over. */
  get heldUntilAtLeast(): Millis {
    return this.provenAt;
  }

  /** True while our lease certainly lasts: until then nobody can have claimed a shard of ours. */
  get certain(): boolean {
    return this.clock.now() < this.provenAt + LEASE_MS / 1.002;
  }

  alive = (node: NodeName): Incarnation | null => {
    const value = this.mirror.get(nodeKey(node))?.value;
    return isObject(value) && typeof value['incarnation'] === 'string' ? (value['incarnation'] as Incarnation) : null;
  };

  /** The names of all shards: one for each controller, named after it. */
  get shards(): readonly ShardName[] {
    return [this.self, ...this.others].map((node) => shardName(node)).sort();
  }

  /** How many controllers share the state service's changes a second, this one included. */
  get aliveCount(): number {
    return 1 + this.others.filter((node) => this.alive(node) !== null).length;
  }

  get leader(): NodeName | null {
    const value = this.mirror.get(LEADER)?.value;
    return isObject(value) && typeof value['node'] === 'string' ? (value['node'] as NodeName) : null;
  }

  /** The version of the leader's key while this node leads; every write of the leader is guarded by it. */
  get leading(): Revision | null {
    const entry = this.mirror.get(LEADER);
    if (!entry || !isObject(entry.value) || entry.value['incarnation'] !== this.incarnation) return null;
    return this.clock.now() - this.provenAt < LEASE_MS ? entry.version : null;
  }

  get renewEveryMs(): number {
    return RENEW_EVERY_MS;
  }

  /** One round: keep the lease and the node's key. */
  async keep(): Promise<void> {
    const sentAt = this.clock.now();
    if (this.lease !== undefined && this.nodeVersion !== undefined) {
      const renewed = await this.state.renewLease(this.lease);
      if (renewed === 'ok') {
        // After a lapse, others may have claimed meanwhile: the lease proves nothing before that is read.
        this.verified ||= await this.hooks.verify();
        if (this.verified) this.provenAt = sentAt;
        return;
      }
      if (renewed === 'unavailable') return;
      this.log.info('the lease in the state service is gone, registering again');
      this.lease = undefined;
      this.nodeVersion = undefined;
      this.verified = false;
    }
    this.lease ??= (await this.state.grantLease(LEASE_MS)) ?? undefined;
    if (this.lease === undefined) return;
    const value = { ...this.hooks.announcement(), incarnation: this.incarnation };
    const key = nodeKey(this.self);
    const known = await this.state.get(key);
    if (known.kind === 'unavailable') return;
    // Guarded, or a registration of an earlier life that is carried out late would take this life's place: its lease
    // may last for a moment yet, and our shards would seem vacant while we hold them.
    const guard = { key, version: known.kind === 'found' ? (known.entry.version as number) : 0 };
    const result = await this.state.txn(Urgency.session, [guard], [{ put: key, value, lease: this.lease }], 1500);
    if (result.kind === 'ok') {
      this.nodeVersion = result.revision;
      this.mirror.apply({ key, value, removed: false, version: result.revision });
      this.verified = await this.hooks.verify();
      this.log.info({ incarnation: this.incarnation }, 'registered with the state service');
    } else if (result.kind === 'no-lease') this.lease = undefined;
  }

  /** One round: lead if nobody does. */
  async elect(): Promise<void> {
    this.noteTerm();
    if (this.lease === undefined || this.nodeVersion === undefined) return;
    // Whoever can't read every block would lease a machine that is in one of them to another.
    if (this.directory.unreadable.size > 0 || !this.hooks.mayLead()) return this.standDown();
    if (this.mirror.get(LEADER)) return;
    const value = { node: this.self, incarnation: this.incarnation };
    // Not behind users' submissions: in a rush nobody would lead for as long as it lasts.
    const result = await this.state.txn(
      Urgency.session,
      [
        { key: LEADER, version: 0 },
        { key: nodeKey(this.self), version: this.nodeVersion },
      ],
      [{ put: LEADER, value, lease: this.lease }],
    );
    if (result.kind === 'ok') {
      this.mirror.apply({ key: LEADER, value, removed: false, version: result.revision });
      this.noteTerm();
    }
  }

  /** Tells when this node begins to lead and when it ends, for whatever reason. */
  private noteTerm(): void {
    const { leading, term } = this;
    if (leading === term) return;
    this.term = leading;
    const { seenUpTo } = this.mirror;
    if (term !== null) this.log.info({ term, leader: this.leader, seenUpTo }, 'this node leads no more');
    if (leading !== null) this.log.info({ term: leading, seenUpTo }, 'this node leads: it leases machines and rents');
  }

  /** Leads no more; every write of the leader is guarded by the key that goes. */
  private async standDown(): Promise<void> {
    const { leading } = this;
    if (leading === null) return;
    const result = await this.state.txn(Urgency.session, [{ key: LEADER, version: leading }], [{ remove: LEADER }]);
    if (result.kind !== 'ok') return;
    this.mirror.apply({ key: LEADER, value: undefined, removed: true, version: result.revision });
    this.noteTerm();
  }

  /** One round: claim what is vacant, our own shard at once and others' after a pause by rank. */
  async claim(): Promise<void> {
    const nodeVersion = this.nodeVersion;
    if (nodeVersion === undefined || !this.hooks.mayClaim()) return;
    const now = this.clock.now();
    for (const shard of this.shards) {
      const entry = this.mirror.get(shardKey(shard));
      if (this.directory.unreadable.has(shard)) {
        this.leaveAlone(shard);
        continue;
      }
      this.leftAlone.delete(shard);
      // Asked several times a second: a block's record holds hundreds of machines and is decoded once.
      const value = this.directory.all.get(shard)?.value ?? null;
      if (!isVacant(value, this.alive)) {
        this.vacantSince.delete(shard);
        continue;
      }
      const since = this.vacantSince.get(shard) ?? now;
      this.vacantSince.set(shard, since);
      if (now - since < this.delayFor(shard, entry !== undefined, value, now)) continue;
      // The watch may have shown a head before its pages: what the shard holds must be known to be claimed.
      if (value !== null && value.epoch !== null && this.directory.newest > this.mirror.seenUpTo) continue;
      await this.claimOne(shard, entry?.version ?? 0, value, nodeVersion);
    }
  }

  /** Overwriting it would lose its machines, and run again what runs on them. */
  private leaveAlone(shard: ShardName): void {
    this.vacantSince.delete(shard);
    if (this.leftAlone.has(shard)) return;
    this.leftAlone.add(shard);
    const stored = this.mirror.get(shardKey(shard))?.value;
    this.log.error(
      { shard, format: formatOf(stored), reads: SHARD_FORMAT },
      "a shard's record can't be read by this release: it is left alone",
    );
  }

  private delayFor(shard: ShardName, exists: boolean, value: ShardValue | null, now: Millis): number {
    if ((shard as string) === (this.self as string)) return 0;
    // Its holder has handed it to this node.
    if (value?.released === true && value.next === this.self) return 0;
    const home = shard as unknown as NodeName;
    // A shard that was never claimed waits for its own node's first start.
    if (!exists) return Math.max(0, FIRST_START_MS - (now - this.startedAt)) + RANK_DELAY_MS;
    const homeAlive = this.alive(home) !== null;
    const rank = this.others.filter((n) => n !== home && this.alive(n) !== null && n < this.self).length;
    const load = this.hooks.held().length;
    return (
      (homeAlive ? 3 * RANK_DELAY_MS : 0) +
      (value?.released === true ? RANK_DELAY_MS : 0) +
      rank * 150 +
      Math.max(0, load - 1) * RANK_DELAY_MS
    );
  }

  private async claimOne(
    shard: ShardName,
    version: number,
    value: ShardValue | null,
    nodeVersion: Revision,
  ): Promise<void> {
    const holder = value?.holder ?? null;
    const nodes = [{ key: nodeKey(this.self), version: nodeVersion as number }];
    // A holder that registers again in this very moment keeps its shard.
    if (holder !== null && holder !== this.self && value?.released !== true) {
      nodes.push({ key: nodeKey(holder), version: this.mirror.get(nodeKey(holder))?.version ?? 0 });
    }
    const earlier = earlierHolders(value, this.self);
    const known = this.directory.all.get(shard);
    const paged = this.hooks.paged();
    const flips = paged && value?.epoch === null && known !== undefined;
    // One large value may be more than the state service takes any more: its machines go into pages first.
    if (flips && !(await this.paging.stage(shard, known, Urgency.session))) return;
    const record = flips
      ? this.paging.flipGuards(shard, known.version, nodes.length)
      : [{ key: shardKey(shard), version }];
    const guards = [...nodes, ...record];
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
    // Noted before the write: a claim whose outcome is unknown shows in the watch.
    this.previous.set(shard, earlier);
    const result = await this.state.txn(Urgency.session, guards, [{ put: shardKey(shard), value: encodeShard(next) }]);
    if (result.kind !== 'ok') {
      this.tellRefused(shard, version, result.kind);
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

  /** Once for each version of the record that a claim goes by: it is tried again every round. */
  private tellRefused(shard: ShardName, over: number, why: TxnResult['kind']): void {
    if (this.refusedAt.get(shard) === over) return;
    this.refusedAt.set(shard, over);
    this.log.info({ shard, over, seenUpTo: this.mirror.seenUpTo, why }, 'a claim of a shard was not made');
  }

  /** Who held a shard before our latest claim and may still command. */
  previousOf(shard: ShardName): readonly PreviousHolder[] {
    return this.previous.get(shard) ?? [];
  }
}
