import { HttpClient, wallMillis, type Endpoint, type Logger, type Runtime } from '../../../src/kernel/index.js';
import { encodeOperatorRequests, NO_OPERATOR_REQUESTS } from '../../../src/rollout/index.js';
import { ROLLOUT_WISHES_KEY } from '../../../src/state/index.js';
import { RuleChecker, type RuleViolation, type FreeCapacity } from './checker/index.js';
import type { SimulationScenario } from './scenario/index.js';
import { JobStatistics } from './job-statistics.js';
import {
  Balancer,
  CloudModel,
  GangCoordinator,
  SimulatedJobs,
  StateModel,
  UserModel,
  WorkerModel,
} from './models/index.js';
import type {
  CommandCopies,
  TaskExitCause,
  SimulatedJob,
  Machine,
  ReportCopies,
  Script,
  TaskObserver,
  UserView,
  WorkerTimings,
} from './models/index.js';
import type { RandomStream } from './sim/index.js';

/** Where a model runs: a simulated host, or the loopback interface of this machine. */
export interface ModelHost {
  readonly runtime: Runtime;
  /** Keeps running while `runtime` is paused. */
  readonly watchdog: Runtime;
  /** The address on which the model listens. */
  readonly at: Endpoint;
  /** Removes the host abruptly: nothing is sent or closed in an orderly way. */
  close(): void;
}

/** Creates the hosts of the models and tells the time. */
export interface HostProvider {
  /** Creates the host of a model. A null zone means that the model belongs to no zone. */
  createHost(name: string, zone: string | null): ModelHost;
  /** True time in milliseconds since the day began. */
  now(): number;
}

/** Name, zone and listen addresses of one controller. */
export interface ControllerSpec {
  readonly name: string;
  readonly zone: string;
  /** Address for users, workers and operators. */
  readonly serveOn: Endpoint;
  /** Address for other controllers. */
  readonly peerOn: Endpoint;
}

/** A worker model and the host that it runs on. */
export interface HostedWorker {
  readonly model: WorkerModel;
  readonly host: ModelHost;
}

/** Runs the workers outside this process. */
export interface ExternalWorkers {
  /** The machine is up: starts a worker that reports for it, and sets the machine's address. */
  up(machine: Machine): void;
  /** The machine is gone: ends its worker. */
  gone(machine: Machine): void;
}

/** Observes the true state of tasks, and every job that a user submits. */
export interface RegionObserver extends TaskObserver {
  /** A user has submitted a job. */
  jobSubmitted(view: UserView): void;
}

/** Options of `RegionParts`. */
export interface RegionPartsOptions {
  readonly day: SimulationScenario;
  readonly random: RandomStream;
  /** Creates the hosts of the models and tells the time. */
  readonly place: HostProvider;
  readonly log: Logger;
  readonly controllers: readonly ControllerSpec[];
  /** Called with one line of text for each event. */
  readonly logEvent: (what: string) => void;
  /** Called for each violated rule. */
  readonly broken?: (violation: RuleViolation) => void;
  /** Jobs and the fates of machines, instead of those drawn at random for the day. */
  readonly script?: Script;
  /** Runs the workers outside this process; when given, no worker models are created here. */
  readonly externalWorkers?: ExternalWorkers;
  /** Observes every task's start command, start and end, and every job, in addition to the checker. */
  readonly observer?: RegionObserver;
  /** Looks up a job that no simulated user submitted; undefined if there is none. */
  readonly findJob?: (ref: string, state: StateModel) => SimulatedJob | undefined;
}

/** Intervals and limits of a day's workers, in seconds. */
export const workerTimings = ({ workers }: SimulationScenario): WorkerTimings => ({
  ...{ reportS: workers.report_s, leaseS: workers.lease_s, cancelS: workers.cancel_s },
  ...{ gangWaitS: workers.gang_wait_s, gangPeerS: workers.gang_peer_s },
});

/** All models of a region except its controllers, in simulated time or on real sockets. */
export class RegionParts implements TaskObserver {
  readonly state: StateModel;
  readonly cloud: CloudModel;
  readonly users: UserModel;
  readonly balancer: Balancer;
  readonly checker: RuleChecker;
  readonly statistics: JobStatistics;
  readonly jobs: SimulatedJobs;
  /** The worker models that run, by machine ID. */
  readonly workers = new Map<string, HostedWorker>();
  /** Makes workers send delayed duplicates of their reports; null while none are sent. */
  duplicateReports: ReportCopies | null = null;
  /** Makes commands that workers have executed arrive once more; null while none do. */
  duplicateCommands: CommandCopies | null = null;
  readonly stateHost: ModelHost;
  readonly cloudHost: ModelHost;
  readonly userHost: ModelHost;
  private readonly gangs: GangCoordinator;
  private readonly timings: WorkerTimings;

