/** Starts the first task of arrays that have waited long. */

import type { JobSpec } from '../jobs/index.js';
import type { JobId } from '../kernel/index.js';
import { allowsMachine, allowsZone, allocate, fits, comparePending, score } from './fit.js';
import type { PlanInput, PlannedStart, PlanMachine } from './model.js';

/**
 * An array that has waited this long without a single task may start one on any machine with room, including room that
 * is kept free for GPU tasks; its other tasks keep waiting. Without this rule an array waited 90 s while all free room
 * was kept for GPU tasks.
 */
export const FIRST_TASK_AFTER_S = 60;

/** Plans the first task of each array that the plan starts nothing of and that has waited `FIRST_TASK_AFTER_S`. */
export function planFirstTasks(
  input: PlanInput,
  machines: readonly PlanMachine[],
  startedJobs: ReadonlySet<JobId>,
  withinLimit: (spec: JobSpec, count: number) => boolean,
  chargeTeam: (spec: JobSpec) => void,
  most: number,
): PlannedStart[] {
  const starts: PlannedStart[] = [];
  const late = input.pending.filter(
    ({ spec, waitedS = 0, suspect }) =>
      spec.kind === 'array' && waitedS >= FIRST_TASK_AFTER_S && !suspect && !startedJobs.has(spec.id),
  );
  for (const { spec, ready, avoid, zoneUse } of late.sort(comparePending)) {
    const [index] = ready;
    if (starts.length >= most) break;
    if (index === undefined || !withinLimit(spec, 1)) continue;
    let best: PlanMachine | undefined;
    for (const machine of machines) {
      const { view } = machine;
      if (!fits(spec, machine) || !allowsMachine(spec, view) || avoid.has(view.id)) continue;
      if (!allowsZone(spec, view.zone, zoneUse)) continue;
      if (!best || score(spec, machine, 0) < score(spec, best, 0)) best = machine;
    }
    if (!best) continue;
    allocate(spec, best);
    chargeTeam(spec);
    starts.push({ job: spec.id, index, machine: best.view.id });
  }
  return starts;
}
