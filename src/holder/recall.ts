import { groupedOf } from '../jobs/index.js';
import type { JobRun } from './run.js';

/** Takes in what a group says of a job. A task that is possibly on a machine is left to what its worker tells. */
export function recall(run: JobRun, group: unknown): void {
  if (run.ended) return;
  const done = groupedOf(group, run.id, run.spec.tasks);
  if (!done) return;
  const stored = run.stored.copy();
  for (const index of done.members()) {
    if (run.active.has(index)) continue;
    run.done.add(index);
    stored.add(index);
  }
  run.stored = stored;
}
