/** The event trail: a bounded log of recent events of a controller, from which recorders read. */
export type { NumberedEvent, TrailEvent } from './events.js';
export { Trail, type TrailPage } from './trail.js';
