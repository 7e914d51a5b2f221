import { millis, type Millis } from '../kernel/index.js';
import type { ListedTask } from '../workers/index.js';
import type { HolderDeps } from './deps.js';
import type { HeldMachine } from './held-machine.js';
import type { TaskFailure } from './job-failures.js';
import type { ActiveTask, JobRun } from './job-run.js';

/** The parts of a shard that handling a task exit uses and changes. */
export interface ExitContext {
  readonly deps: Pick<HolderDeps, 'log' | 'runtime' | 'trail'>;
  /** Requests a reconcile round with a new placement plan. */
  requestReplan(): void;
  /** Records that a task is no longer on its machine. */
  recordAttemptGone(machine: HeldMachine, run: JobRun, active: ActiveTask, why: string): void;
}

/**
 * Handles a task that a worker lists as exited. Called once per exit. `active` is the attempt as this holder tracks it
 * on that machine, or undefined when it tracks none.
 */
export function handleExit(
  held: ExitContext,
  machine: HeldMachine,
  run: JobRun,
  listed: ListedTask,
  active: ActiveTask | undefined,
  now: Millis,
): void {
  const { spec } = run;
  const { index } = listed;
  if (listed.why === 'done' && run.markDone(index)) {
    machine.noteImage(spec.image);
    // The start time of an adopted task is not known, so its run time comes out too short. Counting it made later tasks
    // look like stragglers half a minute after a restart, and healthy machines were marked faulty and returned.
    if (active?.runningAt != null && !active.adopted && spec.kind === 'array') {
      const ranS = (now - active.runningAt) / 1000;
      const medianRunS = run.medianRunS;
      if (medianRunS !== null && medianRunS > 1 && run.finishedRunsS.length >= 3)
        machine.noteRun(run.id, ranS / medianRunS, now);
      run.noteRun(ranS);
    }
    held.requestReplan();
  }
  if (listed.why === 'done' && active) machine.noteWorked(active, now);
  if (listed.why === 'error') recordFailure(held, machine, run, { index, ranMs: runTimeMs(active, now) }, now);
  if (listed.why === 'no-room' || listed.why === 'busy') machine.cooldownUntil = millis(now + 1000);
  if (listed.why === 'unknown') run.notBefore = millis(now + 1000);
  if (active) held.recordAttemptGone(machine, run, active, listed.why ?? 'exited');
}

/** How long an attempt has run; 0 if that is not known. */
function runTimeMs(active: ActiveTask | undefined, now: Millis): number {
  return active?.runningAt == null || active.adopted ? 0 : now - active.runningAt;
}

/** Records a failure, which the machine and the job then judge by all that is known of either. */
function recordFailure(
  held: ExitContext,
  machine: HeldMachine,
  run: JobRun,
  failure: Pick<TaskFailure, 'index' | 'ranMs'>,
  now: Millis,
): void {
  const { log, runtime, trail } = held.deps;
  const failedEverywhereBefore = run.failsEverywhere;
  const becameSuspended = machine.noteFailure(run, failure, now, runtime.random());
  log.debug({ job: run.id, index: failure.index, machine: machine.id }, 'task failed');
  if (run.failsEverywhere && !failedEverywhereBefore)
    log.info(
      { job: run.id, machines: run.failures.machines },
      'job fails on every machine it is tried on: retrying it with backoff, after all other jobs',
    );
  if (!becameSuspended) return;
  trail?.record({ kind: 'faulty', machine: machine.id });
  log.info({ machine: machine.id, job: run.id }, 'tasks keep failing on this machine: no new tasks are placed there');
}
