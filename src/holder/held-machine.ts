import type { JobId, Logger, MachineId, Millis, Revision, Runtime, SocketBudget, TaskKey } from '../kernel/index.js';
import type { BlockMachine } from '../membership/index.js';
import type { MachineView } from '../placement/index.js';
import { CommandSender, WorkerTracker, type CommandSenderHooks, type TaskIndexListener } from '../workers/index.js';
import type { Booking } from './booking.js';
import type { ActiveTask, JobRun } from './job-run.js';
import type { JobOutcome } from './job-outcomes.js';
import type { TaskFailure } from './job-failures.js';
import { MachineHealth, type MachineAssessment, type MachineState, type UnsettledTask } from './machine-health.js';

/** What a machine needs from the holder of its shard. */
export interface HeldMachineHooks extends CommandSenderHooks {
  /** What has become of a job that has left the shard. */
  outcomeOf(job: JobId): JobOutcome;
}

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
  /** What task failures show about the machine. */
  private readonly health: MachineHealth;
  /** State of the machine that was last logged. */
  private loggedState: MachineState = 'healthy';
  /** When it was last looked at which tasks here have run well. */
  private stableNotedAt: Millis | null = null;
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
    hooks: HeldMachineHooks,
    sockets: SocketBudget,
  ) {
    const now = runtime.now();
    this.health = new MachineHealth((job) => hooks.outcomeOf(job));
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

  /** Records that a task of a job failed here. Returns whether the machine gets no more tasks because of it. */
  noteFailure(
    run: JobRun,
    { index, ranMs }: Pick<TaskFailure, 'index' | 'ranMs'>,
    now: Millis,
    jitter: number,
  ): boolean {
    this.noteStableTasks(now);
    const { state } = this.assess(now);
    const failure = { index, ranMs, machine: this.id };
    run.noteFailure(failure, now, jitter, this.health.hasWorkedSinceFailureOf(run.id));
    this.health.recordFailure(run, failure, now, state === 'probation');
    return state !== 'suspended' && this.assess(now).state === 'suspended';
  }

  /** Takes over the previous holder's verdict that the machine is faulty. */
  markFaulty(now: Millis): void {
    this.health.inheritFaulty(now);
  }

  /** Records that a task that this holder started here has run well. */
  noteWorked(task: ActiveTask, now: Millis): void {
    if (task.hasWorked || task.adopted) return;
    task.hasWorked = true;
    this.health.recordGoodStart(task.orderedAt, now);
  }

  /** Records which of the tasks here have run well. */
  private noteStableTasks(now: Millis): void {
    if (this.stableNotedAt === now) return;
    this.stableNotedAt = now;
    for (const { run, task } of this.active.values()) if (run.runsStably(task, now)) this.noteWorked(task, now);
  }

  /** Tasks that this holder started here and that have not yet shown whether they run well. */
  private unsettledTasks(): UnsettledTask[] {
    const started = [...this.active.values()].filter(({ task }) => !task.adopted && !task.hasWorked);
    return started.map(({ run, task }) => ({
      startedAt: task.orderedAt,
      gang: run.spec.kind === 'gang' ? run.id : null,
    }));
  }

  /** Assesses whether the machine may get new tasks. */
  assess(now: Millis): MachineAssessment {
    if (this.health.isSuspect(now)) this.noteStableTasks(now);
    return this.health.assess(now, () => this.unsettledTasks());
  }

  /** The state to log if it differs from the one that was logged last; null if there is nothing to log. */
  stateToLog(now: Millis): MachineState | null {
    const { state } = this.assess(now);
    if (state === this.loggedState) return null;
    this.loggedState = state;
    return state;
  }

  /** Records a completed task's run time relative to the median of its job. */
  noteRun(job: JobId, ratio: number, now: Millis): void {
    this.health.recordRun(job, ratio, now);
  }
}
