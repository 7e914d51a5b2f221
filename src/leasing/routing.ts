/** Chooses the shard of a new or waiting job from the summaries of all shards. */
import type { MachineType } from '../cloud/index.js';
import type { JobSpec } from '../jobs/index.js';
import type { ShardName } from '../kernel/index.js';
import { allowsMachine, mayUseReserve } from '../placement/index.js';
import type { MachineSummary, ShardSummary } from '../peers/index.js';
import { EPSILON } from './capacity.js';

/** An array of at most this many tasks is small and stays in the shard of the node that accepts it if it has room. */
const MAX_SMALL_ARRAY_TASKS = 2;

/** How well a job fits into a shard, estimated from the shard's latest summary. */
export interface ShardFit {
  readonly shard: ShardName;
  /** Number of tasks that could start now. */
  readonly slots: number;
  /** How many of those find the image in place or, unless the job is a service, can fetch it within 3 s. */
  readonly warmSlots: number;
  /** Free cpus on the machines that have slots for the job. */
  readonly freeCpus: number;
  /** Estimated time to work off the queue ahead of the job, in seconds. */
  readonly queueS: number;
  /** Number of tasks of a service that could start after preempting arrays; 0 for other jobs. */
  readonly slotsAfterPreemption: number;
  /** Number of tasks that could be tried now on machines on probation. */
  readonly trialSlots: number;
  /** Number of machines, busy or not, whose kind the job may use and whose size suffices for a task. */
  readonly machines: number;
}

/** How many of a job's tasks fit in these resources. */
function slotsIn(
  spec: JobSpec,
  free: { readonly cpus: number; readonly gpus: number; readonly memoryGb: number },
): number {
  const by = (need: number, amount: number): number => (need <= 0 ? Infinity : Math.floor((amount + EPSILON) / need));
  return Math.min(by(spec.cpus, free.cpus), by(spec.gpus, free.gpus), by(spec.memoryGb, free.memoryGb), spec.tasks);
}

/** How many of a job's tasks may be tried on a machine on probation: one task, or those of a gang. */
function trialSlotsOn(spec: JobSpec, m: MachineSummary): number {
  if (m.lost || !allowsMachine(spec, m)) return 0;
  if (spec.gpus <= 0 && m.freeGpus > EPSILON && !mayUseReserve(spec)) return 0;
  const slots = slotsIn(spec, { cpus: m.freeCpus, gpus: m.freeGpus, memoryGb: m.freeMemoryGb });
  return spec.kind === 'gang' ? slots : Math.min(1, slots);
}

