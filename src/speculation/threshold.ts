/**
 * Parameters of the adaptive straggler threshold Th = Q + alpha*P + beta*R. Q is the baseline term, P the mean progress
 * of the job's tasks minus mu, and R the resource term. This module consists of pure functions of a snapshot. All times
 * are in seconds; those that Q is computed from count from the job's start.
 */
export interface Tunables {
  /** Weight of the progress term P. */
  readonly alpha: number;
  /** Weight of the resource term R. */
  readonly beta: number;
  /** Mean progress below which the threshold is lowered, which encourages restarts. */
  readonly mu: number;
  /** Share of booked memory below which the threshold is lowered, if the share of booked cpus is also below phi. */
  readonly omega: number;
  /** Share of booked cpus below which the threshold is lowered, if the share of booked memory is also below omega. */
  readonly phi: number;
  /** Upper bound of the progress that is assumed for a running task. */
  readonly progressCap: number;
  /** Value of Q for a job without a deadline. */
  readonly baseline: number;
  /** Lower bound of the threshold. */
  readonly floor: number;
  /** Share of a job's running tasks that may be restarted in one round (but at least one task). */
  readonly roundShare: number;
}

/** The parameters in effect until an operator changes them. */
export const DEFAULT_TUNABLES: Tunables = {
  alpha: 0.5,
  beta: 0.5,
  mu: 0.5,
  omega: 0.6,
  phi: 0.6,
  progressCap: 0.95,
  baseline: 1.5,
  floor: 1.2,
  roundShare: 0.1,
};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/**
 * Returns Q, the earliest estimated completion after the deadline, or the deadline itself if no completion is late,
 * divided by the mean estimated completion.
 */
export function baselineTerm(completions: readonly number[], deadlineS: number | null, baseline: number): number {
  if (deadlineS === null || completions.length === 0) return baseline;
  const average = mean(completions);
  if (average <= 0) return baseline;
  const late = completions.filter((c) => c > deadlineS);
  return (late.length > 0 ? Math.min(...late) : deadlineS) / average;
}

/**
 * Returns R, the larger excess of booked memory over omega and of booked cpus over phi. Resource use is taken to be the
 * booked share, averaged over the machines.
 */
export function resourceTerm(
  booked: readonly { readonly cpu: number; readonly memory: number }[],
  tunables: Pick<Tunables, 'omega' | 'phi'>,
): number {
  if (booked.length === 0) return 0;
  return Math.max(mean(booked.map((b) => b.memory)) - tunables.omega, mean(booked.map((b) => b.cpu)) - tunables.phi);
}

/** Returns the threshold: a task is a straggler if its estimated run exceeds this multiple of the job's mean. */
export function threshold(q: number, meanProgress: number, r: number, tunables: Tunables): number {
  return Math.max(tunables.floor, q + tunables.alpha * (meanProgress - tunables.mu) + tunables.beta * r);
}

/**
 * Estimates the total run time of a running task. Workers report no progress, so it is the elapsed time divided by the
 * progress cap, but at least the median run of finished siblings or, before any has finished, the job's estimate.
 */
export function estimateRunS(
  elapsedS: number,
  siblingMedianS: number | null,
  jobEstimateS: number,
  cap: number,
): number {
  return Math.max(elapsedS / cap, siblingMedianS ?? jobEstimateS);
}

/** A running task of an array. */
export interface RunningTask {
  readonly index: number;
  readonly machine: string;
  readonly elapsedS: number;
  /** Seconds from the job's start to this task's start. */
  readonly startedAfterS: number;
  /** It has been restarted as a straggler before. */
  readonly restarted: boolean;
}

/** State of one array at one moment. */
export interface JobSnapshot {
  readonly job: string;
  /** Number of all tasks of the job. */
  readonly tasks: number;
  /** Number of finished tasks. */
  readonly finished: number;
  /** Run times of finished tasks. */
  readonly finishedRunsS: readonly number[];
  /** Estimated run time of one task, from the job's specification. */
  readonly estimateS: number;
  /** Deadline in seconds from the job's start; null if there is none. */
  readonly deadlineS: number | null;
  readonly running: readonly RunningTask[];
}

