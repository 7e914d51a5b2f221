import type { ChangeSource, ShardHolder, UnexpectedTaskCounts } from '../holder/index.js';
import {
  millis,
  shardName,
  type Incarnation,
  type Logger,
  type Millis,
  type NodeName,
  type Revision,
  type Runtime,
  type ShardName,
} from '../kernel/index.js';
import {
  parsePageKey,
  settlePendingShardWrites,
  ShardSealer,
  type KnownShard,
  type Membership,
  type ShardDirectory,
  type ShardValue,
} from '../membership/index.js';
import type { PeerTransport } from '../peers/index.js';
import { reread, shardKey, SHARDS_PREFIX, type Change, type Mirror, type StateClient } from '../state/index.js';
import type { Trail } from '../trail/index.js';

/** Longest wait for the watch to reach the revision of a claim before the shard is evaluated again. */
const WATCH_CATCH_UP_MS = 1000;
/** Why a node releases its shards when it is cut off from the workers. */
const CUT_OFF_REASON = 'this node cannot reach the workers';
/** How long the home node of a shard (the node of the same name) has to be available before it gets the shard back. */
const HAND_BACK_DELAY_MS = 3000;
/** A node that was asked to leave and still runs after this time takes part again. */
const LEAVING_TIMEOUT_MS = 60_000;

/** What `ShardOwnership` needs from the rest of the node. */
export interface OwnershipDeps {
  readonly self: NodeName;
  readonly incarnation: Incarnation;
  /** The shard that has the name of this node. */
  readonly ownShard: ShardName;
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly peers: PeerTransport;
  readonly directory: ShardDirectory;
  readonly runtime: Runtime;
  readonly log: Logger;
  readonly trail: Trail | null;
  membership(): Membership;
  /** Whether this node reaches the workers. */
  reachesWorkers(): boolean;
  /** Creates the holder of a shard that this node has claimed at a version. */
  createHolder(shard: ShardName, version: Revision, value: ShardValue): ShardHolder;
  /** Format in which the blocks of shards are written; `any` leaves each block in its present format. */
  blockFormat(): 'pages' | 'record' | 'any';
  /** Whether shard records are to be sealed; null leaves them as they are. */
  sealRecords(): boolean | null;
  /** Whether work of teams with a limit waits or runs in this shard although another shard keeps the team's account. */
  hasForeignWork(shard: ShardName): boolean;
  /** Called after this node has stopped holding a shard. */
  onShardDropped(shard: ShardName): void;
}

/** A held shard in the status of its node. */
export interface HeldShardStatus {
  readonly shard: ShardName;
  /** Version of the record at the claim. */
  readonly claimedAt: Revision;
  /** Number of machines that are missing from the block. */
  readonly missing: number;
  readonly unexpectedTasks: UnexpectedTaskCounts;
}

/** Result of a request to leave; `reason` says why the node cannot leave now. */
export type LeaveResult = { readonly ok: true } | { readonly ok: false; readonly reason: string };

/**
 * The shards that this node holds: acquires them, hands them over to peers or back to their home nodes, and drains this
 * node before a planned shutdown.
 */
export class ShardOwnership {
  readonly holders = new Map<ShardName, ShardHolder>();
  /** Per shard, the latest version at which another node is known to have claimed it. */
  private readonly supersededAt = new Map<ShardName, number>();
  /** Per shard, the highest revision that tokens of this node's holders can have been derived from. */
  private readonly usedRevisions = new Map<ShardName, Revision>();
  /** Per shard, since when its home node has been able to take it back. */
  private readonly homeNodeAvailableSince = new Map<ShardName, Millis>();
  private leavingSince: Millis | null = null;

  private readonly sealer: ShardSealer;

  constructor(private readonly deps: OwnershipDeps) {
    this.sealer = new ShardSealer(deps);
  }

  /** Handles a change of a shard's record or head. */
  onShard(change: Change): void {
    this.updateHolder(shardName(change.key.slice(SHARDS_PREFIX.length)), { key: change.key, revision: change.version });
  }

  /** Handles a change of a page of a shard's block. */
  onPage(change: Change): void {
    this.updateHolder(parsePageKey(change.key).shard, { key: change.key, revision: change.version });
  }

  /** Creates, updates or drops the holder of a shard according to the shard's record. */
  private updateHolder(shard: ShardName, source: ChangeSource): void {
    const known = this.deps.directory.all.get(shard);
    const value = known?.value ?? null;
    const isOurs =
      known !== undefined &&
      value !== null &&
      value.holder === this.deps.self &&
      value.incarnation === this.deps.incarnation &&
      !value.released &&
      known.version >= (this.supersededAt.get(shard) ?? 0);
    const holder = this.holders.get(shard);
    if (!isOurs) {
      if (holder) this.dropHolder(shard, holder);
    } else if (holder) {
      this.noteRevision(shard, source.revision);
      holder.onShard(value, source);
    } else if (known.version <= (this.usedRevisions.get(shard) ?? 0)) {
      // A holder made anew under the same claim needs tokens above those of the one that was dropped.
      const isUnchanged = (): boolean => this.deps.directory.all.get(shard)?.version === known.version;
      void this.rewriteRecord(shard, isUnchanged);
    } else if (this.deps.mirror.seenUpTo < known.version) {
      // The holder is created only after the watch has reached the claim. The earlier holder may have used a page that
      // was written before the claim; if such a page arrived later, it would count as new and its machines would not be
      // fenced. Likewise, a job that ended before the claim, known only to the earlier holder, would continue here if
      // the state service became unavailable before the watch delivered the end of the job.
      void this.deps.mirror.reach(known.version, WATCH_CATCH_UP_MS).then(() => this.updateHolder(shard, source));
    } else {
      this.deps.trail?.record({ kind: 'claimed', shard });
      this.noteRevision(shard, known.version);
      this.holders.set(shard, this.deps.createHolder(shard, known.version, value));
    }
  }

