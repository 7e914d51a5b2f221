import { millis, withDrift, type Millis } from '../kernel/index.js';

/** What the mirror of a peer that has the state service may lag behind, and what else lies between word and deed. */
const MARGIN_MS = 5000;
/** Between the last start and the last answer: a command that is on its way is executed, or void with its session. */
const STARTS_END_EARLIER_MS = 4000;

export interface BoundFacts {
  /** Within so long after its user was told, nothing of a cancelled job may be on a machine. */
  readonly cancelMs: number;
  /** So long after its last answered report a worker has killed its tasks. */
  readonly leaseMs: number;
  /** How long a node's key in the state service outlives its last renewal: nobody can claim its shards sooner. */
  readonly nodeLeaseMs: number;
}

/**
 * How long a holder that knows nothing any more may go on. Users are told of a cancellation only when the holder knows
 * of it, or when another has claimed its shard: so what a holder can't know of begins, at the earliest, when its lease
 * can have run out. From there a cancellation has `cancelMs`, of which the workers' leases need the last `leaseMs`.
 */
export function answersForMs({ cancelMs, leaseMs, nodeLeaseMs }: BoundFacts): number {
  const least = nodeLeaseMs + withDrift(leaseMs) / 2;
  return Math.max(least, nodeLeaseMs / 1.002 + cancelMs - withDrift(leaseMs) - MARGIN_MS);
}

export const startsForMs = (facts: BoundFacts): number => answersForMs(facts) - STARTS_END_EARLIER_MS;

/** How long a machine is answered that still lists tasks of a job which its holder knows to be over. */
export const leftoverForMs = ({ cancelMs, leaseMs }: BoundFacts): number =>
  Math.max(2000, (cancelMs - withDrift(leaseMs) - MARGIN_MS) / 2);

/**
 * Until when it is certain, or as good as, that nobody else holds this node's shards: its own lease was renewed, or a
 * majority of all controllers, this one counted, say that they know of no other holder. A majority without the state
 * service is an outage for all, for it refuses one node alone. Pure; `said` holds for each other controller the latest
 * moment, on this node's clock, at which it said so, or null. A lease that was renewed lasts for `nodeLeaseMs` from then
 * on, a word of others doesn't.
 */
export function reassuredAt(renewedAt: Millis, said: readonly (Millis | null)[], nodeLeaseMs: number): Millis {
  const needed = Math.floor((said.length + 1) / 2);
  if (needed === 0) return millis(Number.POSITIVE_INFINITY);
  const moments = said.filter((at) => at !== null).sort((a, b) => b - a);
  const [agreed] = moments.slice(needed - 1);
  return agreed === undefined ? renewedAt : millis(Math.max(renewedAt, agreed - nodeLeaseMs));
}

export type Standing = 'all' | 'answers' | 'nothing';

/** What a holder still does that was last reassured at some moment. */
export function standingOf(now: Millis, reassured: Millis, facts: BoundFacts): Standing {
  if (now - reassured > answersForMs(facts)) return 'nothing';
  return now - reassured > startsForMs(facts) ? 'answers' : 'all';
}
