// Quotas: divides the resource limits of teams between shards.

export * from './amount.js';
export * from './allocation.js';
export type { ShardDemand } from './demand.js';
export * from './record.js';
export * from './shares.js';
