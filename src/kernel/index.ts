/** Building blocks that all other modules share: types, time, sockets, HTTP, logging and reconcile loops. */
export * from './brands.js';
export * from './bits.js';
export * from './clock.js';
export * from './head.js';
export * from './http.js';
export * from './lane.js';
export * from './logger.js';
export * from './loop.js';
export * from './runtime.js';
export * from './sockets.js';
export * from './system.js';