  private noteRevision(shard: ShardName, revision: Revision): void {
    if (revision > (this.usedRevisions.get(shard) ?? 0)) this.usedRevisions.set(shard, revision);
  }

  /** Stops holding a shard. */
  private dropHolder(shard: ShardName, holder: ShardHolder): void {
    this.deps.log.info({ shard }, 'this node no longer holds the shard');
    holder.drop();
    this.holders.delete(shard);
    this.deps.onShardDropped(shard);
    this.deps.trail?.record({ kind: 'dropped', shard });
  }

  /**
   * Handles the request of a node that has claimed a shard at this version: this node must send no more commands to the
   * workers of the shard, and confirms that. A claim that is not newer than the claim of this node is ignored.
   */
  onStandDown(from: NodeName, shard: ShardName, version: number): void {
    const holder = this.holders.get(shard);
    if (holder && holder.claimedAt >= version) return;
    this.supersede(shard, version);
    this.deps.peers.send(from, { kind: 'stooddown', shard, version });
  }

  /**
   * Records that another node has claimed a shard at this version. Commands to the workers of the shard stop at once,
   * even if the watch has not delivered that claim yet.
   */
  supersede(shard: ShardName, version: number): void {
    const holder = this.holders.get(shard);
    if (holder && holder.claimedAt >= version) return;
    this.supersededAt.set(shard, Math.max(version, this.supersededAt.get(shard) ?? 0));
    if (holder) this.dropHolder(shard, holder);
  }

  /**
   * Rereads the records of the held shards from the state service; a shard that another node has claimed is dropped as
   * its record arrives. Returns false if any record could not be read.
   */
  async verifyOwnership(): Promise<boolean> {
    let allRead = true;
    for (const shard of [...this.holders.keys()]) {
      const read = await reread(this.deps.state, this.deps.mirror, shardKey(shard));
      if (read.kind === 'unavailable') allRead = false;
    }
    return allRead;
  }

  /** Whether a peer can hold shards: it has the state service, reaches the workers and is not leaving. */
  isEligibleHolder(node: NodeName): boolean {
    const status = this.deps.peers.statusOf(node);
    return status !== null && status.stateOk && status.fit && !status.leaving;
  }

  /** Whether this node may claim shards or lead. It may not while it is leaving and a peer can hold shards. */
  get mayClaimShards(): boolean {
    return !this.leaving || !this.deps.peers.peerNames.some((peer) => this.isEligibleHolder(peer));
  }

  /** The peer that holds the fewest shards among those that can hold shards, or null. */
  private leastLoadedPeer(): NodeName | null {
    const heldShards = (node: NodeName): number => {
      let held = 0;
      for (const { value } of this.deps.directory.all.values()) if (value.holder === node && !value.released) held += 1;
      return held;
    };
    const candidates = this.deps.peers.peerNames.filter((peer) => this.isEligibleHolder(peer));
    return candidates.sort((a, b) => heldShards(a) - heldShards(b) || (a < b ? -1 : 1))[0] ?? null;
  }

  /**
   * One reconcile round: asks earlier holders to stop commanding workers, and hands shards over to peers or back to
   * their home nodes.
   */
  async reconcile(): Promise<void> {
    const { peers, runtime } = this.deps;
    const now = runtime.now();
    if (this.leavingSince !== null && now - this.leavingSince > LEAVING_TIMEOUT_MS)
      this.cancelLeaving('this node was not shut down in time');
    for (const [shard, holder] of this.holders) {
      for (const { node, incarnation: earlierIncarnation } of holder.unconfirmedPreviousHolders) {
        // The node's key, as of the claim or later, names the holder or a later incarnation, which proves that the holder
        // has ended. A hello proves nothing: one of an incarnation before the holder may arrive late. A later incarnation
        // confirms the request at once.
        const liveIncarnation = this.deps.membership().liveIncarnationOf(node);
        if (liveIncarnation !== null && liveIncarnation !== earlierIncarnation) holder.confirmStopped(node);
        else peers.send(node, { kind: 'standdown', shard, version: holder.claimedAt });
      }
      const reason = this.leaving
        ? 'this node is about to be shut down'
        : this.deps.reachesWorkers()
          ? null
          : CUT_OFF_REASON;
      const successor = reason === null ? null : this.leastLoadedPeer();
      if (reason !== null && successor !== null) {
        await holder.releaseShard(reason, successor);
        continue;
      }
      if (holder.needsNewRevision) await this.rewriteRecord(shard, () => this.holders.get(shard) === holder);
      await this.reconcileBlockFormat(shard);
      if (shard !== this.deps.ownShard) await this.handBack(shard, holder, now);
    }
  }

