import type { Incarnation, NodeName, ShardName } from '../kernel/index.js';

/** A shard as it stands in what is stored, as of a moment at or after the final that is to be carried. */
export interface HeldBy {
  readonly shard: ShardName;
  readonly holder: NodeName;
  readonly incarnation: Incarnation;
  readonly released: boolean;
}

/** What is known of other lives, by whoever asks. */
export interface Lives {
  readonly self: NodeName;
  /** Does that node's program acknowledge at all? An earlier release may be back at any time: it is only told. */
  acknowledges(node: NodeName, life: Incarnation): boolean;
  /** A life of that node which has itself said that it knows of the end. */
  hasAcknowledged(node: NodeName, life: Incarnation): boolean;
  /** The state service shows that this life's watch has come up to the final. */
  hasSeen(node: NodeName, life: Incarnation): boolean;
  /** The state service shows a later life of that node: the earlier one has ended, and answers nobody. */
  hasEnded(node: NodeName, life: Incarnation): boolean;
}

/** Somebody who may still run tasks of a job without knowing that it is over. */
export interface Missing {
  readonly shard: ShardName;
  readonly node: NodeName;
}

/**
 * Who may still run a job's tasks without knowing of its end. Pure. A shard that is released has no holder, and this
 * node's own shards need no word. That a holder's lease has run out proves nothing: it goes on until another has claimed.
 */
export function missingFor(shards: Iterable<HeldBy>, lives: Lives): Missing[] {
  const missing: Missing[] = [];
  for (const { shard, holder, incarnation, released } of shards) {
    if (released || holder === lives.self || !lives.acknowledges(holder, incarnation)) continue;
    if (lives.hasAcknowledged(holder, incarnation) || lives.hasSeen(holder, incarnation)) continue;
    if (lives.hasEnded(holder, incarnation)) continue;
    missing.push({ shard, node: holder });
  }
  return missing;
}
