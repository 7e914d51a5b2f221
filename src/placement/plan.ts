import type { JobId, MachineId } from '../kernel/index.js';
import { Priority, zoneLimit, type JobSpec } from '../jobs/index.js';

/** Sums of decimal amounts are compared with a little slack. */
const EPSILON = 1e-6;

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
  /** Work that is left, in cpu-seconds. */
  readonly workS: number;
}

export interface TeamUse {
  cpus: number;
  gpus: number;
  readonly cpusMax: number;
  readonly gpusMax: number;
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
}

interface Room {
  readonly view: MachineView;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Room that is on its way because tasks there are being stopped. */
  coming: { cpus: number; gpus: number; memoryGb: number };
  /** Images that what is planned here will fetch. */
  fetching: string[];
}

/** Closer than this to its last aim, a job goes by its time, whatever its size. */
const URGENT_S = 40;

/**
 * Under too much load, earliest-due-first makes everything late. So jobs with a deadline go by
 * slack, all others by the work that is left: short jobs are through before long ones notice.
 * A long job's turn comes shortly before its last aim; then comes what is late for every aim, and last
 * what nobody has named a time for.
 */
function rank(job: PendingJob): number {
  if (!job.aimed) return 2e9 + job.workS;
  if (job.lastSlackS < 0) return 1e9 + job.workS;
  if (job.spec.deadlineS !== null) return job.slackS;
  return job.lastSlackS < URGENT_S ? job.lastSlackS - URGENT_S : job.workS / 16;
}

/** Services first, then by priority, then what can still be in time. */
export function pendingOrder(a: PendingJob, b: PendingJob): number {
  if (a.suspect !== b.suspect) return a.suspect ? 1 : -1;
  const service = Number(b.spec.kind === 'service') - Number(a.spec.kind === 'service');
  if (service !== 0) return service;
  if (a.spec.priority !== b.spec.priority) return b.spec.priority - a.spec.priority;
  const byRank = rank(a) - rank(b);
  if (byRank !== 0) return byRank;
  return a.spec.id < b.spec.id ? -1 : 1;
}

/** Whether the machine's kind is allowed; what the rules call the wrong place is decided here. */
export function allowedKind(spec: JobSpec, m: Pick<MachineView, 'type' | 'zone' | 'spot'>): boolean {
  if (spec.types !== null && !spec.types.includes(m.type)) return false;
  if (spec.zone !== null && spec.zone !== m.zone) return false;
  return !m.spot || spec.spot;
}

export function allowedZone(spec: JobSpec, zone: string, use: ReadonlyMap<string, number>): boolean {
  if (spec.oneZone) for (const [other, count] of use) if (count > 0 && other !== zone) return false;
  return !spec.spread || (use.get(zone) ?? 0) < zoneLimit(spec);
}

function fits(spec: JobSpec, room: Room): boolean {
  if (spec.cpus > room.cpus + EPSILON) return false;
  if (spec.gpus > room.gpus + EPSILON) return false;
  if (spec.memoryGb > room.memoryGb + EPSILON) return false;
  return true;
}

/** Does the task leave a machine with free accelerators enough for a task that needs them? */
export function leavesReserve(
  spec: JobSpec,
  room: { readonly cpus: number; readonly gpus: number; readonly memoryGb: number },
  reserve: Reserve | null,
): boolean {
  if (spec.gpus > 0 || room.gpus < EPSILON) return true;
  if (!reserve) return false;
  return room.cpus - spec.cpus + EPSILON >= reserve.cpus && room.memoryGb - spec.memoryGb + EPSILON >= reserve.memoryGb;
}

/**
 * Free accelerators keep their machine's cpus: other work takes what a job with accelerators
 * leaves. Work that gives way and loses little may take more: of low priority, with checkpoints.
 */
export const mayBorrow = (spec: JobSpec): boolean =>
  spec.gpus <= 0 && spec.kind === 'array' && spec.priority === Priority.low && spec.checkpointS > 0;

function book(spec: JobSpec, room: Room): void {
  room.cpus -= spec.cpus;
  room.gpus -= spec.gpus;
  room.memoryGb -= spec.memoryGb;
  if (!room.view.images.includes(spec.image) && !room.fetching.includes(spec.image)) room.fetching.push(spec.image);
}

/** Lower is better. */
function score(spec: JobSpec, room: Room, sameJobHere: number): number {
  const m = room.view;
  let s = 0;
  s += m.suspicion * 60;
  if (!m.images.includes(spec.image) && !room.fetching.includes(spec.image)) {
    s += (spec.imageGb / m.fetchGbPerS) * (1 + m.fetching + room.fetching.length);
  }
  const leftover = (room.cpus - spec.cpus) / Math.max(1, m.cpus);
  if (spec.kind === 'service') {
    s += sameJobHere * 4;
    s += leftover * 0.5;
  } else {
    s += leftover * 2;
    if (spec.spot && !m.spot) s += 1.5;
  }
  s += m.cpuPrice * 5;
  if (spec.gpus <= 0 && room.gpus > EPSILON) s += 20;
  return s;
}

/** Jobs of one kind find the same rooms, but for those that one of them avoids. */
const kindOf = (spec: JobSpec): string =>
  `${spec.types?.join(',') ?? ''}|${spec.zone ?? ''}|${spec.spot ? 1 : 0}|${spec.cpus}|${spec.gpus}|${spec.memoryGb}|` +
  `${spec.kind}|${spec.priority}|${mayBorrow(spec) ? 1 : 0}`;

