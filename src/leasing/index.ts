/** Assignment of machines to the blocks of shards, renting and returning machines, and routing of jobs to shards. */
export { machineKindKey, type AssignmentInput, type PlannedRent, type UnassignedMachine } from './capacity.js';
export { gangTasksBeyondTurnover, missingCpus, type ArrayBacklog } from './demand.js';
export * from './leader.js';
export * from './plan.js';
export { splitIntoCalls } from './rents.js';
export * from './routing.js';
export * from './silent-machines.js';
