/** Searches for fault schedules that violate a rule, and runs combinations of faults. */
export * from './search.js';
export * from './fault-combinations.js';
export * from './combination-runs.js';
