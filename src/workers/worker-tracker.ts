import {
  millis,
  sequence,
  session,
  fencingToken,
  withClockDriftMargin,
  type Attempt,
  type MachineId,
  type Millis,
  type Revision,
  type Sequence,
  type Session,
  type TaskKey,
  type FencingToken,
} from '../kernel/index.js';
import type { TaskIndexListener } from './task-index.js';
import type { ListedTask, WorkerMessage } from './wire.js';

/** True when a message is newer than a position: of a later session, or later in the same session. */
const isAfter = (
  message: Pick<WorkerMessage, 'session' | 'sequence'>,
  at: { readonly session: Session; readonly sequence: Sequence },
): boolean => message.session > at.session || (message.session === at.session && message.sequence > at.sequence);

/** Fencing tokens per revision of the shard key: a holder can raise its token this often between two revisions. */
export const TOKENS_PER_REVISION = 2 ** 20;

/** Tokens of a revision that are kept for commands of unknown outcome and for restarts of the worker. */
const RESERVED_TOKENS = 2 ** 10;

/** The fencing token of a machine's holder. Revisions only grow, so a later holder always has the higher token. */
export const fencingTokenOf = (base: Revision, increment: number): FencingToken =>
  fencingToken(base * TOKENS_PER_REVISION + increment);

/** The highest token that earlier holders can have used. */
const lastTokenBefore = (base: Revision): FencingToken => fencingToken(base * TOKENS_PER_REVISION - 1);

/** Indexes listed tasks. An attempt that has not exited hides exited ones of the same task, in whatever order they come. */
function indexByKey(tasks: readonly ListedTask[]): Map<TaskKey, ListedTask> {
  const index = new Map<TaskKey, ListedTask>();
  for (const task of tasks) {
    const other = index.get(task.key);
    if (!other || other.state === 'exited' || task.state !== 'exited') index.set(task.key, task);
  }
  return index;
}

/** A start that was sent, or is about to be, and whose outcome is not known yet. */
interface PendingStart {
  readonly attempt: Attempt;
  readonly token: FencingToken;
  readonly session: Session;
}

/** What became of a message: applied, ignored as old, or evidence that another holder has a higher token. */
export type MessageOutcome = 'applied' | 'stale' | 'superseded';

/** The newest message that was known of a worker at some moment. */
export interface MessagePosition {
  readonly session: Session;
  readonly sequence: Sequence;
  /** The highest token that the worker has acknowledged. */
  readonly token: FencingToken;
}

/**
 * Stale messages in a row before the worker is probed. A single one is a delayed copy or was overtaken; several without
 * a newer one may be all that the worker sends, because it has restarted.
 */
const STALE_MESSAGES_TO_PROBE = 2;

/**
 * Tracks which tasks may be on one machine. A started task may be there from before its command is sent until a newer
 * message, an acknowledged higher token, a new session or the end of the lease settles it. An answered command may still
 * be executed again later: a copy has no effect while the worker lists its attempts, and afterwards only because the
 * worker has seen a higher token (`retireStarts`). Pure: it uses neither clock nor network. A test compares it with a
 * reference model under random interleavings.
 */
export class WorkerTracker {
  /** How often the token has been raised since `base`. */
  private increment = 0;
  /** The tasks that the worker's newest message lists. */
  private listedTasks = new Map<TaskKey, ListedTask>();
  private readonly starts = new Map<TaskKey, PendingStart>();
  /** A token above those of all commands of unknown outcome. */
  private requiredToken: FencingToken;
  /** No start has been sent under a higher token, by this holder or an earlier one. */
  private highestStartToken: FencingToken;
  /** The highest token that the worker has acknowledged in its present incarnation. */
  private ackedToken = fencingToken(0);
  /** Session and sequence of the newest message. */
  private at: { session: Session; sequence: Sequence } = { session: session(0), sequence: sequence(0) };
  /** The newest session whose lease is over, 0 when there is none; messages up to it are ignored. */
  private expiredSession = session(0);
  /** The latest time at which the worker's lease can have begun or been renewed, by any controller. */
  lastAnswerAt: Millis;
  /** When a report or an answer was last applied. */
  lastMessageAt: Millis;
  /** When a report was last applied. Answers to commands don't show whether the worker can renew its lease. */
  lastReportAt: Millis;
  /** Number of changes to what may be on the machine. */
  private changes = 0;
  /** Stale messages since the last newer one. */
  private staleMessages = 0;
  /** Reports with a lower token are ignored: they are copies from before the worker restarted. */
  private minReportToken = fencingToken(0);

  constructor(
    /** The revision of the shard key from which the token is derived. */
    private base: Revision,
    now: Millis,
    /** Kept up to date with every task that is listed or pending here. */
    private readonly index: { readonly listener: TaskIndexListener; readonly machine: MachineId } | null = null,
  ) {
    this.lastAnswerAt = now;
    this.lastMessageAt = millis(now);
    this.lastReportAt = millis(now);
    this.requiredToken = this.token;
    this.highestStartToken = lastTokenBefore(base);
  }

