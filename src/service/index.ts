export * from './service.js';
export { createApp, fastPathRoutes, listen, type RequestHandlers } from './http.js';
export { HealthCheck, type HealthInputs } from './health-check.js';
