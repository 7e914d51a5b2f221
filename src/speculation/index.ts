export * from './threshold.js';
