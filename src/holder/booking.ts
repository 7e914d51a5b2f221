import type { MachineType } from '../cloud/index.js';
import { Priority, type JobSpec } from '../jobs/index.js';
import { parseTaskKey, type JobId, type Millis } from '../kernel/index.js';
import type { PreemptableTask } from '../placement/index.js';
import type { ListedTask, WorkerTracker } from '../workers/index.js';
import type { ActiveTask, JobRun } from './job-run.js';

/** Free and used resources of a machine, given the tasks that may be on it. Cached until these change. */
export interface Booking {
  /** `generation`, `type` and `at` are inputs. The booking is out of date once `generation` or `type` differ. */
  readonly generation: number;
  readonly type: MachineType;
  readonly at: Millis;
  readonly freeCpus: number;
  readonly freeGpus: number;
  readonly freeMemoryGb: number;
  /** False when a task of unknown size may be on the machine: nothing is placed beside it. */
  readonly known: boolean;
  /** Number of images being fetched. */
  readonly fetching: number;
  /** Tasks that can be preempted. */
  readonly running: readonly PreemptableTask[];
  /** Resources of array tasks below production priority: arrays share them, and yield them to services. */
  readonly yieldCpus: number;
  readonly yieldMemoryGb: number;
  /** False when idle. A machine with accelerators is idle while none is used and only arrays occupy its CPUs. */
  readonly inUse: boolean;
}

/**
 * Whether a job keeps a machine with accelerators from being returned. Services do: replicas are not stopped for it.
 */
export const keepsGpuMachineInUse = (spec: JobSpec): boolean => spec.gpus > 0 || spec.kind === 'service';

/** Run time that a stop would lose, in seconds: half a checkpoint interval on average for a task that checkpoints. */
function preemptionLossS(spec: JobSpec, active: ActiveTask | undefined, now: Millis): number {
  const ranS = active?.runningAt == null ? 0 : (now - active.runningAt) / 1000;
  return spec.checkpointS > 0 ? Math.min(ranS, spec.checkpointS / 2) : ranS;
}

/** Computes the booking of a machine from the tasks that may be on it. Pure: depends on the arguments alone. */
export function bookingOf(
  tracker: WorkerTracker,
  type: MachineType,
  runOf: (id: JobId) => JobRun | undefined,
  now: Millis,
): Booking {
  let [cpus, gpus, memoryGb] = [type.cpus, type.gpus, type.memoryGb];
  let [yieldCpus, yieldMemoryGb] = [0, 0];
  let known = true;
  let inUse = type.gpus > 0 ? tracker.pendingStarts.size > 0 : !tracker.empty;
  const fetching = new Set<string>();
  const running: PreemptableTask[] = [];
  const deduct = (task: Pick<ListedTask, 'job' | 'index'> | null, listed: boolean, isFetching: boolean): void => {
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
    if (keepsGpuMachineInUse(spec)) inUse = true;
    if (isFetching) fetching.add(spec.image);
    if (spec.kind !== 'array' && !run.ended) return;
    const active = run.active.get(task.index);
    const preemptable = {
      job: run.id,
      index: task.index,
      priority: spec.priority,
      cpus: spec.cpus,
      gpus: spec.gpus,
      memoryGb: spec.memoryGb,
      lossS: preemptionLossS(spec, active, now),
      stopping: run.ended || active?.stopping != null,
    };
    running.push(preemptable);
    if (spec.priority < Priority.production) {
      yieldCpus += spec.cpus;
      yieldMemoryGb += spec.memoryGb;
    }
  };
  for (const listed of tracker.tasks.values()) {
    if (listed.state !== 'exited') deduct(listed, true, listed.state === 'fetching');
  }
  for (const key of tracker.pendingStarts.keys()) {
    const listed = tracker.tasks.get(key);
    if (!listed || listed.state === 'exited') deduct(parseTaskKey(key), false, false);
  }
  return {
    generation: tracker.generation,
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
