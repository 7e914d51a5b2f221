import type { HeldShardState } from './held-shard-state.js';
import type { JobSpec } from '../jobs/index.js';
import { jobId, type Millis } from '../kernel/index.js';
import { chooseRestarts, flagStragglers, resourceTerm, type StragglerFlag } from '../speculation/index.js';
import { JobRun, type ActiveTask } from './job-run.js';

/**
 * Whether a task must be stopped on a machine that is reclaimed in `leftS` seconds. A task that checkpoints runs until
 * there is just time to save; one that does not may stay only if it is expected to finish in time. Services, and tasks
 * that do not run yet, always have to go.
 */
export function mustStopBeforeReclaim(spec: JobSpec, running: boolean, expectedLeftS: number, leftS: number): boolean {
  if (spec.kind === 'service' || !running) return true;
  if (spec.checkpointS > 0) return leftS < spec.saveS + 3;
  return expectedLeftS > leftS;
}

/**
 * Stops tasks that have to leave their machine: stragglers, by the adaptive threshold, and all on drained or reclaimed
 * machines.
 */
export class TaskEvictor {
  constructor(private readonly held: HeldShardState) {}

  /** Stops tasks on drained machines and on those that the cloud provider reclaims after a notice. */
  evictForDrainsAndNotices(now: Millis): void {
    const drained = this.held.deps.operatorSettings().drained;
    for (const machine of this.held.machines.values()) {
      const leftS = machine.noticeUntil === null ? null : (machine.noticeUntil - now) / 1000;
      const drain = drained.has(machine.id);
      if (leftS === null && !drain) continue;
      for (const { run, task } of [...machine.active.values()]) {
        if (task.stopping) continue;
        if (drain) this.held.stopWithGang(run, task, 'drain');
        else if (leftS !== null && this.mustStop(run, task, leftS, now)) this.held.stopWithGang(run, task, 'notice');
      }
    }
  }

  /** Whether a task must be stopped on a machine that is reclaimed in `leftS` seconds. */
  private mustStop(run: JobRun, active: ActiveTask, leftS: number, now: Millis): boolean {
    const expectedLeftS = run.expectedRunS - (now - (active.runningAt ?? now)) / 1000;
    return mustStopBeforeReclaim(run.spec, active.state === 'running', expectedLeftS, leftS);
  }

  /** Stops stragglers of array jobs so that they are started again on other machines. */
  restartStragglers(now: Millis): void {
    const tunables = this.held.deps.operatorSettings().tunables;
    const booked: { cpu: number; memory: number }[] = [];
    const late = new Set<string>();
    for (const machine of this.held.machines.values()) {
      const b = this.held.bookingOf(machine, now);
      if (b?.known) booked.push({ cpu: 1 - b.freeCpus / b.type.cpus, memory: 1 - b.freeMemoryGb / b.type.memoryGb });
      if (now - machine.tracker.lastMessageAt > 2 * this.held.deps.settings.workers.reportMs) late.add(machine.id);
    }
    const r = resourceTerm(booked, tunables);
    const flags: StragglerFlag[] = [];
    const running = new Map<string, number>();
    const wall = this.held.deps.runtime.wall();
    for (const run of this.held.jobs.values()) {
      if (run.ended || run.spec.kind !== 'array' || run.startedAt === null) continue;
      const started = run.startedAt;
      const tasks = [...run.active.values()].filter(
        (a) => a.state === 'running' && a.runningAt !== null && !a.stopping,
      );
      running.set(run.id, tasks.length);
      const startedWall = wall - (now - started);
      flags.push(
        ...flagStragglers(
          {
            job: run.id,
            tasks: run.spec.tasks,
            finished: run.done.count,
            finishedRunsS: run.finishedRunsS,
            estimateS: run.spec.estimateS,
            deadlineS: run.spec.deadlineS === null ? null : run.spec.deadlineS - (startedWall - run.submittedAt) / 1000,
            running: tasks.map((a) => ({
              index: a.index,
              machine: a.machine,
              elapsedS: (now - (a.runningAt ?? now)) / 1000,
              startedAfterS: ((a.runningAt ?? now) - started) / 1000,
              restarted: run.restarted.has(a.index),
            })),
          },
          r,
          tunables,
        ),
      );
    }
    for (const flag of chooseRestarts(flags, running, late, tunables)) {
      const run = this.held.jobs.get(jobId(flag.job));
      const active = run?.active.get(flag.index);
      if (!run || !active) continue;
      run.restarted.add(flag.index);
      run.avoidMachine(active.machine, now);
      this.held.stop(run, active, 'straggler');
      this.held.deps.log.info(
        { job: run.id, index: flag.index, machine: flag.machine, threshold: flag.threshold, estimateS: flag.estimateS },
        'stopping a straggler to restart it on another machine',
      );
    }
  }
}
