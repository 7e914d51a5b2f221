export { DEAD_S } from './deaths.js';
export type { NightFacts } from './facts.js';
export { kindOf, readNight, type RecordedJob, type RecordedMachine, type Night } from './night.js';
export { outcomesOf, type Outcome } from './outcome.js';
export { deriveRunTimes, RunTimeModel, type RecordedRunTimes } from './runs.js';
export { capacityFor, JOIN_S, scenarioOf, type PlayedJob, type PlayedMachine, type Scenario } from './scenario.js';
