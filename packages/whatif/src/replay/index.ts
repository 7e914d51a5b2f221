export { replayWithDecisions } from './decision-replay.js';
export type { ReplayResult, ReplayOptions, TimelineSample } from './replay-result.js';
export { replayWithControllers, recordRegion } from './controller-replay.js';
