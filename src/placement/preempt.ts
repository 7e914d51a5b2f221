/** Placement of gangs and of late replicas, and preemption. */

import { Priority, type JobSpec } from '../jobs/index.js';
import {
  allowsMachine,
  allowsZone,
  fits,
  leavesReserve,
  allocate,
  score,
  ScoredMachines,
  noOtherMachine,
  isOnProbation,
} from './fit.js';
import {
  EPSILON,
  type PreemptableTask,
  type PendingJob,
  type PlanInput,
  type PlannedStart,
  type PlannedStop,
  type PlanMachine,
  type TaskIndices,
} from './model.js';

/** Whether the job's replicas need no GPUs and have already waited too long. */
export const hasLateReplicas = (job: PendingJob): boolean =>
  job.spec.kind === 'service' && job.spec.gpus <= 0 && job.slackS < 0 && !job.suspect && !job.spec.spread;

/** Replicas of a service that have waited too long and found no room. */
export interface LateReplicas {
  readonly job: PendingJob;
  readonly indices: TaskIndices;
}

/**
 * Places late replicas on GPU machines, in the room that GPU tasks leave. It is used when a shard's machines without
 * GPUs are full of other replicas: a replica keeps an expensive machine rented, but otherwise it would wait for
 * minutes.
 */
export function placeOnGpuMachines(
  lateReplicas: readonly LateReplicas[],
  machines: readonly PlanMachine[],
  input: PlanInput,
  withinLimit: (spec: JobSpec, count: number) => boolean,
  chargeTeam: (spec: JobSpec) => void,
): PlannedStart[] {
  const starts: PlannedStart[] = [];
  for (const { job, indices } of lateReplicas) {
    const { spec } = job;
    const here = machines.filter((c) => c.view.gpus > 0 && allowsMachine(spec, c.view) && !job.avoid.has(c.view.id));
    const scored = new ScoredMachines(here, (machine) =>
      fits(spec, machine) &&
      leavesReserve(spec, machine, input.reserve) &&
      allowsZone(spec, machine.view.zone, job.zoneUse)
        ? score(spec, machine, 0)
        : Infinity,
    );
    for (const index of indices) {
      const best = withinLimit(spec, 1) ? scored.best() : undefined;
      if (!best) break;
      allocate(spec, best);
      chargeTeam(spec);
      scored.rescoreAfterPlacement(best, noOtherMachine);
      starts.push({ job: spec.id, index, machine: best.view.id });
    }
  }
  return starts;
}

/** Finds a machine for every task of a gang; null if not all of them fit. Allocates nothing. */
export function placeGang(
  job: PendingJob,
  candidates: readonly PlanMachine[],
): { index: number; machine: PlanMachine }[] | null {
  const { spec } = job;
  const zones = spec.oneZone ? [...new Set(candidates.map((c) => c.view.zone))].sort() : [null];
  for (const zone of zones) {
    const here = candidates.filter((c) => zone === null || c.view.zone === zone);
    if (here.length === 0) continue;
    // Tasks are allocated on copies; the machines themselves change only once all tasks fit.
    const originals = new Map(here.map((machine) => [{ ...machine }, machine]));
    const zoneUse = new Map(job.zoneUse);
    const placed: { index: number; machine: PlanMachine }[] = [];
    const scored = new ScoredMachines([...originals.keys()], (machine) =>
      fits(spec, machine) && allowsZone(spec, machine.view.zone, zoneUse) ? score(spec, machine, 0) : Infinity,
    );
    for (const index of job.ready) {
      const best = scored.best();
      const machine = best && originals.get(best);
      if (!best || !machine) break;
      best.cpus -= spec.cpus;
      best.gpus -= spec.gpus;
      best.memoryGb -= spec.memoryGb;
      zoneUse.set(best.view.zone, (zoneUse.get(best.view.zone) ?? 0) + 1);
      scored.rescoreAfterPlacement(best, spec.spread ? (): boolean => true : noOtherMachine);
      placed.push({ index, machine });
    }
    if (placed.length === job.ready.length) return placed;
  }
  return null;
}

/**
 * Preempts tasks of lower priority, those that lose the least work first, to make room for a job's missing tasks.
 * Returns how many of the missing tasks will have room once the stopped tasks have ended.
 */
export function preempt(
  job: PendingJob,
  missing: number,
  candidates: readonly PlanMachine[],
  zoneUse: Map<string, number>,
  stopped: Set<string>,
  stops: PlannedStop[],
): number {
  const { spec } = job;
  // Arrays below high priority preempt nothing: saving and restarting the stopped task costs more than an earlier start
  // gains.
  if (job.suspect || (spec.kind === 'array' && spec.priority < Priority.high)) return 0;
  let satisfied = 0;
  const machines = [...candidates].sort((a, b) => b.releasing.cpus + b.cpus - (a.releasing.cpus + a.cpus));
  for (const machine of machines) {
    if (machine.view.suspicion > 0 || isOnProbation(machine.view) || spec.gpus > 0 || machine.gpus > EPSILON) continue;
    while (satisfied < missing && allowsZone(spec, machine.view.zone, zoneUse)) {
      const victims = victimsFor(spec, machine, stopped);
      if (!victims) break;
      planPreemption(victims, spec, machine, stopped, stops, spec.kind === 'service');
      zoneUse.set(machine.view.zone, (zoneUse.get(machine.view.zone) ?? 0) + 1);
      satisfied += 1;
    }
    if (satisfied >= missing) break;
  }
  return satisfied;
}