/** Estimates how well a job fits into a shard. */
export function fitInShard(spec: JobSpec, summary: ShardSummary, types: ReadonlyMap<string, MachineType>): ShardFit {
  let slots = 0;
  let warmSlots = 0;
  let freeCpus = 0;
  let machines = 0;
  let capacity = 0;
  let slotsAfterPreemption = 0;
  let trialSlots = 0;
  for (const m of summary.machines) {
    if (m.onProbation) trialSlots += trialSlotsOn(spec, m);
    if (!m.usable || m.faulty || m.lost || !allowsMachine(spec, m)) continue;
    const type = types.get(m.type);
    if (spec.gpus > 0) capacity += type?.gpus ?? 0;
    // Only the capacity that arrays share counts: a machine full of replicas or gangs does not drain the queue.
    else if (type && (type.gpus <= 0 || mayUseReserve(spec))) capacity += m.freeCpus + m.yieldCpus;
    if (spec.gpus <= 0 && m.freeGpus > EPSILON && !mayUseReserve(spec)) continue;
    if (type && type.gpus >= spec.gpus && type.cpus >= spec.cpus && type.memoryGb >= spec.memoryGb) machines += 1;
    const slotsWith = (cpus: number, memoryGb: number): number => slotsIn(spec, { cpus, gpus: m.freeGpus, memoryGb });
    const slotsOnMachine = slotsWith(m.freeCpus, m.freeMemoryGb);
    if (spec.kind === 'service' && (type?.gpus ?? 0) <= 0)
      slotsAfterPreemption += slotsWith(m.freeCpus + m.yieldCpus, m.freeMemoryGb + m.yieldMemoryGb);
    if (slotsOnMachine <= 0) continue;
    slots += slotsOnMachine;
    freeCpus += m.freeCpus;
    const slowFetch = spec.imageGb / (types.get(m.type)?.fetchGbPerS ?? 1) > 3;
    if (m.images.includes(spec.image) || (!slowFetch && spec.kind !== 'service')) warmSlots += slotsOnMachine;
  }
  // Queued work of the same or a higher priority, per unit of the resource that the job uses.
  let queueS = 0;
  let queued = 0;
  for (const d of summary.demand) {
    if (d.gpus > 0 !== spec.gpus > 0 || d.priority < spec.priority) continue;
    const amount = d.missing * (spec.gpus > 0 ? d.gpus : d.cpus);
    queued += amount;
    queueS += amount * Math.max(1, d.estimateS);
  }
  queueS /= capacity + 1;
  // Capacity that other jobs wait for is free only for a moment.
  if (spec.kind === 'array' && spec.cpus > 0) slots = Math.max(0, slots - Math.ceil(queued / spec.cpus));
  return {
    shard: summary.shard,
    slots: Math.min(slots, spec.tasks),
    warmSlots: Math.min(warmSlots, slots, spec.tasks),
    freeCpus,
    queueS,
    trialSlots,
    machines,
    slotsAfterPreemption: Math.min(slotsAfterPreemption, spec.tasks),
  };
}

/**
 * Returns the shard in which a job can start soonest: the one with the most slots for it, then with images in place,
 * then with the most free cpus; if none has slots, the one with the shortest queue. Machines on probation count only
 * where no shard has another machine for the job.
 */
export function chooseShard(
  spec: JobSpec,
  summaries: readonly ShardSummary[],
  types: ReadonlyMap<string, MachineType>,
  own: ShardName | null,
  /** Returns how many of the job's tasks a shard may start with its current share of the team's quota. */
  startableIn?: (shard: ShardName) => number,
): ShardName | null {
  const fits = summaries.map((s) => fitInShard(spec, s, types));
  const onlyTrials = fits.every(({ machines }) => machines === 0);
  const startable = new Map<ShardName, number>();
  for (const { shard, slots, slotsAfterPreemption } of startableIn ? fits : [])
    startable.set(shard, Math.min(Math.max(slots, slotsAfterPreemption), startableIn?.(shard) ?? 0));
  // A small job costs its holder as many state changes as a large one, and a burst of small jobs can take up all
  // changes that the holder may make. The nodes that accept jobs receive about equally many, so small jobs stay there
  // if they find room at once.
  const here = fits.find(({ shard }) => shard === own);
  if (
    here &&
    spec.kind === 'array' &&
    spec.tasks <= MAX_SMALL_ARRAY_TASKS &&
    here.warmSlots >= spec.tasks &&
    (startableIn?.(here.shard) ?? spec.tasks) >= spec.tasks
  )
    return here.shard;
  fits.sort(
    (a, b) =>
      // In a shard with enough of the team's quota, no quota has to be moved first.
      (startable.get(b.shard) ?? 0) - (startable.get(a.shard) ?? 0) ||
      // Services preempt arrays at once, so fitting all of a service into one block counts more than capacity that is
      // already free.
      b.slotsAfterPreemption - a.slotsAfterPreemption ||
      b.slots - a.slots ||
      (onlyTrials ? b.trialSlots - a.trialSlots : 0) ||
      // A gang without room waits in the shard with the most suitable machines: machines scattered over several shards
      // would never suffice.
      (spec.kind === 'gang' && a.slots < spec.tasks ? b.machines - a.machines : 0) ||
      b.warmSlots - a.warmSlots ||
      (a.slots === 0 ? a.queueS - b.queueS : 0) ||
      b.freeCpus - a.freeCpus ||
      Number(b.shard === own) - Number(a.shard === own) ||
      (a.shard < b.shard ? -1 : 1),
  );
  return fits[0]?.shard ?? own;
}

