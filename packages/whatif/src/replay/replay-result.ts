import type { JobOutcome } from '../night/index.js';

/** Optional callbacks of a replay. */
export interface ReplayOptions {
  /** Reports the progress of the replay, in seconds since the night began. */
  readonly onProgress?: (atS: number) => void;
  /** Is called regularly; the replay ends early when it returns true. */
  readonly stop?: () => boolean;
}

/** Number of machines that are up, and of running and waiting tasks by job class, at one time of the replay. */
export interface TimelineSample {
  readonly atS: number;
  readonly machinesUp: number;
  readonly running: Readonly<Record<string, number>>;
  readonly waiting: Readonly<Record<string, number>>;
}

/** Result of one replay. */
export interface ReplayResult {
  /** Outcomes by job id. */
  readonly outcomes: ReadonlyMap<string, JobOutcome>;
  /** Cost of all machines. */
  readonly money: number;
  readonly timeline: readonly TimelineSample[];
}
