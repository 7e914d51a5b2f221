import type { JobId, NodeName, ShardName } from '../kernel/index.js';

/**
 * All mutable keys share one prefix, so that a node's single watch shows their changes in commit order. Final records
 * of jobs (`finals/`) are kept forever and are read one by one.
 */
export const LIVE_PREFIX = 'live/';
/** Records of jobs that have not ended. */
export const JOBS_PREFIX = 'live/jobs/';
/** One record per shard: its holder, and its machines unless they are stored in pages. */
export const SHARDS_PREFIX = 'live/shards/';
/** Machine lists of shards that are stored in pages; keys end with `<shard>.<n>`. */
export const PAGES_PREFIX = 'live/pages/';
/** Registrations of controllers. */
export const NODES_PREFIX = 'live/nodes/';
/** The revision that a node's watch has reached, stored when the node can't tell its peers. */
export const SEEN_REVISIONS_PREFIX = 'live/seen/';
/** The present leader. */
export const LEADER_KEY = 'live/leader';
/** Settings that operators can change at run time. */
export const SETTINGS_KEY = 'live/settings';
/** Machine types, as one controller has fetched them from the cloud for all. */
export const MACHINE_TYPES_KEY = 'live/types';
/** Finished tasks that a shard's holder has recorded beyond the job records, one key per shard. */
export const PROGRESS_PREFIX = 'live/progress/';
/** How the quota of a limited team is divided between shards, one key per team. */
export const QUOTAS_PREFIX = 'live/quotas/';
/** Which features are on, and what operators want of them. Releases older than the first feature ignore both keys. */
export const ROLLOUT_STATE_KEY = 'live/rollout/state';
export const ROLLOUT_WISHES_KEY = 'live/rollout/wishes';

export const jobKey = (id: JobId): string => `${JOBS_PREFIX}${id}`;
export const finalKey = (id: JobId): string => `finals/${id}`;
export const shardKey = (name: ShardName): string => `${SHARDS_PREFIX}${name}`;
export const pageKey = (name: ShardName, n: number): string => `${PAGES_PREFIX}${name}.${n}`;
export const progressKey = (name: ShardName): string => `${PROGRESS_PREFIX}${name}`;
/** The team name is encoded because it may contain characters that are not allowed in keys. */
export const quotaKey = (team: string): string => `${QUOTAS_PREFIX}${encodeURIComponent(team)}`;
export const nodeKey = (name: NodeName): string => `${NODES_PREFIX}${name}`;
export const seenRevisionKey = (name: NodeName): string => `${SEEN_REVISIONS_PREFIX}${name}`;
