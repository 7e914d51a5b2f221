import type { SchedulerAction, SchedulerLike } from 'rxjs';
import { Subscription } from 'rxjs';
import {
  millis,
  wallMillis,
  type Connection,
  type Endpoint,
  type TcpListener,
  type ListenOptions,
  type Millis,
  type Runtime,
  type Timer,
  type WallMillis,
} from '../../../../src/kernel/index.js';
import type { RandomStream } from './random-stream.js';
import type { Host, Network, SocketOwner } from './network.js';
import type { EventQueue } from './event-queue.js';

/** Wall-clock time at the start of every simulation, in milliseconds since the Unix epoch. */
export const SIMULATED_START_UTC_MS = Date.UTC(2026, 0, 5, 18, 0, 0);

/** Errors of a process's clocks. */
export interface ClockFaults {
  /** Ratio by which the monotonic clock runs faster than true time; the protocol bounds it at 0.0005. */
  readonly drift: number;
  /** Largest offset of the wall clock from true time, in milliseconds; the offset varies within this bound. */
  readonly wanderMs: number;
}

/** An RxJS action that runs on the timers of a simulated process. */
class TimerAction<T> extends Subscription implements SchedulerAction<T> {
  private timer: Timer | undefined;

  constructor(
    private readonly runtime: Runtime,
    private readonly work: (this: SchedulerAction<T>, state?: T) => void,
  ) {
    super();
    this.add(() => this.timer?.cancel());
  }

  schedule(state?: T, delay = 0): Subscription {
    this.timer?.cancel();
    if (!this.closed) this.timer = this.runtime.after(delay, () => this.work.call(this, state));
    return this;
  }
}

const NOOP_TIMER: Timer = { cancel: () => undefined };

/**
 * A process on a simulated host, which serves as the runtime of its program. It can be frozen while its clocks
 * keep running, and it can end at any moment, which cancels all its timers and callbacks.
 */
export class SimProcess implements Runtime, SocketOwner {
  private ended = false;
  private frozen = false;
  private backlog: (() => void)[] = [];
  private readonly startedAtMs: number;
  private readonly wallOffsetPhase: number;
  readonly scheduler: SchedulerLike = {
    now: () => this.now(),
    schedule: <T>(work: (this: SchedulerAction<T>, state: T) => void, delay = 0, state?: T): Subscription =>
      new TimerAction<T>(this, work as (this: SchedulerAction<T>, state?: T) => void).schedule(state, delay),
  };

  constructor(
    readonly name: string,
    readonly host: Host,
    private readonly eventQueue: EventQueue,
    private readonly network: Network,
    private readonly randomStream: RandomStream,
    private readonly clockFaults: ClockFaults = { drift: 0, wanderMs: 0 },
    readonly maxSockets = Number.POSITIVE_INFINITY,
  ) {
    this.startedAtMs = eventQueue.now;
    this.wallOffsetPhase = randomStream.next() * 2 * Math.PI;
  }

  get alive(): boolean {
    return !this.ended;
  }

  /** Whether the process is alive and not frozen. */
  get running(): boolean {
    return !this.ended && !this.frozen;
  }

  run(work: () => void): void {
    if (this.ended) return;
    if (this.frozen) this.backlog.push(work);
    else work();
  }

  /** Suspends the process: callbacks that fall due are kept until `thaw`. */
  freeze(): void {
    this.frozen = true;
  }

  /** Resumes the process and runs the kept callbacks in their order. */
  thaw(): void {
    if (!this.frozen) return;
    this.frozen = false;
    const deferred = this.backlog;
    this.backlog = [];
    for (const work of deferred) this.eventQueue.schedule(this.eventQueue.now, () => this.run(work));
  }

  /** Ends the process at once, without notice to its program. */
  kill(): void {
    this.ended = true;
    this.backlog = [];
    this.network.onProcessEnded(this);
  }

  /** Monotonic clock of this process, in milliseconds. */
  now(): Millis {
    return millis((this.eventQueue.now - this.startedAtMs) * (1 + this.clockFaults.drift) + 1000);
  }

  /** Wall clock of this process, in milliseconds since the Unix epoch. */
  wall(): WallMillis {
    const offsetMs = Math.sin(this.eventQueue.now / 47_000 + this.wallOffsetPhase) * this.clockFaults.wanderMs;
    return wallMillis(Math.round(SIMULATED_START_UTC_MS + this.eventQueue.now + offsetMs));
  }

  after(ms: number, work: () => void): Timer {
    if (this.ended) return NOOP_TIMER;
    // As with operating-system timers, delays are whole milliseconds and at least one.
    const trueMs = Math.max(1, Math.ceil(ms)) / (1 + this.clockFaults.drift);
    let cancelled = false;
    const event = this.eventQueue.schedule(this.eventQueue.now + trueMs, () =>
      this.run(() => {
        if (!cancelled) work();
      }),
    );
    return {
      cancel: () => {
        cancelled = true;
        event.callback = null;
      },
    };
  }

  every(ms: number, work: () => void): Timer {
    let timer = NOOP_TIMER;
    const tick = (): void => {
      timer = this.after(ms, tick);
      work();
    };
    timer = this.after(ms, tick);
    return { cancel: () => timer.cancel() };
  }

  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.after(ms, resolve));
  }

  random(): number {
    return this.randomStream.next();
  }

  uniqueId(): string {
    const hex32 = (): string =>
      Math.floor(this.randomStream.next() * 2 ** 32)
        .toString(16)
        .padStart(8, '0');
    return hex32() + hex32();
  }

  connect(to: Endpoint): Connection {
    return this.network.connect(this, to);
  }

  listen(options: ListenOptions): TcpListener {
    return this.network.listen(this, options);
  }
}
