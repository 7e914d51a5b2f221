export { diskFiles, type Files } from './files.js';
export { digest, encodeManifest, TraceError, type Cursor, type Gap, type Manifest, type Segment } from './manifest.js';
export { KilledError, MemoryFiles } from './memory.js';
export { detailOf, parseEvent, preferredRow, rank, type TraceRow } from './row.js';
export { readManifest, readSegment, TraceStore, type Retention } from './store.js';
