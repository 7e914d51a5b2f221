export { FrameError, FrameReader, FrameSplitter, FrameWriter, MAX_FRAME } from './codec.js';
export * from './link.js';
export * from './messages.js';
