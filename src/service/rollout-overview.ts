import type { RolloutControl } from '../admin/index.js';
import type { Clock, NodeName, ShardName } from '../kernel/index.js';
import type { ShardDirectory } from '../membership/index.js';
import type { PeerTransport } from '../peers/index.js';
import {
  FEATURES,
  RELEASE_NUMBER,
  replacementBlocker,
  type RolloutReconciler,
  type RolloutShard,
  type FeatureGates,
} from '../rollout/index.js';
import type { ShardOwnership } from './shard-ownership.js';

/** What the rollout overview needs from the rest of the node. */
export interface RolloutOverviewDeps {
  readonly self: NodeName;
  readonly clock: Clock;
  readonly directory: ShardDirectory;
  readonly peers: PeerTransport;
  readonly rollout: RolloutReconciler;
  readonly featureGates: FeatureGates;
  readonly ownership: ShardOwnership;
  /** All shards. */
  shards(): readonly ShardName[];
}

/** Holder and readability of every shard, as the rollout rules need them. */
const rolloutShards = ({ shards, directory }: RolloutOverviewDeps): RolloutShard[] =>
  shards().map((shard) => {
    const known = directory.all.get(shard)?.value;
    const holder = known && !known.released ? known.holder : null;
    return { shard, holder, unreadable: directory.unreadable.has(shard) };
  });

/**
 * The rollout overview for operators: the release of each node, the state of each feature and what it waits for, and
 * whether the next node may be replaced.
 */
export function rolloutOverview(deps: RolloutOverviewDeps): unknown {
  const { self, peers, rollout, featureGates, ownership } = deps;
  const peerViews = new Map(peers.recentPeers().map((view) => [view.node, view]));
  const shards = rolloutShards(deps);
  const leaving = [...peerViews.values()].filter((view) => view.leaving).map(({ node }) => node);
  if (ownership.leaving) leaving.push(self);
  const { nodes, observations, now } = rollout;
  const why = replacementBlocker({ now, nodes, shards, leaving, observations });
  return {
    release: RELEASE_NUMBER,
    nodes: nodes.map(({ node, announced }) => ({
      node,
      registered: announced !== null,
      heard: node === self || peerViews.has(node),
      release: announced?.release ?? null,
      features: announced?.features ?? [],
      // The format version of the frames that this node sends to that node.
      frames: peerViews.get(node)?.frames ?? null,
      leaving: leaving.includes(node),
      holds: shards.filter(({ holder }) => holder === node).map(({ shard }) => shard),
    })),
    features: FEATURES.map(({ name, needs }) => {
      const stored = featureGates.state.features.get(name);
      return {
        ...{ name, needs, state: stored?.state ?? 'off', why: stored?.why ?? '' },
        since: stored ? new Date(stored.since).toISOString() : null,
        // False once an operator has ruled out a rollback, or once stored data no longer fits into the earlier format.
        wayBack: stored?.finished !== true && rollout.recordsToRevert(name) >= 0,
        waitsFor: rollout.waits.get(name) ?? null,
      };
    }),
    // Features of later releases, which this release does not support.
    unknownFeatures: [...featureGates.state.features.keys()].filter((name) => !FEATURES.some((f) => f.name === name)),
    paused: rollout.paused,
    unreadable: shards.filter(({ unreadable }) => unreadable).map(({ shard }) => shard),
    skippedFrames: peers.skippedFrames,
    next: why === null ? { mayBeReplaced: true } : { mayBeReplaced: false, why },
  };
}

/** The rollout operations behind the admin API. */
export function rolloutOperations(deps: RolloutOverviewDeps): RolloutControl {
  const { rollout, ownership, featureGates } = deps;
  return {
    clock: deps.clock,
    features: () =>
      new Map(
        FEATURES.map(({ name }) => {
          const { state = 'off', finished = false } = featureGates.state.features.get(name) ?? {};
          return [name, { state, finished }];
        }),
      ),
    overview: () => rolloutOverview(deps),
    updateRequests: (change) => rollout.updateRequests(change),
    startLeaving: () => ownership.leave(),
    cancelLeaving: () => ownership.cancelLeaving('an operator cancelled the shutdown'),
    leaveStatus: () => {
      const { leaving, left, staysInMs } = ownership;
      return { leaving, left, staysInS: staysInMs === null ? null : Math.ceil(staysInMs / 1000) };
    },
  };
}
