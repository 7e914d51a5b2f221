export * from './rollout-reconciler.js';
export * from './decide.js';
export * from './replacement.js';
export * from './rollout-records.js';
export * from './release.js';
export * from './feature-gates.js';
