import type { Writable } from 'node:stream';

/** A reader that goes away, as `head` does, ends the program without a word: nobody is left to tell anything. */
export function quietWhenUnread(stream: Writable): void {
  stream.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'EPIPE') process.exit(0);
    throw error;
  });
}
