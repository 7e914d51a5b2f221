/** Records the event trails of all controllers into a trace on disk, and reads such traces. */
export { mergeRows, readTrace, readTraceDirectory, verifyTrace, type Trace } from './read-trace.js';
export {
  Recorder,
  applyPage,
  initialCursor,
  parseTrailPage,
  unreadGaps,
  type RecorderOptions,
  type TrailPage,
  type TrailSource,
} from './record/index.js';
export {
  parseDetail,
  sha256Hex,
  diskFiles,
  encodeManifest,
  KilledError,
  MemoryFiles,
  parseEvent,
  TraceError,
  TraceStore,
  type Cursor,
  type Files,
  type Gap,
  type Manifest,
  type TraceRow,
} from './store/index.js';
