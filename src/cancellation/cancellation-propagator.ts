import type { JobFinal } from '../jobs/index.js';
import {
  incarnation as toIncarnation,
  isObject,
  millis,
  type Incarnation,
  type JobId,
  type Logger,
  type Millis,
  type NodeName,
  type Revision,
  type Runtime,
  type ShardName,
} from '../kernel/index.js';
import type { ShardDirectory } from '../membership/index.js';
import type { PeerTransport, PeerMessage, Heartbeat } from '../peers/index.js';
import { ACKNOWLEDGED_CANCELLATIONS, decodeAnnouncement } from '../rollout/index.js';
import { jobKey, nodeKey, seenRevisionKey, Urgency, type Mirror, type StateClient } from '../state/index.js';
import {
  answerGraceMs,
  ownershipConfirmedAt,
  holderModeAt,
  type HolderTimings,
  type HolderMode,
} from './holder-mode.js';
import {
  unacknowledgedHolders,
  type StoredShardHolder,
  type IncarnationQueries,
  type UnacknowledgedHolder,
} from './unacknowledged-holders.js';

/**
 * How long a user's request waits for acknowledgements. After that the user has to retry; notifying holders goes on.
 */
const USER_ANSWER_TIMEOUT_MS = 700;
/** Interval of the heartbeats (`word` frames) to the other controllers. */
const HEARTBEAT_INTERVAL_MS = 1000;
/** A peer that hasn't echoed any of our heartbeats for this long may not receive our frames. */
const ECHO_TIMEOUT_MS = 2500;
/** Shortest interval between two writes of the revision up to which this node has seen the ends of jobs. */
const SEEN_WRITE_INTERVAL_MS = 1000;
/**
 * Cancellations that are waiting for acknowledgements; beyond this number the least recently checked one is dropped.
 */
const MAX_PENDING_CANCELLATIONS = 4000;
/** Pending cancellations that are checked and resent in one round. */
const MAX_RECHECKS_PER_ROUND = 200;
/** Fully acknowledged cancellations that are remembered; beyond this number the oldest one is forgotten. */
const MAX_ACKNOWLEDGED_JOBS = 20_000;
const NEVER = millis(Number.NEGATIVE_INFINITY);

/** What the propagation of cancellations needs from the rest of the controller. */
export interface CancellationPropagatorDeps {
  readonly self: NodeName;
  readonly incarnation: Incarnation;
  /** All other controllers. */
  readonly others: readonly NodeName[];
  /** Durations that limit how long an isolated holder continues. */
  readonly facts: HolderTimings;
  readonly runtime: Pick<Runtime, 'now' | 'after'>;
  readonly log: Pick<Logger, 'info' | 'warn'>;
  readonly state: Pick<StateClient, 'txn'>;
  readonly mirror: Pick<Mirror, 'get' | 'apply' | 'reach' | 'seenUpTo' | 'loaded' | 'changes'>;
  readonly directory: Pick<ShardDirectory, 'all'>;
  readonly peers: Pick<PeerTransport, 'send' | 'statusOf'>;
  /** Reports whether all controllers take part in acknowledged cancellations. */
  enabled(): boolean;
  /** Latest time for which a lease renewal proves that no other node can have claimed this node's shards. */
  ownershipProvenAt(): Millis;
  /** The shards that this node holds, each with the revision of its claim. */
  held(): Iterable<readonly [ShardName, Revision]>;
  /** Called when another node has claimed a shard of this node; `version` is the revision of that claim. */
  onShardLost(shard: ShardName, version: number): void;
  /** Called when a job is known to have ended, with its final record and the revision of that record. */
  onJobEnded(id: JobId, final: JobFinal, version: Revision): void;
}

