export * from './service.js';
export { createHandler, listen } from './http.js';
