import { quantileSorted } from 'simple-statistics';
import type { Outcome, Scenario } from '../night/index.js';

/** Within what a replayed finish counts as the recorded one: seconds, or a share of the job's time if that is more. */
export const TOLERANCE = { s: 3, share: 0.03 } as const;

export const toleranceS = (durationS: number): number => Math.max(TOLERANCE.s, TOLERANCE.share * durationS);

/** How far a replay's finishing times lie from the recorded ones. */
export interface ReplayErrors {
  readonly jobs: number;
  readonly within: number;
  /** Over in the record, not in the replay. */
  readonly unfinished: number;
  /** Seconds at the 5th, 25th, 50th, 75th, 95th percentile and the ends. */
  readonly errorS: Readonly<Record<'min' | 'p5' | 'p25' | 'p50' | 'p75' | 'p95' | 'max', number>> | null;
  readonly byClass: Readonly<Record<string, { readonly jobs: number; readonly within: number }>>;
}

/** Jobs that count: done in the record, and wholly inside it. */
export const comparable = (scenario: Scenario, recorded: ReadonlyMap<string, Outcome>): Outcome[] =>
  scenario.jobs.flatMap(({ spec, cut }) => {
    const outcome = recorded.get(spec.id);
    return cut === null && outcome?.phase === 'done' ? [outcome] : [];
  });

export function replayErrors(
  scenario: Scenario,
  recorded: ReadonlyMap<string, Outcome>,
  played: ReadonlyMap<string, Outcome>,
): ReplayErrors {
  const errors: number[] = [];
  const byClass: Record<string, { jobs: number; within: number }> = {};
  let [jobs, within, unfinished] = [0, 0, 0];
  for (const { id, spec, submittedS, finishedS } of comparable(scenario, recorded)) {
    if (finishedS === null) continue;
    const c = (byClass[spec.jobClass] ??= { jobs: 0, within: 0 });
    jobs += 1;
    c.jobs += 1;
    const then = played.get(id)?.finishedS ?? null;
    if (then === null) {
      unfinished += 1;
      continue;
    }
    errors.push(then - finishedS);
    if (Math.abs(then - finishedS) > toleranceS(finishedS - submittedS)) continue;
    within += 1;
    c.within += 1;
  }
  errors.sort((a, b) => a - b);
  const at = (p: number): number => Math.round(quantileSorted(errors, p) * 100) / 100;
  const errorS =
    errors.length === 0
      ? null
      : { min: at(0), p5: at(0.05), p25: at(0.25), p50: at(0.5), p75: at(0.75), p95: at(0.95), max: at(1) };
  return { jobs, within, unfinished, errorS, byClass };
}
