/** Membership of the cluster: node leases, the leader election, shard ownership, and the stored blocks of machines. */

export * from './membership.js';
export * from './shard-record.js';
export * from './pending-writes.js';
export * from './shard-directory.js';
export * from './block-pages.js';
export * from './paging.js';
export * from './shard-sealer.js';
