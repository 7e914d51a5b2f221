import {
  millis,
  sequence,
  session,
  token,
  withDrift,
  type Attempt,
  type MachineId,
  type Millis,
  type Revision,
  type Sequence,
  type Session,
  type TaskKey,
  type Token,
} from '../kernel/index.js';
import type { Mentions } from './task-index.js';
import type { ListedTask, WorkerMessage } from './wire.js';

const isAfter = (
  message: Pick<WorkerMessage, 'session' | 'sequence'>,
  at: { readonly session: Session; readonly sequence: Sequence },
): boolean => message.session > at.session || (message.session === at.session && message.sequence > at.sequence);

/** Local bumps between two revisions of the shard key. */
export const BUMPS = 2 ** 20;

/** Revisions only grow, so whoever holds a machine later has the higher token. */
export const tokenOf = (base: Revision, bump: number): Token => token(base * BUMPS + bump);

interface Start {
  readonly attempt: Attempt;
  readonly token: Token;
  readonly session: Session;
}

export type Verdict = 'taken' | 'stale' | 'superseded';

/** How far a worker was known at some moment. */
export interface Position {
  readonly session: Session;
  readonly sequence: Sequence;
  /** The highest token that it has shown. */
  readonly token: Token;
}

/** One old message is a copy, or was overtaken; several in a row, and nothing newer, may be all that there is. */
const DOUBTED_AFTER = 2;

/**
 * What may be on one machine. A start is possibly there from before it is sent until a newer
 * message, an acknowledged higher token, a new session or the machine's end settles it. Pure: no
 * clock, no network; compared with a slow model under random interleavings.
 */
export class MachineBelief {
  private bump = 0;
  private listing = new Map<TaskKey, ListedTask>();
  private readonly starts = new Map<TaskKey, Start>();
  private acked = token(0);
  private at: { session: Session; sequence: Sequence } = { session: session(0), sequence: sequence(0) };
  private expired = session(0);
  /** The latest moment at which the worker's lease can have begun or have been renewed, by whomever. */
  lastAnswerAt: Millis;
  lastHeardAt: Millis;
  /** When a report was last taken in: answers to commands tell nothing of whether its lease can last. */
  lastReportAt: Millis;
  private changes = 0;
  private oldOnes = 0;
  private floor = token(0);

  constructor(
    private base: Revision,
    now: Millis,
    /** Kept up to date with every task that this belief names. */
    private readonly index: { readonly mentions: Mentions; readonly machine: MachineId } | null = null,
  ) {
    this.lastAnswerAt = now;
    this.lastHeardAt = millis(now);
    this.lastReportAt = millis(now);
  }

  /** Grows with whatever changes what may be here. */
  get generation(): number {
    return this.changes;
  }

  private drop(key: TaskKey): void {
    if (!this.names(key)) this.index?.mentions.leave(key, this.index.machine);
  }

  private mention(key: TaskKey): void {
    this.index?.mentions.enter(key, this.index.machine);
  }

  private names(key: TaskKey): boolean {
    return this.starts.has(key) || this.listing.has(key);
  }

  get token(): Token {
    return tokenOf(this.base, this.bump);
  }

  get session(): Session {
    return this.at.session;
  }

  /** True once the worker has shown our present token: nothing older can be executed any more. */
  get fenced(): boolean {
    return this.acked === this.token;
  }

  get heard(): boolean {
    return this.at.session > 0;
  }

  get tasks(): ReadonlyMap<TaskKey, ListedTask> {
    return this.listing;
  }

  get pendingStarts(): ReadonlyMap<TaskKey, Start> {
    return this.starts;
  }

  /** May this task be on the machine? Exited tasks are not. */
  possibly(key: TaskKey): boolean {
    if (this.starts.has(key)) return true;
    const listed = this.listing.get(key);
    return listed !== undefined && listed.state !== 'exited';
  }

  get empty(): boolean {
    if (this.starts.size > 0) return false;
    for (const listed of this.listing.values()) if (listed.state !== 'exited') return false;
    return true;
  }

  get position(): Position {
    return { ...this.at, token: this.acked };
  }

  /** Only old messages have come for a while: asked, the worker would tell whether it has begun anew. */
  get doubted(): boolean {
    return this.oldOnes >= DOUBTED_AFTER;
  }

  noteStart(key: TaskKey, attempt: Attempt): void {
    this.changes += 1;
    if (!this.names(key)) this.mention(key);
    this.starts.set(key, { attempt, token: this.token, session: this.at.session });
  }

  /** The command with these starts was answered: what the worker lists now is all there is of them. */
  settleStarts(keys: readonly TaskKey[]): void {
    for (const key of keys) if (this.starts.delete(key)) this.drop(key);
    this.changes += 1;
  }

