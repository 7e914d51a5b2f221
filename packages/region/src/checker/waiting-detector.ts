import type { SimulatedJob, Machine, Submission } from '../models/index.js';

/** A machine that is up, with the resources that no task on it uses. */
export interface FreeCapacity {
  readonly machine: Machine;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Tolerance for sums of fractional resources. */
const EPSILON = 1e-6;
/** A job may wait this long while free capacity for it exists all the time. */
const MAX_WAIT_MS = 90_000;

/**
 * Number of tasks of a job that fit into the free capacity now. For a job whose tasks must share a zone, it counts the
 * zone that takes most of them.
 */
export function tasksThatFit(spec: Submission, capacities: readonly FreeCapacity[]): number {
  const slotsByZone = new Map<string, number>();
  for (const { machine, cpus, gpus, memoryGb } of capacities) {
    const { type, zone, spot } = machine;
    if ((spec.hulls && !spec.hulls.includes(type.name)) || (spec.berth !== null && spec.berth !== zone)) continue;
    if (spot && !spec.flotsam) continue;
    const fits = (need: number, free: number): number => (need <= 0 ? Infinity : Math.floor((free + EPSILON) / need));
    const slots = Math.min(
      fits(spec.vcpus, cpus),
      fits(spec.accelerators, gpus),
      fits(spec.ram_gb, memoryGb),
      spec.pieces,
    );
    if (slots > 0) slotsByZone.set(zone, (slotsByZone.get(zone) ?? 0) + slots);
  }
  const counts = [...slotsByZone.values()];
  if (spec.same_place) return Math.max(0, ...counts);
  const maxPerZone = Math.ceil(spec.pieces / 2);
  return counts.reduce((sum, count) => sum + (spec.scatter ? Math.min(count, maxPerZone) : count), 0);
}

/** Detects jobs that wait longer than `MAX_WAIT_MS` although they fit all the time. Updated every few seconds. */
export class WaitingDetector {
  private readonly fitsSinceMs = new Map<string, number>();

  constructor(private readonly onLeftWaiting: (job: SimulatedJob) => void) {}

  /** Compares jobs that are ready to run and of which no task runs (`waiting`) with the free capacity. */
  update(
    nowMs: number,
    waiting: readonly SimulatedJob[],
    capacities: readonly FreeCapacity[],
    fitsTeamLimit: (spec: Submission) => boolean,
  ): void {
    const fitting = new Set<string>();
    for (const job of waiting) {
      const { spec } = job;
      const taskCount = spec.shape === 'ensemble' ? spec.pieces : 1;
      if (!fitsTeamLimit(spec) || tasksThatFit(spec, capacities) < taskCount) continue;
      fitting.add(spec.ref);
      const sinceMs = this.fitsSinceMs.get(spec.ref);
      if (sinceMs === undefined) this.fitsSinceMs.set(spec.ref, nowMs);
      else if (nowMs - sinceMs >= MAX_WAIT_MS) {
        this.onLeftWaiting(job);
        this.fitsSinceMs.set(spec.ref, Infinity);
      }
    }
    for (const ref of this.fitsSinceMs.keys()) if (!fitting.has(ref)) this.fitsSinceMs.delete(ref);
  }
}
