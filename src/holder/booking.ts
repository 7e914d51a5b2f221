import type { MachineType } from '../cloud/index.js';
import { Priority, type JobSpec } from '../jobs/index.js';
import { parseTaskKey, type JobId, type Millis } from '../kernel/index.js';
import type { Stoppable } from '../placement/index.js';
import type { ListedTask, MachineBelief } from '../workers/index.js';
import type { ActiveTask, JobRun } from './run.js';

/** What the tasks that are possibly on a machine take of it, kept until something there changes. */
export interface Booking {
  /** What it was worked out from; another value of any of them makes it out of date. */
  readonly generation: number;
  readonly type: MachineType;
  readonly at: Millis;
  readonly freeCpus: number;
  readonly freeGpus: number;
  readonly freeMemoryGb: number;
  /** False with tasks of unknown size: nothing may be put beside them. */
  readonly known: boolean;
  /** Images being fetched. */
  readonly fetching: number;
  /** What could be stopped to make room. */
  readonly running: readonly Stoppable[];
  /** What arrays take: they share it among themselves, and give it up to services. */
  readonly yieldCpus: number;
  readonly yieldMemoryGb: number;
  /** A machine with accelerators is idle while nothing uses them and only arrays fill its cpus. */
  readonly inUse: boolean;
}

/** Work that keeps a machine with accelerators from being given back; replicas are not stopped for that. */
export const usesAccelerators = (spec: JobSpec): boolean => spec.gpus > 0 || spec.kind === 'service';

/** What stopping a task now would lose, in seconds of its run. */
function lossOf(spec: JobSpec, active: ActiveTask | undefined, now: Millis): number {
  const ranS = active?.runningAt == null ? 0 : (now - active.runningAt) / 1000;
  return spec.checkpointS > 0 ? Math.min(ranS, spec.checkpointS / 2) : ranS;
}

/** Pure: the same belief and jobs give the same booking. */
export function bookingOf(
  belief: MachineBelief,
  type: MachineType,
  runOf: (id: JobId) => JobRun | undefined,
  now: Millis,
): Booking {
  let [cpus, gpus, memoryGb] = [type.cpus, type.gpus, type.memoryGb];
  let [yieldCpus, yieldMemoryGb] = [0, 0];
  let known = true;
  let inUse = type.gpus > 0 ? belief.pendingStarts.size > 0 : !belief.empty;
  const fetching = new Set<string>();
  const running: Stoppable[] = [];
  const take = (task: Pick<ListedTask, 'job' | 'index'> | null, listed: boolean, fetches: boolean): void => {
    const run = task ? runOf(task.job) : undefined;
    if (!task || !run) {
      known = false;
      inUse = true;
      return;
    }
    const { spec } = run;
    cpus -= spec.cpus;
    gpus -= spec.gpus;
    memoryGb -= spec.memoryGb;
    if (!listed) return;
    if (usesAccelerators(spec)) inUse = true;
    if (fetches) fetching.add(spec.image);
    if (spec.kind !== 'array' && !run.ended) return;
    const active = run.active.get(task.index);
    const stoppable = {
      job: run.id,
      index: task.index,
      priority: spec.priority,
      cpus: spec.cpus,
      gpus: spec.gpus,
      memoryGb: spec.memoryGb,
      lossS: lossOf(spec, active, now),
      stopping: run.ended || active?.stopping != null,
    };
    running.push(stoppable);
    if (spec.priority < Priority.production) {
      yieldCpus += spec.cpus;
      yieldMemoryGb += spec.memoryGb;
    }
  };
  for (const listed of belief.tasks.values()) {
    if (listed.state !== 'exited') take(listed, true, listed.state === 'fetching');
  }
  for (const key of belief.pendingStarts.keys()) {
    const listed = belief.tasks.get(key);
    if (!listed || listed.state === 'exited') take(parseTaskKey(key), false, false);
  }
  return {
    generation: belief.generation,
    type,
    at: now,
    freeCpus: known ? cpus : 0,
    freeGpus: known ? gpus : 0,
    freeMemoryGb: known ? memoryGb : 0,
    known,
    fetching: fetching.size,
    running,
    yieldCpus,
    yieldMemoryGb,
    inUse,
  };
}
