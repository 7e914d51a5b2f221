import {
  asCount,
  asList,
  asNumber,
  asString,
  HttpClient,
  isObject,
  parseTaskKey,
  type Endpoint,
  type Listening,
  type Logger,
  type Runtime,
  type TaskKey,
  type Timer,
} from '../../../../src/kernel/index.js';
import type { Luck } from '../sim/index.js';
import type { Machine } from './cloud.js';
import type { GangBook, GangMember } from './gangs.js';
import { ImageStore } from './images.js';
import type { JobBook, JobTruth } from './jobs.js';
import { serveJson, type Answer, type Request } from './serve.js';

export interface WorkerFacts {
  readonly reportS: number;
  readonly leaseS: number;
  readonly gangWaitS: number;
  readonly gangPeerS: number;
  readonly cancelS: number;
}

export type Phase = 'fetching' | 'gathering' | 'running' | 'flushing' | 'exited';
export type Cause = 'done' | 'stopped' | 'mates_gone' | 'alone' | 'error' | 'no_room' | 'in_use' | 'no_such';

/** Told what truly happens to tasks, whoever knows of it. */
export interface TaskWatch {
  /** It has its image: from now on it is on the machine. */
  entered(machine: Machine, job: JobTruth, index: number, attempt: number): void;
  running(machine: Machine, job: JobTruth, index: number, attempt: number): void;
  /** It exited, was killed, or the machine is gone. */
  left(machine: Machine, job: JobTruth, index: number, attempt: number, cause: Cause | 'killed'): void;
}

export interface WorkerDeps {
  readonly runtime: Runtime;
  /** Goes on while the machine hangs: its lease ends all the same. */
  readonly watchdog: Runtime;
  readonly luck: Luck;
  readonly log: Logger;
  readonly facts: WorkerFacts;
  readonly controllers: readonly { readonly name: string; readonly at: Endpoint }[];
  readonly jobs: JobBook;
  readonly gangs: GangBook;
  readonly watch: TaskWatch;
  /** Seconds until the cloud takes the machine away. */
  readonly noticeS: () => number | null;
}

interface Task {
  readonly key: TaskKey;
  readonly index: number;
  readonly attempt: number;
  /** undefined: refused, there is no such job. */
  readonly job: JobTruth | undefined;
  phase: Phase;
  cause: Cause | null;
  stored: boolean;
  /** It has its image, and nobody has said yet that it left. */
  on: boolean;
  baseS: number;
  runningAt: number | null;
  timer: Timer | undefined;
  member: GangMember | undefined;
}

const REPORT_TIMEOUT_MS = 4000;
const NEXT_NODE_MS = 1000;
const CHANGE_MS = 500;

/** A machine's worker, by its protocol: sessions, tokens, leases, and tasks that run. */
export class WorkerModel {
  private readonly tasks = new Map<string, Task>();
  private readonly images: ImageStore;
  private readonly clients: readonly HttpClient[];
  private at: number;
  private helm = 0;
  private tide = 1;
  private tally = 0;
  /** When the last answered report was sent. */
  private leasedAt: number;
  private helmToldAt = Number.NEGATIVE_INFINITY;
  private reporting = false;
  private lastReportAt = Number.NEGATIVE_INFINITY;
  private next: Timer | undefined;
  private ended = false;
  private paused = false;
  private listening: Listening | undefined;
  private readonly usualSpeed: number;
  /** How much slower than usual its tasks run. */
  slowness = 1;
  /** Every task that it starts fails. */
  failsTasks = false;
  /** Reports that were answered so that its lease was renewed. */
  answers = 0;
  address = '';

  constructor(
    readonly machine: Machine,
    private readonly deps: WorkerDeps,
  ) {
    const { runtime, luck, controllers } = deps;
    this.images = new ImageStore(runtime, machine.type.cacheGb, machine.type.fetchGbPerS * luck.between(0.67, 1.33));
    this.clients = controllers.map(({ at }) => new HttpClient(at, 1, runtime));
    this.at = luck.whole(Math.max(1, controllers.length));
    this.usualSpeed = luck.between(0.95, 1.05);
    this.leasedAt = deps.watchdog.now();
  }

  listen(at: Endpoint): Listening {
    this.listening = serveJson(this.deps.runtime, at, this.deps.log, (request) => this.serve(request));
    return this.listening;
  }

  /** Its address is known: it begins to report. */
  start(address: string): void {
    this.address = address;
    this.machine.address = address;
    this.watchLease();
    this.reportIn(this.deps.luck.between(0, 200));
  }

