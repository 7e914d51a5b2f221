/** Measures whole controllers, as separate processes, under the load of a modelled region. */

import type { Logger, Runtime } from '../../../../src/kernel/index.js';
import { isObject, HttpClient } from '../../../../src/kernel/index.js';
import type { RuleViolation } from '../checker/index.js';
import type { SimulationScenario } from '../scenario/index.js';
import { DisposableRuntime, type Traffic } from '../disposable-runtime.js';
import type { StateOperation } from '../models/index.js';
import {
  RegionParts,
  type ControllerSpec,
  type HostProvider,
  type RegionObserver,
  type ModelHost,
} from '../region-parts.js';
import { LOOPBACK_ADDRESS } from '../loopback-region.js';
import { RandomStream } from '../sim/index.js';
import { ConfigurationLoad, type ConfigurationResult } from './configuration-load.js';
import { ControllerProcesses, findFreePorts } from './controller-processes.js';
import { ScaleError } from './errors.js';
import { checkScaleDay, injectFault } from './fault-injection.js';
import { HollowFleet, type ProcessLaunch } from './hollow-fleet.js';
import type { HollowMeasurement, TaskEvent } from './messages.js';
import { StartMeter, type StartWaits } from './start-meter.js';
import { OrderedEvents } from './ordered-events.js';
import { checkRunSize } from './run-size.js';
import { UsageMeter, type ProcessResult, type WatchedProcess } from './usage-meter.js';

/** Listens on loopback, on a port that the operating system assigns. */
const ANY_LOOPBACK_PORT = { host: LOOPBACK_ADDRESS, port: 0 };
/** Events of worker processes are delivered to the checker this long after they happened, so that they can be ordered by time. */
const EVENT_REORDER_DELAY_MS = 400;
const EVENT_RELEASE_INTERVAL_MS = 20;
const USAGE_SAMPLE_INTERVAL_MS = 1000;
const STATUS_TIMEOUT_MS = 5000;
/** Upper estimate of tasks per worker for the memory check: the tasks may fill every machine twice. */
const ESTIMATED_TASKS_PER_WORKER = 24;

/** Options of a scale run. */
export interface ScaleOptions {
  /** The day, already scaled to the size of the run. */
  readonly day: SimulationScenario;
  /** Number of processes that share the hollow workers. */
  readonly hollowProcesses: number;
  /** Seconds before the measurement begins. */
  readonly warmupS: number;
  /** Seconds of the measurement. */
  readonly seconds: number;
  /** Rate of changes to the operators' settings during the measurement. */
  readonly changesPerMinute: number;
  /** Number of further changes that are sent at once in the middle of the measurement. */
  readonly changesAtOnce: number;
  readonly launch: ProcessLaunch;
  readonly log: Logger;
  /** Process id of the run itself, for its resource usage. */
  readonly ownPid: number;
  /** Memory of the host machine in bytes. */
  readonly machineBytes: number;
  /** Polled during the run; true ends the run with an error. */
  readonly stop?: () => boolean;
  /** Receives progress lines for the user. */
  readonly progress?: (line: string) => void;
}

/** Message and byte rates of an interface, as seen from the side that its name begins with. */
export interface InterfaceResult {
  readonly name: string;
  readonly messagesPerS: number;
  readonly bytesOutPerS: number;
  readonly bytesInPerS: number;
}

/** Measurements of a scale run. Rates are averages over the measurement. */
export interface ScaleResult {
  readonly day: string;
  readonly controllers: number;
  readonly workers: number;
  readonly teams: number;
  readonly seconds: number;
  readonly processes: readonly ProcessResult[];
  readonly interfaces: readonly InterfaceResult[];
  /** Rates of frames and bytes that all controllers together sent to their peers, by kind of frame. */
  readonly peerFrames: Readonly<Record<string, { readonly framesPerS: number; readonly bytesPerS: number }>>;
  readonly state: {
    readonly requestsPerS: number;
    readonly byOperation: Readonly<Record<StateOperation, number>>;
    readonly changesPerS: number;
    readonly refused: number;
    readonly keys: number;
    readonly bytes: number;
  };
  readonly tasks: {
    readonly startsPerS: number;
    readonly jobsPerS: number;
    readonly running: number;
    readonly runningPeak: number;
  };
  /** Start delays of jobs that were submitted during the measurement. */
  readonly waits: readonly StartWaits[];
  readonly configuration: ConfigurationResult;
  /** Violations of protocol rules. Whether jobs wait too long is not checked here. */
  readonly breaches: readonly RuleViolation[];
  /** Worker events that arrived too late to be ordered by time. */
  readonly lateEvents: number;
  /** Warnings in the logs of the controllers: their number and the first of them. */
  readonly warnings: { readonly count: number; readonly first: readonly string[] };
}

