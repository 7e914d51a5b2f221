import type { JobId, Logger, MachineId, Millis, Revision, Runtime, SocketBudget, TaskKey } from '../kernel/index.js';
import type { BlockMachine } from '../membership/index.js';
import type { MachineView } from '../placement/index.js';
import { CommandSender, WorkerTracker, type CommandSenderHooks, type TaskIndexListener } from '../workers/index.js';
import type { Booking } from './booking.js';
import type { ActiveTask, JobRun } from './job-run.js';

/** A task failure on the machine. */
interface Failure {
  readonly job: JobId;
  readonly at: Millis;
}

/** Older failures no longer count. */
const FAILURE_MEMORY_MS = 180_000;

/** State of one machine of the block on the node that holds the shard. */
export class HeldMachine {
  readonly tracker: WorkerTracker;
  readonly commandSender: CommandSender;
  /** Tasks that this holder has started or adopted here. */
  readonly active = new Map<TaskKey, { readonly run: JobRun; readonly task: ActiveTask }>();
  /** Cached resource booking; see `booking.ts`. */
  booking: Booking | null = null;
  /** View that the last placement plan used, and the booking that it was made from. */
  view: { readonly booking: Booking; readonly view: MachineView } | null = null;
  /** Attempts whose exit has been handled, until the worker no longer lists them. */
  readonly processedExits = new Map<TaskKey, number>();
  /** Attempts that were listed unexpectedly, until the worker no longer lists them; see `UnexpectedTasks`. */
  readonly unexpectedAttempts = new Map<TaskKey, number>();
  /** When a stop order was last sent, by task. */
  readonly stopSentAt = new Map<TaskKey, Millis>();
  private images: string[] = [];
  private failures: Failure[] = [];
  /** Moving average of task run times relative to the median of their job. */
  private slowness = 1;
  /** Number of run times in `slowness`. */
  private runs = 0;
  /** When the cloud provider reclaims the machine, if it has given notice. */
  noticeUntil: Millis | null = null;
  /** No tasks are placed here before this time, after the worker refused one as full or busy. */
  cooldownUntil: Millis;
  /** Since when it is idle; see `Booking.inUse`. */
  idleSince: Millis;
  /** It answers commands, but no report of it has arrived for longer than a lease. */
  unreporting = false;
  /** Its lease has expired and the worker has not reported since. */
  lost = false;
  /** Since when it has listed tasks of ended jobs; null when it lists none. */
  leftoversSince: Millis | null = null;
  /** Whether the warning about such tasks has been logged. */
  leftoversLogged = false;
  /** When it was last reported as lost, which makes the leader delete it. */
  reportedLostAt: Millis | null = null;
  /** It is no longer in the block, but tasks of this shard may still run on it. */
  isMissing = false;
  /**
   * Set when it is to leave the block (`to` null: to be returned): it gets no new tasks. `since` is -1 once that is
   * being written.
   */
  leaving: { readonly to: string | null; readonly since: Millis } | null = null;

  constructor(
    readonly info: BlockMachine,
    base: Revision,
    runtime: Runtime,
    log: Logger,
    taskIndex: TaskIndexListener,
    hooks: CommandSenderHooks,
    sockets: SocketBudget,
  ) {
    const now = runtime.now();
    this.tracker = new WorkerTracker(base, now, { listener: taskIndex, machine: info.id });
    this.commandSender = new CommandSender(info.id, this.tracker, runtime, log, hooks, sockets);
    this.commandSender.setAddress(info.address);
    this.cooldownUntil = now;
    this.idleSince = now;
  }

  get id(): MachineId {
    return this.info.id;
  }

  /** Records that the machine has an image. Returns true when that was not known before. */
  noteImage(image: string): boolean {
    if (image === '' || this.images[0] === image) return false;
    const fresh = !this.images.includes(image);
    this.images = [image, ...this.images.filter((known) => known !== image)].slice(0, 8);
    return fresh;
  }

  /** The last images used here, most recent first. */
  get imageList(): readonly string[] {
    return this.images;
  }

  /** Records that a task of the job failed here. */
  noteFailure(job: JobId, now: Millis): void {
    this.failures.push({ job, at: now });
    if (this.failures.length > 50) this.failures.shift();
  }

  /** Discards the failures of a job that turned out to be at fault itself. */
  clearFailuresOf(job: JobId): void {
    this.failures = this.failures.filter((failure) => failure.job !== job);
  }

  /** Takes over the previous holder's verdict that the machine is faulty; it expires like other failures. */
  markFaulty(now: Millis): void {
    for (const n of ['1', '2', '3']) this.failures.push({ job: `earlier-${n}` as JobId, at: now });
  }

  /** Records a completed task's run time relative to the median of its job. */
  noteRun(ratio: number): void {
    this.runs += 1;
    this.slowness += (ratio - this.slowness) / Math.min(this.runs + 1, 5);
    if (ratio < 1.5) this.failures.shift();
  }

  /** Number of recent failures, plus one if tasks run slowly here; 0 for a healthy machine. */
  suspicion(now: Millis): number {
    const recent = this.failures.length === 0 ? 0 : this.failures.filter((f) => now - f.at < FAILURE_MEMORY_MS).length;
    return recent + (this.runs >= 3 && this.slowness > 1.5 ? 1 : 0);
  }

  /**
   * Whether the machine is at fault: tasks of several jobs fail, many tasks fail, or tasks take more than twice the
   * usual time.
   */
  faulty(now: Millis): boolean {
    if (this.runs >= 4 && this.slowness > 2) return true;
    if (this.failures.length === 0) return false;
    const recent = this.failures.filter((f) => now - f.at < FAILURE_MEMORY_MS);
    return recent.length >= 3 || new Set(recent.map((f) => f.job)).size >= 2;
  }
}
