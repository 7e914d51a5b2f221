export * from './hunt.js';
export * from './meetings.js';
