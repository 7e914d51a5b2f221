import { sha256 } from '@noble/hashes/sha2.js';
import { bytesToHex, utf8ToBytes } from '@noble/hashes/utils.js';
import { pino } from 'pino';
import { HttpClient, isObject, type Logger } from '../../../src/kernel/index.js';
import type { RuleViolation } from './checker/index.js';
import { Controller } from './controller.js';
import type { SimulationScenario, Fault } from './scenario/index.js';
import type { ClassResult, TaskCounts } from './job-statistics.js';
import { RegionParts, type ControllerSpec, type HostProvider, type ModelHost } from './region-parts.js';
import type { Script } from './models/index.js';
import { ReleaseCatalog, CURRENT_RELEASE, type ControllerHandle } from './releases/index.js';
import { controllerSettingsToml } from './controller-settings.js';
import {
  SIMULATED_START_UTC_MS,
  RandomStream,
  Network,
  settlePendingCallbacks,
  SimProcess,
  EventQueue,
} from './sim/index.js';
import { startFault, type FaultTarget } from './fault-injection.js';
import { copiesArriveForS } from './message-copies.js';

const STATE_ADDRESS = { host: '10.2.0.1', port: 2379 };
const CLOUD_ADDRESS = { host: '10.2.0.2', port: 8443 };
const USERS_ADDRESS = { host: '10.3.0.1', port: 80 };
const WORKER_PORT = 9000;
/** Interval between two snapshots of the region. */
const SNAPSHOT_INTERVAL_MS = 5000;
/** The directory in the repository that holds the controllers of earlier releases. */
const RELEASES_DIR = 'packages/region/frozen';
/** Timeout of one request to a controller's leave endpoint. */
const LEAVE_REQUEST_TIMEOUT_MS = 2000;
/** Interval at which a controller is asked whether it has left. */
const LEAVE_POLL_INTERVAL_MS = 100;
/** Time after which a controller that has not left is killed. */
const LEAVE_TIMEOUT_MS = 20_000;
/** Lines of the event log beyond this size are still counted and hashed, but no longer passed to `event`. */
const MAX_EVENT_LOG_BYTES = 64 * 1024 * 1024;

/** Options of a simulated region. */
export interface RegionOptions {
  readonly day: SimulationScenario;
  /** Seed of all random streams; the day's own seed when not given. */
  readonly seed?: number;
  /** Receives the log lines of the controllers; they log nothing when not given. */
  readonly controllerLog?: { readonly level: string; readonly write: (line: string) => void };
  /** Called with each line of the event log, up to `MAX_EVENT_LOG_BYTES` in total. */
  readonly event?: (line: string) => void;
  /** Called for each violated rule. */
  readonly broken?: (violation: RuleViolation) => void;
  /** Jobs and the fates of machines and controllers, instead of those drawn at random for the day. */
  readonly script?: Script;
  /** How many of its latest events each controller keeps for recorders to fetch. */
  readonly trailEvents?: number;
  /** The controllers of earlier releases, for days that run them; those in the repository when not given. */
  readonly releases?: ReleaseCatalog;
  /** For tests: rewrites the settings file (TOML) that a controller gets. */
  readonly settings?: (toml: string) => string;
}

/** Options of a simulation run. */
export interface PlayOptions {
  /** Called when simulated time has advanced. The run waits for the returned promise, which can throttle it. */
  readonly moved?: (nowMs: number) => Promise<void> | undefined;
  /** Ends the run early once it returns true. */
  readonly stop?: () => boolean;
}

/** Counts of tasks, machines and controllers at one moment. */
export interface RegionSnapshot extends TaskCounts {
  readonly machinesUp: number;
  readonly controllersUp: number;
}

/** The result of a simulated day. */
export interface DayResult {
  readonly day: string;
  readonly seed: number;
  readonly simulatedS: number;
  readonly classes: readonly ClassResult[];
  /** `price` is the money spent per unit of useful cost; null without useful work. */
  readonly money: { readonly spent: number; readonly usefulCost: number; readonly price: number | null };
  readonly machines: CloudCounts;
  readonly state: { readonly requests: number; readonly changes: number; readonly refused: number };
  readonly controllerStarts: number;
  /** Snapshots at intervals of a few seconds, from the day's beginning. */
  readonly timeline: readonly RegionSnapshot[];
  /** Violated rules. */
  readonly breaches: readonly RuleViolation[];
  /** Task starts after the user was told that the job is cancelled, and how long after that the latest of them came. */
  readonly startsAfterCancel: { readonly count: number; readonly latestMs: number };
  /** Errors that the simulated programs threw, with their stacks. */
  readonly defects: readonly string[];
  /** References of jobs that were accepted and are neither done nor cancelled. */
  readonly open: readonly string[];
  /** Why the day has failed even if no rule was violated: classes, teams or large jobs that were not served. */
  readonly failures: readonly string[];
  /** Number of lines of the event log. */
  readonly events: number;
  /** SHA-256 of the event log, in hex. The same day, seed and program give the same digest. */
  readonly digest: string;
}

