import type { JobId, MachineId } from '../kernel/index.js';
import { Priority, type JobSpec } from '../jobs/index.js';

/** Sums of decimal amounts are compared with a little slack. */
export const EPSILON = 1e-6;

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
  /** New tasks may be put here. */
  readonly usable: boolean;
  readonly images: readonly string[];
  readonly fetchGbPerS: number;
  /** Images being fetched now. */
  readonly fetching: number;
  /** Price of a cpu, to fill cheap machines first. */
  readonly cpuPrice: number;
  /** 0: healthy; more: tasks there have failed or run slowly. */
  readonly suspicion: number;
  /** What could be stopped to make room. */
  readonly running: readonly Stoppable[];
}

export interface Stoppable {
  readonly job: JobId;
  readonly index: number;
  readonly priority: Priority;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Work that is lost when it is stopped, in seconds. */
  readonly lossS: number;
  readonly stopping: boolean;
}

export interface PendingJob {
  readonly spec: JobSpec;
  /** Task numbers that may start now, lowest first; a gang lists all of its tasks or none. */
  readonly ready: readonly number[];
  /** Tasks possibly there now, by zone. */
  readonly zoneUse: ReadonlyMap<string, number>;
  readonly machineUse: ReadonlyMap<MachineId, number>;
  /** Machines that this job keeps away from. */
  readonly avoid: ReadonlySet<MachineId>;
  /** Seconds until it misses its next aim. */
  readonly slackS: number;
  /** Seconds until it misses the last of them; below zero it can't be in time any more. */
  readonly lastSlackS: number;
  /** Somebody has named a time for it: a deadline, or an aim of its class. */
  readonly aimed: boolean;
  /** It has failed wherever it was tried: last of all, and nothing gives way to it. */
  readonly suspect: boolean;
  /** Seconds since it could have begun, while no task of it has; 0 once one has. */
  readonly waitedS?: number;
  /** Work that is left, in cpu-seconds. */
  readonly workS: number;
}

export interface TeamUse {
  cpus: number;
  gpus: number;
  readonly cpusMax: number;
  readonly gpusMax: number;
  /**
   * What is left of the team's whole limit, when only a share of it may be used here: what lacks nothing but a share is
   * told apart from what lacks room. undefined: the limit above is all there is.
   */
  readonly wholeLeft?: { readonly cpus: number; readonly gpus: number };
}

export interface PlanInput {
  readonly machines: readonly MachineView[];
  readonly pending: readonly PendingJob[];
  /** Only teams that have a limit. */
  readonly teams: ReadonlyMap<string, TeamUse>;
  readonly maxStarts: number;
  /** What the largest known task with accelerators takes beside them; null: none is known. */
  readonly reserve: Reserve | null;
}

export interface Reserve {
  readonly cpus: number;
  readonly memoryGb: number;
}

export interface PlannedStart {
  readonly job: JobId;
  readonly index: number;
  readonly machine: MachineId;
}

export interface PlannedStop {
  readonly job: JobId;
  readonly index: number;
  readonly machine: MachineId;
  readonly forJob: JobId;
  /** Without time to save: a service waits for the room. */
  readonly atOnce: boolean;
}

export interface Unplaced {
  readonly job: JobId;
  readonly count: number;
}

export interface Plan {
  readonly starts: readonly PlannedStart[];
  readonly stops: readonly PlannedStop[];
  /** What found no room: the leader leases and rents for it. */
  readonly unplaced: readonly Unplaced[];
  /** What has room and waits only for a larger share of its team's limit. */
  readonly shareBound: readonly Unplaced[];
}

export interface Room {
  readonly view: MachineView;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Room that is on its way because tasks there are being stopped. */
  coming: { cpus: number; gpus: number; memoryGb: number };
  /** Images that what is planned here will fetch. */
  fetching: string[];
}
