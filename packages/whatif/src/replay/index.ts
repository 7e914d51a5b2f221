export { replayWithDecisions } from './decisions.js';
export type { ReplayResult, ReplayOptions, TimelineSample } from './engine.js';
export { replayWithControllers, recordRegion } from './whole.js';
