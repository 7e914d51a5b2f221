/**
 * The order of pending jobs, the constraints and the score that decide where a task goes, and room held for starved
 * gangs.
 */

import { Priority, maxTasksPerZone, type JobSpec } from '../jobs/index.js';
import { EPSILON, type MachineView, type PendingJob, type GpuReserve, type PlanMachine } from './model.js';

/**
 * With less slack than this until its last objective, a job without a deadline is ordered by that slack, whatever its
 * size.
 */
export const URGENT_SLACK_S = 40;

/**
 * A job that has waited this long without a single task goes first within its priority, and a gang accumulates
 * machines, so that a stream of new jobs can't starve it. Gangs of eight waited 700 s without this rule, because a gang
 * stopped accumulating once its objectives were missed.
 */
export const JOB_STARVED_AFTER_S = 150;
const isStarved = (job: PendingJob): boolean => (job.waitedS ?? 0) >= JOB_STARVED_AFTER_S;

/**
 * Rank of a job within its priority; the lowest goes first. Under overload, earliest-deadline-first makes every job
 * late, so only jobs with a deadline are ordered by slack; all others are ordered by remaining work, which lets short
 * jobs finish with little delay to long ones. A long job moves forward shortly before its last objective. Jobs that
 * have missed all objectives come after these, and jobs without a deadline or an objective come last. Starved jobs come
 * before all others.
 */
export function rank(job: PendingJob): number {
  if (isStarved(job)) return -1e9 - (job.waitedS ?? 0);
  if (!job.aimed) return 2e9 + job.workS;
  if (job.lastSlackS < 0) return 1e9 + job.workS;
  if (job.spec.deadlineS !== null) return job.slackS;
  return job.lastSlackS < URGENT_SLACK_S ? job.lastSlackS - URGENT_SLACK_S : job.workS / 16;
}

/** Compares pending jobs: suspect jobs last, services first, then by priority, then by rank. */
export function comparePending(a: PendingJob, b: PendingJob): number {
  if (a.suspect !== b.suspect) return a.suspect ? 1 : -1;
  const service = Number(b.spec.kind === 'service') - Number(a.spec.kind === 'service');
  if (service !== 0) return service;
  if (a.spec.priority !== b.spec.priority) return b.spec.priority - a.spec.priority;
  const byRank = rank(a) - rank(b);
  if (byRank !== 0) return byRank;
  return a.spec.id < b.spec.id ? -1 : 1;
}

/**
 * Whether the job's constraints on type, zone and spot machines allow this machine. This is the only definition of a
 * wrong placement.
 */
export function allowsMachine(spec: JobSpec, m: Pick<MachineView, 'type' | 'zone' | 'spot'>): boolean {
  if (spec.types !== null && !spec.types.includes(m.type)) return false;
  if (spec.zone !== null && spec.zone !== m.zone) return false;
  return !m.spot || spec.spot;
}

/**
 * Whether the one-zone and spread constraints allow another task of the job in this zone, given the tasks it has by
 * zone.
 */
export function allowsZone(spec: JobSpec, zone: string, use: ReadonlyMap<string, number>): boolean {
  if (spec.oneZone) for (const [other, count] of use) if (count > 0 && other !== zone) return false;
  return !spec.spread || (use.get(zone) ?? 0) < maxTasksPerZone(spec);
}

/** Whether one task of the job fits in the machine's free resources. */
export function fits(spec: JobSpec, machine: PlanMachine): boolean {
  if (machine.startsLeft <= 0) return false;
  if (spec.cpus > machine.cpus + EPSILON) return false;
  if (spec.gpus > machine.gpus + EPSILON) return false;
  if (spec.memoryGb > machine.memoryGb + EPSILON) return false;
  return true;
}

/** Whether the machine gets only a few tasks at a time, until these show whether it works. */
export const isOnProbation = ({ startLimit }: Pick<MachineView, 'startLimit'>): boolean => startLimit !== Infinity;

/** A job that finds no room, or has not begun, for this long is tried on machines on probation, whatever it is. */
const TRY_ANYWHERE_AFTER_S = 15;