/** A cancellation that not all holders have acknowledged yet. */
interface PendingCancellation {
  readonly final: JobFinal;
  readonly version: Revision;
  readonly since: Millis;
  /** Incarnations that have acknowledged it. */
  readonly acks: Set<Incarnation>;
  /** Requests of users that wait for the result. */
  readonly waiters: Set<(acknowledged: boolean) => void>;
}

/** The latest heartbeat stamp of a peer, on the peer's clock, and the incarnation that sent it. */
interface PeerStamp {
  readonly incarnation: Incarnation;
  readonly stamp: number;
}

/**
 * Propagates job cancellations to the holders of all shards. A cancellation is stored first, then acknowledged by every
 * holder, and only then confirmed to the user: whatever fails after that, the state service included, the tasks end in
 * time. A holder whose ownership is no longer confirmed stops starting tasks and answering workers in time, because
 * another node may then claim its shards. The proof is in docs/cancel-design.md.
 */
export class CancellationPropagator {
  private readonly pending = new Map<JobId, PendingCancellation>();
  private readonly acknowledgedJobs = new Set<JobId>();
  private readonly peerStamps = new Map<NodeName, PeerStamp>();
  /** Earliest time, on this node's clock, at which each peer can have sent its latest confirmation of our shards. */
  private readonly confirmedByPeerAt = new Map<NodeName, Millis>();
  /** Send time of the latest of our heartbeats that each peer is known to have received, on this node's clock. */
  private readonly echoedByPeerAt = new Map<NodeName, Millis>();
  /** When a majority last confirmed this node's ownership, already reduced by the node lease. */
  private confirmedByMajorityAt = NEVER;
  private heartbeatsSentAt = NEVER;
  private seenWrittenAt = NEVER;
  /** Highest revision at which the mirror has shown the removal of a job's key. */
  private lastJobEndRevision = 0;
  private loggedMode: HolderMode = 'all';

  constructor(private readonly deps: CancellationPropagatorDeps) {
    deps.mirror.changes.subscribe(({ key, removed, version }) => {
      if (removed && key.startsWith(jobKey('' as JobId)))
        this.lastJobEndRevision = Math.max(this.lastJobEndRevision, version);
    });
  }

  // ---- sending cancellations

  /**
   * Resolves to true when the user may be told that the job is cancelled: every holder has acknowledged it, or doesn't
   * need to. Resolves to false when that takes longer than the timeout for the user's answer.
   */
  async awaitAcknowledgement(job: JobId, final: JobFinal, version: Revision): Promise<boolean> {
    if (this.acknowledgedJobs.has(job)) return true;
    const { deps } = this;
    let pending = this.pending.get(job);
    if (!pending) {
      deps.mirror.apply({ key: jobKey(job), value: undefined, removed: true, version });
      pending = { final, version, since: deps.runtime.now(), acks: new Set(), waiters: new Set() };
      this.addPending(job, pending);
      this.notify(job, pending, deps.others);
    }
    if (!deps.enabled()) {
      // Some controller doesn't take part yet: each one acts on the frame at once, and nobody waits for
      // acknowledgements.
      this.resolvePending(job, pending, true);
      return true;
    }
    void deps.mirror.reach(version, USER_ANSWER_TIMEOUT_MS).then(() => this.checkPending(job));
    return new Promise((resolve) => {
      const waiter = (acknowledged: boolean): void => {
        timer.cancel();
        pending.waiters.delete(waiter);
        resolve(acknowledged);
      };
      const timer = deps.runtime.after(USER_ANSWER_TIMEOUT_MS, () => waiter(false));
      pending.waiters.add(waiter);
      this.checkPending(job);
    });
  }

  /** Adds a cancellation; at the limit it drops the least recently checked one, whose waiting users have to retry. */
  private addPending(job: JobId, pending: PendingCancellation): void {
    const [oldest] = this.pending;
    if (this.pending.size >= MAX_PENDING_CANCELLATIONS && oldest) this.resolvePending(...oldest, false);
    this.pending.set(job, pending);
  }

