export { mergeRows, readTrace, readTraceIn, verifyTrace, type Trace } from './read.js';
export {
  Recorder,
  advance,
  begin,
  readPage,
  unread,
  type Page,
  type RecorderOptions,
  type Source,
} from './record/index.js';
export {
  detailOf,
  digest,
  diskFiles,
  encodeManifest,
  Killed,
  MemoryFiles,
  readEvent,
  TraceError,
  TraceStore,
  type Cursor,
  type Files,
  type Gap,
  type Manifest,
  type TraceRow,
} from './store/index.js';
