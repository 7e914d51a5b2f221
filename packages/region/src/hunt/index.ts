/** Searches for fault schedules that violate a rule, and runs combinations of faults. */
export * from './hunt.js';
export * from './meetings.js';
export * from './playlist.js';
