import { build, type Histogram } from 'hdr-histogram-js';
import type { Objective, SimulationScenario, JobClass } from './scenario/index.js';
import type { TaskExitCause, SimulatedJob, Machine, TaskObserver, UserView } from './models/index.js';

/** What has happened to one job so far. Times in milliseconds of true time. */
interface JobHistory {
  readonly view: UserView;
  /** Time of each task's first start, by task index. */
  readonly firstStartAt: Map<number, number>;
  completedAt: number | null;
  /** Starts beyond each task's first. */
  restarts: number;
  /** Tasks that run now. */
  runningCount: number;
  /** Uptime of all replicas inside the window that the class's availability objective counts, in milliseconds. */
  uptimeMs: number;
  /** When each running replica started, by task index; services only. */
  readonly upSince: Map<number, number>;
}

/** Percentiles of a duration, in seconds. */
export interface Quantiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** How well a job class met one of its objectives. */
export interface AimResult {
  readonly aim: Objective;
  /** Share of tasks, jobs or replica time that met the objective, 0 to 1; null when there was nothing to count. */
  readonly share: number | null;
}

/** The figures of one job class for a whole day. */
export interface ClassResult {
  readonly name: string;
  readonly shape: JobClass['shape'];
  readonly submitted: number;
  readonly accepted: number;
  readonly done: number;
  readonly cancelled: number;
  readonly refused: number;
  /** Jobs that were accepted and neither done nor cancelled when the day ended. */
  readonly open: number;
  /** Tasks that started at least once. */
  readonly tasksStarted: number;
  /** Starts beyond each task's first. */
  readonly restarts: number;
  /**
   * Seconds from a job's submission, or from the completion of its last dependency, to a task's first start; null when
   * no task started.
   */
  readonly waitS: Quantiles | null;
  /** Seconds from the same moment to the completion of the job's last task; null when none completed. */
  readonly finishS: Quantiles | null;
  readonly aims: readonly AimResult[];
  /**
   * Share of the jobs that were served, which means that all their tasks have started at some time. Counts the jobs
   * that could have started at least four minutes before the day's end; null when there were none.
   */
  readonly served: number | null;
  /** The same share among the largest tenth of these jobs. */
  readonly largestServed: number | null;
}

/** Time within which a job has to start, counted from the moment when it can. The day fails if a large job exceeds it. */
export const START_LIMIT_MS = 240_000;
/** Share of a class's jobs, the largest ones, that are checked separately. */
const LARGEST_JOBS_SHARE = 0.1;
/** The day fails when a smaller share than this is served of a class's jobs, its largest jobs or a team's jobs. */
const MIN_SERVED_SHARE = 0.5;

/** A histogram of durations in milliseconds, up to one day, with three significant digits. */
const histogram = (): Histogram =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: 86_400_000, numberOfSignificantValueDigits: 3 });

/** Percentiles of a histogram in seconds, rounded to tenths; null when the histogram is empty. */
function quantiles(h: Histogram): Quantiles | null {
  if (h.totalCount === 0) return null;
  const secondsAt = (p: number): number => Math.round(h.getValueAtPercentile(p) / 100) / 10;
  return { p50: secondsAt(50), p95: secondsAt(95), p99: secondsAt(99) };
}

/** Counts of running and waiting tasks by job class at one moment. */
export interface TaskCounts {
  /** Seconds since the day began. */
  readonly atS: number;
  /** Running tasks. */
  readonly running: Readonly<Record<string, number>>;
  /** Tasks of accepted jobs that neither run nor have completed. */
  readonly waiting: Readonly<Record<string, number>>;
}

/** Whether all tasks of a job have started at some time. */
const hasFullyStarted = ({ view, firstStartAt }: JobHistory): boolean =>
  firstStartAt.size >= view.job.spec.pieces || view.job.complete;

/** Share of some jobs that have fully started; null when there are no jobs. */
const servedShare = (entries: readonly JobHistory[]): number | null =>
  entries.length === 0 ? null : entries.filter(hasFullyStarted).length / entries.length;

/** Tracks the outcome of every job and computes the day's figures by job class. */
export class JobStatistics implements TaskObserver {
  private readonly jobs = new Map<string, JobHistory>();
  /** Running tasks, as `job/index`. */
  private readonly runningTasks = new Set<string>();

  constructor(
    private readonly day: SimulationScenario,
    private readonly now: () => number,
  ) {}

  /** Adds a job that a user has submitted. */
  addJob(view: UserView): void {
    this.jobs.set(view.job.spec.ref, {
      ...{ view, firstStartAt: new Map<number, number>(), completedAt: null, restarts: 0, runningCount: 0 },
      ...{ uptimeMs: 0, upSince: new Map<number, number>() },
    });
  }

  entered(): void {
    // The task's image is on the machine, but the task may still wait for its gang: that is not a start.
  }

