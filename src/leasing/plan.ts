import type { MachineType } from '../cloud/index.js';
import type { JobSpec, Priority } from '../jobs/index.js';
import type { JobId, MachineId, ShardName } from '../kernel/index.js';
import { allowsMachine, mayUseReserve } from '../placement/index.js';
import type { UpcomingJob } from '../pipelines/index.js';
import type { MachineSummary, ShardSummary } from '../peers/index.js';

const EPSILON = 1e-6;
/**
 * Cpus of accelerator machines that are lent to work without accelerators are reclaimed only for a gang that will soon
 * be late, because reclaiming stops all work on the machine. The accelerators must have been idle for this long.
 */
const RECLAIM_IDLE_MS = 3000;
/** A gang with less slack than this is about to be late. */
const RECLAIM_GANG_SLACK_S = 40;
/** A kind of machine is expensive for a job if its price per cpu exceeds this multiple of the job's cheapest kind. */
const MAX_CPU_PRICE_RATIO = 2.5;
/** Share of the machines past the idle time that is released in one round (but at least two machines). */
const RELEASE_SHARE_PER_ROUND = 0.1;
/** Each check of the service headroom recomputes the free capacity of the whole fleet, so their number is bounded. */
const MAX_HEADROOM_CHECKS = 20;

/** The parameters that the leader and the replay of recorded days plan with. */
export const ASSIGNMENT_POLICY = {
  idleReturnS: 20,
  // The remaining time allows for machine boots, image fetches and stragglers.
  backlogTimeShare: 0.55,
} as const;

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

/** The changes that the leader is to make in one round. */
export interface AssignmentPlan {
  /** Unassigned machines to assign to a shard. */
  readonly assignments: readonly { readonly machine: MachineId; readonly to: ShardName }[];
  /** Machines that their holder should assign to another shard. */
  readonly transfers: readonly { readonly machine: MachineId; readonly from: ShardName; readonly to: ShardName }[];
  /** Machines to rent from the cloud. */
  readonly rents: readonly PlannedRent[];
  /** Empty machines that their holder should release, to be returned to the cloud. */
  readonly releases: readonly { readonly machine: MachineId; readonly from: ShardName }[];
}

