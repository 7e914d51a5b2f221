/** Detection of stragglers (tasks that run much longer than the others of their job) and their restart elsewhere. */
export * from './threshold.js';
