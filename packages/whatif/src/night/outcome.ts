import type { JobSpec } from '../../../../src/jobs/index.js';
import type { Night, RecordedJob } from './night.js';

/** The result of one job in a recorded or replayed night. All times are in seconds since the night began. */
export interface JobOutcome {
  readonly id: string;
  readonly spec: JobSpec;
  readonly submittedS: number;
  /** Start of the first task, or null if no start was recorded. */
  readonly startedS: number | null;
  /** Time at which the job was done or cancelled, or null if it was still open when the night ended. */
  readonly finishedS: number | null;
  readonly phase: 'done' | 'cancelled' | null;
  /** Number of task starts beyond the first start of each task. */
  readonly restarts: number;
  /** Seconds from submission to the first start of each started task. */
  readonly waitsS: readonly number[];
  /** Causes that determined the finishing time, the most important first. */
  readonly decided: readonly string[];
}

/** A longer delay before the first start is reported as a cause, even if the record names no lack of room. */
const REPORTED_START_DELAY_S = 5;

/** Returns the causes that determined when a job finished, the most important first. */
function finishCauses(job: RecordedJob, firstStartS: number | null): string[] {
  const causes: string[] = [];
  const lost = job.attempts.filter((a) => a.why === 'lease over' || a.why === 'machine gone').length;
  const stoppedFor = (why: string): number => job.attempts.filter((a) => a.stopping === why).length;
  const failed = job.attempts.filter((a) => a.why === 'error').length;
  if (lost > 0) causes.push(`machine died under ${lost} of its tasks`);
  if (stoppedFor('preempted') > 0) causes.push(`${stoppedFor('preempted')} tasks gave way to others`);
  if (stoppedFor('notice') > 0) causes.push(`${stoppedFor('notice')} tasks left machines that were taken back`);
  if (stoppedFor('drain') > 0) causes.push(`${stoppedFor('drain')} tasks left drained machines`);
  if (stoppedFor('straggler') > 0) causes.push(`${stoppedFor('straggler')} stragglers were restarted`);
  if (failed > 0) causes.push(`${failed} tasks failed`);
  const startDelayS = firstStartS === null ? null : firstStartS - job.submittedS;
  const [wait] = job.waits;
  if (wait && job.spec.kind === 'gang') causes.push(`waited for room for its gang of ${job.spec.tasks}`);
  else if (wait) causes.push(`waited for machines (${wait.missing} of ${job.spec.tasks} tasks had no room)`);
  else if (startDelayS !== null && startDelayS > REPORTED_START_DELAY_S)
    causes.push('waited for its image, or for its turn');
  return causes.length > 0 ? causes : ['its own run time'];
}

/** Derives the outcome of one job from its recorded attempts. */
export function jobOutcome(job: RecordedJob): JobOutcome {
  const firstStarts = new Map<number, number>();
  let starts = 0;
  for (const { index, beganS } of job.attempts) {
    if (beganS === null) continue;
    starts += 1;
    firstStarts.set(index, Math.min(firstStarts.get(index) ?? Infinity, beganS));
  }
  const startedS = firstStarts.size > 0 ? [...firstStarts.values()].reduce((a, b) => Math.min(a, b)) : null;
  return {
    ...{ id: job.spec.id, spec: job.spec, submittedS: job.submittedS, startedS },
    ...{ finishedS: job.ended?.atS ?? null, phase: job.ended?.phase ?? null, restarts: starts - firstStarts.size },
    waitsS: [...firstStarts.values()].map((at) => Math.max(0, at - job.submittedS)),
    decided: finishCauses(job, startedS),
  };
}

/** Returns the outcome of every job of a night, by job id. */
export const jobOutcomes = (night: Night): Map<string, JobOutcome> =>
  new Map([...night.jobs].map(([id, job]) => [id, jobOutcome(job)]));
