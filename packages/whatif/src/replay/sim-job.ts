import type { JobSpec } from '../../../../src/jobs/index.js';
import type { MachineId } from '../../../../src/kernel/index.js';
import { median } from '../../../../src/speculation/index.js';
import type { JobOutcome, ScenarioJob } from '../night/index.js';
import type { SimTask } from './sim-machine.js';

/** Number of latest run times kept for the median and the straggler check. */
const MAX_RECENT_RUNS = 100;
/** Time during which a job is not placed on a machine on which one of its tasks failed or was a straggler. */
const AVOID_MACHINE_S = 60;

/** State of one job in the replay. Times are in seconds since the night began. */
export class SimJob {
  readonly spec: JobSpec;
  /** Tasks that are on a machine, by index. */
  readonly active = new Map<number, SimTask>();
  /** 1 for each completed task, by index. */
  private readonly done: Uint8Array;
  doneCount = 0;
  /** Seconds of checkpointed work by task index; a gang has one entry, under 0. */
  readonly savedWorkS = new Map<number, number>();
  /** Time of the first start by task index. */
  private readonly firstStarts = new Map<number, number>();
  private startCount = 0;
  /**
   * Start of the gang run whose work was saved last. It prevents saving a run once per task, as all tasks of a gang
   * share it.
   */
  lastSavedGangStartS: number | null = null;
  /** Indices of tasks that were restarted as stragglers, which happens once per task. */
  readonly restarted = new Set<number>();
  /** Run times of the tasks completed last. */
  readonly recentRunsS: number[] = [];
  private medianRunS: number | null = null;
  private readonly avoidUntilS = new Map<MachineId, number>();
  /** Time of the first start of any task. */
  startedS: number | null = null;
  /** Since when tasks of the job could not be placed; null if there are none. */
  unplacedSinceS: number | null = null;
  /** Highest number of tasks that had no room at once. */
  private maxUnplaced = 0;
  /** End of the backoff after a failure; no task is placed before it. */
  notBeforeS = 0;
  /** Number of backoffs so far; the backoff doubles with each. */
  failureRetries = 0;
  /** Machines on which a task of the job failed. */
  readonly errorMachines = new Set<MachineId>();
  ended: { readonly atS: number; readonly phase: 'done' | 'cancelled' } | null = null;
  /** All tasks below this index are done. */
  private firstUnfinished = 0;
  /** Number of tasks that were stopped or failed, by reason. */
  private readonly restartCauses = new Map<string, number>();

  constructor(
    readonly played: ScenarioJob,
    /** Time of submission in the replay. */
    readonly submittedS: number,
    /** Returns the run time of a task by index. */
    readonly runS: (index: number) => number,
  ) {
    this.spec = played.spec;
    this.done = new Uint8Array(played.spec.tasks);
  }

  /** Number of tasks that are neither done nor on a machine. */
  get missing(): number {
    return this.spec.tasks - this.doneCount - this.active.size;
  }

  /** Median of the recent run times, or the user's estimate before the first task completes. */
  get expectedRunS(): number {
    return this.medianRunS ?? this.spec.estimateS;
  }

  /** Tasks failed on at least three machines and none completed, so that the fault lies in the job. */
  get failsEverywhere(): boolean {
    return this.errorMachines.size >= 3 && this.doneCount === 0;
  }

  isDone(index: number): boolean {
    return this.done[index] === 1;
  }

  /** Returns the first tasks that can be placed, up to `limit`. */
  readyTasks(limit: number): number[] {
    const { tasks } = this.spec;
    while (this.firstUnfinished < tasks && this.done[this.firstUnfinished] === 1) this.firstUnfinished += 1;
    const ready: number[] = [];
    for (let i = this.firstUnfinished; i < tasks && ready.length < limit; i++)
      if (this.done[i] === 0 && !this.active.has(i)) ready.push(i);
    return ready;
  }

  markDone(index: number): void {
    if (this.done[index] === 1) return;
    this.done[index] = 1;
    this.doneCount += 1;
  }

  /** Adds the run time of a completed task to the median. */
  recordRun(ranS: number): void {
    this.recentRunsS.push(ranS);
    if (this.recentRunsS.length > MAX_RECENT_RUNS) this.recentRunsS.shift();
    this.medianRunS = median(this.recentRunsS);
  }

  /** Records the start of a task, including restarts. */
  recordStart(index: number, atS: number): void {
    this.startCount += 1;
    this.startedS ??= atS;
    if (!this.firstStarts.has(index)) this.firstStarts.set(index, atS);
  }

  /** Excludes a machine from placement of this job for `AVOID_MACHINE_S`. */
  avoidMachine(machine: MachineId, nowS: number): void {
    this.avoidUntilS.set(machine, nowS + AVOID_MACHINE_S);
  }

  /** Returns the machines on which this job is not placed now. */
  machinesToAvoid(nowS: number): ReadonlySet<MachineId> {
    for (const [id, untilS] of this.avoidUntilS) if (untilS < nowS) this.avoidUntilS.delete(id);
    return new Set(this.avoidUntilS.keys());
  }

  /** Counts a reason for which a task was stopped or failed. */
  countCause(cause: string): void {
    this.restartCauses.set(cause, (this.restartCauses.get(cause) ?? 0) + 1);
  }

  /** Records that `count` tasks had no room. */
  recordUnplaced(count: number): void {
    this.maxUnplaced = Math.max(this.maxUnplaced, count);
  }

  /** Summarizes the job for the forecast, with the factors that decided its finishing time. */
  outcome(): JobOutcome {
    const decided = [...this.restartCauses].map(([cause, count]) => `${count} tasks: ${cause}`);
    if (this.maxUnplaced > 0 && this.spec.kind === 'gang')
      decided.push(`waited for room for its gang of ${this.spec.tasks}`);
    else if (this.maxUnplaced > 0)
      decided.push(`waited for machines (${this.maxUnplaced} of ${this.spec.tasks} tasks had no room)`);
    return {
      ...{ id: this.spec.id, spec: this.spec, submittedS: this.submittedS, startedS: this.startedS },
      ...{ finishedS: this.ended?.atS ?? null, phase: this.ended?.phase ?? null },
      restarts: this.startCount - this.firstStarts.size,
      waitsS: [...this.firstStarts.values()].map((at) => Math.max(0, at - this.submittedS)),
      decided: decided.length > 0 ? decided : ['its own run time'],
    };
  }
}
