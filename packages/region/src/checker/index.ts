/** Checks a simulation run against the rules of the protocol. */
export * from './rule-checker.js';
export type { FreeCapacity } from './waiting-detector.js';
