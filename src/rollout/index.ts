export * from './conductor.js';
export * from './decide.js';
export * from './readiness.js';
export * from './record.js';
export * from './release.js';
export * from './switches.js';
