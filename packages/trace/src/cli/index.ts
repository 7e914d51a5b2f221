export { recordCommand, traceCommand } from './command.js';
