import type { Endpoint, Logger } from '../../../../src/kernel/index.js';
import { EndingRuntime } from '../ending.js';
import { GangBook, JobBook, JobTruth, WorkerModel, type Machine, type TaskWatch } from '../models/index.js';
import { LOOPBACK } from '../real.js';
import { Luck } from '../sim/index.js';
import type { HollowCommand, HollowEvent, HollowMachine, HollowMeasure, TaskEventKind } from './messages.js';

/** The end of a channel to the scale run. */
export interface HollowPort {
  send(event: HollowEvent): void;
}

const HERE: Endpoint = { host: LOOPBACK, port: 0 };

const machineOf = ({ id, type, zone }: HollowMachine): Machine => ({
  ...{ id, type, zone, spot: false, rentedAt: 0, address: '', fate: 'running', runningAt: 0 },
  ...{ failedAt: null, goneAt: null, takenAt: null, listed: true, chargedTo: 0, script: null },
});

const jobOf = ({ job }: Extract<HollowCommand, { kind: 'job' }>): JobTruth =>
  new JobTruth(job.spec, (index) => job.runS[Math.min(index, job.runS.length - 1)] ?? 0, job.mistaken);

/**
 * The workers of many machines in one process: each reports, leases and answers commands by the whole protocol on sockets of
 * its own, and its tasks only pass the time. What happens to tasks is told to the run, which judges it.
 */
export class HollowWorkers {
  private readonly runtime = new EndingRuntime();
  private readonly workers = new Map<string, WorkerModel>();
  private readonly jobs = new JobBook();
  private configured: (Extract<HollowCommand, { kind: 'configure' }> & { readonly gangBook: GangBook }) | undefined;
  /** Of workers that are gone. */
  private readonly past = { reports: 0, commands: 0 };

  constructor(
    private readonly port: HollowPort,
    private readonly log: Logger,
  ) {}

  take(command: HollowCommand): void {
    switch (command.kind) {
      case 'configure':
        this.configure(command);
        break;
      case 'job':
        this.jobs.add(jobOf(command));
        break;
      case 'up':
        this.up(command.machine);
        break;
      case 'gone':
        this.gone(command.machine);
        break;
      case 'fault':
        this.fault(command);
        break;
      case 'measure':
        this.port.send({ kind: 'measured', id: command.id, measure: this.measure() });
        break;
    }
  }

  end(): void {
    for (const worker of this.workers.values()) worker.end();
    this.runtime.end();
  }

  private configure(command: Extract<HollowCommand, { kind: 'configure' }>): void {
    const luck = new Luck(command.seed, 'hollow gangs');
    this.configured = { ...command, gangBook: new GangBook(this.runtime, luck, command.gangs) };
    this.port.send({ kind: 'ready' });
  }

  private up(given: HollowMachine): void {
    const { configured, runtime, log, jobs } = this;
    if (!configured) throw new Error('a machine before the configuration');
    const { facts, controllers, gangBook: gangs, seed } = configured;
    const machine = machineOf(given);
    const luck = new Luck(seed, `hollow ${given.id}`);
    const model = new WorkerModel(machine, {
      ...{ runtime, watchdog: runtime, luck, log, facts, controllers, jobs, gangs },
      watch: this.watch,
      noticeS: () => null,
    });
    this.workers.set(given.id, model);
    void model.listen(HERE).ready.then((port) => {
      const address = `${LOOPBACK}:${port}`;
      model.start(address);
      this.port.send({ kind: 'listening', machine: given.id, address });
    });
  }

  private gone(id: string): void {
    const worker = this.workers.get(id);
    if (!worker) return;
    this.workers.delete(id);
    this.past.reports += worker.counts.reports;
    this.past.commands += worker.counts.commands;
    worker.tasks.killAll();
    worker.end();
    worker.shut();
  }

  private fault({ machine, fault, downS }: Extract<HollowCommand, { kind: 'fault' }>): void {
    const worker = this.workers.get(machine);
    if (!worker) return;
    if (fault === 'restart') worker.restart(downS * 1000 > 0 ? downS : 1);
    else worker.mute = worker.deaf = fault === 'cut';
  }

  private readonly watch: TaskWatch = {
    ordered: (machine, job, index, attempt) => this.tell('ordered', machine, job, index, attempt),
    entered: (machine, job, index, attempt) => this.tell('entered', machine, job, index, attempt),
    running: (machine, job, index, attempt) => this.tell('running', machine, job, index, attempt),
    left: (machine, job, index, attempt, cause) => this.tell('left', machine, job, index, attempt, cause),
  };

  private tell(
    kind: TaskEventKind,
    machine: Machine,
    job: JobTruth,
    index: number,
    attempt: number,
    cause: Parameters<TaskWatch['left']>[4] | null = null,
  ): void {
    const atMs = this.runtime.wall();
    const event = { kind, atMs, machine: machine.id, job: job.spec.ref, index, attempt, cause };
    this.port.send({ kind: 'task', event });
  }

  private measure(): HollowMeasure {
    let { reports, commands } = this.past;
    for (const { counts } of this.workers.values()) {
      reports += counts.reports;
      commands += counts.commands;
    }
    const { opened, accepted } = this.runtime.traffic;
    const { size: workers } = this.workers;
    return { workers, reports, commands, reportTraffic: opened, commandTraffic: accepted };
  }
}
