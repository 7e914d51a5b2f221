/** Measures how long tasks take from submission to their first start. */

import { build, type Histogram } from 'hdr-histogram-js';
import type { SimulatedJob, Machine, TaskObserver, UserView } from '../models/index.js';

const MAX_RECORDED_MS = 3_600_000;

/** Creates a histogram of durations in milliseconds, up to one hour, with three significant digits. */
export const createHistogram = (): Histogram =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_RECORDED_MS, numberOfSignificantValueDigits: 3 });

/** Records a duration in milliseconds; values outside the range of the histogram are clamped to it. */
export const recordDuration = (target: Histogram, ms: number): void =>
  target.recordValue(Math.min(MAX_RECORDED_MS, Math.max(0, Math.round(ms))));

/** Summary of recorded durations in milliseconds. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** Summarizes a histogram; null if it is empty. */
export function percentilesOf(source: Histogram): Percentiles | null {
  if (source.totalCount === 0) return null;
  const [p50, p99] = [source.getValueAtPercentile(50), source.getValueAtPercentile(99)];
  return { count: source.totalCount, p50, p99, max: source.maxValue };
}

/**
 * Phases between the submission of a job and the first start of a task. `accept` lasts until the job is accepted; `place`
 * until the worker has the start command, so it covers the queue, the placement and the command; `image` until the worker has
 * the image; `gather` until the rest of the gang is there.
 */
export const START_PHASES = ['accept', 'place', 'image', 'gather'] as const;
/** One of the phases before a first start. */
export type StartPhase = (typeof START_PHASES)[number];

/** Delays of the first starts of a class. */
export interface StartWaits {
  readonly jobClass: string;
  /** Time from submission to the first start of each task, in milliseconds. */
  readonly total: Percentiles | null;
  readonly phases: Readonly<Record<StartPhase, Percentiles | null>>;
  /**
   * Share of the tasks that started within the objective of the class; null if the class has no objective or no job has
   * counted yet.
   */
  readonly withinAim: number | null;
}

/** Histograms of the first starts of a class. */
interface ClassHistograms {
  readonly aimMs: number | null;
  readonly total: Histogram;
  readonly phases: Readonly<Record<StartPhase, Histogram>>;
}

/** True times of a start that is under way. */
interface PendingStart {
  /** When the worker accepted the start command. */
  orderedAt: number;
  /** When the worker had the image. */
  enteredAt: number;
}

/** Counts starts and running tasks, and measures the delays of first starts by class. All times are true times. */
export class StartMeter implements TaskObserver {
  private readonly userViews = new Map<string, UserView>();
  private readonly pendingStarts = new Map<string, PendingStart>();
  private readonly startedTasks = new Set<string>();
  private readonly runningTasks = new Set<string>();
  private readonly histogramsByClass = new Map<string, ClassHistograms>();
  /** Number of tasks of each job that started within the objective of its class. */
  private readonly startsWithinAim = new Map<string, number>();
  /** Only jobs that are submitted at this true time in milliseconds or later are measured. */
  measuredFrom = Number.POSITIVE_INFINITY;
  /** Task starts so far, repeated ones included. */
  starts = 0;
  /** Jobs that users have uploaded so far. */
  jobs = 0;
  /** Most tasks that ran at the same time; the run resets it when the measurement starts. */
  runningPeak = 0;

  constructor(
    private readonly now: () => number,
    /** Aims for the time to the first start in milliseconds, by class. */
    private readonly aimsMs: ReadonlyMap<string, number>,
  ) {}

  /** Number of tasks that run now. */
  get runningNow(): number {
    return this.runningTasks.size;
  }

  /** A user has uploaded a job. */
  arrived(view: UserView): void {
    this.userViews.set(view.job.spec.ref, view);
    this.jobs += 1;
  }

  ordered(_machine: Machine, { spec }: SimulatedJob, index: number): void {
    const nowMs = this.now();
    this.pendingStarts.set(`${spec.ref}/${index}`, { orderedAt: nowMs, enteredAt: nowMs });
  }

