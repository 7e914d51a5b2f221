import { HttpClient, wallMillis, type Endpoint, type Logger, type Runtime } from '../../../src/kernel/index.js';
import { encodeWishes, NO_WISHES } from '../../../src/rollout/index.js';
import { ROLLOUT_WISHES_KEY } from '../../../src/state/index.js';
import { RuleChecker, type Breach, type Room } from './checker/index.js';
import type { Day } from './day/index.js';
import { Daybook } from './daybook.js';
import { Balancer, CloudModel, GangBook, JobBook, StateModel, UserModel, WorkerModel } from './models/index.js';
import type {
  Cause,
  JobTruth,
  Machine,
  ReportCopies,
  Script,
  TaskWatch,
  UserView,
  WorkerFacts,
} from './models/index.js';
import type { Luck } from './sim/index.js';

/** Where a model runs: a simulated host, or this machine's loopback. */
export interface Seat {
  readonly runtime: Runtime;
  /** Goes on while `runtime` stands still. */
  readonly watchdog: Runtime;
  readonly at: Endpoint;
  /** The machine is gone, without a word. */
  close(): void;
}

export interface Place {
  seat(name: string, zone: string | null): Seat;
  /** True time in milliseconds since the day began. */
  now(): number;
}

export interface ControllerSeat {
  readonly name: string;
  readonly zone: string;
  readonly serveOn: Endpoint;
  readonly peerOn: Endpoint;
}

export interface HeldWorker {
  readonly model: WorkerModel;
  readonly seat: Seat;
}

/** Gives machines their workers somewhere else than in this process. */
export interface WorkerHosts {
  /** The machine is up: a worker is to report for it, and its address is to be set. */
  up(machine: Machine): void;
  /** The machine is gone, and its worker with it. */
  gone(machine: Machine): void;
}

/** Told of what truly happens to tasks, and of every job that its user has uploaded. */
export interface RegionObserver extends TaskWatch {
  arrived(view: UserView): void;
}

export interface PartsOptions {
  readonly day: Day;
  readonly luck: Luck;
  readonly place: Place;
  readonly log: Logger;
  readonly controllers: readonly ControllerSeat[];
  /** Told of everything that happens, in words. */
  readonly note: (what: string) => void;
  readonly broken?: (breach: Breach) => void;
  /** Who comes and what happens to machines, instead of what the day would draw. */
  readonly script?: Script;
  /** Workers live elsewhere; none is made here. */
  readonly hosts?: WorkerHosts;
  /** Told of every task's start command, start and end, and of every job, beside the checker. */
  readonly observer?: RegionObserver;
  /** Finds the description of a job that somebody else has submitted. */
  readonly uploaded?: (ref: string, state: StateModel) => JobTruth | undefined;
}

/** What a day's workers keep to. */
export const workerFacts = ({ workers: w }: Day): WorkerFacts => ({
  ...{ reportS: w.report_s, leaseS: w.lease_s, cancelS: w.cancel_s },
  ...{ gangWaitS: w.gang_wait_s, gangPeerS: w.gang_peer_s },
});

/** All models of a region but its controllers, put together; in simulated time or on real sockets. */
export class RegionParts implements TaskWatch {
  readonly state: StateModel;
  readonly cloud: CloudModel;
  readonly users: UserModel;
  readonly balancer: Balancer;
  readonly checker: RuleChecker;
  readonly daybook: Daybook;
  readonly jobs: JobBook;
  /** By machine. */
  readonly workers = new Map<string, HeldWorker>();
  /** Copies of reports come late. */
  copies: ReportCopies | null = null;
  readonly stateSeat: Seat;
  readonly cloudSeat: Seat;
  readonly userSeat: Seat;
  private readonly gangs: GangBook;
  private readonly facts: WorkerFacts;

