/** Messages between controllers: frame format, message types and transport. */
export {
  FrameError,
  FrameReader,
  FrameSplitter,
  FrameWriter,
  MAX_FRAME_BYTES,
  OLDEST_FRAME_VERSION,
  FRAME_VERSION,
} from './codec.js';
export * from './link.js';
export * from './messages.js';
