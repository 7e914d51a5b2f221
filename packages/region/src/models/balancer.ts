import {
  HttpClient,
  type HttpResult,
  type HttpRequest,
  type Endpoint,
  type Runtime,
  type Timer,
} from '../../../../src/kernel/index.js';

/** Interval and timeout of the health probes. */
const PROBE_INTERVAL_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
/** A connection that is not accepted within this time counts as refused. */
const ACCEPT_TIMEOUT_MS = 500;
/** Bounds of the time for which an unhealthy node stays removed; doubled by each further removal within the window. */
const MIN_REMOVAL_MS = 3000;
const MAX_REMOVAL_MS = 60_000;
const REMOVAL_BACKOFF_WINDOW_MS = 120_000;
/** A node that has returned gets its full share of new connections only after this time. */
const SLOW_START_MS = 10_000;
/** Open connections to a node that became unhealthy are closed after this delay, if it still is. */
const CONNECTION_CLOSE_DELAY_MS = 5000;
/** A node that has refused three connections since its last answer gets no new ones for this time. */
const REFUSAL_COOLDOWN_MS = 3000;
/** Number of nodes that one request tries to connect to. */
const MAX_CONNECT_ATTEMPTS = 3;

/** One controller node as the balancer sees it. Times in milliseconds of the balancer's clock. */
class Backend {
  healthy = false;
  everHealthy = false;
  /** When the slow start began. */
  healthySince = 0;
  removedAt = Number.NEGATIVE_INFINITY;
  /** How long the node stays removed after it became unhealthy. */
  removalMs = MIN_REMOVAL_MS;
  /** The node gets no new connections before this time. */
  excludedUntil = Number.NEGATIVE_INFINITY;
  /** Refused or timed-out connections since the last answered request. */
  consecutiveRefusals = 0;
  /** Results of the last probes, at most six, oldest first; cleared when the node becomes healthy. */
  readonly recentProbes: boolean[] = [];
  readonly sessions = new Set<UserSession>();
  probeInFlight = false;

  constructor(
    readonly endpoint: Endpoint,
    readonly client: HttpClient,
  ) {}

  /**
   * Records the result of a probe. Two failures in a row, or three of the last six, remove the node; it returns after
   * two successes in a row once its removal time has passed. Its very first success suffices. Returns true when the
   * node has just become unhealthy.
   */
  recordProbe(healthy: boolean, now: number): boolean {
    this.recentProbes.push(healthy);
    if (this.recentProbes.length > 6) this.recentProbes.shift();
    const [previous, latest] = this.recentProbes.slice(-2);
    if (this.healthy) {
      const failures = this.recentProbes.filter((good) => !good).length;
      const failedTwiceInARow = this.recentProbes.length >= 2 && previous === false && latest === false;
      if (!failedTwiceInARow && failures < 3) return false;
      this.healthy = false;
      // Each further removal within the window doubles the time for which the node stays removed.
      const removedRecently = now - this.removedAt < REMOVAL_BACKOFF_WINDOW_MS;
      this.removalMs = removedRecently ? Math.min(MAX_REMOVAL_MS, this.removalMs * 2) : MIN_REMOVAL_MS;
      this.removedAt = now;
      return true;
    }
    const mayReturn = this.everHealthy
      ? previous === true && latest === true && now - this.removedAt >= this.removalMs
      : healthy;
    if (mayReturn) {
      this.healthy = true;
      this.healthySince = this.everHealthy ? now : now - SLOW_START_MS;
      this.everHealthy = true;
      this.recentProbes.length = 0;
    }
    return false;
  }

  /** The node's weight for new connections: from 0.1 up to 1 during the slow start. */
  slowStartWeight(now: number): number {
    return Math.min(1, Math.max(0.1, (now - this.healthySince) / SLOW_START_MS));
  }
}

/**
 * A simulated load balancer that works at the connection level: it assigns each new connection to the healthy node with
 * the fewest open connections, and determines the health of the nodes by its own probes of `/healthz`.
 */
export class Balancer {
  private readonly backends: readonly Backend[];
  /** The runtime of user connections, with a timeout for establishing them. */
  private readonly sessionRuntime: Runtime;

  constructor(
    private readonly runtime: Runtime,
    nodes: readonly Endpoint[],
  ) {
    this.backends = nodes.map((at) => new Backend(at, new HttpClient(at, 1, runtime)));
    this.sessionRuntime = withConnectTimeout(runtime, ACCEPT_TIMEOUT_MS);
  }

