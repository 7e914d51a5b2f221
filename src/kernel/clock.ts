import type { Millis, WallMillis } from './branded-types.js';

/** Source of time. It is injected so that decisions can run in simulated time. */
export interface Clock {
  /** Monotonic time. */
  now(): Millis;
  /** Wall-clock time. */
  wall(): WallMillis;
}

/**
 * Lengthens a duration in milliseconds by the safety margin for clock drift. Monotonic clocks of different machines
 * drift apart by up to 0.05 %; the margin of 0.2 % is more than twice that.
 */
export const withClockDriftMargin = (ms: number): number => ms * 1.002;
