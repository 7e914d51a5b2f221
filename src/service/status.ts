import type { SettingsStore } from '../admin/index.js';
import type { CancellationPropagator } from '../cancellation/index.js';
import type { Incarnation, NodeName } from '../kernel/index.js';
import type { Membership } from '../membership/index.js';
import type { PeerTransport } from '../peers/index.js';
import type { DependencyTracker } from '../pipelines/index.js';
import type { Mirror, StateClient } from '../state/index.js';
import type { ShardOwnership } from './shard-ownership.js';
import type { UserRequestHandler } from './user-requests.js';

/** The parts of a node that its status is read from. */
export interface StatusDeps {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  readonly membership: Membership;
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly settingsStore: SettingsStore;
  readonly dependencyTracker: DependencyTracker;
  readonly cancellationPropagator: CancellationPropagator;
  readonly ownership: ShardOwnership;
  readonly peers: PeerTransport;
  readonly userRequests: UserRequestHandler;
}

/** The status of a node as shown by `admin status`. */
export function nodeStatus({ node, incarnation, membership, state, settingsStore, ...deps }: StatusDeps): unknown {
  const { mirror, dependencyTracker, cancellationPropagator, ownership, peers, userRequests } = deps;
  return {
    ...{
      node,
      incarnation,
      leader: membership.leader,
      leading: membership.leaderTerm,
      stateAvailable: state.available,
    },
    ...{ watch: mirror.lag, held: ownership.held },
    settingsRevision: settingsStore.revision,
    stateLimits: { fallen: state.limits.lowerLimitsInForce, writeRps: state.limits.writeRps },
    pipelines: dependencyTracker.counts,
    ...{ cancellations: cancellationPropagator.status, heldBack: ownership.heldBack, peers: peers.traffic },
    forwarding: { ...peers.forwarding, answersAboutOtherJobs: userRequests.answersAboutOtherJobs },
    shards: [...ownership.holders.values()].map((holder) => holder.summary()),
  };
}
