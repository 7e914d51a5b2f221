/** Decides which block each machine belongs to, what to rent and what to return to the cloud. */
import type { MachineType } from '../cloud/index.js';
import type { Priority } from '../jobs/index.js';
import type { MachineId, ShardName } from '../kernel/index.js';
import { allowsMachine, mayUseReserve } from '../placement/index.js';
import type { MachineSummary, ShardSummary } from '../peers/index.js';
import {
  allocateSlots,
  EPSILON,
  slotsThatFit,
  type AssignmentInput,
  type FreeCapacity,
  type JobDemand,
  type PlannedRent,
} from './capacity.js';
import { capArrayDemand, capGangDemand, upcomingDemand } from './demand.js';
import { addRents } from './rents.js';

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
      if (machine.idleMs > 0 && (machine.usable || machine.onProbation) && !machine.lost && !machine.faulty)
        idle.push({ machine, shard });
  }
  const stillIdle: typeof idle = [];
  for (const entry of idle) {
    const type = input.types.get(entry.machine.type);
    if (!type) continue;
    // Its holder would no longer know what was found out about it.
    if (entry.machine.onProbation) {
      if (entry.machine.empty) stillIdle.push(entry);
      continue;
    }
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
