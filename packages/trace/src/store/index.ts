export { diskFiles, type Files } from './files.js';
export { digest, encodeManifest, TraceError, type Cursor, type Gap, type Manifest, type Segment } from './manifest.js';
export { Killed, MemoryFiles } from './memory.js';
export { better, detailOf, rank, readEvent, type TraceRow } from './row.js';
export { readManifest, readSegment, TraceStore, type Retention } from './store.js';
