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
import type { RandomStream } from '../sim/index.js';
import type { Machine } from './cloud.js';
import type { GangCoordinator } from './gangs.js';
import type { SimulatedJobs } from './jobs.js';
import { serveJson, type JsonResponse, type JsonRequest } from './json-server.js';
import { MachineTasks, type TaskObserver } from './machine-tasks.js';

/** Timings of workers. */
export interface WorkerTimings {
  /** Interval of reports. */
  readonly reportS: number;
  /** Time after the last answered report at which the worker's lease expires. */
  readonly leaseS: number;
  /** How long a gang's task waits for the others. */
  readonly gangWaitS: number;
  /** Within this time the members of a gang notice that another is lost. */
  readonly gangPeerS: number;
  /** Time within which tasks of a cancelled job must be gone. */
  readonly cancelS: number;
}

/** Injected duplicates of reports: this share is sent once more, up to `lateMs` later. */
export interface ReportCopies {
  readonly share: number;
  readonly lateMs: number;
  /** Receives the copies instead, which are then sent when the leader or the holder of a shard has changed. */
  readonly keep?: (body: unknown) => void;
}

/** Injected duplicates of commands: this share of the executed and answered ones arrives once more. */
export interface CommandCopies {
  readonly share: number;
  /** Shortest and longest time from the execution to the arrival of the copy. */
  readonly lateMs: readonly [number, number];
  /** Copies also reach the worker after it has restarted. */
  readonly afterRestart: boolean;
  /** Receives what delivers a copy instead, to be called when the leader or the holder of a shard has changed. */
  readonly keep?: (deliver: () => void) => void;
}

/** What {@link WorkerModel} depends on. */
export interface WorkerDeps {
  readonly runtime: Runtime;
  /** Keeps running while the machine hangs, so that its lease expires nevertheless. */
  readonly watchdog: Runtime;
  readonly luck: RandomStream;
  readonly log: Logger;
  readonly facts: WorkerTimings;
  readonly controllers: readonly { readonly name: string; readonly at: Endpoint }[];
  readonly jobs: SimulatedJobs;
  readonly gangs: GangCoordinator;
  readonly watch: TaskObserver;
  /** Seconds until the cloud reclaims the machine; null: no notice was given. */
  readonly noticeS: () => number | null;
  /** Injected duplicates of reports; null: none. */
  readonly copies?: () => ReportCopies | null;
  /** Injected duplicates of commands; null: none. */
  readonly commandCopies?: () => CommandCopies | null;
}

const REPORT_TIMEOUT_MS = 4000;
/** Delay before a report to the next controller, after one that failed. */
const FAILOVER_DELAY_MS = 1000;
/** Range of the delay of held commands. */
const HELD_COMMAND_DELAY_MS = [200, 6000] as const;
/** Interval at which a copy of a command tries to reach a worker that hangs, restarts or is cut off. */
const COPY_RETRY_MS = 50;
/** Smallest interval between reports of changes. */
const CHANGE_REPORT_INTERVAL_MS = 500;

/** A simulated worker of one machine that serves the worker protocol: sessions, fencing tokens, a lease, and tasks. */
export class WorkerModel {
  readonly tasks: MachineTasks;
  private readonly clients: readonly HttpClient[];
  /** The controller that gets the next report. */
  private controllerIndex: number;
  /** Highest fencing token that it has seen. */
  private seenToken = 0;
  private session = 1;
  /** Sequence number of the last message in the session. */
  private sequence = 0;
  /** When the last answered report was sent; the lease is counted from then on. */
  private leaseStartedAt: number;
  /** When a higher token was last reported at once. */
  private tokenReportedAt = Number.NEGATIVE_INFINITY;
  private reporting = false;
  private lastReportAt = Number.NEGATIVE_INFINITY;
  private nextReport: Timer | undefined;
  private ended = false;
  private paused = false;
  private listener: TcpListener | undefined;
  /** Its messages arrive, but answers and commands don't reach it. */
  dropsInbound = false;
  /** Its connections don't reach any controller; commands do reach it. */
  dropsOutbound = false;
  /** A command that is refused because of its session raises the token nevertheless; the protocol leaves that open. */
  raisesTokenOnRefusal = false;
  /** Delays commands or their answers. */
  delaysCommands = false;
  /** Number of reports whose answers have renewed its lease. */
  answers = 0;
  /** Number of reports sent, and of requests served. */
  readonly counts = { reports: 0, commands: 0 };
  address = '';

