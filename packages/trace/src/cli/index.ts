export { recordCommand, traceCommand } from './command.js';
export { lockDirectory } from './lock.js';
