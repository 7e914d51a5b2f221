import type { Logger, Runtime } from '../../../../src/kernel/index.js';
import { isObject, HttpClient } from '../../../../src/kernel/index.js';
import type { Breach } from '../checker/index.js';
import type { Day } from '../day/index.js';
import { EndingRuntime, type Traffic } from '../ending.js';
import type { StateOperation } from '../models/index.js';
import { RegionParts, type ControllerSeat, type Place, type RegionObserver, type Seat } from '../parts.js';
import { LOOPBACK } from '../real.js';
import { Luck } from '../sim/index.js';
import { ConfigurationLoad, type ConfigurationResult } from './configuration.js';
import { ControllerProcesses, freePorts } from './controllers.js';
import { ScaleError } from './errors.js';
import { checkDay, playFault } from './faults.js';
import { HollowFleet, type Launch } from './fleet.js';
import type { HollowMeasure, TaskEvent } from './messages.js';
import { StartMeter, type StartWaits } from './meter.js';
import { OrderedEvents } from './ordered.js';
import { checkSize } from './resources.js';
import { UsageMeter, type ProcessResult, type Watched } from './usage.js';

const HERE = { host: LOOPBACK, port: 0 };
/** Events of the workers' processes are judged in the order of their times, so long after they happened. */
const EVENT_LAG_MS = 400;
const EVENTS_EVERY_MS = 20;
const SAMPLE_EVERY_MS = 1000;
const STATUS_TIMEOUT_MS = 5000;
/** A job's tasks may fill the machines twice over in the estimate of a run's memory. */
const TASKS_PER_WORKER = 24;

export interface ScaleOptions {
  /** At the size at which it is run. */
  readonly day: Day;
  readonly hollowProcesses: number;
  /** Seconds that pass before anything is measured, and that are measured. */
  readonly warmupS: number;
  readonly seconds: number;
  /** Changes of the operators' settings while it is measured, and so many at once at its middle. */
  readonly changesPerMinute: number;
  readonly changesAtOnce: number;
  readonly launch: Launch;
  readonly log: Logger;
  readonly ownPid: number;
  readonly machineBytes: number;
  readonly stop?: () => boolean;
  readonly progress?: (line: string) => void;
}

/** Messages and bytes a second, seen from the side that is named first. */
export interface InterfaceResult {
  readonly name: string;
  readonly messagesPerS: number;
  readonly bytesOutPerS: number;
  readonly bytesInPerS: number;
}

export interface ScaleResult {
  readonly day: string;
  readonly controllers: number;
  readonly workers: number;
  readonly teams: number;
  readonly seconds: number;
  readonly processes: readonly ProcessResult[];
  readonly interfaces: readonly InterfaceResult[];
  /** Frames and bytes a second between controllers, all together, by kind. */
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
  /** Of jobs that were submitted while it was measured. */
  readonly waits: readonly StartWaits[];
  readonly configuration: ConfigurationResult;
  /** Rules that were broken; jobs left waiting are not judged here. */
  readonly breaches: readonly Breach[];
  /** Events of workers that came too late to be put into order. */
  readonly lateEvents: number;
  readonly warnings: { readonly count: number; readonly first: readonly string[] };
}

interface Snapshot {
  readonly atMs: number;
  readonly hollow: HollowMeasure;
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

/** A part of the region that this process plays, on sockets of its own so that its traffic is counted apart. */
interface CountedSeat extends Seat {
  readonly runtime: EndingRuntime;
}

/**
 * Whole controllers as processes of their own against models of everything else, in real time on loopback. Workers are hollow
 * and share a few processes; state service, cloud, users and the checker are this process. Everything that is started is ended,
 * however the run ends.
 */
export class ScaleRun {
  private readonly runtime: Runtime;
  private readonly seats = new Map<string, CountedSeat>();
  private readonly events: OrderedEvents<TaskEvent>;
  private readonly meter: StartMeter;
  private readonly usage: UsageMeter;
  private failure: ScaleError | null = null;
  private fleet: HollowFleet | undefined;
  private controllers: ControllerProcesses | undefined;
  private configuration: ConfigurationLoad | undefined;
  private parts: RegionParts | undefined;
  /** The time of the event that is being judged; null: now. */
  private judgedAt: number | null = null;
  private readonly beganWall: number;

