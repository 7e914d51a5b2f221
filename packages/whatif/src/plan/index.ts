export { applyPlan } from './apply.js';
export { parseMomentS, type NightSpan } from './moment.js';
export { PlanError, readPlan } from './read.js';
export type { Plan } from './schema.js';
