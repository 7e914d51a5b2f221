export * from './fleet.js';
export * from './recovery.js';
export * from './speed.js';