  constructor(private readonly options: RegionPartsOptions) {
    const { day, random, place } = options;
    this.timings = workerTimings(day);
    // A job that no simulated user submitted is looked up with `findJob`, if given.
    this.jobs = new SimulatedJobs(options.findJob && ((ref) => options.findJob?.(ref, this.state)));
    this.stateHost = place.createHost('state', null);
    this.cloudHost = place.createHost('cloud', null);
    this.userHost = place.createHost('users', null);
    const { runtime } = this.userHost;
    const now = (): number => place.now();
    this.checker = new RuleChecker(
      now,
      new Map(day.teams.map((team) => [team.name, { cpusMax: team.cpus_max, gpusMax: team.gpus_max }])),
      this.timings.cancelS,
      (ms, work) => runtime.after(ms, work),
      (violation) => {
        options.logEvent(`broken ${violation.rule}: ${violation.what}`);
        options.broken?.(violation);
      },
    );
    this.statistics = new JobStatistics(day, now);
    const { state, cloud } = day;
    this.state = new StateModel(this.stateHost.runtime, random.fork('state'), {
      ...{ rps: state.rps, writeRps: state.write_rps, valueKb: state.value_kb },
      ...{ txnOps: state.txn_ops, latencyMs: state.latency_ms },
    });
    this.cloud = new CloudModel(
      this.cloudHost.runtime,
      random.fork('cloud'),
      {
        ...{ rps: cloud.rps, latencyMs: cloud.latency_ms, listLagS: cloud.list_lag_s },
        spot: {
          reclaimsPerHour: cloud.spot_losses_per_hour,
          noticeS: cloud.spot_notice_s,
          noNoticeShare: cloud.spot_silent_share,
        },
        types: day.machine_types.map((t) => ({
          ...{ name: t.name, cpus: t.cpus, gpus: t.gpus, memoryGb: t.memory_gb, price: t.price },
          ...{ spotPrice: t.spot_price, cacheGb: t.cache_gb, fetchGbPerS: t.fetch_gb_per_s },
          ...{ bootS: t.boot_s, bootFail: t.boot_fail },
        })),
        capacity: day.capacity,
        ...(options.script ? { script: options.script.machine } : {}),
      },
      { up: (machine) => this.startWorker(machine), gone: (machine) => this.endWorker(machine) },
    );
    this.gangs = new GangCoordinator(this.cloudHost.runtime, random.fork('gangs'), {
      ...{ waitS: this.timings.gangWaitS, peerS: this.timings.gangPeerS },
    });
    this.balancer = new Balancer(
      runtime,
      options.controllers.map(({ serveOn }) => serveOn),
    );
    this.users = new UserModel({
      ...{ runtime, now, random: random.fork('users'), day, balancer: this.balancer, jobs: this.jobs },
      checker: this.checker,
      arrived: (view) => {
        const { ref, jobclass, pieces } = view.job.spec;
        options.logEvent(`arrives ${ref} ${jobclass} ${pieces}`);
        this.statistics.addJob(view);
        options.observer?.jobSubmitted(view);
      },
      nodes: options.controllers.map(({ serveOn }) => serveOn),
      ...(options.script ? { script: options.script.jobs } : {}),
    });
  }

  /**
   * Starts the listeners of the state and cloud services and creates the machines that exist when the day begins.
   * Resolves to the ports of state and cloud, in this order.
   */
  start(): Promise<readonly number[]> {
    const { log, day } = this.options;
    const request = { wish: 'allow', at: wallMillis(0) } as const;
    const allowedFeatures = day.controllers.allow.map((feature) => [feature, request] as const);
    if (allowedFeatures.length > 0)
      this.state.put(
        ROLLOUT_WISHES_KEY,
        encodeOperatorRequests({ ...NO_OPERATOR_REQUESTS, features: new Map(allowedFeatures) }),
      );
    const state = this.state.listen(this.stateHost.at, log);
    const cloud = this.cloud.listen(this.cloudHost.at, log);
    for (const { type, zone, spot, count } of day.machines) this.cloud.addInitialMachines(type, zone, spot, count);
    return Promise.all([state.ready, cloud.ready]);
  }

  /** Starts the users, and the load balancer's health checks of the controllers. */
  startUsers(): void {
    this.balancer.start();
    this.users.start();
  }

  // ---- Machines

