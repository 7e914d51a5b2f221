import { linearRegression, linearRegressionLine, rSquared } from 'simple-statistics';
import { scaledDay, type Day, type DayClass } from '../day/index.js';
import type { ScaleResult } from './run.js';

/** What is varied, one at a time, while everything else stays. */
export const DIMENSIONS = ['size', 'workers', 'tasks', 'starts', 'jobs', 'teams', 'controllers', 'changes'] as const;
export type Dimension = (typeof DIMENSIONS)[number];

/** One run of a dimension: what was asked for, and with what day. */
export interface CapacityRun {
  readonly dimension: Dimension;
  /** Of the full size, 1: all of it. */
  readonly part: number;
  readonly day: Day;
  readonly changesPerMinute: number;
}

/** Sizes that are fitted, and the full one that they predict. */
export const FITTED = [0.125, 0.25, 0.375, 0.5] as const;
export const FULL = 1;

/** What the whole plan has of each. */
const FULL_CHANGES_PER_MINUTE = 240;
const FULL_SERVICE_TASKS = 16_000;
const FULL_STARTS_PER_S = 150;
const FULL_JOBS_PER_S = 3;
const FULL_TEAMS = 52;
const FULL_CONTROLLERS = 7;

/** What is not varied: the load of an eighth on a quarter of the machines. */
const FIXED_MACHINES = 0.25;
const FIXED_LOAD = 0.125;
const FIXED_JOBS_PER_S = 1;
const FIXED_STARTS_PER_S = 30;
const SERVICE_TASKS = 64;
const SHORT_RUN = { median: 8, p95: 10, max: 12 } as const;
const USUAL_CHANGES_PER_MINUTE = 12;

const withClass = (day: Day, name: string, change: (c: DayClass) => DayClass): Day => ({
  ...day,
  classes: day.classes.map((c) => (c.name === name ? change(c) : c)),
});

/** The machines of one part of the day, with the load of another. */
function machinesAndLoad(day: Day, machines: number, load: number): Day {
  const { classes, pipelines } = scaledDay(day, load);
  return { ...scaledDay(day, machines), classes, pipelines, teams: day.teams };
}

/** Arrays that come so often, with so many short tasks a second together, instead of the day's own. */
function steadyArrays(day: Day, jobsPerS: number, startsPerS: number): Day {
  const tasks = Math.max(1, Math.round(startsPerS / jobsPerS));
  return withClass(day, 'batch', (c) => ({
    ...c,
    ...{ tasks: { sizes: [tasks], weights: [1] }, run_s: SHORT_RUN, per_minute: jobsPerS * 60, initial: 0 },
    ...{ cancel_share: 0 },
  }));
}

function dayOf(day: Day, dimension: Dimension, part: number): Day {
  const fixed = machinesAndLoad(day, FIXED_MACHINES, FIXED_LOAD);
  switch (dimension) {
    case 'size':
      return scaledDay(day, part);
    case 'workers':
      return machinesAndLoad(day, part, FIXED_LOAD);
    case 'tasks':
      // Few and large services, so that the number of jobs hardly changes.
      return withClass(machinesAndLoad(day, FULL, FIXED_LOAD), 'portal', (c) => ({
        ...c,
        tasks: { sizes: [SERVICE_TASKS], weights: [1] },
        initial: Math.round((FULL_SERVICE_TASKS * part) / SERVICE_TASKS),
        per_minute: 1,
      }));
    case 'starts':
      return steadyArrays(fixed, FIXED_JOBS_PER_S, FULL_STARTS_PER_S * part);
    case 'jobs':
      return steadyArrays(fixed, FULL_JOBS_PER_S * part, FIXED_STARTS_PER_S);
    case 'teams':
      return { ...fixed, teams: day.teams.slice(0, Math.max(1, Math.round(FULL_TEAMS * part))) };
    case 'controllers':
      return { ...fixed, controllers: { ...day.controllers, count: Math.max(1, Math.round(FULL_CONTROLLERS * part)) } };
    case 'changes':
      return fixed;
  }
}

