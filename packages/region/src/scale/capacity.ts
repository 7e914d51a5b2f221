/** Measures how the resource usage of controllers grows with each dimension of the load. */

import { linearRegression, linearRegressionLine, rSquared } from 'simple-statistics';
import { scaleScenario, type SimulationScenario, type JobClass } from '../scenario/index.js';
import type { ScaleResult } from './run.js';

/** Dimensions of the load. A measurement varies one of them and keeps the others fixed. */
export const CAPACITY_DIMENSIONS = [
  'size',
  'workers',
  'tasks',
  'starts',
  'jobs',
  'teams',
  'controllers',
  'changes',
] as const;
/** One of the dimensions of the load. */
export type CapacityDimension = (typeof CAPACITY_DIMENSIONS)[number];

/** One run of a dimension: the size that is asked for, and the day that is run. */
export interface CapacityRun {
  readonly dimension: CapacityDimension;
  /** Part of the full size; 1 is the full size. */
  readonly part: number;
  readonly day: SimulationScenario;
  readonly changesPerMinute: number;
}

/** Parts of the full size whose runs are fitted. */
export const FITTED_PARTS = [0.125, 0.25, 0.375, 0.5] as const;
/** The full size, which the fit predicts. */
export const FULL_PART = 1;

/** Amounts of each dimension at the planned full size. */
const FULL_CHANGES_PER_MINUTE = 240;
const FULL_SERVICE_TASKS = 16_000;
const FULL_STARTS_PER_S = 150;
const FULL_JOBS_PER_S = 3;
const FULL_TEAMS = 52;
const FULL_CONTROLLERS = 7;

/** Load of the dimensions that are not varied: an eighth of the full load on a quarter of the machines. */
const FIXED_MACHINE_PART = 0.25;
const FIXED_LOAD_PART = 0.125;
const FIXED_JOBS_PER_S = 1;
const FIXED_STARTS_PER_S = 30;
const TASKS_PER_SERVICE = 64;
/** Run times of short tasks in seconds. */
const SHORT_RUN_S = { median: 8, p95: 10, max: 12 } as const;
const DEFAULT_CHANGES_PER_MINUTE = 12;

/** Returns the day with one of its classes changed. */
const replaceClass = (
  day: SimulationScenario,
  name: string,
  change: (c: JobClass) => JobClass,
): SimulationScenario => ({
  ...day,
  classes: day.classes.map((c) => (c.name === name ? change(c) : c)),
});

/** Scales the machines and the load of a day by different parts. */
function scaleMachinesAndLoad(day: SimulationScenario, machinePart: number, loadPart: number): SimulationScenario {
  const { classes, pipelines } = scaleScenario(day, loadPart);
  return { ...scaleScenario(day, machinePart), classes, pipelines, teams: day.teams };
}

/** Replaces the batch arrays of a day by arrays of short tasks that arrive at fixed rates of jobs and task starts. */
function withSteadyArrays(day: SimulationScenario, jobsPerS: number, startsPerS: number): SimulationScenario {
  const tasks = Math.max(1, Math.round(startsPerS / jobsPerS));
  return replaceClass(day, 'batch', (c) => ({
    ...c,
    ...{ tasks: { sizes: [tasks], weights: [1] }, run_s: SHORT_RUN_S, per_minute: jobsPerS * 60, initial: 0 },
    ...{ cancel_share: 0 },
  }));
}

/** Returns the day of a run, with one dimension at a part of its full size. */
function capacityDay(day: SimulationScenario, dimension: CapacityDimension, part: number): SimulationScenario {
  const fixedDay = scaleMachinesAndLoad(day, FIXED_MACHINE_PART, FIXED_LOAD_PART);
  switch (dimension) {
    case 'size':
      return scaleScenario(day, part);
    case 'workers':
      return scaleMachinesAndLoad(day, part, FIXED_LOAD_PART);
    case 'tasks':
      // A few large services carry the tasks, so that the number of jobs hardly changes.
      return replaceClass(scaleMachinesAndLoad(day, FULL_PART, FIXED_LOAD_PART), 'portal', (c) => ({
        ...c,
        tasks: { sizes: [TASKS_PER_SERVICE], weights: [1] },
        initial: Math.round((FULL_SERVICE_TASKS * part) / TASKS_PER_SERVICE),
        per_minute: 1,
      }));
    case 'starts':
      return withSteadyArrays(fixedDay, FIXED_JOBS_PER_S, FULL_STARTS_PER_S * part);
    case 'jobs':
      return withSteadyArrays(fixedDay, FULL_JOBS_PER_S * part, FIXED_STARTS_PER_S);
    case 'teams':
      return { ...fixedDay, teams: day.teams.slice(0, Math.max(1, Math.round(FULL_TEAMS * part))) };
    case 'controllers':
      return {
        ...fixedDay,
        controllers: { ...day.controllers, count: Math.max(1, Math.round(FULL_CONTROLLERS * part)) },
      };
    case 'changes':
      return fixedDay;
  }
}

/** Returns the run of a dimension at a part of its full size. The day must have the classes of the shipped day `scale`. */
export function capacityRun(fullDay: SimulationScenario, dimension: CapacityDimension, part: number): CapacityRun {
  const day = capacityDay({ ...fullDay, troubles: [], duration_s: 100_000, quiet_end_s: 0 }, dimension, part);
  const changesPerMinute = dimension === 'changes' ? FULL_CHANGES_PER_MINUTE * part : DEFAULT_CHANGES_PER_MINUTE;
  return { dimension, part, day, changesPerMinute };
}

/** Returns the size that a run actually had, in the unit of its dimension. */
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

/** Returns the measured figures of a run that are fitted. Their names include the units. */
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

/** Fit of one figure over the sizes of a dimension, and its prediction for the full size. */
export interface Slope {
  readonly figure: string;
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the distances of the fitted points from the line. */
  readonly residual: number;
  readonly rSquared: number;
  /** Value at the full size that the line predicts. */
  readonly predicted: number;
  /** Value that was measured at the full size. */
  readonly measured: number;
  /** Relative error of the prediction; null if the measured value is 0. */
  readonly offBy: number | null;
}

/** Size and figures of one run. */
export interface CapacitySample {
  readonly amount: number;
  readonly figures: Readonly<Record<string, number>>;
}

/** Fits a line to each figure by least squares, and compares its prediction for the full size with the measured value. */
export function fitSlopes(fitted: readonly CapacitySample[], full: CapacitySample): Slope[] {
  return Object.keys(full.figures).map((figure) => {
    const points = fitted.map(({ amount, figures }) => [amount, figures[figure] ?? 0]);
    const line = linearRegression(points);
    const predictAt = linearRegressionLine(line);
    const squares = points.map(([x = 0, y = 0]) => (y - predictAt(x)) ** 2);
    const residual = Math.sqrt(squares.reduce((a, b) => a + b, 0) / Math.max(1, squares.length));
    const measured = full.figures[figure] ?? 0;
    const predicted = predictAt(full.amount);
    return {
      ...{ figure, slope: line.m, intercept: line.b, residual, rSquared: rSquared(points, predictAt) },
      ...{ predicted, measured, offBy: measured === 0 ? null : (predicted - measured) / measured },
    };
  });
}
