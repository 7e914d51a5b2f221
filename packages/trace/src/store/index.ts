export { diskFiles, type Files } from './files.js';
export {
  sha256Hex,
  encodeManifest,
  TraceError,
  type Cursor,
  type Gap,
  type Manifest,
  type Segment,
} from './manifest.js';
export { KilledError, MemoryFiles } from './memory-files.js';
export { parseDetail, parseEvent, preferredRow, rank, type TraceRow } from './trace-row.js';
export { readManifest, readSegment, TraceStore, type Retention } from './trace-store.js';
