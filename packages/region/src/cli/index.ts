export { regionCommand, UsageError } from './command.js';