/** The tasks of lower priority to stop so that one task fits; null if stopping all of them is not enough. */
export function victimsFor(
  spec: JobSpec,
  machine: PlanMachine,
  stopped: ReadonlySet<string>,
): PreemptableTask[] | null {
  const victims: PreemptableTask[] = [];
  const released = { cpus: 0, gpus: 0, memoryGb: 0 };
  const isEnough = (): boolean =>
    machine.cpus + machine.releasing.cpus + released.cpus + EPSILON >= spec.cpus &&
    machine.gpus + machine.releasing.gpus + released.gpus + EPSILON >= spec.gpus &&
    machine.memoryGb + machine.releasing.memoryGb + released.memoryGb + EPSILON >= spec.memoryGb;
  const order = machine.view.running
    .filter((task) => task.priority < spec.priority && !task.stopping && !stopped.has(`${task.job}/${task.index}`))
    .sort((a, b) => a.priority - b.priority || a.lossS - b.lossS);
  for (const task of order) {
    if (isEnough()) break;
    victims.push(task);
    released.cpus += task.cpus;
    released.gpus += task.gpus;
    released.memoryGb += task.memoryGb;
  }
  return isEnough() ? victims : null;
}

/** Plans to stop the victims and allocates one task of the job in the room that they leave. */
export function planPreemption(
  victims: readonly PreemptableTask[],
  spec: JobSpec,
  machine: PlanMachine,
  stopped: Set<string>,
  stops: PlannedStop[],
  atOnce: boolean,
): void {
  for (const task of victims) {
    stopped.add(`${task.job}/${task.index}`);
    machine.releasing.cpus += task.cpus;
    machine.releasing.gpus += task.gpus;
    machine.releasing.memoryGb += task.memoryGb;
    stops.push({ job: task.job, index: task.index, machine: machine.view.id, forJob: spec.id, atOnce });
  }
  // The task is allocated from free resources first, and the rest from those being released.
  machine.releasing.cpus -= Math.max(0, spec.cpus - Math.max(0, machine.cpus));
  machine.cpus = Math.max(0, machine.cpus - spec.cpus);
  machine.releasing.gpus -= Math.max(0, spec.gpus - Math.max(0, machine.gpus));
  machine.gpus = Math.max(0, machine.gpus - spec.gpus);
  machine.releasing.memoryGb -= Math.max(0, spec.memoryGb - Math.max(0, machine.memoryGb));
  machine.memoryGb = Math.max(0, machine.memoryGb - spec.memoryGb);
}

/**
 * Preempts for a whole gang: either room is made for all of its tasks, or nothing is stopped. Returns whether room is
 * made.
 */
export function preemptForGang(
  job: PendingJob,
  candidates: readonly PlanMachine[],
  stopped: Set<string>,
  stops: PlannedStop[],
): boolean {
  const { spec } = job;
  const zones = spec.oneZone ? [...new Set(candidates.map((c) => c.view.zone))].sort() : [null];
  for (const zone of zones) {
    const machines = candidates.filter(
      (c) => (zone === null || c.view.zone === zone) && c.view.suspicion === 0 && !isOnProbation(c.view),
    );
    const trial = machines.map((machine): PlanMachine => ({ ...machine, releasing: { ...machine.releasing } }));
    const trialStopped = new Set(stopped);
    const trialStops: PlannedStop[] = [];
    const zoneUse = new Map(job.zoneUse);
    let placed = 0;
    trial.sort((a, b) => b.cpus + b.releasing.cpus - (a.cpus + a.releasing.cpus));
    for (const machine of trial) {
      while (placed < job.ready.length && allowsZone(spec, machine.view.zone, zoneUse)) {
        const victims = victimsFor(spec, machine, trialStopped);
        if (!victims) break;
        planPreemption(victims, spec, machine, trialStopped, trialStops, false);
        zoneUse.set(machine.view.zone, (zoneUse.get(machine.view.zone) ?? 0) + 1);
        placed += 1;
      }
    }
    if (placed < job.ready.length) continue;
    for (const machine of machines) {
      const after = trial.find((t) => t.view === machine.view);
      if (!after) continue;
      Object.assign(machine, {
        cpus: after.cpus,
        gpus: after.gpus,
        memoryGb: after.memoryGb,
        releasing: after.releasing,
      });
    }
    for (const key of trialStopped) stopped.add(key);
    stops.push(...trialStops);
    return true;
  }
  return false;
}
