/** The placement planner: decides which tasks start where and which are preempted. */

import type { JobId } from '../kernel/index.js';
import type { JobSpec } from '../jobs/index.js';
import {
  comparePending,
  allowsMachine,
  allowsZone,
  countSlots,
  fits,
  leavesReserve,
  mayUseReserve,
  allocate,
  score,
  equivalenceClassOf,
  ScoredMachines,
  accumulates,
  accumulateFor,
  noOtherMachine,
  isOnProbation,
  mayTryProbation,
} from './fit.js';
import {
  EPSILON,
  type PlanInput,
  type PlannedStart,
  type PlannedStop,
  type UnplacedTasks,
  type Plan,
  type PlanMachine,
} from './model.js';
import { planFirstTasks } from './first-tasks.js';
import {
  hasLateReplicas,
  type LateReplicas,
  placeOnGpuMachines,
  placeGang,
  preempt,
  preemptForGang,
} from './preempt.js';

/**
 * Plans starts and preemptions for all pending jobs, in the order of {@link comparePending}. Changes nothing in its
 * input.
 */
export function planPlacement(input: PlanInput): Plan {
  const machines: PlanMachine[] = input.machines
    .filter((m) => m.usable)
    .map((view) => {
      const releasing = { cpus: 0, gpus: 0, memoryGb: 0 };
      for (const task of view.running) {
        if (!task.stopping) continue;
        releasing.cpus += task.cpus;
        releasing.gpus += task.gpus;
        releasing.memoryGb += task.memoryGb;
      }
      return {
        view,
        cpus: view.freeCpus,
        gpus: view.freeGpus,
        memoryGb: view.freeMemoryGb,
        releasing,
        startsLeft: view.startLimit,
        fetching: [],
      };
    });
  const hasProbation = machines.some(({ view }) => isOnProbation(view));
  const teams = new Map([...input.teams].map(([name, use]) => [name, { ...use }]));
  const starts: PlannedStart[] = [];
  const stops: PlannedStop[] = [];
  const unplaced: UnplacedTasks[] = [];
  const shareBound: UnplacedTasks[] = [];
  const stopped = new Set<string>();
  /** Late replicas without room, which are placed on GPU machines at the end. */
  const lateReplicas: LateReplicas[] = [];

  /** Whether `count` more tasks fit in what the team may use here. */
  const withinLimit = (spec: JobSpec, count: number): boolean => {
    const team = teams.get(spec.team);
    if (!team) return true;
    if (team.cpusMax > 0 && team.cpus + spec.cpus * count > team.cpusMax + EPSILON) return false;
    return !(team.gpusMax > 0 && team.gpus + spec.gpus * count > team.gpusMax + EPSILON);
  };
  /** Whether only a share of the team's limit may be used here. */
  const isShared = (spec: JobSpec): boolean => teams.get(spec.team)?.wholeLeft !== undefined;
  /** Whether the tasks fit in what is left of the team's whole limit, so that a larger share would let them start. */
  const withinWholeLimit = (spec: JobSpec, count: number): boolean => {
    const remaining = teams.get(spec.team)?.wholeLeft;
    if (!remaining) return withinLimit(spec, count);
    return spec.cpus * count <= remaining.cpus + EPSILON && spec.gpus * count <= remaining.gpus + EPSILON;
  };
  /** Counts one started task against its team's limit. */
  const chargeTeam = (spec: JobSpec): void => {
    const team = teams.get(spec.team);
    if (!team) return;
    team.cpus += spec.cpus;
    team.gpus += spec.gpus;
  };

  // Free room only shrinks while a plan is made: once a job finds none, no other job of its equivalence class will.
  const exhaustedClasses = new Set<string>();
  /** Equivalence classes for which preemption found no room either. */
  const unplaceableClasses = new Set<string>();
  /** By equivalence class of gangs, the size of the smallest gang that found no room. */
  const smallestUnplaceableGang = new Map<string, number>();
  /** Machines held for gangs that accumulate. Arrays without GPUs may use them meanwhile. */
  const accumulated = new Set<PlanMachine>();
  for (const job of [...input.pending].sort(comparePending)) {
    const { spec } = job;
    const equivalenceClass = equivalenceClassOf(spec);
    const isUnplaceable =
      spec.kind === 'gang'
        ? job.ready.length > input.maxStarts ||
          job.ready.length >= (smallestUnplaceableGang.get(equivalenceClass) ?? Infinity)
        : unplaceableClasses.has(equivalenceClass);
    if (isUnplaceable) {
      if (withinWholeLimit(spec, spec.kind === 'gang' ? job.ready.length : 1)) {
        unplaced.push({ job: spec.id, count: job.ready.length });
        if (hasLateReplicas(job)) lateReplicas.push({ job, indices: job.ready });
      }
      continue;
    }
    const triesProbation = mayTryProbation(job);
    const mayUse = (machine: PlanMachine): boolean =>
      (triesProbation || !isOnProbation(machine.view)) &&
      (accumulated.size === 0 || !accumulated.has(machine) || (spec.kind === 'array' && spec.gpus <= 0));
    /** Whether the job may use all machines that others of its equivalence class may use. */
    const isUnrestricted = job.avoid.size === 0 && (triesProbation || !hasProbation);
    const candidates = machines.filter(
      (machine) => allowsMachine(spec, machine.view) && !job.avoid.has(machine.view.id) && mayUse(machine),
    );
    if (spec.kind === 'gang') {
      if (!withinLimit(spec, job.ready.length)) {
        if (!isShared(spec)) continue;
        const waits = { job: spec.id, count: job.ready.length };
        if (placeGang(job, candidates)) shareBound.push(waits);
        else if (withinWholeLimit(spec, job.ready.length)) unplaced.push(waits);
        continue;
      }
      const placed = placeGang(job, candidates);
      if (placed && starts.length + placed.length <= input.maxStarts) {
        for (const { index, machine } of placed) {
          allocate(spec, machine);
          chargeTeam(spec);
          starts.push({ job: spec.id, index, machine: machine.view.id });
        }
      } else if (job.suspect || !preemptForGang(job, candidates, stopped, stops)) {
        unplaced.push({ job: spec.id, count: job.ready.length });
        if (accumulates(job)) accumulateFor(job, candidates, accumulated);
        if (!placed && isUnrestricted && !spec.spread)
          smallestUnplaceableGang.set(
            equivalenceClass,
            Math.min(job.ready.length, smallestUnplaceableGang.get(equivalenceClass) ?? Infinity),
          );
      }
      continue;
    }
    // A replica on an expensive GPU machine would keep it from being given back for as long as the replica runs.
    const cpuOnlyService = spec.kind === 'service' && spec.gpus <= 0 && candidates.some((c) => c.view.gpus <= 0);
    const zoneUse = new Map(job.zoneUse);
    const machineUse = new Map(job.machineUse);
    let unplacedCount = 0;
    const free = exhaustedClasses.has(equivalenceClass) ? [] : candidates;
    const scored = new ScoredMachines(free, (machine) => {
      if (!fits(spec, machine) || !allowsZone(spec, machine.view.zone, zoneUse)) return Infinity;
      if (cpuOnlyService && machine.view.gpus > 0) return Infinity;
      const leaves = leavesReserve(spec, machine, input.reserve);
      if (!leaves && !mayUseReserve(spec)) return Infinity;
      return score(spec, machine, machineUse.get(machine.view.id) ?? 0) + (leaves ? 0 : 40);
    });
    for (const [position, index] of job.ready.entries()) {
      if (starts.length >= input.maxStarts) break;
      if (!withinLimit(spec, 1)) {
        if (!isShared(spec)) break;
        const rest = job.ready.length - position;
        // For a service, tasks are preempted once its share allows a start, so all of its tasks count as having room.
        const slots = spec.kind === 'service' ? rest : countSlots(free, spec);
        if (slots > 0) shareBound.push({ job: spec.id, count: Math.min(rest, slots) });
        else if (withinWholeLimit(spec, 1)) unplaced.push({ job: spec.id, count: rest });
        break;
      }
      const best = scored.best();
      if (!best) {
        unplacedCount = job.ready.length - position;
        if (isUnrestricted && !spec.spread && !spec.oneZone) exhaustedClasses.add(equivalenceClass);
        break;
      }
      const { zone, id } = best.view;
      allocate(spec, best);
      chargeTeam(spec);
      zoneUse.set(zone, (zoneUse.get(zone) ?? 0) + 1);
      machineUse.set(id, (machineUse.get(id) ?? 0) + 1);
      // Under a spread or one-zone constraint, a start can rule out other machines as well.
      scored.rescoreAfterPlacement(best, spec.spread || spec.oneZone ? (): boolean => true : noOtherMachine);
      starts.push({ job: spec.id, index, machine: id });
    }
    if (unplacedCount > 0) {
      // GPU machines are left out: tasks beside gangs were preempted again and again for replicas that may not go
      // there.
      const allowed = cpuOnlyService ? candidates.filter((c) => c.view.gpus <= 0) : candidates;
      const madeRoomFor = preempt(job, unplacedCount, allowed, zoneUse, stopped, stops);
      if (cpuOnlyService && unplacedCount > madeRoomFor && hasLateReplicas(job))
        lateReplicas.push({ job, indices: job.ready.slice(job.ready.length - (unplacedCount - madeRoomFor)) });
      if (madeRoomFor === 0 && exhaustedClasses.has(equivalenceClass)) unplaceableClasses.add(equivalenceClass);
      if (unplacedCount - madeRoomFor > 0) unplaced.push({ job: spec.id, count: unplacedCount - madeRoomFor });
    }
  }
  const lateStarts = placeOnGpuMachines(lateReplicas, machines, input, withinLimit, chargeTeam);
  const startedJobs = new Set(starts.map(({ job }) => job));
  const most = input.maxStarts - starts.length - lateStarts.length;
  lateStarts.push(...planFirstTasks(input, machines, startedJobs, withinLimit, chargeTeam, most));
  starts.push(...lateStarts);
  const lateStartCounts = new Map<JobId, number>();
  for (const start of lateStarts) lateStartCounts.set(start.job, (lateStartCounts.get(start.job) ?? 0) + 1);
  const stillUnplaced = unplaced
    .map(({ job, count }) => ({ job, count: count - (lateStartCounts.get(job) ?? 0) }))
    .filter(({ count }) => count > 0);
  return { starts, stops, unplaced: stillUnplaced, shareBound };
}
