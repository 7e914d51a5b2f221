import type { JobFinal } from '../jobs/index.js';
import {
  incarnation as life,
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
import type { PeerLink, PeerMessage, Word } from '../peers/index.js';
import { CARRIED_CANCELLATIONS, decodeAnnouncement } from '../rollout/index.js';
import { jobKey, nodeKey, seenKey, Urgency, type Mirror, type StateClient } from '../state/index.js';
import { answersForMs, reassuredAt, standingOf, type BoundFacts, type Standing } from './bound.js';
import { missingFor, type HeldBy, type Lives, type Missing } from './missing.js';

/** So long a user's answer waits for the holders; then it is to come back, and the word goes on meanwhile. */
const ANSWER_WITHIN_MS = 700;
const WORD_EVERY_MS = 1000;
/** Whoever hasn't echoed anything of ours for so long may not hear us. */
const HEARS_US_MS = 2500;
const SEEN_EVERY_MS = 1000;
const MAX_OPEN = 4000;
const AT_ONCE = 200;
const MAX_CARRIED = 20_000;
const NEVER = millis(Number.NEGATIVE_INFINITY);

export interface CarrierDeps {
  readonly self: NodeName;
  readonly incarnation: Incarnation;
  readonly others: readonly NodeName[];
  readonly facts: BoundFacts;
  readonly runtime: Pick<Runtime, 'now' | 'after'>;
  readonly log: Pick<Logger, 'info' | 'warn'>;
  readonly state: Pick<StateClient, 'txn'>;
  readonly mirror: Pick<Mirror, 'get' | 'apply' | 'reach' | 'seenUpTo' | 'loaded' | 'changes'>;
  readonly directory: Pick<ShardDirectory, 'all'>;
  readonly peers: Pick<PeerLink, 'send' | 'statusOf'>;
  /** Do all controllers take part? */
  on(): boolean;
  /** When this node's lease was last renewed while nobody could have claimed its shards. */
  renewedAt(): Millis;
  /** The shards that this node holds, and at which revision each was claimed. */
  held(): Iterable<readonly [ShardName, Revision]>;
  /** Another has claimed a shard in this version. */
  ousted(shard: ShardName, version: number): void;
  /** A job is known to be over, by its final. */
  over(id: JobId, final: JobFinal, version: Revision): void;
}

/** A final that holders are yet to be told of. */
interface Open {
  readonly final: JobFinal;
  readonly version: Revision;
  readonly since: Millis;
  readonly acks: Set<Incarnation>;
  readonly waiters: Set<(carried: boolean) => void>;
}

interface Heard {
  readonly incarnation: Incarnation;
  readonly stamp: number;
}

/**
 * Stored, then carried, then said: a cancellation is told to a user only once every holder knows of it, so that whatever
 * fails from then on, the state service included, the tasks end in time. And a holder that nobody reassures any more, so
 * that another may have its shards, falls silent in time. The argument: docs/cancel-design.md.
 */
export class Carrier {
  private readonly open = new Map<JobId, Open>();
  private readonly carriedOnes = new Set<JobId>();
  private readonly stamps = new Map<NodeName, Heard>();
  /** On this node's clock: when another said at the earliest that it knows of no other holder of our shards. */
  private readonly agreed = new Map<NodeName, Millis>();
  /** On this node's clock: the latest of our words that another has had. */
  private readonly echoed = new Map<NodeName, Millis>();
  private agreement = NEVER;
  private wordsAt = NEVER;
  private seenAt = NEVER;
  private lastEnd = 0;
  private stood: Standing = 'all';

  constructor(private readonly deps: CarrierDeps) {
    deps.mirror.changes.subscribe(({ key, removed, version }) => {
      if (removed && key.startsWith(jobKey('' as JobId))) this.lastEnd = Math.max(this.lastEnd, version);
    });
  }

  // ---- who tells

  /** May a user be told that the job is cancelled? Waits a moment for the holders' word. */
  async carried(job: JobId, final: JobFinal, version: Revision): Promise<boolean> {
    if (this.carriedOnes.has(job)) return true;
    const { deps } = this;
    let open = this.open.get(job);
    if (!open) {
      deps.mirror.apply({ key: jobKey(job), value: undefined, removed: true, version });
      open = { final, version, since: deps.runtime.now(), acks: new Set(), waiters: new Set() };
      this.keep(job, open);
      this.tell(job, open, deps.others);
    }
    if (!deps.on()) {
      // As it was before: those who hear it act on it at once, and nobody waits.
      this.settle(job, open, true);
      return true;
    }
    void deps.mirror.reach(version, ANSWER_WITHIN_MS).then(() => this.check(job));
    return new Promise((resolve) => {
      const waiter = (carried: boolean): void => {
        timer.cancel();
        open.waiters.delete(waiter);
        resolve(carried);
      };
      const timer = deps.runtime.after(ANSWER_WITHIN_MS, () => waiter(false));
      open.waiters.add(waiter);
      this.check(job);
    });
  }

  private keep(job: JobId, open: Open): void {
    const [oldest] = this.open;
    if (this.open.size >= MAX_OPEN && oldest) this.settle(...oldest, false);
    this.open.set(job, open);
  }

  private settle(job: JobId, open: Open, carried: boolean): void {
    this.open.delete(job);
    if (carried) {
      const [oldest] = this.carriedOnes;
      if (this.carriedOnes.size >= MAX_CARRIED && oldest !== undefined) this.carriedOnes.delete(oldest);
      this.carriedOnes.add(job);
    }
    for (const waiter of [...open.waiters]) waiter(carried);
  }

  /** Who may still run tasks of it unknowingly, as of a moment after it was stored; nobody: it is carried. */
  private check(job: JobId): readonly Missing[] {
    const open = this.open.get(job);
    if (!open || this.deps.mirror.seenUpTo < open.version) return [];
    const missing = missingFor(this.shards(), this.lives(open));
    if (missing.length === 0) this.settle(job, open, true);
    return missing;
  }

  private *shards(): Iterable<HeldBy> {
    for (const [shard, { value }] of this.deps.directory.all) {
      const { holder, incarnation, released } = value;
      yield { shard, holder, incarnation, released };
    }
  }

  private lives({ acks, version }: Pick<Open, 'acks' | 'version'>): Lives {
    const { self, mirror } = this.deps;
    return {
      self,
      acknowledges: (node, of) => this.acknowledges(node, of),
      hasAcknowledged: (_node, of) => acks.has(of),
      hasSeen: (node, of) => {
        const value = mirror.get(seenKey(node))?.value;
        return isObject(value) && value['incarnation'] === of && Number(value['upTo']) >= version;
      },
      hasEnded: (node, of) => {
        const known = decodeAnnouncement(mirror.get(nodeKey(node))?.value);
        return known !== null && known.incarnation !== of;
      },
    };
  }

  /** Unknown counts as yes: its shard is claimed in time, or it speaks again. */
  private acknowledges(node: NodeName, of: Incarnation): boolean {
    const known = decodeAnnouncement(this.deps.mirror.get(nodeKey(node))?.value);
    if (known?.incarnation === of) return known.features.includes(CARRIED_CANCELLATIONS);
    const said = this.deps.peers.statusOf(node, Number.POSITIVE_INFINITY);
    return said?.incarnation !== of || said.features.includes(CARRIED_CANCELLATIONS);
  }

  private tell(job: JobId, { final, version }: Open, nodes: Iterable<NodeName>): void {
    const { done, at } = final;
    const { peers } = this.deps;
    for (const node of nodes) {
      if (this.takesPart(node)) peers.send(node, { kind: 'withdrawn', job, done, at, version });
      else peers.send(node, { kind: 'cancelled', job });
    }
  }

  private takesPart(node: NodeName): boolean {
    return this.deps.peers.statusOf(node)?.features.includes(CARRIED_CANCELLATIONS) === true;
  }

  // ---- who is told

  /** One of the frames of this slice. */
  onPeer(from: NodeName, message: PeerMessage): void {
    switch (message.kind) {
      case 'withdrawn': {
        const { job, done, at, version } = message;
        this.deps.over(job, { phase: 'cancelled', done, at }, version);
        // From here on nothing of it starts here, and what runs of it is being stopped.
        this.deps.mirror.apply({ key: jobKey(job), value: undefined, removed: true, version });
        this.deps.peers.send(from, { kind: 'heard', job, incarnation: this.deps.incarnation });
        break;
      }
      case 'heard':
        this.open.get(message.job)?.acks.add(message.incarnation);
        this.check(message.job);
        break;
      case 'word':
        this.onWord(from, message);
        break;
      default:
        break;
    }
  }

  private onWord(from: NodeName, { incarnation, stamp, echo, echoOf, shards }: Word): void {
    const before = this.stamps.get(from);
    if (before?.incarnation !== incarnation || before.stamp < stamp) this.stamps.set(from, { incarnation, stamp });
    const { self, incarnation: own } = this.deps;
    if (echo < 0 || echoOf !== own) return;
    // It was said after it had our word, which left here at `echo`: however late it comes, it is no newer than that.
    const at = millis(Math.min(echo, this.deps.runtime.now()));
    if (at > (this.echoed.get(from) ?? NEVER)) this.echoed.set(from, at);
    let agrees = true;
    for (const [shard, claimedAt] of [...this.deps.held()]) {
      const seen = shards.find((other) => other.shard === shard);
      const ours = seen?.holder === self && seen.incarnation === own;
      if (!ours) agrees = false;
      if (seen && !ours && seen.version > claimedAt) this.deps.ousted(shard, seen.version);
    }
    if (agrees) this.agree(from, at);
  }

  private agree(node: NodeName, at: Millis): void {
    if (at <= (this.agreed.get(node) ?? NEVER)) return;
    this.agreed.set(node, at);
    const said = this.deps.others.map((other) => this.agreed.get(other) ?? null);
    this.agreement = reassuredAt(NEVER, said, this.deps.facts.nodeLeaseMs);
  }

  // ---- how long a holder goes on that knows nothing

  /** What this node may still do as a holder. */
  get standing(): Standing {
    const { deps } = this;
    if (deps.others.length === 0 || !deps.on()) return 'all';
    return standingOf(deps.runtime.now(), this.reassured, deps.facts);
  }

  private get reassured(): Millis {
    return millis(Math.max(this.deps.renewedAt(), this.agreement));
  }

  // ---- again and again

  /** One round. */
  async round(): Promise<void> {
    const { deps } = this;
    const now = deps.runtime.now();
    this.note(now);
    // A few at a time, those that were looked at longest ago: what is owed grows with an outage.
    for (const [job, open] of [...this.open].slice(0, AT_ONCE)) {
      const missing = this.check(job);
      if (!this.open.delete(job)) continue;
      this.open.set(job, open);
      // Once more, to those who haven't answered: a frame, a connection or a life may have been lost.
      this.tell(job, open, new Set(missing.map(({ node }) => node)));
    }
    if (now - this.wordsAt >= WORD_EVERY_MS) {
      this.wordsAt = now;
      this.sendWords(now);
    }
    await this.writeSeen(now);
  }

  private sendWords(now: Millis): void {
    const { deps } = this;
    const shards = [...deps.directory.all].map(([shard, { value, version }]) => {
      const { holder, incarnation, released } = value;
      return { shard, version, holder, incarnation: released ? life('') : incarnation };
    });
    for (const node of deps.others) {
      if (!this.takesPart(node)) {
        // An earlier release says nothing of shards: that it is heard has to do.
        const heard = deps.peers.statusOf(node);
        if (heard) this.agree(node, heard.heardAt);
        continue;
      }
      const { stamp = -1, incarnation = life('') } = this.stamps.get(node) ?? {};
      const said = { incarnation: deps.incarnation, stamp: now, echo: stamp, echoOf: incarnation, shards };
      deps.peers.send(node, { kind: 'word', ...said });
    }
  }

  /** Where a peer may not hear us, the state service tells it up to where we have seen the ends of jobs. */
  private async writeSeen(now: Millis): Promise<void> {
    const { deps } = this;
    const key = seenKey(deps.self);
    if (!deps.on() || now - this.seenAt < SEEN_EVERY_MS || !deps.mirror.loaded) return;
    const deaf = deps.others.some(
      (node) => deps.mirror.get(nodeKey(node)) && now - (this.echoed.get(node) ?? NEVER) > HEARS_US_MS,
    );
    if (!deaf) return;
    const stored = deps.mirror.get(key);
    const said = isObject(stored?.value) && stored.value['incarnation'] === deps.incarnation ? stored.value : {};
    if (Number(said['upTo'] ?? 0) >= this.lastEnd) return;
    this.seenAt = now;
    const value = { incarnation: deps.incarnation, upTo: deps.mirror.seenUpTo };
    const guards = [{ key, version: stored?.version ?? 0 }];
    const result = await deps.state.txn(Urgency.final, guards, [{ put: key, value }]);
    if (result.kind === 'ok') deps.mirror.apply({ key, value, removed: false, version: result.revision });
  }

  private note(now: Millis): void {
    const { standing } = this;
    if (standing === this.stood) return;
    const silentMs = Math.round(now - this.reassured);
    const text = {
      all: 'this holder is reassured again: it starts and answers',
      answers: 'neither the state service nor enough controllers are heard: this holder starts nothing',
      nothing: 'neither the state service nor enough controllers are heard: this holder answers no worker',
    };
    this.deps.log[standing === 'all' ? 'info' : 'warn']({ silentMs }, text[standing]);
    this.stood = standing;
  }

  /** For operators. */
  get status(): unknown {
    const now = this.deps.runtime.now();
    const waits = [...this.open.values()].map(({ since }) => now - since);
    const reassured = Math.max(0, now - this.reassured);
    return {
      standing: this.standing,
      reassuredSAgo: Number.isFinite(reassured) ? Math.round(reassured / 100) / 10 : null,
      answersForS: Number.isFinite(reassured)
        ? Math.max(0, Math.round((answersForMs(this.deps.facts) - reassured) / 100) / 10)
        : null,
      notYetHeard: this.open.size,
      oldestS: Math.round(Math.max(0, ...waits) / 100) / 10,
    };
  }
}
