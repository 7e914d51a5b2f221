/** Deterministic discrete-event simulation: simulated time, random numbers, network and processes. */
export * from './random-stream.js';
export * from './network.js';
export * from './process.js';
export * from './event-queue.js';
export * from './settle-pending-callbacks.js';
