import { median, quantileSorted } from 'simple-statistics';
import type { JobSpec } from '../../../../src/jobs/index.js';
import { estimateMachineDeaths } from './machine-deaths.js';
import type { Night, RecordedAttempt, RecordedJob } from './night.js';

/** Run times derived from a recorded night, as seconds of work on a machine of normal speed. */
export interface RecordedRunTimes {
  /** Seconds of work by job id and task index. A gang has one entry, under task 0. */
  readonly workS: ReadonlyMap<string, ReadonlyMap<number, number>>;
  /** Slowdown factor by machine id, for machines that ran every task slower than others. */
  readonly slowdown: ReadonlyMap<string, number>;
  /** Estimated time of death by machine id, for machines that died without a notice. Seconds since the night began. */
  readonly deathS: ReadonlyMap<string, number>;
  /** Estimates the run times of tasks whose end was not recorded. */
  readonly runTimeModel: RunTimeModel;
}

/** A machine counts as slow if the median of its run time ratios exceeds this factor. */
const SLOW_MACHINE_FACTOR = 1.5;
/** Fewest completed tasks, of a job or on a machine, from which a slowdown is estimated. */
const MIN_COMPLETED_TASKS = 3;

const recordedRunS = ({ beganS, leftS }: RecordedAttempt): number | null =>
  beganS === null || leftS === null ? null : Math.max(0.05, leftS - beganS);

/** Returns the machines whose array tasks took far longer than tasks of the same job elsewhere, with their slowdown. */
function findSlowMachines(jobs: Iterable<RecordedJob>): Map<string, number> {
  const ratios = new Map<string, number[]>();
  for (const { spec, attempts } of jobs) {
    if (spec.kind !== 'array') continue;
    const done = attempts.filter((a) => a.why === 'done' && recordedRunS(a) !== null);
    if (done.length < MIN_COMPLETED_TASKS) continue;
    const medianRunS = median(done.map((a) => recordedRunS(a) ?? 0));
    for (const a of done) {
      const list = ratios.get(a.machine) ?? [];
      list.push((recordedRunS(a) ?? 0) / medianRunS);
      ratios.set(a.machine, list);
    }
  }
  const slowdown = new Map<string, number>();
  for (const [machine, list] of ratios) {
    const factor = median(list);
    if (list.length >= MIN_COMPLETED_TASKS && factor > SLOW_MACHINE_FACTOR) slowdown.set(machine, factor);
  }
  return slowdown;
}

/**
 * Returns the seconds of work that the next attempt inherits. A stopped attempt keeps all its work except the time
 * that saving took; a killed one keeps the work up to its last checkpoint; without checkpoints nothing is kept.
 */
function savedWorkS(spec: JobSpec, attempt: RecordedAttempt, workS: number): number {
  if (spec.checkpointS <= 0) return 0;
  if (attempt.why === 'stopped') return Math.max(0, workS - spec.saveS);
  return Math.floor(workS / spec.checkpointS) * spec.checkpointS;
}

/**
 * Returns the seconds of work of each task of a job whose completion was recorded. A gang has one entry for all of
 * its tasks, under task 0.
 */
function completedWorkS(
  { spec, attempts }: RecordedJob,
  slowdown: ReadonlyMap<string, number>,
  deathS: ReadonlyMap<string, number>,
): Map<number, number> {
  const completed = new Map<number, number>();
  // The controllers notice the end of an attempt on a dead machine late: it ended when the machine died.
  const runS = (a: RecordedAttempt): number | null => {
    const endS = a.leftS === null ? null : Math.min(a.leftS, deathS.get(a.machine) ?? Infinity);
    return recordedRunS({ ...a, leftS: endS });
  };
  const normalizedWorkS = (a: RecordedAttempt): number => (runS(a) ?? 0) / (slowdown.get(a.machine) ?? 1);
  const attemptsByTask = new Map<number, RecordedAttempt[]>();
  // All tasks of a gang run together, and their work begins when the last of them begins: an attempt counts once.
  for (const a of [...attempts].sort((x, y) => x.attempt - y.attempt)) {
    const key = spec.kind === 'gang' ? 0 : a.index;
    attemptsByTask.set(key, [...(attemptsByTask.get(key) ?? []), a]);
  }
  for (const [key, taskAttempts] of attemptsByTask) {
    let savedS = 0;
    const countedAttempts = new Set<number>();
    for (const a of taskAttempts) {
      if (completed.has(key) || countedAttempts.has(a.attempt)) continue;
      if (a.why === 'done') {
        // Without a recorded start the run time is unknown.
        if (runS(a) !== null) completed.set(key, savedS + normalizedWorkS(a));
      } else if (a.beganS !== null) {
        // Without a recorded end, the attempt ended no later than the start of the next attempt.
        const next = taskAttempts.find((b) => b.attempt > a.attempt && b.beganS !== null);
        const leftS = a.leftS ?? next?.beganS ?? null;
        if (leftS !== null) savedS += savedWorkS(spec, a, normalizedWorkS({ ...a, leftS }));
        if (spec.kind === 'gang') countedAttempts.add(a.attempt);
      }
    }
  }
  return completed;
}

