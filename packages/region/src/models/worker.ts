import {
  asNonNegativeInteger,
  asArray,
  asNumber,
  asString,
  HttpClient,
  isObject,
  parseTaskKey,
  type HttpResult as CallAnswer,
  type HttpRequest,
  type Endpoint,
  type TcpListener,
  type Logger,
  type Runtime,
  type TaskKey,
  type Timer,
} from '../../../../src/kernel/index.js';
import type { Luck } from '../sim/index.js';
import type { Machine } from './cloud.js';
import type { GangBook } from './gangs.js';
import type { JobBook } from './jobs.js';
import { serveJson, type Answer, type Request } from './serve.js';
import { MachineTasks, type TaskWatch } from './tasks.js';

export interface WorkerFacts {
  readonly reportS: number;
  readonly leaseS: number;
  readonly gangWaitS: number;
  readonly gangPeerS: number;
  readonly cancelS: number;
}

/** Of all reports this share comes once more, up to so much later. */
export interface ReportCopies {
  readonly share: number;
  readonly lateMs: number;
  /** Instead they are kept, until another leads or holds a shard. */
  readonly keep?: (body: unknown) => void;
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
  /** Copies of reports that come late; null: none. */
  readonly copies?: () => ReportCopies | null;
}

const REPORT_TIMEOUT_MS = 4000;
const NEXT_NODE_MS = 1000;
const HELD_MS = [200, 6000] as const;
const CHANGE_MS = 500;

/** A machine's worker, by its protocol: sessions, tokens, leases, and tasks that run. */
export class WorkerModel {
  readonly tasks: MachineTasks;
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
  private listening: TcpListener | undefined;
  /** What it says arrives; answers and commands don't reach it. */
  deaf = false;
  /** No connection of its reaches a controller. */
  mute = false;
  /** A command for another session raises its token all the same: the protocol leaves that open. */
  refusedRaise = false;
  /** Commands or their answers are held up. */
  holdsCommands = false;
  /** Reports that were answered so that its lease was renewed. */
  answers = 0;
  /** Reports that it sent, and requests to its address that it served. */
  readonly counts = { reports: 0, commands: 0 };
  address = '';

  constructor(
    readonly machine: Machine,
    private readonly deps: WorkerDeps,
  ) {
    const { runtime, luck, controllers } = deps;
    this.tasks = new MachineTasks(machine, deps, () => {
      this.stamp += 1;
      this.changed();
    });
    this.clients = controllers.map(({ at }) => new HttpClient(at, 1, runtime));
    this.at = luck.whole(Math.max(1, controllers.length));
    this.leasedAt = deps.watchdog.now();
  }

  /** The highest token that it has seen. */
  get highestToken(): number {
    return this.helm;
  }

  private heardAt: Endpoint = { host: '', port: 0 };

  listen(at: Endpoint): TcpListener {
    this.heardAt = at;
    this.listening = serveJson(this.deps.runtime, at, this.deps.log, (request) => this.answer(request));
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
    this.tasks.killAll();
    for (const client of this.clients) client.close();
    this.listening?.close();
  }

  /** The machine hangs: tasks make no progress until it goes on. */
  pause(): void {
    this.paused = true;
    this.tasks.pause();
  }

