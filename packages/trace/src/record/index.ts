export {
  applyResponse,
  initialCursor,
  parseTrailResponse,
  unreadGaps,
  type ApplyResult,
  type TrailResponse,
} from './follow.js';
export { Recorder, type RecorderOptions, type TrailSource } from './recorder.js';
