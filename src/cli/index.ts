/** Parts of the command line that other bundles share. */
export { exitOnBrokenPipe } from './broken-pipe.js';
