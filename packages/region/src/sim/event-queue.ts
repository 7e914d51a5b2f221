import TinyQueue from 'tinyqueue';

/** An event at a moment of simulated time. */
export interface ScheduledEvent {
  /** Simulated time in milliseconds. */
  readonly at: number;
  /** Sequence number, which orders events at the same moment. */
  readonly order: number;
  /** Null once the event is cancelled or has run. */
  callback: (() => void) | null;
}

/** Options of `EventQueue.run`. */
export interface EventQueueRunOptions {
  /** Called after each event; resolves once all pending promise and stream callbacks have run. */
  readonly rest: () => Promise<void>;
  /** Called when simulated time has advanced. The run waits for a returned promise, which can slow it down to a set pace. */
  readonly moved?: (nowMs: number) => Promise<void> | undefined;
  /** Polled before each event; true ends the run. */
  readonly stop?: () => boolean;
}

/**
 * Discrete-event queue with simulated ("true") time in milliseconds. Events at the same moment run in the order in
 * which they were scheduled, and the pending callbacks of each event run before the next event, so that the same
 * schedule gives the same run on every machine.
 */
export class EventQueue {
  private readonly queue = new TinyQueue<ScheduledEvent>([], (a, b) => a.at - b.at || a.order - b.order);
  private scheduledCount = 0;
  private nowMs = 0;
  /** Number of events executed so far. */
  executedCount = 0;
  /** Uncaught errors of event callbacks. Each is a defect of a model or of the service. */
  readonly defects: unknown[] = [];

  /** Current simulated time in milliseconds. */
  get now(): number {
    return this.nowMs;
  }

  /** Schedules a callback; a moment in the past counts as now. */
  schedule(atMs: number, callback: () => void): ScheduledEvent {
    const event: ScheduledEvent = { at: Math.max(atMs, this.nowMs), order: this.scheduledCount++, callback };
    this.queue.push(event);
    return event;
  }

  /** Runs all events up to and including a moment of simulated time. */
  async run(untilMs: number, options: EventQueueRunOptions): Promise<void> {
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.at > untilMs || options.stop?.() === true) break;
      this.queue.pop();
      const { callback } = next;
      if (!callback) continue;
      next.callback = null;
      if (next.at > this.nowMs) {
        this.nowMs = next.at;
        const pacing = options.moved?.(this.nowMs);
        if (pacing) await pacing;
      }
      this.executedCount += 1;
      try {
        callback();
      } catch (error) {
        this.defects.push(error);
      }
      await options.rest();
    }
    if (options.stop?.() !== true) this.nowMs = Math.max(this.nowMs, untilMs);
  }
}
