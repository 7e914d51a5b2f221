import { build } from 'hdr-histogram-js';
import type { PlatformFacts, JobOutcome } from '../night/index.js';

/** Summary of the jobs of one class or one team in one night. */
export interface OutcomeSummary {
  readonly jobs: number;
  /** Number of jobs that were done when the night ended. */
  readonly done: number;
  /** Seconds from submission to completion, over the jobs done. */
  readonly finishS: { readonly p50: number; readonly p95: number } | null;
  /** Seconds from submission to the first start, over all tasks that started. */
  readonly waitS: { readonly p50: number; readonly p95: number } | null;
  readonly restarts: number;
  /** Share of jobs or tasks that met each objective, by the name of the objective. */
  readonly aims: Readonly<Record<string, number>>;
}

/** Returns the 50th and 95th percentile in seconds, rounded to a tenth, or null without values. */
const percentilesS = (seconds: readonly number[]): { readonly p50: number; readonly p95: number } | null => {
  if (seconds.length === 0) return null;
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 864_000_000,
    numberOfSignificantValueDigits: 3,
  });
  for (const s of seconds) histogram.recordValue(Math.max(1, Math.round(s * 1000)));
  const at = (p: number): number => Math.round(histogram.getValueAtPercentile(p) / 100) / 10;
  return { p50: at(50), p95: at(95) };
};

/**
 * Returns the share that met each objective: of tasks for a `wait` objective, of jobs for `finished` and `deadline`.
 * Objectives without a job or task to count are left out.
 */
function objectiveShares(
  outcomes: readonly JobOutcome[],
  objectives: PlatformFacts['objectives'],
  endS: number,
): Record<string, number> {
  const shares: Record<string, number> = {};
  for (const { kind, jobClass, withinS } of objectives) {
    const classOutcomes = outcomes.filter(({ spec }) => spec.jobClass === jobClass);
    let [met, counted] = [0, 0];
    for (const { spec, submittedS, finishedS, phase, waitsS } of classOutcomes) {
      const limitS = kind === 'deadline' ? spec.deadlineS : withinS;
      // A job is not counted if its limit lies after the end of the night, or if it was cancelled before its limit.
      if (limitS === null || submittedS + limitS > endS) continue;
      if (phase === 'cancelled' && (finishedS ?? 0) < submittedS + limitS) continue;
      if (kind === 'wait') {
        counted += spec.tasks;
        met += Math.min(spec.tasks, waitsS.filter((s) => s <= limitS).length);
      } else if (kind === 'finished' || kind === 'deadline') {
        counted += 1;
        if (phase === 'done' && finishedS !== null && finishedS <= submittedS + limitS) met += 1;
      }
    }
    if (counted > 0) shares[kind === 'deadline' ? 'deadline' : `${kind} ${withinS} s`] = met / counted;
  }
  return shares;
}

/** Groups outcomes by `key` and summarizes each group. `endS` is the end of the night. */
export function summarizeOutcomes(
  outcomes: Iterable<JobOutcome>,
  key: (outcome: JobOutcome) => string,
  facts: PlatformFacts,
  endS: number,
): Map<string, OutcomeSummary> {
  const groups = new Map<string, JobOutcome[]>();
  for (const outcome of outcomes) {
    const list = groups.get(key(outcome));
    if (list) list.push(outcome);
    else groups.set(key(outcome), [outcome]);
  }
  const result = new Map<string, OutcomeSummary>();
  for (const [name, list] of [...groups].sort(([a], [b]) => (a < b ? -1 : 1))) {
    const done = list.filter(({ phase }) => phase === 'done');
    result.set(name, {
      ...{ jobs: list.length, done: done.length, restarts: list.reduce((sum, o) => sum + o.restarts, 0) },
      finishS: percentilesS(done.map(({ finishedS, submittedS }) => (finishedS ?? 0) - submittedS)),
      waitS: percentilesS(list.flatMap(({ waitsS }) => waitsS)),
      aims: objectiveShares(list, facts.objectives, endS),
    });
  }
  return result;
}