/** Tasks of one job that need a machine. */
interface JobDemand {
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
interface FreeCapacity {
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

/** Waiting work of one array. */
export interface ArrayBacklog {
  readonly cpuSeconds: number;
  /** Seconds from now within which the work has to finish. */
  readonly withinS: number;
  /** Seconds until a machine that is rented for it now starts to work on it. */
  readonly leadS: number;
}

/**
 * Returns how many more cpus are needed for every array to finish in time, if all arrays share the cpus that run arrays
 * now, earliest deadline first. The model is fluid, since slots that become free serve the next job. A machine that is
 * rented now contributes only once it is up: the shorter the time, the larger the part of it that is lost to booting.
 */
export function missingCpus(backlog: readonly ArrayBacklog[], runningCpus: number, runningCpuSeconds: number): number {
  let work = runningCpuSeconds;
  let missing = 0;
  for (const b of [...backlog].sort((x, y) => x.withinS - y.withinS)) {
    work += b.cpuSeconds;
    missing = Math.max(missing, (work - runningCpus * b.withinS) / Math.max(1, b.withinS - b.leadS));
  }
  return missing;
}

/** Returns how many tasks of a job fit; 1 for a job that requires no resources. */
function slotsThatFit(spec: JobSpec, s: Pick<FreeCapacity, 'cpus' | 'gpus' | 'memoryGb'>): number {
  const by = (need: number, free: number): number => (need <= 0 ? Infinity : Math.floor((free + EPSILON) / need));
  const slots = Math.min(by(spec.cpus, s.cpus), by(spec.gpus, s.gpus), by(spec.memoryGb, s.memoryGb));
  return Number.isFinite(slots) ? Math.max(0, slots) : 1;
}

/** Allocates free capacity to as many tasks as fit and returns their number. */
function allocateSlots(demand: JobDemand, s: FreeCapacity): number {
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

/**
 * Decides which block each machine belongs to, what to rent and what to return to the cloud. A pure function of its
 * input.
 */
export function planAssignments(input: AssignmentInput): AssignmentPlan {
  const demands: JobDemand[] = [];
  for (const shard of input.shards) {
    for (const d of shard.demand) {
      const spec = input.specOf(d.job);
      if (!spec) continue;
      demands.push({
        // The holder knows the priority that a job inherits from the jobs that depend on it.
        spec: d.priority > spec.priority ? { ...spec, priority: d.priority as Priority } : spec,
        shard: shard.shard,
        unplacedTasks: d.missing,
        runS: Math.max(1, d.estimateS),
        slackS: d.slackS,
      });
    }
  }
  demands.sort((a, b) => b.spec.priority - a.spec.priority || a.slackS - b.slackS);

  const assignments: { machine: MachineId; to: ShardName }[] = [];
  const transfers: { machine: MachineId; from: ShardName; to: ShardName }[] = [];
  const releases: { machine: MachineId; from: ShardName }[] = [];
  const totalCapacity = (type: MachineType, zone: string, spot: boolean): FreeCapacity => ({
    type,
    zone,
    spot,
    cpus: type.cpus,
    gpus: type.gpus,
    memoryGb: type.memoryGb,
  });

  // A machine that has come up goes to the shard whose demand is most urgent, or else to the one with the least free
  // capacity.
  const freeCpusByShard = new Map(
    input.shards.map((s) => [s.shard, s.machines.reduce((sum, m) => sum + m.freeCpus + 1, 0)]),
  );
  for (const machine of input.unassigned) {
    if (!machine.up || input.shards.length === 0) continue;
    const type = input.types.get(machine.type);
    if (!type) continue;
    const capacity = totalCapacity(type, machine.zone, machine.spot);
    const to =
      shardToServe(demands, capacity) ??
      [...freeCpusByShard].sort((a, b) => a[1] - b[1] || (a[0] < b[0] ? -1 : 1))[0]?.[0];
    if (to === undefined) continue;
    allocateToShard(demands, capacity, to);
    assignments.push({ machine: machine.id, to });
    freeCpusByShard.set(to, (freeCpusByShard.get(to) ?? 0) + type.cpus);
  }

  // Idle machines are moved to the shard whose demand they can serve.
  const idle: { machine: MachineSummary; shard: ShardSummary }[] = [];
  for (const shard of input.shards) {
    for (const machine of shard.machines)
      if (machine.idleMs > 0 && machine.usable && !machine.lost && !machine.faulty) idle.push({ machine, shard });
  }
  const stillIdle: typeof idle = [];
  for (const entry of idle) {
    const type = input.types.get(entry.machine.type);
    if (!type) continue;
    const capacity = totalCapacity(type, entry.machine.zone, entry.machine.spot);
    if (entry.machine.idleMs < 300 || !entry.machine.empty) {
      if (!entry.machine.empty) stillIdle.push(entry);
      allocateToShard(demands, capacity, entry.shard.shard);
      continue;
    }
    const to = shardToServe(demands, capacity);
    if (to !== null && to !== entry.shard.shard) {
      allocateToShard(demands, capacity, to);
      transfers.push({ machine: entry.machine.id, from: entry.shard.shard, to });
    } else if (to !== null) allocateToShard(demands, capacity, to);
    else stillIdle.push(entry);
  }

  const upcoming = upcomingDemand(input);
  const keptForUpcoming = new Set<MachineId>();
  // Idle machines that no other demand needs are kept for the jobs that will be ready soon.
  for (const { machine } of stillIdle) {
    const type = input.types.get(machine.type);
    if (!type || !machine.empty) continue;
    const capacity = totalCapacity(type, machine.zone, machine.spot);
    for (const demand of upcoming)
      if (demand.unplacedTasks > 0 && allocateSlots(demand, capacity) > 0) keptForUpcoming.add(machine.id);
  }
  const uncapped = demands.map((demand) => ({ ...demand }));
  capArrayDemand([...demands, ...upcoming], input, input.backlogTimeShare);
  // Existing machines serve gangs whether or not anything is rented for them, so this copy is not capped.
  const gangs = uncapped.filter((demand) => demand.spec.kind === 'gang').map((demand) => ({ ...demand }));
  capGangDemand(demands, input);

  // Machines whose accelerators are idle while their cpus are lent to other work are moved to the shard with an urgent
  // gang that needs accelerators; the lent cpus are reclaimed.
  for (const { machine, shard } of stillIdle) {
    const type = input.types.get(machine.type);
    if (machine.empty || !type || type.gpus <= 0 || machine.idleMs < RECLAIM_IDLE_MS) continue;
    const urgentGangs = gangs.filter((demand) => demand.spec.gpus > 0 && demand.slackS < RECLAIM_GANG_SLACK_S);
    const capacity = totalCapacity(type, machine.zone, machine.spot);
    const to = shardToServe(urgentGangs, capacity);
    if (to === null) continue;
    allocateToShard(urgentGangs, capacity, to);
    if (to !== shard.shard) transfers.push({ machine: machine.id, from: shard.shard, to });
  }

  // Booting machines will serve the remaining demand; those that take too long to boot are not counted.
  for (const machine of input.unassigned) {
    if (machine.up) continue;
    const type = input.types.get(machine.type);
    if (!type || machine.ageS > type.bootS * 1.8 + 5) continue;
    const capacity = totalCapacity(type, machine.zone, machine.spot);
    const uncappedCapacity = { ...capacity };
    for (const demand of [...demands, ...upcoming]) if (demand.unplacedTasks > 0) allocateSlots(demand, capacity);
    for (const demand of uncapped) if (demand.unplacedTasks > 0) allocateSlots(demand, uncappedCapacity);
  }

  // Free capacity for services: capacity on any machine counts, and partly used machines are filled first.
  const capacityForServices = (excluded: ReadonlySet<MachineId>): FreeCapacity[] => {
    const capacities: FreeCapacity[] = [];
    for (const shard of input.shards) {
      for (const m of shard.machines) {
        const type = input.types.get(m.type);
        if (!type || !m.usable || m.faulty || m.lost || excluded.has(m.id)) continue;
        // Capacity of work that services preempt at once counts as free, except on accelerator machines.
        const yieldFactor = type.gpus > 0 ? 0 : 1;
        const [cpus, memoryGb] = [
          m.freeCpus + yieldFactor * m.yieldCpus,
          m.freeMemoryGb + yieldFactor * m.yieldMemoryGb,
        ];
        capacities.push({ type, zone: m.zone, spot: m.spot, cpus, gpus: m.freeGpus, memoryGb });
      }
    }
    for (const m of input.unassigned) {
      const type = input.types.get(m.type);
      if (type && m.ageS <= type.bootS * 1.8 + 5) capacities.push(totalCapacity(type, m.zone, m.spot));
    }
    return capacities;
  };
  const unmetHeadroom = (capacities: FreeCapacity[]): JobDemand[] => {
    const needs = input.headroom.map((spec): JobDemand => ({
      spec,
      shard: null,
      unplacedTasks: spec.tasks,
      runS: 1,
      slackS: 0,
    }));
    for (const demand of needs)
      for (const capacity of capacities) if (demand.unplacedTasks > 0) allocateSlots(demand, capacity);
    return needs.filter((demand) => demand.unplacedTasks > 0);
  };

  const waiting = [...demands, ...gangs, ...upcoming].filter((demand) => demand.unplacedTasks > 0);
  const released = new Set<MachineId>();
  let headroomChecks = 0;
  const longIdle = stillIdle
    .filter(({ machine }) => machine.idleMs > input.idleReturnS * 1000 && input.machineAgeS(machine.id) > 50)
    .sort((a, b) => hourlyPrice(input, b.machine) - hourlyPrice(input, a.machine));
  for (const { machine, shard } of longIdle) {
    // Machines are released gradually: those that are idle now may be needed again shortly, and they were all rented
    // together.
    if (
      released.size >= Math.max(2, longIdle.length * RELEASE_SHARE_PER_ROUND) ||
      headroomChecks >= MAX_HEADROOM_CHECKS
    )
      break;
    const type = input.types.get(machine.type);
    if (!type || keptForUpcoming.has(machine.id)) continue;
    if (waiting.some((w) => allowsMachine(w.spec, machine) && (w.spec.gpus > 0 || machine.freeGpus < EPSILON)))
      continue;
    if (machine.freeGpus < EPSILON && !machine.spot) {
      headroomChecks += 1;
      if (unmetHeadroom(capacityForServices(new Set([...released, machine.id]))).length > 0) continue;
    }
    releases.push({ machine: machine.id, from: shard.shard });
    released.add(machine.id);
  }

  const rentsByKind = new Map<string, PlannedRent>();
  const needs = [...demands, ...upcoming, ...unmetHeadroom(capacityForServices(new Set()))];
  for (const demand of needs)
    addRents(demand, input, rentsByKind, demand.spec.kind === 'array' ? MAX_CPU_PRICE_RATIO : Infinity);
  // Kinds that are too expensive for a job are rented only for arrays that would be late even with 1.5 times the share
  // of the time.
  capArrayDemand(uncapped, input, input.backlogTimeShare * 1.5);
  for (const demand of uncapped) {
    const left = demands.find((w) => w.spec === demand.spec);
    demand.unplacedTasks = demand.spec.kind === 'array' ? Math.min(demand.unplacedTasks, left?.unplacedTasks ?? 0) : 0;
    addRents(demand, input, rentsByKind, Infinity);
  }
  return { assignments, transfers, rents: [...rentsByKind.values()], releases };
}

/** The cloud's limit of machines per rent call. */
const MAX_MACHINES_PER_CALL = 50;

/**
 * Splits planned rents into calls within the cloud's limit per call, with the kinds taking turns. Without the split, a
 * plan for 300 machines at the start of a day with a backlog was sent as one call for 50; as 50 came, fewer than
 * planned, the kind was treated as sold out.
 */
export function splitIntoCalls(rents: readonly PlannedRent[]): PlannedRent[] {
  const calls: PlannedRent[] = [];
  const most = Math.max(0, ...rents.map((rent) => rent.count));
  for (let done = 0; done < most; done += MAX_MACHINES_PER_CALL) {
    for (const rent of rents) {
      const count = Math.min(MAX_MACHINES_PER_CALL, rent.count - done);
      if (count > 0) calls.push({ ...rent, count });
    }
  }
  return calls;
}

/** How much earlier than needed a machine is rented for a job that is not ready yet, as estimates are often wrong. */
const RENT_AHEAD_S = 5;

/** Returns the demand of arrays that will be ready about when a machine that is rented now would be up. */
function upcomingDemand(input: AssignmentInput): JobDemand[] {
  const demands: JobDemand[] = [];
  for (const { spec, readyInS, slackS } of input.upcoming ?? []) {
    if (spec.kind !== 'array' || readyInS > leadTimeS(spec, input) + RENT_AHEAD_S) continue;
    demands.push({ spec, shard: null, unplacedTasks: spec.tasks, runS: Math.max(1, spec.estimateS), slackS, readyInS });
  }
  return demands;
}

/**
 * Lowers the demand of arrays to the cpus that they lack to finish in time, as new machines are rented only for arrays
 * that would be late. Idle machines serve any demand.
 */
function capArrayDemand(demands: readonly JobDemand[], input: AssignmentInput, timeShare: number): void {
  let runningCpus = 0;
  let runningCpuSeconds = 0;
  for (const shard of input.shards) {
    for (const r of shard.running) {
      const spec = input.specOf(r.job);
      if (spec?.kind !== 'array') continue;
      runningCpus += r.running * spec.cpus;
      runningCpuSeconds += (r.running * spec.cpus * spec.estimateS) / 2;
    }
  }
  const arrays = demands.filter((demand) => demand.spec.kind === 'array' && demand.unplacedTasks > 0);
  const backlog = arrays.map((demand) => {
    const leadS = leadTimeS(demand.spec, input);
    // Work that is late already should be under way soon after the next machine is up.
    const earliestS = Math.max(leadS + demand.runS / 2, (demand.readyInS ?? 0) + demand.runS);
    const withinS = Math.max(earliestS, (demand.slackS + demand.runS) * timeShare);
    return { cpuSeconds: demand.unplacedTasks * demand.spec.cpus * demand.runS, withinS, leadS };
  });
  let missing = missingCpus(backlog, runningCpus, runningCpuSeconds);
  for (const demand of arrays) {
    const slots = Math.min(demand.unplacedTasks, Math.ceil(missing / Math.max(0.01, demand.spec.cpus)));
    missing = Math.max(0, missing - slots * demand.spec.cpus);
    demand.unplacedTasks = slots;
  }
}

/**
 * Share of the slots freed by finishing gangs that is counted on: they become free gradually and not all in one block.
 */
const GANG_TURNOVER_SHARE = 0.7;
/** For a gang that has missed its objectives, machines are rented only beyond what becomes free within this time. */
const LATE_GANG_WINDOW_S = 30;

/**
 * Returns how many waiting gang tasks exceed the slots that finishing gangs free by the tasks' objectives, earliest
 * objective first. The machines of gangs that end serve the next ones, so machines are rented only for this excess.
 */
export function gangTasksBeyondTurnover(
  gangs: readonly { readonly tasks: number; readonly slackS: number }[],
  tasksPerS: number,
): number {
  let queuedTasks = 0;
  let shortfall = 0;
  for (const gang of [...gangs].sort((a, b) => a.slackS - b.slackS)) {
    queuedTasks += gang.tasks;
    const withinS = gang.slackS < 0 ? LATE_GANG_WINDOW_S : gang.slackS;
    shortfall = Math.max(shortfall, queuedTasks - tasksPerS * withinS * GANG_TURNOVER_SHARE);
  }
  return Math.max(0, Math.ceil(shortfall));
}

/** Lowers the demand of gangs to the tasks that need machines beyond those that finishing gangs free. */
function capGangDemand(demands: readonly JobDemand[], input: AssignmentInput): void {
  const gangs = demands.filter((demand) => demand.spec.kind === 'gang' && demand.unplacedTasks > 0);
  if (gangs.length === 0) return;
  let tasksPerS = 0;
  for (const shard of input.shards) {
    for (const r of shard.running) {
      const spec = input.specOf(r.job);
      if (spec?.kind === 'gang' && spec.gpus > 0) tasksPerS += r.running / Math.max(10, spec.estimateS);
    }
  }
  // Gangs without accelerators share their machines with all other work, so the turnover of those machines is not
  // counted on.
  const acceleratorGangs = gangs.filter((demand) => demand.spec.gpus > 0);
  let shortfall = gangTasksBeyondTurnover(
    acceleratorGangs.map((demand) => ({ tasks: demand.unplacedTasks, slackS: demand.slackS })),
    tasksPerS,
  );
  // The gangs with the nearest objectives wait for slots that become free; machines rented now are up in time for the
  // others.
  for (const demand of acceleratorGangs.sort((a, b) => b.slackS - a.slackS)) {
    const slots = Math.min(demand.unplacedTasks, shortfall);
    shortfall -= slots;
    demand.unplacedTasks = slots;
  }
}

/**
 * Returns the seconds to boot a machine and fetch the job's image on the fastest suitable type; 0 if none is suitable.
 */
function leadTimeS(spec: JobSpec, input: AssignmentInput): number {
  let shortestS = Infinity;
  for (const type of input.types.values()) {
    if (slotsThatFit(spec, type) > 0 && (spec.types === null || spec.types.includes(type.name)))
      shortestS = Math.min(shortestS, type.bootS + spec.imageGb / type.fetchGbPerS);
  }
  return Number.isFinite(shortestS) ? shortestS : 0;
}

/** Returns the lowest price per cpu among the kinds that a job may use. */
function lowestCpuPrice(spec: JobSpec, input: AssignmentInput): number {
  let lowest = Infinity;
  for (const type of input.types.values()) {
    if (slotsThatFit(spec, type) <= 0) continue;
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        if (!allowsMachine(spec, { type: type.name, zone, spot })) continue;
        lowest = Math.min(lowest, (spot ? type.spotPrice : type.price) / type.cpus);
      }
    }
  }
  return lowest;
}

/** Returns the price of a machine per hour; 0 for an unknown type. */
function hourlyPrice(input: AssignmentInput, m: MachineSummary): number {
  const type = input.types.get(m.type);
  return type ? (m.spot ? type.spotPrice : type.price) : 0;
}

/** Returns the shard of the first demand that the capacity can serve, or null. */
function shardToServe(demands: readonly JobDemand[], capacity: FreeCapacity): ShardName | null {
  for (const demand of demands) {
    if (demand.unplacedTasks <= 0 || demand.shard === null) continue;
    if (!allowsMachine(demand.spec, { type: capacity.type.name, zone: capacity.zone, spot: capacity.spot })) continue;
    if (demand.spec.gpus <= 0 && capacity.gpus > EPSILON && !mayUseReserve(demand.spec)) continue;
    if (slotsThatFit(demand.spec, capacity) > 0) return demand.shard;
  }
  return null;
}

/** Allocates capacity to the demand of one shard. */
function allocateToShard(demands: readonly JobDemand[], capacity: FreeCapacity, shard: ShardName): void {
  for (const demand of demands) if (demand.unplacedTasks > 0 && demand.shard === shard) allocateSlots(demand, capacity);
}

/**
 * Plans rents of the cheapest kinds for the demand that is left. The cost is the price of a machine divided by the
 * slots that are actually used, and grows slightly with the number already planned of the kind.
 */
function addRents(
  demand: JobDemand,
  input: AssignmentInput,
  rents: Map<string, PlannedRent>,
  maxPriceRatio: number,
): void {
  const maxCpuPrice = maxPriceRatio === Infinity ? Infinity : lowestCpuPrice(demand.spec, input) * maxPriceRatio;
  for (let tries = 0; tries < 40 && demand.unplacedTasks > 0; tries++) {
    let best: { type: MachineType; zone: string; spot: boolean; slots: number } | null = null;
    let bestCost = Infinity;
    for (const type of input.types.values()) {
      const slots = slotsThatFit(demand.spec, type);
      if (slots <= 0 || (demand.spec.gpus <= 0 && type.gpus > 0)) continue;
      for (const zone of type.zones) {
        for (const spot of [true, false]) {
          if (!allowsMachine(demand.spec, { type: type.name, zone, spot })) continue;
          const key = machineKindKey(type.name, zone, spot);
          if (input.refused.has(key)) continue;
          const price = spot ? type.spotPrice : type.price;
          if (price / type.cpus > maxCpuPrice) continue;
          const alreadyPlanned = rents.get(key)?.count ?? 0;
          const cost = price / Math.min(slots, demand.unplacedTasks) + alreadyPlanned * 1e-6 * price;
          if (cost < bestCost) {
            best = { type, zone, spot, slots };
            bestCost = cost;
          }
        }
      }
    }
    if (!best) return;
    const key = machineKindKey(best.type.name, best.zone, best.spot);
    rents.set(key, { type: best.type.name, zone: best.zone, spot: best.spot, count: (rents.get(key)?.count ?? 0) + 1 });
    demand.unplacedTasks -= best.slots;
  }
}
