export * from './service.js';
export { createApp, laneRoutes, listen, type Handlers } from './http.js';
export { HealthCheck, type HealthInputs } from './health.js';
