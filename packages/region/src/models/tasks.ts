import { type Runtime, type TaskKey, type Timer } from '../../../../src/kernel/index.js';
import type { Luck } from '../sim/index.js';
import type { Machine } from './cloud.js';
import type { GangBook, GangMember } from './gangs.js';
import { ImageStore } from './images.js';
import type { JobBook, JobTruth } from './jobs.js';

export type Phase = 'fetching' | 'gathering' | 'running' | 'flushing' | 'exited';
export type Cause = 'done' | 'stopped' | 'mates_gone' | 'alone' | 'error' | 'no_room' | 'in_use' | 'no_such';

/** Told what truly happens to tasks, whoever knows of it. */
export interface TaskWatch {
  /** A start command was accepted: its image comes next. */
  ordered?(machine: Machine, job: JobTruth, index: number, attempt: number): void;
  /** It has its image: from now on it is on the machine. */
  entered(machine: Machine, job: JobTruth, index: number, attempt: number): void;
  running(machine: Machine, job: JobTruth, index: number, attempt: number): void;
  /** It exited, was killed, or the machine is gone. */
  left(machine: Machine, job: JobTruth, index: number, attempt: number, cause: Cause | 'killed'): void;
}

export interface Task {
  readonly key: TaskKey;
  readonly index: number;
  readonly attempt: number;
  /** undefined: refused, there is no such job. */
  readonly job: JobTruth | undefined;
  phase: Phase;
  cause: Cause | null;
  stored: boolean;
  /** It has its image, and nobody has said yet that it left. */
  on: boolean;
  baseS: number;
  runningAt: number | null;
  timer: Timer | undefined;
  member: GangMember | undefined;
}

export interface TasksDeps {
  readonly runtime: Runtime;
  readonly luck: Luck;
  readonly jobs: JobBook;
  readonly gangs: GangBook;
  readonly watch: TaskWatch;
}

/** The tasks on one machine: what they wait for, how far they are, and how they end. */
export class MachineTasks {
  private readonly tasks = new Map<string, Task>();
  private readonly images: ImageStore;
  private readonly usualSpeed: number;
  /** How much slower than usual its tasks run. */
  slowness = 1;
  /** Every task that it starts fails. */
  failsTasks = false;

  constructor(
    private readonly machine: Machine,
    private readonly deps: TasksDeps,
    /** Something that a report must tell. */
    private readonly changed: () => void,
  ) {
    const { runtime, luck } = deps;
    this.images = new ImageStore(runtime, machine.type.cacheGb, machine.type.fetchGbPerS * luck.between(0.67, 1.33));
    this.usualSpeed = luck.between(0.95, 1.05);
  }

  get all(): Iterable<Task> {
    return this.tasks.values();
  }

  held(key: TaskKey, attempt: number): Task | undefined {
    return this.tasks.get(`${key}#${attempt}`);
  }

  forget({ key, attempt }: Task): void {
    this.tasks.delete(`${key}#${attempt}`);
  }

  /** Everything is killed and forgotten. */
  killAll(): void {
    for (const task of [...this.tasks.values()]) this.kill(task);
    this.tasks.clear();
  }

  /** The machine hangs: tasks make no progress until it goes on. */
  pause(): void {
    this.images.pause();
    for (const task of this.tasks.values()) {
      if (task.job?.spec.shape === 'ensemble') {
        if (task.member) this.deps.gangs.lose(task.job, task.attempt, task.member, true);
      } else if (task.phase === 'running') {
        task.baseS = this.progress(task);
        task.timer?.cancel();
        task.runningAt = null;
      }
    }
  }

  resume(): void {
    this.images.resume();
    for (const task of this.tasks.values()) {
      if (task.job && task.job.spec.shape !== 'ensemble' && task.phase === 'running') this.work(task, task.job);
    }
  }

  /** An array's task is through now, whatever time it had left. */
  finish(key: string): void {
    for (const task of this.tasks.values()) {
      if (task.key !== key || task.phase !== 'running' || !task.job || task.member) continue;
      this.complete(task, task.job);
    }
  }

  private complete(task: Task, job: JobTruth): void {
    job.usefulS += Math.max(0, job.runS(task.index) - (job.saved.get(task.index) ?? 0));
    job.finished.add(task.index);
    this.exit(task, 'done');
  }

  /** A start command for an attempt that isn't held yet. */
  begin(key: TaskKey, ref: string, index: number, attempt: number): void {
    const job = this.deps.jobs.get(ref);
    const task: Task = {
      ...{ key, index, attempt, job, phase: 'fetching', cause: null, stored: false, on: false },
      ...{ baseS: 0, runningAt: null, timer: undefined, member: undefined },
    };
    const others = [...this.tasks.values()].filter((other) => other.phase !== 'exited');
    this.tasks.set(`${key}#${attempt}`, task);
    this.changed();
    if (!job || index >= job.spec.pieces) this.exit(task, 'no_such');
    else if (others.some((other) => other.key === key)) this.exit(task, 'in_use');
    else if (!this.fits(job, others)) this.exit(task, 'no_room');
    else {
      this.deps.watch.ordered?.(this.machine, job, index, attempt);
      const { bundle, pull_gb: gb } = job.spec;
      this.images.want(bundle, gb, `${key}#${attempt}`, () => this.enter(task, job));
    }
  }

