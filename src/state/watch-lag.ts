import { type Logger, type Millis, type Revision } from '../kernel/index.js';

/** A watch that is behind for longer than this is logged. It usually catches up within 100 ms. */
const WARN_AFTER_MS = 2500;

/** How far a node's watch is behind the newest revision that the node knows to exist. */
export interface WatchLagStatus {
  /** The watch has shown every change up to this revision. */
  readonly seenUpTo: number;
  /** The newest revision that a read or a write of this node has returned. */
  readonly newest: number;
  /** For how long a revision that is known to exist has not been shown; 0 when there is none. */
  readonly behindMs: number;
}

/** Compares the revisions that reads and writes return with the revision that the watch has reached. */
export class WatchLag {
  private seenUpTo = 0;
  private newest = 0;
  /** The first known revision that the watch has not shown, and since when it is known. */
  private firstMissing: { readonly revision: number; readonly since: Millis } | null = null;
  /** True from a logged warning until the watch shows the first missing revision. */
  private warned = false;

  constructor(private readonly log: Pick<Logger, 'info' | 'warn'>) {}

  /** Records that a read or a write has returned this revision. */
  observe(revision: Revision, now: Millis): void {
    this.newest = Math.max(this.newest, revision);
    if (revision > this.seenUpTo) this.firstMissing ??= { revision, since: now };
    const status = this.status(now);
    if (this.warned || status.behindMs < WARN_AFTER_MS) return;
    this.warned = true;
    this.log.warn(status, 'the watch of the state service is behind: this node works on stale data');
  }

  /** Records that the watch has shown every change up to this revision. */
  advance(upTo: Revision, now: Millis): void {
    this.seenUpTo = Math.max(this.seenUpTo, upTo);
    if (this.firstMissing === null || this.firstMissing.revision > this.seenUpTo) return;
    const { behindMs } = this.status(now);
    this.firstMissing = this.newest > this.seenUpTo ? { revision: this.newest, since: now } : null;
    if (!this.warned) return;
    this.warned = false;
    this.log.info(
      { seenUpTo: this.seenUpTo, newest: this.newest, behindMs },
      'the watch of the state service is advancing again',
    );
  }

  /** The lag at this time. */
  status(now: Millis): WatchLagStatus {
    const { seenUpTo, newest, firstMissing } = this;
    return { seenUpTo, newest, behindMs: firstMissing === null ? 0 : Math.round(now - firstMissing.since) };
  }
}