/** Counters at one moment; rates are differences of two snapshots. */
interface Snapshot {
  readonly atMs: number;
  readonly hollow: HollowMeasurement;
  readonly state: Traffic;
  readonly cloud: Traffic;
  readonly users: Traffic;
  readonly requests: number;
  readonly operations: Readonly<Record<StateOperation, number>>;
  readonly changes: number;
  readonly refused: number;
  readonly cloudCalls: number;
  readonly starts: number;
  readonly jobs: number;
  readonly peers: ReadonlyMap<string, { readonly frames: number; readonly bytes: number }>;
}

/** A part of the region that runs in this process, with its own runtime so that its traffic is counted separately. */
interface MeteredHost extends ModelHost {
  readonly runtime: DisposableRuntime;
}

/**
 * Runs whole controllers as separate processes against models of everything else, in real time on loopback. Workers are hollow
 * and share a few processes; the state service, the cloud, the users and the checker run in this process. Every process that
 * is started is also ended, whether the run succeeds or fails.
 */
export class ScaleRun {
  private readonly runtime: Runtime;
  private readonly meteredHosts = new Map<string, MeteredHost>();
  private readonly events: OrderedEvents<TaskEvent>;
  private readonly meter: StartMeter;
  private readonly usage: UsageMeter;
  private failure: ScaleError | null = null;
  private fleet: HollowFleet | undefined;
  private controllers: ControllerProcesses | undefined;
  private configuration: ConfigurationLoad | undefined;
  private parts: RegionParts | undefined;
  /** Time of the worker event that is being delivered, in milliseconds since the start; null: the current time applies. */
  private eventTimeMs: number | null = null;
  /** Wall-clock time of the start. */
  private readonly startedAtWallMs: number;

  constructor(private readonly options: ScaleOptions) {
    const { day, hollowProcesses, machineBytes } = options;
    checkScaleDay(day);
    const workers = day.machines.reduce((sum, { count }) => sum + count, 0);
    const size = {
      controllers: day.controllers.count,
      hollowProcesses,
      workers,
      tasks: workers * ESTIMATED_TASKS_PER_WORKER,
    };
    checkRunSize(size, machineBytes);
    this.runtime = new DisposableRuntime();
    this.startedAtWallMs = this.runtime.wall();
    this.events = new OrderedEvents(EVENT_REORDER_DELAY_MS, (event, atMs) => this.deliverEvent(event, atMs));
    const aims = day.classes.flatMap(({ name, aims: all }) =>
      all.flatMap((objective) => (objective.kind === 'wait' ? [[name, objective.within_s * 1000] as const] : [])),
    );
    this.meter = new StartMeter(() => this.now(), new Map(aims));
    this.usage = new UsageMeter(
      () => this.runtime.now(),
      () => this.watchedProcesses(),
    );
  }

  /** Runs from start to end. Resolves to the measurements, or rejects with the failure; no process is left running. */
  async run(): Promise<ScaleResult> {
    try {
      await this.startAll();
      await this.waitWhileSampling(this.options.warmupS, 'warming up');
      return await this.measure();
    } finally {
      this.end();
    }
  }

  /** Ends everything that was started, child processes by their process ids. */
  end(): void {
    this.parts?.users.stop();
    this.configuration?.close();
    this.controllers?.end();
    this.fleet?.end();
    for (const { runtime } of this.meteredHosts.values()) runtime.dispose();
    (this.runtime as DisposableRuntime).dispose();
  }

  /** Milliseconds since the start: the time of the event that is being delivered, or else the current time. */
  private now(): number {
    return this.eventTimeMs ?? this.runtime.wall() - this.startedAtWallMs;
  }

