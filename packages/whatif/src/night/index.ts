export { SILENT_MACHINE_MARGIN_S } from './machine-deaths.js';
export type { PlatformFacts } from './platform-facts.js';
export { kindKeyOf, readNight, type RecordedJob, type RecordedMachine, type Night } from './night.js';
export { jobOutcomes, type JobOutcome } from './outcome.js';
export { deriveRunTimes, RunTimeModel, type RecordedRunTimes } from './run-times.js';
export {
  cloudCapacity,
  JOIN_DELAY_S,
  buildScenario,
  type ScenarioJob,
  type ScenarioMachine,
  type Scenario,
} from './scenario.js';
