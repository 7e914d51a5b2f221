import { RandomStream, type SimulationScenario, Region } from '../../../region/src/index.js';
import { MemoryFiles, readTrace } from '../../../trace/src/index.js';
import {
  summarizeOutcomes,
  forecast,
  replayErrors,
  type OutcomeSummary,
  type ReplayErrors,
} from '../forecast/index.js';
import { jobOutcomes, readNight, buildScenario, type Night, type JobOutcome, type Scenario } from '../night/index.js';
import { applyPlan, readPlan } from '../plan/index.js';
import { replayWithDecisions, replayWithControllers, recordRegion } from '../replay/index.js';

/** Records a day of the simulated region in memory. */
export async function recordNight(day: SimulationScenario, seed: number): Promise<Night> {
  const region = new Region({ day, seed, trailEvents: 400_000 });
  const files = new MemoryFiles();
  await recordRegion(region, files, () => region.play(day.duration_s));
  region.close();
  return readNight(await readTrace(files));
}

/** How far each way of replaying one night unchanged differs from the record; printed as JSON. */
export interface ReproduceReport {
  readonly day: string;
  readonly seed: number;
  /** Replay with the recorded decisions. */
  readonly followed: ReplayErrors;
  /** Replay with its own decisions, by the decision functions alone. */
  readonly decisions: ReplayErrors;
  /** Replay with its own decisions, by whole controllers. */
  readonly whole: ReplayErrors;
  /**
   * Largest difference between recorded and replayed share of jobs that meet an objective, over all classes and
   * objectives, in percentage points.
   */
  readonly aimsOff: Readonly<Record<'followed' | 'decisions' | 'whole', number>>;
}

type Outcomes = ReadonlyMap<string, JobOutcome>;

/** Computes `aimsOff` for one replay, rounded to a tenth of a percentage point. */
function largestAimDifference(recorded: Outcomes, played: Outcomes, { facts, lengthS }: Scenario): number {
  const byClass = (outcomes: Outcomes): ReadonlyMap<string, OutcomeSummary> =>
    summarizeOutcomes(outcomes.values(), ({ spec }) => spec.jobClass, facts, lengthS);
  const playedClasses = byClass(played);
  let largest = 0;
  for (const [name, { aims }] of byClass(recorded))
    for (const [objective, share] of Object.entries(aims))
      largest = Math.max(largest, Math.abs(share - (playedClasses.get(name)?.aims[objective] ?? 0)) * 100);
  return Math.round(largest * 10) / 10;
}

/** Records a night of a simulated day, replays it unchanged in each way and compares the outcomes with the record. */
export async function reproduce(day: SimulationScenario, seed: number): Promise<ReproduceReport> {
  const night = await recordNight(day, seed);
  const scenario = buildScenario(night);
  const recorded = jobOutcomes(night);
  const free = { ...scenario, divergesAtS: 0 };
  const runs = {
    followed: (await replayWithDecisions(scenario, seed + 1)).outcomes,
    decisions: (await replayWithDecisions(free, seed + 1)).outcomes,
    whole: (await replayWithControllers(free, seed + 1)).outcomes,
  };
  const errors = (played: Outcomes): ReplayErrors => replayErrors(scenario, recorded, played);
  const aimsOffFor = (played: Outcomes): number => largestAimDifference(recorded, played, scenario);
  return {
    ...{ day: day.name, seed, followed: errors(runs.followed), decisions: errors(runs.decisions) },
    whole: errors(runs.whole),
    aimsOff: {
      followed: aimsOffFor(runs.followed),
      decisions: aimsOffFor(runs.decisions),
      whole: aimsOffFor(runs.whole),
    },
  };
}

