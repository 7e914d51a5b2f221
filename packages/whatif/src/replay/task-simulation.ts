import TinyQueue from 'tinyqueue';
import type { JobSpec } from '../../../../src/jobs/index.js';
import type { JobId, MachineId } from '../../../../src/kernel/index.js';
import type { GpuReserve } from '../../../../src/placement/index.js';
import { DEFAULT_TUNABLES, type Tunables } from '../../../../src/speculation/index.js';
import { RandomStream, type Script, type ScriptedMachine } from '../../../region/src/index.js';
import type { Scenario } from '../night/index.js';
import type { TimelineSample } from './replay-result.js';
import { SimMachine, type SimTask, type MachineTypeFacts } from './sim-machine.js';
import { SimJob } from './sim-job.js';
import { runTimesOf, machineScripts } from './scripted-inputs.js';
import { COMMAND_DELAY_S, PLACEMENT_ROUND_DELAY_S, REPORT_DELAY_S, JOB_END_WRITE_S } from './replay-delays.js';

/** A scheduled action. Events at the same time run in the order in which they were scheduled. */
interface SimEvent {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

/** A machine that is rented and has not joined yet. */
export interface BootingMachine {
  readonly id: MachineId;
  readonly type: MachineTypeFacts;
  readonly zone: string;
  readonly spot: boolean;
  readonly rentedS: number;
  readonly script: ScriptedMachine;
}

/**
 * Simulates jobs and their tasks from submission to end, and holds the event queue. MachineSimulation extends it by the
 * machines, and DecisionReplay extends that by the scheduling decisions. Times are in seconds since the night began.
 */
export abstract class TaskSimulation {
  protected readonly queue = new TinyQueue<SimEvent>([], (a, b) => a.at - b.at || a.order - b.order);
  protected nextEventOrder = 0;
  protected nowS = 0;
  protected readonly jobs = new Map<JobId, SimJob>();
  /** Jobs that have not ended. */
  protected readonly openJobs = new Map<JobId, SimJob>();
  protected readonly machines = new Map<MachineId, SimMachine>();
  /** Machines that are rented and have not joined. */
  protected readonly bootingMachines = new Map<MachineId, BootingMachine>();
  /** Number of machines ever created, by kind. */
  protected readonly createdPerKind = new Map<string, number>();
  /** Number of machines that are booting or up, by kind. */
  protected readonly heldPerKind = new Map<string, number>();
  /** Kinds of which the cloud had too few machines, and until when they are not requested again. */
  protected readonly refusedUntilS = new Map<string, number>();
  protected readonly types: ReadonlyMap<string, MachineTypeFacts>;
  protected readonly tunables: Tunables;
  protected readonly random: RandomStream;
  protected readonly machineScript: Script['machine'];
  protected readonly timeline: TimelineSample[] = [];
  /** Limits of the teams that have one. */
  protected readonly teamLimits: ReadonlyMap<string, { readonly cpusMax: number; readonly gpusMax: number }>;
  /** Resources in use by teams that have a limit. */
  protected readonly teamUse = new Map<string, { cpus: number; gpus: number }>();
  /** Rental time of each machine that was rented in the replay. */
  protected readonly rentedAtS = new Map<MachineId, number>();
  /** The largest service seen of each job class, for which the lease plan keeps headroom. */
  protected readonly headroom = new Map<string, JobSpec>();
  /** Largest CPU and memory request of any GPU job, which the placement keeps free on GPU machines. */
  protected reserve: GpuReserve | null = null;
  /** A placement round is scheduled. */
  protected roundPlanned = false;
  /** The record, rather than the replay, decides what is started and stopped. */
  protected followingRecord: boolean;
  /** Jobs that can end and have not; the replay may stop at the end of the night once there are none. */
  protected batchJobsLeft = 0;
  /** Cost of the machines that were released so far. */
  protected moneySpent = 0;
  /** Number of machine ids created. */
  protected namedMachines = 0;

