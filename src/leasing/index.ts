export * from './leader.js';
export * from './plan.js';
export * from './routing.js';
