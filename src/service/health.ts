import type { Millis } from '../kernel/index.js';

/** So long a node that is cut off from everything but its users keeps them: it may be over in a moment. */
const ISOLATED_FOR_MS = 10_000;

export interface HealthView {
  /** Everything is read, and the node's key stands. */
  readonly ready: boolean;
  /** It is not about to be ended, or nobody else could take its place. */
  readonly mayTake: boolean;
  readonly stateOk: boolean;
  /** The other controllers: null for one that isn't heard, otherwise whether it has the state service. */
  readonly others: readonly (boolean | null)[];
}

/** Should users be sent here? Told again and again how things stand; `now` is steady time. */
export class Health {
  private isolatedSince: Millis | null = null;

  look({ ready, mayTake, stateOk, others }: HealthView, now: Millis): boolean {
    const heard = others.filter((other) => other !== null).length;
    const isolated = !stateOk && (heard + 1) * 2 <= others.length + 1;
    if (!isolated) this.isolatedSince = null;
    else this.isolatedSince ??= now;
    if (!ready || !mayTake) return false;
    if (stateOk) return true;
    // In an outage that hits all, nodes stay healthy: coming back after a removal is slow.
    if (others.includes(true)) return false;
    // Who hears neither the state service nor a majority can't tell such an outage from being cut off alone. Its users
    // would be held with no answer for as long as that lasts, while others are served: found by a drawn meeting, in
    // which a job was forgotten so.
    return this.isolatedSince === null || now - this.isolatedSince < ISOLATED_FOR_MS;
  }
}
