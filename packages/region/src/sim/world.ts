import TinyQueue from 'tinyqueue';

/** Something that happens at a moment of true time; `work` is null once it is called off. */
export interface Happening {
  readonly at: number;
  readonly order: number;
  work: (() => void) | null;
}

export interface RunOptions {
  /** Lets promises and streams come to rest after each happening; resolves when they have. */
  readonly rest: () => Promise<void>;
  /** Called when simulated time has moved on; may wait, to keep to a pace. */
  readonly moved?: (nowMs: number) => Promise<void> | undefined;
  readonly stop?: () => boolean;
}

/**
 * True time, in milliseconds, and what is to happen in it. Happenings of one moment keep the order in
 * which they were planned, and each is played to rest before the next, so the same plans give the
 * same day on any machine.
 */
export class World {
  private readonly queue = new TinyQueue<Happening>([], (a, b) => a.at - b.at || a.order - b.order);
  private planned = 0;
  private time = 0;
  /** Happenings played so far. */
  played = 0;
  /** Errors that nobody caught: each is a defect of a model or of the service. */
  readonly defects: unknown[] = [];

  get now(): number {
    return this.time;
  }

  plan(at: number, work: () => void): Happening {
    const happening: Happening = { at: Math.max(at, this.time), order: this.planned++, work };
    this.queue.push(happening);
    return happening;
  }

  /** Plays everything up to a moment, that moment included. */
  async run(untilMs: number, options: RunOptions): Promise<void> {
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.at > untilMs || options.stop?.() === true) break;
      this.queue.pop();
      const { work } = next;
      if (!work) continue;
      next.work = null;
      if (next.at > this.time) {
        this.time = next.at;
        const pace = options.moved?.(this.time);
        if (pace) await pace;
      }
      this.played += 1;
      try {
        work();
      } catch (error) {
        this.defects.push(error);
      }
      await options.rest();
    }
    if (options.stop?.() !== true) this.time = Math.max(this.time, untilMs);
  }
}
