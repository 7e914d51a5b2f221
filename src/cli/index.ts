/** Parts of the command line that other bundles share. */
export { quietWhenUnread } from './streams.js';
