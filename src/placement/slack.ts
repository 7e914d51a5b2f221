/** How much time a job has until it misses its deadline or the objectives of its class. */

import type { JobSpec } from '../jobs/index.js';

/** How much longer an array's slowest task runs than the median; the array ends with its slowest task. */
const SLOWEST_TASK_FACTOR = 1.3;
/** Time allowed for arrays without a deadline or an objective. */
const DEFAULT_ARRAY_OBJECTIVE_S = 900;
/** Time allowed for other jobs without a deadline or an objective. */
const DEFAULT_OBJECTIVE_S = 120;

/** A service level objective of a job class. */
export interface ClassObjective {
  /** 'wait': the job starts in time; 'finished': it finishes in time; other kinds don't affect the slack. */
  readonly kind: string;
  readonly jobClass: string | null;
  /** Seconds; null if the objective sets no time. */
  readonly withinS: number | null;
}

/** The time that a job has left. */
export interface Slack {
  /** Seconds until it misses its next objective. */
  readonly slackS: number;
  /** Seconds until it misses the last of its objectives; below zero all are missed. */
  readonly lastSlackS: number;
  /** Whether it has a deadline or its class has an objective. */
  readonly aimed: boolean;
}

/** Since when the objectives of a class count, and whether they apply in addition to a deadline. */
export interface ObjectiveTiming {
  /** Seconds since the objectives began to count. */
  readonly sinceS: number;
  /**
   * Whether objectives apply also with a deadline: the deadline comes from jobs that need this one, and its class's
   * objectives stay.
   */
  readonly always: boolean;
}

/**
 * Seconds until the job misses its next and its last objective, by its deadline and the objectives of its class. A
 * deadline counts from the submission, `sinceS` seconds ago; objectives count from when the job could start (see
 * `timing`). A deadline replaces the objectives unless `timing.always` is set.
 */
export function slackOf(
  spec: JobSpec,
  sinceS: number,
  expectedRunS: number,
  objectives: readonly ClassObjective[],
  timing: ObjectiveTiming = { sinceS, always: false },
): Slack {
  const runS = expectedRunS * (spec.kind === 'array' && spec.tasks > 1 ? SLOWEST_TASK_FACTOR : 1);
  const left: number[] = [];
  if (spec.deadlineS !== null) left.push(spec.deadlineS - runS - sinceS);
  if (spec.deadlineS === null || timing.always) {
    for (const objective of objectives) {
      if (objective.jobClass !== spec.jobClass || objective.withinS === null) continue;
      if (objective.kind === 'wait') left.push(objective.withinS - timing.sinceS);
      if (objective.kind === 'finished') left.push(objective.withinS - runS - timing.sinceS);
    }
  }
  const aimed = left.length > 0;
  // Arrays without a deadline or an objective use idle machines; all other jobs are to start soon.
  if (!aimed) left.push((spec.kind === 'array' ? DEFAULT_ARRAY_OBJECTIVE_S : DEFAULT_OBJECTIVE_S) - timing.sinceS);
  const ahead = left.filter((t) => t >= 0);
  const lastSlackS = Math.max(...left);
  return { slackS: ahead.length > 0 ? Math.min(...ahead) : lastSlackS, lastSlackS, aimed };
}