/** Derives run times from a night, and fits a model for the tasks whose end was not recorded. */
export function deriveRunTimes(night: Night): RecordedRunTimes {
  const slowdown = findSlowMachines(night.jobs.values());
  const deathS = estimateMachineDeaths(night);
  const workS = new Map<string, ReadonlyMap<number, number>>();
  for (const [id, job] of night.jobs)
    if (job.spec.kind !== 'service') workS.set(id, completedWorkS(job, slowdown, deathS));
  return { workS, slowdown, deathS, runTimeModel: new RunTimeModel(night, workS) };
}

/** Fewest samples from which a distribution of run time factors is used. */
const MIN_SAMPLES = 5;

/**
 * Draws a factor from the empirical distribution of the sorted samples, interpolating between them. Returns 1 if there
 * are too few samples.
 */
function sampleFactor(sorted: readonly number[], random: () => number): number {
  return sorted.length < MIN_SAMPLES ? 1 : quantileSorted([...sorted], random());
}

/**
 * Estimates the run times of tasks whose end was not recorded: the owner's estimate times a factor drawn from the
 * completed jobs of the same class.
 */
export class RunTimeModel {
  /** Median run time of a job divided by its owner's estimate, by job class. */
  private readonly jobFactors = new Map<string, number[]>();
  /** Run time of a task divided by the median of its job, by job class. */
  private readonly taskFactors = new Map<string, number[]>();
  /** Median run time of a job's completed tasks in seconds, by job id. */
  private readonly medianRunS = new Map<string, number>();

  constructor(night: Night, workS: ReadonlyMap<string, ReadonlyMap<number, number>>) {
    const append = (map: Map<string, number[]>, key: string, value: number): void => {
      const list = map.get(key);
      if (list) list.push(value);
      else map.set(key, [value]);
    };
    for (const [id, runs] of workS) {
      const spec = night.jobs.get(id)?.spec;
      if (!spec || runs.size === 0) continue;
      const medianRunS = median([...runs.values()]);
      this.medianRunS.set(id, medianRunS);
      if (spec.estimateS > 0) append(this.jobFactors, spec.jobClass, medianRunS / spec.estimateS);
      if (runs.size >= MIN_SAMPLES)
        for (const run of runs.values()) append(this.taskFactors, spec.jobClass, run / medianRunS);
    }
    for (const map of [this.jobFactors, this.taskFactors]) for (const list of map.values()) list.sort((a, b) => a - b);
  }

  /** Returns the typical run time of a job in seconds, recorded or drawn; `random` returns numbers from 0 to 1. */
  sampleJobRunS(spec: JobSpec, random: () => number): number {
    const recorded = this.medianRunS.get(spec.id);
    if (recorded !== undefined) return recorded;
    return Math.max(0.5, spec.estimateS) * sampleFactor(this.jobFactors.get(spec.jobClass) ?? [], random);
  }

  /** Draws the run time of one task in seconds, given the typical run time of its job. */
  sampleTaskRunS(spec: JobSpec, typicalS: number, random: () => number): number {
    return typicalS * sampleFactor(this.taskFactors.get(spec.jobClass) ?? [], random);
  }
}
