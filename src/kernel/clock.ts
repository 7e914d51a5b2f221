import type { Millis, WallMillis } from './brands.js';

/** Time is handed in, so that decisions can be played in simulated time. */
export interface Clock {
  now(): Millis;
  wall(): WallMillis;
}

/** Steady clocks of different machines drift apart by up to 0.05 %; twice that is our margin. */
export const withDrift = (ms: number): number => ms * 1.002;
