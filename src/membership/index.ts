// Membership of the cluster: node leases, the leader election, shard ownership, and the stored blocks of machines.

export * from './membership.js';
export * from './shard.js';
export * from './settle.js';
export * from './directory.js';
export * from './pages.js';
export * from './paging.js';
export * from './seal.js';
