import TinyQueue from 'tinyqueue';
import type { JobSpec } from '../../../../src/jobs/index.js';
import type { JobId, MachineId } from '../../../../src/kernel/index.js';
import type { GpuReserve } from '../../../../src/placement/index.js';
import { DEFAULT_TUNABLES, type Tunables } from '../../../../src/speculation/index.js';
import { Luck, type Script, type ScriptedMachine } from '../../../region/src/index.js';
import type { Scenario } from '../night/index.js';
import type { Standing } from './engine.js';
import { SimMachine, type Running, type TypeFacts } from './fleet.js';
import { SimJob } from './job.js';
import { runsOf, scriptMachines } from './script.js';
import { ORDER_S, ROUND_S, TOLD_S, WRITE_S } from './timing.js';

interface Happening {
  readonly at: number;
  readonly order: number;
  readonly work: () => void;
}

/** A machine that is rented and not up yet. */
export interface Loose {
  readonly id: MachineId;
  readonly type: TypeFacts;
  readonly zone: string;
  readonly spot: boolean;
  readonly rentedS: number;
  readonly script: ScriptedMachine;
}

/**
 * Jobs and their tasks, from their arrival to their end. Its parts build on each other: tasks, then machines, then the
 * decisions.
 */
export abstract class SimTasks {
  protected readonly queue = new TinyQueue<Happening>([], (a, b) => a.at - b.at || a.order - b.order);
  protected order = 0;
  protected now = 0;
  protected readonly jobs = new Map<JobId, SimJob>();
  /** Not over yet. */
  protected readonly open = new Map<JobId, SimJob>();
  protected readonly machines = new Map<MachineId, SimMachine>();
  protected readonly loose = new Map<MachineId, Loose>();
  protected readonly made = new Map<string, number>();
  protected readonly held = new Map<string, number>();
  protected readonly refused = new Map<string, number>();
  protected readonly types: ReadonlyMap<string, TypeFacts>;
  protected readonly tunables: Tunables;
  protected readonly luck: Luck;
  protected readonly machineScript: Script['machine'];
  protected readonly timeline: Standing[] = [];
  protected readonly teams: ReadonlyMap<string, { readonly cpusMax: number; readonly gpusMax: number }>;
  protected readonly teamUse = new Map<string, { cpus: number; gpus: number }>();
  protected readonly rentedAt = new Map<MachineId, number>();
  protected readonly headroom = new Map<string, JobSpec>();
  protected reserve: GpuReserve | null = null;
  protected roundPlanned = false;
  /** The record says what is started and stopped. */
  protected steered: boolean;
  protected batchLeft = 0;
  protected spent = 0;
  protected names = 0;

  constructor(
    protected readonly scenario: Scenario,
    seed: number,
  ) {
    const { facts } = scenario;
    this.luck = new Luck(seed, 'decisions');
    this.steered = scenario.freeFromS > 0;
    this.types = new Map(facts.types.map((type) => [type.name, type]));
    this.tunables = { ...DEFAULT_TUNABLES, ...facts.settings.tunables };
    this.machineScript = scriptMachines(scenario, 0, this.luck.fork('boots')).of;
    this.teams = new Map(Object.entries(facts.teams).filter(([, t]) => t.cpusMax > 0 || t.gpusMax > 0));
    for (const name of this.teams.keys()) this.teamUse.set(name, { cpus: 0, gpus: 0 });
  }

  protected plan(at: number, work: () => void): void {
    this.queue.push({ at: Math.max(at, this.now), order: this.order++, work });
  }

  protected soon(): void {
    if (this.steered || this.roundPlanned) return;
    this.roundPlanned = true;
    this.plan(this.now + ROUND_S, () => {
      this.roundPlanned = false;
      this.round();
    });
  }

  protected abstract round(): void;

  // ---- jobs

