import type { Writable } from 'node:stream';

/**
 * Exits silently on EPIPE, when the reader of the stream closes it early, as `head` does. No reader is left for an
 * error message.
 */
export function exitOnBrokenPipe(stream: Writable): void {
  stream.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'EPIPE') process.exit(0);
    throw error;
  });
}
