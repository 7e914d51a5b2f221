export { DayError, readDay } from './read.js';
export type { Aim, Day, DayClass, Trouble } from './schema.js';
