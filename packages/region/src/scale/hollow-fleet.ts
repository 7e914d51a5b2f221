/** Runs the hollow workers of a scale run in child processes. */

import { fork, type ChildProcess } from 'node:child_process';
import type { Endpoint, Runtime } from '../../../../src/kernel/index.js';
import type { SimulationScenario } from '../scenario/index.js';
import type { SimulatedJob, Machine } from '../models/index.js';
import { workerTimings, type ExternalWorkers } from '../region-parts.js';
import { ScaleError } from './errors.js';
import type {
  HollowCommand,
  HollowCommandCopies,
  HollowEvent,
  HollowMeasurement,
  TaskEvent,
  WorkerFault,
} from './messages.js';

/** How to start a further process of this program. */
export interface ProcessLaunch {
  /** Path of the Node.js executable. */
  readonly node: string;
  /** Flags of Node.js for controllers. */
  readonly controllerFlags: readonly string[];
  /** Path of this program's script. */
  readonly script: string;
}

const READY_TIMEOUT_MS = 15_000;
const MEASURE_TIMEOUT_MS = 10_000;
/** Process of all machines that gangs may use, because the tasks of a gang only find each other within one process. */
const GANG_PROCESS_INDEX = 0;

/** A child process that hosts hollow workers. */
interface WorkerProcess {
  readonly child: ChildProcess;
  exited: boolean;
}

/** What the hollow workers of a run need in order to start and to report events. */
export interface HollowFleetOptions {
  readonly day: SimulationScenario;
  readonly seed: number;
  /** Number of processes that share the workers. */
  readonly processes: number;
  readonly launch: ProcessLaunch;
  readonly runtime: Runtime;
  readonly controllers: readonly { readonly name: string; readonly at: Endpoint }[];
  /** Called with every task event that a worker reports. */
  readonly task: (event: TaskEvent) => void;
  /** Called when a worker process cannot be started or exits unexpectedly. */
  readonly failed: (error: ScaleError) => void;
}

/** Names of the machine types that gangs of this day may run on. */
function gangMachineTypes(day: SimulationScenario): ReadonlySet<string> {
  const gangs = day.classes.filter(({ shape }) => shape === 'gang');
  const types = day.machine_types.filter((type) =>
    gangs.some((c) => (c.types?.includes(type.name) ?? true) && type.gpus >= c.gpus && type.cpus >= c.cpus),
  );
  return new Set(types.map(({ name }) => name));
}

/**
 * Hosts the hollow workers of a scale run in a few child processes, and starts and ends those. A hollow worker speaks the
 * whole worker protocol, but its tasks only let time pass.
 */
export class HollowFleet implements ExternalWorkers {
  private readonly workerProcesses: WorkerProcess[] = [];
  private readonly processByMachine = new Map<string, WorkerProcess>();
  private readonly machines = new Map<string, Machine>();
  private readonly pendingMeasurements = new Map<number, (measure: HollowMeasurement) => void>();
  private readonly gangTypeNames: ReadonlySet<string>;
  private nextMeasurementId = 1;
  private assignedMachineCount = 0;
  private ending = false;

  constructor(private readonly options: HollowFleetOptions) {
    this.gangTypeNames = gangMachineTypes(options.day);
  }

  /** Starts the processes. Resolves when each accepts machines; rejects if one is not ready in time. */
  async start(): Promise<void> {
    const { processes, launch, day, seed, controllers } = this.options;
    const facts = workerTimings(day);
    const gangs = { waitS: facts.gangWaitS, peerS: facts.gangPeerS };
    const ready: Promise<void>[] = [];
    for (let i = 0; i < processes; i++) {
      const child = fork(launch.script, ['region', 'hollow-workers'], {
        execPath: launch.node,
        execArgv: [],
        stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
      });
      const workerProcess: WorkerProcess = { child, exited: false };
      this.workerProcesses.push(workerProcess);
      child.on('exit', (code, signal) => this.handleExit(workerProcess, i, code, signal));
      child.on('error', (error) =>
        this.options.failed(new ScaleError(`worker process ${i} could not be started: ${error.message}`)),
      );
      ready.push(this.waitUntilReady(workerProcess, i));
      this.send(workerProcess, { kind: 'configure', seed, facts, gangs, controllers });
    }
    await Promise.all(ready);
  }

  private waitUntilReady(workerProcess: WorkerProcess, index: number): Promise<void> {
    return new Promise((resolve, reject) => {
      const timer = this.options.runtime.after(READY_TIMEOUT_MS, () =>
        reject(new ScaleError(`worker process ${index} was not ready within ${READY_TIMEOUT_MS / 1000} s`)),
      );
      workerProcess.child.on('message', (event) => {
        this.handleEvent(event as HollowEvent, () => {
          timer.cancel();
          resolve();
        });
      });
    });
  }

