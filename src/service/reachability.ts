import type { Logger, Runtime, ShardName } from '../kernel/index.js';
import type { KnownShard } from '../membership/index.js';
import { probeWorkers, PROBES, type WorkerReachability } from '../workers/index.js';

/** While this node is cut off from the workers, it probes again after so long. */
const PROBE_AGAIN_MS = 800;

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

export interface ReachabilityDeps {
  readonly reachability: WorkerReachability;
  /** Every shard's block, and the shards that are held here with their machines. */
  blocks(): ReadonlyMap<ShardName, KnownShard>;
  held(): ReadonlyMap<ShardName, { readonly machines: ReadonlyMap<unknown, unknown> }>;
  readonly reportMs: number;
  readonly runtime: Runtime;
  readonly log: Logger;
  /** The verdict has changed: the peers are told. */
  changed(): void;
}

/** One round: when too little is heard of the workers, some are probed, and the verdict is kept. */
export async function checkReachability(deps: ReachabilityDeps): Promise<void> {
  const { reachability, runtime, log, reportMs } = deps;
  const held = deps.held();
  let machines = 0;
  for (const shard of held.values()) machines += shard.machines.size;
  if (reachability.look(runtime.now(), machines, reportMs) === 'nothing') return;
  const addresses = someAddresses(deps.blocks(), held, runtime);
  const answered = await probeWorkers(addresses, runtime);
  if (reachability.probed(addresses.length, answered)) {
    log.info(
      { reachable: reachability.ok, asked: addresses.length, answered },
      reachability.ok ? 'this node reaches the workers again' : 'this node is cut off from the workers',
    );
    deps.changed();
  }
  if (!reachability.ok) await runtime.sleep(PROBE_AGAIN_MS);
}
