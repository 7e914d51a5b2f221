import type { JobId, NodeName, ShardName } from '../kernel/index.js';

/**
 * Everything that is alive lies under one prefix, so that one watch shows a node all of it in the
 * order it happened. Finals are kept for ever and are read one by one.
 */
export const LIVE = 'live/';
export const JOBS = 'live/jobs/';
export const SHARDS = 'live/shards/';
export const NODES = 'live/nodes/';
export const LEADER = 'live/leader';
export const SETTINGS = 'live/settings';
export const TYPES = 'live/types';

export const jobKey = (id: JobId): string => `${JOBS}${id}`;
export const finalKey = (id: JobId): string => `finals/${id}`;
export const shardKey = (name: ShardName): string => `${SHARDS}${name}`;
export const nodeKey = (name: NodeName): string => `${NODES}${name}`;
