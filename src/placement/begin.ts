import type { JobSpec } from '../jobs/index.js';
import type { JobId } from '../kernel/index.js';
import { allowedKind, allowedZone, book, fits, pendingOrder, score } from './fit.js';
import type { PlanInput, PlannedStart, Room } from './model.js';

/**
 * Nothing waits for long beside a machine that has room for it. Seen as an array that waited 90 s while all that was free was
 * kept for work with accelerators: what has waited so long without a task begins with one, there too. The rest of it
 * waits for room of its own.
 */
export const BEGINS_S = 60;

/** First tasks of arrays that found no room in the plan and have waited long. */
export function firstTasks(
  input: PlanInput,
  rooms: readonly Room[],
  begun: ReadonlySet<JobId>,
  withinLimit: (spec: JobSpec, count: number) => boolean,
  charge: (spec: JobSpec) => void,
  most: number,
): PlannedStart[] {
  const starts: PlannedStart[] = [];
  const late = input.pending.filter(
    ({ spec, waitedS = 0, suspect }) => spec.kind === 'array' && waitedS >= BEGINS_S && !suspect && !begun.has(spec.id),
  );
  for (const { spec, ready, avoid, zoneUse } of late.sort(pendingOrder)) {
    const [index] = ready;
    if (starts.length >= most) break;
    if (index === undefined || !withinLimit(spec, 1)) continue;
    let best: Room | undefined;
    for (const room of rooms) {
      const { view } = room;
      if (!fits(spec, room) || !allowedKind(spec, view) || avoid.has(view.id)) continue;
      if (!allowedZone(spec, view.zone, zoneUse)) continue;
      if (!best || score(spec, room, 0) < score(spec, best, 0)) best = room;
    }
    if (!best) continue;
    book(spec, best);
    charge(spec);
    starts.push({ job: spec.id, index, machine: best.view.id });
  }
  return starts;
}
