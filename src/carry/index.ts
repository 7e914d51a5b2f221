export * from './bound.js';
export * from './carrier.js';
export * from './missing.js';
