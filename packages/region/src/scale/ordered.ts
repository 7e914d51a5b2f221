import TinyQueue from 'tinyqueue';

interface Timed<T> {
  readonly atMs: number;
  readonly sequence: number;
  readonly event: T;
}

/**
 * Puts events of several processes into the order of their times: each is released once it is `lagMs` old, when those of
 * other processes from before it have arrived. What comes later than that is released at once, out of order, and counted.
 */
export class OrderedEvents<T> {
  private readonly queue = new TinyQueue<Timed<T>>([], (a, b) => a.atMs - b.atMs || a.sequence - b.sequence);
  private sequence = 0;
  private releasedUpTo = Number.NEGATIVE_INFINITY;
  late = 0;

  constructor(
    private readonly lagMs: number,
    private readonly release: (event: T, atMs: number) => void,
  ) {}

  add(event: T, atMs: number): void {
    if (atMs < this.releasedUpTo) this.late += 1;
    this.queue.push({ atMs, sequence: this.sequence++, event });
  }

  /** Releases everything that is old enough. */
  advance(nowMs: number): void {
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.atMs > nowMs - this.lagMs) return;
      this.queue.pop();
      this.releasedUpTo = Math.max(this.releasedUpTo, next.atMs);
      this.release(next.event, next.atMs);
    }
  }
}