  /** Grows with every change to what may be on the machine, so that callers can detect one. */
  get generation(): number {
    return this.changes;
  }

  /** Removes a task from the index unless it is still listed or pending. */
  private removeFromIndex(key: TaskKey): void {
    if (!this.isListedOrPending(key)) this.index?.listener.remove(key, this.index.machine);
  }

  /** Adds a task to the index. */
  private addToIndex(key: TaskKey): void {
    this.index?.listener.add(key, this.index.machine);
  }

  /** True when the task is listed, exited tasks included, or a start of it is pending. */
  private isListedOrPending(key: TaskKey): boolean {
    return this.starts.has(key) || this.listedTasks.has(key);
  }

  /** The holder's present fencing token for this machine. */
  get token(): FencingToken {
    return fencingTokenOf(this.base, this.increment);
  }

  /** The worker's newest known session; 0 when none is known. */
  get session(): Session {
    return this.at.session;
  }

  /** True once the worker has acknowledged a token above those of all commands of unknown outcome. */
  get fenced(): boolean {
    return this.ackedToken >= this.requiredToken;
  }

  /** True once a message of the worker's present incarnation has been applied. */
  get hasMessage(): boolean {
    return this.at.session > 0;
  }

  /** The tasks that the worker's newest message lists, exited ones included. */
  get tasks(): ReadonlyMap<TaskKey, ListedTask> {
    return this.listedTasks;
  }

  /** Starts whose outcome is not known yet. */
  get pendingStarts(): ReadonlyMap<TaskKey, PendingStart> {
    return this.starts;
  }

  /** True when this task may be on the machine. An exited task is not. */
  mayHaveTask(key: TaskKey): boolean {
    if (this.starts.has(key)) return true;
    const listed = this.listedTasks.get(key);
    return listed !== undefined && listed.state !== 'exited';
  }

  /** True when no task can be on the machine. Exited tasks don't count. */
  get empty(): boolean {
    if (this.starts.size > 0) return false;
    for (const listed of this.listedTasks.values()) if (listed.state !== 'exited') return false;
    return true;
  }

  /** The newest known message. The answer to a command sent now is newer, unless the worker has restarted. */
  get position(): MessagePosition {
    return { ...this.at, token: this.ackedToken };
  }

  /** True when only stale messages have come for a while. A probe then shows whether the worker has restarted. */
  get needsProbe(): boolean {
    return this.staleMessages >= STALE_MESSAGES_TO_PROBE;
  }

  /** Records a start. Must be called before the command is sent. */
  recordStart(key: TaskKey, attempt: Attempt): void {
    this.changes += 1;
    if (!this.isListedOrPending(key)) this.addToIndex(key);
    this.starts.set(key, { attempt, token: this.token, session: this.at.session });
    this.highestStartToken = this.token;
  }

  /** Settles the starts of an answered command: from now on the worker's list alone says which of them are there. */
  settleStarts(keys: readonly TaskKey[]): void {
    for (const key of keys) if (this.starts.delete(key)) this.removeFromIndex(key);
    this.changes += 1;
  }

  /**
   * Raises the token after a command whose outcome is unknown. The command may be executed minutes later unless a
   * higher token reaches the worker first.
   */
  raiseToken(): void {
    this.increment += 1;
    this.requiredToken = this.token;
  }

  /** True when the token should be derived from a later revision of the shard key before it is raised much more. */
  get tokensAreShort(): boolean {
    return this.increment > TOKENS_PER_REVISION / 2;
  }

  /**
   * Raises the token above those of all starts so far. An answer with this token makes the worker refuse copies of these
   * starts from then on, so that it may forget their attempts. It need not be acknowledged before other starts are sent.
   * Returns false, and changes nothing, while an outstanding start could be refused for it, or no token is left.
   */
  retireStarts(): boolean {
    if (this.highestStartToken < this.token) return true;
    const isUsedUp = this.increment >= TOKENS_PER_REVISION - RESERVED_TOKENS;
    if (this.starts.size > 0 || isUsedUp) return false;
    this.increment += 1;
    return true;
  }

  /**
   * The machine has returned to the shard by a change of this revision. The new token is higher than any that other
   * holders have used for it in between.
   */
  rebaseToken(base: Revision): void {
    if (base > this.base) [this.base, this.increment, this.highestStartToken] = [base, 0, lastTokenBefore(base)];
    else this.increment += 1;
    this.requiredToken = this.token;
    this.changes += 1;
  }

  /**
   * Applies the answer to a command that was sent when the newest known message was `sent`. A worker that has not
   * restarted answers with a newer message and no lower token, and lists what still ran. Otherwise it has restarted and
   * counts sessions and sequence numbers from the start again: its earlier tasks are gone.
   */
  applyAnswer(message: WorkerMessage, sent: MessagePosition, now: Millis): MessageOutcome {
    const isOfSameIncarnation =
      isAfter(message, sent) &&
      message.token >= sent.token &&
      !(isAfter(message, this.at) && this.omitsLiveTask(message));
    if (message.token <= this.token && !isOfSameIncarnation) this.handleRestart(now);
    return this.applyIfNewer(message, now);
  }

