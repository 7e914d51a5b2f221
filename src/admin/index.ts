export * from './api.js';
export * from './settings.js';
