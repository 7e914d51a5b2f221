import type { Millis } from '../kernel/index.js';

/** How long an isolated node stays healthy, since a network fault may end quickly. */
const ISOLATION_GRACE_MS = 10_000;

/** The inputs of one health check. */
export interface HealthInputs {
  /** The mirror is loaded and the node is registered in the state service. */
  readonly ready: boolean;
  /** The node is not leaving, or no other node can take over its shards. */
  readonly mayClaimShards: boolean;
  /** This node can use the state service. */
  readonly stateOk: boolean;
  /** For each other controller: whether it can use the state service, or null if it is not heard. */
  readonly othersStateOk: readonly (boolean | null)[];
}

/** Decides whether the load balancer should send users to this node. */
export class HealthCheck {
  private isolatedSince: Millis | null = null;

  /** Evaluates the present inputs; called repeatedly. `now` is monotonic time. */
  check({ ready, mayClaimShards, stateOk, othersStateOk }: HealthInputs, now: Millis): boolean {
    const heardCount = othersStateOk.filter((ok) => ok !== null).length;
    const isolated = !stateOk && (heardCount + 1) * 2 <= othersStateOk.length + 1;
    if (!isolated) this.isolatedSince = null;
    else this.isolatedSince ??= now;
    if (!ready || !mayClaimShards) return false;
    if (stateOk) return true;
    // During an outage of the state service for all controllers, the nodes stay healthy, because a node that the
    // balancer has removed returns slowly.
    if (othersStateOk.includes(true)) return false;
    // A node that reaches neither the state service nor a majority cannot tell such an outage from its own isolation.
    // If only this node is isolated, its users get no answer for as long as that lasts, while other nodes could serve
    // them.
    return this.isolatedSince === null || now - this.isolatedSince < ISOLATION_GRACE_MS;
  }
}
