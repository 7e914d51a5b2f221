import type { Carrier } from '../carry/index.js';
import type { JobRegistry } from '../jobs/index.js';
import type { PeerLink, Received } from '../peers/index.js';
import type { QuotaShares } from '../quota/index.js';
import type { StateClient } from '../state/index.js';
import { demandOf } from './quota.js';
import type { ShardRoutes } from './routes.js';
import type { ShardOwnership } from './ownership.js';
import type { UserDesk } from './users.js';

export interface PeerHandlerDeps {
  readonly state: StateClient;
  readonly peers: PeerLink;
  readonly routes: ShardRoutes;
  readonly registry: JobRegistry;
  readonly ownership: ShardOwnership;
  readonly carrier: Carrier;
  readonly desk: UserDesk;
  readonly quotas: QuotaShares;
  /** Shares of teams' limits are looked at soon. */
  nudgeQuotas(): void;
}

/** Hands what a peer says to the part of this node that it is for. */
export function handlePeer(deps: PeerHandlerDeps, { from, message }: Received): void {
  const { state, peers, routes, registry, ownership, carrier, desk, quotas } = deps;
  switch (message.kind) {
    case 'hello':
      if (message.limitsFallen) state.fallen();
      break;
    case 'summary':
      routes.note(message.summary);
      break;
    case 'cancelled':
      registry.heardOver(message.job);
      for (const holder of ownership.holders.values()) holder.onOver(message.job);
      break;
    case 'withdrawn':
    case 'heard':
    case 'word':
      carrier.onPeer(from, message);
      break;
    case 'transfer':
      for (const holder of ownership.holders.values()) holder.transfer(message.machine, message.to);
      break;
    case 'quota':
      quotas.hear(demandOf(message));
      deps.nudgeQuotas();
      break;
    case 'ask':
      void desk.onAsk(message.op, message.body).then((answer) => {
        peers.send(from, { kind: 'answer', id: message.id, ...answer });
      });
      break;
    case 'standdown':
      ownership.standDown(from, message.shard, message.version);
      break;
    case 'stooddown': {
      const holder = ownership.holders.get(message.shard);
      if (holder?.claimedAt === message.version) holder.proven(from);
      break;
    }
    case 'welcome':
    case 'answer':
      break;
  }
}