  running(_machine: Machine, { spec }: SimulatedJob, index: number): void {
    const entry = this.jobs.get(spec.ref);
    if (!entry) return;
    this.runningTasks.add(`${spec.ref}/${index}`);
    entry.runningCount += 1;
    if (entry.firstStartAt.has(index)) entry.restarts += 1;
    else entry.firstStartAt.set(index, this.now());
    if (spec.shape === 'daemon') entry.upSince.set(index, this.now());
  }

  left(_machine: Machine, job: SimulatedJob, index: number, _attempt: number, cause: TaskExitCause | 'killed'): void {
    const entry = this.jobs.get(job.spec.ref);
    if (!entry) return;
    if (this.runningTasks.delete(`${job.spec.ref}/${index}`)) entry.runningCount -= 1;
    this.endUptime(entry, index);
    if (cause === 'done' && job.complete) entry.completedAt ??= this.now();
  }

  /** Ends a replica's uptime now and adds the part inside the window of its class's availability objective. */
  private endUptime(entry: JobHistory, index: number): void {
    const since = entry.upSince.get(index);
    if (since === undefined) return;
    entry.upSince.delete(index);
    const { from, to } = this.uptimeWindow(entry);
    entry.uptimeMs += Math.max(0, Math.min(to, this.now()) - Math.max(from, since));
  }

  /** The time span in which a job's uptime counts: from the objective's start allowance to the user's cancellation. */
  private uptimeWindow({ view }: JobHistory): { from: number; to: number } {
    const jobClass = this.day.classes.find(({ name }) => name === view.job.spec.jobclass);
    const objective = jobClass?.aims.find(({ kind }) => kind === 'up');
    const withinMs = objective && 'within_s' in objective ? objective.within_s * 1000 : 0;
    return { from: view.submittedAt + withinMs, to: view.cancelAskedAt ?? Number.POSITIVE_INFINITY };
  }

  /** Counts running and waiting tasks by class now. */
  taskCounts(): TaskCounts {
    const running: Record<string, number> = {};
    const waiting: Record<string, number> = {};
    for (const { name } of this.day.classes) running[name] = waiting[name] = 0;
    for (const { view, runningCount } of this.jobs.values()) {
      const { job, acceptedAt, cancelAskedAt } = view;
      const { jobclass, pieces } = job.spec;
      running[jobclass] = (running[jobclass] ?? 0) + runningCount;
      if (acceptedAt === null || cancelAskedAt !== null || job.complete) continue;
      waiting[jobclass] = (waiting[jobclass] ?? 0) + Math.max(0, pieces - job.finished.size - runningCount);
    }
    return { atS: this.now() / 1000, running, waiting };
  }

  /** Returns the figures of the whole day. Nothing may be recorded after this. */
  close(): ClassResult[] {
    for (const entry of this.jobs.values()) for (const index of [...entry.upSince.keys()]) this.endUptime(entry, index);
    return this.day.classes.map((c) => this.result(c));
  }

  private result(c: JobClass): ClassResult {
    const entries = [...this.jobs.values()].filter(({ view }) => view.job.spec.jobclass === c.name);
    const [waits, finishes] = [histogram(), histogram()];
    const count = (holds: (view: UserView) => boolean): number => entries.filter(({ view }) => holds(view)).length;
    for (const entry of entries) {
      const { view, firstStartAt, completedAt } = entry;
      const from = this.startableAt(entry) ?? view.submittedAt;
      for (const at of firstStartAt.values()) waits.recordValue(Math.max(1, Math.round(at - from)));
      if (completedAt !== null) finishes.recordValue(Math.max(1, Math.round(completedAt - from)));
    }
    return {
      name: c.name,
      shape: c.shape,
      submitted: entries.length,
      accepted: count((view) => view.acceptedAt !== null),
      done: count((view) => view.toldDone),
      cancelled: count((view) => view.toldCancelled),
      refused: count((view) => view.refused),
      open: count((view) => view.acceptedAt !== null && !view.toldDone && !view.toldCancelled),
      tasksStarted: entries.reduce((sum, entry) => sum + entry.firstStartAt.size, 0),
      restarts: entries.reduce((sum, entry) => sum + entry.restarts, 0),
      waitS: quantiles(waits),
      finishS: quantiles(finishes),
      served: servedShare(this.eligible(entries)),
      largestServed: servedShare(this.largest(this.eligible(entries))),
      aims: c.aims.map((objective) => ({ aim: objective, share: this.share(objective, entries) })),
    };
  }