  constructor(
    readonly machine: Machine,
    private readonly deps: WorkerDeps,
  ) {
    const { runtime, luck, controllers } = deps;
    this.tasks = new MachineTasks(machine, deps, () => {
      this.changeCount += 1;
      this.onChange();
    });
    this.clients = controllers.map(({ at }) => new HttpClient(at, 1, runtime));
    this.controllerIndex = luck.integerBelow(Math.max(1, controllers.length));
    this.leaseStartedAt = deps.watchdog.now();
  }

  /** The highest fencing token that it has seen. */
  get highestToken(): number {
    return this.seenToken;
  }

  private listenEndpoint: Endpoint = { host: '', port: 0 };

  /** Serves the worker protocol at an endpoint. */
  listen(at: Endpoint): TcpListener {
    this.listenEndpoint = at;
    this.listener = serveJson(this.deps.runtime, at, this.deps.log, (request) => this.handleRequest(request));
    return this.listener;
  }

  /** Starts to report, once the address is known. */
  start(address: string): void {
    this.address = address;
    this.machine.address = address;
    this.watchLease();
    this.scheduleReport(this.deps.luck.uniform(0, 200));
  }

  /** Ends the worker: the machine and everything on it is gone. */
  end(): void {
    this.ended = true;
    this.nextReport?.cancel();
    this.tasks.killAll();
    for (const client of this.clients) client.close();
    this.listener?.close();
  }

  /** Called when the machine hangs: tasks make no progress until `resume`. */
  pause(): void {
    this.paused = true;
    this.tasks.pause();
  }

  /** Called when the machine no longer hangs. */
  resume(): void {
    this.paused = false;
    this.tasks.resume();
  }

  // ---- reports

  private scheduleReport(ms: number): void {
    this.nextReport?.cancel();
    this.nextReport = this.deps.runtime.after(ms, () => void this.report());
  }

  /** Reports a change at once, but no more often than the smallest interval allows. */
  private onChange(): void {
    if (this.reporting || this.ended) return;
    this.scheduleReport(Math.max(1, this.lastReportAt + CHANGE_REPORT_INTERVAL_MS - this.deps.runtime.now()));
  }

