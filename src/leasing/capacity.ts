/** What the leader plans with: machines, their free capacity, and the demand for it. */
import type { MachineType } from '../cloud/index.js';
import type { JobSpec } from '../jobs/index.js';
import type { JobId, MachineId, ShardName } from '../kernel/index.js';
import type { ShardSummary } from '../peers/index.js';
import type { UpcomingJob } from '../pipelines/index.js';
import { allowsMachine, mayUseReserve } from '../placement/index.js';

/** Tolerance for rounding errors in sums of amounts. */
export const EPSILON = 1e-6;

/** A machine that is rented but not assigned to a shard: it is in no block yet. */
export interface UnassignedMachine {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Its worker has reported recently. */
  readonly up: boolean;
  /** Seconds since it was rented. */
  readonly ageS: number;
}

/** What a plan is computed from: one snapshot of the fleet and its demand. */
export interface AssignmentInput {
  readonly shards: readonly ShardSummary[];
  /** Machines that are rented but in no block. */
  readonly unassigned: readonly UnassignedMachine[];
  readonly types: ReadonlyMap<string, MachineType>;
  /** Returns a job's specification, or null if the job is unknown. */
  readonly specOf: (id: JobId) => JobSpec | null;
  /** Kinds of machine that the cloud recently could not supply, as `type/zone/spot` or `type/zone/on-demand`. */
  readonly refused: ReadonlySet<string>;
  /** Service jobs for which free capacity is kept at any time. They are placed in this order. */
  readonly headroom: readonly JobSpec[];
  /**
   * Jobs that will be ready soon. No machine is assigned for them yet, but the machines they will lack are rented in time.
   */
  readonly upcoming?: readonly UpcomingJob[];
  /** Seconds that a machine is idle before it is returned to the cloud. */
  readonly idleReturnS: number;
  /** Share of the time left to their objectives within which arrays are planned to finish. */
  readonly backlogTimeShare: number;
  /** Returns the seconds since a machine in a block was rented. */
  readonly machineAgeS: (id: MachineId) => number;
}

/** A number of machines of one kind to rent. */
export interface PlannedRent {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** Tasks of one job that need a machine. */
export interface JobDemand {
  readonly spec: JobSpec;
  /** Shard that holds the job; null if none does yet. */
  readonly shard: ShardName | null;
  /** Number of tasks that still lack a slot; lowered as capacity is allocated. */
  unplacedTasks: number;
  /** Estimated run time of one task, in seconds. */
  readonly runS: number;
  /** Seconds until the job has to start to meet its objective; negative if it is late. */
  readonly slackS: number;
  /** Seconds until the job can start at the earliest. */
  readonly readyInS?: number;
}

/** Free resources of one machine. */
export interface FreeCapacity {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Returns the key of a kind of machine, which consists of its type, its zone and whether it is a spot machine. */
export const machineKindKey = (type: string, zone: string, spot: boolean): string =>
  `${type}/${zone}/${spot ? 'spot' : 'on-demand'}`;

/** Returns how many tasks of a job fit; 1 for a job that requires no resources. */
export function slotsThatFit(spec: JobSpec, s: Pick<FreeCapacity, 'cpus' | 'gpus' | 'memoryGb'>): number {
  const by = (need: number, free: number): number => (need <= 0 ? Infinity : Math.floor((free + EPSILON) / need));
  const slots = Math.min(by(spec.cpus, s.cpus), by(spec.gpus, s.gpus), by(spec.memoryGb, s.memoryGb));
  return Number.isFinite(slots) ? Math.max(0, slots) : 1;
}

/** Allocates free capacity to as many tasks as fit and returns their number. */
export function allocateSlots(demand: JobDemand, s: FreeCapacity): number {
  if (!allowsMachine(demand.spec, { type: s.type.name, zone: s.zone, spot: s.spot })) return 0;
  // Machines with free accelerators are reserved for jobs that need accelerators, or that may borrow their cpus.
  if (demand.spec.gpus <= 0 && s.gpus > EPSILON && !mayUseReserve(demand.spec)) return 0;
  const slots = Math.min(demand.unplacedTasks, slotsThatFit(demand.spec, s));
  s.cpus -= slots * demand.spec.cpus;
  s.gpus -= slots * demand.spec.gpus;
  s.memoryGb -= slots * demand.spec.memoryGb;
  demand.unplacedTasks -= slots;
  return slots;
}
