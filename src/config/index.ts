export * from './settings.js';
