import type { BlockSource, ShardHolder } from '../holder/index.js';
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
  Seals,
  type KnownShard,
  type Membership,
  type ShardDirectory,
  type ShardValue,
} from '../membership/index.js';
import type { PeerLink } from '../peers/index.js';
import { reread, shardKey, SHARDS, type Change, type Mirror, type StateClient } from '../state/index.js';
import type { Trail } from '../trail/index.js';

/** How long the watch may take to come up to a claim before we look again. */
const CAUGHT_UP_MS = 1000;
const CUT_OFF = 'this node cannot reach the workers';
const HAND_BACK_AFTER_MS = 3000;
/** Whoever asked this node to leave should have ended it by then: it takes part again. */
const LEAVING_FOR_MS = 60_000;

export interface OwnershipDeps {
  readonly self: NodeName;
  readonly incarnation: Incarnation;
  readonly own: ShardName;
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly peers: PeerLink;
  readonly directory: ShardDirectory;
  readonly runtime: Runtime;
  readonly log: Logger;
  readonly trail: Trail | null;
  membership(): Membership;
  /** This node reaches the workers. */
  reaches(): boolean;
  make(shard: ShardName, version: Revision, value: ShardValue): ShardHolder;
  /** How machines of shards are to be stored; any: as they are. */
  form(): 'pages' | 'record' | 'any';
  /** Are shards' records to be sealed; null: they stay as they are. */
  seal(): boolean | null;
  /** Work of limited teams waits or runs in a shard whose account another shard keeps. */
  hasForeignWork(shard: ShardName): boolean;
  /** A shard is held here no more. */
  dropped(shard: ShardName): void;
}

export type LeaveAnswer = { readonly ok: true } | { readonly ok: false; readonly reason: string };

/** Which shards this node holds: taking them up, handing them on and back, and leaving before a planned end. */
export class ShardOwnership {
  readonly holders = new Map<ShardName, ShardHolder>();
  private readonly ousted = new Map<ShardName, number>();
  private readonly homeSince = new Map<ShardName, Millis>();
  private leavingSince: Millis | null = null;

  private readonly seals: Seals;

  constructor(private readonly deps: OwnershipDeps) {
    this.seals = new Seals(deps);
  }

  /** A shard's record or head has changed. */
  onShard(change: Change): void {
    this.look(shardName(change.key.slice(SHARDS.length)), { key: change.key, revision: change.version });
  }

  /** A page of a shard has changed. */
  onPage(change: Change): void {
    this.look(parsePageKey(change.key).shard, { key: change.key, revision: change.version });
  }

  private look(shard: ShardName, source: BlockSource): void {
    const known = this.deps.directory.all.get(shard);
    const value = known?.value ?? null;
    const mine =
      known !== undefined &&
      value !== null &&
      value.holder === this.deps.self &&
      value.incarnation === this.deps.incarnation &&
      !value.released &&
      known.version >= (this.ousted.get(shard) ?? 0);
    const holder = this.holders.get(shard);
    if (!mine) {
      if (holder) this.drop(shard, holder);
    } else if (holder) holder.onShard(value, source);
    else if (this.deps.mirror.seenUpTo < known.version) {
      // A page that the earlier holder had before our claim, and that we have yet to see, is one that it may have used:
      // taken for new, its machines would not be fenced. And a job that ended before our claim, of which only the
      // earlier holder knew, would go on here if the state service were gone before the watch had shown its end.
      void this.deps.mirror.reach(known.version, CAUGHT_UP_MS).then(() => this.look(shard, source));
    } else {
      this.deps.trail?.note({ kind: 'claimed', shard });
      this.holders.set(shard, this.deps.make(shard, known.version, value));
    }
  }

  private drop(shard: ShardName, holder: ShardHolder): void {
    this.deps.log.info({ shard }, 'this node holds the shard no more');
    holder.drop();
    this.holders.delete(shard);
    this.deps.dropped(shard);
    this.deps.trail?.note({ kind: 'dropped', shard });
  }

  /** Somebody has claimed a shard in this version and asks that we command nothing there any more. */
  standDown(from: NodeName, shard: ShardName, version: number): void {
    const holder = this.holders.get(shard);
    if (holder && holder.claimedAt >= version) return;
    this.oust(shard, version);
    this.deps.peers.send(from, { kind: 'stooddown', shard, version });
  }

  /** Another has claimed a shard in this version: nothing is commanded there any more, whatever the watch shows yet. */
  oust(shard: ShardName, version: number): void {
    const holder = this.holders.get(shard);
    if (holder && holder.claimedAt >= version) return;
    this.ousted.set(shard, Math.max(version, this.ousted.get(shard) ?? 0));
    if (holder) this.drop(shard, holder);
  }

  /** Reads afresh whether the shards are still ours; false when that could not be read. */
  async verify(): Promise<boolean> {
    let all = true;
    for (const shard of [...this.holders.keys()]) {
      const read = await reread(this.deps.state, this.deps.mirror, shardKey(shard));
      if (read.kind === 'unavailable') all = false;
    }
    return all;
  }

  isFit(node: NodeName): boolean {
    const status = this.deps.peers.statusOf(node);
    return status !== null && status.stateOk && status.fit && !status.leaving;
  }