/** Accuracy of the forecast of one plan; printed as JSON. */
export interface PredictReport {
  readonly day: string;
  readonly seed: number;
  readonly plan: string;
  /** Number of jobs that are compared. */
  readonly jobs: number;
  /** Share of jobs whose finishing time under whole controllers lies in the 90 % interval of the forecast. */
  readonly inInterval: number;
  /** By class: number of jobs, share in the interval, and median error in seconds. */
  readonly byClass: Readonly<Record<string, { jobs: number; inside: number; medianErrorS: number }>>;
}

/** Compares a forecast by the decision functions alone with a run of whole controllers with the same plan. */
export async function predict(
  day: SimulationScenario,
  seed: number,
  toml: string,
  seeds: readonly number[],
): Promise<PredictReport> {
  const night = await recordNight(day, seed);
  const base = buildScenario(night);
  const plan = readPlan(toml, 'plan');
  const planned = applyPlan(base, plan);
  const result = await forecast(plan.name, base, planned, jobOutcomes(night), replayWithDecisions, seeds);
  const simulated = await replayWithControllers(planned, seed);
  const groups = new Map<string, { jobs: number; inside: number; errors: number[] }>();
  let [jobs, inside] = [0, 0];
  for (const job of result.jobs) {
    const outcome = simulated.outcomes.get(job.id);
    const cut = planned.jobs.find(({ spec }) => spec.id === job.id)?.cut;
    if (cut !== null || outcome?.phase !== 'done' || outcome.finishedS === null || !job.intervalS) continue;
    const group = groups.get(job.class) ?? { jobs: 0, inside: 0, errors: [] };
    groups.set(job.class, group);
    const isInside = outcome.finishedS >= job.intervalS[0] && outcome.finishedS <= job.intervalS[1];
    jobs += 1;
    group.jobs += 1;
    if (isInside) [inside, group.inside] = [inside + 1, group.inside + 1];
    group.errors.push((job.plannedS ?? 0) - outcome.finishedS);
  }
  const byClass: Record<string, { jobs: number; inside: number; medianErrorS: number }> = {};
  for (const [name, { jobs: count, inside: insideCount, errors }] of groups) {
    errors.sort((a, b) => a - b);
    const median = errors[errors.length >> 1] ?? 0;
    byClass[name] = { jobs: count, inside: insideCount / count, medianErrorS: Math.round(median * 10) / 10 };
  }
  return { day: day.name, seed, plan: plan.name, jobs, inInterval: jobs > 0 ? inside / jobs : 0, byClass };
}

/** Speed and memory use of replaying one night; printed as JSON. */
export interface ReplaySpeed {
  readonly machines: number;
  /** Length of the night. */
  readonly nightS: number;
  readonly tasks: number;
  readonly engine: string;
  /** Seconds of the night that are replayed in one second. */
  readonly times: number;
  /** Resident memory of the process after the replay. */
  readonly rssMb: number;
}

/** Measures the speed of replaying a night of a fleet with the replay's own decisions. */
export async function replaySpeed(
  day: SimulationScenario,
  machines: number,
  clock: () => number,
  rss: () => number,
  withWhole: boolean,
): Promise<readonly ReplaySpeed[]> {
  const night = await recordNight(day, day.seed);
  const scenario = { ...buildScenario(night), divergesAtS: 0 };
  const tasks = scenario.jobs.reduce((sum, { spec }) => sum + spec.tasks, 0);
  const measured: ReplaySpeed[] = [];
  const engines = { decisions: replayWithDecisions, ...(withWhole ? { whole: replayWithControllers } : {}) };
  for (const [engine, play] of Object.entries(engines)) {
    const startedAtMs = clock();
    await play(scenario, new RandomStream(day.seed, engine).integerBelow(1000));
    const tookS = (clock() - startedAtMs) / 1000;
    const rssMb = Math.round(rss() / 1024 / 1024);
    measured.push({
      machines,
      nightS: Math.round(night.lengthS),
      tasks,
      engine,
      times: Math.round(night.lengthS / tookS),
      rssMb,
    });
  }
  return measured;
}
