/** Simulation scenarios ("days" in file names and settings): schema, parser and scaling. */
export { scaleScenario as scaledDay } from './scaled.js';
export { ScenarioError as DayError, parseScenario as readDay } from './read.js';
export { ANY_TEAM } from './schema.js';
export type {
  Objective as Aim,
  SimulationScenario as Day,
  JobClass as DayClass,
  PipelineTemplate as DayPipeline,
  Fault as Trouble,
} from './schema.js';
