import type { MachineId } from '../kernel/index.js';

/** Evidence of this weight against a job or a task shows that it is itself at fault. */
const AT_FAULT_WEIGHT = 3;
/** Weight of a failure on a machine that had not failed it before. */
const NEW_MACHINE_WEIGHT = 1;
/** Weight of another failure on a machine where tasks have run well in between. */
const WORKING_MACHINE_WEIGHT = 2;

/** Where a job, or one of its tasks, has failed, and whether that shows that it is at fault and not the machines. */
export class FailureHistory {
  private readonly failedOn: Set<MachineId>;
  private weight: number;

  /** `failedOn`: machines on which it has failed before. */
  constructor(failedOn: readonly MachineId[] = []) {
    this.failedOn = new Set(failedOn);
    this.weight = this.failedOn.size * NEW_MACHINE_WEIGHT;
  }

  /** Records a failure. `hasWorkedSince`: tasks have run well on the machine since it last failed there. */
  record(machine: MachineId, hasWorkedSince: boolean): void {
    if (!this.failedOn.has(machine)) this.weight += NEW_MACHINE_WEIGHT;
    else if (hasWorkedSince) this.weight += WORKING_MACHINE_WEIGHT;
    this.failedOn.add(machine);
  }

  /** Whether it has failed on so many machines, or on machines where others work, that it is at fault. */
  get showsOwnFault(): boolean {
    return this.weight >= AT_FAULT_WEIGHT;
  }

  /** The machines on which it has failed. */
  get machines(): MachineId[] {
    return [...this.failedOn];
  }
}
