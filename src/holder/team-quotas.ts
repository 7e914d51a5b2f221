import { millis, type JobId } from '../kernel/index.js';
import { limitOf, type TeamNeed } from '../quota/index.js';
import type { TeamUse } from '../placement/index.js';
import type { HeldShardState } from './held-shard-state.js';
import type { JobRun } from './job-run.js';
import { computeTeamNeeds, type WaitingJob } from './team-needs.js';
import { computeTeamUse } from './team-use.js';

/** Stands for an empty share of a limit: a limit of 0 would mean that the team has none. */
const NEAR_ZERO_LIMIT = 1e-9;

/** The limit to plan with: `cap`, but never 0 for a resource that the team has a limit on. */
const shareLimit = (cap: number, limited: boolean): number => (limited ? Math.max(NEAR_ZERO_LIMIT, cap) : 0);

/** Tracks teams with a resource limit in one shard: what they may be using, their current limits, and what waits. */
export class TeamQuotaTracker {
  /** Number of tasks of unknown jobs. Above 0, they keep teams with a limit from starting anything. */
  blockingUnknownTasks = 0;

  constructor(private readonly held: HeldShardState) {}

  /** Possible current use of each team with a limit, against the share of its limit that this shard may use. */
  use(): ReadonlyMap<string, TeamUse> {
    const { shard, deps } = this.held;
    const limited = new Map<string, TeamUse>();
    for (const [team, account] of this.useUnderFullLimits()) {
      const cap = deps.quotas.capOf(team, shard);
      const left = deps.quotas.remainingOf(team);
      limited.set(team, {
        ...account,
        cpusMax: shareLimit(cap?.cpus ?? 0, account.cpusMax > 0),
        gpusMax: shareLimit(cap?.gpus ?? 0, account.gpusMax > 0),
        ...(left === null ? {} : { wholeLeft: left }),
      });
    }
    return limited;
  }

  /** The same against the teams' whole limits, regardless of this shard's share of them. */
  private useUnderFullLimits(): ReadonlyMap<string, TeamUse> {
    const { settings } = this.held.deps;
    const { use, unknown } = computeTeamUse(settings.teams, this.held.machines.values(), this.held.storedSpecOf);
    this.noteUnknownTasks(unknown, [...use.keys()]);
    return use;
  }

  /** Records how many tasks of unknown jobs there are, and logs when that starts or ceases to block teams. */
  private noteUnknownTasks(unknown: number, teams: readonly string[]): void {
    if (unknown > 0 !== this.blockingUnknownTasks > 0)
      this.held.deps.log.info(
        { shard: this.held.shard, teams, tasks: unknown },
        unknown > 0
          ? 'teams with a limit start nothing: tasks of unknown jobs may belong to them'
          : 'teams with a limit start tasks again: no tasks of unknown jobs are left',
      );
    this.blockingUnknownTasks = unknown;
  }

  /** What teams with a limit use and wait for. `shareBound`: what the last plan would start given a larger share. */
  needs(shareBound: readonly { readonly job: JobId; readonly count: number }[]): ReadonlyMap<string, TeamNeed> {
    const wall = this.held.deps.runtime.wall();
    const waiting: WaitingJob[] = [];
    for (const { job, count } of shareBound) {
      const run = this.held.jobs.get(job);
      if (!run || run.ended || run.complete) continue;
      const waitedMs = millis(Math.max(0, wall - run.objectivesFrom));
      waiting.push({ spec: run.spec, unstartedCount: Math.min(count, run.unstartedCount), waitedMs });
    }
    return computeTeamNeeds(this.useUnderFullLimits(), waiting);
  }

  /** Whether this shard has open jobs of teams with a limit whose whole limit is assigned to another shard. */
  get hasWorkAccountedElsewhere(): boolean {
    for (const run of this.held.jobs.values()) if (!run.ended && this.isAccountedElsewhere(run.spec.team)) return true;
    return false;
  }

  /** Whether the team has a limit that is assigned to another shard, or to none, while limits are not shared. */
  private isAccountedElsewhere(team: string): boolean {
    const { quotas, settings } = this.held.deps;
    return limitOf(settings.teams.get(team)) !== null && quotas.accountShardOf(team) !== this.held.shard;
  }

  /** Stops the work of teams whose limit is assigned elsewhere, once limits are not shared, and moves it there. */
  relocateWorkAccountedElsewhere(move: (run: JobRun) => void): void {
    for (const run of this.held.jobs.values()) {
      if (run.ended || run.complete || !this.isAccountedElsewhere(run.spec.team)) continue;
      for (const task of run.active.values()) this.held.stop(run, task, 'drain');
      if (run.active.size === 0) move(run);
    }
  }
}
