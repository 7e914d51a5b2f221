export * from './job-graph.js';
export * from './dependency-tracker.js';
