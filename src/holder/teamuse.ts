import type { TeamFacts } from '../config/index.js';
import type { JobSpec } from '../jobs/index.js';
import { parseTaskKey, type JobId, type TaskKey } from '../kernel/index.js';
import type { TeamUse } from '../placement/index.js';
import type { MachineBelief } from '../workers/index.js';

/** What may be on a machine, and what its holder has put there. */
export interface MachineTasks {
  readonly belief: Pick<MachineBelief, 'tasks' | 'pendingStarts'>;
  readonly active: ReadonlyMap<TaskKey, unknown>;
}

export interface TeamAccount {
  /** Only teams with a limit; everything possibly there counts. */
  readonly use: ReadonlyMap<string, TeamUse>;
  /** Tasks that may be at work and whose job nobody here knows any more. */
  readonly unknown: number;
}

/**
 * What teams with a limit may be using. A task whose job isn't known may be any team's and of any size: until it is gone,
 * teams with a limit use all of it. After a claim, jobs that were cancelled before it are unknown to the new holder while
 * their tasks are listed, on machines that hang or are cut off before the stop is executed: they counted for nothing,
 * and the next start of a team at its limit went beyond it. Pure.
 */
export function teamUse(
  teams: ReadonlyMap<string, TeamFacts>,
  machines: Iterable<MachineTasks>,
  specOf: (id: JobId) => JobSpec | null,
): TeamAccount {
  const use = new Map<string, { cpus: number; gpus: number; cpusMax: number; gpusMax: number }>();
  for (const [name, { cpusMax, gpusMax }] of teams)
    if (cpusMax > 0 || gpusMax > 0) use.set(name, { cpus: 0, gpus: 0, cpusMax, gpusMax });
  if (use.size === 0) return { use, unknown: 0 };
  let unknown = 0;
  for (const { belief, active } of machines) {
    const keys = new Set<TaskKey>(belief.pendingStarts.keys());
    // Planned a moment ago, and its command is about to be sent. Found by the region: shares were looked at in between,
    // and one was given away that such a start was already using.
    for (const key of active.keys()) keys.add(key);
    for (const [key, listed] of belief.tasks) if (listed.state !== 'exited') keys.add(key);
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
