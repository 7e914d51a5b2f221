/** The administration API and the operators' settings. */
export * from './api.js';
export * from './rollout.js';
export * from './settings.js';
export * from './store.js';
