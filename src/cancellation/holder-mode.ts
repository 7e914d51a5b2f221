import { millis, withClockDriftMargin, type Millis } from '../kernel/index.js';

/** Covers the watch lag of a peer that can reach the state service, and the delay between a decision and its effect. */
const PROPAGATION_MARGIN_MS = 5000;
/**
 * Task starts stop this long before answers to workers do: by then a start command in flight has been executed, or is
 * void because its session has ended.
 */
const START_CUTOFF_LEAD_MS = 4000;

/** Durations that limit how long a holder may continue after it has lost contact. */
export interface HolderTimings {
  /** A cancelled job must be off all machines within this time after its user was told of the cancellation. */
  readonly cancelMs: number;
  /** A worker kills its tasks this long after its last answered report. */
  readonly leaseMs: number;
  /**
   * How long a node's key in the state service outlives its last renewal: nobody can claim the node's shards sooner.
   */
  readonly nodeLeaseMs: number;
}

/**
 * Returns how long a holder keeps answering workers after the last confirmation that it still owns its shards. A user
 * is told of a cancellation only after the holder knows of it or another node has claimed the shard. A cancellation
 * that the holder can't know of is therefore reported, at the earliest, when the holder's node lease may have expired.
 * From then on it has to take effect within `cancelMs`, and the workers' leases need the last `leaseMs` of that time.
 * The factor 1.002 allows for clock drift.
 */
export function answerGraceMs({ cancelMs, leaseMs, nodeLeaseMs }: HolderTimings): number {
  const minimumMs = nodeLeaseMs + withClockDriftMargin(leaseMs) / 2;
  return Math.max(minimumMs, nodeLeaseMs / 1.002 + cancelMs - withClockDriftMargin(leaseMs) - PROPAGATION_MARGIN_MS);
}

/** Returns how long a holder keeps starting tasks after the last confirmation that it still owns its shards. */
export const startGraceMs = (timings: HolderTimings): number => answerGraceMs(timings) - START_CUTOFF_LEAD_MS;

/** Returns how long a machine is still answered while it lists tasks of a job that its holder knows to have ended. */
export const leftoverAnswerMs = ({ cancelMs, leaseMs }: HolderTimings): number =>
  Math.max(2000, (cancelMs - withClockDriftMargin(leaseMs) - PROPAGATION_MARGIN_MS) / 2);

/**
 * Returns the latest time at which this node's ownership of its shards was confirmed. Either its own lease was renewed,
 * or a majority of all controllers, this one included, report no other holder. The second case is nearly as certain as
 * the first: the state service may refuse a single node, but if a majority can't reach it, it is down for all, so that
 * nobody can claim the shards. Pure function. `confirmations` holds, for each other controller, the latest time on this
 * node's clock at which it reported no other holder, or null. A renewed lease stays valid for `nodeLeaseMs` after the
 * renewal; a confirmation by other controllers doesn't, so `nodeLeaseMs` is subtracted from its time.
 */
export function ownershipConfirmedAt(
  renewedAt: Millis,
  confirmations: readonly (Millis | null)[],
  nodeLeaseMs: number,
): Millis {
  const needed = Math.floor((confirmations.length + 1) / 2);
  if (needed === 0) return millis(Number.POSITIVE_INFINITY);
  const newestFirst = confirmations.filter((at) => at !== null).sort((a, b) => b - a);
  const [majorityConfirmedAt] = newestFirst.slice(needed - 1);
  return majorityConfirmedAt === undefined ? renewedAt : millis(Math.max(renewedAt, majorityConfirmedAt - nodeLeaseMs));
}

/**
 * What a holder still does: `all` means that it starts tasks and answers workers, `answers` that it only answers
 * workers, and `nothing` that it does neither.
 */
export type HolderMode = 'all' | 'answers' | 'nothing';

/** Returns what a holder whose ownership was last confirmed at `confirmedAt` still does at `now`. */
export function holderModeAt(now: Millis, confirmedAt: Millis, timings: HolderTimings): HolderMode {
  if (now - confirmedAt > answerGraceMs(timings)) return 'nothing';
  return now - confirmedAt > startGraceMs(timings) ? 'answers' : 'all';
}
