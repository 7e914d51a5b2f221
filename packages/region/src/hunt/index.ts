export * from './hunt.js';
export * from './meetings.js';
export * from './playlist.js';
