import { Priority, type JobSpec } from '../jobs/index.js';
import { allowedKind, allowedZone, fits, leavesReserve, book, score, Choice, NOWHERE_ELSE } from './fit.js';
import {
  EPSILON,
  type Stoppable,
  type PendingJob,
  type PlanInput,
  type PlannedStart,
  type PlannedStop,
  type Room,
} from './model.js';

/** Replicas that have waited too long already, without need for accelerators. */
export const lateReplicas = (job: PendingJob): boolean =>
  job.spec.kind === 'service' && job.spec.gpus <= 0 && job.slackS < 0 && !job.suspect && !job.spec.spread;

export interface Left {
  readonly job: PendingJob;
  readonly indices: readonly number[];
}

/**
 * When a block's plain machines are full of replicas, those that wait go beside gangs, on what these leave:
 * a replica keeps a dear machine rented, but it doesn't wait for minutes.
 */
export function besideGangs(
  left: readonly Left[],
  rooms: readonly Room[],
  input: PlanInput,
  withinLimit: (spec: JobSpec, count: number) => boolean,
  charge: (spec: JobSpec) => void,
): PlannedStart[] {
  const starts: PlannedStart[] = [];
  for (const { job, indices } of left) {
    const { spec } = job;
    const here = rooms.filter((c) => c.view.gpus > 0 && allowedKind(spec, c.view) && !job.avoid.has(c.view.id));
    const choice = new Choice(here, (room) =>
      fits(spec, room) && leavesReserve(spec, room, input.reserve) && allowedZone(spec, room.view.zone, job.zoneUse)
        ? score(spec, room, 0)
        : Infinity,
    );
    for (const index of indices) {
      const best = withinLimit(spec, 1) ? choice.best() : undefined;
      if (!best) break;
      book(spec, best);
      charge(spec);
      choice.taken(best, NOWHERE_ELSE);
      starts.push({ job: spec.id, index, machine: best.view.id });
    }
  }
  return starts;
}

/** Room for every task at once, or nothing. */
export function placeGang(job: PendingJob, candidates: readonly Room[]): { index: number; room: Room }[] | null {
  const { spec } = job;
  const zones = spec.oneZone ? [...new Set(candidates.map((c) => c.view.zone))].sort() : [null];
  for (const zone of zones) {
    const here = candidates.filter((c) => zone === null || c.view.zone === zone);
    if (here.length === 0) continue;
    // Booked on copies: the rooms themselves change only when all have found a place.
    const originals = new Map(here.map((room) => [{ ...room }, room]));
    const zoneUse = new Map(job.zoneUse);
    const placed: { index: number; room: Room }[] = [];
    const choice = new Choice([...originals.keys()], (room) =>
      fits(spec, room) && allowedZone(spec, room.view.zone, zoneUse) ? score(spec, room, 0) : Infinity,
    );
    for (const index of job.ready) {
      const best = choice.best();
      const room = best && originals.get(best);
      if (!best || !room) break;
      best.cpus -= spec.cpus;
      best.gpus -= spec.gpus;
      best.memoryGb -= spec.memoryGb;
      zoneUse.set(best.view.zone, (zoneUse.get(best.view.zone) ?? 0) + 1);
      choice.taken(best, spec.spread ? (): boolean => true : NOWHERE_ELSE);
      placed.push({ index, room });
    }
    if (placed.length === job.ready.length) return placed;
  }
  return null;
}

/**
 * Room for work of higher priority: tasks of lower priority are stopped, those that lose least
 * first. Returns how many of the missing tasks have room on its way.
 */
export function preempt(
  job: PendingJob,
  missing: number,
  candidates: readonly Room[],
  zoneUse: Map<string, number>,
  stopped: Set<string>,
  stops: PlannedStop[],
): number {
  const { spec } = job;
  // Arrays wait: measured, each stop costs more in saving and starting again than it wins.
  if (job.suspect || (spec.kind === 'array' && spec.priority < Priority.high)) return 0;
  let coming = 0;
  const rooms = [...candidates].sort((a, b) => b.coming.cpus + b.cpus - (a.coming.cpus + a.cpus));
  for (const room of rooms) {
    if (room.view.suspicion > 0 || spec.gpus > 0 || room.gpus > EPSILON) continue;
    while (coming < missing && allowedZone(spec, room.view.zone, zoneUse)) {
      const victims = victimsFor(spec, room, stopped);
      if (!victims) break;
      evict(victims, spec, room, stopped, stops, spec.kind === 'service');
      zoneUse.set(room.view.zone, (zoneUse.get(room.view.zone) ?? 0) + 1);
      coming += 1;
    }
    if (coming >= missing) break;
  }
  return coming;
}

