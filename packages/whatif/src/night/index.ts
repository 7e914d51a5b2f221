export { DEAD_S } from './deaths.js';
export type { NightFacts } from './facts.js';
export { kindOf, readNight, type JobSeen, type MachineSeen, type Night } from './night.js';
export { outcomesOf, type Outcome } from './outcome.js';
export { knownRuns, RunFits, type KnownRuns } from './runs.js';
export { capacityFor, JOIN_S, scenarioOf, type PlayedJob, type PlayedMachine, type Scenario } from './scenario.js';
