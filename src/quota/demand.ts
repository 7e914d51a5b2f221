import type { Millis, Revision, ShardName } from '../kernel/index.js';
import type { Amount } from './amount.js';
import { NO_NEED, type TeamNeed } from './decide.js';

/** What the holder of a shard says of all limited teams; a team that is not named uses nothing there and waits for nothing. */
export interface ShardDemand {
  readonly shard: ShardName;
  /** Since when the sender holds the shard. */
  readonly claimedAt: Revision;
  readonly teams: ReadonlyMap<string, TeamNeed>;
}

/** What is older than this says nothing any more. */
const VALID_MS = 3000;

/** What the holders of all shards have said lately. */
export class DemandBoard {
  private readonly heard = new Map<ShardName, { readonly demand: ShardDemand; readonly at: Millis }>();

  note(demand: ShardDemand, now: Millis): void {
    const known = this.heard.get(demand.shard);
    // A holder that has been replaced may still be heard.
    if (known && known.demand.claimedAt > demand.claimedAt) return;
    this.heard.set(demand.shard, { demand, at: now });
  }

  /** Of the shards that were heard of lately: what each needs for a team. */
  needsOf(team: string, now: Millis): Map<ShardName, TeamNeed> {
    const needs = new Map<ShardName, TeamNeed>();
    for (const [shard, { demand, at }] of this.heard)
      if (now - at < VALID_MS) needs.set(shard, demand.teams.get(team) ?? NO_NEED);
    return needs;
  }

  /**
   * What a team was last said to use in a shard, however long ago; null: nothing was heard of the shard. A shard without a
   * share starts nothing, so what it uses can only have become less.
   */
  lastUseOf(team: string, shard: ShardName): Amount | null {
    const heard = this.heard.get(shard);
    return heard ? (heard.demand.teams.get(team) ?? NO_NEED).use : null;
  }

  /** Limits are not shared any more: what was said may cease to hold. */
  clear(): void {
    this.heard.clear();
  }
}
