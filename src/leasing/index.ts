/** Assignment of machines to the blocks of shards, renting and returning machines, and routing of jobs to shards. */
export * from './leader.js';
export * from './plan.js';
export * from './routing.js';
export * from './silent-machines.js';
