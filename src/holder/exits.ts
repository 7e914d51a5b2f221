import { millis, type MachineId, type Millis } from '../kernel/index.js';
import type { ListedTask } from '../workers/index.js';
import type { HolderDeps } from './deps.js';
import type { HeldMachine } from './machine.js';
import type { ActiveTask, JobRun } from './run.js';

/** What an exit changes in the shard that the task belonged to. */
export interface ExitContext {
  readonly deps: Pick<HolderDeps, 'log' | 'runtime' | 'trail'>;
  readonly machines: ReadonlyMap<MachineId, HeldMachine>;
  /** A round follows soon, with a plan. */
  soon(): void;
  /** The task is off its machine. */
  release(machine: HeldMachine, run: JobRun, active: ActiveTask, why: string): void;
}

/** Takes in that a worker lists a task as exited, once; `active`: what this holder knew of it there. */
export function takeExit(
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
    // An adopted task seems short, and by its measure every later one slow: stragglers everywhere, and healthy
    // machines condemned and given back half a minute after a restart.
    if (active?.runningAt != null && !active.adopted && spec.kind === 'array') {
      const ranS = (now - active.runningAt) / 1000;
      const typical = run.typicalRunS;
      if (typical !== null && typical > 1 && run.finishedRunsS.length >= 3) machine.noteRun(ranS / typical);
      run.noteRun(ranS);
    }
    held.soon();
  }
  if (listed.why === 'error') onFailure(held, machine, run, index, now);
  if (listed.why === 'no-room' || listed.why === 'busy') machine.coolUntil = millis(now + 1000);
  if (listed.why === 'unknown') run.notBefore = millis(now + 1000);
  if (active) held.release(machine, run, active, listed.why ?? 'exited');
}

/** Either the machine is at fault or the job: who fails wherever it is tried condemns nobody. */
function onFailure(held: ExitContext, machine: HeldMachine, run: JobRun, index: number, now: Millis): void {
  const { log, runtime, trail } = held.deps;
  const before = run.failsEverywhere;
  run.noteError(machine.id, now, runtime.random());
  if (run.failsEverywhere) {
    if (before) return;
    for (const id of run.errorMachines) held.machines.get(id)?.absolve(run.id);
    log.info(
      { job: run.id, machines: [...run.errorMachines] },
      'a job fails wherever it is tried: it is tried again now and then, behind everything else',
    );
    return;
  }
  const known = machine.faulty(now);
  machine.noteFailure(run.id, now);
  log.debug({ job: run.id, index, machine: machine.id }, 'a task failed');
  if (known || !machine.faulty(now)) return;
  trail?.note({ kind: 'faulty', machine: machine.id });
  log.info({ machine: machine.id, job: run.id }, 'a machine fails what is started there: nothing new goes there');
}
