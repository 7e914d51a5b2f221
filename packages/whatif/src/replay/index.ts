export { playDecisions } from './decisions.js';
export type { Played, ReplayOptions, Standing } from './engine.js';
export { playWhole, recordRegion } from './whole.js';
