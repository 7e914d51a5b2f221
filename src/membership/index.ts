export * from './membership.js';
export * from './shard.js';
export * from './settle.js';
export * from './directory.js';