  private fits({ spec }: JobTruth, others: readonly Task[]): boolean {
    const { type } = this.machine;
    let [cpus, gpus, memory] = [spec.vcpus, spec.accelerators, spec.ram_gb];
    for (const { job } of others) {
      cpus += job?.spec.vcpus ?? 0;
      gpus += job?.spec.accelerators ?? 0;
      memory += job?.spec.ram_gb ?? 0;
    }
    const e = 1e-9;
    return cpus <= type.cpus + e && gpus <= type.gpus + e && memory <= type.memoryGb + e;
  }

  private enter(task: Task, job: JobTruth): void {
    task.on = true;
    this.deps.watch.entered(this.machine, job, task.index, task.attempt);
    // The result of a completed task is kept.
    if (job.finished.has(task.index)) {
      this.exit(task, 'done');
      return;
    }
    if (job.spec.shape !== 'ensemble') {
      task.phase = 'running';
      this.deps.watch.running(this.machine, job, task.index, task.attempt);
      task.baseS = job.saved.get(task.index) ?? 0;
      this.work(task, job);
      this.changed();
      return;
    }
    task.phase = 'gathering';
    this.changed();
    const member: GangMember = {
      index: task.index,
      speed: () => this.speed,
      start: () => {
        task.phase = 'running';
        this.deps.watch.running(this.machine, job, task.index, task.attempt);
        if (this.failsTasks || job.mistaken) this.failSoon(task);
        this.changed();
      },
      saving: () => {
        task.phase = 'flushing';
        this.changed();
      },
      // On a machine that hangs it happens once the machine goes on.
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

  private get speed(): number {
    return this.usualSpeed / this.slowness;
  }

  private progress(task: Task): number {
    if (task.runningAt === null) return task.baseS;
    return task.baseS + ((this.deps.runtime.now() - task.runningAt) / 1000) * this.speed;
  }

  private work(task: Task, job: JobTruth): void {
    task.runningAt = this.deps.runtime.now();
    if (this.failsTasks || job.mistaken) {
      this.failSoon(task);
      return;
    }
    if (job.spec.shape === 'daemon') return;
    const leftS = Math.max(0, job.runS(task.index) - task.baseS) / this.speed;
    task.timer = this.deps.runtime.after(leftS * 1000, () => this.complete(task, job));
  }

  private failSoon(task: Task): void {
    task.timer = this.deps.runtime.after(this.deps.luck.between(300, 2500), () => {
      if (task.member && task.job) this.deps.gangs.lose(task.job, task.attempt, task.member, false);
      this.exit(task, 'error');
    });
  }

  stop(task: Task, graceS: number): void {
    const { job } = task;
    if (!job || task.phase === 'exited') return;
    if (task.member) {
      this.deps.gangs.stop(job, task.attempt, task.member, graceS);
      return;
    }
    const { mark_every_s: every, mark_cost_s: cost } = job.spec;
    if (task.phase === 'flushing') {
      if (graceS === 0) this.leaveUnsaved(task, job, 'stopped');
      return;
    }
    if (task.phase !== 'running' || every <= 0 || graceS < cost) {
      this.leaveUnsaved(task, job, 'stopped');
      return;
    }
    task.timer?.cancel();
    task.baseS = this.progress(task);
    task.runningAt = null;
    task.phase = 'flushing';
    this.changed();
    task.timer = this.deps.runtime.after(cost * 1000, () => {
      this.keep(task, job, task.baseS);
      task.stored = true;
      this.exit(task, 'stopped');
    });
  }

  private keep(task: Task, job: JobTruth, progressS: number): void {
    const before = job.saved.get(task.index) ?? 0;
    if (progressS <= before) return;
    job.usefulS += progressS - before;
    job.saved.set(task.index, progressS);
  }

  /** What its own checkpoints have saved stays; a replica's run time was of use. */
  private leaveUnsaved(task: Task, job: JobTruth, cause: Cause): void {
    this.wrapUp(task, job);
    this.exit(task, cause);
  }

  private wrapUp(task: Task, job: JobTruth): void {
    if (!task.on || task.member) return;
    if (job.spec.shape === 'daemon') job.usefulS += this.progress(task);
    else this.keep(task, job, job.checkpoint(this.progress(task)));
    task.baseS = 0;
    task.runningAt = null;
  }

  private exit(task: Task, cause: Cause): void {
    if (task.phase === 'exited' || this.tasks.get(`${task.key}#${task.attempt}`) !== task) return;
    task.timer?.cancel();
    if (task.phase === 'fetching' && task.job) this.images.leave(task.job.spec.bundle, `${task.key}#${task.attempt}`);
    task.phase = 'exited';
    task.cause = cause;
    this.off(task, cause);
    this.changed();
  }

  private off(task: Task, cause: Cause | 'killed'): void {
    if (!task.on || !task.job) return;
    task.on = false;
    this.deps.watch.left(this.machine, task.job, task.index, task.attempt, cause);
  }

  private kill(task: Task): void {
    task.timer?.cancel();
    const { job } = task;
    if (!job || task.phase === 'exited') return;
    if (task.phase === 'fetching') this.images.leave(job.spec.bundle, `${task.key}#${task.attempt}`);
    this.wrapUp(task, job);
    task.phase = 'exited';
    this.off(task, 'killed');
    if (task.member) this.deps.gangs.lose(job, task.attempt, task.member, false);
  }
}