  /** Starts to probe the nodes; cancelling the timer ends it. */
  start(): Timer {
    for (const backend of this.backends) void this.probe(backend);
    return this.runtime.every(PROBE_INTERVAL_MS, () => {
      for (const backend of this.backends) void this.probe(backend);
    });
  }

  /** Number of nodes that get new connections. */
  get healthyCount(): number {
    return this.backends.filter((backend) => backend.healthy).length;
  }

  /** Creates a user's session; it connects with its first request. */
  openSession(): UserSession {
    return new UserSession(this, this.sessionRuntime);
  }

  private async probe(backend: Backend): Promise<void> {
    if (backend.probeInFlight) return;
    backend.probeInFlight = true;
    const answer = await backend.client.call({ method: 'GET', path: '/healthz', timeoutMs: PROBE_TIMEOUT_MS });
    backend.probeInFlight = false;
    const healthy = answer.kind === 'answered' && answer.status === 200;
    if (!backend.recordProbe(healthy, this.runtime.now())) return;
    this.runtime.after(CONNECTION_CLOSE_DELAY_MS, () => {
      if (!backend.healthy) for (const session of [...backend.sessions]) session.close();
    });
  }

  /** Returns the healthy node with the fewest open connections relative to its weight; null when there is none. */
  pickBackend(excluded: ReadonlySet<Backend>): Backend | null {
    const now = this.runtime.now();
    let best: Backend | null = null;
    let lowestLoad = Number.POSITIVE_INFINITY;
    for (const backend of this.backends) {
      if (!backend.healthy || excluded.has(backend) || now < backend.excludedUntil) continue;
      const load = (backend.sessions.size + 1) / backend.slowStartWeight(now);
      if (load < lowestLoad) [best, lowestLoad] = [backend, load];
    }
    return best;
  }

  /** Records that a connection to the node was refused, or not accepted in time. */
  recordRefusal(backend: Backend): void {
    backend.consecutiveRefusals += 1;
    if (backend.consecutiveRefusals >= 3) backend.excludedUntil = this.runtime.now() + REFUSAL_COOLDOWN_MS;
  }
}

/** Returns a runtime whose connections fail with `ENOTACCEPTED` when they are not established within the timeout. */
function withConnectTimeout(runtime: Runtime, timeoutMs: number): Runtime {
  return Object.assign(Object.create(runtime) as Runtime, {
    connect: (to: Endpoint) => {
      const socket = runtime.connect(to);
      const timer = runtime.after(timeoutMs, () => socket.destroy(new Error('ENOTACCEPTED')));
      socket.once('connect', () => timer.cancel());
      socket.once('close', () => timer.cancel());
      return socket;
    },
  });
}

/** One user's connection through the balancer; after a failure the next request opens a new one. */
export class UserSession {
  private connection: { readonly backend: Backend; readonly client: HttpClient } | undefined;

  constructor(
    private readonly balancer: Balancer,
    private readonly runtime: Runtime,
  ) {}

  /** Sends a request; when the connection is refused, it tries further nodes. */
  async call(call: HttpRequest): Promise<HttpResult> {
    const tried = new Set<Backend>();
    for (;;) {
      const connection = this.connection ?? this.connect(tried);
      if (!connection) return { kind: 'failed', reason: 'no healthy node' };
      const answer = await connection.client.call(call);
      if (answer.kind === 'answered') {
        connection.backend.consecutiveRefusals = 0;
        return answer;
      }
      this.disconnect(connection);
      const refused = /ECONNREFUSED|ENOTACCEPTED/.test(answer.reason);
      if (refused) this.balancer.recordRefusal(connection.backend);
      tried.add(connection.backend);
      // Only a connection that was never established is retried on another node: the request was not sent.
      if (!refused || tried.size >= MAX_CONNECT_ATTEMPTS) return answer;
    }
  }

  /** Closes the connection: the balancer does so for an unhealthy node, the user at the end of the session. */
  close(): void {
    if (this.connection) this.disconnect(this.connection);
  }

  private connect(tried: ReadonlySet<Backend>): { backend: Backend; client: HttpClient } | undefined {
    const backend = this.balancer.pickBackend(tried);
    if (!backend) return undefined;
    this.connection = { backend, client: new HttpClient(backend.endpoint, 1, this.runtime) };
    backend.sessions.add(this);
    return this.connection;
  }

  private disconnect(connection: { readonly backend: Backend; readonly client: HttpClient }): void {
    connection.backend.sessions.delete(this);
    connection.client.close();
    if (this.connection === connection) this.connection = undefined;
  }
}
