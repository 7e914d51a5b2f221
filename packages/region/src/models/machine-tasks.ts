import { type Runtime, type TaskKey, type Timer } from '../../../../src/kernel/index.js';
import type { RandomStream } from '../sim/index.js';
import type { Machine } from './cloud.js';
import type { GangCoordinator, GangMember } from './gangs.js';
import { ImageCache } from './image-cache.js';
import type { SimulatedJobs, SimulatedJob } from './jobs.js';

/** Phase of a task as its worker reports it. */
export type TaskPhase = 'fetching' | 'gathering' | 'running' | 'flushing' | 'exited';
/** Why a task exited, as its worker reports it. */
export type TaskExitCause = 'done' | 'stopped' | 'mates_gone' | 'alone' | 'error' | 'no_room' | 'in_use' | 'no_such';

/** Observes what really happens to tasks, whether or not the scheduler learns of it. */
export interface TaskObserver {
  /** A start command was accepted; the task fetches its image next. */
  ordered?(machine: Machine, job: SimulatedJob, index: number, attempt: number): void;
  /** The task has its image; from now on it counts as present on the machine. */
  entered(machine: Machine, job: SimulatedJob, index: number, attempt: number): void;
  /** The task runs. */
  running(machine: Machine, job: SimulatedJob, index: number, attempt: number): void;
  /** The task exited, was killed, or its machine is gone. */
  left(machine: Machine, job: SimulatedJob, index: number, attempt: number, cause: TaskExitCause | 'killed'): void;
}

/** An attempt of a task on a machine. */
export interface Task {
  readonly key: TaskKey;
  readonly index: number;
  readonly attempt: number;
  /** undefined if there is no such job; the task is refused then. */
  readonly job: SimulatedJob | undefined;
  phase: TaskPhase;
  cause: TaskExitCause | null;
  /** Its progress was saved before it exited. */
  stored: boolean;
  /** Has its image, and the observer has not been told yet that it left. */
  on: boolean;
  /** Progress in seconds at `runningAt`; while `runningAt` is null, the present progress. */
  baseProgressS: number;
  runningAt: number | null;
  timer: Timer | undefined;
  /** Its membership in the gang, once it has joined. */
  member: GangMember | undefined;
}

/** What {@link MachineTasks} depends on. */
export interface TasksDeps {
  readonly runtime: Runtime;
  readonly luck: RandomStream;
  readonly jobs: SimulatedJobs;
  readonly gangs: GangCoordinator;
  readonly watch: TaskObserver;
}

/** The tasks on one machine: fetching of images, progress, saving and exits. */
export class MachineTasks {
  private readonly tasks = new Map<string, Task>();
  private readonly images: ImageCache;
  /** Speed of this machine without slowness, between 0.95 and 1.05. */
  private readonly nominalSpeed: number;
  /** The run time of its tasks is multiplied by this. */
  slowness = 1;
  /** Every task that starts from now on fails. */
  failsTasks = false;

  constructor(
    private readonly machine: Machine,
    private readonly deps: TasksDeps,
    /** Called when something changed that the worker must report. */
    private readonly onChange: () => void,
  ) {
    const { runtime, luck } = deps;
    this.images = new ImageCache(runtime, machine.type.cacheGb, machine.type.fetchGbPerS * luck.uniform(0.67, 1.33));
    this.nominalSpeed = luck.uniform(0.95, 1.05);
  }

  /** All tasks that the machine knows, exited ones included. */
  get all(): Iterable<Task> {
    return this.tasks.values();
  }

  /** Returns an attempt that the machine knows, also an exited one. */
  find(key: TaskKey, attempt: number): Task | undefined {
    return this.tasks.get(`${key}#${attempt}`);
  }

  /** Drops a task from the reports. */
  forget({ key, attempt }: Task): void {
    this.tasks.delete(`${key}#${attempt}`);
  }

  /** Kills and forgets all tasks. */
  killAll(): void {
    for (const task of [...this.tasks.values()]) this.kill(task);
    this.tasks.clear();
  }

  /** Called when the machine hangs: tasks make no progress until `resume`. */
  pause(): void {
    this.images.pause();
    for (const task of this.tasks.values()) {
      if (task.job?.spec.shape === 'ensemble') {
        if (task.member) this.deps.gangs.onMemberLost(task.job, task.attempt, task.member, true);
      } else if (task.phase === 'running') {
        task.baseProgressS = this.progressOf(task);
        task.timer?.cancel();
        task.runningAt = null;
      }
    }
  }

