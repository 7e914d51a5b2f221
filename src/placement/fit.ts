import { Priority, zoneLimit, type JobSpec } from '../jobs/index.js';
import { EPSILON, type MachineView, type PendingJob, type Reserve, type Room } from './model.js';

/** Closer than this to its last aim, a job goes by its time, whatever its size. */
export const URGENT_S = 40;

/**
 * Nothing waits for ever behind what keeps coming: what has waited so long without a single task goes first in its
 * priority, and a gang collects what comes free. Seen as gangs of eight that waited 700 s: once its aims were
 * missed, such a gang collected no more.
 */
export const STARVED_S = 150;
const starved = (job: PendingJob): boolean => (job.waitedS ?? 0) >= STARVED_S;

/**
 * Under too much load, earliest-due-first makes everything late. So jobs with a deadline go by
 * slack, all others by the work that is left: short jobs are through before long ones notice.
 * A long job's turn comes shortly before its last aim; then comes what is late for every aim, and last
 * what nobody has named a time for.
 */
export function rank(job: PendingJob): number {
  if (starved(job)) return -1e9 - (job.waitedS ?? 0);
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

export function fits(spec: JobSpec, room: Room): boolean {
  if (spec.cpus > room.cpus + EPSILON) return false;
  if (spec.gpus > room.gpus + EPSILON) return false;
  if (spec.memoryGb > room.memoryGb + EPSILON) return false;
  return true;
}

/** How many of a job's tasks find room in these. */
export function slotsIn(rooms: readonly Room[], spec: JobSpec): number {
  const by = (need: number, there: number): number => (need <= 0 ? Infinity : Math.floor((there + EPSILON) / need));
  let slots = 0;
  for (const room of rooms) {
    const here = Math.min(by(spec.cpus, room.cpus), by(spec.gpus, room.gpus), by(spec.memoryGb, room.memoryGb));
    slots += Math.min(spec.tasks, Math.max(0, here));
  }
  return slots;
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

export function book(spec: JobSpec, room: Room): void {
  room.cpus -= spec.cpus;
  room.gpus -= spec.gpus;
  room.memoryGb -= spec.memoryGb;
  if (!room.view.images.includes(spec.image) && !room.fetching.includes(spec.image)) room.fetching.push(spec.image);
}

/** Lower is better. */
export function score(spec: JobSpec, room: Room, sameJobHere: number): number {
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
export const kindOf = (spec: JobSpec): string =>
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
export class Choice {
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
export const COLLECT_S = 40;

/** Smaller gangs come and go while a large one never finds enough at once: it must be able to collect. */
export const collects = (job: PendingJob): boolean =>
  !job.suspect &&
  job.spec.kind === 'gang' &&
  !job.spec.spread &&
  (starved(job) || (job.slackS < COLLECT_S && job.slackS >= 0));

/** Could these machines hold all of a gang, were they empty? Whatever they lack, collecting would only keep them idle. */
function couldHold({ spec, ready }: PendingJob, candidates: readonly Room[]): boolean {
  const slots = new Map<string, number>();
  const by = (need: number, there: number): number => (need <= 0 ? Infinity : Math.floor((there + EPSILON) / need));
  for (const { view: m } of candidates) {
    const here = Math.min(by(spec.cpus, m.cpus), by(spec.gpus, m.gpus), by(spec.memoryGb, m.memoryGb));
    const zone = spec.oneZone ? m.zone : '';
    slots.set(zone, (slots.get(zone) ?? 0) + here);
  }
  return [...slots.values()].some((count) => count >= ready.length);
}

/** Rooms that a collecting gang could use now, no more than it needs: nothing else of its sort takes them. */
export function collect(job: PendingJob, candidates: readonly Room[], collected: Set<Room>): void {
  if (starved(job) && !couldHold(job, candidates)) return;
  const free = candidates.filter((room) => fits(job.spec, room));
  const inZone = new Map<string, number>();
  for (const { view } of free) inZone.set(view.zone, (inZone.get(view.zone) ?? 0) + 1);
  const most = [...inZone].sort((a, b) => b[1] - a[1] || (a[0] < b[0] ? -1 : 1))[0]?.[0];
  const here = job.spec.oneZone ? free.filter(({ view }) => view.zone === most) : free;
  for (const room of here.slice(0, job.ready.length)) collected.add(room);
}

export const NOWHERE_ELSE = (): boolean => false;