  /** Ends a pending cancellation and tells the waiting requests whether all holders have acknowledged it. */
  private resolvePending(job: JobId, pending: PendingCancellation, acknowledged: boolean): void {
    this.pending.delete(job);
    if (acknowledged) {
      const [oldest] = this.acknowledgedJobs;
      if (this.acknowledgedJobs.size >= MAX_ACKNOWLEDGED_JOBS && oldest !== undefined)
        this.acknowledgedJobs.delete(oldest);
      this.acknowledgedJobs.add(job);
    }
    for (const waiter of [...pending.waiters]) waiter(acknowledged);
  }

  /**
   * Returns the holders that may still run tasks of the job without knowing of its end, as of a time after the end was
   * stored. Resolves the cancellation if there are none.
   */
  private checkPending(job: JobId): readonly UnacknowledgedHolder[] {
    const pending = this.pending.get(job);
    if (!pending || this.deps.mirror.seenUpTo < pending.version) return [];
    const unacknowledged = unacknowledgedHolders(this.shardHolders(), this.incarnationQueries(pending));
    if (unacknowledged.length === 0) this.resolvePending(job, pending, true);
    return unacknowledged;
  }

  private *shardHolders(): Iterable<StoredShardHolder> {
    for (const [shard, { value }] of this.deps.directory.all) {
      const { holder, incarnation, released } = value;
      yield { shard, holder, incarnation, released };
    }
  }

  private incarnationQueries({ acks, version }: Pick<PendingCancellation, 'acks' | 'version'>): IncarnationQueries {
    const { self, mirror } = this.deps;
    return {
      self,
      mayAcknowledge: (node, incarnation) => this.mayAcknowledge(node, incarnation),
      hasAcknowledged: (_node, incarnation) => acks.has(incarnation),
      watchHasReached: (node, incarnation) => {
        const value = mirror.get(seenRevisionKey(node))?.value;
        return isObject(value) && value['incarnation'] === incarnation && Number(value['upTo']) >= version;
      },
      hasEnded: (node, incarnation) => {
        const announced = decodeAnnouncement(mirror.get(nodeKey(node))?.value);
        return announced !== null && announced.incarnation !== incarnation;
      },
    };
  }

  /**
   * Reports whether an incarnation may acknowledge cancellations. An unknown incarnation counts as one that does:
   * either its shard is claimed by another node in time, or it is heard again.
   */
  private mayAcknowledge(node: NodeName, incarnation: Incarnation): boolean {
    const announced = decodeAnnouncement(this.deps.mirror.get(nodeKey(node))?.value);
    if (announced?.incarnation === incarnation) return announced.features.includes(ACKNOWLEDGED_CANCELLATIONS);
    const status = this.deps.peers.statusOf(node, Number.POSITIVE_INFINITY);
    return status?.incarnation !== incarnation || status.features.includes(ACKNOWLEDGED_CANCELLATIONS);
  }

  /** Sends the cancellation to nodes, as a `cancelled` frame to earlier releases, which don't acknowledge it. */
  private notify(job: JobId, { final, version }: PendingCancellation, nodes: Iterable<NodeName>): void {
    const { done, at } = final;
    const { peers } = this.deps;
    for (const node of nodes) {
      if (this.acknowledgesCancellations(node)) peers.send(node, { kind: 'withdrawn', job, done, at, version });
      else peers.send(node, { kind: 'cancelled', job });
    }
  }

  /** Reports whether a peer that was heard recently supports acknowledged cancellations. */
  private acknowledgesCancellations(node: NodeName): boolean {
    return this.deps.peers.statusOf(node)?.features.includes(ACKNOWLEDGED_CANCELLATIONS) === true;
  }

  // ---- receiving frames

