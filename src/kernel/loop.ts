import { catchError, concatMap, EMPTY, from, interval, merge, Subject, throttleTime, type Subscription } from 'rxjs';
import type { Logger } from './logger.js';

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
    private readonly log: Logger,
    private readonly round: () => Promise<void> | void,
    private readonly settleMs = 20,
  ) {}

  start(): void {
    const ticks = interval(this.everyMs);
    const nudged = this.nudges.pipe(throttleTime(this.settleMs, undefined, { leading: true, trailing: true }));
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
    try {
      await this.round();
    } catch (error) {
      this.log.error({ err: error, loop: this.name }, 'a reconcile round failed');
    } finally {
      this.busy = false;
    }
    if (this.again && this.subscription) this.nudges.next();
  }
}
