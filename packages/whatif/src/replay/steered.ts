import type { PlayedMachine, Scenario } from '../night/index.js';

/** After its job's recorded end a task that the model does not run is taken for done. */
const LOST_S = 2;

/** What the record does in the replay, as long as it is followed. Times in seconds since the night began. */
export interface Steering {
  at(atS: number, work: () => void): void;
  rented(machine: PlayedMachine): void;
  joined(machine: string): void;
  returned(machine: string): void;
  began(job: string, index: number, attempt: number, machine: string): void;
  left(job: string, index: number, attempt: number, why: string): void;
  /** Its end was seen, whether or not its start was. */
  done(job: string, index: number): void;
  cause(job: string, why: string): void;
  waits(job: string, missing: number): void;
}

/**
 * Up to the moment when a plan first makes a difference, the night is as it was: machines come and go, tasks
 * start and are stopped as recorded. How long they run is worked out as everywhere, so that where the record and
 * the model disagree it shows in the finishing times.
 */
export class Steered {
  constructor(
    private readonly scenario: Scenario,
    private readonly to: Steering,
  ) {}

  begin(): void {
    const { scenario, to } = this;
    const { night } = scenario;
    for (const machine of scenario.machines) {
      const seen = night.machines.get(machine.id);
      if (!seen) continue;
      to.at(Math.max(0, seen.rentedS ?? 0), () => to.rented(machine));
      if (seen.joinedS !== null) to.at(Math.max(0, seen.joinedS), () => to.joined(machine.id));
      if (seen.returned) to.at(seen.returned.atS, () => to.returned(machine.id));
    }
    for (const [id, { attempts, waits, submittedS, ended, spec }] of night.jobs) {
      if (ended?.phase === 'done') {
        // Tasks whose end nobody told: a controller that ended had seen it. They end no later than their job.
        const told = new Set(attempts.filter((a) => a.why === 'done').map((a) => a.index));
        const rest = Array.from({ length: spec.tasks }, (_, i) => i).filter((i) => !told.has(i));
        if (rest.length > 0) to.at(ended.atS, () => rest.forEach((index) => to.done(id, index)));
        // What the model has lost all the same.
        to.at(ended.atS + LOST_S, () => told.forEach((index) => to.done(id, index)));
      }
      for (const { atS, missing } of waits) to.at(atS, () => to.waits(id, missing));
      for (const { index, attempt, machine, beganS, leftS, why, stopping } of attempts) {
        // By another controller's clock a task may begin before its job was submitted.
        if (beganS !== null) to.at(Math.max(beganS, submittedS + 0.01), () => to.began(id, index, attempt, machine));
        if (leftS === null || why === null) continue;
        // How long it runs is worked out here; a start that nobody saw is not.
        if (why === 'done') {
          to.at(Math.max(leftS, submittedS + 0.02), () => to.done(id, index));
          continue;
        }
        to.at(leftS, () => {
          if (stopping !== null) to.cause(id, stopping);
          else if (why === 'lease over' || why === 'machine gone') to.cause(id, 'machine died');
          to.left(id, index, attempt, why);
        });
      }
    }
  }
}