  /** The machine is gone, and everything on it. */
  end(): void {
    this.ended = true;
    this.next?.cancel();
    for (const task of [...this.tasks.values()]) this.kill(task);
    this.tasks.clear();
    for (const client of this.clients) client.close();
    this.listening?.close();
  }

  /** The machine hangs: tasks make no progress until it goes on. */
  pause(): void {
    this.paused = true;
    this.images.pause();
    for (const task of this.tasks.values()) {
      if (task.job?.spec.shape === 'ensemble') {
        if (task.member) this.deps.gangs.lose(task.job, task.attempt, task.member, true);
      } else if (task.phase === 'running') {
        task.baseS = this.progress(task);
        task.timer?.cancel();
        task.runningAt = null;
      }
    }
  }

  resume(): void {
    this.paused = false;
    this.images.resume();
    for (const task of this.tasks.values()) {
      if (task.job && task.job.spec.shape !== 'ensemble' && task.phase === 'running') this.work(task, task.job);
    }
  }

  get tasksOn(): number {
    let on = 0;
    for (const task of this.tasks.values()) if (task.on) on += 1;
    return on;
  }

  // ---- reports

  private reportIn(ms: number): void {
    this.next?.cancel();
    this.next = this.deps.runtime.after(ms, () => void this.report());
  }

  /** Something has changed: it reports at once, but no more often than every half second. */
  private changed(): void {
    if (this.reporting || this.ended) return;
    this.reportIn(Math.max(1, this.lastReportAt + CHANGE_MS - this.deps.runtime.now()));
  }

  /** What it says of itself, newer than anything it has said before. */
  message(): unknown {
    this.tally += 1;
    const { machine } = this;
    return {
      drifter: machine.id,
      address: this.address,
      hull: machine.type.name,
      berth: machine.zone,
      flotsam: machine.spot,
      tide: this.tide,
      tally: this.tally,
      helm: this.helm,
      recall_s: this.deps.noticeS(),
      pieces: [...this.tasks.values()].map(({ key, attempt, phase, cause, stored }) => ({
        piece: key,
        launch: attempt,
        phase,
        ...(cause === null ? {} : { cause }),
        ...(stored ? { stored } : {}),
      })),
    };
  }

  private async report(): Promise<void> {
    const client = this.clients[this.at];
    if (this.ended || this.reporting || !client) return;
    this.reporting = true;
    const sentAt = this.deps.watchdog.now();
    const { tide } = this;
    this.lastReportAt = this.deps.runtime.now();
    const call = { method: 'POST', path: '/v1/report', body: this.message(), timeoutMs: REPORT_TIMEOUT_MS } as const;
    const before = this.stamp;
    const answer = await client.call(call);
    this.reporting = false;
    if (this.ended) return;
    const body = answer.kind === 'answered' && isObject(answer.body) ? answer.body : {};
    if (answer.kind === 'answered' && answer.status === 200) {
      if (tide === this.tide) this.onReply(body, sentAt);
      const usualMs = this.deps.facts.reportS * 1000 * this.deps.luck.between(0.75, 1.25);
      // What changed while the report was under way is told next.
      this.reportIn(this.stamp === before ? usualMs : CHANGE_MS);
      return;
    }
    const named = this.deps.controllers.findIndex(({ name }) => name === asString(body['harbour']));
    if (answer.kind === 'answered' && answer.status === 421 && named >= 0 && named !== this.at) {
      this.at = named;
      this.reportIn(this.deps.luck.between(1, 500));
    } else {
      this.at = (this.at + 1) % this.clients.length;
      this.reportIn(NEXT_NODE_MS);
    }
  }

  /** Differs after whatever a report must tell. */
  private stamp = 0;

  /** Takes the answer to a report that was sent at this moment of the watchdog's clock. */
  onReply(body: Record<string, unknown>, sentAt: number): void {
    const helm = asCount(body['helm']);
    // A lower token, or none: dropped, and the lease is not renewed.
    if (helm === undefined || helm < this.helm) return;
    this.takeHelm(helm);
    this.answers += 1;
    if (sentAt > this.leasedAt) this.leasedAt = sentAt;
    this.execute(asList(body['orders']));
  }

  private takeHelm(helm: number): void {
    if (helm <= this.helm) return;
    this.helm = helm;
    const now = this.deps.runtime.now();
    if (now - this.helmToldAt < (this.deps.facts.leaseS * 1000) / 2) return;
    this.helmToldAt = now;
    this.stamp += 1;
    this.changed();
  }

  private watchLease(): void {
    const { watchdog, facts } = this.deps;
    const leftMs = this.leasedAt + facts.leaseS * 1000 - watchdog.now();
    if (leftMs > 0) {
      watchdog.after(leftMs, () => {
        if (!this.ended) this.watchLease();
      });
      return;
    }
    this.expire();
    if (!this.paused) this.changed();
    this.watchLease();
  }