  /**
   * Handles the frames of this module: `withdrawn` (a cancellation), `heard` (its acknowledgement), `word` (a
   * heartbeat).
   */
  onPeerMessage(from: NodeName, message: PeerMessage): void {
    switch (message.kind) {
      case 'withdrawn': {
        const { job, done, at, version } = message;
        this.deps.onJobEnded(job, { phase: 'cancelled', done, at }, version);
        // From here on this node starts no task of the job and stops those that run.
        this.deps.mirror.apply({ key: jobKey(job), value: undefined, removed: true, version });
        this.deps.peers.send(from, { kind: 'heard', job, incarnation: this.deps.incarnation });
        break;
      }
      case 'heard':
        this.pending.get(message.job)?.acks.add(message.incarnation);
        this.checkPending(message.job);
        break;
      case 'word':
        this.onHeartbeat(from, message);
        break;
      default:
        break;
    }
  }

  /** Handles a peer's heartbeat: its echo of our heartbeats and its view of who holds the shards. */
  private onHeartbeat(from: NodeName, { incarnation, stamp, echo, echoOf, shards }: Heartbeat): void {
    const known = this.peerStamps.get(from);
    if (known?.incarnation !== incarnation || known.stamp < stamp) this.peerStamps.set(from, { incarnation, stamp });
    const { self, incarnation: own } = this.deps;
    if (echo < 0 || echoOf !== own) return;
    // The peer sent this frame after it had received the heartbeat that we sent at `echo`. However late the frame
    // arrives, it therefore counts as a report of that time and no later.
    const sentAt = millis(Math.min(echo, this.deps.runtime.now()));
    if (sentAt > (this.echoedByPeerAt.get(from) ?? NEVER)) this.echoedByPeerAt.set(from, sentAt);
    let confirms = true;
    for (const [shard, claimedAt] of [...this.deps.held()]) {
      const reported = shards.find((other) => other.shard === shard);
      const ours = reported?.holder === self && reported.incarnation === own;
      if (!ours) confirms = false;
      if (reported && !ours && reported.version > claimedAt) this.deps.onShardLost(shard, reported.version);
    }
    if (confirms) this.confirm(from, sentAt);
  }

  /** Notes that a peer confirmed this node's ownership as of `at`. */
  private confirm(node: NodeName, at: Millis): void {
    if (at <= (this.confirmedByPeerAt.get(node) ?? NEVER)) return;
    this.confirmedByPeerAt.set(node, at);
    const confirmations = this.deps.others.map((other) => this.confirmedByPeerAt.get(other) ?? null);
    this.confirmedByMajorityAt = ownershipConfirmedAt(NEVER, confirmations, this.deps.facts.nodeLeaseMs);
  }

  // ---- isolation of this holder

  /** What this node may still do as a holder. */
  get holderMode(): HolderMode {
    const { deps } = this;
    if (deps.others.length === 0 || !deps.enabled()) return 'all';
    return holderModeAt(deps.runtime.now(), this.ownershipConfirmedAt, deps.facts);
  }

  private get ownershipConfirmedAt(): Millis {
    return millis(Math.max(this.deps.ownershipProvenAt(), this.confirmedByMajorityAt));
  }

  // ---- periodic work

  /** Runs one round: resends unacknowledged cancellations, sends heartbeats and records the revision that was seen. */
  async round(): Promise<void> {
    const { deps } = this;
    const now = deps.runtime.now();
    this.logModeChange(now);
    // A limited number per round, least recently checked first: the backlog grows during an outage.
    for (const [job, pending] of [...this.pending].slice(0, MAX_RECHECKS_PER_ROUND)) {
      const unacknowledged = this.checkPending(job);
      if (!this.pending.delete(job)) continue;
      this.pending.set(job, pending);
      // Sent again to those who haven't acknowledged: a frame, a connection or the peer's process may have been lost.
      this.notify(job, pending, new Set(unacknowledged.map(({ node }) => node)));
    }
    if (now - this.heartbeatsSentAt >= HEARTBEAT_INTERVAL_MS) {
      this.heartbeatsSentAt = now;
      this.sendHeartbeats(now);
    }
    await this.writeSeenRevision(now);
  }

