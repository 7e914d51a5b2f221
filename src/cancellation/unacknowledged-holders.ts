import type { Incarnation, NodeName, ShardName } from '../kernel/index.js';

/** The stored holder of a shard, read at or after the revision of the final record that is being propagated. */
export interface StoredShardHolder {
  readonly shard: ShardName;
  /** The node that holds the shard. */
  readonly holder: NodeName;
  readonly incarnation: Incarnation;
  /** True once the holder has released the shard: nobody holds it then. */
  readonly released: boolean;
}

/** What the caller knows about incarnations (process lifetimes) of other nodes. */
export interface IncarnationQueries {
  readonly self: NodeName;
  /**
   * Reports whether the node's program may acknowledge cancellations. An earlier release may come back at any time, so
   * it is only notified and never waited for.
   */
  mayAcknowledge(node: NodeName, incarnation: Incarnation): boolean;
  /** Reports whether this incarnation of the node has itself acknowledged the end of the job. */
  hasAcknowledged(node: NodeName, incarnation: Incarnation): boolean;
  /** Reports whether the state service shows that this incarnation's watch has reached the job's final record. */
  watchHasReached(node: NodeName, incarnation: Incarnation): boolean;
  /**
   * Reports whether the state service shows a later incarnation of the node: the earlier one is over and never answers.
   */
  hasEnded(node: NodeName, incarnation: Incarnation): boolean;
}

/** A holder that may still run tasks of a job without knowing that the job has ended. */
export interface UnacknowledgedHolder {
  readonly shard: ShardName;
  readonly node: NodeName;
}

/**
 * Returns the holders that may still run a job's tasks without knowing that it has ended. Pure function. A released
 * shard has no holder, and this node needs no acknowledgement for its own shards. An expired lease doesn't prove that a
 * holder has stopped: it continues until another node has claimed the shard.
 */
export function unacknowledgedHolders(
  shards: Iterable<StoredShardHolder>,
  queries: IncarnationQueries,
): UnacknowledgedHolder[] {
  const unacknowledged: UnacknowledgedHolder[] = [];
  for (const { shard, holder, incarnation, released } of shards) {
    if (released || holder === queries.self || !queries.mayAcknowledge(holder, incarnation)) continue;
    if (queries.hasAcknowledged(holder, incarnation) || queries.watchHasReached(holder, incarnation)) continue;
    if (queries.hasEnded(holder, incarnation)) continue;
    unacknowledged.push({ shard, node: holder });
  }
  return unacknowledged;
}
