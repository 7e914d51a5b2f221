// A replay puts in again what reading the record took out.
export { DEAD_S, JOIN_S } from '../night/index.js';
/** A command's way to the worker and its effect. Seconds, as all times here; measured on the region. */
export const ORDER_S = 0.02;
/** A report's way back. */
export const TOLD_S = 0.25;
/** From a job's last task to its end in the state service. */
export const WRITE_S = 0.15;
/** A round after something has changed. */
export const ROUND_S = 0.25;
/** Between rounds of the leader, of the threshold, and looks at how things stand. */
export const LEAD_EVERY_S = 1;
export const JUDGE_EVERY_S = 2;
export const LOOK_EVERY_S = 15;
/** A kind that the cloud had too few of is not asked for again for so long. */
export const REFUSED_S = 15;
/** Played on after the night's end, so that what is late can end. */
export const TAIL_S = 3600;
