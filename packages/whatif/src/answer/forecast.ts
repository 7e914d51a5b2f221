import { median, quantileSorted } from 'simple-statistics';
import type { Outcome, Scenario } from '../night/index.js';
import type { Played, ReplayOptions, Standing } from '../replay/index.js';
import { fared, type Fared } from './classes.js';
import { toleranceS } from './errors.js';

export type Engine = (scenario: Scenario, seed: number, options?: ReplayOptions) => Promise<Played>;

/** What a plan would have meant for one job. Times in seconds since the night began. */
export interface JobForecast {
  readonly id: string;
  readonly class: string;
  readonly team: string;
  readonly submittedS: number;
  /** As recorded; null: not seen. */
  readonly recordedS: number | null;
  /** Replayed unchanged from the moment on at which the plan makes its first difference. */
  readonly unchangedS: number | null;
  readonly plannedS: number | null;
  /** Nine times in ten it would lie in here, by how far the unchanged replay is off the record. */
  readonly intervalS: readonly [number, number] | null;
  /** Later by so much than unchanged; null: in one of them it does not end. */
  readonly laterS: number | null;
  /** The plan makes a difference beyond the tolerance and beyond what luck alone does. */
  readonly differs: boolean;
  /** Some of its run time was never seen, and is drawn. */
  readonly estimated: boolean;
  readonly changed: string | null;
  readonly decided: readonly string[];
  readonly decidedUnchanged: readonly string[];
}

export interface Forecast {
  readonly plan: string;
  readonly seeds: readonly number[];
  /** When the plan makes its first difference; null: never. */
  readonly fromS: number | null;
  readonly jobs: readonly JobForecast[];
  /** Recorded, replayed unchanged, planned. */
  readonly classes: Readonly<Record<'recorded' | 'unchanged' | 'planned', ReadonlyMap<string, Fared>>>;
  readonly teams: Readonly<Record<'recorded' | 'unchanged' | 'planned', ReadonlyMap<string, Fared>>>;
  readonly money: { readonly unchanged: number; readonly planned: number };
  readonly timelines: { readonly unchanged: readonly Standing[]; readonly planned: readonly Standing[] };
}

const LOW = 0.05;
const HIGH = 0.95;
/** Fewer residuals than this say nothing of a class by itself. */
const FEW = 8;

const finishes = (runs: readonly Played[], id: string): number[] =>
  runs.flatMap((run) => run.outcomes.get(id)?.finishedS ?? []);
const middle = (values: readonly number[]): number | null => (values.length > 0 ? median([...values]) : null);

/**
 * By class, how much longer or shorter jobs truly took than the unchanged replay says, as a factor: what is off
 * there will be off in the plan's replay, too.
 */
function residuals(
  scenario: Scenario,
  recorded: ReadonlyMap<string, Outcome>,
  unchanged: readonly Played[],
): (jobClass: string) => readonly number[] {
  const all: number[] = [];
  const byClass = new Map<string, number[]>();
  for (const { spec, cut } of scenario.jobs) {
    const truth = recorded.get(spec.id);
    if (cut !== null || truth?.phase !== 'done' || truth.finishedS === null) continue;
    if (truth.finishedS < scenario.freeFromS) continue;
    for (const { outcomes } of unchanged) {
      const then = outcomes.get(spec.id);
      if (!then || then.finishedS === null) continue;
      const factor =
        Math.max(0.1, truth.finishedS - truth.submittedS) / Math.max(0.1, then.finishedS - then.submittedS);
      all.push(factor);
      byClass.set(spec.jobClass, [...(byClass.get(spec.jobClass) ?? []), factor]);
    }
  }
  return (jobClass) => {
    const own = byClass.get(jobClass) ?? [];
    if (own.length >= FEW) return own;
    // Of a handful of jobs no spread can be known: what the seeds alone say is told.
    return all.length >= FEW ? all : [];
  };
}

function intervalOf(
  submittedS: number,
  planned: readonly number[],
  factors: readonly number[],
): readonly [number, number] | null {
  if (planned.length === 0) return null;
  const durations = planned.flatMap((finishS) =>
    factors.length === 0 ? [finishS - submittedS] : factors.map((factor) => (finishS - submittedS) * factor),
  );
  durations.sort((a, b) => a - b);
  const [low, high] = [quantileSorted(durations, LOW), quantileSorted(durations, HIGH)];
  // Never closer than a replay is to its record: a gang that waits for nobody looked as if it ended to the second.
  return [submittedS + low - toleranceS(low), submittedS + high + toleranceS(high)];
}