  constructor(private readonly options: ScaleOptions) {
    const { day, hollowProcesses, machineBytes } = options;
    checkDay(day);
    const workers = day.machines.reduce((sum, { count }) => sum + count, 0);
    const size = { controllers: day.controllers.count, hollowProcesses, workers, tasks: workers * TASKS_PER_WORKER };
    checkSize(size, machineBytes);
    this.runtime = new EndingRuntime();
    this.beganWall = this.runtime.wall();
    this.events = new OrderedEvents(EVENT_LAG_MS, (event, atMs) => this.judge(event, atMs));
    const aims = day.classes.flatMap(({ name, aims: all }) =>
      all.flatMap((aim) => (aim.kind === 'wait' ? [[name, aim.within_s * 1000] as const] : [])),
    );
    this.meter = new StartMeter(() => this.now(), new Map(aims));
    this.usage = new UsageMeter(
      () => this.runtime.now(),
      () => this.watched(),
    );
  }

  /** Runs it from start to end. Resolves to the figures, or rejects with what went wrong; nothing is left running. */
  async run(): Promise<ScaleResult> {
    try {
      await this.begin();
      await this.pass(this.options.warmupS, 'warming up');
      return await this.measure();
    } finally {
      this.end();
    }
  }

  /** Ends everything that was started, by process id. */
  end(): void {
    this.parts?.users.stop();
    this.configuration?.close();
    this.controllers?.end();
    this.fleet?.end();
    for (const { runtime } of this.seats.values()) runtime.end();
    (this.runtime as EndingRuntime).end();
  }

  private now(): number {
    return this.judgedAt ?? this.runtime.wall() - this.beganWall;
  }

  private watched(): Watched[] {
    const controllers = [...(this.controllers?.pids ?? [])].map(([name, pid]): Watched => ({
      role: 'controller',
      name,
      pid,
    }));
    const workers = (this.fleet?.pids ?? []).map((pid, i): Watched => ({ role: 'workers', name: `workers ${i}`, pid }));
    return [...controllers, ...workers, { role: 'models', name: 'models', pid: this.options.ownPid }];
  }

  private seat(name: string): CountedSeat {
    const runtime = new EndingRuntime();
    const seat: CountedSeat = { runtime, watchdog: runtime, at: HERE, close: () => runtime.end() };
    this.seats.set(name, seat);
    return seat;
  }

  private readonly failed = (error: ScaleError): void => {
    this.failure ??= error;
  };

