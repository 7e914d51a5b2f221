import { groupedProgressOf } from '../jobs/index.js';
import type { JobRun } from './job-run.js';

/**
 * Marks the tasks of a job that a stored progress group lists as done. Tasks that may be on a machine are skipped:
 * their worker reports how they end.
 */
export function applyGroupedProgress(run: JobRun, group: unknown): void {
  if (run.ended) return;
  const done = groupedProgressOf(group, run.id, run.spec.tasks);
  if (!done) return;
  const stored = run.stored.copy();
  for (const index of done.members()) {
    if (run.active.has(index)) continue;
    run.done.add(index);
    stored.add(index);
  }
  run.stored = stored;
}
