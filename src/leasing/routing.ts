import type { MachineType } from '../cloud/index.js';
import type { JobSpec } from '../jobs/index.js';
import type { ShardName } from '../kernel/index.js';
import { allowedKind, mayBorrow } from '../placement/index.js';
import type { ShardSummary } from '../peers/index.js';

const EPSILON = 1e-6;
const FEW_TASKS = 2;

export interface ShardRoom {
  readonly shard: ShardName;
  /** Tasks that could start now. */
  readonly slots: number;
  /** How many of those would find the image in place. */
  readonly warm: number;
  /** Free cpus of machines that the job may use. */
  readonly freeCpus: number;
  /** How long the shard's queue is, in seconds. */
  readonly waiting: number;
  /** The same for a service, once arrays have given way. */
  readonly afterStops: number;
  /** Machines of a kind that the job may use and that have what it needs, busy or not. */
  readonly machines: number;
}

export function roomFor(spec: JobSpec, summary: ShardSummary, types: ReadonlyMap<string, MachineType>): ShardRoom {
  let slots = 0;
  let warm = 0;
  let freeCpus = 0;
  let machines = 0;
  let capacity = 0;
  let afterStops = 0;
  for (const m of summary.machines) {
    if (!m.usable || m.faulty || m.lost || !allowedKind(spec, m)) continue;
    const type = types.get(m.type);
    if (spec.gpus > 0) capacity += type?.gpus ?? 0;
    // Only what arrays share counts: a machine full of replicas or gangs works no queue off.
    else if (type && (type.gpus <= 0 || mayBorrow(spec))) capacity += m.freeCpus + m.yieldCpus;
    if (spec.gpus <= 0 && m.freeGpus > EPSILON && !mayBorrow(spec)) continue;
    if (type && type.gpus >= spec.gpus && type.cpus >= spec.cpus && type.memoryGb >= spec.memoryGb) machines += 1;
    const by = (need: number, free: number): number => (need <= 0 ? Infinity : Math.floor((free + EPSILON) / need));
    const slotsWith = (cpus: number, memoryGb: number): number =>
      Math.min(by(spec.cpus, cpus), by(spec.gpus, m.freeGpus), by(spec.memoryGb, memoryGb), spec.tasks);
    const here = slotsWith(m.freeCpus, m.freeMemoryGb);
    if (spec.kind === 'service' && (type?.gpus ?? 0) <= 0)
      afterStops += slotsWith(m.freeCpus + m.yieldCpus, m.freeMemoryGb + m.yieldMemoryGb);
    if (here <= 0) continue;
    slots += here;
    freeCpus += m.freeCpus;
    const slowFetch = spec.imageGb / (types.get(m.type)?.fetchGbPerS ?? 1) > 3;
    if (m.images.includes(spec.image) || (!slowFetch && spec.kind !== 'service')) warm += here;
  }
  // Work that goes before it or shares with it, for each unit of the resource that the job may use.
  let waiting = 0;
  let queued = 0;
  for (const d of summary.demand) {
    if (d.gpus > 0 !== spec.gpus > 0 || d.priority < spec.priority) continue;
    const amount = d.missing * (spec.gpus > 0 ? d.gpus : d.cpus);
    queued += amount;
    waiting += amount * Math.max(1, d.estimateS);
  }
  waiting /= capacity + 1;
  // What is free while others wait for it is free for a moment only.
  if (spec.kind === 'array' && spec.cpus > 0) slots = Math.max(0, slots - Math.ceil(queued / spec.cpus));
  return {
    shard: summary.shard,
    slots: Math.min(slots, spec.tasks),
    warm: Math.min(warm, slots, spec.tasks),
    freeCpus,
    waiting,
    machines,
    afterStops: Math.min(afterStops, spec.tasks),
  };
}

