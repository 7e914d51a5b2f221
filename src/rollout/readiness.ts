import type { Millis, NodeName, ShardName } from '../kernel/index.js';
import type { RolloutNode, Watchfulness } from './decide.js';

/** After the last change among the controllers, the next one is replaced this much later at the earliest. */
export const SETTLED_FOR_MS = 5000;

/** A shard as everybody sees it. */
export interface RolloutShard {
  readonly shard: ShardName;
  /** null: nobody holds it. */
  readonly holder: NodeName | null;
  /** Its record can't be read here. */
  readonly unreadable: boolean;
}

export interface Readiness {
  readonly now: Millis;
  readonly nodes: readonly RolloutNode[];
  readonly shards: readonly RolloutShard[];
  readonly leaving: readonly NodeName[];
  readonly watched: Watchfulness;
}

/**
 * May the next controller be replaced now? Pure. null: yes; otherwise why not. No rule depends on it: a controller
 * may end at any time. It tells what a roll costs: with one controller away a second end leaves the rest less room.
 */
export function whyNotNext({ now, nodes, shards, leaving, watched }: Readiness): string | null {
  const absent = nodes.filter(({ announced }) => announced === null).map(({ node }) => node);
  if (absent.length > 0) return `not there: ${absent.join(', ')}`;
  if (leaving.length > 0) return `leaving: ${leaving.join(', ')}`;
  const closed = shards.filter(({ unreadable }) => unreadable).map(({ shard }) => shard);
  if (closed.length > 0) return `records of another release: ${closed.join(', ')}`;
  const vacant = shards.filter(({ holder }) => holder === null).map(({ shard }) => shard);
  if (vacant.length > 0) return `held by nobody: ${vacant.join(', ')}`;
  const away = shards.find(({ shard, holder }) => (shard as string) !== (holder as string));
  if (away) return `${away.shard} is still held by ${away.holder ?? 'nobody'}`;
  if (watched.wellSince === null || now - watched.wellSince < SETTLED_FOR_MS) return 'a controller has just come';
  return null;
}
