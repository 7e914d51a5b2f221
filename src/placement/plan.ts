import type { JobId } from '../kernel/index.js';
import type { JobSpec } from '../jobs/index.js';
import {
  pendingOrder,
  allowedKind,
  allowedZone,
  slotsIn,
  fits,
  leavesReserve,
  mayBorrow,
  book,
  score,
  kindOf,
  Choice,
  collects,
  collect,
  NOWHERE_ELSE,
} from './fit.js';
import {
  EPSILON,
  type PlanInput,
  type PlannedStart,
  type PlannedStop,
  type Unplaced,
  type Plan,
  type Room,
} from './model.js';
import { firstTasks } from './begin.js';
import { lateReplicas, type Left, besideGangs, placeGang, preempt, preemptForGang } from './preempt.js';

export function planPlacement(input: PlanInput): Plan {
  const rooms: Room[] = input.machines
    .filter((m) => m.usable)
    .map((view) => {
      const coming = { cpus: 0, gpus: 0, memoryGb: 0 };
      for (const task of view.running) {
        if (!task.stopping) continue;
        coming.cpus += task.cpus;
        coming.gpus += task.gpus;
        coming.memoryGb += task.memoryGb;
      }
      return {
        view,
        cpus: view.freeCpus,
        gpus: view.freeGpus,
        memoryGb: view.freeMemoryGb,
        coming,
        fetching: [],
      };
    });
  const teams = new Map([...input.teams].map(([name, use]) => [name, { ...use }]));
  const starts: PlannedStart[] = [];
  const stops: PlannedStop[] = [];
  const unplaced: Unplaced[] = [];
  const shareBound: Unplaced[] = [];
  const stopped = new Set<string>();
  const left: Left[] = [];

  const withinLimit = (spec: JobSpec, count: number): boolean => {
    const team = teams.get(spec.team);
    if (!team) return true;
    if (team.cpusMax > 0 && team.cpus + spec.cpus * count > team.cpusMax + EPSILON) return false;
    return !(team.gpusMax > 0 && team.gpus + spec.gpus * count > team.gpusMax + EPSILON);
  };
  /** Only a share of its team's limit may be used here. */
  const isShared = (spec: JobSpec): boolean => teams.get(spec.team)?.wholeLeft !== undefined;
  /** Could it be started with a larger share? */
  const withinWhole = (spec: JobSpec, count: number): boolean => {
    const left = teams.get(spec.team)?.wholeLeft;
    if (!left) return withinLimit(spec, count);
    return spec.cpus * count <= left.cpus + EPSILON && spec.gpus * count <= left.gpus + EPSILON;
  };
  const charge = (spec: JobSpec): void => {
    const team = teams.get(spec.team);
    if (!team) return;
    team.cpus += spec.cpus;
    team.gpus += spec.gpus;
  };

  // Room only shrinks while a plan is made: where one job of a kind found none, no other will.
  const exhausted = new Set<string>();
  /** Kinds for which nothing could be stopped either, and the smallest such gang. */
  const hopeless = new Set<string>();
  const hopelessGang = new Map<string, number>();
  /** What waits here for the rest of a gang. Work that gives way may use it meanwhile. */
  const collected = new Set<Room>();
  for (const job of [...input.pending].sort(pendingOrder)) {
    const { spec } = job;
    const kind = kindOf(spec);
    const nowhere =
      spec.kind === 'gang' ? job.ready.length >= (hopelessGang.get(kind) ?? Infinity) : hopeless.has(kind);
    if (nowhere) {
      if (withinWhole(spec, spec.kind === 'gang' ? job.ready.length : 1)) {
        unplaced.push({ job: spec.id, count: job.ready.length });
        if (lateReplicas(job)) left.push({ job, indices: job.ready });
      }
      continue;
    }
    const mayUse = (room: Room): boolean =>
      collected.size === 0 || !collected.has(room) || (spec.kind === 'array' && spec.gpus <= 0);
    const candidates = rooms.filter(
      (room) => allowedKind(spec, room.view) && !job.avoid.has(room.view.id) && mayUse(room),
    );
    if (spec.kind === 'gang') {
      if (!withinLimit(spec, job.ready.length)) {
        if (!isShared(spec)) continue;
        const waits = { job: spec.id, count: job.ready.length };
        if (placeGang(job, candidates)) shareBound.push(waits);
        else if (withinWhole(spec, job.ready.length)) unplaced.push(waits);
        continue;
      }
      const placed = placeGang(job, candidates);
      if (placed && starts.length + placed.length <= input.maxStarts) {
        for (const { index, room } of placed) {
          book(spec, room);
          charge(spec);
          starts.push({ job: spec.id, index, machine: room.view.id });
        }
      } else if (job.suspect || !preemptForGang(job, candidates, stopped, stops)) {
        unplaced.push({ job: spec.id, count: job.ready.length });
        if (collects(job)) collect(job, candidates, collected);
        if (!placed && job.avoid.size === 0 && !spec.spread)
          hopelessGang.set(kind, Math.min(job.ready.length, hopelessGang.get(kind) ?? Infinity));
      }
      continue;
    }
    // A replica would keep a dear machine from being given back for as long as it runs.
    const plainService = spec.kind === 'service' && spec.gpus <= 0 && candidates.some((c) => c.view.gpus <= 0);
    const zoneUse = new Map(job.zoneUse);
    const machineUse = new Map(job.machineUse);
    let missing = 0;
    const free = exhausted.has(kind) ? [] : candidates;
    const choice = new Choice(free, (room) => {
      if (!fits(spec, room) || !allowedZone(spec, room.view.zone, zoneUse)) return Infinity;
      if (plainService && room.view.gpus > 0) return Infinity;
      const leaves = leavesReserve(spec, room, input.reserve);
      if (!leaves && !mayBorrow(spec)) return Infinity;
      return score(spec, room, machineUse.get(room.view.id) ?? 0) + (leaves ? 0 : 40);
    });
    for (const [position, index] of job.ready.entries()) {
      if (starts.length >= input.maxStarts) break;
      if (!withinLimit(spec, 1)) {
        if (!isShared(spec)) break;
        const rest = job.ready.length - position;
        // A service is made room for, once it may be started.
        const slots = spec.kind === 'service' ? rest : slotsIn(free, spec);
        if (slots > 0) shareBound.push({ job: spec.id, count: Math.min(rest, slots) });
        else if (withinWhole(spec, 1)) unplaced.push({ job: spec.id, count: rest });
        break;
      }
      const best = choice.best();
      if (!best) {
        missing = job.ready.length - position;
        if (job.avoid.size === 0 && !spec.spread && !spec.oneZone) exhausted.add(kind);
        break;
      }
      const { zone, id } = best.view;
      book(spec, best);
      charge(spec);
      zoneUse.set(zone, (zoneUse.get(zone) ?? 0) + 1);
      machineUse.set(id, (machineUse.get(id) ?? 0) + 1);
      // With a limit for each zone, or one zone for all, other rooms may be allowed no more.
      choice.taken(best, spec.spread || spec.oneZone ? (): boolean => true : NOWHERE_ELSE);
      starts.push({ job: spec.id, index, machine: id });
    }
    if (missing > 0) {
      // Seen as reminders stopped beside gangs, again and again, for replicas that may not go there.
      const plain = plainService ? candidates.filter((c) => c.view.gpus <= 0) : candidates;
      const waiting = preempt(job, missing, plain, zoneUse, stopped, stops);
      if (plainService && missing > waiting && lateReplicas(job))
        left.push({ job, indices: job.ready.slice(job.ready.length - (missing - waiting)) });
      if (waiting === 0 && exhausted.has(kind)) hopeless.add(kind);
      if (missing - waiting > 0) unplaced.push({ job: spec.id, count: missing - waiting });
    }
  }
  const beside = besideGangs(left, rooms, input, withinLimit, charge);
  const begun = new Set(starts.map(({ job }) => job));
  const most = input.maxStarts - starts.length - beside.length;
  beside.push(...firstTasks(input, rooms, begun, withinLimit, charge, most));
  starts.push(...beside);
  const found = new Map<JobId, number>();
  for (const start of beside) found.set(start.job, (found.get(start.job) ?? 0) + 1);
  const lacking = unplaced
    .map(({ job, count }) => ({ job, count: count - (found.get(job) ?? 0) }))
    .filter(({ count }) => count > 0);
  return { starts, stops, unplaced: lacking, shareBound };
}
