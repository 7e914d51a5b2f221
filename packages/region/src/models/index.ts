/** Simulated services, machines and users of a region: everything but its controllers. */
export * from './balancer.js';
export * from './cloud.js';
export * from './gangs.js';
export * from './images.js';
export * from './jobs.js';
export * from './script.js';
export * from './serve.js';
export * from './state.js';
export * from './tasks.js';
export * from './users.js';
export * from './worker.js';
export * from './witness.js';
