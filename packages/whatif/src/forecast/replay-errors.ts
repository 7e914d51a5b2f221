import { quantileSorted } from 'simple-statistics';
import type { JobOutcome, Scenario } from '../night/index.js';

/**
 * Tolerance within which a replayed finishing time counts as equal to the recorded one: `s` seconds, or `share` of the
 * job's duration if that is longer.
 */
export const FINISH_TOLERANCE = { s: 3, share: 0.03 } as const;

/** Returns the tolerance in seconds for a job of the given duration. */
export const toleranceS = (durationS: number): number =>
  Math.max(FINISH_TOLERANCE.s, FINISH_TOLERANCE.share * durationS);

/** Errors of a replay's finishing times against the recorded ones. */
export interface ReplayErrors {
  /** Number of jobs compared. */
  readonly jobs: number;
  /** Number of jobs whose finishing time is within the tolerance. */
  readonly within: number;
  /** Number of jobs that finished in the record but not in the replay. */
  readonly unfinished: number;
  /**
   * Minimum, maximum and percentiles of the error (replayed minus recorded finishing time) in seconds, or null if no
   * job finished in both.
   */
  readonly errorS: Readonly<Record<'min' | 'p5' | 'p25' | 'p50' | 'p75' | 'p95' | 'max', number>> | null;
  /** Jobs compared and within the tolerance, by job class. */
  readonly byClass: Readonly<Record<string, { readonly jobs: number; readonly within: number }>>;
}

/** Returns the recorded outcomes that a replay can be compared with: jobs done, and entirely inside the recording. */
export const comparableOutcomes = (scenario: Scenario, recorded: ReadonlyMap<string, JobOutcome>): JobOutcome[] =>
  scenario.jobs.flatMap(({ spec, cut }) => {
    const outcome = recorded.get(spec.id);
    return cut === null && outcome?.phase === 'done' ? [outcome] : [];
  });

/** Compares the finishing times of a replay with the recorded ones. */
export function replayErrors(
  scenario: Scenario,
  recorded: ReadonlyMap<string, JobOutcome>,
  played: ReadonlyMap<string, JobOutcome>,
): ReplayErrors {
  const errors: number[] = [];
  const byClass: Record<string, { jobs: number; within: number }> = {};
  let [jobs, within, unfinished] = [0, 0, 0];
  for (const { id, spec, submittedS, finishedS } of comparableOutcomes(scenario, recorded)) {
    if (finishedS === null) continue;
    const classErrors = (byClass[spec.jobClass] ??= { jobs: 0, within: 0 });
    jobs += 1;
    classErrors.jobs += 1;
    const replayedS = played.get(id)?.finishedS ?? null;
    if (replayedS === null) {
      unfinished += 1;
      continue;
    }
    errors.push(replayedS - finishedS);
    if (Math.abs(replayedS - finishedS) > toleranceS(finishedS - submittedS)) continue;
    within += 1;
    classErrors.within += 1;
  }
  errors.sort((a, b) => a - b);
  const at = (p: number): number => Math.round(quantileSorted(errors, p) * 100) / 100;
  const errorS =
    errors.length === 0
      ? null
      : { min: at(0), p5: at(0.05), p25: at(0.25), p50: at(0.5), p75: at(0.75), p95: at(0.95), max: at(1) };
  return { jobs, within, unfinished, errorS, byClass };
}
