import type { ScenarioMachine, Scenario } from '../night/index.js';

/** Delay after the recorded end of a job at which tasks that the replay does not run count as done. */
const LOST_TASK_GRACE_S = 2;

/**
 * Operations by which the record drives the replay while it is followed. Times are in seconds since the night began.
 */
export interface RecordedActions {
  /** Schedules an action that is skipped once the record is no longer followed. */
  scheduleAt(atS: number, action: () => void): void;
  machineRented(machine: ScenarioMachine): void;
  machineJoined(machine: string): void;
  /** The machine was given back to the cloud, or its boot was abandoned. */
  machineReturned(machine: string): void;
  taskStarted(job: string, index: number, attempt: number, machine: string): void;
  /** An attempt ended without completing its task. */
  taskLeft(job: string, index: number, attempt: number, why: string): void;
  /** The completion of the task was recorded, whether or not its start was. */
  taskDone(job: string, index: number): void;
  /** Counts a recorded reason for restarting a task of the job. */
  restartCause(job: string, why: string): void;
  /** A number of tasks of the job could not be placed. */
  tasksUnplaced(job: string, missing: number): void;
}

/**
 * Replays the recorded night up to the time at which a plan first makes a difference: machines join and leave, and
 * tasks start and are stopped, as recorded. Run times are still computed by the model, so that a disagreement between
 * record and model shows in the finishing times.
 */
export class RecordFollower {
  constructor(
    private readonly scenario: Scenario,
    private readonly actions: RecordedActions,
  ) {}

  /** Schedules all recorded actions of the night. */
  scheduleAll(): void {
    const { scenario, actions } = this;
    const { night } = scenario;
    for (const machine of scenario.machines) {
      const seen = night.machines.get(machine.id);
      if (!seen) continue;
      actions.scheduleAt(Math.max(0, seen.rentedS ?? 0), () => actions.machineRented(machine));
      if (seen.joinedS !== null) actions.scheduleAt(Math.max(0, seen.joinedS), () => actions.machineJoined(machine.id));
      if (seen.returned) actions.scheduleAt(seen.returned.atS, () => actions.machineReturned(machine.id));
    }
    for (const [id, { attempts, waits, submittedS, ended, spec }] of night.jobs) {
      if (ended?.phase === 'done') {
        // The completion of some tasks is missing from the record because the controller that had seen it ended. These
        // tasks end no later than their job.
        const completed = new Set(attempts.filter((a) => a.why === 'done').map((a) => a.index));
        const unrecorded = Array.from({ length: spec.tasks }, (_, i) => i).filter((i) => !completed.has(i));
        if (unrecorded.length > 0)
          actions.scheduleAt(ended.atS, () => unrecorded.forEach((index) => actions.taskDone(id, index)));
        // Covers recorded completions of tasks that the model has lost.
        actions.scheduleAt(ended.atS + LOST_TASK_GRACE_S, () =>
          completed.forEach((index) => actions.taskDone(id, index)),
        );
      }
      for (const { atS, missing } of waits) actions.scheduleAt(atS, () => actions.tasksUnplaced(id, missing));
      for (const { index, attempt, machine, beganS, leftS, why, stopping } of attempts) {
        // Clock skew between controllers can put the start of a task before the submission of its job.
        if (beganS !== null)
          actions.scheduleAt(Math.max(beganS, submittedS + 0.01), () =>
            actions.taskStarted(id, index, attempt, machine),
          );
        if (leftS === null || why === null) continue;
        // The model computes the run time, except for tasks whose start was not recorded.
        if (why === 'done') {
          actions.scheduleAt(Math.max(leftS, submittedS + 0.02), () => actions.taskDone(id, index));
          continue;
        }
        actions.scheduleAt(leftS, () => {
          if (stopping !== null) actions.restartCause(id, stopping);
          else if (why === 'lease over' || why === 'machine gone') actions.restartCause(id, 'machine died');
          actions.taskLeft(id, index, attempt, why);
        });
      }
    }
  }
}
