export { advance, begin, readPage, unread, type Page, type Step } from './follow.js';
export { Recorder, type RecorderOptions, type Source } from './recorder.js';