/** Whether tasks of the job may be tried on machines on probation: work that matters little, or that finds no room. */
export const mayTryProbation = (job: Pick<PendingJob, 'spec' | 'suspect' | 'unplacedS' | 'waitedS'>): boolean => {
  const { spec, suspect, unplacedS = 0, waitedS = 0 } = job;
  if (Math.max(unplacedS, waitedS) >= TRY_ANYWHERE_AFTER_S) return true;
  return !suspect && spec.kind === 'array' && spec.priority <= Priority.normal;
};

/** How many of a job's tasks fit on these machines. */
export function countSlots(machines: readonly PlanMachine[], spec: JobSpec): number {
  const by = (need: number, there: number): number => (need <= 0 ? Infinity : Math.floor((there + EPSILON) / need));
  let slots = 0;
  for (const machine of machines) {
    const here = Math.min(
      by(spec.cpus, machine.cpus),
      by(spec.gpus, machine.gpus),
      by(spec.memoryGb, machine.memoryGb),
    );
    slots += Math.min(spec.tasks, Math.max(0, here));
  }
  return slots;
}

/**
 * Whether the task leaves a machine with free GPUs enough other resources for a GPU task. Without a known reserve it
 * doesn't.
 */
export function leavesReserve(
  spec: JobSpec,
  free: { readonly cpus: number; readonly gpus: number; readonly memoryGb: number },
  reserve: GpuReserve | null,
): boolean {
  if (spec.gpus > 0 || free.gpus < EPSILON) return true;
  if (!reserve) return false;
  return free.cpus - spec.cpus + EPSILON >= reserve.cpus && free.memoryGb - spec.memoryGb + EPSILON >= reserve.memoryGb;
}

/**
 * Whether the job may use CPUs and memory that are kept free beside free GPUs. Other work gets only what a GPU task
 * leaves. The exception is low-priority arrays with checkpoints, because they can be preempted and lose little work.
 */
export const mayUseReserve = (spec: JobSpec): boolean =>
  spec.gpus <= 0 && spec.kind === 'array' && spec.priority === Priority.low && spec.checkpointS > 0;

/** Subtracts one task of the job from the machine's free resources. */
export function allocate(spec: JobSpec, machine: PlanMachine): void {
  machine.cpus -= spec.cpus;
  machine.gpus -= spec.gpus;
  machine.memoryGb -= spec.memoryGb;
  machine.startsLeft -= 1;
  if (!machine.view.images.includes(spec.image) && !machine.fetching.includes(spec.image))
    machine.fetching.push(spec.image);
}

/** Cost of placing one task on the machine; lower is better. `sameJobHere`: number of the job's tasks there. */
export function score(spec: JobSpec, machine: PlanMachine, sameJobHere: number): number {
  const m = machine.view;
  let s = 0;
  s += m.suspicion * 60;
  if (isOnProbation(m)) s += 60;
  if (!m.images.includes(spec.image) && !machine.fetching.includes(spec.image)) {
    s += (spec.imageGb / m.fetchGbPerS) * (1 + m.fetching + machine.fetching.length);
  }
  const leftover = (machine.cpus - spec.cpus) / Math.max(1, m.cpus);
  if (spec.kind === 'service') {
    s += sameJobHere * 4;
    s += leftover * 0.5;
  } else {
    s += leftover * 2;
    if (spec.spot && !m.spot) s += 1.5;
  }
  s += m.cpuPrice * 5;
  if (spec.gpus <= 0 && machine.gpus > EPSILON) s += 20;
  return s;
}

/**
 * Key of the job's equivalence class: jobs with the same key can use the same machines, except those that a job avoids.
 */
export const equivalenceClassOf = (spec: JobSpec): string =>
  `${spec.types?.join(',') ?? ''}|${spec.zone ?? ''}|${spec.spot ? 1 : 0}|${spec.cpus}|${spec.gpus}|${spec.memoryGb}|` +
  `${spec.kind}|${spec.priority}|${mayUseReserve(spec) ? 1 : 0}`;

/**
 * Returns a filter for the machines that a plan for these jobs needs to consider; most machines of a full shard are of
 * no use to it. An array below high priority takes only free room. All other jobs may preempt tasks, so every machine
 * that they are allowed on counts.
 */
