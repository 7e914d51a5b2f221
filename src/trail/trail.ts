import type { Runtime } from '../kernel/index.js';
import type { NumberedEvent, TrailEvent } from './events.js';

/** Some events in a row. */
export interface TrailPage {
  /** The number of the oldest event that is still kept. */
  readonly first: number;
  /** The number that the next event will have. */
  readonly next: number;
  readonly events: readonly NumberedEvent[];
}

/**
 * The last events of this controller. Of bounded size: whoever reads too slowly misses some, and sees by the
 * numbers that it does; the controller waits for nobody.
 */
export class Trail {
  private readonly ring: NumberedEvent[] = [];
  private next = 1;

  constructor(
    private readonly capacity: number,
    private readonly clock: Pick<Runtime, 'wall'>,
  ) {}

  note(event: TrailEvent): void {
    const numbered = { n: this.next, at: this.clock.wall(), ...event };
    this.ring[(this.next - 1) % this.capacity] = numbered;
    this.next += 1;
  }

  /** Events after this number, oldest first, at most so many. */
  page(after: number, most: number): TrailPage {
    const first = Math.max(1, this.next - this.capacity);
    const events: NumberedEvent[] = [];
    for (let n = Math.max(first, after + 1); n < this.next && events.length < most; n++) {
      const event = this.ring[(n - 1) % this.capacity];
      if (event) events.push(event);
    }
    return { first, next: this.next, events };
  }
}
