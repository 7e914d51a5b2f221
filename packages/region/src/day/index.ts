export { scaledDay } from './scaled.js';
export { DayError, readDay } from './read.js';
export { ANY_TEAM } from './schema.js';
export type { Aim, Day, DayClass, DayPipeline, Trouble } from './schema.js';
