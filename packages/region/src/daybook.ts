import { build, type Histogram } from 'hdr-histogram-js';
import type { Aim, Day, DayClass } from './day/index.js';
import type { Cause, JobTruth, Machine, TaskWatch, UserView } from './models/index.js';

interface JobLine {
  readonly view: UserView;
  /** First start of each task. */
  readonly firstRun: Map<number, number>;
  completedAt: number | null;
  restarts: number;
  runningNow: number;
  /** Replica time inside the window that the class's aim counts, in milliseconds. */
  upMs: number;
  readonly upSince: Map<number, number>;
}

export interface Quantiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

export interface AimResult {
  readonly aim: Aim;
  /** null: nothing to count. */
  readonly share: number | null;
}

export interface ClassResult {
  readonly name: string;
  readonly shape: DayClass['shape'];
  readonly submitted: number;
  readonly accepted: number;
  readonly done: number;
  readonly cancelled: number;
  readonly refused: number;
  /** Accepted, and neither done nor cancelled when the day ended. */
  readonly open: number;
  readonly tasksStarted: number;
  /** Starts beyond each task's first. */
  readonly restarts: number;
  /** Seconds from submission to a task's first start; null: none started. */
  readonly waitS: Quantiles | null;
  /** Seconds from submission to the last task's completion. */
  readonly finishS: Quantiles | null;
  readonly aims: readonly AimResult[];
}

/** Tenths of a second up to a day, three digits. */
const histogram = (): Histogram =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: 86_400_000, numberOfSignificantValueDigits: 3 });

function quantiles(h: Histogram): Quantiles | null {
  if (h.totalCount === 0) return null;
  const at = (p: number): number => Math.round(h.getValueAtPercentile(p) / 100) / 10;
  return { p50: at(50), p95: at(95), p99: at(99) };
}

/** How things stood at one moment, by class. */
export interface Moment {
  readonly atS: number;
  /** Tasks that run. */
  readonly running: Readonly<Record<string, number>>;
  /** Tasks of accepted jobs that neither run nor have completed. */
  readonly waiting: Readonly<Record<string, number>>;
}

/** Keeps what becomes of every job, and says at the end how the day went, class by class. */
export class Daybook implements TaskWatch {
  private readonly jobs = new Map<string, JobLine>();
  private readonly runs = new Set<string>();

  constructor(
    private readonly day: Day,
    private readonly now: () => number,
  ) {}

  arrived(view: UserView): void {
    this.jobs.set(view.job.spec.ref, {
      ...{ view, firstRun: new Map<number, number>(), completedAt: null, restarts: 0, runningNow: 0 },
      ...{ upMs: 0, upSince: new Map<number, number>() },
    });
  }

  entered(): void {
    // Waiting for a gang is no start.
  }

  running(_machine: Machine, { spec }: JobTruth, index: number): void {
    const line = this.jobs.get(spec.ref);
    if (!line) return;
    this.runs.add(`${spec.ref}/${index}`);
    line.runningNow += 1;
    if (line.firstRun.has(index)) line.restarts += 1;
    else line.firstRun.set(index, this.now());
    if (spec.shape === 'daemon') line.upSince.set(index, this.now());
  }

  left(_machine: Machine, job: JobTruth, index: number, _attempt: number, cause: Cause | 'killed'): void {
    const line = this.jobs.get(job.spec.ref);
    if (!line) return;
    if (this.runs.delete(`${job.spec.ref}/${index}`)) line.runningNow -= 1;
    this.lastUp(line, index);
    if (cause === 'done' && job.complete) line.completedAt ??= this.now();
  }

  /** Counts a replica's time up to now, inside the window of its class's aim. */
  private lastUp(line: JobLine, index: number): void {
    const since = line.upSince.get(index);
    if (since === undefined) return;
    line.upSince.delete(index);
    const { from, to } = this.window(line);
    line.upMs += Math.max(0, Math.min(to, this.now()) - Math.max(from, since));
  }

  private window({ view }: JobLine): { from: number; to: number } {
    const c = this.day.classes.find(({ name }) => name === view.job.spec.jobclass);
    const aim = c?.aims.find(({ kind }) => kind === 'up');
    const withinMs = aim && 'within_s' in aim ? aim.within_s * 1000 : 0;
    return { from: view.submittedAt + withinMs, to: view.cancelAskedAt ?? Number.POSITIVE_INFINITY };
  }