/** Counters of the cloud model. */
type CloudCounts = RegionParts['cloud']['counts'];

/** A whole region in simulated time. The controllers are the real program, unchanged; everything else is a model. */
export class Region implements FaultTarget {
  readonly world = new EventQueue();
  readonly network: Network;
  readonly parts: RegionParts;
  readonly controllers: readonly Controller[];
  readonly random: RandomStream;
  readonly day: SimulationScenario;
  readonly seed: number;
  /** Processes of the models, by name; a worker's is named after its machine. */
  private readonly processes = new Map<string, SimProcess>();
  private readonly log: Logger = pino({ level: 'silent' });
  /** Hash of the event log. */
  private readonly eventHash = sha256.create();
  private eventCount = 0;
  private eventLogBytes = 0;
  private nextWorkerNumber = 0;
  private externalProcessCount = 0;
  private readonly timeline: RegionSnapshot[] = [];
  private readonly releases: ReleaseCatalog;

  constructor(private readonly options: RegionOptions) {
    const { day } = options;
    this.releases = options.releases ?? new ReleaseCatalog(RELEASES_DIR);
    this.day = day;
    this.seed = options.seed ?? day.seed;
    this.random = new RandomStream(this.seed, day.name);
    const { network } = day;
    this.network = new Network(
      this.world,
      { sameZoneMs: network.same_zone_ms, crossZoneMs: network.cross_zone_ms, jitter: network.jitter },
      this.random.fork('network'),
    );
    const specs = Array.from({ length: day.controllers.count }, (_, i): ControllerSpec => {
      const host = `10.0.0.${i + 1}`;
      return {
        name: `node-${i}`,
        zone: day.zones[i % day.zones.length] ?? '',
        serveOn: { host, port: 8080 },
        peerOn: { host, port: 8081 },
      };
    });
    const place: HostProvider = {
      createHost: (name, zone) => this.createHost(name, zone),
      now: () => this.world.now,
    };
    this.parts = new RegionParts({
      ...{ day, random: this.random, place, log: this.log, controllers: specs },
      logEvent: (what) => this.logEvent(what),
      ...(options.broken ? { broken: options.broken } : {}),
      ...(options.script ? { script: options.script } : {}),
    });
    this.controllers = specs.map((spec, i) => {
      const host = this.network.addHost(spec.serveOn.host, spec.zone);
      const controller = new Controller(spec, host, (self) => this.launch(self, specs), day.controllers.releases[i]);
      // Throws before the day begins if the release does not exist.
      this.releases.get(controller.release);
      return controller;
    });
    for (const fault of day.troubles) if (fault.kind === 'rollout') this.releases.get(fault.to);
    const rolloutTargets = day.troubles.flatMap((fault) => (fault.kind === 'rollout' ? [fault.to] : []));
    this.parts.checker.judgesOdd = [...day.controllers.releases, ...rolloutTargets].every(
      (release) => release === CURRENT_RELEASE,
    );
  }

  /** Simulated true time in milliseconds since the day began. */
  get now(): number {
    return this.world.now;
  }

  /** Appends a line to the event log. */
  logEvent(what: string): void {
    this.eventCount += 1;
    const line = `${this.world.now.toFixed(3)} ${what}\n`;
    this.eventHash.update(utf8ToBytes(line));
    this.eventLogBytes += line.length;
    if (this.eventLogBytes <= MAX_EVENT_LOG_BYTES) this.options.event?.(line);
  }

