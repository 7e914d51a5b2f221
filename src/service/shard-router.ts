import type { MachineType } from '../cloud/index.js';
import type { TeamQuota } from '../config/index.js';
import type { ShardHolder, WantedCapacity } from '../holder/index.js';
import type { JobSpec } from '../jobs/index.js';
import type { Clock, JobId, Millis, NodeName, ShardName } from '../kernel/index.js';
import { chooseMoveTarget, reserveCapacity, chooseShard } from '../leasing/index.js';
import type { RunningSummary, ShardSummary } from '../peers/index.js';
import { limitOf, type QuotaShares } from '../quota/index.js';

/** Age from which a shard summary is no longer used for routing. */
const SUMMARY_VALID_MS = 5000;

/** What `ShardRouter` needs from the rest of the node. */
export interface ShardRouterDeps {
  readonly self: NodeName;
  readonly clock: Clock;
  /** Team limits: which shard keeps a team's account, and whether the limits are divided between all shards. */
  readonly quotas: Pick<QuotaShares, 'accountShardOf' | 'returning' | 'limitsAreShared' | 'startableIn'>;
  readonly teams: ReadonlyMap<string, TeamQuota>;
  /** The shards that this node holds. */
  readonly holders: ReadonlyMap<ShardName, ShardHolder>;
  /** This node's own shard. */
  readonly ownShard: ShardName;
  /** The known machine types, by name. */
  types(): ReadonlyMap<string, MachineType>;
}

/** Numbers of running and done tasks of a job. */
interface TaskCounts {
  readonly running: number;
  readonly done: number;
}

/** The last summary of a shard and when it arrived. */
interface ReceivedSummary {
  readonly summary: ShardSummary;
  readonly at: Millis;
  /** The task counts in the summary by job; null until they are first asked for. */
  countsByJob: ReadonlyMap<JobId, RunningSummary> | null;
}

/** Returns the task counts that a summary reports for a job. */
function reportedCounts(received: ReceivedSummary, id: JobId): TaskCounts | undefined {
  received.countsByJob ??= new Map(received.summary.running.map((counts) => [counts.job, counts]));
  return received.countsByJob.get(id);
}

/** Keeps the last summary of every shard, as sent by its holder, and uses the summaries to route jobs to shards. */
export class ShardRouter {
  private readonly summaries = new Map<ShardName, ReceivedSummary>();

  constructor(private readonly deps: ShardRouterDeps) {}

  /** Stores a summary with its time of arrival. */
  recordSummary(summary: ShardSummary): void {
    this.summaries.set(summary.shard, { summary, at: this.deps.clock.now(), countsByJob: null });
  }

  /** Discards the summary of a shard. */
  forgetSummary(shard: ShardName): void {
    this.summaries.delete(shard);
  }

  /** The last summary of a shard, of any age. */
  lastSummary(shard: ShardName): ShardSummary | undefined {
    return this.summaries.get(shard)?.summary;
  }

  /** The summaries that are recent enough for routing. */
  get currentSummaries(): ShardSummary[] {
    const now = this.deps.clock.now();
    const summaries: ShardSummary[] = [];
    for (const { summary, at } of this.summaries.values()) if (now - at < SUMMARY_VALID_MS) summaries.push(summary);
    return summaries;
  }

  /**
   * Chooses the shard of a new job; null if none is known. A job with unfinished dependencies reserves no capacity yet.
   */
  chooseShardFor(spec: JobSpec, hasUnfinishedDependencies = false): ShardName | null {
    // Unless limits are divided into shares, one shard keeps the whole account of a team with a limit.
    if (this.mustFollowAccount(spec)) return this.deps.quotas.accountShardOf(spec.team);
    const { holders, ownShard } = this.deps;
    const localShard = holders.has(ownShard) ? ownShard : ([...holders.keys()][0] ?? null);
    const { quotas } = this.deps;
    const limited = limitOf(this.deps.teams.get(spec.team)) !== null;
    const startableIn = limited ? (shard: ShardName): number => quotas.startableIn(spec.team, shard, spec) : undefined;
    const chosen = chooseShard(spec, this.currentSummaries, this.deps.types(), localShard, startableIn);
    return hasUnfinishedDependencies ? chosen : this.reserve(chosen, spec);
  }

  /** Another shard with capacity for `count` waiting tasks of a job now, or null. */
  findOtherShard(from: ShardName, spec: JobSpec, { count, mayTry, avoid }: WantedCapacity): ShardName | null {
    if (this.mustFollowAccount(spec)) {
      if (!this.deps.quotas.returning) return null;
      // Jobs that were routed elsewhere while limits were divided return to the shard that keeps the account.
      const account = this.deps.quotas.accountShardOf(spec.team);
      return account === from ? null : account;
    }
    const { currentSummaries } = this;
    const candidates = currentSummaries
      .filter((s) => s.shard !== from && !(this.deps.holders.has(s.shard) && s.holder !== this.deps.self))
      .map((s) => (avoid.size === 0 ? s : { ...s, machines: s.machines.filter(({ id }) => !avoid.has(id)) }));
    const fromSummary = currentSummaries.find((s) => s.shard === from);
    return this.reserve(chooseMoveTarget(spec, count, fromSummary, candidates, this.deps.types(), mayTry), spec);
  }

  /** Numbers of running and done tasks of a job, as far as this node knows. */
  progressOf(id: JobId): TaskCounts {
    for (const holder of this.deps.holders.values()) {
      const progress = holder.progressOf(id);
      if (progress) return progress;
    }
    for (const received of this.summaries.values()) {
      const reported = reportedCounts(received, id);
      if (reported) return { running: reported.running, done: reported.done };
    }
    return { running: 0, done: 0 };
  }

  /** Whether a job must be in the shard that keeps its team's account. */
  private mustFollowAccount({ team }: JobSpec): boolean {
    return limitOf(this.deps.teams.get(team)) !== null && !this.deps.quotas.limitsAreShared;
  }

  /**
   * Subtracts a routed job's capacity from the shard's summary, so that the next job sees it before the holder reports.
   */
  private reserve(shard: ShardName | null, spec: JobSpec): ShardName | null {
    const entry = shard === null ? undefined : this.summaries.get(shard);
    if (shard !== null && entry) this.summaries.set(shard, { ...entry, summary: reserveCapacity(spec, entry.summary) });
    return shard;
  }
}
