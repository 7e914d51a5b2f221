import type { Runtime, ShardName } from '../kernel/index.js';
import type { KnownShard } from '../membership/index.js';
import { PROBES } from '../workers/index.js';

/** Addresses of some machines of the blocks that are held here; of all blocks, when none is. */
export function someAddresses(
  blocks: ReadonlyMap<ShardName, KnownShard>,
  held: ReadonlyMap<ShardName, unknown>,
  runtime: Runtime,
): string[] {
  const known = [...blocks].flatMap(([shard, { value }]) => (held.size === 0 || held.has(shard) ? value.machines : []));
  const chosen = new Set<string>();
  for (let i = 0; i < PROBES && known.length > 0; i++)
    chosen.add(known[Math.floor(runtime.random() * known.length)]?.address ?? '');
  chosen.delete('');
  return [...chosen];
}
