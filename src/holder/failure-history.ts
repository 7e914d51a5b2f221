import type { MachineId, Millis } from '../kernel/index.js';

/** Evidence of this weight against a job or a task shows that it is itself at fault. */
const AT_FAULT_WEIGHT = 3;
/** Weight of a failure on a machine that had not failed it before. */
const NEW_MACHINE_WEIGHT = 1;
/** Weight of another failure on a machine where tasks of other jobs have run well in between. */
const WORKING_MACHINE_WEIGHT = 2;

/** Where a job, or one of its tasks, has failed, and whether that shows that it is at fault and not the machines. */
export class FailureHistory {
  private readonly lastFailedAt = new Map<MachineId, Millis>();
  private weight = 0;

  /** Records a failure. `machineHasWorkedSince` says whether tasks have run well that were started there after a time. */
  record(machine: MachineId, now: Millis, machineHasWorkedSince: (time: Millis) => boolean): void {
    const earlier = this.lastFailedAt.get(machine);
    if (earlier === undefined) this.weight += NEW_MACHINE_WEIGHT;
    else if (machineHasWorkedSince(earlier)) this.weight += WORKING_MACHINE_WEIGHT;
    this.lastFailedAt.set(machine, now);
  }

  /** Whether it has failed on so many machines, or on machines where others work, that it is at fault. */
  get showsOwnFault(): boolean {
    return this.weight >= AT_FAULT_WEIGHT;
  }

  /** The machines on which it has failed. */
  get machines(): MachineId[] {
    return [...this.lastFailedAt.keys()];
  }
}
