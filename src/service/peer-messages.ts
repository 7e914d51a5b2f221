import type { CancellationPropagator } from '../cancellation/index.js';
import type { JobRegistry } from '../jobs/index.js';
import type { PeerTransport, ReceivedMessage } from '../peers/index.js';
import type { QuotaShares } from '../quota/index.js';
import type { StateClient } from '../state/index.js';
import { decodeNeeds } from './quota-shares.js';
import type { ShardRouter } from './shard-router.js';
import type { ShardOwnership } from './shard-ownership.js';
import type { UserRequestHandler } from './user-requests.js';

/** The parts of this node that handle messages of peers. */
export interface PeerMessageDeps {
  readonly state: StateClient;
  readonly peers: PeerTransport;
  readonly router: ShardRouter;
  readonly registry: JobRegistry;
  readonly ownership: ShardOwnership;
  readonly cancellationPropagator: CancellationPropagator;
  readonly userRequests: UserRequestHandler;
  readonly quotas: QuotaShares;
  /** Requests a reconcile round of the shares of team limits. */
  requestQuotaRound(): void;
}

/** Dispatches a message of a peer to the part of this node that handles it. */
export function handlePeerMessage(deps: PeerMessageDeps, { from, incarnation, message }: ReceivedMessage): void {
  const { state, peers, router, registry, ownership, cancellationPropagator, userRequests, quotas } = deps;
  switch (message.kind) {
    case 'hello':
      if (message.limitsFallen) state.applyLowerLimits();
      break;
    case 'summary':
      router.recordSummary(message.summary);
      break;
    case 'cancelled':
      registry.recordReportedCancellation(message.job);
      for (const holder of ownership.holders.values()) holder.onJobEnded(message.job);
      break;
    case 'withdrawn':
    case 'heard':
    case 'word':
      cancellationPropagator.onPeerMessage(from, message);
      break;
    case 'transfer':
      for (const holder of ownership.holders.values()) holder.transfer(message.machine, message.to);
      break;
    case 'quota':
      quotas.recordNeeds(decodeNeeds(message));
      deps.requestQuotaRound();
      break;
    case 'ask':
      void userRequests
        .onAsk(message.op, message.body)
        .then((answer) => peers.answerRequest(from, incarnation, message.id, answer));
      break;
    case 'standdown':
      ownership.onStandDown(from, message.shard, message.version);
      break;
    case 'stooddown': {
      const holder = ownership.holders.get(message.shard);
      if (holder?.claimedAt === message.version) holder.confirmStopped(from);
      break;
    }
    case 'welcome':
    case 'answer':
      break;
  }
}
