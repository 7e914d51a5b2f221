import type { Runtime, Timer } from '../../../../src/kernel/index.js';

interface Fetch {
  leftGb: number;
  readonly waiters: Map<string, () => void>;
}

/** A machine's images: fetched once for all that wait, at a shared rate, and kept while there is room. */
export class ImageStore {
  /** Most recently used last. */
  private readonly cache = new Map<string, number>();
  private readonly fetches = new Map<string, Fetch>();
  private timer: Timer | undefined;
  private at = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly cacheGb: number,
    private readonly gbPerS: number,
  ) {}

  /** Calls `ready` once the image is there, at once when it is cached. */
  want(image: string, gb: number, waiter: string, ready: () => void): void {
    if (image === '' || gb <= 0 || this.cache.has(image)) {
      this.use(image, gb);
      ready();
      return;
    }
    this.advance();
    let fetch = this.fetches.get(image);
    if (!fetch) this.fetches.set(image, (fetch = { leftGb: gb, waiters: new Map() }));
    fetch.waiters.set(waiter, () => {
      this.use(image, gb);
      ready();
    });
    this.plan();
  }

  /** Gives a fetch up when no task waits for it any more. */
  leave(image: string, waiter: string): void {
    const fetch = this.fetches.get(image);
    if (!fetch?.waiters.delete(waiter) || fetch.waiters.size > 0) return;
    this.advance();
    this.fetches.delete(image);
    this.plan();
  }

  /** The machine stands still; what it fetches waits. */
  pause(): void {
    this.advance();
    this.timer?.cancel();
    this.timer = undefined;
  }

  resume(): void {
    this.at = this.runtime.now();
    this.plan();
  }

  private use(image: string, gb: number): void {
    if (image === '') return;
    this.cache.delete(image);
    this.cache.set(image, gb);
    let sum = 0;
    for (const size of this.cache.values()) sum += size;
    for (const [oldest, size] of this.cache) {
      if (sum <= this.cacheGb || oldest === image) break;
      this.cache.delete(oldest);
      sum -= size;
    }
  }

  private advance(): void {
    const now = this.runtime.now();
    const each = this.fetches.size === 0 ? 0 : (((now - this.at) / 1000) * this.gbPerS) / this.fetches.size;
    for (const fetch of this.fetches.values()) fetch.leftGb -= each;
    this.at = now;
  }

  private plan(): void {
    this.timer?.cancel();
    this.timer = undefined;
    if (this.fetches.size === 0) return;
    const least = Math.min(...[...this.fetches.values()].map((fetch) => fetch.leftGb));
    const inS = Math.max(0, (least * this.fetches.size) / this.gbPerS);
    this.timer = this.runtime.after(inS * 1000, () => {
      this.advance();
      const through = [...this.fetches].filter(([, fetch]) => fetch.leftGb <= 1e-6);
      for (const [image] of through) this.fetches.delete(image);
      this.plan();
      for (const [, { waiters }] of through) for (const ready of waiters.values()) ready();
    });
  }
}
