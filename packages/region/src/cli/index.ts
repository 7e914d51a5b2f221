export { regionCommand } from './command.js';
export { UsageError } from './errors.js';
