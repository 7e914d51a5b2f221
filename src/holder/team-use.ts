import type { TeamQuota } from '../config/index.js';
import type { JobSpec } from '../jobs/index.js';
import { parseTaskKey, type JobId, type TaskKey } from '../kernel/index.js';
import type { TeamUse } from '../placement/index.js';
import type { WorkerTracker } from '../workers/index.js';

/** Tasks that may be on a machine, and those that its holder has started or adopted there. */
export interface MachineTasks {
  readonly tracker: Pick<WorkerTracker, 'tasks' | 'pendingStarts'>;
  readonly active: ReadonlyMap<TaskKey, unknown>;
}

/** Possible resource use of teams with a limit. */
export interface LimitedTeamUse {
  /** Use by team, for teams with a limit only. Every task that may be on a machine counts. */
  readonly use: ReadonlyMap<string, TeamUse>;
  /** Number of tasks that may be running and whose job is unknown here. */
  readonly unknown: number;
}

/**
 * Computes what teams with a limit may be using. A task of an unknown job may belong to any team and be of any size, so
 * while there is one, every team with a limit counts as using all of it. Such tasks occur after a claim: jobs cancelled
 * before it are unknown to the new holder, but machines that hang or are cut off before the stop is executed still list
 * their tasks. When these did not count, the next start of a team at its limit exceeded the limit. Pure.
 */
export function computeTeamUse(
  teams: ReadonlyMap<string, TeamQuota>,
  machines: Iterable<MachineTasks>,
  specOf: (id: JobId) => JobSpec | null,
): LimitedTeamUse {
  const use = new Map<string, { cpus: number; gpus: number; cpusMax: number; gpusMax: number }>();
  for (const [name, { cpusMax, gpusMax }] of teams)
    if (cpusMax > 0 || gpusMax > 0) use.set(name, { cpus: 0, gpus: 0, cpusMax, gpusMax });
  if (use.size === 0) return { use, unknown: 0 };
  let unknown = 0;
  for (const { tracker, active } of machines) {
    const keys = new Set<TaskKey>(tracker.pendingStarts.keys());
    // These include tasks that are planned but whose command is not sent yet. Without them, a share that such a start
    // was already using was given away when shares were computed between planning and sending.
    for (const key of active.keys()) keys.add(key);
    for (const [key, listed] of tracker.tasks) if (listed.state !== 'exited') keys.add(key);
    for (const key of keys) {
      const parsed = parseTaskKey(key);
      const spec = parsed && specOf(parsed.job);
      if (!spec) {
        unknown += 1;
        continue;
      }
      const team = use.get(spec.team);
      if (!team) continue;
      team.cpus += spec.cpus;
      team.gpus += spec.gpus;
    }
  }
  if (unknown > 0) for (const team of use.values()) [team.cpus, team.gpus] = [Infinity, Infinity];
  return { use, unknown };
}
