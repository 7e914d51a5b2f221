import type { MachineId, Millis } from '../kernel/index.js';
import { FailureHistory } from './failure-history.js';

/** A task that exited with an error. */
export interface TaskFailure {
  readonly index: number;
  readonly machine: MachineId;
  /** How long the task had run, in milliseconds; 0 if that is not known. */
  readonly ranMs: number;
}

/**
 * What a failure is evidence of, as far as is known now. `job`: the job or the task is at fault, or the job has ended
 * without a success. `unknown`: nothing of the job has worked anywhere yet. `suspected-machine`: other tasks of the job
 * have worked. `machine`: the task itself has worked elsewhere since.
 */
export type FailureCause = 'job' | 'unknown' | 'suspected-machine' | 'machine';

/** A task that ran this long shows that its job does not fail at the start. */
const STABLE_RUN_MS = 10_000;
/** A job whose tasks fail after some time has to run longer than this multiple of that time, within limits. */
const STABLE_RUN_FACTOR = 2;
const MAX_STABLE_RUN_MS = 120_000;
/** Number of tasks whose failures are remembered one by one. */
const MAX_FAILED_TASKS = 1000;

/** The failures of one job's tasks. */
export class JobFailures {
  private readonly ofJob: FailureHistory;
  private readonly byTask = new Map<number, FailureHistory>();
  private longestFailedMs = 0;
  /** When a task last failed in this shard. */
  lastAt: Millis | null = null;

  /** `elsewhere`: machines on which the job failed before it came to this shard. */
  constructor(elsewhere: readonly MachineId[]) {
    this.ofJob = new FailureHistory(elsewhere);
  }

  /** Records a failure. `machineHasWorkedSince`: tasks have run well on its machine since the job last failed there. */
  record({ index, machine, ranMs }: TaskFailure, now: Millis, machineHasWorkedSince: boolean): void {
    this.lastAt = now;
    this.longestFailedMs = Math.max(this.longestFailedMs, ranMs);
    this.ofJob.record(machine, machineHasWorkedSince);
    this.historyOfTask(index).record(machine, machineHasWorkedSince);
  }

  private historyOfTask(index: number): FailureHistory {
    const known = this.byTask.get(index);
    if (known) return known;
    const [oldest] = this.byTask.keys();
    if (oldest !== undefined && this.byTask.size >= MAX_FAILED_TASKS) this.byTask.delete(oldest);
    const history = new FailureHistory();
    this.byTask.set(index, history);
    return history;
  }

  /** Whether the job fails wherever it is tried. */
  get showJobAtFault(): boolean {
    return this.ofJob.showsOwnFault;
  }

  /** Whether this one task fails wherever it is tried. */
  showTaskAtFault(index: number): boolean {
    return this.byTask.get(index)?.showsOwnFault === true;
  }

  /** How long a task has to run, in milliseconds, to show that it works. */
  get stableRunMs(): number {
    return Math.max(STABLE_RUN_MS, Math.min(STABLE_RUN_FACTOR * this.longestFailedMs, MAX_STABLE_RUN_MS));
  }

  /** The machines on which tasks of the job have failed. */
  get machines(): MachineId[] {
    return this.ofJob.machines;
  }
}
