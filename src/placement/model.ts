/** Input and result of a placement plan. */

import type { JobId, MachineId } from '../kernel/index.js';
import { Priority, type JobSpec } from '../jobs/index.js';

/** Tolerance for rounding errors when sums of decimal amounts are compared. */
export const EPSILON = 1e-6;

/** A machine as the planner sees it. */
export interface MachineView {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly freeCpus: number;
  readonly freeGpus: number;
  readonly freeMemoryGb: number;
  /** Whether new tasks may be placed here. */
  readonly usable: boolean;
  readonly images: readonly string[];
  readonly fetchGbPerS: number;
  /** Number of images being fetched now. */
  readonly fetching: number;
  /** Price per CPU: cheap machines are filled first. */
  readonly cpuPrice: number;
  /** 0: healthy; higher: tasks there have failed or run slowly. */
  readonly suspicion: number;
  /** Number of tasks or gangs that may be started here now; finite while the machine is on probation. */
  readonly startLimit: number;
  /** Tasks that could be preempted. */
  readonly running: readonly PreemptableTask[];
}

/** A running task that can be preempted. */
export interface PreemptableTask {
  readonly job: JobId;
  readonly index: number;
  readonly priority: Priority;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Seconds of work that are lost when it is stopped. */
  readonly lossS: number;
  /** Whether it is being stopped already. */
  readonly stopping: boolean;
}

/** Ascending indices of tasks of a job. */
export type TaskIndices = readonly number[] | Uint32Array;

/** The numbers from 0, as many as the largest job so far needed. */
let ascending = new Uint32Array(0);

/** The `count` lowest task indices. All results share one buffer, which must not be written to. */
export function lowestIndices(count: number): TaskIndices {
  if (ascending.length < count) ascending = Uint32Array.from({ length: count }, (_, index) => index);
  return ascending.subarray(0, count);
}

/** A job with tasks that are ready to start. */
export interface PendingJob {
  readonly spec: JobSpec;
  /** Indices of the tasks that may start now, lowest first; a gang lists all of its tasks or none. */
  readonly ready: TaskIndices;
  /** Number of the job's tasks that may be running, by zone. */
  readonly zoneUse: ReadonlyMap<string, number>;
  /** The same by machine. */
  readonly machineUse: ReadonlyMap<MachineId, number>;
  /** Machines that this job must not be placed on. */
  readonly avoid: ReadonlySet<MachineId>;
  /** Seconds until it misses its next objective. */
  readonly slackS: number;
  /** Seconds until it misses the last of its objectives; below zero all are missed. */
  readonly lastSlackS: number;
  /** Whether it has a deadline or its class has an objective. */
  readonly aimed: boolean;
  /** Whether it has failed on every machine it ran on: it is placed last and preempts nothing. */
  readonly suspect: boolean;
  /** Seconds for which ready tasks of it have found no room. */
  readonly unplacedS?: number;
  /** Seconds since it became ready, while none of its tasks has started; 0 once one has. */
  readonly waitedS?: number;
  /** Remaining work in CPU-seconds. */
  readonly workS: number;
}

/** Use and limit of a team; a limit of 0 means none. */
export interface TeamUse {
  /** Resources that the team uses. */
  cpus: number;
  gpus: number;
  readonly cpusMax: number;
  readonly gpusMax: number;
  /**
   * What is left of the team's whole limit while only a share of it may be used here. It tells tasks that lack only a
   * larger share from tasks that lack room on machines. undefined: the limit above is the whole limit.
   */
  readonly wholeLeft?: { readonly cpus: number; readonly gpus: number };
}

/** What a plan is made from. */
export interface PlanInput {
  readonly machines: readonly MachineView[];
  readonly pending: readonly PendingJob[];
  /** Teams that have a limit. */
  readonly teams: ReadonlyMap<string, TeamUse>;
  readonly maxStarts: number;
  /** What the largest known GPU task needs besides GPUs; null if no GPU task is known. */
  readonly reserve: GpuReserve | null;
}

/** CPUs and memory to keep free on machines with free GPUs, so that GPU tasks still fit. */
export interface GpuReserve {
  readonly cpus: number;
  readonly memoryGb: number;
}

/** A task to start. */
export interface PlannedStart {
  readonly job: JobId;
  readonly index: number;
  readonly machine: MachineId;
}

/** A task to preempt. */
export interface PlannedStop {
  readonly job: JobId;
  readonly index: number;
  readonly machine: MachineId;
  /** The job that the task is preempted for. */
  readonly forJob: JobId;
  /** Whether it is stopped without time to save its state, because a service waits for the room. */
  readonly atOnce: boolean;
}

/** A number of tasks of a job that the plan doesn't start. */
export interface UnplacedTasks {
  readonly job: JobId;
  readonly count: number;
}

/** The starts and stops that a plan decides, and what it could not place. */
export interface Plan {
  readonly starts: readonly PlannedStart[];
  readonly stops: readonly PlannedStop[];
  /** Tasks without room: the leader leases and rents machines for them. */
  readonly unplaced: readonly UnplacedTasks[];
  /** Tasks that have room and wait only for a larger share of their team's limit. */
  readonly shareBound: readonly UnplacedTasks[];
}

/** A machine while a plan is being made. */
export interface PlanMachine {
  readonly view: MachineView;
  /** Free resources after the starts planned so far. */
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Resources that become free when the tasks that are being stopped there have ended. */
  releasing: { cpus: number; gpus: number; memoryGb: number };
  /** Number of tasks or gangs that may still be started here. */
  startsLeft: number;
  /** Images that the tasks planned here will fetch. */
  fetching: string[];
}
