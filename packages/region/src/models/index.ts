/** Simulated services, machines and users of a region: everything but its controllers. */
export * from './balancer.js';
export * from './cloud.js';
export * from './gangs.js';
export * from './image-cache.js';
export * from './jobs.js';
export * from './script.js';
export * from './json-server.js';
export * from './state-service.js';
export * from './machine-tasks.js';
export * from './users.js';
export * from './worker.js';
export * from './user-observer.js';
