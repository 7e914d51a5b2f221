import { catchError, concatMap, EMPTY, from, interval, merge, Subject, throttleTime, type Subscription } from 'rxjs';
import type { Logger } from './logger.js';
import type { Runtime } from './runtime.js';

/** Upper bound of the pause after a round. */
const MAX_PAUSE_MS = 160;

/**
 * Runs a reconcile function every `intervalMs` and soon after each trigger. Rounds never overlap. A round that fails is
 * logged and does not stop the loop.
 */
export class ReconcileLoop {
  private readonly triggers = new Subject<void>();
  private subscription: Subscription | undefined;
  private busy = false;
  private rerunRequested = false;

  constructor(
    private readonly name: string,
    private readonly intervalMs: number,
    private readonly runtime: Runtime,
    private readonly log: Logger,
    private readonly round: () => Promise<void> | void,
    /** Triggers within this time of each other are combined. */
    private readonly throttleMs = 20,
    /** Pause after a round as a multiple of its duration, which leaves the CPU to other work; triggers wait for it. */
    private readonly pauseFactor = 0,
  ) {}

  /** Starts the loop; the first round runs after one interval or at the first trigger. */
  start(): void {
    const { scheduler } = this.runtime;
    const ticks = interval(this.intervalMs, scheduler);
    const triggered = this.triggers.pipe(throttleTime(this.throttleMs, scheduler, { leading: true, trailing: true }));
    this.subscription = merge(ticks, triggered)
      .pipe(
        concatMap(() => {
          if (this.busy) {
            this.rerunRequested = true;
            return EMPTY;
          }
          return from(this.runRound()).pipe(catchError(() => EMPTY));
        }),
      )
      .subscribe();
  }

  /** Requests a round soon, or another one after the round that is running. */
  trigger(): void {
    if (this.busy) this.rerunRequested = true;
    else this.triggers.next();
  }

  /** Stops the loop; a round that is running is not interrupted. */
  stop(): void {
    this.subscription?.unsubscribe();
    this.subscription = undefined;
  }

  private async runRound(): Promise<void> {
    this.busy = true;
    this.rerunRequested = false;
    const startedAt = this.runtime.now();
    try {
      await this.round();
      const pauseMs = Math.min(MAX_PAUSE_MS, (this.runtime.now() - startedAt) * this.pauseFactor);
      if (pauseMs > this.throttleMs) await this.runtime.sleep(pauseMs);
    } catch (error) {
      this.log.error({ err: error, loop: this.name }, 'reconcile round failed');
    } finally {
      this.busy = false;
    }
    if (this.rerunRequested && this.subscription) this.triggers.next();
  }
}