  /** Processes whose resource usage is measured. */
  private watchedProcesses(): WatchedProcess[] {
    const controllers = [...(this.controllers?.pids ?? [])].map(([name, pid]): WatchedProcess => ({
      role: 'controller',
      name,
      pid,
    }));
    const workers = (this.fleet?.pids ?? []).map((pid, i): WatchedProcess => ({
      role: 'workers',
      name: `workers ${i}`,
      pid,
    }));
    return [...controllers, ...workers, { role: 'models', name: 'models', pid: this.options.ownPid }];
  }

  /** Creates a runtime of its own for a part of the region. */
  private createMeteredHost(name: string): MeteredHost {
    const runtime = new DisposableRuntime();
    const host: MeteredHost = { runtime, watchdog: runtime, at: ANY_LOOPBACK_PORT, close: () => runtime.dispose() };
    this.meteredHosts.set(name, host);
    return host;
  }

  /** Keeps the first failure, with which the run rejects. */
  private readonly recordFailure = (error: ScaleError): void => {
    this.failure ??= error;
  };

  /** Starts the workers, the models and the controllers, then starts the users and schedules the faults of the day. */
  private async startAll(): Promise<void> {
    const { day, hollowProcesses, launch, log, progress } = this.options;
    const ports = await findFreePorts(2 * day.controllers.count);
    const specs = Array.from({ length: day.controllers.count }, (_, i): ControllerSpec => ({
      name: `node-${i}`,
      zone: day.zones[i % day.zones.length] ?? '',
      serveOn: { host: LOOPBACK_ADDRESS, port: ports[2 * i] ?? 0 },
      peerOn: { host: LOOPBACK_ADDRESS, port: ports[2 * i + 1] ?? 0 },
    }));
    const random = new RandomStream(day.seed, day.name);
    const fleet = new HollowFleet({
      ...{ day, seed: day.seed, processes: hollowProcesses, launch, runtime: this.runtime, failed: this.recordFailure },
      controllers: specs.map(({ name, serveOn }) => ({ name, at: serveOn })),
      task: (event) => this.receiveEvent(event),
    });
    this.fleet = fleet;
    progress?.(`starting ${hollowProcesses} worker processes`);
    await fleet.start();
    const place: HostProvider = { createHost: (name) => this.createMeteredHost(name), now: () => this.now() };
    const parts = new RegionParts({
      ...{ day, random, place, log, controllers: specs, logEvent: () => undefined, externalWorkers: fleet },
      observer: this.createObserver(fleet),
    });
    this.parts = parts;
    const [state = 0, cloud = 0] = await parts.start();
    const controllers = new ControllerProcesses({
      ...{ day, specs, launch, runtime: this.runtime, failed: this.recordFailure },
      services: { state: { host: LOOPBACK_ADDRESS, port: state }, cloud: { host: LOOPBACK_ADDRESS, port: cloud } },
    });
    this.controllers = controllers;
    progress?.(`starting ${specs.length} controllers`);
    await controllers.start();
    this.runtime.every(EVENT_RELEASE_INTERVAL_MS, () => this.events.advance(this.runtime.wall()));
    this.configuration = new ConfigurationLoad(
      specs.map(({ serveOn }) => serveOn),
      this.runtime,
      () => parts.cloud.up.map(({ id }) => id),
    );
    parts.startUsers();
    for (const fault of day.troubles) {
      const targets = { day, parts, fleet, controllers, runtime: this.runtime, random: random.fork('faults') };
      this.runtime.after(fault.at_s * 1000, () => injectFault(fault, targets));
    }
  }

  /** Sends jobs to the workers when users upload them, and passes task events to the meter. */
  private createObserver(fleet: HollowFleet): RegionObserver {
    const { meter } = this;
    return {
      jobSubmitted: (view) => {
        fleet.addJob(view.job);
        meter.arrived(view);
      },
      ordered: (machine, job, index) => meter.ordered(machine, job, index),
      entered: (machine, job, index) => meter.entered(machine, job, index),
      running: (machine, job, index) => meter.running(machine, job, index),
      left: (machine, job, index) => meter.left(machine, job, index),
    };
  }