  /** Creates the host of a model: at a fixed address for the services and users, at the next free one for a worker. */
  private createHost(name: string, zone: string | null): ModelHost {
    const fixedAddress = { state: STATE_ADDRESS, cloud: CLOUD_ADDRESS, users: USERS_ADDRESS }[name];
    const workerNumber = fixedAddress ? 0 : this.nextWorkerNumber++;
    const at = fixedAddress ?? { host: `10.1.${workerNumber >> 8}.${workerNumber & 255}`, port: WORKER_PORT };
    const host = this.network.addHost(at.host, zone);
    const random = this.random.fork(`process ${name}`);
    // The clocks of the services and users are exact. Those of the workers drift, as they do on real machines.
    const drift = fixedAddress ? 0 : random.uniform(-1, 1) * this.day.controllers.drift;
    const clocks = { drift, wanderMs: 0 };
    const process = new SimProcess(name, host, this.world, this.network, random, clocks);
    const watchdog = new SimProcess(`${name} watchdog`, host, this.world, this.network, random, clocks);
    this.processes.set(name, process);
    return {
      ...{ runtime: process, watchdog, at },
      close: () => {
        this.network.removeHost(host);
        process.kill();
        watchdog.kill();
        this.processes.delete(name);
      },
    };
  }

  /** Wall-clock time at which the day begins, in milliseconds since the Unix epoch. */
  readonly dayStartWallMs = SIMULATED_START_UTC_MS;

  /** Creates a process outside the region, such as an operator's tool, on a host of its own. */
  createExternalProcess(name: string): SimProcess {
    const host = this.network.addHost(`10.4.0.${++this.externalProcessCount}`, null);
    return new SimProcess(name, host, this.world, this.network, this.random.fork(name));
  }

  /** The process of a machine's worker; undefined when the machine is not up. */
  workerProcessOf(machine: string): SimProcess | undefined {
    return this.processes.get(machine);
  }

  /** Starts the program of a controller's release in a new process. */
  private launch(
    controller: Controller,
    specs: readonly ControllerSpec[],
  ): { process: SimProcess; service: ControllerHandle } {
    const { day, settings, controllerLog, trailEvents } = this.options;
    const { spec, host, starts, release } = controller;
    const random = this.random.fork(`${spec.name} ${starts}`);
    const clocks = { drift: random.uniform(0, 1) * day.controllers.drift, wanderMs: day.controllers.skew_ms / 2 };
    const { max_connections: maxConnections } = day.controllers;
    const process = new SimProcess(spec.name, host, this.world, this.network, random, clocks, maxConnections);
    const toml = controllerSettingsToml(day, spec, specs, { state: STATE_ADDRESS, cloud: CLOUD_ADDRESS });
    const log: Logger = controllerLog
      ? pino(
          {
            level: controllerLog.level,
            base: { node: spec.name },
            timestamp: () => `,"time":${(this.world.now / 1000).toFixed(3)}`,
          },
          { write: (line: string) => controllerLog.write(line) },
        )
      : this.log;
    const options = trailEvents === undefined ? {} : { trailEvents };
    const service = this.releases
      .get(release)
      .createController(settings ? settings(toml) : toml, log, process, options);
    this.logEvent(`starts ${spec.name}${release === CURRENT_RELEASE ? '' : ` as ${release}`}`);
    return { process, service };
  }

  /** Crashes a controller and starts it again after `downS` seconds. Does nothing if it is already down. */
  crash(controller: Controller, downS: number): void {
    if (!controller.process) return;
    this.logEvent(`ends ${controller.spec.name}`);
    controller.crash();
    this.world.schedule(this.world.now + downS * 1000, () => controller.start());
  }

  /**
   * Kills a controller and starts it again as another release after `downS` seconds. With `leave` it is first asked to
   * leave; a controller that does not know the request, or has not left in time, is killed anyway.
   */
  replace(controller: Controller, to: string, downS: number, leave: boolean): void {
    const restart = (): void => {
      controller.release = to;
      this.crash(controller, downS);
    };
    if (!leave || !controller.process) restart();
    else void this.requestLeave(controller).then(restart);
  }