  constructor(
    protected readonly scenario: Scenario,
    seed: number,
  ) {
    const { facts } = scenario;
    this.random = new RandomStream(seed, 'decisions');
    this.followingRecord = scenario.divergesAtS > 0;
    this.types = new Map(facts.types.map((type) => [type.name, type]));
    this.tunables = { ...DEFAULT_TUNABLES, ...facts.settings.tunables };
    this.machineScript = machineScripts(scenario, 0, this.random.fork('boots')).scriptOf;
    this.teamLimits = new Map(Object.entries(facts.teams).filter(([, t]) => t.cpusMax > 0 || t.gpusMax > 0));
    for (const name of this.teamLimits.keys()) this.teamUse.set(name, { cpus: 0, gpus: 0 });
  }

  /** Schedules an action, at the earliest now. */
  protected scheduleAt(atS: number, action: () => void): void {
    this.queue.push({ at: Math.max(atS, this.nowS), order: this.nextEventOrder++, action });
  }

  /** Schedules a placement round unless one is scheduled or the record is followed. */
  protected schedulePlacementRound(): void {
    if (this.followingRecord || this.roundPlanned) return;
    this.roundPlanned = true;
    this.scheduleAt(this.nowS + PLACEMENT_ROUND_DELAY_S, () => {
      this.roundPlanned = false;
      this.placementRound();
    });
  }

  /** Places waiting tasks on machines. */
  protected abstract placementRound(): void;

  // ---- jobs

  /** Adds a job at the time of its submission. */
  protected submitJob(played: Scenario['jobs'][number]): void {
    const random = this.random.fork('runs');
    const job = new SimJob(played, this.nowS, runTimesOf(played, this.scenario, random));
    const { spec } = job;
    this.jobs.set(spec.id, job);
    this.openJobs.set(spec.id, job);
    if (spec.gpus > 0)
      this.reserve = {
        cpus: Math.max(this.reserve?.cpus ?? 0, spec.cpus),
        memoryGb: Math.max(this.reserve?.memoryGb ?? 0, spec.memoryGb),
      };
    if (played.cancelAtS !== null) this.scheduleAt(played.cancelAtS, () => this.endJob(job, 'cancelled'));
    this.schedulePlacementRound();
  }

  /** Ends a job and stops the tasks that it still has. */
  protected endJob(job: SimJob, phase: 'done' | 'cancelled'): void {
    if (job.ended) return;
    job.ended = { atS: this.nowS, phase };
    this.openJobs.delete(job.spec.id);
    if (job.spec.kind !== 'service' && !job.played.mistaken) this.batchJobsLeft -= 1;
    for (const task of job.active.values()) this.stopTask(task, 'cancelled', 0);
    this.schedulePlacementRound();
  }

  // ---- tasks

  /** Adds the cost of a machine since it was rented; at least one minute is charged. */
  protected chargeMachine(machine: SimMachine): void {
    const { type, spot, rentedS } = machine;
    this.moneySpent += (Math.max(60, this.nowS - rentedS) / 3600) * (spot ? type.spotPrice : type.price);
  }

  /** Adds a task's resources to the use of its team, or subtracts them. */
  protected updateTeamUse(spec: JobSpec, sign: 1 | -1): void {
    const use = this.teamUse.get(spec.team);
    if (!use) return;
    use.cpus += sign * spec.cpus;
    use.gpus += sign * spec.gpus;
  }

  /** Puts a task on a machine and reserves its resources; it does not run yet. */
  protected startTask(job: SimJob, index: number, machine: SimMachine, attempt = 0): SimTask {
    const task: SimTask = {
      job,
      index,
      attempt,
      machine,
      beganS: null,
      stopping: null,
      machineDied: false,
      completion: null,
    };
    job.active.set(index, task);
    machine.add(task);
    this.updateTeamUse(job.spec, 1);
    return task;
  }