/** A task that runs longer than the threshold allows. */
export interface StragglerFlag {
  readonly job: string;
  readonly index: number;
  readonly machine: string;
  /** Estimated total run time of the task. */
  readonly estimateS: number;
  /** The threshold at that moment, as a multiple of the mean run. */
  readonly threshold: number;
  readonly restarted: boolean;
  readonly elapsedS: number;
}

/** Returns the median, or null for an empty list. */
export function median(values: readonly number[]): number | null {
  if (values.length === 0) return null;
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length >> 1;
  const high = sorted[middle] ?? 0;
  return sorted.length % 2 === 1 ? high : (high + (sorted[middle - 1] ?? high)) / 2;
}

/** Returns the running tasks of one array whose estimated run time exceeds the threshold times the mean of all. */
export function flagStragglers(job: JobSnapshot, r: number, tunables: Tunables): StragglerFlag[] {
  if (job.running.length === 0) return [];
  const siblingMedianS = median(job.finishedRunsS);
  const runs = job.running.map((task) =>
    estimateRunS(task.elapsedS, siblingMedianS, job.estimateS, tunables.progressCap),
  );
  const meanRunS = mean(runs);
  if (!(meanRunS > 0)) return [];
  const completions = job.running.map((task, i) => task.startedAfterS + (runs[i] ?? 0));
  const progress = job.running.reduce((sum, task, i) => {
    const run = runs[i] ?? 0;
    return sum + (run > 0 ? Math.min(tunables.progressCap, task.elapsedS / run) : 0);
  }, job.finished);
  const thresholdRatio = threshold(
    baselineTerm(completions, job.deadlineS, tunables.baseline),
    progress / job.tasks,
    r,
    tunables,
  );
  const flags: StragglerFlag[] = [];
  job.running.forEach((task, i) => {
    const estimateS = runs[i] ?? 0;
    if (estimateS > thresholdRatio * meanRunS) {
      flags.push({
        job: job.job,
        index: task.index,
        machine: task.machine,
        estimateS,
        threshold: thresholdRatio,
        restarted: task.restarted,
        elapsedS: task.elapsedS,
      });
    }
  });
  return flags;
}

/**
 * Returns the flagged tasks that are to be restarted now, slowest first. A task is restarted once, and only from a
 * machine that looks faulty: its reports are late, or tasks of other jobs on it are flagged too. In one round, at most
 * a share of a job's running tasks is restarted.
 */
export function chooseRestarts(
  flags: readonly StragglerFlag[],
  runningPerJob: ReadonlyMap<string, number>,
  lateMachines: ReadonlySet<string>,
  tunables: Pick<Tunables, 'roundShare'>,
): StragglerFlag[] {
  const jobsPerMachine = new Map<string, Set<string>>();
  for (const flag of flags) {
    const jobs = jobsPerMachine.get(flag.machine) ?? new Set<string>();
    jobs.add(flag.job);
    jobsPerMachine.set(flag.machine, jobs);
  }
  const chosen: StragglerFlag[] = [];
  const perJob = new Map<string, number>();
  for (const flag of [...flags].sort((a, b) => b.estimateS - a.estimateS)) {
    if (flag.restarted) continue;
    const faulty = lateMachines.has(flag.machine) || (jobsPerMachine.get(flag.machine)?.size ?? 0) > 1;
    if (!faulty) continue;
    // At least one task even if the share rounds down to zero: small jobs have stragglers too.
    const most = Math.max(1, Math.floor((runningPerJob.get(flag.job) ?? 0) * tunables.roundShare));
    const used = perJob.get(flag.job) ?? 0;
    if (used >= most) continue;
    perJob.set(flag.job, used + 1);
    chosen.push(flag);
  }
  return chosen;
}
