export * from './service.js';
export { createApp, laneRoutes, listen, type Handlers } from './http.js';
