// Propagation of job cancellations to all shard holders, and the time limits for holders that have lost contact.

export * from './bound.js';
export * from './carrier.js';
export * from './missing.js';
