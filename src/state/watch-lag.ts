import { type Logger, type Millis, type Revision } from '../kernel/index.js';

/** A watch that is behind for longer than this is told of: it usually follows within a tenth of a second. */
const TOLD_AFTER_MS = 2500;

/** How far a node's view of the state service is behind what it knows to be there. */
export interface LagStatus {
  /** Up to here the watch has shown every change. */
  readonly seenUpTo: number;
  /** The newest revision that a read or a write of this node has told. */
  readonly newest: number;
  /** For how long something that is known to be there has not been shown; 0: nothing. */
  readonly behindMs: number;
}

/** Compares what reads and writes tell of the state service's revision with what the watch has shown. */
export class WatchLag {
  private seenUpTo = 0;
  private newest = 0;
  /** What the watch owes first, and since when. */
  private owed: { readonly revision: number; readonly since: Millis } | null = null;
  private told = false;

  constructor(private readonly log: Pick<Logger, 'info' | 'warn'>) {}

  /** A read or a write has told this revision. */
  note(revision: Revision, now: Millis): void {
    this.newest = Math.max(this.newest, revision);
    if (revision > this.seenUpTo) this.owed ??= { revision, since: now };
    const status = this.status(now);
    if (this.told || status.behindMs < TOLD_AFTER_MS) return;
    this.told = true;
    this.log.warn(status, 'the watch of the state service is behind: what this node sees is old');
  }

  /** The watch has shown every change up to this revision. */
  shown(upTo: Revision, now: Millis): void {
    this.seenUpTo = Math.max(this.seenUpTo, upTo);
    if (this.owed === null || this.owed.revision > this.seenUpTo) return;
    const { behindMs } = this.status(now);
    this.owed = this.newest > this.seenUpTo ? { revision: this.newest, since: now } : null;
    if (!this.told) return;
    this.told = false;
    this.log.info({ seenUpTo: this.seenUpTo, newest: this.newest, behindMs }, 'the watch of the state service goes on');
  }

  status(now: Millis): LagStatus {
    const { seenUpTo, newest, owed } = this;
    return { seenUpTo, newest, behindMs: owed === null ? 0 : Math.round(now - owed.since) };
  }
}