/** The tasks of lower priority to stop so that one task fits, or null when that is not enough. */
export function victimsFor(spec: JobSpec, room: Room, stopped: ReadonlySet<string>): Stoppable[] | null {
  const victims: Stoppable[] = [];
  const sum = (of: (task: Stoppable) => number): number => victims.reduce((total, task) => total + of(task), 0);
  const has = (): boolean =>
    room.cpus + room.coming.cpus + sum((task) => task.cpus) + EPSILON >= spec.cpus &&
    room.gpus + room.coming.gpus + sum((task) => task.gpus) + EPSILON >= spec.gpus &&
    room.memoryGb + room.coming.memoryGb + sum((task) => task.memoryGb) + EPSILON >= spec.memoryGb;
  const order = room.view.running
    .filter((task) => task.priority < spec.priority && !task.stopping && !stopped.has(`${task.job}/${task.index}`))
    .sort((a, b) => a.priority - b.priority || a.lossS - b.lossS);
  for (const task of order) {
    if (has()) break;
    victims.push(task);
  }
  return has() ? victims : null;
}

export function evict(
  victims: readonly Stoppable[],
  spec: JobSpec,
  room: Room,
  stopped: Set<string>,
  stops: PlannedStop[],
  atOnce: boolean,
): void {
  for (const task of victims) {
    stopped.add(`${task.job}/${task.index}`);
    room.coming.cpus += task.cpus;
    room.coming.gpus += task.gpus;
    room.coming.memoryGb += task.memoryGb;
    stops.push({ job: task.job, index: task.index, machine: room.view.id, forJob: spec.id, atOnce });
  }
  // What is booked now is paid from the free part first, from the coming part for the rest.
  room.coming.cpus -= Math.max(0, spec.cpus - Math.max(0, room.cpus));
  room.cpus = Math.max(0, room.cpus - spec.cpus);
  room.coming.gpus -= Math.max(0, spec.gpus - Math.max(0, room.gpus));
  room.gpus = Math.max(0, room.gpus - spec.gpus);
  room.coming.memoryGb -= Math.max(0, spec.memoryGb - Math.max(0, room.memoryGb));
  room.memoryGb = Math.max(0, room.memoryGb - spec.memoryGb);
}

/** The same for a whole gang: room for all of its tasks is made, or nothing is stopped. */
export function preemptForGang(
  job: PendingJob,
  candidates: readonly Room[],
  stopped: Set<string>,
  stops: PlannedStop[],
): boolean {
  const { spec } = job;
  const zones = spec.oneZone ? [...new Set(candidates.map((c) => c.view.zone))].sort() : [null];
  for (const zone of zones) {
    const rooms = candidates.filter((c) => (zone === null || c.view.zone === zone) && c.view.suspicion === 0);
    const trial = rooms.map((room): Room => ({ ...room, coming: { ...room.coming } }));
    const trialStopped = new Set(stopped);
    const trialStops: PlannedStop[] = [];
    const zoneUse = new Map(job.zoneUse);
    let placed = 0;
    trial.sort((a, b) => b.cpus + b.coming.cpus - (a.cpus + a.coming.cpus));
    for (const room of trial) {
      while (placed < job.ready.length && allowedZone(spec, room.view.zone, zoneUse)) {
        const victims = victimsFor(spec, room, trialStopped);
        if (!victims) break;
        evict(victims, spec, room, trialStopped, trialStops, false);
        zoneUse.set(room.view.zone, (zoneUse.get(room.view.zone) ?? 0) + 1);
        placed += 1;
      }
    }
    if (placed < job.ready.length) continue;
    for (const room of rooms) {
      const after = trial.find((t) => t.view === room.view);
      if (!after) continue;
      Object.assign(room, { cpus: after.cpus, gpus: after.gpus, memoryGb: after.memoryGb, coming: after.coming });
    }
    for (const key of trialStopped) stopped.add(key);
    stops.push(...trialStops);
    return true;
  }
  return false;
}