  /** Called when the machine no longer hangs. */
  resume(): void {
    this.images.resume();
    for (const task of this.tasks.values()) {
      if (task.job && task.job.spec.shape !== 'ensemble' && task.phase === 'running') this.runTask(task, task.job);
    }
  }

  /** Completes a running task that is not in a gang at once, whatever run time it has left. */
  completeNow(key: string): void {
    for (const task of this.tasks.values()) {
      if (task.key !== key || task.phase !== 'running' || !task.job || task.member) continue;
      this.complete(task, task.job);
    }
  }

  private complete(task: Task, job: SimulatedJob): void {
    job.usefulS += Math.max(0, job.runS(task.index) - (job.saved.get(task.index) ?? 0));
    job.finished.add(task.index);
    this.exit(task, 'done');
  }

  /** Executes a start command for an attempt that the machine doesn't know yet. */
  start(key: TaskKey, ref: string, index: number, attempt: number): void {
    const job = this.deps.jobs.get(ref);
    const task: Task = {
      ...{ key, index, attempt, job, phase: 'fetching', cause: null, stored: false, on: false },
      ...{ baseProgressS: 0, runningAt: null, timer: undefined, member: undefined },
    };
    const others = [...this.tasks.values()].filter((other) => other.phase !== 'exited');
    this.tasks.set(`${key}#${attempt}`, task);
    this.onChange();
    if (!job || index >= job.spec.pieces) this.exit(task, 'no_such');
    else if (others.some((other) => other.key === key)) this.exit(task, 'in_use');
    else if (!this.fits(job, others)) this.exit(task, 'no_room');
    else {
      this.deps.watch.ordered?.(this.machine, job, index, attempt);
      const { bundle, pull_gb: gb } = job.spec;
      this.images.request(bundle, gb, `${key}#${attempt}`, () => this.onImageReady(task, job));
    }
  }

  private fits({ spec }: SimulatedJob, others: readonly Task[]): boolean {
    const { type } = this.machine;
    let [cpus, gpus, memory] = [spec.vcpus, spec.accelerators, spec.ram_gb];
    for (const { job } of others) {
      cpus += job?.spec.vcpus ?? 0;
      gpus += job?.spec.accelerators ?? 0;
      memory += job?.spec.ram_gb ?? 0;
    }
    const tolerance = 1e-9;
    return cpus <= type.cpus + tolerance && gpus <= type.gpus + tolerance && memory <= type.memoryGb + tolerance;
  }

  private onImageReady(task: Task, job: SimulatedJob): void {
    task.on = true;
    this.deps.watch.entered(this.machine, job, task.index, task.attempt);
    // The result of a completed task is stored, so it exits as done without running again.
    if (job.finished.has(task.index)) {
      this.exit(task, 'done');
      return;
    }
    if (job.spec.shape !== 'ensemble') {
      task.phase = 'running';
      this.deps.watch.running(this.machine, job, task.index, task.attempt);
      task.baseProgressS = job.saved.get(task.index) ?? 0;
      this.runTask(task, job);
      this.onChange();
      return;
    }
    task.phase = 'gathering';
    this.onChange();
    const member: GangMember = {
      index: task.index,
      speed: () => this.speed,
      start: () => {
        task.phase = 'running';
        this.deps.watch.running(this.machine, job, task.index, task.attempt);
        if (this.failsTasks || job.mistaken) this.scheduleFailure(task);
        this.onChange();
      },
      saving: () => {
        task.phase = 'flushing';
        this.onChange();
      },
      // On a machine that hangs the timer fires, and thus the task exits, only once the machine resumes.
      exit: (cause, stored) => {
        this.deps.runtime.after(0, () => {
          task.stored = stored;
          this.exit(task, cause);
        });
      },
    };
    task.member = member;
    this.deps.gangs.join(job, task.attempt, member);
  }

  /** Present speed; 1 is nominal. */
  private get speed(): number {
    return this.nominalSpeed / this.slowness;
  }

