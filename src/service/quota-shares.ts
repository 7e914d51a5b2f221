import type { TeamQuota } from '../config/index.js';
import type { ShardHolder } from '../holder/index.js';
import type { Logger, NodeName, Runtime, ShardName } from '../kernel/index.js';
import { settlePendingShardWrites, type ShardDirectory } from '../membership/index.js';
import type { PeerTransport, PeerMessage, TeamQuotaDemand } from '../peers/index.js';
import { QuotaShares, type QuotaMode, type ShardNeeds, type TeamNeed } from '../quota/index.js';
import { QUOTA_SHARES } from '../rollout/index.js';
import type { Mirror, StateClient } from '../state/index.js';

type QuotaMessage = Extract<PeerMessage, { kind: 'quota' }>;

/** Encodes the need of one team. */
const encodeNeed = ([team, { use, waiting, unit, priority, waitedMs }]: readonly [
  string,
  TeamNeed,
]): TeamQuotaDemand => ({
  ...{ team, useCpus: use.cpus, useGpus: use.gpus, waitingCpus: waiting.cpus, waitingGpus: waiting.gpus },
  ...{ unitCpus: unit.cpus, unitGpus: unit.gpus, priority, waitedMs },
});

/** Encodes a shard's needs as a message to peers. */
export const encodeNeeds = ({ shard, claimedAt, teams }: ShardNeeds): QuotaMessage => ({
  ...{ kind: 'quota', shard, claimedAt, teams: [...teams].map(encodeNeed) },
});

/** Decodes a shard's needs from a message of a peer. */
export const decodeNeeds = ({ shard, claimedAt, teams }: QuotaMessage): ShardNeeds => ({
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

/** Sends a shard's needs to every peer whose release supports quota shares. */
export function sendNeedsToPeers(peers: PeerTransport, needs: ShardNeeds): void {
  const message = encodeNeeds(needs);
  const supportsShares = (peer: NodeName): boolean => peers.statusOf(peer)?.features.includes(QUOTA_SHARES) === true;
  for (const peer of peers.peerNames) if (supportsShares(peer)) peers.send(peer, message);
}

/** What the quota shares need from the rest of the node. */
export interface QuotaSharesDeps {
  readonly teams: ReadonlyMap<string, TeamQuota>;
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly directory: ShardDirectory;
  readonly peers: PeerTransport;
  readonly runtime: Runtime;
  readonly log: Logger;
  /** The shards that this node holds. */
  readonly holders: ReadonlyMap<ShardName, ShardHolder>;
  /** How teams' limits are kept at present. */
  mode(): QuotaMode;
  /** All shards. */
  shards(): readonly ShardName[];
}

/** Creates this node's part in dividing the team limits between shards. */
export function createQuotaShares(deps: QuotaSharesDeps): QuotaShares {
  const { teams, state, mirror, directory, peers, runtime, log, holders } = deps;
  return new QuotaShares({
    ...{ teams, state, mirror, runtime, log },
    mode: () => deps.mode(),
    shards: () => deps.shards(),
    sealed: () => directory.sealed,
    holders: () => holders.values(),
    sendNeeds: (needs) => sendNeedsToPeers(peers, needs),
    settlePendingWrites: (shard) =>
      settlePendingShardWrites(shard, state, mirror, runtime, () => holders.get(shard)?.dropped === false),
  });
}