  /** Starts the worker of a machine that has come up. */
  private startWorker(machine: Machine): void {
    const { place, random, log, controllers, logEvent, externalWorkers } = this.options;
    if (externalWorkers) {
      logEvent(`up ${machine.id} ${machine.type.name} ${machine.zone}`);
      externalWorkers.up(machine);
      return;
    }
    const host = place.createHost(machine.id, machine.zone);
    const model = new WorkerModel(machine, {
      runtime: host.runtime,
      watchdog: host.watchdog,
      luck: random.fork(machine.id),
      log,
      facts: this.timings,
      controllers: controllers.map(({ name, serveOn }) => ({ name, at: serveOn })),
      jobs: this.jobs,
      gangs: this.gangs,
      watch: this,
      copies: () => this.duplicateReports,
      commandCopies: () => this.duplicateCommands,
      noticeS: () =>
        machine.takenAt === null ? null : Math.max(0, machine.takenAt - this.cloudHost.runtime.now()) / 1000,
    });
    this.workers.set(machine.id, { model, host });
    if (machine.script) {
      model.tasks.slowness = machine.script.slowness;
      const { failsFromS } = machine.script;
      if (failsFromS !== null)
        host.watchdog.after(Math.max(0, failsFromS * 1000 - place.now()), () => (model.tasks.failsTasks = true));
    }
    logEvent(`up ${machine.id} ${machine.type.name} ${machine.zone}${machine.spot ? ' spot' : ''}`);
    const { ready } = model.listen(host.at);
    void ready.then((port) => model.start(`${host.at.host}:${port}`));
  }

  /** Ends the worker of a machine that is gone. */
  private endWorker(machine: Machine): void {
    this.options.externalWorkers?.gone(machine);
    const hosted = this.workers.get(machine.id);
    if (!hosted) return;
    this.workers.delete(machine.id);
    this.options.logEvent(`gone ${machine.id} ${machine.fate}`);
    hosted.host.close();
    hosted.model.end();
  }

  // ---- Tasks

  entered(machine: Machine, job: SimulatedJob, index: number, attempt: number): void {
    this.options.logEvent(`on ${job.spec.ref}/${index} ${attempt} ${machine.id}`);
    this.checker.entered(machine, job, index, attempt);
    this.options.observer?.entered(machine, job, index, attempt);
  }

  ordered(machine: Machine, job: SimulatedJob, index: number, attempt: number): void {
    this.options.observer?.ordered?.(machine, job, index, attempt);
  }

  running(machine: Machine, job: SimulatedJob, index: number, attempt: number): void {
    this.options.logEvent(`runs ${job.spec.ref}/${index} ${machine.id}`);
    this.statistics.running(machine, job, index);
    this.options.observer?.running(machine, job, index, attempt);
  }

  left(machine: Machine, job: SimulatedJob, index: number, attempt: number, cause: TaskExitCause | 'killed'): void {
    this.options.logEvent(`off ${job.spec.ref}/${index} ${attempt} ${machine.id} ${cause}`);
    this.checker.left(machine, job, index);
    this.statistics.left(machine, job, index, attempt, cause);
    this.options.observer?.left(machine, job, index, attempt, cause);
    if (cause === 'done' && job.complete) this.users.close.onJobCompleted(job);
  }

  /** Sends a duplicate of a report to every controller and ignores the responses. */
  deliverReport(body: unknown): void {
    const { runtime } = this.cloudHost;
    for (const { serveOn } of this.options.controllers) {
      const client = new HttpClient(serveOn, 1, runtime);
      const response = client.call({ method: 'POST', path: '/v1/report', body, timeoutMs: 4000 });
      void response.finally(() => client.close());
    }
  }

  /** The free resources of each machine that is up and not about to be reclaimed. */
  get freeResources(): FreeCapacity[] {
    const free: FreeCapacity[] = [];
    for (const { model } of this.workers.values()) {
      const { machine, tasks } = model;
      if (machine.takenAt !== null) continue;
      let { cpus, gpus, memoryGb } = machine.type;
      for (const { job, phase } of tasks.all) {
        if (!job || phase === 'exited') continue;
        cpus -= job.spec.vcpus;
        gpus -= job.spec.accelerators;
        memoryGb -= job.spec.ram_gb;
      }
      free.push({ machine, cpus, gpus, memoryGb });
    }
    return free;
  }

  /** The workers of the machines that hold tasks of a job. */
  machinesOf(ref: string): WorkerModel[] {
    const found: WorkerModel[] = [];
    for (const { model } of this.workers.values())
      if ([...model.tasks.all].some(({ job, on }) => on && job?.spec.ref === ref)) found.push(model);
    return found;
  }

  /**
   * The cost of the useful work of all jobs. Each job is charged at the lowest list price among the machine types that
   * it may use and that one of its tasks fits on, by the share of the machine that the task takes.
   */
  usefulCost(): number {
    let cost = 0;
    for (const { spec, usefulS } of this.jobs.all) {
      let lowestPerHour = Number.POSITIVE_INFINITY;
      for (const type of this.options.day.machine_types) {
        if (spec.hulls && !spec.hulls.includes(type.name)) continue;
        const machineShare = Math.max(
          spec.vcpus / type.cpus,
          spec.ram_gb / type.memory_gb,
          spec.accelerators === 0 ? 0 : type.gpus === 0 ? Number.POSITIVE_INFINITY : spec.accelerators / type.gpus,
        );
        if (machineShare <= 1)
          lowestPerHour = Math.min(lowestPerHour, machineShare * (spec.flotsam ? type.spot_price : type.price));
      }
      if (Number.isFinite(lowestPerHour)) cost += (usefulS / 3600) * lowestPerHour;
    }
    return cost;
  }
}