  /** Progress of a task in seconds. */
  private progressOf(task: Task): number {
    if (task.runningAt === null) return task.baseProgressS;
    return task.baseProgressS + ((this.deps.runtime.now() - task.runningAt) / 1000) * this.speed;
  }

  /** Lets a task make progress, and schedules its end. */
  private runTask(task: Task, job: SimulatedJob): void {
    task.runningAt = this.deps.runtime.now();
    if (this.failsTasks || job.mistaken) {
      this.scheduleFailure(task);
      return;
    }
    if (job.spec.shape === 'daemon') return;
    const leftS = Math.max(0, job.runS(task.index) - task.baseProgressS) / this.speed;
    task.timer = this.deps.runtime.after(leftS * 1000, () => this.complete(task, job));
  }

  private scheduleFailure(task: Task): void {
    task.timer = this.deps.runtime.after(this.deps.luck.uniform(300, 2500), () => {
      if (task.member && task.job) this.deps.gangs.onMemberLost(task.job, task.attempt, task.member, false);
      this.exit(task, 'error');
    });
  }

  /** Executes a stop command: the task saves and exits, or exits at once if it can't save within the grace period. */
  stop(task: Task, graceS: number): void {
    const { job } = task;
    if (!job || task.phase === 'exited') return;
    if (task.member) {
      this.deps.gangs.stop(job, task.attempt, task.member, graceS);
      return;
    }
    const { mark_every_s: saveIntervalS, mark_cost_s: saveDurationS } = job.spec;
    if (task.phase === 'flushing') {
      if (graceS === 0) this.exitWithoutSaving(task, job, 'stopped');
      return;
    }
    if (task.phase !== 'running' || saveIntervalS <= 0 || graceS < saveDurationS) {
      this.exitWithoutSaving(task, job, 'stopped');
      return;
    }
    task.timer?.cancel();
    task.baseProgressS = this.progressOf(task);
    task.runningAt = null;
    task.phase = 'flushing';
    this.onChange();
    task.timer = this.deps.runtime.after(saveDurationS * 1000, () => {
      this.saveProgress(task, job, task.baseProgressS);
      task.stored = true;
      this.exit(task, 'stopped');
    });
  }

  /** Saves progress, if it is more than what is saved already. */
  private saveProgress(task: Task, job: SimulatedJob, progressS: number): void {
    const savedS = job.saved.get(task.index) ?? 0;
    if (progressS <= savedS) return;
    job.usefulS += progressS - savedS;
    job.saved.set(task.index, progressS);
  }

  /** Exits without saving; progress up to the last periodic checkpoint is kept. */
  private exitWithoutSaving(task: Task, job: SimulatedJob, cause: TaskExitCause): void {
    this.recordProgress(task, job);
    this.exit(task, cause);
  }

  /** Keeps what periodic checkpoints have saved; the run time of a replica counts as useful work. */
  private recordProgress(task: Task, job: SimulatedJob): void {
    if (!task.on || task.member) return;
    if (job.spec.shape === 'daemon') job.usefulS += this.progressOf(task);
    else this.saveProgress(task, job, job.lastCheckpointBefore(this.progressOf(task)));
    task.baseProgressS = 0;
    task.runningAt = null;
  }

  private exit(task: Task, cause: TaskExitCause): void {
    if (task.phase === 'exited' || this.tasks.get(`${task.key}#${task.attempt}`) !== task) return;
    task.timer?.cancel();
    if (task.phase === 'fetching' && task.job) this.images.cancel(task.job.spec.bundle, `${task.key}#${task.attempt}`);
    task.phase = 'exited';
    task.cause = cause;
    this.notifyLeft(task, cause);
    this.onChange();
  }

  private notifyLeft(task: Task, cause: TaskExitCause | 'killed'): void {
    if (!task.on || !task.job) return;
    task.on = false;
    this.deps.watch.left(this.machine, task.job, task.index, task.attempt, cause);
  }

  private kill(task: Task): void {
    task.timer?.cancel();
    const { job } = task;
    if (!job || task.phase === 'exited') return;
    if (task.phase === 'fetching') this.images.cancel(job.spec.bundle, `${task.key}#${task.attempt}`);
    this.recordProgress(task, job);
    task.phase = 'exited';
    this.notifyLeft(task, 'killed');
    if (task.member) this.deps.gangs.onMemberLost(job, task.attempt, task.member, false);
  }
}
