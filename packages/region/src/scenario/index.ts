/** Simulation scenarios ("days" in file names and settings): schema, parser and scaling. */
export { scaleScenario } from './scale.js';
export { ScenarioError, parseScenario } from './parse.js';
export { ANY_TEAM } from './schema.js';
export type { Objective, SimulationScenario, JobClass, PipelineTemplate, Fault } from './schema.js';
