import type { JobId, NodeName, ShardName } from '../kernel/index.js';

/**
 * All mutable keys share one prefix, so that a node's single watch shows their changes in commit order. Final records
 * of jobs (`finals/`) are kept forever and are read one by one.
 */
export const LIVE = 'live/';
/** Records of jobs that have not ended. */
export const JOBS = 'live/jobs/';
/** One record per shard: its holder, and its machines unless they are stored in pages. */
export const SHARDS = 'live/shards/';
/** Machine lists of shards that are stored in pages; keys end with `<shard>.<n>`. */
export const PAGES = 'live/pages/';
/** Registrations of controllers. */
export const NODES = 'live/nodes/';
/** The revision that a node's watch has reached, stored when the node can't tell its peers. */
export const SEEN = 'live/seen/';
/** The present leader. */
export const LEADER = 'live/leader';
/** Settings that operators can change at run time. */
export const SETTINGS = 'live/settings';
/** Machine types, as one controller has fetched them from the cloud for all. */
export const TYPES = 'live/types';
/** Finished tasks that a shard's holder has recorded beyond the job records, one key per shard. */
export const PROGRESS = 'live/progress/';
/** How the quota of a limited team is divided between shards, one key per team. */
export const QUOTAS = 'live/quotas/';
/** Which features are on, and what operators want of them. Releases older than the first feature ignore both keys. */
export const ROLLOUT_STATE = 'live/rollout/state';
export const ROLLOUT_WISHES = 'live/rollout/wishes';

export const jobKey = (id: JobId): string => `${JOBS}${id}`;
export const finalKey = (id: JobId): string => `finals/${id}`;
export const shardKey = (name: ShardName): string => `${SHARDS}${name}`;
export const pageKey = (name: ShardName, n: number): string => `${PAGES}${name}.${n}`;
export const progressKey = (name: ShardName): string => `${PROGRESS}${name}`;
/** The team name is encoded because it may contain characters that are not allowed in keys. */
export const quotaKey = (team: string): string => `${QUOTAS}${encodeURIComponent(team)}`;
export const nodeKey = (name: NodeName): string => `${NODES}${name}`;
export const seenKey = (name: NodeName): string => `${SEEN}${name}`;
