import type { Runtime } from '../kernel/index.js';
import type { NumberedEvent, TrailEvent } from './events.js';

/** A page of consecutive events. */
export interface TrailPage {
  /** Number of the oldest event that is still kept. */
  readonly first: number;
  /** Number that the next event will get. */
  readonly next: number;
  readonly events: readonly NumberedEvent[];
}

/**
 * Ring buffer of the most recent events of this controller. A reader that is too slow misses events and detects the gap
 * by the event numbers; the controller never waits for a reader.
 */
export class Trail {
  private readonly ringBuffer: NumberedEvent[] = [];
  private next = 1;

  constructor(
    private readonly capacity: number,
    private readonly clock: Pick<Runtime, 'wall'>,
  ) {}

  /** Appends an event with its number and time; overwrites the oldest event when the buffer is full. */
  record(event: TrailEvent): void {
    const numbered = { n: this.next, at: this.clock.wall(), ...event };
    this.ringBuffer[(this.next - 1) % this.capacity] = numbered;
    this.next += 1;
  }

  /** Events after the given number, oldest first, at most `limit`. */
  page(after: number, limit: number): TrailPage {
    const first = Math.max(1, this.next - this.capacity);
    const events: NumberedEvent[] = [];
    for (let n = Math.max(first, after + 1); n < this.next && events.length < limit; n++) {
      const event = this.ringBuffer[(n - 1) % this.capacity];
      if (event) events.push(event);
    }
    return { first, next: this.next, events };
  }
}
