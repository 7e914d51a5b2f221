import type { TeamFacts } from '../config/index.js';
import type { ShardHolder } from '../holder/index.js';
import type { Logger, NodeName, Runtime, ShardName } from '../kernel/index.js';
import { settleShard, type ShardDirectory } from '../membership/index.js';
import type { PeerLink, PeerMessage, QuotaNeed } from '../peers/index.js';
import { QuotaShares, type QuotaMode, type ShardDemand, type TeamNeed } from '../quota/index.js';
import { QUOTA_SHARES } from '../rollout/index.js';
import type { Mirror, StateClient } from '../state/index.js';

type QuotaMessage = Extract<PeerMessage, { kind: 'quota' }>;

const toNeed = ([team, { use, waiting, unit, priority, waitedMs }]: readonly [string, TeamNeed]): QuotaNeed => ({
  ...{ team, useCpus: use.cpus, useGpus: use.gpus, waitingCpus: waiting.cpus, waitingGpus: waiting.gpus },
  ...{ unitCpus: unit.cpus, unitGpus: unit.gpus, priority, waitedMs },
});

/** A shard's demand as it is sent to peers. */
export const quotaMessage = ({ shard, claimedAt, teams }: ShardDemand): QuotaMessage => ({
  ...{ kind: 'quota', shard, claimedAt, teams: [...teams].map(toNeed) },
});

/** A shard's demand as a peer has sent it. */
export const demandOf = ({ shard, claimedAt, teams }: QuotaMessage): ShardDemand => ({
  shard,
  claimedAt,
  teams: new Map(
    teams.map((need) => [
      need.team,
      {
        use: { cpus: need.useCpus, gpus: need.useGpus },
        waiting: { cpus: need.waitingCpus, gpus: need.waitingGpus },
        unit: { cpus: need.unitCpus, gpus: need.unitGpus },
        ...{ priority: need.priority, waitedMs: need.waitedMs },
      },
    ]),
  ),
});

/** Sends a shard's demand to every peer that has quota shares. */
export function tellPeers(peers: PeerLink, demand: ShardDemand): void {
  const message = quotaMessage(demand);
  const has = (peer: NodeName): boolean => peers.statusOf(peer)?.features.includes(QUOTA_SHARES) === true;
  for (const peer of peers.names) if (has(peer)) peers.send(peer, message);
}

export interface QuotaParts {
  readonly teams: ReadonlyMap<string, TeamFacts>;
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly directory: ShardDirectory;
  readonly peers: PeerLink;
  readonly runtime: Runtime;
  readonly log: Logger;
  /** The shards that this node holds. */
  readonly holders: ReadonlyMap<ShardName, ShardHolder>;
  mode(): QuotaMode;
  /** All shards. */
  shards(): readonly ShardName[];
}

/** The division of teams' limits, as this node takes part in it. */
export function createQuotas(parts: QuotaParts): QuotaShares {
  const { teams, state, mirror, directory, peers, runtime, log, holders } = parts;
  return new QuotaShares({
    ...{ teams, state, mirror, runtime, log },
    mode: () => parts.mode(),
    shards: () => parts.shards(),
    sealed: () => directory.sealed,
    holders: () => holders.values(),
    tell: (demand) => tellPeers(peers, demand),
    settle: (shard) => settleShard(shard, state, mirror, runtime, () => holders.get(shard)?.dropped === false),
  });
}
