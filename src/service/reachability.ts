import type { Logger, Runtime, ShardName } from '../kernel/index.js';
import type { KnownShard } from '../membership/index.js';
import { probeWorkers, PROBES_PER_ROUND, type WorkerReachability } from '../workers/index.js';

/** Delay before the next probe while this node is cut off from the workers. */
const REPROBE_DELAY_MS = 800;

/** Returns addresses of random machines from the blocks that are held here, or from all blocks if none is held. */
export function sampleAddresses(
  blocks: ReadonlyMap<ShardName, KnownShard>,
  held: ReadonlyMap<ShardName, unknown>,
  runtime: Runtime,
): string[] {
  const pool = [...blocks].flatMap(([shard, { value }]) => (held.size === 0 || held.has(shard) ? value.machines : []));
  const sampled = new Set<string>();
  for (let i = 0; i < PROBES_PER_ROUND && pool.length > 0; i++)
    sampled.add(pool[Math.floor(runtime.random() * pool.length)]?.address ?? '');
  sampled.delete('');
  return [...sampled];
}

/** What `checkReachability` needs from the rest of the node. */
export interface ReachabilityDeps {
  readonly reachability: WorkerReachability;
  /** The blocks of all shards. */
  blocks(): ReadonlyMap<ShardName, KnownShard>;
  /** The shards that are held here, with their machines. */
  held(): ReadonlyMap<ShardName, { readonly machines: ReadonlyMap<unknown, unknown> }>;
  /** Interval between the reports of a worker. */
  readonly reportMs: number;
  readonly runtime: Runtime;
  readonly log: Logger;
  /** Called when the verdict has changed, so that the peers learn of it. */
  onVerdictChanged(): void;
}

/**
 * One round: probes some workers if too few reports arrive, and updates the verdict on whether this node reaches them.
 */
export async function checkReachability(deps: ReachabilityDeps): Promise<void> {
  const { reachability, runtime, log, reportMs } = deps;
  const held = deps.held();
  let machines = 0;
  for (const shard of held.values()) machines += shard.machines.size;
  if (reachability.check(runtime.now(), machines, reportMs) === 'nothing') return;
  const addresses = sampleAddresses(deps.blocks(), held, runtime);
  const answered = await probeWorkers(addresses, runtime);
  if (reachability.recordProbes(addresses.length, answered)) {
    log.info(
      { reachable: reachability.ok, asked: addresses.length, answered },
      reachability.ok ? 'this node reaches the workers again' : 'this node cannot reach the workers',
    );
    deps.onVerdictChanged();
  }
  if (!reachability.ok) await runtime.sleep(REPROBE_DELAY_MS);
}
