/** Quotas: divides the resource limits of teams between shards. */

export * from './amount.js';
export * from './allocation.js';
export type { ShardNeeds } from './need-reports.js';
export * from './record.js';
export * from './shares.js';
