export * from './service.js';
export { createApp, laneRoutes, listen, type Handlers } from './http.js';
export { Health, type HealthView } from './health.js';