  /** Delivers a worker event to the checker and the meter, with the time at which it happened. */
  private deliverEvent({ kind, machine: id, job: ref, index, attempt, cause }: TaskEvent, atMs: number): void {
    const machine = this.fleet?.machine(id);
    const job = this.parts?.jobs.get(ref);
    if (!machine || !job || !this.parts) return;
    this.eventTimeMs = atMs - this.startedAtWallMs;
    try {
      if (kind === 'left') this.parts.left(machine, job, index, attempt, cause ?? 'killed');
      else this.parts[kind](machine, job, index, attempt);
    } finally {
      this.eventTimeMs = null;
    }
  }

  /**
   * Queues a worker event for delivery in time order. Completed tasks are recorded at once, because the answers that users
   * get are also checked at once: otherwise jobs appear to be reported as done before their tasks are.
   */
  private receiveEvent(event: TaskEvent): void {
    if (event.kind === 'left' && event.cause === 'done') this.parts?.jobs.get(event.job)?.finished.add(event.index);
    this.events.add(event, event.atMs);
  }

  /** Waits and samples resource usage meanwhile. Rejects as soon as a process has failed or the run is to stop. */
  private async waitWhileSampling(seconds: number, phase: string): Promise<void> {
    const deadlineMs = this.runtime.now() + seconds * 1000;
    let lastProgressAtMs = Number.NEGATIVE_INFINITY;
    while (this.runtime.now() < deadlineMs) {
      if (this.failure) throw this.failure;
      if (this.options.stop?.() === true) throw new ScaleError('the scale run was stopped');
      const leftMs = deadlineMs - this.runtime.now();
      if (this.runtime.now() - lastProgressAtMs > 5000) {
        lastProgressAtMs = this.runtime.now();
        this.options.progress?.(
          `${phase}: ${Math.ceil(leftMs / 1000)} s left, ${this.meter.runningNow} tasks running, ${this.meter.jobs} jobs`,
        );
      }
      await this.runtime.sleep(Math.min(USAGE_SAMPLE_INTERVAL_MS, Math.max(1, leftMs)));
      this.usage.sample();
    }
  }

  /** Measures for the configured time, while changes of the settings are sent. */
  private async measure(): Promise<ScaleResult> {
    const { seconds, changesPerMinute, changesAtOnce } = this.options;
    const before = await this.snapshot();
    this.meter.measuredFrom = this.now();
    this.meter.runningPeak = this.meter.runningNow;
    this.usage.begin();
    const changes: Promise<void>[] = [];
    const sendChange = (): void => {
      if (this.configuration) changes.push(this.configuration.sendNextChange());
    };
    const timer = changesPerMinute > 0 ? this.runtime.every(60_000 / changesPerMinute, sendChange) : undefined;
    await this.waitWhileSampling(seconds / 2, 'measuring');
    if (changesAtOnce > 0 && this.configuration) changes.push(this.configuration.sendBurst(changesAtOnce));
    await this.waitWhileSampling(seconds / 2, 'measuring');
    timer?.cancel();
    const processes = this.usage.results();
    const running = this.meter.runningNow;
    const after = await this.snapshot();
    await Promise.all(changes);
    return this.result(before, after, processes, running);
  }

  /** Reads all counters. */
  private async snapshot(): Promise<Snapshot> {
    const { fleet, parts } = this;
    if (!fleet || !parts) throw new ScaleError('the scale run has not been started');
    const traffic = (name: string): Traffic => {
      const { opened, accepted } = this.meteredHosts.get(name)?.runtime.traffic ?? ZERO_DIRECTED_TRAFFIC;
      return name === 'users' ? opened : accepted;
    };
    return {
      peers: await this.peerTraffic(),
      hollow: await fleet.measure(),
      ...{ atMs: this.runtime.now(), state: traffic('state'), cloud: traffic('cloud'), users: traffic('users') },
      ...{ requests: parts.state.counts.requests, changes: parts.state.counts.changes },
      ...{ refused: parts.state.counts.refused, operations: { ...parts.state.operations } },
      ...{ cloudCalls: parts.cloud.counts.calls, starts: this.meter.starts, jobs: this.meter.jobs },
    };
  }

