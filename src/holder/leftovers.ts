import type { JobId, Millis } from '../kernel/index.js';
import type { Order } from '../workers/index.js';
import type { HolderDeps } from './deps.js';
import type { JobRun } from './run.js';
import type { HeldMachine } from './machine.js';

/** What is known of a shard's jobs and of what has to be stopped there. */
export interface LeftoverContext {
  readonly deps: Pick<HolderDeps, 'log' | 'leftoverMs'>;
  readonly jobs: ReadonlyMap<JobId, JobRun>;
  readonly toStop: ReadonlySet<HeldMachine>;
  /** What is listed of it stays where it is. */
  untouched(id: JobId): boolean;
}

/**
 * Stops of what a worker still lists of jobs that are over: the answer to its report carries them, too, for a command
 * may not reach it. null: it has gone on for so long that its lease has to run out instead.
 */
export function leftoversOn(held: LeftoverContext, machine: HeldMachine, now: Millis): Order[] | null {
  const orders: Order[] = [];
  for (const [key, { job, attempt, state }] of held.toStop.has(machine) ? machine.belief.tasks : []) {
    if (state !== 'exited' && !held.untouched(job) && held.jobs.get(job)?.ended !== false)
      orders.push({ op: 'stop', key, attempt, graceS: 0 });
  }
  if (orders.length === 0) machine.leftoversSince = null;
  else machine.leftoversSince ??= now;
  const { deps } = held;
  if (machine.leftoversSince === null || now - machine.leftoversSince <= deps.leftoverMs) return orders;
  if (!machine.leftoversTold)
    deps.log.warn(
      { machine: machine.id, tasks: orders.length },
      'a worker goes on with tasks of jobs that are over: its lease has to run out',
    );
  machine.leftoversTold = true;
  return null;
}
