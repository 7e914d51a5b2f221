/** Releases of the controller that a simulation can run. */
export * from './releases.js';
