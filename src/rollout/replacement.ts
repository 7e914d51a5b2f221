import type { Millis, NodeName, ShardName } from '../kernel/index.js';
import type { RolloutNode, NodeObservations } from './decide.js';

/** Minimum time between the last change among the controllers and the replacement of the next one. */
export const MIN_STABLE_BEFORE_REPLACEMENT_MS = 5000;

/** A shard as its stored record describes it. */
export interface RolloutShard {
  readonly shard: ShardName;
  /** The controller that holds the shard; null when no controller does. */
  readonly holder: NodeName | null;
  /** True when this program cannot read the shard's record. */
  readonly unreadable: boolean;
}

/** What a controller knows when it is asked whether the next controller may be replaced. */
export interface ReplacementSnapshot {
  /** Monotonic time. */
  readonly now: Millis;
  readonly nodes: readonly RolloutNode[];
  readonly shards: readonly RolloutShard[];
  /** Controllers that are giving up their shards before they stop. */
  readonly leaving: readonly NodeName[];
  readonly observations: NodeObservations;
}

/**
 * Returns why the next controller should not be replaced now, or null when it may be. Pure. No safety rule depends on
 * the answer, since a controller may stop at any time. It indicates the cost of a rolling restart: while one controller
 * is away, the loss of a second one leaves less capacity to the remaining ones.
 */
export function replacementBlocker({ now, nodes, shards, leaving, observations }: ReplacementSnapshot): string | null {
  const unregistered = nodes.filter(({ announced }) => announced === null).map(({ node }) => node);
  if (unregistered.length > 0) return `not registered: ${unregistered.join(', ')}`;
  if (leaving.length > 0) return `leaving: ${leaving.join(', ')}`;
  const unreadableShards = shards.filter(({ unreadable }) => unreadable).map(({ shard }) => shard);
  if (unreadableShards.length > 0) return `shard records written by another release: ${unreadableShards.join(', ')}`;
  const vacant = shards.filter(({ holder }) => holder === null).map(({ shard }) => shard);
  if (vacant.length > 0) return `shards without a holder: ${vacant.join(', ')}`;
  // A shard has the name of the controller that holds it by default.
  const displaced = shards.find(({ shard, holder }) => (shard as string) !== (holder as string));
  if (displaced) return `shard ${displaced.shard} is still held by ${displaced.holder ?? 'no controller'}`;
  if (observations.stableSince === null || now - observations.stableSince < MIN_STABLE_BEFORE_REPLACEMENT_MS)
    return 'the set of controllers changed too recently';
  return null;
}
