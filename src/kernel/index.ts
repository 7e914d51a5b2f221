export * from './brands.js';
export * from './bits.js';
export * from './clock.js';
export * from './head.js';
export * from './http.js';
export * from './logger.js';
export * from './loop.js';