  /** Asks a controller to leave, and waits until it has left or `LEAVE_TIMEOUT_MS` is over. */
  private async requestLeave({ spec }: Controller): Promise<void> {
    const operator = this.createExternalProcess(`operator of ${spec.name}`);
    const client = new HttpClient(spec.serveOn, 1, operator);
    const request = async (method: 'GET' | 'POST', path: string): Promise<unknown> => {
      const response = await client.call({
        method,
        path,
        timeoutMs: LEAVE_REQUEST_TIMEOUT_MS,
        ...(method === 'POST' ? { body: {} } : {}),
      });
      return response.kind === 'answered' && response.status < 300 ? response.body : null;
    };
    const deadline = operator.now() + LEAVE_TIMEOUT_MS;
    if ((await request('POST', '/admin/v1/leave')) !== null) {
      this.logEvent(`leaves ${spec.name}`);
      while (operator.now() < deadline) {
        const status = await request('GET', '/admin/v1/leave');
        if (isObject(status) && status['left'] === true) break;
        await operator.sleep(LEAVE_POLL_INTERVAL_MS);
      }
    }
    client.close();
  }

  /** The controller that the state service holds as the leader. */
  get leader(): Controller | undefined {
    const value = this.parts.state.get('live/leader');
    const name = isObject(value) ? value['node'] : undefined;
    return this.controllers.find(({ spec }) => spec.name === name);
  }

  /** Takes snapshots at regular intervals. They draw no random numbers and take no simulated time. */
  private takeSnapshot(): void {
    this.timeline.push({
      ...this.parts.statistics.taskCounts(),
      machinesUp: this.parts.cloud.up.length,
      controllersUp: this.controllers.filter(({ process }) => process?.running === true).length,
    });
    this.parts.checker.checkWaitingJobs(this.parts.freeResources);
    this.world.schedule(this.world.now + SNAPSHOT_INTERVAL_MS, () => this.takeSnapshot());
  }

  /** Starts the models and controllers and schedules the day's faults. */
  private startDay(): void {
    void this.parts.start();
    for (const controller of this.controllers) controller.start();
    this.parts.startUsers();
    this.takeSnapshot();
    for (const { controller, atS, downS } of this.options.script?.crashes ?? []) {
      const target = this.controllers[controller];
      if (target) this.world.schedule(atS * 1000, () => this.crash(target, downS));
    }
    // The last replacement of a rollout is a fault, too. A fault without a duration gets the downtime of a controller or
    // the hang of a machine on top, which also gives users the time to poll again.
    const faultEndsS = this.day.troubles.map((fault) =>
      'for_s' in fault
        ? fault.at_s + fault.for_s + copiesArriveForS(this.day, fault)
        : fault.at_s + ('gap_s' in fault ? fault.gap_s * this.controllers.length : 0) + this.downtimeS(fault),
    );
    this.parts.checker.quietFrom = Math.max(0, ...faultEndsS) * 1000;
    for (const fault of this.day.troubles) this.world.schedule(fault.at_s * 1000, () => startFault(fault, this));
  }

  /** Seconds for which a fault leaves a controller down, or machines hung, after its last action. */
  private downtimeS(fault: Fault): number {
    if (fault.kind === 'cancel_now') return fault.hang_s ?? 0;
    return ('down_s' in fault ? fault.down_s : undefined) ?? this.day.controllers.restart_s;
  }

  private started = false;

  /** Simulates up to a moment, in seconds of true time since the day began. The first call starts the day. */
  async play(untilS = this.day.duration_s, options: PlayOptions = {}): Promise<void> {
    if (!this.started) {
      this.started = true;
      this.world.schedule(0, () => this.startDay());
    }
    await this.world.run(untilS * 1000, { rest: settlePendingCallbacks, ...options });
  }

  /** Ends the day and returns its figures. Nothing can be simulated after this. */
  close(): DayResult {
    const { parts } = this;
    parts.users.stop();
    parts.checker.finish();
    const classes = parts.statistics.close();
    const { open, failures } = parts.statistics;
    for (const { model } of parts.workers.values()) model.end();
    const spent = parts.cloud.billAll();
    const usefulCost = parts.usefulCost();
    return {
      day: this.day.name,
      seed: this.seed,
      simulatedS: this.world.now / 1000,
      classes,
      money: { spent, usefulCost, price: usefulCost > 0 ? spent / usefulCost : null },
      machines: parts.cloud.counts,
      state: parts.state.counts,
      controllerStarts: this.controllers.reduce((sum, { starts }) => sum + starts, 0),
      timeline: this.timeline,
      breaches: parts.checker.breaches,
      startsAfterCancel: parts.checker.startsAfterCancel,
      defects: this.world.defects.map((error) =>
        error instanceof Error ? (error.stack ?? error.message) : String(error),
      ),
      open,
      failures,
      events: this.eventCount,
      digest: bytesToHex(this.eventHash.digest()),
    };
  }
}
