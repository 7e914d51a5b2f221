import type { RolloutDesk } from '../admin/index.js';
import type { Clock, NodeName, ShardName } from '../kernel/index.js';
import type { ShardDirectory } from '../membership/index.js';
import type { PeerLink } from '../peers/index.js';
import { FEATURES, RELEASE, whyNotNext, type Conductor, type RolloutShard, type Switches } from '../rollout/index.js';
import type { ShardOwnership } from './ownership.js';

export interface OverviewDeps {
  readonly self: NodeName;
  readonly clock: Clock;
  readonly directory: ShardDirectory;
  readonly peers: PeerLink;
  readonly conductor: Conductor;
  readonly switches: Switches;
  readonly ownership: ShardOwnership;
  shards(): readonly ShardName[];
}

const shardsOf = ({ shards, directory }: OverviewDeps): RolloutShard[] =>
  shards().map((shard) => {
    const known = directory.all.get(shard)?.value;
    const holder = known && !known.released ? known.holder : null;
    return { shard, holder, unreadable: directory.unreadable.has(shard) };
  });

/** What operators see of a rollout: who runs what, what is on, what is waited for, and whether the next may go. */
export function rolloutOverview(deps: OverviewDeps): unknown {
  const { self, peers, conductor, switches, ownership } = deps;
  const heard = new Map(peers.views().map((view) => [view.node, view]));
  const shards = shardsOf(deps);
  const leaving = [...heard.values()].filter((view) => view.leaving).map(({ node }) => node);
  if (ownership.leaving) leaving.push(self);
  const { nodes, watching: watched, now } = conductor;
  const why = whyNotNext({ now, nodes, shards, leaving, watched });
  return {
    release: RELEASE,
    nodes: nodes.map(({ node, announced }) => ({
      node,
      registered: announced !== null,
      heard: node === self || heard.has(node),
      release: announced?.release ?? null,
      features: announced?.features ?? [],
      // Of the frames that this node sends to it.
      frames: heard.get(node)?.frames ?? null,
      leaving: leaving.includes(node),
      holds: shards.filter(({ holder }) => holder === node).map(({ shard }) => shard),
    })),
    features: FEATURES.map(({ name, needs }) => {
      const stored = switches.state.features.get(name);
      return {
        ...{ name, needs, state: stored?.state ?? 'off', why: stored?.why ?? '' },
        since: stored ? new Date(stored.since).toISOString() : null,
        // Closed by an operator, or what is stored fits no more into the earlier form.
        wayBack: stored?.finished !== true && conductor.leftOf(name) >= 0,
        waitsFor: conductor.waits.get(name) ?? null,
      };
    }),
    // Features of later releases: this one lacks them.
    unknownFeatures: [...switches.state.features.keys()].filter((name) => !FEATURES.some((f) => f.name === name)),
    paused: conductor.paused,
    unreadable: shards.filter(({ unreadable }) => unreadable).map(({ shard }) => shard),
    skippedFrames: peers.skippedFrames,
    next: why === null ? { mayBeReplaced: true } : { mayBeReplaced: false, why },
  };
}

/** What operators may ask and tell of a rollout. */
export function rolloutDesk(deps: OverviewDeps): RolloutDesk {
  const { conductor, ownership, switches } = deps;
  return {
    clock: deps.clock,
    features: () =>
      new Map(
        FEATURES.map(({ name }) => {
          const { state = 'off', finished = false } = switches.state.features.get(name) ?? {};
          return [name, { state, finished }];
        }),
      ),
    overview: () => rolloutOverview(deps),
    wish: (how) => conductor.wish(how),
    leave: () => ownership.leave(),
    stay: () => ownership.stay('an operator wants it to stay'),
    leaving: () => {
      const { leaving, left, staysInMs } = ownership;
      return { leaving, left, staysInS: staysInMs === null ? null : Math.ceil(staysInMs / 1000) };
    },
  };
}
