import { millis, type MachineId, type Millis } from '../kernel/index.js';
import type { ListedTask } from '../workers/index.js';
import type { HolderDeps } from './deps.js';
import type { HeldMachine } from './held-machine.js';
import type { ActiveTask, JobRun } from './job-run.js';

/** The parts of a shard that handling a task exit uses and changes. */
export interface ExitContext {
  readonly deps: Pick<HolderDeps, 'log' | 'runtime' | 'trail'>;
  readonly machines: ReadonlyMap<MachineId, HeldMachine>;
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
      if (medianRunS !== null && medianRunS > 1 && run.finishedRunsS.length >= 3) machine.noteRun(ranS / medianRunS);
      run.noteRun(ranS);
    }
    held.requestReplan();
  }
  if (listed.why === 'error') recordFailure(held, machine, run, index, now);
  if (listed.why === 'no-room' || listed.why === 'busy') machine.cooldownUntil = millis(now + 1000);
  if (listed.why === 'unknown') run.notBefore = millis(now + 1000);
  if (active) held.recordAttemptGone(machine, run, active, listed.why ?? 'exited');
}

/** Attributes a failure to the machine or the job. A job that fails on several machines counts against none of them. */
function recordFailure(held: ExitContext, machine: HeldMachine, run: JobRun, index: number, now: Millis): void {
  const { log, runtime, trail } = held.deps;
  const failedEverywhereBefore = run.failsEverywhere;
  run.noteError(machine.id, now, runtime.random());
  if (run.failsEverywhere) {
    if (failedEverywhereBefore) return;
    for (const id of run.errorMachines) held.machines.get(id)?.clearFailuresOf(run.id);
    log.info(
      { job: run.id, machines: [...run.errorMachines] },
      'job fails on every machine it is tried on: retrying it with backoff, after all other jobs',
    );
    return;
  }
  const wasFaulty = machine.faulty(now);
  machine.noteFailure(run.id, now);
  log.debug({ job: run.id, index, machine: machine.id }, 'task failed');
  if (wasFaulty || !machine.faulty(now)) return;
  trail?.record({ kind: 'faulty', machine: machine.id });
  log.info({ machine: machine.id, job: run.id }, 'tasks keep failing on this machine: no new tasks are placed there');
}
