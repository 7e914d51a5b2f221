import type { Millis } from '../kernel/index.js';

/** The state service's configured limits: requests and changes per second, KiB per value, changes per transaction. */
export interface StateServiceLimits {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueKb?: number;
  readonly txnOps?: number;
  /** Lower limits that come into force at a time that the service doesn't announce. */
  readonly next?: { readonly writeRps: number; readonly valueKb: number; readonly txnOps: number };
}

/** Fixed by the state service's protocol. */
const MAX_GUARDS_PER_CHANGE = 4;
const REFUSAL_WINDOW_MS = 10_000;
/** This many refusals within the window, of changes within this process's share, are more than a burst explains. */
const REFUSALS_TO_LOWER = 4;

/**
 * The state service's limits that apply now. Values and transactions keep to the lower limits from the start, so that
 * they don't depend on noticing the switch in time. Changes per second are scarce: the higher rate is used until the
 * service refuses changes within it, here or at a peer. Limits never rise again.
 */
export class EffectiveStateLimits {
  private refusals: Millis[] = [];
  private lowerInForce = false;

  constructor(private readonly configured: StateServiceLimits) {}

  /** True once the lower limits are known to be in force. */
  get lowerLimitsInForce(): boolean {
    return this.lowerInForce;
  }

  /** Requests per second. */
  get rps(): number {
    return this.configured.rps;
  }

  /** Changes per second, over all controllers. */
  get writeRps(): number {
    const { writeRps, next } = this.configured;
    return this.lowerInForce && next ? Math.min(writeRps, next.writeRps) : writeRps;
  }

  /** Largest value in bytes that is valid under the current and the lower limits. */
  get maxValueBytes(): number {
    return 1024 * Math.min(this.currentMaxValueKb, this.configured.next?.valueKb ?? Infinity);
  }

  /** Largest value in KiB under the current limits, for records that older releases must read. */
  get currentMaxValueKb(): number {
    const { valueKb = Infinity, next } = this.configured;
    return this.lowerInForce && next ? Math.min(valueKb, next.valueKb) : valueKb;
  }

  /** Changes per transaction that are valid under the current and the lower limits. */
  get txnOps(): number {
    return Math.min(this.configured.txnOps ?? Infinity, this.configured.next?.txnOps ?? Infinity);
  }

  /** Guards per transaction that are valid under the current and the lower limits. */
  get maxGuards(): number {
    return MAX_GUARDS_PER_CHANGE * this.txnOps;
  }

  /** Counts a 429 for changes that were within this process's share; several in the window lower the limits. */
  recordRateRefusal(now: Millis): void {
    this.refusals = [...this.refusals.filter((at) => now - at < REFUSAL_WINDOW_MS), now].slice(-REFUSALS_TO_LOWER);
    if (this.refusals.length >= REFUSALS_TO_LOWER) this.applyLowerLimits();
  }

  /** Applies the lower limits: the service refused a value or transaction of valid size, or a peer has noticed. */
  applyLowerLimits(): void {
    if (this.configured.next) this.lowerInForce = true;
  }
}
