import type { Runtime, Timer } from '../../../../src/kernel/index.js';

/** An image that is being fetched, and the callbacks of the tasks that wait for it. */
interface Fetch {
  remainingGb: number;
  readonly waiters: Map<string, () => void>;
}

/**
 * The image cache of a machine: an image is fetched once for all tasks that wait for it, all fetches share the bandwidth,
 * and the least recently used images are evicted when the cache is full.
 */
export class ImageCache {
  /** Size in GB by image, most recently used last. */
  private readonly cache = new Map<string, number>();
  private readonly fetches = new Map<string, Fetch>();
  private timer: Timer | undefined;
  /** Up to this time the progress of the fetches is accounted. */
  private advancedAt = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly cacheGb: number,
    private readonly gbPerS: number,
  ) {}

  /** Calls `ready` once the image is cached; immediately if it is already. */
  request(image: string, gb: number, waiter: string, ready: () => void): void {
    if (image === '' || gb <= 0 || this.cache.has(image)) {
      this.touch(image, gb);
      ready();
      return;
    }
    this.advanceFetches();
    let fetch = this.fetches.get(image);
    if (!fetch) this.fetches.set(image, (fetch = { remainingGb: gb, waiters: new Map() }));
    fetch.waiters.set(waiter, () => {
      this.touch(image, gb);
      ready();
    });
    this.scheduleCompletion();
  }

  /** Removes a waiting task, and aborts the fetch when no other task waits for it. */
  cancel(image: string, waiter: string): void {
    const fetch = this.fetches.get(image);
    if (!fetch?.waiters.delete(waiter) || fetch.waiters.size > 0) return;
    this.advanceFetches();
    this.fetches.delete(image);
    this.scheduleCompletion();
  }

  /** Suspends all fetches while the machine hangs. */
  pause(): void {
    this.advanceFetches();
    this.timer?.cancel();
    this.timer = undefined;
  }

  /** Continues the fetches. */
  resume(): void {
    this.advancedAt = this.runtime.now();
    this.scheduleCompletion();
  }

  /** Marks an image as most recently used and evicts the oldest ones beyond the capacity. */
  private touch(image: string, gb: number): void {
    if (image === '') return;
    this.cache.delete(image);
    this.cache.set(image, gb);
    let totalGb = 0;
    for (const size of this.cache.values()) totalGb += size;
    for (const [oldest, size] of this.cache) {
      if (totalGb <= this.cacheGb || oldest === image) break;
      this.cache.delete(oldest);
      totalGb -= size;
    }
  }

  /** Accounts the data fetched since the last call, in equal parts. */
  private advanceFetches(): void {
    const now = this.runtime.now();
    const fetchedGb =
      this.fetches.size === 0 ? 0 : (((now - this.advancedAt) / 1000) * this.gbPerS) / this.fetches.size;
    for (const fetch of this.fetches.values()) fetch.remainingGb -= fetchedGb;
    this.advancedAt = now;
  }

  /** Sets the timer for the fetch that completes next. */
  private scheduleCompletion(): void {
    this.timer?.cancel();
    this.timer = undefined;
    if (this.fetches.size === 0) return;
    const leastRemainingGb = Math.min(...[...this.fetches.values()].map((fetch) => fetch.remainingGb));
    const delayS = Math.max(0, (leastRemainingGb * this.fetches.size) / this.gbPerS);
    this.timer = this.runtime.after(delayS * 1000, () => {
      this.advanceFetches();
      const completed = [...this.fetches].filter(([, fetch]) => fetch.remainingGb <= 1e-6);
      for (const [image] of completed) this.fetches.delete(image);
      this.scheduleCompletion();
      for (const [, { waiters }] of completed) for (const ready of waiters.values()) ready();
    });
  }
}
