import { median, quantileSorted } from 'simple-statistics';
import type { JobOutcome, Scenario } from '../night/index.js';
import type { ReplayResult, ReplayOptions, TimelineSample } from '../replay/index.js';
import { summarizeOutcomes, type OutcomeSummary } from './outcome-summary.js';
import { toleranceS } from './replay-errors.js';

/** A way of replaying a scenario with a seed. */
export type ReplayEngine = (scenario: Scenario, seed: number, options?: ReplayOptions) => Promise<ReplayResult>;

/** The predicted effect of a plan on one job. All times are in seconds since the night began. */
export interface JobForecast {
  readonly id: string;
  readonly class: string;
  readonly team: string;
  readonly submittedS: number;
  /** Recorded finishing time, or null if the job did not finish in the record. */
  readonly recordedS: number | null;
  /**
   * Median finishing time over the replays without the plan, which follow the record up to the time at which the plan
   * first makes a difference. Null if the job did not finish.
   */
  readonly unchangedS: number | null;
  /** Median finishing time over the replays with the plan, or null if the job did not finish. */
  readonly plannedS: number | null;
  /** 90 % prediction interval of the finishing time, based on the errors of the unchanged replay against the record. */
  readonly intervalS: readonly [number, number] | null;
  /** Delay in seconds against the unchanged replay; null if the job does not finish in one of the two. */
  readonly laterS: number | null;
  /** The difference exceeds both the tolerance and the variation between seeds. */
  readonly differs: boolean;
  /** Some run times of the job were not recorded and are drawn from a model. */
  readonly estimated: boolean;
  /** How the plan changed the job, or null if it did not. */
  readonly changed: string | null;
  /** Causes that determined the finishing time with the plan. */
  readonly decided: readonly string[];
  /** Causes that determined the finishing time in the record. */
  readonly decidedUnchanged: readonly string[];
}

/** The predicted effect of a plan on a recorded night. */
export interface Forecast {
  readonly plan: string;
  readonly seeds: readonly number[];
  /** Time at which the plan first makes a difference, in seconds since the night began; null means never. */
  readonly fromS: number | null;
  readonly jobs: readonly JobForecast[];
  /** Summaries by job class: of the record, of the unchanged replay and of the replay with the plan. */
  readonly classes: Readonly<Record<'recorded' | 'unchanged' | 'planned', ReadonlyMap<string, OutcomeSummary>>>;
  /** The same summaries by team. */
  readonly teams: Readonly<Record<'recorded' | 'unchanged' | 'planned', ReadonlyMap<string, OutcomeSummary>>>;
  /** Mean cost of machines over the replays. */
  readonly money: { readonly unchanged: number; readonly planned: number };
  /** Running and waiting tasks and machines over time, for the first seed. */
  readonly timelines: { readonly unchanged: readonly TimelineSample[]; readonly planned: readonly TimelineSample[] };
}

const INTERVAL_LOW_QUANTILE = 0.05;
const INTERVAL_HIGH_QUANTILE = 0.95;
/** Fewest residuals from which the error distribution of a class, or of all classes together, is used. */
const MIN_RESIDUALS = 8;

const finishTimesS = (runs: readonly ReplayResult[], id: string): number[] =>
  runs.flatMap((run) => run.outcomes.get(id)?.finishedS ?? []);
const medianOrNull = (values: readonly number[]): number | null => (values.length > 0 ? median([...values]) : null);

/**
 * Returns a function that gives the residuals for a job class: recorded duration divided by the duration in the
 * unchanged replay. The replay of the plan is expected to have the same errors.
 */
function residualFactors(
  scenario: Scenario,
  recorded: ReadonlyMap<string, JobOutcome>,
  unchanged: readonly ReplayResult[],
): (jobClass: string) => readonly number[] {
  const all: number[] = [];
  const byClass = new Map<string, number[]>();
  for (const { spec, cut } of scenario.jobs) {
    const recordedOutcome = recorded.get(spec.id);
    if (cut !== null || recordedOutcome?.phase !== 'done' || recordedOutcome.finishedS === null) continue;
    if (recordedOutcome.finishedS < scenario.divergesAtS) continue;
    for (const { outcomes } of unchanged) {
      const replayed = outcomes.get(spec.id);
      if (!replayed || replayed.finishedS === null) continue;
      const factor =
        Math.max(0.1, recordedOutcome.finishedS - recordedOutcome.submittedS) /
        Math.max(0.1, replayed.finishedS - replayed.submittedS);
      all.push(factor);
      byClass.set(spec.jobClass, [...(byClass.get(spec.jobClass) ?? []), factor]);
    }
  }
  return (jobClass) => {
    const ofClass = byClass.get(jobClass) ?? [];
    if (ofClass.length >= MIN_RESIDUALS) return ofClass;
    // A few jobs don't show the spread of the errors: the interval then reflects the variation between seeds only.
    return all.length >= MIN_RESIDUALS ? all : [];
  };
}