  /** May this node take shards up, or lead? Not while it is leaving and others can. */
  get mayTake(): boolean {
    return !this.leaving || !this.deps.peers.names.some((peer) => this.isFit(peer));
  }

  /** Of the peers that can serve a shard, the one that holds fewest. */
  private fittestPeer(): NodeName | null {
    const load = (node: NodeName): number => {
      let held = 0;
      for (const { value } of this.deps.directory.all.values()) if (value.holder === node && !value.released) held += 1;
      return held;
    };
    const fit = this.deps.peers.names.filter((peer) => this.isFit(peer));
    return fit.sort((a, b) => load(a) - load(b) || (a < b ? -1 : 1))[0] ?? null;
  }

  /** One round: who has to stand down, and what is handed on or back. */
  async review(): Promise<void> {
    const { peers, runtime } = this.deps;
    const now = runtime.now();
    if (this.leavingSince !== null && now - this.leavingSince > LEAVING_FOR_MS) this.stay('nobody has ended this node');
    for (const [shard, holder] of this.holders) {
      for (const { node, incarnation: life } of holder.doubtful) {
        const heard = peers.statusOf(node)?.incarnation ?? this.deps.membership().alive(node);
        // A later life of that node proves that the earlier one has ended.
        if (heard !== null && heard !== life) holder.proven(node);
        else peers.send(node, { kind: 'standdown', shard, version: holder.claimedAt });
      }
      const why = this.leaving ? 'this node is about to be ended' : this.deps.reaches() ? null : CUT_OFF;
      const better = why === null ? null : this.fittestPeer();
      if (why !== null && better !== null) {
        await holder.giveUp(why, better);
        continue;
      }
      await this.reform(shard);
      if (shard !== this.deps.own) await this.handBack(shard, holder, now);
    }
  }

  /** Its machines are in the form in which they are to be stored. */
  private async reform(shard: ShardName): Promise<void> {
    const known = this.deps.directory.all.get(shard);
    const { paging } = this.deps.membership();
    const wanted = this.deps.form();
    if (!known) return;
    await this.reseal(shard, known);
    if (wanted === 'any') return;
    if (wanted === 'pages' && known.value.epoch === null) await paging.flip(shard, known);
    else if (wanted === 'record' && known.value.epoch !== null && !(await paging.fold(shard, known)))
      this.deps.log.debug({ shard }, "a shard's machines could not be put back into its record");
  }

  private async reseal(shard: ShardName, known: KnownShard): Promise<void> {
    const sealed = this.deps.seal();
    if (sealed === null || sealed === (known.value.sealed === true)) return;
    // What another's account has to cover would be started here without it.
    if (!sealed && this.deps.hasForeignWork(shard)) return;
    await this.seals.set(shard, known, sealed);
  }

  private async handBack(shard: ShardName, holder: ShardHolder, now: Millis): Promise<void> {
    const home = shard as unknown as NodeName;
    if (this.deps.membership().alive(home) === null || !this.isFit(home)) {
      this.homeSince.delete(shard);
      return;
    }
    const since = this.homeSince.get(shard) ?? now;
    this.homeSince.set(shard, since);
    if (now - since > HAND_BACK_AFTER_MS && holder.quiet && (await holder.giveUp('its own node is back')))
      this.homeSince.delete(shard);
  }

  /** Under which claim each shard is held here, and how many machines are missing from its block. */
  get held(): { readonly shard: ShardName; readonly claimedAt: Revision; readonly missing: number }[] {
    return [...this.holders].map(([shard, { claimedAt, members }]) => ({ shard, claimedAt, missing: members.missing }));
  }

  /** Where teams with a limit start nothing, and how many tasks of jobs that nobody knows any more are why. */
  get heldBack(): { readonly shard: ShardName; readonly tasksOfUnknownJobs: number }[] {
    return [...this.holders.values()]
      .filter(({ heldBackBy }) => heldBackBy > 0)
      .map(({ shard, heldBackBy }) => ({ shard, tasksOfUnknownJobs: heldBackBy }));
  }

  // ---- leaving

  get leaving(): boolean {
    return this.leavingSince !== null;
  }

  /** Everything is handed on: this node may be ended, and nobody has to wait for a lease. */
  get left(): boolean {
    return this.leaving && this.holders.size === 0 && this.deps.membership().leading === null;
  }

  /** An operator is about to end this node: its shards go to peers, it takes nothing new and leads no more. */
  leave(): LeaveAnswer {
    if (this.fittestPeer() === null) return { ok: false, reason: 'no other controller can take its shards now' };
    if (!this.leaving) {
      this.deps.log.info({ shards: [...this.holders.keys()] }, 'an operator is about to end this node: it leaves');
      this.leavingSince = this.deps.runtime.now();
      this.deps.peers.greet();
    }
    return { ok: true };
  }

  /** It is not ended after all. */
  stay(why: string): void {
    if (!this.leaving) return;
    this.leavingSince = null;
    this.deps.log.info({ why }, 'this node stays and takes part again');
    this.deps.peers.greet();
  }

  /** Milliseconds until it takes part again by itself; null: it isn't leaving. */
  get staysInMs(): Millis | null {
    if (this.leavingSince === null) return null;
    return millis(Math.max(0, this.leavingSince + LEAVING_FOR_MS - this.deps.runtime.now()));
  }
}