  /** The lease is over: tasks are killed and forgotten, and the next session begins. */
  expire(): void {
    for (const task of [...this.tasks.values()]) this.kill(task);
    this.tasks.clear();
    this.tide += 1;
    this.tally = 0;
    this.leasedAt = this.deps.watchdog.now();
    this.stamp += 1;
  }

  /** An array's task is through now, whatever time it had left. */
  finish(key: string): void {
    for (const task of this.tasks.values()) {
      if (task.key !== key || task.phase !== 'running' || !task.job || task.member) continue;
      this.complete(task, task.job);
    }
  }

  private complete(task: Task, job: JobTruth): void {
    job.usefulS += Math.max(0, job.runS(task.index) - (job.saved.get(task.index) ?? 0));
    job.finished.add(task.index);
    this.exit(task, 'done');
  }

  // ---- commands

  serve({ method, path, body }: Pick<Request, 'method' | 'path' | 'body'>): Answer {
    if (method === 'GET' && path === '/status') return { status: 200, body: this.message() };
    if (method !== 'POST' || path !== '/commands') return { status: 404, body: { error: 'no such call' } };
    const helm = isObject(body) ? asCount(body['helm']) : undefined;
    const tide = isObject(body) ? asCount(body['tide']) : undefined;
    if (helm === undefined || tide === undefined) return { status: 400, body: { error: 'helm or tide is missing' } };
    if (helm < this.helm || tide !== this.tide) return { status: 409, body: this.message() };
    this.takeHelm(helm);
    this.execute(asList(isObject(body) ? body['orders'] : undefined));
    return { status: 200, body: this.message() };
  }

  private execute(orders: readonly unknown[]): void {
    for (const order of orders) {
      if (!isObject(order)) continue;
      const piece = asString(order['piece']) ?? '';
      const launch = asCount(order['launch']);
      const named = parseTaskKey(piece);
      if (!named || launch === undefined) continue;
      const key = piece as TaskKey;
      const held = this.tasks.get(`${key}#${launch}`);
      if (order['verb'] === 'start' && !held) this.begin(key, named.job, named.index, launch);
      else if (order['verb'] === 'stop' && held) this.stop(held, asNumber(order['moor_s']) ?? 0);
      else if (order['verb'] === 'forget' && held?.phase === 'exited') this.tasks.delete(`${key}#${launch}`);
    }
  }

  private begin(key: TaskKey, ref: string, index: number, attempt: number): void {
    const job = this.deps.jobs.get(ref);
    const task: Task = {
      ...{ key, index, attempt, job, phase: 'fetching', cause: null, stored: false, on: false },
      ...{ baseS: 0, runningAt: null, timer: undefined, member: undefined },
    };
    const others = [...this.tasks.values()].filter((other) => other.phase !== 'exited');
    this.tasks.set(`${key}#${attempt}`, task);
    this.stamp += 1;
    if (!job || index >= job.spec.pieces) this.exit(task, 'no_such');
    else if (others.some((other) => other.key === key)) this.exit(task, 'in_use');
    else if (!this.fits(job, others)) this.exit(task, 'no_room');
    else {
      const { bundle, pull_gb: gb } = job.spec;
      this.images.want(bundle, gb, `${key}#${attempt}`, () => this.enter(task, job));
      this.changed();
    }
  }

  private fits({ spec }: JobTruth, others: readonly Task[]): boolean {
    const { type } = this.machine;
    let [cpus, gpus, memory] = [spec.vcpus, spec.accelerators, spec.ram_gb];
    for (const { job } of others) {
      cpus += job?.spec.vcpus ?? 0;
      gpus += job?.spec.accelerators ?? 0;
      memory += job?.spec.ram_gb ?? 0;
    }
    const e = 1e-9;
    return cpus <= type.cpus + e && gpus <= type.gpus + e && memory <= type.memoryGb + e;
  }

  // ---- tasks

