import { Luck, type Day, Region } from '../../../region/src/index.js';
import { MemoryFiles, readTrace } from '../../../trace/src/index.js';
import { fared, forecast, replayErrors, type Fared, type ReplayErrors } from '../answer/index.js';
import { outcomesOf, readNight, scenarioOf, type Night, type Outcome, type Scenario } from '../night/index.js';
import { applyPlan, readPlan } from '../plan/index.js';
import { playDecisions, playWhole, recordRegion } from '../replay/index.js';

/** Records a day of the simulated region, in memory. */
export async function recordedNight(day: Day, seed: number): Promise<Night> {
  const region = new Region({ day, seed, trailEvents: 400_000 });
  const files = new MemoryFiles();
  await recordRegion(region, files, () => region.play(day.duration_s));
  region.close();
  return readNight(await readTrace(files));
}

export interface Reproduced {
  readonly day: string;
  readonly seed: number;
  /** Decisions as recorded; decided anew; decided anew by whole controllers. */
  readonly followed: ReplayErrors;
  readonly decisions: ReplayErrors;
  readonly whole: ReplayErrors;
  /** The largest difference of any class's share within any of its aims, in points of a hundred, each way. */
  readonly aimsOff: Readonly<Record<'followed' | 'decisions' | 'whole', number>>;
}

type Outcomes = ReadonlyMap<string, Outcome>;

function aimsOffBy(recorded: Outcomes, played: Outcomes, { facts, lengthS }: Scenario): number {
  const byClass = (outcomes: Outcomes): ReadonlyMap<string, Fared> =>
    fared(outcomes.values(), ({ spec }) => spec.jobClass, facts, lengthS);
  const then = byClass(played);
  let most = 0;
  for (const [name, { aims }] of byClass(recorded))
    for (const [aim, share] of Object.entries(aims))
      most = Math.max(most, Math.abs(share - (then.get(name)?.aims[aim] ?? 0)) * 100);
  return Math.round(most * 10) / 10;
}

/** How far each way of replaying a night unchanged is off the record. */
export async function reproduce(day: Day, seed: number): Promise<Reproduced> {
  const night = await recordedNight(day, seed);
  const scenario = scenarioOf(night);
  const recorded = outcomesOf(night);
  const free = { ...scenario, freeFromS: 0 };
  const runs = {
    followed: (await playDecisions(scenario, seed + 1)).outcomes,
    decisions: (await playDecisions(free, seed + 1)).outcomes,
    whole: (await playWhole(free, seed + 1)).outcomes,
  };
  const errors = (played: Outcomes): ReplayErrors => replayErrors(scenario, recorded, played);
  const off = (played: Outcomes): number => aimsOffBy(recorded, played, scenario);
  return {
    ...{ day: day.name, seed, followed: errors(runs.followed), decisions: errors(runs.decisions) },
    whole: errors(runs.whole),
    aimsOff: { followed: off(runs.followed), decisions: off(runs.decisions), whole: off(runs.whole) },
  };
}

export interface Predicted {
  readonly day: string;
  readonly seed: number;
  readonly plan: string;
  readonly jobs: number;
  /** The share whose finish, with the plan played by whole controllers, lies in the stated interval of 90 %. */
  readonly inInterval: number;
  /** By class: jobs, that share, and the median of the error in seconds. */
  readonly byClass: Readonly<Record<string, { jobs: number; inside: number; medianErrorS: number }>>;
}

/** A forecast by the decisions alone, against the region played by whole controllers with that plan. */
export async function predict(day: Day, seed: number, toml: string, seeds: readonly number[]): Promise<Predicted> {
  const night = await recordedNight(day, seed);
  const base = scenarioOf(night);
  const plan = readPlan(toml, 'plan');
  const planned = applyPlan(base, plan);
  const told = await forecast(plan.name, base, planned, outcomesOf(night), playDecisions, seeds);
  const truth = await playWhole(planned, seed);
  const groups = new Map<string, { jobs: number; inside: number; errors: number[] }>();
  let [jobs, inside] = [0, 0];
  for (const job of told.jobs) {
    const outcome = truth.outcomes.get(job.id);
    const cut = planned.jobs.find(({ spec }) => spec.id === job.id)?.cut;
    if (cut !== null || outcome?.phase !== 'done' || outcome.finishedS === null || !job.intervalS) continue;
    const group = groups.get(job.class) ?? { jobs: 0, inside: 0, errors: [] };
    groups.set(job.class, group);
    const held = outcome.finishedS >= job.intervalS[0] && outcome.finishedS <= job.intervalS[1];
    jobs += 1;
    group.jobs += 1;
    if (held) [inside, group.inside] = [inside + 1, group.inside + 1];
    group.errors.push((job.plannedS ?? 0) - outcome.finishedS);
  }
  const byClass: Record<string, { jobs: number; inside: number; medianErrorS: number }> = {};
  for (const [name, { jobs: count, inside: held, errors }] of groups) {
    errors.sort((a, b) => a - b);
    const middle = errors[errors.length >> 1] ?? 0;
    byClass[name] = { jobs: count, inside: held / count, medianErrorS: Math.round(middle * 10) / 10 };
  }
  return { day: day.name, seed, plan: plan.name, jobs, inInterval: jobs > 0 ? inside / jobs : 0, byClass };
}

export interface ReplaySpeed {
  readonly machines: number;
  readonly nightS: number;
  readonly tasks: number;
  readonly engine: string;
  /** Seconds of the night replayed in a second. */
  readonly times: number;
  readonly rssMb: number;
}

/** How fast a night of a fleet is replayed, all decisions anew. */
export async function replaySpeed(
  day: Day,
  machines: number,
  clock: () => number,
  rss: () => number,
  withWhole: boolean,
): Promise<readonly ReplaySpeed[]> {
  const night = await recordedNight(day, day.seed);
  const scenario = { ...scenarioOf(night), freeFromS: 0 };
  const tasks = scenario.jobs.reduce((sum, { spec }) => sum + spec.tasks, 0);
  const measured: ReplaySpeed[] = [];
  const engines = { decisions: playDecisions, ...(withWhole ? { whole: playWhole } : {}) };
  for (const [engine, play] of Object.entries(engines)) {
    const began = clock();
    await play(scenario, new Luck(day.seed, engine).whole(1000));
    const tookS = (clock() - began) / 1000;
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
