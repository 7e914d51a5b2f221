/** The process side of hollow workers: executes commands of a scale run and reports task events to it. */

import type { Endpoint, Logger } from '../../../../src/kernel/index.js';
import { DisposableRuntime } from '../disposable-runtime.js';
import {
  GangCoordinator,
  SimulatedJobs,
  SimulatedJob,
  WorkerModel,
  type Machine,
  type TaskObserver,
} from '../models/index.js';
import { LOOPBACK_ADDRESS } from '../loopback-region.js';
import { RandomStream } from '../sim/index.js';
import type {
  HollowCommand,
  HollowCommandCopies,
  HollowEvent,
  HollowMachine,
  HollowMeasurement,
  TaskEventKind,
} from './messages.js';

/** Sends events to the scale run. */
export interface HollowChannel {
  send(event: HollowEvent): void;
}

const ANY_LOOPBACK_PORT: Endpoint = { host: LOOPBACK_ADDRESS, port: 0 };

/** Builds the model of a machine that runs and has not failed. */
const toMachine = ({ id, type, zone }: HollowMachine): Machine => ({
  ...{ id, type, zone, spot: false, rentedAt: 0, address: '', fate: 'running', runningAt: 0 },
  ...{ failedAt: null, goneAt: null, takenAt: null, listed: true, chargedTo: 0, script: null },
});

/** Builds the model of a job; a job with one run time uses it for all of its tasks. */
const toJobTruth = ({ job }: Extract<HollowCommand, { kind: 'job' }>): SimulatedJob =>
  new SimulatedJob(job.spec, (index) => job.runS[Math.min(index, job.runS.length - 1)] ?? 0, job.mistaken);

/**
 * Hosts the hollow workers of many machines in one process. Each worker reports, holds leases and answers commands with the
 * whole protocol on its own sockets, but its tasks only let time pass. Task events are sent to the run, which checks them.
 */
export class HollowWorkers {
  private readonly runtime = new DisposableRuntime();
  private readonly workers = new Map<string, WorkerModel>();
  private readonly jobs = new SimulatedJobs();
  private commandCopies: HollowCommandCopies | null = null;
  private configuration:
    (Extract<HollowCommand, { kind: 'configure' }> & { readonly gangBook: GangCoordinator }) | undefined;
  /** Totals of the workers that have been removed. */
  private readonly removedWorkerCounts = { reports: 0, commands: 0 };

  constructor(
    private readonly channel: HollowChannel,
    private readonly log: Logger,
  ) {}

  /** Executes a command of the scale run. */
  handleCommand(command: HollowCommand): void {
    switch (command.kind) {
      case 'configure':
        this.configure(command);
        break;
      case 'job':
        this.jobs.add(toJobTruth(command));
        break;
      case 'up':
        this.addMachine(command.machine);
        break;
      case 'gone':
        this.removeMachine(command.machine);
        break;
      case 'fault':
        this.applyFault(command);
        break;
      case 'copies':
        this.commandCopies = command.copies;
        break;
      case 'measure':
        this.channel.send({ kind: 'measured', id: command.id, measure: this.measure() });
        break;
    }
  }

  /** Ends all workers and closes their sockets. */
  end(): void {
    for (const worker of this.workers.values()) worker.end();
    this.runtime.dispose();
  }

  private configure(command: Extract<HollowCommand, { kind: 'configure' }>): void {
    const random = new RandomStream(command.seed, 'hollow gangs');
    this.configuration = { ...command, gangBook: new GangCoordinator(this.runtime, random, command.gangs) };
    this.channel.send({ kind: 'ready' });
  }

  private addMachine(hollowMachine: HollowMachine): void {
    const { configuration, runtime, log, jobs } = this;
    if (!configuration) throw new Error('received a machine before the configuration');
    const { facts, controllers, gangBook: gangs, seed } = configuration;
    const machine = toMachine(hollowMachine);
    const random = new RandomStream(seed, `hollow ${hollowMachine.id}`);
    const model = new WorkerModel(machine, {
      ...{ runtime, watchdog: runtime, luck: random, log, facts, controllers, jobs, gangs },
      watch: this.taskWatch,
      commandCopies: () => this.commandCopies,
      noticeS: () => null,
    });
    this.workers.set(hollowMachine.id, model);
    void model.listen(ANY_LOOPBACK_PORT).ready.then((port) => {
      const address = `${LOOPBACK_ADDRESS}:${port}`;
      model.start(address);
      this.channel.send({ kind: 'listening', machine: hollowMachine.id, address });
    });
  }

  private removeMachine(id: string): void {
    const worker = this.workers.get(id);
    if (!worker) return;
    this.workers.delete(id);
    this.removedWorkerCounts.reports += worker.counts.reports;
    this.removedWorkerCounts.commands += worker.counts.commands;
    worker.tasks.killAll();
    worker.end();
    worker.closeConnections();
  }

  private applyFault({ machine, fault, downS }: Extract<HollowCommand, { kind: 'fault' }>): void {
    const worker = this.workers.get(machine);
    if (!worker) return;
    if (fault === 'restart') worker.restart(downS * 1000 > 0 ? downS : 1);
    else worker.dropsOutbound = worker.dropsInbound = fault === 'cut';
  }

  private readonly taskWatch: TaskObserver = {
    ordered: (machine, job, index, attempt) => this.sendTaskEvent('ordered', machine, job, index, attempt),
    entered: (machine, job, index, attempt) => this.sendTaskEvent('entered', machine, job, index, attempt),
    running: (machine, job, index, attempt) => this.sendTaskEvent('running', machine, job, index, attempt),
    left: (machine, job, index, attempt, cause) => this.sendTaskEvent('left', machine, job, index, attempt, cause),
  };

  private sendTaskEvent(
    kind: TaskEventKind,
    machine: Machine,
    job: SimulatedJob,
    index: number,
    attempt: number,
    cause: Parameters<TaskObserver['left']>[4] | null = null,
  ): void {
    const atMs = this.runtime.wall();
    const event = { kind, atMs, machine: machine.id, job: job.spec.ref, index, attempt, cause };
    this.channel.send({ kind: 'task', event });
  }

  /** Returns the totals of all workers since the process began, removed ones included. */
  private measure(): HollowMeasurement {
    let { reports, commands } = this.removedWorkerCounts;
    for (const { counts } of this.workers.values()) {
      reports += counts.reports;
      commands += counts.commands;
    }
    const { opened, accepted } = this.runtime.traffic;
    const { size: workers } = this.workers;
    return { workers, reports, commands, reportTraffic: opened, commandTraffic: accepted };
  }
}