  private handleEvent(event: HollowEvent, onReady: () => void): void {
    switch (event.kind) {
      case 'ready':
        onReady();
        break;
      case 'listening': {
        const machine = this.machines.get(event.machine);
        if (machine) machine.address = event.address;
        break;
      }
      case 'task':
        this.options.task(event.event);
        break;
      case 'measured':
        this.pendingMeasurements.get(event.id)?.(event.measure);
        break;
    }
  }

  private handleExit(workerProcess: WorkerProcess, index: number, code: number | null, signal: string | null): void {
    workerProcess.exited = true;
    if (!this.ending)
      this.options.failed(
        new ScaleError(`worker process ${index} exited unexpectedly: ${signal ?? `exit code ${code}`}`),
      );
  }

  private send(workerProcess: WorkerProcess, command: HollowCommand): void {
    if (!workerProcess.exited && workerProcess.child.connected) workerProcess.child.send(command);
  }

  /** Ids of the processes that run. */
  get pids(): number[] {
    return this.workerProcesses.flatMap(({ child, exited }) => (exited || child.pid === undefined ? [] : [child.pid]));
  }

  /** Returns a machine by its id, also after it is gone. */
  machine(id: string): Machine | undefined {
    return this.machines.get(id);
  }

  /** Starts a worker for a machine that has come up, in one of the processes. */
  up(machine: Machine): void {
    const workerProcess = this.workerProcesses[this.processIndexFor(machine)];
    if (!workerProcess) return;
    this.machines.set(machine.id, machine);
    this.processByMachine.set(machine.id, workerProcess);
    const { id, type, zone } = machine;
    this.send(workerProcess, { kind: 'up', machine: { id, type, zone } });
  }

  /** Returns the gang process for machines that gangs may use, and the other processes in turn for the rest. */
  private processIndexFor({ type }: Machine): number {
    const others = this.workerProcesses.length - 1;
    if (others === 0 || this.gangTypeNames.has(type.name)) return GANG_PROCESS_INDEX;
    this.assignedMachineCount += 1;
    return 1 + (this.assignedMachineCount % others);
  }

  /** Removes the worker of a machine that is gone. */
  gone(machine: Machine): void {
    const workerProcess = this.processByMachine.get(machine.id);
    this.processByMachine.delete(machine.id);
    if (workerProcess) this.send(workerProcess, { kind: 'gone', machine: machine.id });
  }

  /** Sends a job to every process, because any of them may receive start commands for its tasks. */
  addJob({ spec, runS, mistaken }: SimulatedJob): void {
    const runs = spec.shape === 'sweep' ? Array.from({ length: spec.pieces }, (_, i) => runS(i)) : [runS(0)];
    for (const workerProcess of this.workerProcesses)
      this.send(workerProcess, { kind: 'job', job: { spec, runS: runs, mistaken } });
  }

  /** Injects a fault into the worker of a machine; `downS` is the downtime of a restart in seconds. */
  applyFault(machine: string, fault: WorkerFault, downS = 0): void {
    const workerProcess = this.processByMachine.get(machine);
    if (workerProcess) this.send(workerProcess, { kind: 'fault', fault, machine, downS });
  }

  /** Starts to duplicate commands at every worker; null ends it. */
  duplicateCommands(copies: HollowCommandCopies | null): void {
    for (const workerProcess of this.workerProcesses) this.send(workerProcess, { kind: 'copies', copies });
  }

  /** Returns the totals of what all workers have sent and received so far. */
  async measure(): Promise<HollowMeasurement> {
    const measures = await Promise.all(
      this.workerProcesses.map((workerProcess, i) => this.measureProcess(workerProcess, i)),
    );
    return measures.reduce((a, b) => ({
      workers: a.workers + b.workers,
      reports: a.reports + b.reports,
      commands: a.commands + b.commands,
      reportTraffic: addTraffic(a.reportTraffic, b.reportTraffic),
      commandTraffic: addTraffic(a.commandTraffic, b.commandTraffic),
    }));
  }

  private measureProcess(workerProcess: WorkerProcess, index: number): Promise<HollowMeasurement> {
    const id = this.nextMeasurementId++;
    return new Promise((resolve, reject) => {
      const timer = this.options.runtime.after(MEASURE_TIMEOUT_MS, () => {
        this.pendingMeasurements.delete(id);
        reject(new ScaleError(`worker process ${index} returned no measurement within ${MEASURE_TIMEOUT_MS / 1000} s`));
      });
      this.pendingMeasurements.set(id, (measure) => {
        timer.cancel();
        this.pendingMeasurements.delete(id);
        resolve(measure);
      });
      this.send(workerProcess, { kind: 'measure', id });
    });
  }

  /** Kills every process by its id. */
  end(): void {
    this.ending = true;
    for (const { child, exited } of this.workerProcesses) if (!exited) child.kill('SIGKILL');
  }
}

type Traffic = HollowMeasurement['reportTraffic'];

const addTraffic = (a: Traffic, b: Traffic): Traffic => ({
  connections: a.connections + b.connections,
  bytesIn: a.bytesIn + b.bytesIn,
  bytesOut: a.bytesOut + b.bytesOut,
});
