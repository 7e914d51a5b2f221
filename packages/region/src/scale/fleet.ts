import { fork, type ChildProcess } from 'node:child_process';
import type { Endpoint, Runtime } from '../../../../src/kernel/index.js';
import type { Day } from '../day/index.js';
import type { JobTruth, Machine } from '../models/index.js';
import { workerFacts, type WorkerHosts } from '../parts.js';
import { ScaleError } from './errors.js';
import type { HollowCommand, HollowEvent, HollowMeasure, TaskEvent, WorkerFault } from './messages.js';

/** How this program is started again, as another of its commands. */
export interface Launch {
  /** The Node.js executable, its flags for controllers, and this program's script. */
  readonly node: string;
  readonly controllerFlags: readonly string[];
  readonly script: string;
}

const READY_WITHIN_MS = 15_000;
const MEASURED_WITHIN_MS = 10_000;
/** All machines that gangs may use share this process: the tasks of a gang find each other within one. */
const GANG_PROCESS = 0;

interface Hollow {
  readonly child: ChildProcess;
  ended: boolean;
}

export interface FleetOptions {
  readonly day: Day;
  readonly seed: number;
  readonly processes: number;
  readonly launch: Launch;
  readonly runtime: Runtime;
  readonly controllers: readonly { readonly name: string; readonly at: Endpoint }[];
  readonly task: (event: TaskEvent) => void;
  /** A process of workers ended although nobody asked it to. */
  readonly failed: (error: ScaleError) => void;
}

/** Machines that a gang of this day may run on. */
function gangTypes(day: Day): ReadonlySet<string> {
  const gangs = day.classes.filter(({ shape }) => shape === 'gang');
  const types = day.machine_types.filter((type) =>
    gangs.some((c) => (c.types?.includes(type.name) ?? true) && type.gpus >= c.gpus && type.cpus >= c.cpus),
  );
  return new Set(types.map(({ name }) => name));
}

/** The workers of a scale run, hollow, in a few processes that are started and ended here. */
export class HollowFleet implements WorkerHosts {
  private readonly hollows: Hollow[] = [];
  private readonly hostOf = new Map<string, Hollow>();
  private readonly machines = new Map<string, Machine>();
  private readonly waiting = new Map<number, (measure: HollowMeasure) => void>();
  private readonly gangTypes: ReadonlySet<string>;
  private nextMeasure = 1;
  private placed = 0;
  private ending = false;

  constructor(private readonly options: FleetOptions) {
    this.gangTypes = gangTypes(options.day);
  }

  /** Starts the processes; resolves once each is ready for machines. */
  async start(): Promise<void> {
    const { processes, launch, day, seed, controllers } = this.options;
    const facts = workerFacts(day);
    const gangs = { waitS: facts.gangWaitS, peerS: facts.gangPeerS };
    const ready: Promise<void>[] = [];
    for (let i = 0; i < processes; i++) {
      const child = fork(launch.script, ['region', 'hollow-workers'], {
        execPath: launch.node,
        execArgv: [],
        stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
      });
      const hollow: Hollow = { child, ended: false };
      this.hollows.push(hollow);
      child.on('exit', (code, signal) => this.exited(hollow, i, code, signal));
      child.on('error', (error) =>
        this.options.failed(new ScaleError(`workers ${i} could not be started: ${error.message}`)),
      );
      ready.push(this.ready(hollow, i));
      this.send(hollow, { kind: 'configure', seed, facts, gangs, controllers });
    }
    await Promise.all(ready);
  }

  private ready(hollow: Hollow, index: number): Promise<void> {
    return new Promise((resolve, reject) => {
      const timer = this.options.runtime.after(READY_WITHIN_MS, () =>
        reject(new ScaleError(`workers ${index} were not ready within ${READY_WITHIN_MS / 1000} s`)),
      );
      hollow.child.on('message', (event) => {
        this.take(event as HollowEvent, () => {
          timer.cancel();
          resolve();
        });
      });
    });
  }