  moment(): Moment {
    const running: Record<string, number> = {};
    const waiting: Record<string, number> = {};
    for (const { name } of this.day.classes) running[name] = waiting[name] = 0;
    for (const { view, runningNow } of this.jobs.values()) {
      const { job, acceptedAt, cancelAskedAt } = view;
      const { jobclass, pieces } = job.spec;
      running[jobclass] = (running[jobclass] ?? 0) + runningNow;
      if (acceptedAt === null || cancelAskedAt !== null || job.complete) continue;
      waiting[jobclass] = (waiting[jobclass] ?? 0) + Math.max(0, pieces - job.finished.size - runningNow);
    }
    return { atS: this.now() / 1000, running, waiting };
  }

  /** The whole day's figures; afterwards nothing more may be counted. */
  close(): ClassResult[] {
    for (const line of this.jobs.values()) for (const index of [...line.upSince.keys()]) this.lastUp(line, index);
    return this.day.classes.map((c) => this.result(c));
  }

  private result(c: DayClass): ClassResult {
    const lines = [...this.jobs.values()].filter(({ view }) => view.job.spec.jobclass === c.name);
    const [waits, finishes] = [histogram(), histogram()];
    const count = (holds: (view: UserView) => boolean): number => lines.filter(({ view }) => holds(view)).length;
    for (const { view, firstRun, completedAt } of lines) {
      for (const at of firstRun.values()) waits.recordValue(Math.max(1, Math.round(at - view.submittedAt)));
      if (completedAt !== null) finishes.recordValue(Math.max(1, Math.round(completedAt - view.submittedAt)));
    }
    return {
      name: c.name,
      shape: c.shape,
      submitted: lines.length,
      accepted: count((view) => view.acceptedAt !== null),
      done: count((view) => view.toldDone),
      cancelled: count((view) => view.toldCancelled),
      refused: count((view) => view.refused),
      open: count((view) => view.acceptedAt !== null && !view.toldDone && !view.toldCancelled),
      tasksStarted: lines.reduce((sum, line) => sum + line.firstRun.size, 0),
      restarts: lines.reduce((sum, line) => sum + line.restarts, 0),
      waitS: quantiles(waits),
      finishS: quantiles(finishes),
      aims: c.aims.map((aim) => ({ aim, share: this.share(aim, lines) })),
    };
  }

  /** Only jobs whose time was up before the day ended count, and none that its user took back before. */
  private share(aim: Aim, all: readonly JobLine[]): number | null {
    const end = this.now();
    let [met, counted] = [0, 0];
    for (const line of all) {
      const { job, submittedAt, cancelAskedAt } = line.view;
      if (job.mistaken || line.view.refused) continue;
      if (aim.kind === 'up') {
        const { from, to } = this.window(line);
        counted += Math.max(0, Math.min(to, end) - from) * job.spec.pieces;
        met += line.upMs;
        continue;
      }
      const withinMs = (aim.kind === 'deadline' ? (job.spec.due_s ?? 0) : aim.within_s) * 1000;
      const dueAt = submittedAt + withinMs;
      if (dueAt > end || (cancelAskedAt !== null && cancelAskedAt < dueAt)) continue;
      if (aim.kind === 'wait') {
        counted += job.spec.pieces;
        for (const at of line.firstRun.values()) if (at <= dueAt) met += 1;
      } else {
        counted += 1;
        if (line.completedAt !== null && line.completedAt <= dueAt && line.view.toldDone) met += 1;
      }
    }
    return counted === 0 ? null : met / counted;
  }

  /** Jobs that can end by themselves and have not. */
  get batchLeft(): number {
    let left = 0;
    for (const { view } of this.jobs.values()) {
      const { job, refused, toldDone, toldCancelled } = view;
      if (job.spec.shape !== 'daemon' && !job.mistaken && !refused && !toldDone && !toldCancelled) left += 1;
    }
    return left;
  }

  /** Jobs that were accepted and are neither done nor cancelled. */
  get open(): string[] {
    const open = [...this.jobs.values()].filter(
      ({ view }) => view.acceptedAt !== null && !view.toldDone && !view.toldCancelled,
    );
    return open.map(({ view }) => view.job.spec.ref);
  }
}
