/** How much of the waiting work needs machines beyond those that become free in time. */
import type { JobSpec } from '../jobs/index.js';
import { slotsThatFit, type AssignmentInput, type JobDemand } from './capacity.js';

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

/** How much earlier than needed a machine is rented for a job that is not ready yet, as estimates are often wrong. */
const RENT_AHEAD_S = 5;

/** Returns the demand of arrays that will be ready about when a machine that is rented now would be up. */
export function upcomingDemand(input: AssignmentInput): JobDemand[] {
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
export function capArrayDemand(demands: readonly JobDemand[], input: AssignmentInput, timeShare: number): void {
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
export function capGangDemand(demands: readonly JobDemand[], input: AssignmentInput): void {
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
