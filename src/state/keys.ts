import type { JobId, NodeName, ShardName } from '../kernel/index.js';

/**
 * Everything that is alive lies under one prefix, so that one watch shows a node all of it in the
 * order it happened. Finals are kept for ever and are read one by one.
 */
export const LIVE = 'live/';
export const JOBS = 'live/jobs/';
export const SHARDS = 'live/shards/';
/** Machines of shards in the paged form: `<shard>.<n>`. */
export const PAGES = 'live/pages/';
export const NODES = 'live/nodes/';
/** Up to which revision a node's watch has come, where it can't say so to its peers. */
export const SEEN = 'live/seen/';
export const LEADER = 'live/leader';
export const SETTINGS = 'live/settings';
export const TYPES = 'live/types';
/** What a holder knows to be done beyond what its jobs' own records say, one key for each shard. */
export const PROGRESS = 'live/progress/';
/** How a limited team's quota is shared out between shards, one key for each team. */
export const QUOTAS = 'live/quotas/';
/** Which features are on, and what operators want of them. Releases from before there were any ignore both. */
export const ROLLOUT_STATE = 'live/rollout/state';
export const ROLLOUT_WISHES = 'live/rollout/wishes';

export const jobKey = (id: JobId): string => `${JOBS}${id}`;
export const finalKey = (id: JobId): string => `finals/${id}`;
export const shardKey = (name: ShardName): string => `${SHARDS}${name}`;
export const pageKey = (name: ShardName, n: number): string => `${PAGES}${name}.${n}`;
export const progressKey = (name: ShardName): string => `${PROGRESS}${name}`;
/** A team's name may have characters that keys may not. */
export const quotaKey = (team: string): string => `${QUOTAS}${encodeURIComponent(team)}`;
export const nodeKey = (name: NodeName): string => `${NODES}${name}`;
export const seenKey = (name: NodeName): string => `${SEEN}${name}`;