/** The run of a dimension at a part of its full size, of a day that has the classes of the shipped day `scale`. */
export function capacityRun(whole: Day, dimension: Dimension, part: number): CapacityRun {
  const day = dayOf({ ...whole, troubles: [], duration_s: 100_000, quiet_end_s: 0 }, dimension, part);
  const changesPerMinute = dimension === 'changes' ? FULL_CHANGES_PER_MINUTE * part : USUAL_CHANGES_PER_MINUTE;
  return { dimension, part, day, changesPerMinute };
}

/** How large a run really was, in the unit of its dimension. */
export function amountOf({ dimension, day, changesPerMinute }: CapacityRun, result: ScaleResult): number {
  switch (dimension) {
    case 'size':
    case 'workers':
      return result.workers;
    case 'tasks':
      return result.tasks.running;
    case 'starts':
      return result.tasks.startsPerS;
    case 'jobs':
      return result.tasks.jobsPerS;
    case 'teams':
      return result.teams;
    case 'controllers':
      return day.controllers.count;
    case 'changes':
      return changesPerMinute;
  }
}

/** Figures of a run that are fitted, by name; units in the names. */
export function figuresOf(result: ScaleResult): Readonly<Record<string, number>> {
  const controllers = result.processes.filter(({ role }) => role === 'controller');
  const cores = controllers.map((process) => process.cores);
  const reports = result.interfaces.find(({ name }) => name === 'workers: reports');
  const commands = result.interfaces.find(({ name }) => name === 'workers: commands');
  const peers = Object.values(result.peerFrames);
  return {
    controllerCoresMean: cores.reduce((a, b) => a + b, 0) / Math.max(1, cores.length),
    controllerCoresBusiest: Math.max(0, ...cores),
    controllerPeakMb: Math.max(0, ...controllers.map(({ peakMb }) => peakMb)),
    reportsPerS: reports?.messagesPerS ?? 0,
    reportBytesPerS: (reports?.bytesOutPerS ?? 0) + (reports?.bytesInPerS ?? 0),
    commandsPerS: commands?.messagesPerS ?? 0,
    commandBytesPerS: (commands?.bytesOutPerS ?? 0) + (commands?.bytesInPerS ?? 0),
    peerFramesPerS: peers.reduce((sum, { framesPerS }) => sum + framesPerS, 0),
    peerBytesPerS: peers.reduce((sum, { bytesPerS }) => sum + bytesPerS, 0),
    stateRequestsPerS: result.state.requestsPerS,
    stateChangesPerS: result.state.changesPerS,
    stateKeys: result.state.keys,
    stateBytes: result.state.bytes,
  };
}

export interface Slope {
  readonly figure: string;
  readonly slope: number;
  readonly intercept: number;
  /** Root of the mean squared distance of the fitted sizes from the line; r² beside it. */
  readonly residual: number;
  readonly rSquared: number;
  readonly predicted: number;
  readonly measured: number;
  /** Of what was measured; null: that was 0. */
  readonly offBy: number | null;
}

export interface Sample {
  readonly amount: number;
  readonly figures: Readonly<Record<string, number>>;
}

/** Least squares through the fitted sizes, and what they predict for the full one beside what it measured. Pure. */
export function slopes(fitted: readonly Sample[], full: Sample): Slope[] {
  return Object.keys(full.figures).map((figure) => {
    const points = fitted.map(({ amount, figures }) => [amount, figures[figure] ?? 0]);
    const line = linearRegression(points);
    const at = linearRegressionLine(line);
    const squares = points.map(([x = 0, y = 0]) => (y - at(x)) ** 2);
    const residual = Math.sqrt(squares.reduce((a, b) => a + b, 0) / Math.max(1, squares.length));
    const measured = full.figures[figure] ?? 0;
    const predicted = at(full.amount);
    return {
      ...{ figure, slope: line.m, intercept: line.b, residual, rSquared: rSquared(points, at) },
      ...{ predicted, measured, offBy: measured === 0 ? null : (predicted - measured) / measured },
    };
  });
}