  /**
   * Returns when the task's image is on the machine. The fetches of a machine share its bandwidth and run one after
   * another.
   */
  protected fetchImage(spec: JobSpec, machine: SimMachine): number {
    if (spec.image === '' || machine.images.includes(spec.image)) return this.nowS + COMMAND_DELAY_S;
    const gbPerS = machine.type.fetchGbPerS * machine.fetchSpeedFactor;
    const fetchStartS = Math.max(this.nowS, machine.fetchesEndS);
    machine.fetchesEndS = fetchStartS + spec.imageGb / Math.max(0.001, gbPerS);
    machine.fetching += 1;
    const fetchedS = machine.fetchesEndS;
    machine.recordImageUse(spec.image);
    this.scheduleAt(fetchedS, () => {
      machine.fetching -= 1;
      machine.invalidateCaches();
    });
    return fetchedS + COMMAND_DELAY_S;
  }

  /** Starts a task that does not belong to a gang. */
  protected startIndependentTask(job: SimJob, index: number, machine: SimMachine): void {
    const task = this.startTask(job, index, machine);
    this.scheduleAt(this.fetchImage(job.spec, machine), () => this.runTask(task, job));
  }

  /** Runs a task whose image is present, and schedules its completion or failure. */
  protected runTask(task: SimTask, job: SimJob): void {
    if (task.stopping !== null || task.machineDied || job.active.get(task.index) !== task) return;
    const { machine, index } = task;
    if (job.played.mistaken || (machine.failsFromS !== null && this.nowS >= machine.failsFromS)) {
      this.scheduleAt(this.nowS + REPORT_DELAY_S, () => this.failTask(task, job));
      return;
    }
    task.beganS = this.nowS;
    job.recordStart(index, this.nowS);
    if (job.spec.kind === 'service') return;
    const remainingS = Math.max(0.05, (job.runS(index) - (job.savedWorkS.get(index) ?? 0)) * machine.slowness);
    const completion = { cancelled: false };
    task.completion = completion;
    this.scheduleAt(this.nowS + remainingS + REPORT_DELAY_S, () => {
      if (!completion.cancelled) this.completeTask(task, job);
    });
  }

  /** Handles the report of a completed task. */
  protected completeTask(task: SimTask, job: SimJob): void {
    const ranS = this.nowS - (task.beganS ?? this.nowS);
    this.removeTask(task, job);
    job.markDone(task.index);
    if (job.spec.kind === 'array') job.recordRun(ranS);
    this.checkJobDone(job);
  }

  /** Schedules the end of a job whose tasks are all done. */
  protected checkJobDone(job: SimJob): void {
    if (job.doneCount >= job.spec.tasks)
      this.scheduleAt(this.nowS + (job.played.completionWriteS ?? JOB_END_WRITE_S), () => this.endJob(job, 'done'));
  }

  /** Starts all tasks of a gang; they run together once all their images are present. */
  protected startGang(job: SimJob, starts: readonly { readonly index: number; readonly machine: SimMachine }[]): void {
    const tasks = starts.map(({ index, machine }) => this.startTask(job, index, machine));
    const readyS = Math.max(...tasks.map(({ machine }) => this.fetchImage(job.spec, machine)));
    this.scheduleAt(readyS + REPORT_DELAY_S, () => {
      if (tasks.some((task) => task.stopping !== null || task.machineDied || job.active.get(task.index) !== task)) {
        for (const task of tasks) this.stopTask(task, 'regroup', 0);
        return;
      }
      if (job.played.mistaken) {
        for (const task of tasks) this.failTask(task, job);
        return;
      }
      this.runGang(job, tasks);
    });
  }