  constructor(private readonly options: PartsOptions) {
    const { day, luck, place } = options;
    this.facts = workerFacts(day);
    // A job that no user of ours uploaded is taken from its record, where that is wished.
    this.jobs = new JobBook(options.uploaded && ((ref) => options.uploaded?.(ref, this.state)));
    this.stateSeat = place.seat('state', null);
    this.cloudSeat = place.seat('cloud', null);
    this.userSeat = place.seat('users', null);
    const { runtime } = this.userSeat;
    const now = (): number => place.now();
    this.checker = new RuleChecker(
      now,
      new Map(day.teams.map((team) => [team.name, { cpusMax: team.cpus_max, gpusMax: team.gpus_max }])),
      this.facts.cancelS,
      (ms, work) => runtime.after(ms, work),
      (breach) => {
        options.note(`broken ${breach.rule}: ${breach.what}`);
        options.broken?.(breach);
      },
    );
    this.daybook = new Daybook(day, now);
    const { state, cloud } = day;
    this.state = new StateModel(this.stateSeat.runtime, luck.fork('state'), {
      ...{ rps: state.rps, writeRps: state.write_rps, valueKb: state.value_kb },
      ...{ txnOps: state.txn_ops, latencyMs: state.latency_ms },
    });
    this.cloud = new CloudModel(
      this.cloudSeat.runtime,
      luck.fork('cloud'),
      {
        ...{ rps: cloud.rps, latencyMs: cloud.latency_ms, listLagS: cloud.list_lag_s },
        spot: {
          perHour: cloud.spot_losses_per_hour,
          noticeS: cloud.spot_notice_s,
          silentShare: cloud.spot_silent_share,
        },
        types: day.machine_types.map((t) => ({
          ...{ name: t.name, cpus: t.cpus, gpus: t.gpus, memoryGb: t.memory_gb, price: t.price },
          ...{ spotPrice: t.spot_price, cacheGb: t.cache_gb, fetchGbPerS: t.fetch_gb_per_s },
          ...{ bootS: t.boot_s, bootFail: t.boot_fail },
        })),
        capacity: day.capacity,
        ...(options.script ? { script: options.script.machine } : {}),
      },
      { up: (machine) => this.up(machine), gone: (machine) => this.gone(machine) },
    );
    this.gangs = new GangBook(this.cloudSeat.runtime, luck.fork('gangs'), {
      ...{ waitS: this.facts.gangWaitS, peerS: this.facts.gangPeerS },
    });
    this.balancer = new Balancer(
      runtime,
      options.controllers.map(({ serveOn }) => serveOn),
    );
    this.users = new UserModel({
      ...{ runtime, now, luck: luck.fork('users'), day, balancer: this.balancer, jobs: this.jobs },
      checker: this.checker,
      arrived: (view) => {
        const { ref, jobclass, pieces } = view.job.spec;
        options.note(`arrives ${ref} ${jobclass} ${pieces}`);
        this.daybook.arrived(view);
        options.observer?.arrived(view);
      },
      nodes: options.controllers.map(({ serveOn }) => serveOn),
      ...(options.script ? { script: options.script.jobs } : {}),
    });
  }

  /** Opens the services' listeners and brings the first machines up. Resolves to the ports of state and cloud. */
  start(): Promise<readonly number[]> {
    const { log, day } = this.options;
    const wish = { wish: 'allow', at: wallMillis(0) } as const;
    const allowed = day.controllers.allow.map((feature) => [feature, wish] as const);
    if (allowed.length > 0)
      this.state.put(ROLLOUT_WISHES_KEY, encodeWishes({ ...NO_WISHES, features: new Map(allowed) }));
    const state = this.state.listen(this.stateSeat.at, log);
    const cloud = this.cloud.listen(this.cloudSeat.at, log);
    for (const { type, zone, spot, count } of day.machines) this.cloud.begin(type, zone, spot, count);
    return Promise.all([state.ready, cloud.ready]);
  }

  /** Users come, and the balancer looks after the nodes. */
  open(): void {
    this.balancer.start();
    this.users.start();
  }

  // ---- machines

