/** The latest needs reported for each shard. */

import type { Millis, Revision, ShardName } from '../kernel/index.js';
import type { Amount } from './amount.js';
import { NO_NEED, type TeamNeed } from './allocation.js';

/**
 * What a shard's holder reports about all teams with a limit; a team that is not listed uses nothing there and waits
 * for nothing.
 */
export interface ShardNeeds {
  readonly shard: ShardName;
  /** Revision of the claim by which the sender holds the shard. */
  readonly claimedAt: Revision;
  readonly teams: ReadonlyMap<string, TeamNeed>;
}

/** Reports older than this are ignored. */
const NEEDS_VALID_MS = 3000;

/** The latest report for each shard. */
export class NeedReports {
  private readonly latest = new Map<ShardName, { readonly needs: ShardNeeds; readonly at: Millis }>();

  /** Records a report, unless a later holder of the shard has already reported. */
  record(needs: ShardNeeds, now: Millis): void {
    const known = this.latest.get(needs.shard);
    // Messages of a holder that has been replaced may still arrive.
    if (known && known.needs.claimedAt > needs.claimedAt) return;
    this.latest.set(needs.shard, { needs, at: now });
  }

  /** The need of a team in each shard with a recent report. */
  needsOf(team: string, now: Millis): Map<ShardName, TeamNeed> {
    const needsByShard = new Map<ShardName, TeamNeed>();
    for (const [shard, { needs, at }] of this.latest)
      if (now - at < NEEDS_VALID_MS) needsByShard.set(shard, needs.teams.get(team) ?? NO_NEED);
    return needsByShard;
  }

  /**
   * The last reported use of a team in a shard, whatever its age; null if the shard was never reported. An old report
   * is safe: a shard without a share starts nothing, so its use can only have decreased.
   */
  lastUseOf(team: string, shard: ShardName): Amount | null {
    const report = this.latest.get(shard);
    return report ? (report.needs.teams.get(team) ?? NO_NEED).use : null;
  }

  /** Forgets all reports, because they may become wrong while limits are not divided. */
  clear(): void {
    this.latest.clear();
  }
}
