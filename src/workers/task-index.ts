import { parseTaskKey, type JobId, type MachineId, type TaskKey } from '../kernel/index.js';

/** Told by each machine's belief which tasks it names from now on, or no more. */
export interface Mentions {
  enter(key: TaskKey, machine: MachineId): void;
  leave(key: TaskKey, machine: MachineId): void;
}

const NOBODY: ReadonlySet<MachineId> = new Set();

/**
 * Which machines of a block name a task, exited or pending ones included: asked for every start and
 * for every job that ends, so it must not be found by a walk through the block.
 */
export class TaskIndex implements Mentions {
  private readonly jobs = new Map<JobId, Map<TaskKey, Set<MachineId>>>();

  enter(key: TaskKey, machine: MachineId): void {
    const job = parseTaskKey(key)?.job;
    if (job === undefined) return;
    let tasks = this.jobs.get(job);
    if (!tasks) this.jobs.set(job, (tasks = new Map()));
    const machines = tasks.get(key);
    if (machines) machines.add(machine);
    else tasks.set(key, new Set([machine]));
  }

  leave(key: TaskKey, machine: MachineId): void {
    const job = parseTaskKey(key)?.job;
    const tasks = job === undefined ? undefined : this.jobs.get(job);
    const machines = tasks?.get(key);
    if (job === undefined || !tasks || !machines?.delete(machine) || machines.size > 0) return;
    tasks.delete(key);
    if (tasks.size === 0) this.jobs.delete(job);
  }

  machinesOf(key: TaskKey): ReadonlySet<MachineId> {
    const job = parseTaskKey(key)?.job;
    return (job === undefined ? undefined : this.jobs.get(job)?.get(key)) ?? NOBODY;
  }

  names(job: JobId): boolean {
    return this.jobs.has(job);
  }

  /** The machines that name any task of a job. */
  machinesOfJob(job: JobId): ReadonlySet<MachineId> {
    const all = new Set<MachineId>();
    for (const machines of this.jobs.get(job)?.values() ?? []) for (const id of machines) all.add(id);
    return all;
  }
}
