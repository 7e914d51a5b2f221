export { applyPlan } from './apply-plan.js';
export { parseMomentS, type NightSpan } from './parse-moment.js';
export { PlanError, readPlan } from './read-plan.js';
export type { Plan } from './plan-schema.js';
