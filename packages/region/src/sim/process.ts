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
import type { Luck } from './luck.js';
import type { Host, Network, SocketOwner } from './network.js';
import type { World } from './world.js';

/** Time of day at the start of every simulated day. */
export const DAY_BEGINS = Date.UTC(2026, 0, 5, 18, 0, 0);

export interface ClockFaults {
  /** How much faster the steady clock runs than true time: 0.0005 at most by the protocol. */
  readonly drift: number;
  /** The time of day wanders within this many milliseconds of true time. */
  readonly wanderMs: number;
}

class Action<T> extends Subscription implements SchedulerAction<T> {
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

const NOTHING: Timer = { cancel: () => undefined };

/**
 * One process on a simulated host, as the runtime that its program is given. It may stand still while
 * its clocks run on, and may end at any moment: whatever it had planned is void then.
 */
export class SimProcess implements Runtime, SocketOwner {
  private ended = false;
  private frozen = false;
  private backlog: (() => void)[] = [];
  private readonly bornAt: number;
  private readonly wanderPhase: number;
  readonly scheduler: SchedulerLike = {
    now: () => this.now(),
    schedule: <T>(work: (this: SchedulerAction<T>, state: T) => void, delay = 0, state?: T): Subscription =>
      new Action<T>(this, work as (this: SchedulerAction<T>, state?: T) => void).schedule(state, delay),
  };

  constructor(
    readonly name: string,
    readonly host: Host,
    private readonly world: World,
    private readonly network: Network,
    private readonly luck: Luck,
    private readonly clocks: ClockFaults = { drift: 0, wanderMs: 0 },
    readonly maxSockets = Number.POSITIVE_INFINITY,
  ) {
    this.bornAt = world.now;
    this.wanderPhase = luck.next() * 2 * Math.PI;
  }

  get alive(): boolean {
    return !this.ended;
  }

  get running(): boolean {
    return !this.ended && !this.frozen;
  }

  run(work: () => void): void {
    if (this.ended) return;
    if (this.frozen) this.backlog.push(work);
    else work();
  }

  freeze(): void {
    this.frozen = true;
  }

  thaw(): void {
    if (!this.frozen) return;
    this.frozen = false;
    const waiting = this.backlog;
    this.backlog = [];
    for (const work of waiting) this.world.plan(this.world.now, () => this.run(work));
  }

  /** Ends it without a word to its program. */
  kill(): void {
    this.ended = true;
    this.backlog = [];
    this.network.forget(this);
  }

  now(): Millis {
    return millis((this.world.now - this.bornAt) * (1 + this.clocks.drift) + 1000);
  }

  wall(): WallMillis {
    const wander = Math.sin(this.world.now / 47_000 + this.wanderPhase) * this.clocks.wanderMs;
    return wallMillis(Math.round(DAY_BEGINS + this.world.now + wander));
  }

  after(ms: number, work: () => void): Timer {
    if (this.ended) return NOTHING;
    // Like a machine's timers: whole milliseconds, and never at once.
    const trueMs = Math.max(1, Math.ceil(ms)) / (1 + this.clocks.drift);
    let off = false;
    const happening = this.world.plan(this.world.now + trueMs, () =>
      this.run(() => {
        if (!off) work();
      }),
    );
    return {
      cancel: () => {
        off = true;
        happening.work = null;
      },
    };
  }

  every(ms: number, work: () => void): Timer {
    let timer = NOTHING;
    const again = (): void => {
      timer = this.after(ms, again);
      work();
    };
    timer = this.after(ms, again);
    return { cancel: () => timer.cancel() };
  }

  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.after(ms, resolve));
  }

  random(): number {
    return this.luck.next();
  }

  uniqueId(): string {
    const half = (): string =>
      Math.floor(this.luck.next() * 2 ** 32)
        .toString(16)
        .padStart(8, '0');
    return half() + half();
  }

  connect(to: Endpoint): Connection {
    return this.network.connect(this, to);
  }

  listen(options: ListenOptions): TcpListener {
    return this.network.listen(this, options);
  }
}