/** Where a job can start soonest: most room for it, images in place, most left over; without room the shortest queue. */
export function chooseShard(
  spec: JobSpec,
  summaries: readonly ShardSummary[],
  types: ReadonlyMap<string, MachineType>,
  own: ShardName | null,
  /** How many of its tasks a shard may start before it has a larger share of the team's limit. */
  allowedIn?: (shard: ShardName) => number,
): ShardName | null {
  const rooms = summaries.map((s) => roomFor(spec, s, types));
  const startable = new Map<ShardName, number>();
  for (const { shard, slots, afterStops } of allowedIn ? rooms : [])
    startable.set(shard, Math.min(Math.max(slots, afterStops), allowedIn?.(shard) ?? 0));
  // Small jobs cost their holder as many changes as large ones, and a swarm of them all that it may make. The nodes that
  // accept them have about as many each: where they find room at once, they stay.
  const here = rooms.find(({ shard }) => shard === own);
  if (
    here &&
    spec.kind === 'array' &&
    spec.tasks <= FEW_TASKS &&
    here.warm >= spec.tasks &&
    (allowedIn?.(here.shard) ?? spec.tasks) >= spec.tasks
  )
    return here.shard;
  rooms.sort(
    (a, b) =>
      // Where its team has a share, nothing has to be moved first.
      (startable.get(b.shard) ?? 0) - (startable.get(a.shard) ?? 0) ||
      // Arrays give way to a service at once: all of it in one block counts more than what is free already.
      b.afterStops - a.afterStops ||
      b.slots - a.slots ||
      // A gang that finds no room waits where most of its kind of machine is: scattered, they never suffice.
      (spec.kind === 'gang' && a.slots < spec.tasks ? b.machines - a.machines : 0) ||
      b.warm - a.warm ||
      (a.slots === 0 ? a.waiting - b.waiting : 0) ||
      b.freeCpus - a.freeCpus ||
      Number(b.shard === own) - Number(a.shard === own) ||
      (a.shard < b.shard ? -1 : 1),
  );
  return rooms[0]?.shard ?? own;
}

/** How much shorter another shard's queue must be before an array that waits changes over, in seconds. */
const SHORTER_BY_S = 20;

/**
 * Where an array that waits without a task anywhere would be through sooner: all of it finds room, or the
 * queue is shorter by so much that it isn't moved back the next moment. Null: it stays.
 */
export function betterShard(
  spec: JobSpec,
  count: number,
  here: ShardSummary | undefined,
  others: readonly ShardSummary[],
  types: ReadonlyMap<string, MachineType>,
): ShardName | null {
  const rooms = others.map((summary) => roomFor(spec, summary, types));
  const roomy = rooms.filter((room) => room.slots >= Math.min(count, spec.tasks)).sort((a, b) => b.slots - a.slots)[0];
  if (roomy && roomy.slots > 0) return roomy.shard;
  if (!here || spec.kind === 'service') return null;
  const { waiting: own, machines } = roomFor(spec, here, types);
  if (spec.kind === 'gang') {
    // Where there are too few machines of its kind, it would wait for ever: it goes where enough are.
    const most = rooms.sort((a, b) => b.machines - a.machines)[0];
    return machines < spec.tasks && most && most.machines >= spec.tasks ? most.shard : null;
  }
  const shortest = rooms.filter((room) => room.machines > 0).sort((a, b) => a.waiting - b.waiting)[0];
  return shortest && shortest.waiting + SHORTER_BY_S < own ? shortest.shard : null;
}

/** Until the next summary, room that a job was sent to is taken, and what finds none there waits there. */
export function bookRoom(spec: JobSpec, summary: ShardSummary): ShardSummary {
  let left = spec.tasks;
  const machines = summary.machines.map((m) => {
    if (left <= 0 || !m.usable || !allowedKind(spec, m) || (spec.gpus <= 0 && m.freeGpus > EPSILON && !mayBorrow(spec)))
      return m;
    let { freeCpus, freeGpus, freeMemoryGb } = m;
    while (
      left > 0 &&
      freeCpus + EPSILON >= spec.cpus &&
      freeGpus + EPSILON >= spec.gpus &&
      freeMemoryGb + EPSILON >= spec.memoryGb &&
      spec.cpus + spec.gpus + spec.memoryGb > 0
    ) {
      freeCpus -= spec.cpus;
      freeGpus -= spec.gpus;
      freeMemoryGb -= spec.memoryGb;
      left -= 1;
    }
    return { ...m, freeCpus, freeGpus, freeMemoryGb, empty: false };
  });
  if (left === 0 || spec.kind !== 'array') return { ...summary, machines };
  const { id: job, priority, estimateS, cpus, gpus } = spec;
  const waits = { job, priority, missing: left, running: spec.tasks - left, slackS: 0, estimateS, cpus, gpus };
  return { ...summary, machines, demand: [...summary.demand, waits] };
}
