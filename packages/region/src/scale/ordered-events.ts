/** Restores the time order of events that arrive from several processes. */

import TinyQueue from 'tinyqueue';

/** An event in the queue; `sequence` keeps the order of arrival among events of the same time. */
interface QueuedEvent<T> {
  readonly atMs: number;
  readonly sequence: number;
  readonly event: T;
}

/**
 * Orders events of several processes by their times. Each event is released once it is `delayMs` old, so that earlier
 * events of other processes have time to arrive. An event that arrives after a later one was released is released at the
 * next call of `advance`, out of order, and counted.
 */
export class OrderedEvents<T> {
  private readonly queue = new TinyQueue<QueuedEvent<T>>([], (a, b) => a.atMs - b.atMs || a.sequence - b.sequence);
  private sequence = 0;
  private lastReleasedAtMs = Number.NEGATIVE_INFINITY;
  /** Number of events that arrived after a later event had been released. */
  late = 0;

  constructor(
    private readonly delayMs: number,
    private readonly release: (event: T, atMs: number) => void,
  ) {}

  /** Queues an event that happened at `atMs`. */
  add(event: T, atMs: number): void {
    if (atMs < this.lastReleasedAtMs) this.late += 1;
    this.queue.push({ atMs, sequence: this.sequence++, event });
  }

  /** Releases all events that are at least `delayMs` old at `nowMs`, in the order of their times. */
  advance(nowMs: number): void {
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.atMs > nowMs - this.delayMs) return;
      this.queue.pop();
      this.lastReleasedAtMs = Math.max(this.lastReleasedAtMs, next.atMs);
      this.release(next.event, next.atMs);
    }
  }
}