  private take(event: HollowEvent, ready: () => void): void {
    switch (event.kind) {
      case 'ready':
        ready();
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
        this.waiting.get(event.id)?.(event.measure);
        break;
    }
  }

  private exited(hollow: Hollow, index: number, code: number | null, signal: string | null): void {
    hollow.ended = true;
    if (!this.ending) this.options.failed(new ScaleError(`workers ${index} ended: ${signal ?? `exit code ${code}`}`));
  }

  private send(hollow: Hollow, command: HollowCommand): void {
    if (!hollow.ended && hollow.child.connected) hollow.child.send(command);
  }

  get pids(): number[] {
    return this.hollows.flatMap(({ child, ended }) => (ended || child.pid === undefined ? [] : [child.pid]));
  }

  machine(id: string): Machine | undefined {
    return this.machines.get(id);
  }

  up(machine: Machine): void {
    const hollow = this.hollows[this.processFor(machine)];
    if (!hollow) return;
    this.machines.set(machine.id, machine);
    this.hostOf.set(machine.id, hollow);
    const { id, type, zone } = machine;
    this.send(hollow, { kind: 'up', machine: { id, type, zone } });
  }

  private processFor({ type }: Machine): number {
    const others = this.hollows.length - 1;
    if (others === 0 || this.gangTypes.has(type.name)) return GANG_PROCESS;
    this.placed += 1;
    return 1 + (this.placed % others);
  }

  gone(machine: Machine): void {
    const hollow = this.hostOf.get(machine.id);
    this.hostOf.delete(machine.id);
    if (hollow) this.send(hollow, { kind: 'gone', machine: machine.id });
  }

  /** Every process may be told to start tasks of it. */
  job({ spec, runS, mistaken }: JobTruth): void {
    const runs = spec.shape === 'sweep' ? Array.from({ length: spec.pieces }, (_, i) => runS(i)) : [runS(0)];
    for (const hollow of this.hollows) this.send(hollow, { kind: 'job', job: { spec, runS: runs, mistaken } });
  }

  fault(machine: string, fault: WorkerFault, downS = 0): void {
    const hollow = this.hostOf.get(machine);
    if (hollow) this.send(hollow, { kind: 'fault', fault, machine, downS });
  }

  /** What all workers have sent and received so far. */
  async measure(): Promise<HollowMeasure> {
    const measures = await Promise.all(this.hollows.map((hollow, i) => this.measureOne(hollow, i)));
    return measures.reduce((a, b) => ({
      workers: a.workers + b.workers,
      reports: a.reports + b.reports,
      commands: a.commands + b.commands,
      reportTraffic: addTraffic(a.reportTraffic, b.reportTraffic),
      commandTraffic: addTraffic(a.commandTraffic, b.commandTraffic),
    }));
  }

  private measureOne(hollow: Hollow, index: number): Promise<HollowMeasure> {
    const id = this.nextMeasure++;
    return new Promise((resolve, reject) => {
      const timer = this.options.runtime.after(MEASURED_WITHIN_MS, () => {
        this.waiting.delete(id);
        reject(new ScaleError(`workers ${index} gave no figures within ${MEASURED_WITHIN_MS / 1000} s`));
      });
      this.waiting.set(id, (measure) => {
        timer.cancel();
        this.waiting.delete(id);
        resolve(measure);
      });
      this.send(hollow, { kind: 'measure', id });
    });
  }

  /** Ends every process, by its id. */
  end(): void {
    this.ending = true;
    for (const { child, ended } of this.hollows) if (!ended) child.kill('SIGKILL');
  }
}

type Traffic = HollowMeasure['reportTraffic'];

const addTraffic = (a: Traffic, b: Traffic): Traffic => ({
  connections: a.connections + b.connections,
  bytesIn: a.bytesIn + b.bytesIn,
  bytesOut: a.bytesOut + b.bytesOut,
});
