import type { JobTruth, Machine, Submission } from '../models/index.js';

/** A machine that is up, with what no task on it takes. */
export interface Room {
  readonly machine: Machine;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

const EPSILON = 1e-6;
const LEFT_MS = 90_000;

/** How many tasks of a job find room now, in the zone that takes most of them where all must be in one. */
export function roomFor(spec: Submission, rooms: readonly Room[]): number {
  const inZones = new Map<string, number>();
  for (const { machine, cpus, gpus, memoryGb } of rooms) {
    const { type, zone, spot } = machine;
    if ((spec.hulls && !spec.hulls.includes(type.name)) || (spec.berth !== null && spec.berth !== zone)) continue;
    if (spot && !spec.flotsam) continue;
    const by = (need: number, free: number): number => (need <= 0 ? Infinity : Math.floor((free + EPSILON) / need));
    const slots = Math.min(by(spec.vcpus, cpus), by(spec.accelerators, gpus), by(spec.ram_gb, memoryGb), spec.pieces);
    if (slots > 0) inZones.set(zone, (inZones.get(zone) ?? 0) + slots);
  }
  const counts = [...inZones.values()];
  if (spec.same_place) return Math.max(0, ...counts);
  const half = Math.ceil(spec.pieces / 2);
  return counts.reduce((sum, count) => sum + (spec.scatter ? Math.min(count, half) : count), 0);
}

/** Which jobs have waited for so long although room was there all the time. Told how things stand every few seconds. */
export class WaitingWatch {
  private readonly since = new Map<string, number>();

  constructor(private readonly left: (job: JobTruth) => void) {}

  /** `waiting`: jobs that could run and of which nothing does. */
  look(now: number, waiting: readonly JobTruth[], rooms: readonly Room[], under: (spec: Submission) => boolean): void {
    const seen = new Set<string>();
    for (const job of waiting) {
      const { spec } = job;
      const needs = spec.shape === 'ensemble' ? spec.pieces : 1;
      if (!under(spec) || roomFor(spec, rooms) < needs) continue;
      seen.add(spec.ref);
      const from = this.since.get(spec.ref);
      if (from === undefined) this.since.set(spec.ref, now);
      else if (now - from >= LEFT_MS) {
        this.left(job);
        this.since.set(spec.ref, Infinity);
      }
    }
    for (const ref of this.since.keys()) if (!seen.has(ref)) this.since.delete(ref);
  }
}