  resume(): void {
    this.paused = false;
    this.tasks.resume();
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
      pieces: [...this.tasks.all].map(({ key, attempt, phase, cause, stored }) => ({
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
    this.counts.reports += 1;
    const call = { method: 'POST', path: '/v1/report', body: this.message(), timeoutMs: REPORT_TIMEOUT_MS } as const;
    const before = this.stamp;
    const { life } = this;
    if (!this.mute) this.copy(call.body);
    const answer = await this.say(client, call);
    if (life !== this.life) return;
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

  private async say(client: HttpClient, call: HttpRequest): Promise<CallAnswer> {
    if (this.deaf) return this.unheard(client, call);
    if (!this.mute) return client.call(call);
    await this.deps.runtime.sleep(REPORT_TIMEOUT_MS);
    return { kind: 'failed', reason: 'no connection' };
  }

  /** A report that arrives, and whose answer doesn't. */
  private async unheard(client: HttpClient, call: HttpRequest): Promise<CallAnswer> {
    const { runtime } = this.deps;
    const since = runtime.now();
    await client.call(call);
    await runtime.sleep(Math.max(0, since + REPORT_TIMEOUT_MS - runtime.now()));
    return { kind: 'failed', reason: 'no answer' };
  }

  /** Some reports come once more, late, and to whichever controller; nobody reads what is answered. */
  private copy(body: unknown): void {
    const again = this.deps.copies?.() ?? null;
    const { runtime, luck, controllers } = this.deps;
    if (!again || !luck.chance(again.share)) return;
    if (again.keep) {
      again.keep(body);
      return;
    }
    const at = luck.pick(controllers)?.at;
    if (!at) return;
    runtime.after(again.lateMs * luck.between(0.1, 1), () => {
      const client = new HttpClient(at, 1, runtime);
      const sent = client.call({ method: 'POST', path: '/v1/report', body, timeoutMs: REPORT_TIMEOUT_MS });
      void sent.finally(() => client.close());
    });
  }

  /** Its address is nobody's any more. */
  shut(): void {
    this.listening?.close();
    for (const client of this.clients) client.close();
  }

  private life = 0;

  /** The machine ends with all that runs on it and is back after so long: session and sequence begin anew. */
  restart(downS: number): void {
    this.next?.cancel();
    this.tasks.killAll();
    this.life += 1;
    this.reporting = true;
    this.down = true;
    // Its connections end with it: what is still under way to it never arrives.
    this.listening?.close();
    this.deps.watchdog.after(downS * 1000, () => {
      if (this.ended) return;
      this.beginAnew();
      [this.down, this.reporting] = [false, false];
      this.listen(this.heardAt);
      this.reportIn(1);
    });
  }

  /** Nothing of before is left: the first session, and no token seen. */
  beginAnew(): void {
    this.tasks.killAll();
    [this.helm, this.tide, this.tally] = [0, 1, 0];
    this.helmToldAt = Number.NEGATIVE_INFINITY;
    this.leasedAt = this.deps.watchdog.now();
  }

  private down = false;

  /** Differs after whatever a report must tell. */
  private stamp = 0;

  /** Takes the answer to a report that was sent at this moment of the watchdog's clock. */
  onReply(body: Record<string, unknown>, sentAt: number): void {
    const helm = asNonNegativeInteger(body['helm']);
    // A lower token, or none: dropped, and the lease is not renewed.
    if (helm === undefined || helm < this.helm) return;
    this.takeHelm(helm);
    this.answers += 1;
    if (sentAt > this.leasedAt) this.leasedAt = sentAt;
    this.execute(asArray(body['orders']));
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
    if (this.down) this.leasedAt = watchdog.now();
    else this.expire();
    if (!this.paused) this.changed();
    this.watchLease();
  }

  /** The lease is over: tasks are killed and forgotten, and the next session begins. */
  expire(): void {
    this.tasks.killAll();
    this.tide += 1;
    this.tally = 0;
    this.leasedAt = this.deps.watchdog.now();
    this.stamp += 1;
  }

  /** As its listener answers: not at all while nothing reaches it. */
  private answer(request: Request): Answer | Promise<Answer> {
    if (this.deaf || this.down) return new Promise<Answer>(() => undefined);
    return this.holdsCommands && request.path === '/commands' ? this.heldUp(request) : this.serve(request);
  }

  /** Executed late, or at once and answered late; what is under way when the machine ends never is. */
  private async heldUp(request: Request): Promise<Answer> {
    const { runtime, luck } = this.deps;
    const { life } = this;
    const [before, after] = luck.chance(0.5) ? [luck.between(...HELD_MS), 0] : [0, luck.between(...HELD_MS)];
    await runtime.sleep(before);
    if (this.ended || this.down || life !== this.life) return new Promise<Answer>(() => undefined);
    const answer = this.serve(request);
    await runtime.sleep(after);
    return answer;
  }

  serve({ method, path, body }: Pick<Request, 'method' | 'path' | 'body'>): Answer {
    this.counts.commands += 1;
    if (method === 'GET' && path === '/status') return { status: 200, body: this.message() };
    if (method !== 'POST' || path !== '/commands') return { status: 404, body: { error: 'no such call' } };
    const helm = isObject(body) ? asNonNegativeInteger(body['helm']) : undefined;
    const tide = isObject(body) ? asNonNegativeInteger(body['tide']) : undefined;
    if (helm === undefined || tide === undefined) return { status: 400, body: { error: 'helm or tide is missing' } };
    if (helm < this.helm || tide !== this.tide) {
      if (this.refusedRaise) this.takeHelm(helm);
      return { status: 409, body: this.message() };
    }
    this.takeHelm(helm);
    this.execute(asArray(isObject(body) ? body['orders'] : undefined));
    return { status: 200, body: this.message() };
  }

  private execute(orders: readonly unknown[]): void {
    for (const order of orders) {
      if (!isObject(order)) continue;
      const piece = asString(order['piece']) ?? '';
      const launch = asNonNegativeInteger(order['launch']);
      const named = parseTaskKey(piece);
      if (!named || launch === undefined) continue;
      const key = piece as TaskKey;
      const held = this.tasks.held(key, launch);
      if (order['verb'] === 'start' && !held) this.tasks.begin(key, named.job, named.index, launch);
      else if (order['verb'] === 'stop' && held) this.tasks.stop(held, asNumber(order['moor_s']) ?? 0);
      else if (order['verb'] === 'forget' && held?.phase === 'exited') this.tasks.forget(held);
    }
  }
}