  /**
   * Discards what is known of the worker's earlier incarnation. Until the new one acknowledges a higher token, a copy of a
   * command to the earlier one may still start its tasks there.
   */
  private handleRestart(now: Millis): void {
    const pending = { token: this.highestStartToken, session: this.at.session };
    const listed = [...this.listedTasks.values()].map(({ key, attempt }) => [key, { attempt, ...pending }] as const);
    const restartable = new Map<TaskKey, PendingStart>([...listed, ...this.starts]);
    this.expireLease();
    this.expiredSession = session(0);
    this.at = { session: session(0), sequence: sequence(0) };
    this.ackedToken = fencingToken(0);
    // Delayed copies of messages from before the restart have lower tokens than any report that is valid from now on.
    this.raiseToken();
    this.minReportToken = this.token;
    this.recordLeaseRenewal(now);
    for (const [key, start] of restartable) {
      this.starts.set(key, start);
      this.addToIndex(key);
    }
  }

  /** Applies a report, or another message that may be a delayed copy. */
  applyReport(message: WorkerMessage, now: Millis): MessageOutcome {
    const omitsLiveTask = message.token >= this.minReportToken && this.omitsLiveTask(message);
    if (message.token >= this.minReportToken && !omitsLiveTask) {
      const outcome = this.applyIfNewer(message, now);
      if (outcome === 'applied') this.lastReportAt = now;
      return outcome;
    }
    this.staleMessages += omitsLiveTask ? STALE_MESSAGES_TO_PROBE : 1;
    return 'stale';
  }

  /**
   * True when a message of the present session omits a task that has not exited. Within one session a task exits and
   * stays listed until the worker is told to forget it, so the message is from another incarnation of the worker.
   */
  private omitsLiveTask({ session: messageSession, tasks }: WorkerMessage): boolean {
    if (messageSession !== this.at.session || this.listsSameTasks(tasks)) return false;
    const listed = new Set(tasks.map(({ key }) => key));
    for (const [key, { state }] of this.listedTasks) {
      if (state !== 'exited' && !listed.has(key)) return true;
    }
    return false;
  }

  /** Applies a message if it is newer than the newest known one. */
  private applyIfNewer(message: WorkerMessage, now: Millis): MessageOutcome {
    if (message.token > this.token) return 'superseded';
    // A worker's token never falls until it restarts: such a message is from another incarnation, whatever its session is.
    const tokenFell = message.token < this.ackedToken;
    if (message.session <= this.expiredSession || tokenFell || !isAfter(message, this.at)) {
      this.staleMessages += 1;
      return 'stale';
    }
    this.staleMessages = 0;
    // The lease of a new session began no later than now, whichever controller answers its reports. Without this, the
    // lease of a session known only from a command's answer would be considered over while tasks run in the session.
    if (message.session > this.at.session) this.recordLeaseRenewal(now);
    this.at = { session: message.session, sequence: message.sequence };
    this.ackedToken = message.token;
    this.lastMessageAt = now;
    if (this.starts.size === 0 && this.listsSameTasks(message.tasks)) return 'applied';
    const before = this.listedTasks;
    this.listedTasks = indexByKey(message.tasks);
    for (const key of this.listedTasks.keys()) if (!before.has(key) && !this.starts.has(key)) this.addToIndex(key);
    for (const key of before.keys()) this.removeFromIndex(key);
    for (const [key, start] of this.starts) {
      const listed = this.listedTasks.get(key);
      const settled =
        (listed !== undefined && listed.attempt === start.attempt) ||
        message.token > start.token ||
        message.session > start.session;
      if (settled && this.starts.delete(key)) this.removeFromIndex(key);
    }
    this.changes += 1;
    return 'applied';
  }

  /** True when the tasks are those already listed, as in most reports; such a message changes nothing. */
  private listsSameTasks(tasks: readonly ListedTask[]): boolean {
    if (tasks.length !== this.listedTasks.size) return false;
    return tasks.every((task) => {
      const known = this.listedTasks.get(task.key);
      return known?.attempt === task.attempt && known.state === task.state && known.why === task.why;
    });
  }

  /** Records that the worker's lease may have been renewed now. */
  recordLeaseRenewal(now: Millis): void {
    if (now > this.lastAnswerAt) this.lastAnswerAt = now;
  }

  /** The time by which the worker has killed all its tasks, provided that no other controller renewed its lease. */
  leaseExpiresAt(leaseMs: number): Millis {
    return millis(this.lastAnswerAt + withClockDriftMargin(leaseMs) + 250);
  }

  /** The worker's lease is over: its tasks are gone, and it ignores commands for its old session. */
  expireLease(): void {
    const before = new Set([...this.listedTasks.keys(), ...this.starts.keys()]);
    this.listedTasks.clear();
    this.starts.clear();
    this.expiredSession = this.at.session;
    for (const key of before) this.removeFromIndex(key);
    this.changes += 1;
  }
}
