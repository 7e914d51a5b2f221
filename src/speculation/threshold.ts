/**
 * The adaptive threshold: Th = Q + alpha*P + beta*R. Pure functions of a snapshot. Times of tasks
 * are seconds; those that Q looks at count from the job's start.
 */
export interface Tunables {
  readonly alpha: number;
  readonly beta: number;
  /** Mean progress up to which restarts are encouraged. */
  readonly mu: number;
  /** Booked share of memory and of cpus up to which restarts are encouraged. */
  readonly omega: number;
  readonly phi: number;
  /** A running task's progress is never taken to be above this. */
  readonly progressCap: number;
  /** Q of a job without a deadline. */
  readonly baseline: number;
  /** The threshold is never lower. */
  readonly floor: number;
  /** Share of a job's running tasks that may be restarted in one round. */
  readonly roundShare: number;
}

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

/** The baseline: the first estimate past the deadline over the mean, or the deadline over the mean. */
export function baselineQ(completions: readonly number[], deadlineS: number | null, baseline: number): number {
  if (deadlineS === null || completions.length === 0) return baseline;
  const average = mean(completions);
  if (average <= 0) return baseline;
  const late = completions.filter((c) => c > deadlineS);
  return (late.length > 0 ? Math.min(...late) : deadlineS) / average;
}

/** Reads use as booked share, averaged over the machines. */
export function resourceR(
  booked: readonly { readonly cpu: number; readonly memory: number }[],
  t: Pick<Tunables, 'omega' | 'phi'>,
): number {
  if (booked.length === 0) return 0;
  return Math.max(mean(booked.map((b) => b.memory)) - t.omega, mean(booked.map((b) => b.cpu)) - t.phi);
}

export function threshold(q: number, meanProgress: number, r: number, t: Tunables): number {
  return Math.max(t.floor, q + t.alpha * (meanProgress - t.mu) + t.beta * r);
}

/** Workers report no progress: elapsed time over a cap, but no less than what siblings took. */
export function estimateRun(
  elapsedS: number,
  siblingMedianS: number | null,
  jobEstimateS: number,
  cap: number,
): number {
  return Math.max(elapsedS / cap, siblingMedianS ?? jobEstimateS);
}

export interface RunningTask {
  readonly index: number;
  readonly machine: string;
  readonly elapsedS: number;
  /** From the job's start to this task's start. */
  readonly startedAfterS: number;
  readonly restarted: boolean;
}

export interface JobSnapshot {
  readonly job: string;
  readonly tasks: number;
  readonly finished: number;
  /** Run times of finished siblings. */
  readonly finishedRunsS: readonly number[];
  readonly estimateS: number;
  /** From the job's start; null: none. */
  readonly deadlineS: number | null;
  readonly running: readonly RunningTask[];
}

export interface Flag {
  readonly job: string;
  readonly index: number;
  readonly machine: string;
  readonly estimateS: number;
  readonly threshold: number;
  readonly restarted: boolean;
  readonly elapsedS: number;
}

export function median(values: readonly number[]): number | null {
  if (values.length === 0) return null;
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length >> 1;
  const high = sorted[middle] ?? 0;
  return sorted.length % 2 === 1 ? high : (high + (sorted[middle - 1] ?? high)) / 2;
}

/** The tasks of one array whose estimated run exceeds the threshold times the job's mean. */
export function flagTasks(job: JobSnapshot, r: number, t: Tunables): Flag[] {
  if (job.running.length === 0) return [];
  const siblings = median(job.finishedRunsS);
  const runs = job.running.map((task) => estimateRun(task.elapsedS, siblings, job.estimateS, t.progressCap));
  const meanRun = mean(runs);
  if (!(meanRun > 0)) return [];
  const completions = job.running.map((task, i) => task.startedAfterS + (runs[i] ?? 0));
  const progress = job.running.reduce((sum, task, i) => {
    const run = runs[i] ?? 0;
    return sum + (run > 0 ? Math.min(t.progressCap, task.elapsedS / run) : 0);
  }, job.finished);
  const th = threshold(baselineQ(completions, job.deadlineS, t.baseline), progress / job.tasks, r, t);
  const flags: Flag[] = [];
  job.running.forEach((task, i) => {
    const estimateS = runs[i] ?? 0;
    if (estimateS > th * meanRun) {
      flags.push({
        job: job.job,
        index: task.index,
        machine: task.machine,
        estimateS,
        threshold: th,
        restarted: task.restarted,
        elapsedS: task.elapsedS,
      });
    }
  });
  return flags;
}

/**
 * Which flagged tasks are restarted now: once each, only from a machine that looks faulty (its
 * reports come late, or tasks of other jobs there are flagged too), at most a share of the job's
 * running tasks in a round, the slowest first.
 */
export function chooseRestarts(
  flags: readonly Flag[],
  runningPerJob: ReadonlyMap<string, number>,
  lateMachines: ReadonlySet<string>,
  t: Pick<Tunables, 'roundShare'>,
): Flag[] {
  const jobsPerMachine = new Map<string, Set<string>>();
  for (const flag of flags) {
    const jobs = jobsPerMachine.get(flag.machine) ?? new Set<string>();
    jobs.add(flag.job);
    jobsPerMachine.set(flag.machine, jobs);
  }
  const chosen: Flag[] = [];
  const perJob = new Map<string, number>();
  for (const flag of [...flags].sort((a, b) => b.estimateS - a.estimateS)) {
    if (flag.restarted) continue;
    const faulty = lateMachines.has(flag.machine) || (jobsPerMachine.get(flag.machine)?.size ?? 0) > 1;
    if (!faulty) continue;
    // A tenth of fewer than ten tasks is still one: small jobs have stragglers too.
    const most = Math.max(1, Math.floor((runningPerJob.get(flag.job) ?? 0) * t.roundShare));
    const used = perJob.get(flag.job) ?? 0;
    if (used >= most) continue;
    perJob.set(flag.job, used + 1);
    chosen.push(flag);
  }
  return chosen;
}