export function machineFilterFor(
  specs: readonly JobSpec[],
): (
  m: Pick<MachineView, 'type' | 'zone' | 'spot'>,
  free: Pick<MachineView, 'freeCpus' | 'freeGpus' | 'freeMemoryGb'>,
) => boolean {
  const classSpecs = [...new Map(specs.map((spec) => [equivalenceClassOf(spec), spec])).values()];
  const allowed = new Map<string, JobSpec[]>();
  return (m, free) => {
    const key = `${m.type}|${m.zone}|${m.spot}`;
    let here = allowed.get(key);
    if (!here) allowed.set(key, (here = classSpecs.filter((spec) => allowsMachine(spec, m))));
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

/** Finds the machine with the lowest score repeatedly, rescoring only the machines that the last placement affected. */
export class ScoredMachines {
  private readonly scores: Float64Array;

  constructor(
    private readonly machines: readonly PlanMachine[],
    private readonly scoreOf: (machine: PlanMachine) => number,
  ) {
    this.scores = Float64Array.from(machines, scoreOf);
  }

  /** The machine with the lowest finite score; undefined if there is none. */
  best(): PlanMachine | undefined {
    let at = -1;
    let lowest = Infinity;
    for (let i = 0; i < this.scores.length; i++) {
      const s = this.scores[i] ?? Infinity;
      if (s < lowest) {
        lowest = s;
        at = i;
      }
    }
    return this.machines[at];
  }

  /** Rescores the machine that a task was just placed on, and the others that the placement may have affected. */
  rescoreAfterPlacement(machine: PlanMachine, isAffected: (machine: PlanMachine) => boolean): void {
    for (const [i, other] of this.machines.entries()) {
      if (other === machine || isAffected(other)) this.scores[i] = this.scoreOf(other);
    }
  }
}

/** With less slack than this until its next objective, a gang without room accumulates machines as they become free. */
export const ACCUMULATE_SLACK_S = 40;

/**
 * Whether a gang accumulates machines that become free. Otherwise a series of smaller gangs would keep a large one from
 * ever finding enough room at once.
 */
export const accumulates = (job: PendingJob): boolean =>
  !job.suspect &&
  job.spec.kind === 'gang' &&
  !job.spec.spread &&
  (isStarved(job) || (job.slackS < ACCUMULATE_SLACK_S && job.slackS >= 0));

/** Whether the gang would fit on these machines if they were empty. If not, accumulating would only keep them idle. */
function couldEverFit({ spec, ready }: PendingJob, candidates: readonly PlanMachine[]): boolean {
  const slots = new Map<string, number>();
  const by = (need: number, there: number): number => (need <= 0 ? Infinity : Math.floor((there + EPSILON) / need));
  for (const { view } of candidates) {
    const here = Math.min(by(spec.cpus, view.cpus), by(spec.gpus, view.gpus), by(spec.memoryGb, view.memoryGb));
    const zone = spec.oneZone ? view.zone : '';
    slots.set(zone, (slots.get(zone) ?? 0) + here);
  }
  return [...slots.values()].some((count) => count >= ready.length);
}

/**
 * Adds machines that the gang could use now, no more than it needs, to `accumulated`. Only arrays without
 * GPUs may use these machines for other jobs meanwhile.
 */
export function accumulateFor(
  job: PendingJob,
  candidates: readonly PlanMachine[],
  accumulated: Set<PlanMachine>,
): void {
  if (isStarved(job) && !couldEverFit(job, candidates)) return;
  const free = candidates.filter((machine) => fits(job.spec, machine));
  const inZone = new Map<string, number>();
  for (const { view } of free) inZone.set(view.zone, (inZone.get(view.zone) ?? 0) + 1);
  const bestZone = [...inZone].sort((a, b) => b[1] - a[1] || (a[0] < b[0] ? -1 : 1))[0]?.[0];
  const here = job.spec.oneZone ? free.filter(({ view }) => view.zone === bestZone) : free;
  for (const machine of here.slice(0, job.ready.length)) accumulated.add(machine);
}

/** For {@link ScoredMachines.rescoreAfterPlacement}: the placement affects no other machine. */
export const noOtherMachine = (): boolean => false;
