import type { Millis, Runtime } from '../kernel/index.js';
import type { StateClient } from './client.js';
import type { Mirror } from './mirror.js';

/** Questions that come this close together share one request. */
const SHARE_MS = 120;
/** The watch usually follows within a tenth of a second; whoever waits longer reads the key itself. */
const FOLLOW_MS = 700;

/**
 * Tells when the mirror is as fresh as a read made now: it has come up to a revision that the state
 * service gave after the question. Hundreds of polls then cost a few requests a second instead of
 * one each, out of a rate that all controllers share.
 */
export class Freshness {
  private next: Promise<boolean> | undefined;
  private sentAt: Millis;

  constructor(
    private readonly state: StateClient,
    private readonly mirror: Mirror,
    private readonly runtime: Runtime,
  ) {
    this.sentAt = (runtime.now() - SHARE_MS) as Millis;
  }

  /** False: not known to be fresh, the key must be read. */
  ensure(): Promise<boolean> {
    if (!this.mirror.loaded) return Promise.resolve(false);
    this.next ??= this.ask();
    return this.next;
  }

  private async ask(): Promise<boolean> {
    const pauseMs = this.sentAt + SHARE_MS - this.runtime.now();
    await (pauseMs > 0 ? this.runtime.sleep(pauseMs) : Promise.resolve());
    // Whoever comes from here on needs a later answer.
    this.next = undefined;
    this.sentAt = this.runtime.now();
    const revision = await this.state.revision();
    return revision !== null && (await this.mirror.reach(revision, FOLLOW_MS));
  }
}
