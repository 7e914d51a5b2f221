import { catchError, concatMap, EMPTY, from, interval, merge, Subject, throttleTime, type Subscription } from 'rxjs';
import type { Logger } from './logger.js';
import type { Runtime } from './runtime.js';

const MOST_REST_MS = 160;

/**
 * A reconcile loop: works out the difference between what is wanted and what is, every `everyMs`
 * and soon after a nudge. Rounds never overlap, and a round that fails is logged, never fatal.
 */
export class ReconcileLoop {
  private readonly nudges = new Subject<void>();
  private subscription: Subscription | undefined;
  private busy = false;
  private again = false;

  constructor(
    private readonly name: string,
    private readonly everyMs: number,
    private readonly runtime: Runtime,
    private readonly log: Logger,
    private readonly round: () => Promise<void> | void,
    private readonly settleMs = 20,
    /** After a round, so many times its length belongs to everything else, whatever nudges. */
    private readonly restFactor = 0,
  ) {}

  start(): void {
    const { scheduler } = this.runtime;
    const ticks = interval(this.everyMs, scheduler);
    const nudged = this.nudges.pipe(throttleTime(this.settleMs, scheduler, { leading: true, trailing: true }));
    this.subscription = merge(ticks, nudged)
      .pipe(
        concatMap(() => {
          if (this.busy) {
            this.again = true;
            return EMPTY;
          }
          return from(this.once()).pipe(catchError(() => EMPTY));
        }),
      )
      .subscribe();
  }

  nudge(): void {
    if (this.busy) this.again = true;
    else this.nudges.next();
  }

  stop(): void {
    this.subscription?.unsubscribe();
    this.subscription = undefined;
  }

  private async once(): Promise<void> {
    this.busy = true;
    this.again = false;
    const began = this.runtime.now();
    try {
      await this.round();
      const restMs = Math.min(MOST_REST_MS, (this.runtime.now() - began) * this.restFactor);
      if (restMs > this.settleMs) await this.runtime.sleep(restMs);
    } catch (error) {
      this.log.error({ err: error, loop: this.name }, 'a reconcile round failed');
    } finally {
      this.busy = false;
    }
    if (this.again && this.subscription) this.nudges.next();
  }
}
