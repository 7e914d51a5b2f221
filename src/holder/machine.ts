import type { JobId, Logger, MachineId, Millis, Revision, Runtime, SocketBudget, TaskKey } from '../kernel/index.js';
import type { BlockMachine } from '../membership/index.js';
import type { MachineView } from '../placement/index.js';
import { CommandSender, MachineBelief, type CommandSenderHooks, type Mentions } from '../workers/index.js';
import type { Booking } from './booking.js';
import type { ActiveTask, JobRun } from './run.js';

interface Failure {
  readonly job: JobId;
  readonly at: Millis;
}

const FAILURE_MEMORY_MS = 180_000;

/** One machine of the block, as its holder sees it. */
export class HeldMachine {
  readonly belief: MachineBelief;
  readonly commandSender: CommandSender;
  /** The tasks that this holder has put here or found here. */
  readonly active = new Map<TaskKey, { readonly run: JobRun; readonly task: ActiveTask }>();
  /** What is booked here, as of the last change; see `booking.ts`. */
  booking: Booking | null = null;
  /** How the last plan saw it. */
  view: { readonly booking: Booking; readonly view: MachineView } | null = null;
  /** Exits that have been taken in, until the worker no longer lists them. */
  readonly seenExits = new Map<TaskKey, number>();
  readonly stopSentAt = new Map<TaskKey, Millis>();
  private images: string[] = [];
  private failures: Failure[] = [];
  private slowness = 1;
  private runs = 0;
  noticeUntil: Millis | null = null;
  coolUntil: Millis;
  emptySince: Millis;
  /** It answers commands, and none of its reports has come for longer than a lease. */
  mute = false;
  /** The lease is over and the worker has not come back. */
  lost = false;
  /** Since when it is known to list tasks of jobs that are over; null: it doesn't. */
  leftoversSince: Millis | null = null;
  leftoversTold = false;
  /** When it was last told to the leader to be deleted. */
  givenUpAt: Millis | null = null;
  /** It is not in the block any more, and something of this shard may run there. */
  missing = false;
  /** Asked to leave the block: no new tasks. */
  leaving: { readonly to: string | null; readonly since: Millis } | null = null;

  constructor(
    readonly info: BlockMachine,
    base: Revision,
    runtime: Runtime,
    log: Logger,
    mentions: Mentions,
    hooks: CommandSenderHooks,
    sockets: SocketBudget,
  ) {
    const now = runtime.now();
    this.belief = new MachineBelief(base, now, { mentions, machine: info.id });
    this.commandSender = new CommandSender(info.id, this.belief, runtime, log, hooks, sockets);
    this.commandSender.setAddress(info.address);
    this.coolUntil = now;
    this.emptySince = now;
  }

  get id(): MachineId {
    return this.info.id;
  }

  /** True when the machine is not known to have had it. */
  noteImage(image: string): boolean {
    if (image === '' || this.images[0] === image) return false;
    const fresh = !this.images.includes(image);
    this.images = [image, ...this.images.filter((known) => known !== image)].slice(0, 8);
    return fresh;
  }

  get imageList(): readonly string[] {
    return this.images;
  }

  noteFailure(job: JobId, now: Millis): void {
    this.failures.push({ job, at: now });
    if (this.failures.length > 50) this.failures.shift();
  }

  /** The job was at fault. */
  absolve(job: JobId): void {
    this.failures = this.failures.filter((failure) => failure.job !== job);
  }

  /** Its last holder took it for faulty; that is forgotten like failures of our own. */
  condemn(now: Millis): void {
    for (const nth of ['1', '2', '3']) this.failures.push({ job: `earlier-${nth}` as JobId, at: now });
  }

  /** A completed task's run time against its siblings'. */
  noteRun(ratio: number): void {
    this.runs += 1;
    this.slowness += (ratio - this.slowness) / Math.min(this.runs + 1, 5);
    if (ratio < 1.5) this.failures.shift();
  }

  suspicion(now: Millis): number {
    const recent = this.failures.length === 0 ? 0 : this.failures.filter((f) => now - f.at < FAILURE_MEMORY_MS).length;
    return recent + (this.runs >= 3 && this.slowness > 1.5 ? 1 : 0);
  }

  /** Fails the tasks of several jobs, or keeps failing, or is slow beyond doubt. */
  faulty(now: Millis): boolean {
    if (this.runs >= 4 && this.slowness > 2) return true;
    if (this.failures.length === 0) return false;
    const recent = this.failures.filter((f) => now - f.at < FAILURE_MEMORY_MS);
    return recent.length >= 3 || new Set(recent.map((f) => f.job)).size >= 2;
  }
}
