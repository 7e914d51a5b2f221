import type { JobSpec } from '../../../../src/jobs/index.js';
import type { JobSeen, Night } from './night.js';

/** What became of one job in a night, recorded or replayed. Times in seconds since the night began. */
export interface Outcome {
  readonly id: string;
  readonly spec: JobSpec;
  readonly submittedS: number;
  /** First task's start; null: none was seen. */
  readonly startedS: number | null;
  /** It is over, done or taken back; null: it was not when the night ended. */
  readonly finishedS: number | null;
  readonly phase: 'done' | 'cancelled' | null;
  /** Starts beyond each task's first. */
  readonly restarts: number;
  /** Seconds from submission to each task's first start. */
  readonly waitsS: readonly number[];
  readonly decided: readonly string[];
}

const WAITED_S = 5;

/** What decided when a job finished, the weightiest first. */
function decidedBy(job: JobSeen, firstS: number | null): string[] {
  const said: string[] = [];
  const gone = job.attempts.filter((a) => a.why === 'lease over' || a.why === 'machine gone').length;
  const told = (why: string): number => job.attempts.filter((a) => a.stopping === why).length;
  const failed = job.attempts.filter((a) => a.why === 'error').length;
  if (gone > 0) said.push(`machine died under ${gone} of its tasks`);
  if (told('preempted') > 0) said.push(`${told('preempted')} tasks gave way to others`);
  if (told('notice') > 0) said.push(`${told('notice')} tasks left machines that were taken back`);
  if (told('drain') > 0) said.push(`${told('drain')} tasks left drained machines`);
  if (told('straggler') > 0) said.push(`${told('straggler')} stragglers were restarted`);
  if (failed > 0) said.push(`${failed} tasks failed`);
  const waitedS = firstS === null ? null : firstS - job.submittedS;
  const [wait] = job.waits;
  if (wait && job.spec.kind === 'gang') said.push(`waited for room for its gang of ${job.spec.tasks}`);
  else if (wait) said.push(`waited for machines (${wait.missing} of ${job.spec.tasks} tasks had no room)`);
  else if (waitedS !== null && waitedS > WAITED_S) said.push('waited for its image, or for its turn');
  return said.length > 0 ? said : ['its own run time'];
}

export function outcomeOf(job: JobSeen): Outcome {
  const firsts = new Map<number, number>();
  let starts = 0;
  for (const { index, beganS } of job.attempts) {
    if (beganS === null) continue;
    starts += 1;
    firsts.set(index, Math.min(firsts.get(index) ?? Infinity, beganS));
  }
  const startedS = firsts.size > 0 ? [...firsts.values()].reduce((a, b) => Math.min(a, b)) : null;
  return {
    ...{ id: job.spec.id, spec: job.spec, submittedS: job.submittedS, startedS },
    ...{ finishedS: job.ended?.atS ?? null, phase: job.ended?.phase ?? null, restarts: starts - firsts.size },
    waitsS: [...firsts.values()].map((at) => Math.max(0, at - job.submittedS)),
    decided: decidedBy(job, startedS),
  };
}

export const outcomesOf = (night: Night): Map<string, Outcome> =>
  new Map([...night.jobs].map(([id, job]) => [id, outcomeOf(job)]));
