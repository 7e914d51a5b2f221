import { millis, type JobId } from '../kernel/index.js';
import { limitOf, type TeamNeed } from '../quota/index.js';
import type { TeamUse } from '../placement/index.js';
import type { HeldShard } from './held.js';
import type { JobRun } from './run.js';
import { teamNeeds, type WaitingJob } from './teamneeds.js';
import { teamUse } from './teamuse.js';

/** Where a limit of 0 means none, a share of nothing is written as next to nothing. */
const LEAST = 1e-9;

const capped = (cap: number, limited: boolean): number => (limited ? Math.max(LEAST, cap) : 0);

/** The accounts of teams with limits in one shard: what may be in use, up to where, and what waits. */
export class TeamAccounts {
  /** How many tasks of unknown jobs keep teams with a limit from starting anything; 0: none. */
  heldBackBy = 0;

  constructor(private readonly held: HeldShard) {}

  /** What teams with a limit may be using now, and up to where they may. */
  use(): ReadonlyMap<string, TeamUse> {
    const { shard, deps } = this.held;
    const limited = new Map<string, TeamUse>();
    for (const [team, account] of this.inUse()) {
      const cap = deps.quotas.capOf(team, shard);
      const left = deps.quotas.leftOf(team);
      limited.set(team, {
        ...account,
        cpusMax: capped(cap?.cpus ?? 0, account.cpusMax > 0),
        gpusMax: capped(cap?.gpus ?? 0, account.gpusMax > 0),
        ...(left === null ? {} : { wholeLeft: left }),
      });
    }
    return limited;
  }

  /** The same under the teams' whole limits, whatever share of them is this shard's. */
  private inUse(): ReadonlyMap<string, TeamUse> {
    const { settings } = this.held.deps;
    const { use, unknown } = teamUse(settings.teams, this.held.machines.values(), this.held.storedSpecOf);
    this.noteUnknown(unknown, [...use.keys()]);
    return use;
  }

  private noteUnknown(unknown: number, teams: readonly string[]): void {
    if (unknown > 0 !== this.heldBackBy > 0)
      this.held.deps.log.info(
        { shard: this.held.shard, teams, tasks: unknown },
        unknown > 0
          ? 'teams with a limit start nothing: tasks of jobs that nobody knows any more may be theirs'
          : 'teams with a limit start again',
      );
    this.heldBackBy = unknown;
  }

  /** What limited teams use here and wait for; `shareBound`: what the last plan could start but for a larger share. */
  needs(shareBound: readonly { readonly job: JobId; readonly count: number }[]): ReadonlyMap<string, TeamNeed> {
    const wall = this.held.deps.runtime.wall();
    const waiting: WaitingJob[] = [];
    for (const { job, count } of shareBound) {
      const run = this.held.jobs.get(job);
      if (!run || run.ended || run.complete) continue;
      const waitedMs = millis(Math.max(0, wall - run.countsFrom));
      waiting.push({ spec: run.spec, missing: Math.min(count, run.missing), waitedMs });
    }
    return teamNeeds(this.inUse(), waiting);
  }

  /** Jobs of limited teams whose account another shard keeps. */
  get foreign(): boolean {
    for (const run of this.held.jobs.values()) if (!run.ended && this.isForeign(run.spec.team)) return true;
    return false;
  }

  private isForeign(team: string): boolean {
    const { quotas, settings } = this.held.deps;
    return limitOf(settings.teams.get(team)) !== null && quotas.account(team) !== this.held.shard;
  }

  /** Limits are no more shared: work of teams whose account is elsewhere is stopped, to go on there. */
  foldForeign(move: (run: JobRun) => void): void {
    for (const run of this.held.jobs.values()) {
      if (run.ended || run.complete || !this.isForeign(run.spec.team)) continue;
      for (const task of run.active.values()) this.held.stop(run, task, 'drain');
      if (run.active.size === 0) move(run);
    }
  }
}