/** Returns the prediction interval of a finishing time in seconds since the night began, or null without any finish. */
function predictionInterval(
  submittedS: number,
  plannedFinishesS: readonly number[],
  factors: readonly number[],
): readonly [number, number] | null {
  if (plannedFinishesS.length === 0) return null;
  const durations = plannedFinishesS.flatMap((finishS) =>
    factors.length === 0 ? [finishS - submittedS] : factors.map((factor) => (finishS - submittedS) * factor),
  );
  durations.sort((a, b) => a - b);
  const [low, high] = [
    quantileSorted(durations, INTERVAL_LOW_QUANTILE),
    quantileSorted(durations, INTERVAL_HIGH_QUANTILE),
  ];
  // The interval is never narrower than the tolerance of a replay against its record. Without this margin, the
  // finishing time of a gang that waits for nothing appeared to be exact to the second.
  return [submittedS + low - toleranceS(low), submittedS + high + toleranceS(high)];
}

/** Whether a delay exceeds the tolerance and the variation between seeds without the plan. */
function isSignificant(laterS: number | null, unchangedFinishesS: readonly number[], durationS: number): boolean {
  if (laterS === null) return true;
  const spreadS = unchangedFinishesS.length > 1 ? Math.max(...unchangedFinishesS) - Math.min(...unchangedFinishesS) : 0;
  return Math.abs(laterS) > Math.max(toleranceS(durationS), spreadS / 2);
}

/**
 * Replays the night with and without a plan over the same seeds, and compares the results job by job. `onProgress` is
 * called with the completed share, from 0 to 1.
 */
export async function forecast(
  name: string,
  base: Scenario,
  planned: Scenario,
  recorded: ReadonlyMap<string, JobOutcome>,
  engine: ReplayEngine,
  seeds: readonly number[],
  onProgress: (share: number) => void = () => undefined,
): Promise<Forecast> {
  const hasNoEffect = !Number.isFinite(planned.divergesAtS);
  const unchangedScenario: Scenario = { ...base, divergesAtS: planned.divergesAtS };
  const [unchangedRuns, plannedRuns]: [ReplayResult[], ReplayResult[]] = [[], []];
  for (const [i, seed] of seeds.entries()) {
    unchangedRuns.push(await engine(unchangedScenario, seed));
    onProgress((i + 0.5) / seeds.length);
    plannedRuns.push(hasNoEffect ? (unchangedRuns[i] as ReplayResult) : await engine(planned, seed));
    onProgress((i + 1) / seeds.length);
  }
  const factors = residualFactors(unchangedScenario, recorded, unchangedRuns);
  const [firstUnchanged, firstPlanned] = [unchangedRuns[0], plannedRuns[0]];
  if (!firstUnchanged || !firstPlanned) throw new Error('a forecast needs at least one seed');
  const jobs = planned.jobs.map((job): JobForecast => {
    const { spec, atS, workS, changed } = job;
    const [unchangedFinishesS, plannedFinishesS] = [
      finishTimesS(unchangedRuns, spec.id),
      finishTimesS(plannedRuns, spec.id),
    ];
    const [unchangedS, plannedS] = [medianOrNull(unchangedFinishesS), medianOrNull(plannedFinishesS)];
    const recordedJob = recorded.get(spec.id);
    const laterS = unchangedS === null || plannedS === null ? null : plannedS - unchangedS;
    const finishes = unchangedS !== null || plannedS !== null;
    const expectedEntries = spec.kind === 'gang' ? 1 : spec.tasks;
    return {
      ...{
        id: spec.id,
        class: spec.jobClass,
        team: spec.team,
        submittedS: atS,
        recordedS: recordedJob?.finishedS ?? null,
      },
      ...{ unchangedS, plannedS, laterS, changed },
      intervalS: spec.kind === 'service' ? null : predictionInterval(atS, plannedFinishesS, factors(spec.jobClass)),
      differs:
        !hasNoEffect &&
        spec.kind !== 'service' &&
        finishes &&
        isSignificant(laterS, unchangedFinishesS, (unchangedS ?? atS) - atS),
      estimated: spec.kind !== 'service' && (changed === 'added' || workS.size < expectedEntries),
      decided: firstPlanned.outcomes.get(spec.id)?.decided ?? ['it never started'],
      decidedUnchanged: recordedJob?.decided ?? [],
    };
  });
  const byClass = (outcomes: Iterable<JobOutcome>): ReadonlyMap<string, OutcomeSummary> =>
    summarizeOutcomes(outcomes, ({ spec }) => spec.jobClass, base.facts, base.lengthS);
  const byTeam = (outcomes: Iterable<JobOutcome>): ReadonlyMap<string, OutcomeSummary> =>
    summarizeOutcomes(outcomes, ({ spec }) => spec.team, base.facts, base.lengthS);
  const [unchangedOutcomes, plannedOutcomes] = [firstUnchanged.outcomes.values(), firstPlanned.outcomes.values()].map(
    (values) => [...values],
  );
  const meanCost = (runs: readonly ReplayResult[]): number =>
    runs.reduce((sum, run) => sum + run.money, 0) / runs.length;
  return {
    ...{ plan: name, seeds, fromS: hasNoEffect ? null : planned.divergesAtS, jobs },
    classes: {
      recorded: byClass(recorded.values()),
      unchanged: byClass(unchangedOutcomes ?? []),
      planned: byClass(plannedOutcomes ?? []),
    },
    teams: {
      recorded: byTeam(recorded.values()),
      unchanged: byTeam(unchangedOutcomes ?? []),
      planned: byTeam(plannedOutcomes ?? []),
    },
    money: { unchanged: meanCost(unchangedRuns), planned: meanCost(plannedRuns) },
    timelines: { unchanged: firstUnchanged.timeline, planned: firstPlanned.timeline },
  };
}