  /** Totals that all controllers have sent to their peers, by kind of frame. Controllers that do not answer are left out. */
  private async peerTraffic(): Promise<Snapshot['peers']> {
    const total = new Map<string, { frames: number; bytes: number }>();
    for (const { serveOn } of this.controllers?.specs ?? []) {
      const client = new HttpClient(serveOn, 1, this.runtime);
      const path = '/admin/v1/status';
      const answer = await client.call({ method: 'GET', path, timeoutMs: STATUS_TIMEOUT_MS, maxResponseBytes: 32e6 });
      client.close();
      const peers = answer.kind === 'answered' && isObject(answer.body) ? answer.body['peers'] : undefined;
      const sent = isObject(peers) && isObject(peers['sent']) ? peers['sent'] : {};
      for (const [kind, count] of Object.entries(sent)) {
        if (!isObject(count)) continue;
        const sum = total.get(kind) ?? { frames: 0, bytes: 0 };
        sum.frames += Number(count['frames']);
        sum.bytes += Number(count['bytes']);
        total.set(kind, sum);
      }
    }
    return total;
  }

  /** Computes the result from the snapshots before and after the measurement. */
  private result(before: Snapshot, after: Snapshot, processes: readonly ProcessResult[], running: number): ScaleResult {
    const { day } = this.options;
    const { parts, controllers, configuration } = this;
    if (!parts || !controllers || !configuration) throw new ScaleError('the scale run has not been started');
    const seconds = (after.atMs - before.atMs) / 1000;
    const ratePerS = (of: (snapshot: Snapshot) => number): number => (of(after) - of(before)) / seconds;
    const interfaceResult = (
      name: string,
      messages: (snapshot: Snapshot) => number,
      traffic: (snapshot: Snapshot) => Traffic,
    ): InterfaceResult => ({
      name,
      messagesPerS: ratePerS(messages),
      bytesOutPerS: ratePerS((s) => traffic(s).bytesOut),
      bytesInPerS: ratePerS((s) => traffic(s).bytesIn),
    });
    const operations = Object.keys(after.operations) as StateOperation[];
    const peerFrames = [...after.peers].map(([kind, { frames, bytes }]) => {
      const previous = before.peers.get(kind) ?? { frames: 0, bytes: 0 };
      return [
        kind,
        { framesPerS: (frames - previous.frames) / seconds, bytesPerS: (bytes - previous.bytes) / seconds },
      ] as const;
    });
    return {
      ...{ day: day.name, controllers: day.controllers.count, workers: after.hollow.workers, teams: day.teams.length },
      ...{ seconds, processes },
      interfaces: [
        interfaceResult(
          'workers: reports',
          (s) => s.hollow.reports,
          (s) => s.hollow.reportTraffic,
        ),
        interfaceResult(
          'workers: commands',
          (s) => s.hollow.commands,
          (s) => s.hollow.commandTraffic,
        ),
        interfaceResult(
          'state service',
          (s) => s.requests,
          (s) => s.state,
        ),
        interfaceResult(
          'cloud',
          (s) => s.cloudCalls,
          (s) => s.cloud,
        ),
        interfaceResult(
          'users, health checks (connections)',
          (s) => s.users.connections,
          (s) => s.users,
        ),
      ],
      peerFrames: Object.fromEntries(peerFrames),
      state: {
        requestsPerS: ratePerS((s) => s.requests),
        byOperation: Object.fromEntries(
          operations.map((operation) => [operation, ratePerS((s) => s.operations[operation])]),
        ) as Record<StateOperation, number>,
        changesPerS: ratePerS((s) => s.changes),
        refused: after.refused - before.refused,
        ...parts.state.stored,
      },
      tasks: {
        ...{ startsPerS: ratePerS((s) => s.starts), jobsPerS: ratePerS((s) => s.jobs) },
        ...{ running, runningPeak: this.meter.runningPeak },
      },
      waits: this.meter.waits(),
      configuration: configuration.result,
      breaches: parts.checker.breaches,
      lateEvents: this.events.late,
      warnings: controllers.warnings,
    };
  }
}

const ZERO_TRAFFIC: Traffic = { connections: 0, bytesIn: 0, bytesOut: 0 };
const ZERO_DIRECTED_TRAFFIC = { opened: ZERO_TRAFFIC, accepted: ZERO_TRAFFIC };
