export type { NumberedEvent, TrailEvent } from './events.js';
export { Trail, type TrailPage } from './trail.js';
