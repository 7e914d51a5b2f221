import type { JobSpec } from '../jobs/index.js';
import type { Millis } from '../kernel/index.js';
import { NO_NEED, add, times, type Amount, type TeamNeed } from '../quota/index.js';
import type { TeamUse } from '../placement/index.js';

/** A job with tasks that wait to be started. */
export interface WaitingJob {
  readonly spec: JobSpec;
  /** Number of tasks that are neither done nor possibly on a machine. */
  readonly unstartedCount: number;
  readonly waitedMs: Millis;
}

/** The smallest amount that lets the job start something: one task, or a whole gang. */
const startUnit = ({ spec }: WaitingJob): Amount => times(spec, spec.kind === 'gang' ? spec.tasks : 1);

/** Whether `a` is served before `b`: by priority, then by waiting time. */
const comesBefore = (a: WaitingJob, b: Pick<TeamNeed, 'priority' | 'waitedMs'>): boolean =>
  a.spec.priority > b.priority || (a.spec.priority === b.priority && a.waitedMs > b.waitedMs);

/** Computes what teams with a limit use and wait for in a shard. Pure. */
export function computeTeamNeeds(
  use: ReadonlyMap<string, TeamUse>,
  waiting: Iterable<WaitingJob>,
): ReadonlyMap<string, TeamNeed> {
  const needs = new Map<string, TeamNeed>();
  for (const [team, { cpus, gpus }] of use)
    if (cpus > 0 || gpus > 0) needs.set(team, { ...NO_NEED, use: { cpus, gpus } });
  for (const job of waiting) {
    const { team, priority } = job.spec;
    if (!use.has(team) || job.unstartedCount <= 0) continue;
    const known = needs.get(team) ?? NO_NEED;
    const first = known.unit === NO_NEED.unit || comesBefore(job, known);
    needs.set(team, {
      use: known.use,
      waiting: add(known.waiting, times(job.spec, job.unstartedCount)),
      ...(first
        ? { unit: startUnit(job), priority, waitedMs: job.waitedMs }
        : { unit: known.unit, priority: known.priority, waitedMs: known.waitedMs }),
    });
  }
  return needs;
}
