// The latest demand reported for each shard.

import type { Millis, Revision, ShardName } from '../kernel/index.js';
import type { Amount } from './amount.js';
import { NO_NEED, type TeamNeed } from './allocation.js';

/**
 * What a shard's holder reports about all teams with a limit; a team that is not listed uses nothing there and waits
 * for nothing.
 */
export interface ShardDemand {
  readonly shard: ShardName;
  /** Revision of the claim by which the sender holds the shard. */
  readonly claimedAt: Revision;
  readonly teams: ReadonlyMap<string, TeamNeed>;
}

/** Reports older than this are ignored. */
const DEMAND_VALID_MS = 3000;

/** The latest report for each shard. */
export class DemandReports {
  private readonly heard = new Map<ShardName, { readonly demand: ShardDemand; readonly at: Millis }>();

  /** Records a report, unless a later holder of the shard has already reported. */
  record(demand: ShardDemand, now: Millis): void {
    const known = this.heard.get(demand.shard);
    // Messages of a holder that has been replaced may still arrive.
    if (known && known.demand.claimedAt > demand.claimedAt) return;
    this.heard.set(demand.shard, { demand, at: now });
  }

  /** The need of a team in each shard with a recent report. */
  needsOf(team: string, now: Millis): Map<ShardName, TeamNeed> {
    const needs = new Map<ShardName, TeamNeed>();
    for (const [shard, { demand, at }] of this.heard)
      if (now - at < DEMAND_VALID_MS) needs.set(shard, demand.teams.get(team) ?? NO_NEED);
    return needs;
  }

  /**
   * The last reported use of a team in a shard, whatever its age; null if the shard was never reported. An old report
   * is safe: a shard without a share starts nothing, so its use can only have decreased.
   */
  lastUseOf(team: string, shard: ShardName): Amount | null {
    const heard = this.heard.get(shard);
    return heard ? (heard.demand.teams.get(team) ?? NO_NEED).use : null;
  }

  /** Forgets all reports, because they may become wrong while limits are not divided. */
  clear(): void {
    this.heard.clear();
  }
}