  entered(_machine: Machine, { spec }: SimulatedJob, index: number): void {
    const pendingStart = this.pendingStarts.get(`${spec.ref}/${index}`);
    if (pendingStart) pendingStart.enteredAt = this.now();
  }

  running(_machine: Machine, { spec }: SimulatedJob, index: number): void {
    const key = `${spec.ref}/${index}`;
    this.starts += 1;
    this.runningTasks.add(key);
    this.runningPeak = Math.max(this.runningPeak, this.runningTasks.size);
    const pendingStart = this.pendingStarts.get(key);
    this.pendingStarts.delete(key);
    const view = this.userViews.get(spec.ref);
    if (this.startedTasks.has(key) || !view) return;
    this.startedTasks.add(key);
    if (view.submittedAt >= this.measuredFrom) this.recordFirstStart(view, pendingStart);
  }

  left(_machine: Machine, { spec }: SimulatedJob, index: number): void {
    this.runningTasks.delete(`${spec.ref}/${index}`);
    this.pendingStarts.delete(`${spec.ref}/${index}`);
  }

  private histogramsFor(jobClass: string): ClassHistograms {
    let classHistograms = this.histogramsByClass.get(jobClass);
    if (!classHistograms) {
      const phases = {
        accept: createHistogram(),
        place: createHistogram(),
        image: createHistogram(),
        gather: createHistogram(),
      };
      classHistograms = { aimMs: this.aimsMs.get(jobClass) ?? null, total: createHistogram(), phases };
      this.histogramsByClass.set(jobClass, classHistograms);
    }
    return classHistograms;
  }

  /** Records the phases of a first start; without a pending start only the total. */
  private recordFirstStart({ job, submittedAt, acceptedAt }: UserView, pendingStart: PendingStart | undefined): void {
    const nowMs = this.now();
    const { ref, jobclass } = job.spec;
    const { aimMs, total, phases } = this.histogramsFor(jobclass);
    recordDuration(total, nowMs - submittedAt);
    if (aimMs !== null && nowMs - submittedAt <= aimMs)
      this.startsWithinAim.set(ref, (this.startsWithinAim.get(ref) ?? 0) + 1);
    if (!pendingStart) return;
    // The user may receive the acceptance after the first start.
    const accepted = Math.min(acceptedAt ?? pendingStart.orderedAt, pendingStart.orderedAt);
    recordDuration(phases.accept, accepted - submittedAt);
    recordDuration(phases.place, pendingStart.orderedAt - accepted);
    recordDuration(phases.image, pendingStart.enteredAt - pendingStart.orderedAt);
    recordDuration(phases.gather, nowMs - pendingStart.enteredAt);
  }

  /** Returns the start delays by class. Jobs whose objective has not passed yet are left out of the share within the objective. */
  waits(): StartWaits[] {
    return [...this.histogramsByClass].map(([jobClass, { aimMs, total, phases }]) => ({
      jobClass,
      total: percentilesOf(total),
      phases: {
        accept: percentilesOf(phases.accept),
        place: percentilesOf(phases.place),
        image: percentilesOf(phases.image),
        gather: percentilesOf(phases.gather),
      },
      withinAim: aimMs === null ? null : this.shareWithinAim(jobClass, aimMs),
    }));
  }

  /** Share of due tasks that started within the objective. Refused jobs, and jobs cancelled before the objective passed, do not count. */
  private shareWithinAim(jobClass: string, aimMs: number): number | null {
    const end = this.now();
    let [due, met] = [0, 0];
    for (const { job, submittedAt, refused, cancelAskedAt } of this.userViews.values()) {
      const dueAt = submittedAt + aimMs;
      if (job.spec.jobclass !== jobClass || submittedAt < this.measuredFrom || refused || dueAt > end) continue;
      if (cancelAskedAt !== null && cancelAskedAt < dueAt) continue;
      due += job.spec.pieces;
      met += this.startsWithinAim.get(job.spec.ref) ?? 0;
    }
    return due === 0 ? null : met / due;
  }
}
