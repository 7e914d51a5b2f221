/** Deterministic discrete-event simulation: simulated time, random numbers, network and processes. */
export * from './luck.js';
export * from './network.js';
export * from './process.js';
export * from './world.js';
export * from './rest.js';
