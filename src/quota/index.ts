// Quotas: divides the resource limits of teams between shards.

export * from './amount.js';
export * from './allocation.js';
export type { ShardNeeds } from './demand.js';
export * from './record.js';
export * from './shares.js';
