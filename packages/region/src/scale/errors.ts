/** A scale run that can't be made, or that failed; the message names the figure or the process, in one line. */
export class ScaleError extends Error {
  override readonly name = 'ScaleError';
}
