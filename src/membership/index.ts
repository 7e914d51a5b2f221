export * from './membership.js';
export * from './shard.js';
export * from './settle.js';
export * from './directory.js';
export * from './pages.js';
export * from './paging.js';
export * from './seal.js';
