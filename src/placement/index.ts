export * from './plan.js';