  private async begin(): Promise<void> {
    const { day, hollowProcesses, launch, log, progress } = this.options;
    const ports = await freePorts(2 * day.controllers.count);
    const seats = Array.from({ length: day.controllers.count }, (_, i): ControllerSeat => ({
      name: `node-${i}`,
      zone: day.zones[i % day.zones.length] ?? '',
      serveOn: { host: LOOPBACK, port: ports[2 * i] ?? 0 },
      peerOn: { host: LOOPBACK, port: ports[2 * i + 1] ?? 0 },
    }));
    const luck = new Luck(day.seed, day.name);
    const fleet = new HollowFleet({
      ...{ day, seed: day.seed, processes: hollowProcesses, launch, runtime: this.runtime, failed: this.failed },
      controllers: seats.map(({ name, serveOn }) => ({ name, at: serveOn })),
      task: (event) => this.heard(event),
    });
    this.fleet = fleet;
    progress?.(`starting ${hollowProcesses} processes of workers`);
    await fleet.start();
    const place: Place = { seat: (name) => this.seat(name), now: () => this.now() };
    const parts = new RegionParts({
      ...{ day, luck, place, log, controllers: seats, note: () => undefined, hosts: fleet },
      observer: this.observer(fleet),
    });
    this.parts = parts;
    const [state = 0, cloud = 0] = await parts.start();
    const controllers = new ControllerProcesses({
      ...{ day, seats, launch, runtime: this.runtime, failed: this.failed },
      services: { state: { host: LOOPBACK, port: state }, cloud: { host: LOOPBACK, port: cloud } },
    });
    this.controllers = controllers;
    progress?.(`starting ${seats.length} controllers`);
    await controllers.start();
    this.runtime.every(EVENTS_EVERY_MS, () => this.events.advance(this.runtime.wall()));
    this.configuration = new ConfigurationLoad(
      seats.map(({ serveOn }) => serveOn),
      this.runtime,
      () => parts.cloud.up.map(({ id }) => id),
    );
    parts.open();
    for (const trouble of day.troubles) {
      const targets = { day, parts, fleet, controllers, runtime: this.runtime, luck: luck.fork('faults') };
      this.runtime.after(trouble.at_s * 1000, () => playFault(trouble, targets));
    }
  }

  /** Jobs are told to the workers as their users upload them. */
  private observer(fleet: HollowFleet): RegionObserver {
    const { meter } = this;
    return {
      arrived: (view) => {
        fleet.job(view.job);
        meter.arrived(view);
      },
      ordered: (machine, job, index) => meter.ordered(machine, job, index),
      entered: (machine, job, index) => meter.entered(machine, job, index),
      running: (machine, job, index) => meter.running(machine, job, index),
      left: (machine, job, index) => meter.left(machine, job, index),
    };
  }

  /** Tells the checker and the meter what truly happened, as of when it did. */
  private judge({ kind, machine: id, job: ref, index, attempt, cause }: TaskEvent, atMs: number): void {
    const machine = this.fleet?.machine(id);
    const job = this.parts?.jobs.get(ref);
    if (!machine || !job || !this.parts) return;
    this.judgedAt = atMs - this.beganWall;
    try {
      if (kind === 'left') this.parts.left(machine, job, index, attempt, cause ?? 'killed');
      else this.parts[kind](machine, job, index, attempt);
    } finally {
      this.judgedAt = null;
    }
  }

  /**
   * Results count at once, for users are answered and judged at once, too; everything else waits until it can be put into
   * order. Seen as jobs that seemed to be called done before their tasks were.
   */
  private heard(event: TaskEvent): void {
    if (event.kind === 'left' && event.cause === 'done') this.parts?.jobs.get(event.job)?.finished.add(event.index);
    this.events.add(event, event.atMs);
  }

  /** Lets time pass; rejects as soon as something that was started has failed. */
  private async pass(seconds: number, what: string): Promise<void> {
    const until = this.runtime.now() + seconds * 1000;
    let told = Number.NEGATIVE_INFINITY;
    while (this.runtime.now() < until) {
      if (this.failure) throw this.failure;
      if (this.options.stop?.() === true) throw new ScaleError('stopped');
      const leftMs = until - this.runtime.now();
      if (this.runtime.now() - told > 5000) {
        told = this.runtime.now();
        this.options.progress?.(
          `${what}: ${Math.ceil(leftMs / 1000)} s left, ${this.meter.runningNow} tasks running, ${this.meter.jobs} jobs`,
        );
      }
      await this.runtime.sleep(Math.min(SAMPLE_EVERY_MS, Math.max(1, leftMs)));
      this.usage.sample();
    }
  }

