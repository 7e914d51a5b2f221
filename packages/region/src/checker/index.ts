/** Checks a simulation run against the rules of the protocol. */
export * from './rules.js';
export type { FreeCapacity } from './waiting.js';
