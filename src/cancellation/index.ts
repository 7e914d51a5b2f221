/** Propagation of job cancellations to all shard holders, and the time limits for holders that have lost contact. */

export * from './holder-mode.js';
export * from './cancellation-propagator.js';
export * from './unacknowledged-holders.js';
