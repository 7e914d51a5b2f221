import type { MachineType } from '../cloud/index.js';
import type { TeamFacts } from '../config/index.js';
import type { ShardHolder } from '../holder/index.js';
import type { JobSpec } from '../jobs/index.js';
import type { Clock, JobId, NodeName, ShardName } from '../kernel/index.js';
import { betterShard, bookRoom, chooseShard } from '../leasing/index.js';
import type { ShardSummary } from '../peers/index.js';
import { limitOf, type QuotaShares } from '../quota/index.js';

const SUMMARY_VALID_MS = 5000;

export interface RoutesDeps {
  readonly self: NodeName;
  readonly clock: Clock;
  /** Limits of teams: who keeps a team's account, and whether they are shared out between all shards. */
  readonly quotas: Pick<QuotaShares, 'account' | 'returning' | 'routesFreely' | 'startableIn'>;
  readonly teams: ReadonlyMap<string, TeamFacts>;
  /** The shards that this node holds. */
  readonly holders: ReadonlyMap<ShardName, ShardHolder>;
  /** This node's own shard. */
  readonly own: ShardName;
  types(): ReadonlyMap<string, MachineType>;
}

/** What is known of every shard from its holder's last summary, and where a job is sent by it. */
export class ShardRoutes {
  private readonly summaries = new Map<ShardName, { summary: ShardSummary; at: number }>();

  constructor(private readonly deps: RoutesDeps) {}

  note(summary: ShardSummary): void {
    this.summaries.set(summary.shard, { summary, at: this.deps.clock.now() });
  }

  forget(shard: ShardName): void {
    this.summaries.delete(shard);
  }

  /** However old. */
  last(shard: ShardName): ShardSummary | undefined {
    return this.summaries.get(shard)?.summary;
  }

  get current(): ShardSummary[] {
    const now = this.deps.clock.now();
    const current: ShardSummary[] = [];
    for (const { summary, at } of this.summaries.values()) if (now - at < SUMMARY_VALID_MS) current.push(summary);
    return current;
  }

  /** Where a new job goes; null when nobody knows. One that `waits` takes no room yet. */
  choose(spec: JobSpec, waits = false): ShardName | null {
    // Unless limits are shared, one shard keeps a limited team's whole account.
    if (this.bound(spec)) return this.deps.quotas.account(spec.team);
    const { holders, own } = this.deps;
    const here = holders.has(own) ? own : ([...holders.keys()][0] ?? null);
    const { quotas } = this.deps;
    const shared = limitOf(this.deps.teams.get(spec.team)) !== null;
    const allowedIn = shared ? (shard: ShardName): number => quotas.startableIn(spec.team, shard, spec) : undefined;
    const chosen = chooseShard(spec, this.current, this.deps.types(), here, allowedIn);
    return waits ? chosen : this.booked(chosen, spec);
  }

  /** Another shard that has room for a waiting job now. */
  elsewhere(from: ShardName, spec: JobSpec, count: number): ShardName | null {
    if (this.bound(spec)) {
      if (!this.deps.quotas.returning) return null;
      // What was sent elsewhere while limits were shared goes back to where the account is.
      const account = this.deps.quotas.account(spec.team);
      return account === from ? null : account;
    }
    const { current } = this;
    const others = current.filter(
      (s) => s.shard !== from && !(this.deps.holders.has(s.shard) && s.holder !== this.deps.self),
    );
    const here = current.find((s) => s.shard === from);
    return this.booked(betterShard(spec, count, here, others, this.deps.types()), spec);
  }

  /** How many tasks of a job run, as far as this node knows. */
  running(id: JobId): { running: number; done: number } {
    for (const holder of this.deps.holders.values()) {
      const seen = holder.runningOf(id);
      if (seen) return seen;
    }
    for (const { summary } of this.summaries.values()) {
      const found = summary.running.find((r) => r.job === id);
      if (found) return { running: found.running, done: found.done };
    }
    return { running: 0, done: 0 };
  }

  /** Must it be where its team's account is? */
  private bound({ team }: JobSpec): boolean {
    return limitOf(this.deps.teams.get(team)) !== null && !this.deps.quotas.routesFreely;
  }

  /** The next job sees what this one takes before the holder says so. */
  private booked(chosen: ShardName | null, spec: JobSpec): ShardName | null {
    const entry = chosen === null ? undefined : this.summaries.get(chosen);
    if (chosen !== null && entry) this.summaries.set(chosen, { ...entry, summary: bookRoom(spec, entry.summary) });
    return chosen;
  }
}