  protected arrive(played: Scenario['jobs'][number]): void {
    const luck = this.luck.fork('runs');
    const job = new SimJob(played, this.now, runsOf(played, this.scenario, luck));
    const { spec } = job;
    this.jobs.set(spec.id, job);
    this.open.set(spec.id, job);
    if (spec.gpus > 0)
      this.reserve = {
        cpus: Math.max(this.reserve?.cpus ?? 0, spec.cpus),
        memoryGb: Math.max(this.reserve?.memoryGb ?? 0, spec.memoryGb),
      };
    if (played.cancelAtS !== null) this.plan(played.cancelAtS, () => this.end(job, 'cancelled'));
    this.soon();
  }

  protected end(job: SimJob, phase: 'done' | 'cancelled'): void {
    if (job.ended) return;
    job.ended = { atS: this.now, phase };
    this.open.delete(job.spec.id);
    if (job.spec.kind !== 'service' && !job.played.mistaken) this.batchLeft -= 1;
    for (const task of job.active.values()) this.stop(task, 'cancelled', 0);
    this.soon();
  }

  // ---- tasks

  protected charge(machine: SimMachine): void {
    const { type, spot, upAtS } = machine;
    this.spent += (Math.max(60, this.now - upAtS) / 3600) * (spot ? type.spotPrice : type.price);
  }

  protected use(spec: JobSpec, sign: 1 | -1): void {
    const use = this.teamUse.get(spec.team);
    if (!use) return;
    use.cpus += sign * spec.cpus;
    use.gpus += sign * spec.gpus;
  }

  protected start(job: SimJob, index: number, machine: SimMachine, attempt = 0): Running {
    const task: Running = { job, index, attempt, machine, beganS: null, stopping: null, dead: false, done: null };
    job.active.set(index, task);
    machine.add(task);
    this.use(job.spec, 1);
    return task;
  }

  /** When its image is there: fetches of a machine share its line. */
  protected fetched(spec: JobSpec, machine: SimMachine): number {
    if (spec.image === '' || machine.images.includes(spec.image)) return this.now + ORDER_S;
    const gbPerS = machine.type.fetchGbPerS * machine.fetchLuck;
    const from = Math.max(this.now, machine.fetchFreeS);
    machine.fetchFreeS = from + spec.imageGb / Math.max(0.001, gbPerS);
    machine.fetching += 1;
    const at = machine.fetchFreeS;
    machine.noteImage(spec.image);
    this.plan(at, () => {
      machine.fetching -= 1;
      machine.changed();
    });
    return at + ORDER_S;
  }

  protected startArray(job: SimJob, index: number, machine: SimMachine): void {
    const task = this.start(job, index, machine);
    this.plan(this.fetched(job.spec, machine), () => this.run(task, job));
  }

  protected run(task: Running, job: SimJob): void {
    if (task.stopping !== null || task.dead || job.active.get(task.index) !== task) return;
    const { machine, index } = task;
    if (job.played.mistaken || (machine.failsFromS !== null && this.now >= machine.failsFromS)) {
      this.plan(this.now + TOLD_S, () => this.failed(task, job));
      return;
    }
    task.beganS = this.now;
    job.began(index, this.now);
    if (job.spec.kind === 'service') return;
    const leftS = Math.max(0.05, (job.runS(index) - (job.saved.get(index) ?? 0)) * machine.slowness);
    const done = { cancelled: false };
    task.done = done;
    this.plan(this.now + leftS + TOLD_S, () => {
      if (!done.cancelled) this.completed(task, job);
    });
  }

  protected completed(task: Running, job: SimJob): void {
    const ranS = this.now - (task.beganS ?? this.now);
    this.leave(task, job);
    job.markDone(task.index);
    if (job.spec.kind === 'array') job.noteRun(ranS);
    this.checkDone(job);
  }

  protected checkDone(job: SimJob): void {
    if (job.doneCount >= job.spec.tasks)
      this.plan(this.now + (job.played.writeS ?? WRITE_S), () => this.end(job, 'done'));
  }

