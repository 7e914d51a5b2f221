/** Messages between controllers: frame format, message types and transport. */
export {
  FrameError,
  FrameReader,
  FrameSplitter,
  FrameWriter,
  MAX_FRAME_BYTES,
  OLDEST_FRAME_VERSION,
  FRAME_VERSION,
} from './frame-codec.js';
export * from './peer-transport.js';
export type { ForwardedAnswer, RequestCounts } from './pending-requests.js';
export * from './messages.js';