  /** Returns a status message with a new sequence number. */
  message(): unknown {
    this.sequence += 1;
    const { machine } = this;
    return {
      drifter: machine.id,
      address: this.address,
      hull: machine.type.name,
      berth: machine.zone,
      flotsam: machine.spot,
      tide: this.session,
      tally: this.sequence,
      helm: this.seenToken,
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

  /** Sends a report; on failure the next one goes to the controller named in the answer, or to the next one. */
  private async report(): Promise<void> {
    const client = this.clients[this.controllerIndex];
    if (this.ended || this.reporting || !client) return;
    this.reporting = true;
    const sentAt = this.deps.watchdog.now();
    const { session: sessionAtSend } = this;
    this.lastReportAt = this.deps.runtime.now();
    this.counts.reports += 1;
    const call = { method: 'POST', path: '/v1/report', body: this.message(), timeoutMs: REPORT_TIMEOUT_MS } as const;
    const changesBefore = this.changeCount;
    const { incarnation } = this;
    if (!this.dropsOutbound) this.sendCopy(call.body);
    const answer = await this.sendReport(client, call);
    if (incarnation !== this.incarnation) return;
    this.reporting = false;
    if (this.ended) return;
    const body = answer.kind === 'answered' && isObject(answer.body) ? answer.body : {};
    if (answer.kind === 'answered' && answer.status === 200) {
      if (sessionAtSend === this.session) this.onReply(body, sentAt);
      const intervalMs = this.deps.facts.reportS * 1000 * this.deps.luck.uniform(0.75, 1.25);
      // What changed while the report was in flight is reported next.
      this.scheduleReport(this.changeCount === changesBefore ? intervalMs : CHANGE_REPORT_INTERVAL_MS);
      return;
    }
    const namedIndex = this.deps.controllers.findIndex(({ name }) => name === asString(body['harbour']));
    if (answer.kind === 'answered' && answer.status === 421 && namedIndex >= 0 && namedIndex !== this.controllerIndex) {
      this.controllerIndex = namedIndex;
      this.scheduleReport(this.deps.luck.uniform(1, 500));
    } else {
      this.controllerIndex = (this.controllerIndex + 1) % this.clients.length;
      this.scheduleReport(FAILOVER_DELAY_MS);
    }
  }

  private async sendReport(client: HttpClient, call: HttpRequest): Promise<CallAnswer> {
    if (this.dropsInbound) return this.sendWithoutAnswer(client, call);
    if (!this.dropsOutbound) return client.call(call);
    await this.deps.runtime.sleep(REPORT_TIMEOUT_MS);
    return { kind: 'failed', reason: 'no connection' };
  }

  /** Sends a report whose answer is lost. */
  private async sendWithoutAnswer(client: HttpClient, call: HttpRequest): Promise<CallAnswer> {
    const { runtime } = this.deps;
    const sentAt = runtime.now();
    await client.call(call);
    await runtime.sleep(Math.max(0, sentAt + REPORT_TIMEOUT_MS - runtime.now()));
    return { kind: 'failed', reason: 'no answer' };
  }

  /** Sends some reports once more, late and to a random controller; the answer is ignored. */
  private sendCopy(body: unknown): void {
    const copies = this.deps.copies?.() ?? null;
    const { runtime, luck, controllers } = this.deps;
    if (!copies || !luck.chance(copies.share)) return;
    if (copies.keep) {
      copies.keep(body);
      return;
    }
    const at = luck.pickOne(controllers)?.at;
    if (!at) return;
    runtime.after(copies.lateMs * luck.uniform(0.1, 1), () => {
      const client = new HttpClient(at, 1, runtime);
      const sent = client.call({ method: 'POST', path: '/v1/report', body, timeoutMs: REPORT_TIMEOUT_MS });
      void sent.finally(() => client.close());
    });
  }

  /** Closes its listener and its connections. */
  closeConnections(): void {
    this.listener?.close();
    for (const client of this.clients) client.close();
  }

  /** Number of restarts; requests of an earlier incarnation are dropped. */
  private incarnation = 0;

  /** Restarts the machine: all tasks are killed, and after `downS` seconds session and sequence number start anew. */
  restart(downS: number): void {
    this.nextReport?.cancel();
    this.tasks.killAll();
    this.incarnation += 1;
    this.reporting = true;
    this.restarting = true;
    // Its connections are closed, so messages in flight to it never arrive.
    this.listener?.close();
    this.deps.watchdog.after(downS * 1000, () => {
      if (this.ended) return;
      this.reset();
      [this.restarting, this.reporting] = [false, false];
      this.listen(this.listenEndpoint);
      this.scheduleReport(1);
    });
  }

  /** Resets the worker to its initial state: first session, no token seen, no tasks. */
  reset(): void {
    this.tasks.killAll();
    [this.seenToken, this.session, this.sequence] = [0, 1, 0];
    this.tokenReportedAt = Number.NEGATIVE_INFINITY;
    this.leaseStartedAt = this.deps.watchdog.now();
  }

  private restarting = false;

  /** Counts the changes that must be reported. */
  private changeCount = 0;

  /** Handles the answer to a report that was sent at this time of the watchdog's clock. */
  onReply(body: Record<string, unknown>, sentAt: number): void {
    const token = asNonNegativeInteger(body['helm']);
    // An answer with a lower token or without one is dropped, and the lease is not renewed.
    if (token === undefined || token < this.seenToken) return;
    this.raiseToken(token);
    this.answers += 1;
    if (sentAt > this.leaseStartedAt) this.leaseStartedAt = sentAt;
    this.executeOrders(asArray(body['orders']));
  }

  /** Records a higher token, and reports it at once, but at most once in half a lease. */
  private raiseToken(token: number): void {
    if (token <= this.seenToken) return;
    this.seenToken = token;
    const now = this.deps.runtime.now();
    if (now - this.tokenReportedAt < (this.deps.facts.leaseS * 1000) / 2) return;
    this.tokenReportedAt = now;
    this.changeCount += 1;
    this.onChange();
  }

  /** Waits until the lease expires, then ends the session. */
  private watchLease(): void {
    const { watchdog, facts } = this.deps;
    const leftMs = this.leaseStartedAt + facts.leaseS * 1000 - watchdog.now();
    if (leftMs > 0) {
      watchdog.after(leftMs, () => {
        if (!this.ended) this.watchLease();
      });
      return;
    }
    if (this.restarting) this.leaseStartedAt = watchdog.now();
    else this.expireLease();
    if (!this.paused) this.onChange();
    this.watchLease();
  }

  /** Expires the lease: all tasks are killed and forgotten, and the next session begins. */
  expireLease(): void {
    this.tasks.killAll();
    this.session += 1;
    this.sequence = 0;
    this.leaseStartedAt = this.deps.watchdog.now();
    this.changeCount += 1;
  }

  /** Answers a request; leaves it unanswered while nothing reaches the worker. */
  private handleRequest(request: JsonRequest): JsonResponse | Promise<JsonResponse> {
    if (this.dropsInbound || this.restarting) return new Promise<JsonResponse>(() => undefined);
    return this.delaysCommands && request.path === '/commands' ? this.serveDelayed(request) : this.serveOnce(request);
  }

  /** Executes a request; some commands that are executed arrive once more later. */
  private serveOnce(request: JsonRequest): JsonResponse {
    const answer = this.serve(request);
    if (request.path === '/commands' && answer.status === 200) this.scheduleCommandCopy(request);
    return answer;
  }

  /** Lets some commands arrive once more; nobody gets the answer. */
  private scheduleCommandCopy(request: JsonRequest): void {
    const copies = this.deps.commandCopies?.() ?? null;
    const { watchdog, luck } = this.deps;
    if (!copies || !luck.chance(copies.share)) return;
    const { incarnation } = this;
    const deliver = (): void => {
      if (this.ended || (!copies.afterRestart && incarnation !== this.incarnation)) return;
      const unreachable = this.paused || this.restarting || this.dropsInbound;
      if (unreachable) watchdog.after(COPY_RETRY_MS, deliver);
      else this.serve(request);
    };
    if (copies.keep) copies.keep(deliver);
    else watchdog.after(luck.uniform(...copies.lateMs), deliver);
  }

  /** Executes a command late, or answers it late; it is not executed if the machine ends or restarts before. */
  private async serveDelayed(request: JsonRequest): Promise<JsonResponse> {
    const { runtime, luck } = this.deps;
    const { incarnation } = this;
    const [delayBeforeMs, delayAfterMs] = luck.chance(0.5)
      ? [luck.uniform(...HELD_COMMAND_DELAY_MS), 0]
      : [0, luck.uniform(...HELD_COMMAND_DELAY_MS)];
    await runtime.sleep(delayBeforeMs);
    if (this.ended || this.restarting || incarnation !== this.incarnation)
      return new Promise<JsonResponse>(() => undefined);
    const answer = this.serveOnce(request);
    await runtime.sleep(delayAfterMs);
    return answer;
  }

  /** Executes a request. Commands with a lower token or for another session are refused with 409. */
  serve({ method, path, body }: Pick<JsonRequest, 'method' | 'path' | 'body'>): JsonResponse {
    this.counts.commands += 1;
    if (method === 'GET' && path === '/status') return { status: 200, body: this.message() };
    if (method !== 'POST' || path !== '/commands') return { status: 404, body: { error: 'no such call' } };
    const token = isObject(body) ? asNonNegativeInteger(body['helm']) : undefined;
    const session = isObject(body) ? asNonNegativeInteger(body['tide']) : undefined;
    if (token === undefined || session === undefined)
      return { status: 400, body: { error: 'helm or tide is missing' } };
    if (token < this.seenToken || session !== this.session) {
      if (this.raisesTokenOnRefusal) this.raiseToken(token);
      return { status: 409, body: this.message() };
    }
    this.raiseToken(token);
    this.executeOrders(asArray(isObject(body) ? body['orders'] : undefined));
    return { status: 200, body: this.message() };
  }

  /** Executes start, stop and forget orders; malformed ones are ignored. */
  private executeOrders(orders: readonly unknown[]): void {
    for (const order of orders) {
      if (!isObject(order)) continue;
      const piece = asString(order['piece']) ?? '';
      const attempt = asNonNegativeInteger(order['launch']);
      const parsedKey = parseTaskKey(piece);
      if (!parsedKey || attempt === undefined) continue;
      const key = piece as TaskKey;
      const task = this.tasks.find(key, attempt);
      if (order['verb'] === 'start' && !task) this.tasks.start(key, parsedKey.job, parsedKey.index, attempt);
      else if (order['verb'] === 'stop' && task) this.tasks.stop(task, asNumber(order['moor_s']) ?? 0);
      else if (order['verb'] === 'forget' && task?.phase === 'exited') this.tasks.forget(task);
    }
  }
}
