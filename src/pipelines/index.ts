export * from './inherited-constraints.js';
export * from './job-graph.js';
export * from './dependency-tracker.js';