  /**
   * The share that met an objective; null when nothing counts. Except for uptime, a job counts only if its time limit
   * passed before the day ended and its user did not cancel it before that limit.
   */
  private share(objective: Objective, all: readonly JobHistory[]): number | null {
    const end = this.now();
    let [met, counted] = [0, 0];
    for (const entry of all) {
      const { job, cancelAskedAt } = entry.view;
      const from = objective.kind === 'deadline' ? entry.view.submittedAt : this.startableAt(entry);
      // A dependency is not done yet, so the job's time limit has not started.
      if (from === null) continue;
      if (job.mistaken || entry.view.refused) continue;
      if (objective.kind === 'up') {
        const { from, to } = this.uptimeWindow(entry);
        counted += Math.max(0, Math.min(to, end) - from) * job.spec.pieces;
        met += entry.uptimeMs;
        continue;
      }
      const withinMs = (objective.kind === 'deadline' ? (job.spec.due_s ?? 0) : objective.within_s) * 1000;
      const dueAt = from + withinMs;
      if (dueAt > end || (cancelAskedAt !== null && cancelAskedAt < dueAt)) continue;
      if (objective.kind === 'wait') {
        counted += job.spec.pieces;
        for (const at of entry.firstStartAt.values()) if (at <= dueAt) met += 1;
      } else {
        counted += 1;
        if (entry.completedAt !== null && entry.completedAt <= dueAt && entry.view.toldDone) met += 1;
      }
    }
    return counted === 0 ? null : met / counted;
  }

  /** The time from which a job's dependencies allow it to start; null while one of them is not complete. */
  private startableAt({ view }: JobHistory): number | null {
    let at = view.submittedAt;
    for (const dependency of view.job.spec.awaits ?? []) {
      const doneAt = this.jobs.get(dependency)?.completedAt ?? null;
      if (doneAt === null) return null;
      at = Math.max(at, doneAt);
    }
    return at;
  }

  /**
   * The jobs on which the served share is based: accepted, submitted without a mistake, and with complete dependencies.
   * Of these, a job that has fully started always counts; any other counts only if its start limit has passed and its
   * user did not cancel it before that limit.
   */
  private eligible(entries: readonly JobHistory[]): JobHistory[] {
    const end = this.now();
    return entries.filter((entry) => {
      const { job, acceptedAt, cancelAskedAt, toldCancelled } = entry.view;
      if (acceptedAt === null || job.mistaken) return false;
      const startableAt = this.startableAt(entry);
      if (startableAt === null) return false;
      const limit = startableAt + START_LIMIT_MS;
      if (hasFullyStarted(entry)) return true;
      return limit <= end && !toldCancelled && (cancelAskedAt === null || cancelAskedAt > limit);
    });
  }

  /** The largest tenth of some jobs by task count, at least one if there are any. */
  private largest(entries: readonly JobHistory[]): JobHistory[] {
    const bySize = [...entries].sort((a, b) => b.view.job.spec.pieces - a.view.job.spec.pieces);
    return bySize.slice(0, Math.max(1, Math.ceil(bySize.length * LARGEST_JOBS_SHARE)));
  }

  /** Why the day has failed, apart from rule violations: one text per cause. */
  get failures(): string[] {
    const failures: string[] = [];
    const all = [...this.jobs.values()];
    const checkServed = (what: string, entries: readonly JobHistory[]): void => {
      const share = servedShare(entries);
      if (share !== null && share < MIN_SERVED_SHARE)
        failures.push(`${what}: ${(share * 100).toFixed(0)} % of ${entries.length} served`);
    };
    for (const { name } of this.day.classes) {
      const entries = this.eligible(all.filter(({ view }) => view.job.spec.jobclass === name));
      const largest = this.largest(entries);
      checkServed(`class ${name}`, entries);
      checkServed(`largest of ${name}`, largest);
      for (const entry of largest) {
        const startableAt = this.startableAt(entry);
        const firstStartAt = Math.min(...entry.firstStartAt.values());
        if (startableAt !== null && firstStartAt - startableAt > START_LIMIT_MS)
          failures.push(
            `largest of ${name}: ${entry.view.job.spec.ref} (${entry.view.job.spec.pieces} tasks) had no task started within four minutes`,
          );
      }
    }
    for (const { name } of this.day.teams)
      checkServed(`team ${name}`, this.eligible(all.filter(({ view }) => view.job.spec.owner === name)));
    return failures;
  }

  /** Number of jobs that can end by themselves and have not ended. */
  get unfinishedBatchJobs(): number {
    let left = 0;
    for (const { view } of this.jobs.values()) {
      const { job, refused, toldDone, toldCancelled } = view;
      if (job.spec.shape !== 'daemon' && !job.mistaken && !refused && !toldDone && !toldCancelled) left += 1;
    }
    return left;
  }

  /** References of the jobs that were accepted and are neither done nor cancelled. */
  get open(): string[] {
    const open = [...this.jobs.values()].filter(
      ({ view }) => view.acceptedAt !== null && !view.toldDone && !view.toldCancelled,
    );
    return open.map(({ view }) => view.job.spec.ref);
  }
}