  private enter(task: Task, job: JobTruth): void {
    task.on = true;
    this.deps.watch.entered(this.machine, job, task.index, task.attempt);
    // The result of a completed task is kept.
    if (job.finished.has(task.index)) {
      this.exit(task, 'done');
      return;
    }
    if (job.spec.shape !== 'ensemble') {
      task.phase = 'running';
      this.deps.watch.running(this.machine, job, task.index, task.attempt);
      task.baseS = job.saved.get(task.index) ?? 0;
      this.work(task, job);
      this.changed();
      return;
    }
    task.phase = 'gathering';
    this.changed();
    const member: GangMember = {
      index: task.index,
      speed: () => this.speed,
      start: () => {
        task.phase = 'running';
        this.deps.watch.running(this.machine, job, task.index, task.attempt);
        if (this.failsTasks || job.mistaken) this.failSoon(task);
        this.stamp += 1;
        this.changed();
      },
      saving: () => {
        task.phase = 'flushing';
        this.stamp += 1;
        this.changed();
      },
      // On a machine that hangs it happens once the machine goes on.
      exit: (cause, stored) => {
        this.deps.runtime.after(0, () => {
          task.stored = stored;
          this.exit(task, cause);
        });
      },
    };
    task.member = member;
    this.deps.gangs.join(job, task.attempt, member);
  }

  private get speed(): number {
    return this.usualSpeed / this.slowness;
  }

  private progress(task: Task): number {
    if (task.runningAt === null) return task.baseS;
    return task.baseS + ((this.deps.runtime.now() - task.runningAt) / 1000) * this.speed;
  }

  private work(task: Task, job: JobTruth): void {
    task.runningAt = this.deps.runtime.now();
    if (this.failsTasks || job.mistaken) {
      this.failSoon(task);
      return;
    }
    if (job.spec.shape === 'daemon') return;
    const leftS = Math.max(0, job.runS(task.index) - task.baseS) / this.speed;
    task.timer = this.deps.runtime.after(leftS * 1000, () => this.complete(task, job));
  }

  private failSoon(task: Task): void {
    task.timer = this.deps.runtime.after(this.deps.luck.between(300, 2500), () => {
      if (task.member && task.job) this.deps.gangs.lose(task.job, task.attempt, task.member, false);
      this.exit(task, 'error');
    });
  }

  private stop(task: Task, graceS: number): void {
    const { job } = task;
    if (!job || task.phase === 'exited') return;
    if (task.member) {
      this.deps.gangs.stop(job, task.attempt, task.member, graceS);
      return;
    }
    const { mark_every_s: every, mark_cost_s: cost } = job.spec;
    if (task.phase === 'flushing') {
      if (graceS === 0) this.leaveUnsaved(task, job, 'stopped');
      return;
    }
    if (task.phase !== 'running' || every <= 0 || graceS < cost) {
      this.leaveUnsaved(task, job, 'stopped');
      return;
    }
    task.timer?.cancel();
    task.baseS = this.progress(task);
    task.runningAt = null;
    task.phase = 'flushing';
    this.stamp += 1;
    this.changed();
    task.timer = this.deps.runtime.after(cost * 1000, () => {
      this.keep(task, job, task.baseS);
      task.stored = true;
      this.exit(task, 'stopped');
    });
  }

  private keep(task: Task, job: JobTruth, progressS: number): void {
    const before = job.saved.get(task.index) ?? 0;
    if (progressS <= before) return;
    job.usefulS += progressS - before;
    job.saved.set(task.index, progressS);
  }

  /** What its own checkpoints have saved stays; a replica's run time was of use. */
  private leaveUnsaved(task: Task, job: JobTruth, cause: Cause): void {
    this.wrapUp(task, job);
    this.exit(task, cause);
  }

  private wrapUp(task: Task, job: JobTruth): void {
    if (!task.on || task.member) return;
    if (job.spec.shape === 'daemon') job.usefulS += this.progress(task);
    else this.keep(task, job, job.checkpoint(this.progress(task)));
    task.baseS = 0;
    task.runningAt = null;
  }

  private exit(task: Task, cause: Cause): void {
    if (task.phase === 'exited' || this.tasks.get(`${task.key}#${task.attempt}`) !== task) return;
    task.timer?.cancel();
    if (task.phase === 'fetching' && task.job) this.images.leave(task.job.spec.bundle, `${task.key}#${task.attempt}`);
    task.phase = 'exited';
    task.cause = cause;
    this.off(task, cause);
    this.stamp += 1;
    this.changed();
  }

  private off(task: Task, cause: Cause | 'killed'): void {
    if (!task.on || !task.job) return;
    task.on = false;
    this.deps.watch.left(this.machine, task.job, task.index, task.attempt, cause);
  }

  private kill(task: Task): void {
    task.timer?.cancel();
    const { job } = task;
    if (!job || task.phase === 'exited') return;
    if (task.phase === 'fetching') this.images.leave(job.spec.bundle, `${task.key}#${task.attempt}`);
    this.wrapUp(task, job);
    task.phase = 'exited';
    this.off(task, 'killed');
    if (task.member) this.deps.gangs.lose(job, task.attempt, task.member, false);
  }
}