  /** Rewrites a shard's record unchanged: its new revision is above those that any token has been derived from. */
  private async rewriteRecord(shard: ShardName, shouldContinue: () => boolean): Promise<void> {
    const { state, mirror, runtime } = this.deps;
    await settlePendingShardWrites(shard, state, mirror, runtime, shouldContinue);
  }

  /** Converts the stored block and the seal of a shard to the wanted formats. */
  private async reconcileBlockFormat(shard: ShardName): Promise<void> {
    const known = this.deps.directory.all.get(shard);
    const { paging } = this.deps.membership();
    const blockFormat = this.deps.blockFormat();
    if (!known) return;
    await this.reconcileSeal(shard, known);
    if (blockFormat === 'any') return;
    if (blockFormat === 'pages' && known.value.epoch === null) await paging.moveToPages(shard, known);
    else if (blockFormat === 'record' && known.value.epoch !== null && !(await paging.moveToRecord(shard, known)))
      this.deps.log.debug({ shard }, 'block of the shard could not be moved back into its record');
  }

  /** Seals or unseals a shard's record if the wanted state differs. */
  private async reconcileSeal(shard: ShardName, known: KnownShard): Promise<void> {
    const sealed = this.deps.sealRecords();
    if (sealed === null || sealed === (known.value.sealed === true)) return;
    // Unsealing now would let work start here without being counted in the account of another shard that has to cover
    // it.
    if (!sealed && this.deps.hasForeignWork(shard)) return;
    await this.sealer.setSealed(shard, known, sealed);
  }

  /**
   * Returns a shard to its home node once that node has been available for `HAND_BACK_DELAY_MS` and the shard is quiet.
   */
  private async handBack(shard: ShardName, holder: ShardHolder, now: Millis): Promise<void> {
    const homeNode = shard as unknown as NodeName;
    if (this.deps.membership().liveIncarnationOf(homeNode) === null || !this.isEligibleHolder(homeNode)) {
      this.homeNodeAvailableSince.delete(shard);
      return;
    }
    const since = this.homeNodeAvailableSince.get(shard) ?? now;
    this.homeNodeAvailableSince.set(shard, since);
    if (
      now - since > HAND_BACK_DELAY_MS &&
      holder.canBeHandedOver &&
      (await holder.releaseShard('its home node is available again'))
    )
      this.homeNodeAvailableSince.delete(shard);
  }

  /** The held shards as `admin status` shows them. */
  get held(): HeldShardStatus[] {
    return [...this.holders].map(([shard, { claimedAt, members, unexpectedTasks }]) => ({
      shard,
      claimedAt,
      missing: members.missingCount,
      unexpectedTasks: unexpectedTasks.counts,
    }));
  }

  /** The shards in which teams with a limit start nothing, with the number of tasks of unknown jobs that cause this. */
  get heldBack(): { readonly shard: ShardName; readonly tasksOfUnknownJobs: number }[] {
    return [...this.holders.values()]
      .filter(({ blockingUnknownTasks }) => blockingUnknownTasks > 0)
      .map(({ shard, blockingUnknownTasks }) => ({ shard, tasksOfUnknownJobs: blockingUnknownTasks }));
  }

  // ---- leaving

  /** Whether an operator has asked this node to leave. */
  get leaving(): boolean {
    return this.leavingSince !== null;
  }

  /** Whether all shards and the leadership are handed over: no lease has to expire if this node is shut down now. */
  get left(): boolean {
    return this.leaving && this.holders.size === 0 && this.deps.membership().leaderTerm === null;
  }

  /** Prepares a planned shutdown: hands the shards over to peers, claims nothing new and gives up leadership. */
  leave(): LeaveResult {
    if (this.leastLoadedPeer() === null) return { ok: false, reason: 'no other controller can take its shards now' };
    if (!this.leaving) {
      this.deps.log.info(
        { shards: [...this.holders.keys()] },
        'preparing for a shutdown by an operator: handing over shards',
      );
      this.leavingSince = this.deps.runtime.now();
      this.deps.peers.broadcastHello();
    }
    return { ok: true };
  }

  /** Cancels `leave`. */
  cancelLeaving(reason: string): void {
    if (!this.leaving) return;
    this.leavingSince = null;
    this.deps.log.info({ why: reason }, 'shutdown cancelled: this node may claim shards and lead again');
    this.deps.peers.broadcastHello();
  }

  /** Milliseconds until `leave` is cancelled automatically; null if this node is not leaving. */
  get staysInMs(): Millis | null {
    if (this.leavingSince === null) return null;
    return millis(Math.max(0, this.leavingSince + LEAVING_TIMEOUT_MS - this.deps.runtime.now()));
  }
}
