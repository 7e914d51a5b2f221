import type { Millis, Runtime } from '../kernel/index.js';
import type { StateClient } from './client.js';
import type { Mirror } from './mirror.js';

/** Least time between two requests; checks that start in between share the next one. */
const MIN_REQUEST_INTERVAL_MS = 120;
/** The watch usually catches up within 100 ms. After this long the check fails and the caller reads the key itself. */
const WATCH_TIMEOUT_MS = 700;

/**
 * Checks that the mirror is as fresh as a read made now: it has reached a revision that the state service returned
 * after the check began. Hundreds of polls thus cost a few requests per second instead of one each, from a rate limit
 * that all controllers share.
 */
export class FreshnessChecker {
  private next: Promise<boolean> | undefined;
  private sentAt: Millis;

  constructor(
    private readonly state: StateClient,
    private readonly mirror: Mirror,
    private readonly runtime: Runtime,
  ) {
    this.sentAt = (runtime.now() - MIN_REQUEST_INTERVAL_MS) as Millis;
  }

  /** True once the mirror is fresh. False when that is not known: the caller must read the key. */
  waitUntilFresh(): Promise<boolean> {
    if (!this.mirror.loaded) return Promise.resolve(false);
    this.next ??= this.ask();
    return this.next;
  }

  private async ask(): Promise<boolean> {
    const pauseMs = this.sentAt + MIN_REQUEST_INTERVAL_MS - this.runtime.now();
    await (pauseMs > 0 ? this.runtime.sleep(pauseMs) : Promise.resolve());
    // A check that starts from here on needs a revision from a later request.
    this.next = undefined;
    this.sentAt = this.runtime.now();
    const revision = await this.state.revision();
    return revision !== null && (await this.mirror.reach(revision, WATCH_TIMEOUT_MS));
  }
}