/** Does a difference stand out from what changes between seeds without any plan? */
function standsOut(laterS: number | null, unchanged: readonly number[], durationS: number): boolean {
  if (laterS === null) return true;
  const spreadS = unchanged.length > 1 ? Math.max(...unchanged) - Math.min(...unchanged) : 0;
  return Math.abs(laterS) > Math.max(toleranceS(durationS), spreadS / 2);
}

/** Replays the night with and without a plan over the same seeds, and says job by job what the plan means. */
export async function forecast(
  name: string,
  base: Scenario,
  planned: Scenario,
  recorded: ReadonlyMap<string, Outcome>,
  engine: Engine,
  seeds: readonly number[],
  moved: (share: number) => void = () => undefined,
): Promise<Forecast> {
  const never = !Number.isFinite(planned.freeFromS);
  const unchangedScenario: Scenario = { ...base, freeFromS: planned.freeFromS };
  const [unchangedRuns, plannedRuns]: [Played[], Played[]] = [[], []];
  for (const [i, seed] of seeds.entries()) {
    unchangedRuns.push(await engine(unchangedScenario, seed));
    moved((i + 0.5) / seeds.length);
    plannedRuns.push(never ? (unchangedRuns[i] as Played) : await engine(planned, seed));
    moved((i + 1) / seeds.length);
  }
  const factors = residuals(unchangedScenario, recorded, unchangedRuns);
  const [firstUnchanged, firstPlanned] = [unchangedRuns[0], plannedRuns[0]];
  if (!firstUnchanged || !firstPlanned) throw new Error('a forecast takes at least one seed');
  const jobs = planned.jobs.map((job): JobForecast => {
    const { spec, atS, work, changed } = job;
    const [before, after] = [finishes(unchangedRuns, spec.id), finishes(plannedRuns, spec.id)];
    const [unchangedS, plannedS] = [middle(before), middle(after)];
    const known = recorded.get(spec.id);
    const laterS = unchangedS === null || plannedS === null ? null : plannedS - unchangedS;
    const moves = unchangedS !== null || plannedS !== null;
    const tasks = spec.kind === 'gang' ? 1 : spec.tasks;
    return {
      ...{ id: spec.id, class: spec.jobClass, team: spec.team, submittedS: atS, recordedS: known?.finishedS ?? null },
      ...{ unchangedS, plannedS, laterS, changed },
      intervalS: spec.kind === 'service' ? null : intervalOf(atS, after, factors(spec.jobClass)),
      differs: !never && spec.kind !== 'service' && moves && standsOut(laterS, before, (unchangedS ?? atS) - atS),
      estimated: spec.kind !== 'service' && (changed === 'added' || work.size < tasks),
      decided: firstPlanned.outcomes.get(spec.id)?.decided ?? ['it never started'],
      decidedUnchanged: known?.decided ?? [],
    };
  });
  const byClass = (outcomes: Iterable<Outcome>): ReadonlyMap<string, Fared> =>
    fared(outcomes, ({ spec }) => spec.jobClass, base.facts, base.lengthS);
  const byTeam = (outcomes: Iterable<Outcome>): ReadonlyMap<string, Fared> =>
    fared(outcomes, ({ spec }) => spec.team, base.facts, base.lengthS);
  const [u, p] = [firstUnchanged.outcomes.values(), firstPlanned.outcomes.values()].map((values) => [...values]);
  const mean = (runs: readonly Played[]): number => runs.reduce((sum, run) => sum + run.money, 0) / runs.length;
  return {
    ...{ plan: name, seeds, fromS: never ? null : planned.freeFromS, jobs },
    classes: { recorded: byClass(recorded.values()), unchanged: byClass(u ?? []), planned: byClass(p ?? []) },
    teams: { recorded: byTeam(recorded.values()), unchanged: byTeam(u ?? []), planned: byTeam(p ?? []) },
    money: { unchanged: mean(unchangedRuns), planned: mean(plannedRuns) },
    timelines: { unchanged: firstUnchanged.timeline, planned: firstPlanned.timeline },
  };
}