  private up(machine: Machine): void {
    const { place, luck, log, controllers, note, hosts } = this.options;
    if (hosts) {
      note(`up ${machine.id} ${machine.type.name} ${machine.zone}`);
      hosts.up(machine);
      return;
    }
    const seat = place.seat(machine.id, machine.zone);
    const model = new WorkerModel(machine, {
      runtime: seat.runtime,
      watchdog: seat.watchdog,
      luck: luck.fork(machine.id),
      log,
      facts: this.facts,
      controllers: controllers.map(({ name, serveOn }) => ({ name, at: serveOn })),
      jobs: this.jobs,
      gangs: this.gangs,
      watch: this,
      copies: () => this.copies,
      noticeS: () =>
        machine.takenAt === null ? null : Math.max(0, machine.takenAt - this.cloudSeat.runtime.now()) / 1000,
    });
    this.workers.set(machine.id, { model, seat });
    if (machine.script) {
      model.tasks.slowness = machine.script.slowness;
      const { failsFromS } = machine.script;
      if (failsFromS !== null)
        seat.watchdog.after(Math.max(0, failsFromS * 1000 - place.now()), () => (model.tasks.failsTasks = true));
    }
    note(`up ${machine.id} ${machine.type.name} ${machine.zone}${machine.spot ? ' spot' : ''}`);
    const { ready } = model.listen(seat.at);
    void ready.then((port) => model.start(`${seat.at.host}:${port}`));
  }

  private gone(machine: Machine): void {
    this.options.hosts?.gone(machine);
    const held = this.workers.get(machine.id);
    if (!held) return;
    this.workers.delete(machine.id);
    this.options.note(`gone ${machine.id} ${machine.fate}`);
    held.seat.close();
    held.model.end();
  }

  // ---- tasks

  entered(machine: Machine, job: JobTruth, index: number, attempt: number): void {
    this.options.note(`on ${job.spec.ref}/${index} ${attempt} ${machine.id}`);
    this.checker.entered(machine, job, index, attempt);
    this.options.observer?.entered(machine, job, index, attempt);
  }

  ordered(machine: Machine, job: JobTruth, index: number, attempt: number): void {
    this.options.observer?.ordered?.(machine, job, index, attempt);
  }

  running(machine: Machine, job: JobTruth, index: number, attempt: number): void {
    this.options.note(`runs ${job.spec.ref}/${index} ${machine.id}`);
    this.daybook.running(machine, job, index);
    this.options.observer?.running(machine, job, index, attempt);
  }

  left(machine: Machine, job: JobTruth, index: number, attempt: number, cause: Cause | 'killed'): void {
    this.options.note(`off ${job.spec.ref}/${index} ${attempt} ${machine.id} ${cause}`);
    this.checker.left(machine, job, index);
    this.daybook.left(machine, job, index, attempt, cause);
    this.options.observer?.left(machine, job, index, attempt, cause);
    if (cause === 'done' && job.complete) this.users.close.completed(job);
  }

  /** A copy of a report reaches every controller; nobody reads what is answered. */
  deliverReport(body: unknown): void {
    const { runtime } = this.cloudSeat;
    for (const { serveOn } of this.options.controllers) {
      const client = new HttpClient(serveOn, 1, runtime);
      const sent = client.call({ method: 'POST', path: '/v1/report', body, timeoutMs: 4000 });
      void sent.finally(() => client.close());
    }
  }

  /** Machines that are up and not on their way out, with what no task on them takes. */
  get rooms(): Room[] {
    const rooms: Room[] = [];
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
      rooms.push({ machine, cpus, gpus, memoryGb });
    }
    return rooms;
  }

  /** The machines that a job's tasks are on. */
  machinesOf(ref: string): WorkerModel[] {
    const found: WorkerModel[] = [];
    for (const { model } of this.workers.values())
      if ([...model.tasks.all].some(({ job, on }) => on && job?.spec.ref === ref)) found.push(model);
    return found;
  }

  /** What the useful work of all jobs costs at the lowest nominal price that its class allows. */
  usefulCost(): number {
    let cost = 0;
    for (const { spec, usefulS } of this.jobs.all) {
      let least = Number.POSITIVE_INFINITY;
      for (const type of this.options.day.machine_types) {
        if (spec.hulls && !spec.hulls.includes(type.name)) continue;
        const part = Math.max(
          spec.vcpus / type.cpus,
          spec.ram_gb / type.memory_gb,
          spec.accelerators === 0 ? 0 : type.gpus === 0 ? Number.POSITIVE_INFINITY : spec.accelerators / type.gpus,
        );
        if (part <= 1) least = Math.min(least, part * (spec.flotsam ? type.spot_price : type.price));
      }
      if (Number.isFinite(least)) cost += (usefulS / 3600) * least;
    }
    return cost;
  }
}