/** A waiting array moves to another shard only if the queue there is shorter by more than this. */
const MIN_QUEUE_REDUCTION_S = 20;

/**
 * Returns the shard to which a waiting job without running tasks should move, or null if it should stay. An array moves
 * to a shard that has room for all of it, or whose queue is shorter by enough that the array is not moved back at once.
 * Where its shard has no machine for it, an array or a service moves to one that has. A job that nothing has room for moves to a shard where it may be tried on a machine on probation.
 */
export function chooseMoveTarget(
  spec: JobSpec,
  count: number,
  here: ShardSummary | undefined,
  others: readonly ShardSummary[],
  types: ReadonlyMap<string, MachineType>,
  /** Whether the job may be tried on machines on probation. */
  mayTry = true,
): ShardName | null {
  const fits = others.map((summary) => fitInShard(spec, summary, types));
  const mostSlots = fits.filter((fit) => fit.slots >= Math.min(count, spec.tasks)).sort((a, b) => b.slots - a.slots)[0];
  if (mostSlots && mostSlots.slots > 0) return mostSlots.shard;
  if (!here) return null;
  const { queueS: ownQueueS, machines, slots, trialSlots } = fitInShard(spec, here, types);
  const trialTasks = spec.kind === 'gang' ? spec.tasks : 1;
  if (mayTry && slots < trialTasks && trialSlots < trialTasks) {
    const mostTrials = fits
      .filter((fit) => fit.trialSlots >= trialTasks)
      .sort((a, b) => b.trialSlots - a.trialSlots)[0];
    if (mostTrials) return mostTrials.shard;
  }
  if (machines === 0 && spec.kind !== 'gang') return shardWithMachines(fits);
  if (spec.kind === 'service') return null;
  if (spec.kind === 'gang') {
    // With too few suitable machines in its shard, a gang would wait forever, so it moves to a shard that has enough.
    const most = fits.sort((a, b) => b.machines - a.machines)[0];
    return machines < spec.tasks && most && most.machines >= spec.tasks ? most.shard : null;
  }
  const shortestQueue = fits.filter((fit) => fit.machines > 0).sort((a, b) => a.queueS - b.queueS)[0];
  return shortestQueue && shortestQueue.queueS + MIN_QUEUE_REDUCTION_S < ownQueueS ? shortestQueue.shard : null;
}

/** The shard with the most room among those with suitable machines, else the shortest queue; null if none has any. */
function shardWithMachines(fits: readonly ShardFit[]): ShardName | null {
  const candidates = fits.filter((fit) => fit.machines > 0);
  candidates.sort(
    (a, b) => b.slots - a.slots || b.slotsAfterPreemption - a.slotsAfterPreemption || a.queueS - b.queueS,
  );
  return candidates[0]?.shard ?? null;
}

/**
 * Returns the summary as it is expected to look after a job was routed to the shard: its tasks take free capacity, and
 * array tasks that find none are added to the demand. Used until the shard sends its next summary.
 */
export function reserveCapacity(spec: JobSpec, summary: ShardSummary): ShardSummary {
  let left = spec.tasks;
  const machines = summary.machines.map((m) => {
    // The next job finds the trial taken.
    if (m.onProbation && trialSlotsOn(spec, m) > 0) return { ...m, onProbation: false };
    if (
      left <= 0 ||
      !m.usable ||
      !allowsMachine(spec, m) ||
      (spec.gpus <= 0 && m.freeGpus > EPSILON && !mayUseReserve(spec))
    )
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
