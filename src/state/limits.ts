import type { Millis } from '../kernel/index.js';

/** What the state service takes: changes and requests a second, KiB a value, changes a transaction. */
export interface StateFacts {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueKb?: number;
  readonly txnOps?: number;
  /** What it will take from some moment on, which it doesn't announce. */
  readonly next?: { readonly writeRps: number; readonly valueKb: number; readonly txnOps: number };
}

/** By the state service's protocol. */
const CONDITIONS_PER_CHANGE = 4;
const WINDOW_MS = 10_000;
/** So many refusals of changes that were within our own part, in that time, are no burst any more. */
const REFUSALS = 4;

/**
 * The one place that knows the state service's limits. Values and transactions keep to the lower ones from the
 * start, so that nothing has to be noticed in time. Changes a second are scarce: the present rate is used until the
 * service refuses what should have been within it, here or at a peer. Limits only ever fall.
 */
export class StateLimits {
  private refusals: Millis[] = [];
  private lowered = false;

  constructor(private readonly facts: StateFacts) {}

  /** The lower limits are in force, as far as is known. */
  get fallen(): boolean {
    return this.lowered;
  }

  get rps(): number {
    return this.facts.rps;
  }

  get writeRps(): number {
    const { writeRps, next } = this.facts;
    return this.lowered && next ? Math.min(writeRps, next.writeRps) : writeRps;
  }

  /** Bytes of a value, for whatever is to be written now and later. */
  get valueBytes(): number {
    return 1024 * Math.min(this.presentValueKb, this.facts.next?.valueKb ?? Infinity);
  }

  /** KiB that a value may have at this moment; for forms that older releases must read. */
  get presentValueKb(): number {
    const { valueKb = Infinity, next } = this.facts;
    return this.lowered && next ? Math.min(valueKb, next.valueKb) : valueKb;
  }

  /** Changes of one transaction, now and later. */
  get txnOps(): number {
    return Math.min(this.facts.txnOps ?? Infinity, this.facts.next?.txnOps ?? Infinity);
  }

  /** Conditions of one transaction, now and later. */
  get conditions(): number {
    return CONDITIONS_PER_CHANGE * this.txnOps;
  }

  /** 429 for changes that were within this process's part. */
  refusedRate(now: Millis): void {
    this.refusals = [...this.refusals.filter((at) => now - at < WINDOW_MS), now].slice(-REFUSALS);
    if (this.refusals.length >= REFUSALS) this.fall();
  }

  /** A value or transaction of lawful size was refused, or a peer has noticed. */
  fall(): void {
    if (this.facts.next) this.lowered = true;
  }
}
