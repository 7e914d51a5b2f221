import { parseTaskKey, type JobId, type MachineId, type TaskKey } from '../kernel/index.js';

/** Receives from each machine's tracker which tasks are listed or pending there. */
export interface TaskIndexListener {
  /** The machine lists the task, or a start of it is pending there. */
  add(key: TaskKey, machine: MachineId): void;
  /** The task is neither listed nor pending on the machine any more. */
  remove(key: TaskKey, machine: MachineId): void;
}

const NO_MACHINES: ReadonlySet<MachineId> = new Set();

/**
 * Index from tasks to the machines of a block that list them or have a start of them pending. Exited tasks are
 * included. It is queried for every start and for every job that ends, so a query must not iterate over the block.
 */
export class TaskIndex implements TaskIndexListener {
  private readonly jobs = new Map<JobId, Map<TaskKey, Set<MachineId>>>();

  add(key: TaskKey, machine: MachineId): void {
    const job = parseTaskKey(key)?.job;
    if (job === undefined) return;
    let tasks = this.jobs.get(job);
    if (!tasks) this.jobs.set(job, (tasks = new Map()));
    const machines = tasks.get(key);
    if (machines) machines.add(machine);
    else tasks.set(key, new Set([machine]));
  }

  remove(key: TaskKey, machine: MachineId): void {
    const job = parseTaskKey(key)?.job;
    const tasks = job === undefined ? undefined : this.jobs.get(job);
    const machines = tasks?.get(key);
    if (job === undefined || !tasks || !machines?.delete(machine) || machines.size > 0) return;
    tasks.delete(key);
    if (tasks.size === 0) this.jobs.delete(job);
  }

  /** The machines that list a task or have a start of it pending. */
  machinesOfTask(key: TaskKey): ReadonlySet<MachineId> {
    const job = parseTaskKey(key)?.job;
    return (job === undefined ? undefined : this.jobs.get(job)?.get(key)) ?? NO_MACHINES;
  }

  /** True when any machine lists a task of the job or has a start of one pending. */
  hasTasksOf(job: JobId): boolean {
    return this.jobs.has(job);
  }

  /** The machines that list any task of a job or have a start of one pending. */
  machinesOfJob(job: JobId): ReadonlySet<MachineId> {
    const all = new Set<MachineId>();
    for (const machines of this.jobs.get(job)?.values() ?? []) for (const id of machines) all.add(id);
    return all;
  }
}