  /** A command's fate is unknown. It may be executed minutes later unless a higher token comes first. */
  raiseToken(): void {
    this.bump += 1;
  }

  /** The machine has come in by a change of this revision: its token is above all that others had for it in between. */
  rebase(base: Revision): void {
    if (base > this.base) [this.base, this.bump] = [base, 0];
    else this.raiseToken();
    this.changes += 1;
  }

  /**
   * Takes in the answer to a command that was sent when the worker was known up to `sent`. A worker that goes on answers
   * with something newer than all that it has said before, under no lower token. One that doesn't has begun anew, with
   * session and sequence from the start: all that was there before is gone, and its connections with it.
   */
  takeAnswer(message: WorkerMessage, sent: Position, now: Millis): Verdict {
    if (message.token <= this.token && (!isAfter(message, sent) || message.token < sent.token)) this.beginAnew(now);
    return this.takeNewer(message, now);
  }

  private beginAnew(now: Millis): void {
    this.expire();
    this.expired = session(0);
    this.at = { session: session(0), sequence: sequence(0) };
    this.acked = token(0);
    // Copies of what the earlier life has said come under lower tokens than any report that counts from here on.
    this.raiseToken();
    this.floor = this.token;
    this.answered(now);
  }

  /** Takes in a report, or whatever else may be a copy that comes late. */
  take(message: WorkerMessage, now: Millis): Verdict {
    if (message.token >= this.floor && !this.misses(message)) {
      const verdict = this.takeNewer(message, now);
      if (verdict === 'taken') this.lastReportAt = now;
      return verdict;
    }
    this.oldOnes += 1;
    return 'stale';
  }

  /**
   * Within one session a task that runs doesn't vanish: it exits, and is listed until it is forgotten. A report that says
   * otherwise is of another life, and the worker has to be asked.
   */
  private misses({ session: of, tasks }: WorkerMessage): boolean {
    if (of !== this.at.session || this.lists(tasks)) return false;
    const listed = new Set(tasks.map(({ key }) => key));
    for (const [key, { state }] of this.listing) {
      if (state === 'exited' || listed.has(key)) continue;
      this.oldOnes += DOUBTED_AFTER;
      return true;
    }
    return false;
  }

  private takeNewer(message: WorkerMessage, now: Millis): Verdict {
    if (message.token > this.token) return 'superseded';
    // Within one life tokens never fall: such a message is of another one, whatever its numbers say.
    const contradicts = message.token < this.acked;
    if (message.session <= this.expired || contradicts || !isAfter(message, this.at)) {
      this.oldOnes += 1;
      return 'stale';
    }
    this.oldOnes = 0;
    // A new session's lease runs from its beginning, which lies no later than now, whoever answers reports: a
    // session known from a command's answer alone would be taken for over while tasks run in it.
    if (message.session > this.at.session) this.answered(now);
    this.at = { session: message.session, sequence: message.sequence };
    this.acked = message.token;
    this.lastHeardAt = now;
    if (this.starts.size === 0 && this.lists(message.tasks)) return 'taken';
    const before = this.listing;
    this.listing = new Map(message.tasks.map((task) => [task.key, task]));
    for (const key of this.listing.keys()) if (!before.has(key) && !this.starts.has(key)) this.mention(key);
    for (const key of before.keys()) this.drop(key);
    for (const [key, start] of this.starts) {
      const listed = this.listing.get(key);
      const settled =
        (listed !== undefined && listed.attempt === start.attempt) ||
        message.token > start.token ||
        message.session > start.session;
      if (settled && this.starts.delete(key)) this.drop(key);
    }
    this.changes += 1;
    return 'taken';
  }

  /** Most reports say nothing new, and nothing follows from them. */
  private lists(tasks: readonly ListedTask[]): boolean {
    if (tasks.length !== this.listing.size) return false;
    return tasks.every((task) => {
      const known = this.listing.get(task.key);
      return known?.attempt === task.attempt && known.state === task.state && known.why === task.why;
    });
  }

  answered(now: Millis): void {
    if (now > this.lastAnswerAt) this.lastAnswerAt = now;
  }

  /** From when on the worker has killed all its tasks, if nobody else could answer it meanwhile. */
  expiresAt(leaseMs: number): Millis {
    return millis(this.lastAnswerAt + withDrift(leaseMs) + 250);
  }

  /** The worker's lease is over: everything there is gone, and commands for its session are void. */
  expire(): void {
    const before = new Set([...this.listing.keys(), ...this.starts.keys()]);
    this.listing.clear();
    this.starts.clear();
    this.expired = this.at.session;
    for (const key of before) this.drop(key);
    this.changes += 1;
  }
}
