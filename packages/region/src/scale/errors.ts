/** A scale run cannot be started, or it failed. The one-line message names the limit, the field or the process. */
export class ScaleError extends Error {
  override readonly name = 'ScaleError';
}
