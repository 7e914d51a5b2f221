/** Releases of the controller that a simulation can run. */
export * from './release-catalog.js';