/**
 * Which machines a plan for these jobs needs to see: most of a full block has nothing to offer.
 * An array takes what is free; the others may have something stopped, so every allowed machine counts.
 */
export function relevance(
  specs: readonly JobSpec[],
): (
  m: Pick<MachineView, 'type' | 'zone' | 'spot'>,
  free: Pick<MachineView, 'freeCpus' | 'freeGpus' | 'freeMemoryGb'>,
) => boolean {
  const kinds = [...new Map(specs.map((spec) => [kindOf(spec), spec])).values()];
  const allowed = new Map<string, JobSpec[]>();
  return (m, free) => {
    const key = `${m.type}|${m.zone}|${m.spot}`;
    let here = allowed.get(key);
    if (!here) allowed.set(key, (here = kinds.filter((spec) => allowedKind(spec, m))));
    return here.some(
      (spec) =>
        spec.kind !== 'array' ||
        spec.priority >= Priority.high ||
        (spec.cpus <= free.freeCpus + EPSILON &&
          spec.gpus <= free.freeGpus + EPSILON &&
          spec.memoryGb <= free.freeMemoryGb + EPSILON),
    );
  };
}

/** The best of many rooms again and again, while only the room that was taken last has changed. */
class Choice {
  private readonly scores: Float64Array;

  constructor(
    private readonly rooms: readonly Room[],
    private readonly scoreOf: (room: Room) => number,
  ) {
    this.scores = Float64Array.from(rooms, scoreOf);
  }

  best(): Room | undefined {
    let at = -1;
    let lowest = Infinity;
    for (let i = 0; i < this.scores.length; i++) {
      const s = this.scores[i] ?? Infinity;
      if (s < lowest) {
        lowest = s;
        at = i;
      }
    }
    return this.rooms[at];
  }

  /** Rooms that the one just taken can have changed are looked at again. */
  taken(room: Room, alsoWhere: (room: Room) => boolean): void {
    for (const [i, other] of this.rooms.entries()) {
      if (other === room || alsoWhere(other)) this.scores[i] = this.scoreOf(other);
    }
  }
}

/** This close to its next aim, a gang without room collects what comes free. */
const COLLECT_S = 40;

/** Smaller gangs come and go while a large one never finds enough at once: it must be able to collect. */
const collects = (job: PendingJob): boolean =>
  !job.suspect && job.spec.kind === 'gang' && job.slackS < COLLECT_S && job.slackS >= 0 && !job.spec.spread;

/** Rooms that a collecting gang could use now, no more than it needs: nothing else of its sort takes them. */
function collect(job: PendingJob, candidates: readonly Room[], collected: Set<Room>): void {
  const free = candidates.filter((room) => fits(job.spec, room));
  const inZone = new Map<string, number>();
  for (const { view } of free) inZone.set(view.zone, (inZone.get(view.zone) ?? 0) + 1);
  const most = [...inZone].sort((a, b) => b[1] - a[1] || (a[0] < b[0] ? -1 : 1))[0]?.[0];
  const here = job.spec.oneZone ? free.filter(({ view }) => view.zone === most) : free;
  for (const room of here.slice(0, job.ready.length)) collected.add(room);
}

const NOWHERE_ELSE = (): boolean => false;

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
  const stopped = new Set<string>();
  const left: Left[] = [];

  const withinLimit = (spec: JobSpec, count: number): boolean => {
    const team = teams.get(spec.team);
    if (!team) return true;
    if (team.cpusMax > 0 && team.cpus + spec.cpus * count > team.cpusMax + EPSILON) return false;
    return !(team.gpusMax > 0 && team.gpus + spec.gpus * count > team.gpusMax + EPSILON);
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
      if (withinLimit(spec, spec.kind === 'gang' ? job.ready.length : 1)) {
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
      if (!withinLimit(spec, job.ready.length)) continue;
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
      if (!withinLimit(spec, 1)) break;
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
  starts.push(...beside);
  const found = new Map<JobId, number>();
  for (const start of beside) found.set(start.job, (found.get(start.job) ?? 0) + 1);
  const lacking = unplaced
    .map(({ job, count }) => ({ job, count: count - (found.get(job) ?? 0) }))
    .filter(({ count }) => count > 0);
  return { starts, stops, unplaced: lacking };
}

/** Replicas that have waited too long already, without need for accelerators. */
const lateReplicas = (job: PendingJob): boolean =>
  job.spec.kind === 'service' && job.spec.gpus <= 0 && job.slackS < 0 && !job.suspect && !job.spec.spread;

interface Left {
  readonly job: PendingJob;
  readonly indices: readonly number[];
}

/**
 * When a block's plain machines are full of replicas, those that wait go beside gangs, on what these leave:
 * a replica keeps a dear machine rented, but it doesn't wait for minutes.
 */
function besideGangs(
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
function placeGang(job: PendingJob, candidates: readonly Room[]): { index: number; room: Room }[] | null {
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
function preempt(
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
function victimsFor(spec: JobSpec, room: Room, stopped: ReadonlySet<string>): Stoppable[] | null {
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

function evict(
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
function preemptForGang(
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
