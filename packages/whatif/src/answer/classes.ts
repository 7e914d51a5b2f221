import { build } from 'hdr-histogram-js';
import type { NightFacts, Outcome } from '../night/index.js';

/** How one class, or one team, fared in one night. */
export interface Fared {
  readonly jobs: number;
  readonly done: number;
  readonly finishS: { readonly p50: number; readonly p95: number } | null;
  readonly waitS: { readonly p50: number; readonly p95: number } | null;
  readonly restarts: number;
  /** By what the aim is called: the share that met it. */
  readonly aims: Readonly<Record<string, number>>;
}

const quantiles = (seconds: readonly number[]): { readonly p50: number; readonly p95: number } | null => {
  if (seconds.length === 0) return null;
  const h = build({ lowestDiscernibleValue: 1, highestTrackableValue: 864_000_000, numberOfSignificantValueDigits: 3 });
  for (const s of seconds) h.recordValue(Math.max(1, Math.round(s * 1000)));
  const at = (p: number): number => Math.round(h.getValueAtPercentile(p) / 100) / 10;
  return { p50: at(50), p95: at(95) };
};

function aimsOf(
  outcomes: readonly Outcome[],
  objectives: NightFacts['objectives'],
  endS: number,
): Record<string, number> {
  const aims: Record<string, number> = {};
  for (const { kind, jobClass, withinS } of objectives) {
    const own = outcomes.filter(({ spec }) => spec.jobClass === jobClass);
    let [met, counted] = [0, 0];
    for (const { spec, submittedS, finishedS, phase, waitsS } of own) {
      const limitS = kind === 'deadline' ? spec.deadlineS : withinS;
      // Whose time was not up when the night ended, or who was taken back before, says nothing.
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
    if (counted > 0) aims[kind === 'deadline' ? 'deadline' : `${kind} ${withinS} s`] = met / counted;
  }
  return aims;
}

/** All outcomes, put together by what `key` gives. */
export function fared(
  outcomes: Iterable<Outcome>,
  key: (outcome: Outcome) => string,
  facts: NightFacts,
  endS: number,
): Map<string, Fared> {
  const groups = new Map<string, Outcome[]>();
  for (const outcome of outcomes) {
    const list = groups.get(key(outcome));
    if (list) list.push(outcome);
    else groups.set(key(outcome), [outcome]);
  }
  const result = new Map<string, Fared>();
  for (const [name, list] of [...groups].sort(([a], [b]) => (a < b ? -1 : 1))) {
    const done = list.filter(({ phase }) => phase === 'done');
    result.set(name, {
      ...{ jobs: list.length, done: done.length, restarts: list.reduce((sum, o) => sum + o.restarts, 0) },
      finishS: quantiles(done.map(({ finishedS, submittedS }) => (finishedS ?? 0) - submittedS)),
      waitS: quantiles(list.flatMap(({ waitsS }) => waitsS)),
      aims: aimsOf(list, facts.objectives, endS),
    });
  }
  return result;
}
