/** Measurements on simulated fleets of any size. */
export * from './cancels.js';
export * from './chains.js';
export * from './fleet-day.js';
export * from './recovery.js';
export * from './rollout.js';
export * from './speed.js';
