export * from './hunt.js';
