/** Command line of the region simulator. */
export { regionCommand } from './command.js';
export { UsageError } from './options.js';
