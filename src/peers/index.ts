export {
  FrameError,
  FrameReader,
  FrameSplitter,
  FrameWriter,
  MAX_FRAME,
  OLDEST_VERSION,
  VERSION as FRAME_VERSION,
} from './codec.js';
export * from './link.js';
export * from './messages.js';
