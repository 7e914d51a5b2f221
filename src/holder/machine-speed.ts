import type { JobId, Millis } from '../kernel/index.js';

/** `suspected`: somewhat slower, or too few run times to be sure. */
export type MachineSpeedState = 'usual' | 'suspected' | 'slow';

/** Number of run times, and slowness, from which a machine is suspected to be slow, and from which it is. */
const MIN_SUSPECTED_RUNS = 3;
const SUSPECTED_SLOWNESS = 1.5;
const MIN_SLOW_RUNS = 4;
const SLOW_SLOWNESS = 2;
/** Number of run times that the moving average is over. */
const AVERAGED_RUNS = 5;
/** Older run times say nothing of the machine's present speed. */
const RUN_MEMORY_MS = 180_000;
/** Number of jobs whose tasks must have been slow before the machine and not a job is known to be the cause. */
const MIN_SLOW_JOBS = 2;

/** How fast tasks run on a machine, relative to the median of their job. */
export class MachineSpeed {
  private slowness = 1;
  private runs = 0;
  private lastRunAt: Millis | null = null;
  /** Jobs of which a task was slow here, and when the last one was. */
  private readonly slowRunAt = new Map<JobId, Millis>();

  /** Records a completed task's run time relative to the median of its job. */
  record(job: JobId, ratio: number, now: Millis): void {
    this.forgetOld(now);
    this.runs += 1;
    this.lastRunAt = now;
    this.slowness += (ratio - this.slowness) / Math.min(this.runs + 1, AVERAGED_RUNS);
    if (ratio > SUSPECTED_SLOWNESS) this.slowRunAt.set(job, now);
  }

  /** How fast it is, as far as the latest run times tell. */
  state(now: Millis): MachineSpeedState {
    this.forgetOld(now);
    if (this.runs >= MIN_SLOW_RUNS && this.slowness > SLOW_SLOWNESS) return 'slow';
    return this.runs >= MIN_SUSPECTED_RUNS && this.slowness > SUSPECTED_SLOWNESS ? 'suspected' : 'usual';
  }

  /** Whether tasks of several jobs were slow, so that none of the jobs is the cause. */
  get isOfSeveralJobs(): boolean {
    return this.slowRunAt.size >= MIN_SLOW_JOBS;
  }

  /** When the last task completed whose run time counts. */
  get lastMeasuredAt(): Millis | null {
    return this.lastRunAt;
  }

  private forgetOld(now: Millis): void {
    for (const [job, at] of this.slowRunAt) if (now - at >= RUN_MEMORY_MS) this.slowRunAt.delete(job);
    if (this.lastRunAt === null || now - this.lastRunAt < RUN_MEMORY_MS) return;
    this.slowness = 1;
    this.runs = 0;
    this.lastRunAt = null;
  }
}
