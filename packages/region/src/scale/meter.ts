import { build, type Histogram } from 'hdr-histogram-js';
import type { JobTruth, Machine, TaskWatch, UserView } from '../models/index.js';

const MOST_MS = 3_600_000;

/** Milliseconds up to an hour, three digits. */
export const histogram = (): Histogram =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: MOST_MS, numberOfSignificantValueDigits: 3 });

export const record = (h: Histogram, ms: number): void => h.recordValue(Math.min(MOST_MS, Math.max(0, Math.round(ms))));

export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** In milliseconds; null: nothing was recorded. */
export function percentilesOf(h: Histogram): Percentiles | null {
  if (h.totalCount === 0) return null;
  const [p50, p99] = [h.getValueAtPercentile(50), h.getValueAtPercentile(99)];
  return { count: h.totalCount, p50, p99, max: h.maxValue };
}

/**
 * Parts of the time from a job's submission to a task's first start. accept: until the job is accepted; place: from there
 * until its worker has the start command, which is queue, placement and command together; image: until the image is there;
 * gather: until the rest of its gang is there.
 */
export const PHASES = ['accept', 'place', 'image', 'gather'] as const;
export type Phase = (typeof PHASES)[number];

export interface StartWaits {
  readonly jobClass: string;
  /** From submission to each task's first start, in milliseconds. */
  readonly total: Percentiles | null;
  readonly phases: Readonly<Record<Phase, Percentiles | null>>;
  /** Of all tasks of the jobs that count, those that had started within the class's aim; null: it has none. */
  readonly withinAim: number | null;
}

interface ClassMeter {
  readonly aimMs: number | null;
  readonly total: Histogram;
  readonly phases: Readonly<Record<Phase, Histogram>>;
}

interface Progress {
  orderedAt: number;
  enteredAt: number;
}

/** Counts starts and running tasks, and measures by class how long first starts take. All times are true times. */
export class StartMeter implements TaskWatch {
  private readonly views = new Map<string, UserView>();
  private readonly progress = new Map<string, Progress>();
  private readonly started = new Set<string>();
  private readonly runs = new Set<string>();
  private readonly meters = new Map<string, ClassMeter>();
  /** Of each job, how many tasks began within its class's aim. */
  private readonly inTime = new Map<string, number>();
  /** Jobs that are submitted from here on are measured, in milliseconds of true time. */
  measuredFrom = Number.POSITIVE_INFINITY;
  starts = 0;
  jobs = 0;
  runningPeak = 0;

  constructor(
    private readonly now: () => number,
    /** Aims for waits by class, in milliseconds. */
    private readonly aims: ReadonlyMap<string, number>,
  ) {}

  get runningNow(): number {
    return this.runs.size;
  }

  arrived(view: UserView): void {
    this.views.set(view.job.spec.ref, view);
    this.jobs += 1;
  }

  ordered(_machine: Machine, { spec }: JobTruth, index: number): void {
    const now = this.now();
    this.progress.set(`${spec.ref}/${index}`, { orderedAt: now, enteredAt: now });
  }

  entered(_machine: Machine, { spec }: JobTruth, index: number): void {
    const progress = this.progress.get(`${spec.ref}/${index}`);
    if (progress) progress.enteredAt = this.now();
  }

  running(_machine: Machine, { spec }: JobTruth, index: number): void {
    const key = `${spec.ref}/${index}`;
    this.starts += 1;
    this.runs.add(key);
    this.runningPeak = Math.max(this.runningPeak, this.runs.size);
    const progress = this.progress.get(key);
    this.progress.delete(key);
    const view = this.views.get(spec.ref);
    if (this.started.has(key) || !view) return;
    this.started.add(key);
    if (view.submittedAt >= this.measuredFrom) this.measure(view, progress);
  }

  left(_machine: Machine, { spec }: JobTruth, index: number): void {
    this.runs.delete(`${spec.ref}/${index}`);
    this.progress.delete(`${spec.ref}/${index}`);
  }

  private meterOf(jobClass: string): ClassMeter {
    let meter = this.meters.get(jobClass);
    if (!meter) {
      const phases = { accept: histogram(), place: histogram(), image: histogram(), gather: histogram() };
      meter = { aimMs: this.aims.get(jobClass) ?? null, total: histogram(), phases };
      this.meters.set(jobClass, meter);
    }
    return meter;
  }

  private measure({ job, submittedAt, acceptedAt }: UserView, progress: Progress | undefined): void {
    const now = this.now();
    const { ref, jobclass } = job.spec;
    const { aimMs, total, phases } = this.meterOf(jobclass);
    record(total, now - submittedAt);
    if (aimMs !== null && now - submittedAt <= aimMs) this.inTime.set(ref, (this.inTime.get(ref) ?? 0) + 1);
    if (!progress) return;
    // The user may hear of the acceptance only after the first start.
    const accepted = Math.min(acceptedAt ?? progress.orderedAt, progress.orderedAt);
    record(phases.accept, accepted - submittedAt);
    record(phases.place, progress.orderedAt - accepted);
    record(phases.image, progress.enteredAt - progress.orderedAt);
    record(phases.gather, now - progress.enteredAt);
  }

  /** Waits by class. Jobs whose aim was not up before now are left out of the share within it. */
  waits(): StartWaits[] {
    return [...this.meters].map(([jobClass, { aimMs, total, phases }]) => ({
      jobClass,
      total: percentilesOf(total),
      phases: {
        accept: percentilesOf(phases.accept),
        place: percentilesOf(phases.place),
        image: percentilesOf(phases.image),
        gather: percentilesOf(phases.gather),
      },
      withinAim: aimMs === null ? null : this.shareWithin(jobClass, aimMs),
    }));
  }

  private shareWithin(jobClass: string, aimMs: number): number | null {
    const end = this.now();
    let [due, met] = [0, 0];
    for (const { job, submittedAt, refused, cancelAskedAt } of this.views.values()) {
      const dueAt = submittedAt + aimMs;
      if (job.spec.jobclass !== jobClass || submittedAt < this.measuredFrom || refused || dueAt > end) continue;
      if (cancelAskedAt !== null && cancelAskedAt < dueAt) continue;
      due += job.spec.pieces;
      met += this.inTime.get(job.spec.ref) ?? 0;
    }
    return due === 0 ? null : met / due;
  }
}
