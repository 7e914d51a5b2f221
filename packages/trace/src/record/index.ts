export {
  applyPage,
  initialCursor,
  parseTrailPage,
  unreadGaps,
  type PageResult,
  type TrailPage,
} from './trail-cursor.js';
export { Recorder, type RecorderOptions, type TrailSource } from './recorder.js';
