import type { JobId, Millis } from '../kernel/index.js';
import type { Order } from '../workers/index.js';
import type { HolderDeps } from './deps.js';
import type { JobRun } from './job-run.js';
import type { HeldMachine } from './held-machine.js';

/** The parts of a shard that decide which listed tasks are left over from ended jobs. */
export interface LeftoverContext {
  readonly deps: Pick<HolderDeps, 'log' | 'leftoverMs'>;
  readonly jobs: ReadonlyMap<JobId, JobRun>;
  readonly machinesWithStops: ReadonlySet<HeldMachine>;
  /** Whether listed tasks of the job are left as they are. */
  isUnmanaged(id: JobId): boolean;
}

/**
 * Stop orders for tasks of ended jobs that a worker still lists. They are also sent in the answer to its report,
 * because commands may not reach the worker. Returns null when it has listed such tasks for longer than `leftoverMs`:
 * its report is then not answered, so that its lease expires and it kills its tasks.
 */
export function leftoverStops(held: LeftoverContext, machine: HeldMachine, now: Millis): Order[] | null {
  const orders: Order[] = [];
  for (const [key, { job, attempt, state }] of held.machinesWithStops.has(machine) ? machine.tracker.tasks : []) {
    if (state !== 'exited' && !held.isUnmanaged(job) && held.jobs.get(job)?.ended !== false)
      orders.push({ op: 'stop', key, attempt, graceS: 0 });
  }
  if (orders.length === 0) machine.leftoversSince = null;
  else machine.leftoversSince ??= now;
  const { deps } = held;
  if (machine.leftoversSince === null || now - machine.leftoversSince <= deps.leftoverMs) return orders;
  if (!machine.leftoversLogged)
    deps.log.warn(
      { machine: machine.id, tasks: orders.length },
      'worker keeps running tasks of ended jobs: letting its lease expire',
    );
  machine.leftoversLogged = true;
  return null;
}