  private async measure(): Promise<ScaleResult> {
    const { seconds, changesPerMinute, changesAtOnce } = this.options;
    const before = await this.snapshot();
    this.meter.measuredFrom = this.now();
    this.meter.runningPeak = this.meter.runningNow;
    this.usage.begin();
    const changes: Promise<void>[] = [];
    const change = (): void => {
      if (this.configuration) changes.push(this.configuration.change());
    };
    const timer = changesPerMinute > 0 ? this.runtime.every(60_000 / changesPerMinute, change) : undefined;
    await this.pass(seconds / 2, 'measuring');
    if (changesAtOnce > 0 && this.configuration) changes.push(this.configuration.burst(changesAtOnce));
    await this.pass(seconds / 2, 'measuring');
    timer?.cancel();
    const processes = this.usage.results();
    const running = this.meter.runningNow;
    const after = await this.snapshot();
    await Promise.all(changes);
    return this.result(before, after, processes, running);
  }

  private async snapshot(): Promise<Snapshot> {
    const { fleet, parts } = this;
    if (!fleet || !parts) throw new ScaleError('the run has not begun');
    const traffic = (name: string): Traffic => {
      const { opened, accepted } = this.seats.get(name)?.runtime.traffic ?? NO_TRAFFIC;
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

  /** What all controllers together have sent to their peers, by kind of frame; one that gives no answer is left out. */
  private async peerTraffic(): Promise<Snapshot['peers']> {
    const total = new Map<string, { frames: number; bytes: number }>();
    for (const { serveOn } of this.controllers?.seats ?? []) {
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

  private result(before: Snapshot, after: Snapshot, processes: readonly ProcessResult[], running: number): ScaleResult {
    const { day } = this.options;
    const { parts, controllers, configuration } = this;
    if (!parts || !controllers || !configuration) throw new ScaleError('the run has not begun');
    const seconds = (after.atMs - before.atMs) / 1000;
    const rate = (of: (snapshot: Snapshot) => number): number => (of(after) - of(before)) / seconds;
    const face = (
      name: string,
      messages: (snapshot: Snapshot) => number,
      traffic: (snapshot: Snapshot) => Traffic,
    ): InterfaceResult => ({
      name,
      messagesPerS: rate(messages),
      bytesOutPerS: rate((s) => traffic(s).bytesOut),
      bytesInPerS: rate((s) => traffic(s).bytesIn),
    });
    const operations = Object.keys(after.operations) as StateOperation[];
    const peerFrames = [...after.peers].map(([kind, { frames, bytes }]) => {
      const was = before.peers.get(kind) ?? { frames: 0, bytes: 0 };
      return [kind, { framesPerS: (frames - was.frames) / seconds, bytesPerS: (bytes - was.bytes) / seconds }] as const;
    });
    return {
      ...{ day: day.name, controllers: day.controllers.count, workers: after.hollow.workers, teams: day.teams.length },
      ...{ seconds, processes },
      interfaces: [
        face(
          'workers: reports',
          (s) => s.hollow.reports,
          (s) => s.hollow.reportTraffic,
        ),
        face(
          'workers: commands',
          (s) => s.hollow.commands,
          (s) => s.hollow.commandTraffic,
        ),
        face(
          'state service',
          (s) => s.requests,
          (s) => s.state,
        ),
        face(
          'cloud',
          (s) => s.cloudCalls,
          (s) => s.cloud,
        ),
        face(
          'users, health checks (connections)',
          (s) => s.users.connections,
          (s) => s.users,
        ),
      ],
      peerFrames: Object.fromEntries(peerFrames),
      state: {
        requestsPerS: rate((s) => s.requests),
        byOperation: Object.fromEntries(
          operations.map((operation) => [operation, rate((s) => s.operations[operation])]),
        ) as Record<StateOperation, number>,
        changesPerS: rate((s) => s.changes),
        refused: after.refused - before.refused,
        ...parts.state.stored,
      },
      tasks: {
        ...{ startsPerS: rate((s) => s.starts), jobsPerS: rate((s) => s.jobs) },
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

const NONE: Traffic = { connections: 0, bytesIn: 0, bytesOut: 0 };
const NO_TRAFFIC = { opened: NONE, accepted: NONE };