  /** Sends every peer our view of who holds the shards, and the echo of its latest stamp. */
  private sendHeartbeats(now: Millis): void {
    const { deps } = this;
    const shards = [...deps.directory.all].map(([shard, { value, version }]) => {
      const { holder, incarnation, released } = value;
      return { shard, version, holder, incarnation: released ? toIncarnation('') : incarnation };
    });
    for (const node of deps.others) {
      if (!this.acknowledgesCancellations(node)) {
        // An earlier release doesn't report shards: hearing from it has to be enough of a confirmation.
        const status = deps.peers.statusOf(node);
        if (status) this.confirm(node, status.lastHelloAt);
        continue;
      }
      const { stamp = -1, incarnation = toIncarnation('') } = this.peerStamps.get(node) ?? {};
      const heartbeat = { incarnation: deps.incarnation, stamp: now, echo: stamp, echoOf: incarnation, shards };
      deps.peers.send(node, { kind: 'word', ...heartbeat });
    }
  }

  /**
   * Records in the state service up to which revision this node has seen the ends of jobs, if some peer may not receive
   * our frames. The peer reads it there instead of an acknowledgement.
   */
  private async writeSeenRevision(now: Millis): Promise<void> {
    const { deps } = this;
    const key = seenRevisionKey(deps.self);
    if (!deps.enabled() || now - this.seenWrittenAt < SEEN_WRITE_INTERVAL_MS || !deps.mirror.loaded) return;
    const somePeerUnreachable = deps.others.some(
      (node) => deps.mirror.get(nodeKey(node)) && now - (this.echoedByPeerAt.get(node) ?? NEVER) > ECHO_TIMEOUT_MS,
    );
    if (!somePeerUnreachable) return;
    const stored = deps.mirror.get(key);
    const previous = isObject(stored?.value) && stored.value['incarnation'] === deps.incarnation ? stored.value : {};
    if (Number(previous['upTo'] ?? 0) >= this.lastJobEndRevision) return;
    this.seenWrittenAt = now;
    const value = { incarnation: deps.incarnation, upTo: deps.mirror.seenUpTo };
    const guards = [{ key, version: stored?.version ?? 0 }];
    const result = await deps.state.txn(Urgency.final, guards, [{ put: key, value }]);
    if (result.kind === 'ok') deps.mirror.apply({ key, value, removed: false, version: result.revision });
  }

  private logModeChange(now: Millis): void {
    const { holderMode } = this;
    if (holderMode === this.loggedMode) return;
    const silentMs = Math.round(now - this.ownershipConfirmedAt);
    const text = {
      all: 'this holder is reassured again: it starts and answers',
      answers: 'neither the state service nor enough controllers are heard: this holder starts nothing',
      nothing: 'neither the state service nor enough controllers are heard: this holder answers no worker',
    };
    this.deps.log[holderMode === 'all' ? 'info' : 'warn']({ silentMs }, text[holderMode]);
    this.loggedMode = holderMode;
  }

  /** Status for operators. */
  get status(): unknown {
    const now = this.deps.runtime.now();
    const waitsMs = [...this.pending.values()].map(({ since }) => now - since);
    const sinceConfirmedMs = Math.max(0, now - this.ownershipConfirmedAt);
    return {
      standing: this.holderMode,
      reassuredSAgo: Number.isFinite(sinceConfirmedMs) ? Math.round(sinceConfirmedMs / 100) / 10 : null,
      answersForS: Number.isFinite(sinceConfirmedMs)
        ? Math.max(0, Math.round((answerGraceMs(this.deps.facts) - sinceConfirmedMs) / 100) / 10)
        : null,
      notYetHeard: this.pending.size,
      oldestS: Math.round(Math.max(0, ...waitsMs) / 100) / 10,
    };
  }
}
