export * from './api.js';
export * from './rollout.js';
export * from './settings.js';
export * from './store.js';
