export { regionCommand } from './command.js';
export { UsageError } from './options.js';