  protected startGang(job: SimJob, starts: readonly { readonly index: number; readonly machine: SimMachine }[]): void {
    const tasks = starts.map(({ index, machine }) => this.start(job, index, machine));
    const readyAt = Math.max(...tasks.map(({ machine }) => this.fetched(job.spec, machine)));
    this.plan(readyAt + TOLD_S, () => {
      if (tasks.some((task) => task.stopping !== null || task.dead || job.active.get(task.index) !== task)) {
        for (const task of tasks) this.stop(task, 'regroup', 0);
        return;
      }
      if (job.played.mistaken) {
        for (const task of tasks) this.failed(task, job);
        return;
      }
      this.runGang(job, tasks);
    });
  }

  protected runGang(job: SimJob, tasks: readonly Running[]): void {
    for (const task of tasks) {
      task.beganS = this.now;
      job.began(task.index, this.now);
    }
    const slowest = Math.max(...tasks.map(({ machine }) => machine.slowness));
    const leftS = Math.max(0.05, (job.runS(0) - (job.saved.get(0) ?? 0)) * slowest);
    const done = { cancelled: false };
    for (const task of tasks) task.done = done;
    this.plan(this.now + leftS + TOLD_S, () => {
      if (done.cancelled) return;
      for (const task of tasks) {
        this.leave(task, job);
        job.markDone(task.index);
      }
      this.checkDone(job);
    });
  }

  protected failed(task: Running, job: SimJob): void {
    if (job.active.get(task.index) !== task) return;
    const { machine } = task;
    this.leave(task, job);
    job.noteCause('failed');
    job.errorMachines.add(machine.id);
    job.keepOff(machine.id, this.now);
    if (job.failsEverywhere) {
      job.notBeforeS = this.now + Math.min(60, 2 * 2 ** job.strikes);
      job.strikes += 1;
    } else machine.noteFailure(job.spec.id, this.now);
  }

  protected leave(task: Running, job: SimJob): void {
    if (task.done) task.done.cancelled = true;
    if (job.active.get(task.index) !== task) return;
    job.active.delete(task.index);
    task.machine.remove(task, this.now);
    this.use(job.spec, -1);
    this.soon();
  }

  /** Tells a task, or its whole gang, to go; what can save does so first. */
  protected stop(task: Running, why: string, graceS: number): void {
    const job = this.jobs.get(task.job.spec.id);
    if (!job || task.stopping !== null || task.dead) return;
    const { spec } = job;
    task.stopping = why;
    task.machine.changed();
    if (why !== 'cancelled' && why !== 'regroup') job.noteCause(why);
    const running = task.beganS !== null;
    const saves = running && spec.checkpointS > 0 && graceS > 0;
    const saveS = saves ? spec.saveS : 0;
    if (task.done) task.done.cancelled = true;
    const key = spec.kind === 'gang' ? 0 : task.index;
    if (running && spec.checkpointS > 0) this.save(job, task, key, saves ? 0 : spec.checkpointS);
    this.plan(this.now + ORDER_S + saveS + TOLD_S / 2, () => this.leave(task, job));
  }

  /** What it has done is kept, all of it or up to the last checkpoint. */
  protected save(job: SimJob, task: Running, key: number, stepS: number, lessS = 0): void {
    if (job.spec.kind === 'gang' && job.gangSavedS === task.beganS) return;
    job.gangSavedS = task.beganS;
    const ranS = Math.max(0, this.now - lessS - (task.beganS ?? this.now)) / task.machine.slowness;
    const total = (job.saved.get(key) ?? 0) + ranS;
    const kept = stepS > 0 ? Math.floor(total / stepS) * stepS : total;
    job.saved.set(key, Math.max(job.saved.get(key) ?? 0, Math.min(kept, job.runS(key))));
  }

  protected stopWithMates(task: Running, why: string, graceS: number): void {
    const job = this.jobs.get(task.job.spec.id);
    if (!job) return;
    if (job.spec.kind !== 'gang') this.stop(task, why, graceS);
    else for (const mate of [...job.active.values()]) this.stop(mate, why, graceS);
  }
}