  /** Runs a gang, at the speed of its slowest machine. */
  protected runGang(job: SimJob, tasks: readonly SimTask[]): void {
    for (const task of tasks) {
      task.beganS = this.nowS;
      job.recordStart(task.index, this.nowS);
    }
    const slowest = Math.max(...tasks.map(({ machine }) => machine.slowness));
    const remainingS = Math.max(0.05, (job.runS(0) - (job.savedWorkS.get(0) ?? 0)) * slowest);
    const completion = { cancelled: false };
    for (const task of tasks) task.completion = completion;
    this.scheduleAt(this.nowS + remainingS + REPORT_DELAY_S, () => {
      if (completion.cancelled) return;
      for (const task of tasks) {
        this.removeTask(task, job);
        job.markDone(task.index);
      }
      this.checkJobDone(job);
    });
  }

  /** Handles a failed task: its job backs off if it fails everywhere, otherwise the machine is suspected. */
  protected failTask(task: SimTask, job: SimJob): void {
    if (job.active.get(task.index) !== task) return;
    const { machine } = task;
    this.removeTask(task, job);
    job.countCause('failed');
    job.errorMachines.add(machine.id);
    job.avoidMachine(machine.id, this.nowS);
    if (job.failsEverywhere) {
      job.notBeforeS = this.nowS + Math.min(60, 2 * 2 ** job.failureRetries);
      job.failureRetries += 1;
    } else machine.recordTaskFailure(job.spec.id, this.nowS);
  }

  /** Takes a task off its machine and frees its resources. */
  protected removeTask(task: SimTask, job: SimJob): void {
    if (task.completion) task.completion.cancelled = true;
    if (job.active.get(task.index) !== task) return;
    job.active.delete(task.index);
    task.machine.remove(task, this.nowS);
    this.updateTeamUse(job.spec, -1);
    this.schedulePlacementRound();
  }

  /** Tells a task to stop. A running task with checkpoints saves its work first if there is a grace period. */
  protected stopTask(task: SimTask, why: string, graceS: number): void {
    const job = this.jobs.get(task.job.spec.id);
    if (!job || task.stopping !== null || task.machineDied) return;
    const { spec } = job;
    task.stopping = why;
    task.machine.invalidateCaches();
    if (why !== 'cancelled' && why !== 'regroup') job.countCause(why);
    const running = task.beganS !== null;
    const savesWork = running && spec.checkpointS > 0 && graceS > 0;
    const saveS = savesWork ? spec.saveS : 0;
    if (task.completion) task.completion.cancelled = true;
    const key = spec.kind === 'gang' ? 0 : task.index;
    if (running && spec.checkpointS > 0) this.saveWork(job, task, key, savesWork ? 0 : spec.checkpointS);
    this.scheduleAt(this.nowS + COMMAND_DELAY_S + saveS + REPORT_DELAY_S / 2, () => this.removeTask(task, job));
  }

  /**
   * Saves the work of a task: up to the last checkpoint if `stepS` is positive, otherwise all of it except the last
   * `lessS` seconds.
   */
  protected saveWork(job: SimJob, task: SimTask, key: number, stepS: number, lessS = 0): void {
    if (job.spec.kind === 'gang' && job.lastSavedGangStartS === task.beganS) return;
    job.lastSavedGangStartS = task.beganS;
    const ranS = Math.max(0, this.nowS - lessS - (task.beganS ?? this.nowS)) / task.machine.slowness;
    const totalS = (job.savedWorkS.get(key) ?? 0) + ranS;
    const keptS = stepS > 0 ? Math.floor(totalS / stepS) * stepS : totalS;
    job.savedWorkS.set(key, Math.max(job.savedWorkS.get(key) ?? 0, Math.min(keptS, job.runS(key))));
  }

  /** Stops a task, and all other tasks of its gang. */
  protected stopTaskOrGang(task: SimTask, why: string, graceS: number): void {
    const job = this.jobs.get(task.job.spec.id);
    if (!job) return;
    if (job.spec.kind !== 'gang') this.stopTask(task, why, graceS);
    else for (const gangTask of [...job.active.values()]) this.stopTask(gangTask, why, graceS);
  }
}
