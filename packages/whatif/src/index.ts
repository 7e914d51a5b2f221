export {
  forecast,
  replayErrors,
  FINISH_TOLERANCE,
  type Forecast,
  type JobForecast,
  type ReplayErrors,
} from './forecast/index.js';
export { jobOutcomes, readNight, buildScenario, type Night, type JobOutcome, type Scenario } from './night/index.js';
export { applyPlan, parseMomentS, PlanError, readPlan, type Plan } from './plan/index.js';
export { replayWithDecisions, replayWithControllers, recordRegion, type ReplayResult } from './replay/index.js';
