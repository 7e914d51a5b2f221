/** Building blocks that all other modules share: types, time, sockets, HTTP, logging and reconcile loops. */
export * from './branded-types.js';
export * from './bit-set.js';
export * from './clock.js';
export * from './http-head.js';
export * from './http-client.js';
export * from './fast-path.js';
export * from './logger.js';
export * from './reconcile-loop.js';
export * from './runtime.js';
export * from './socket-budget.js';
export * from './system-runtime.js';
