export {
  forecast,
  replayErrors,
  FINISH_TOLERANCE,
  type Forecast,
  type JobForecast,
  type ReplayErrors,
} from './answer/index.js';
export { outcomesOf, readNight, scenarioOf, type Night, type Outcome, type Scenario } from './night/index.js';
export { applyPlan, parseMomentS, PlanError, readPlan, type Plan } from './plan/index.js';
export { playDecisions, playWhole, recordRegion, type Played } from './replay/index.js';
