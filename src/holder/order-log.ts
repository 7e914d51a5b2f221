import type { Revision, ShardName } from '../kernel/index.js';
import type { Order } from '../workers/index.js';
import type { HolderDeps } from './deps.js';
import type { HeldMachine } from './held-machine.js';

/** The parts of a shard that are logged with its orders. */
export interface OrderAuthority {
  readonly deps: Pick<HolderDeps, 'log' | 'mirror' | 'holderMode'>;
  readonly shard: ShardName;
  readonly claimedAt: Revision;
}

/**
 * Logs orders at `debug`, with the token and session that they are sent under and the authority behind them: the claim,
 * what a holder may do now, and the state revision seen.
 */
export function logOrders(
  { deps, shard, claimedAt }: OrderAuthority,
  machine: HeldMachine,
  orders: readonly Order[],
  message: string,
): void {
  if (orders.length === 0 || !deps.log.isLevelEnabled('debug')) return;
  const named = orders.map(({ op, key, attempt }) => ({ op, key, attempt }));
  const { token, session } = machine.tracker;
  const authority = { claimedAt, standing: deps.holderMode(), seenUpTo: deps.mirror.seenUpTo };
  deps.log.debug({ shard, machine: machine.id, token, session, ...authority, orders: named }, message);
}
