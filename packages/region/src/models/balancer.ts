import {
  HttpClient,
  type HttpResult,
  type HttpRequest,
  type Endpoint,
  type Runtime,
  type Timer,
} from '../../../../src/kernel/index.js';

const PROBE_EVERY_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
const ACCEPT_WITHIN_MS = 500;
const FIRST_PAUSE_MS = 3000;
const LONGEST_PAUSE_MS = 60_000;
const REMEMBERS_MS = 120_000;
const RAMP_MS = 10_000;
const RESET_AFTER_MS = 5000;
const SKIP_MS = 3000;
const TRIES = 3;

class Backend {
  healthy = false;
  everHealthy = false;
  healthySince = 0;
  removedAt = Number.NEGATIVE_INFINITY;
  pauseMs = FIRST_PAUSE_MS;
  skippedUntil = Number.NEGATIVE_INFINITY;
  refusals = 0;
  readonly last: boolean[] = [];
  readonly sessions = new Set<UserSession>();
  probing = false;

  constructor(
    readonly at: Endpoint,
    readonly client: HttpClient,
  ) {}

  /** What a probe found. Returns true when the node has just become unhealthy. */
  probed(ok: boolean, now: number): boolean {
    this.last.push(ok);
    if (this.last.length > 6) this.last.shift();
    const [before, latest] = this.last.slice(-2);
    if (this.healthy) {
      const failures = this.last.filter((good) => !good).length;
      const twice = this.last.length >= 2 && before === false && latest === false;
      if (!twice && failures < 3) return false;
      this.healthy = false;
      // Each further removal within two minutes doubles the pause.
      const again = now - this.removedAt < REMEMBERS_MS;
      this.pauseMs = again ? Math.min(LONGEST_PAUSE_MS, this.pauseMs * 2) : FIRST_PAUSE_MS;
      this.removedAt = now;
      return true;
    }
    const enough = this.everHealthy ? before === true && latest === true && now - this.removedAt >= this.pauseMs : ok;
    if (enough) {
      this.healthy = true;
      this.healthySince = this.everHealthy ? now : now - RAMP_MS;
      this.everHealthy = true;
      this.last.length = 0;
    }
    return false;
  }

  share(now: number): number {
    return Math.min(1, Math.max(0.1, (now - this.healthySince) / RAMP_MS));
  }
}

/**
 * The load balancer, which works at the connection level: it gives each new connection to a healthy
 * node with few open ones, and knows a node's health from its own probes.
 */
export class Balancer {
  private readonly backends: readonly Backend[];
  private readonly patient: Runtime;

  constructor(
    private readonly runtime: Runtime,
    nodes: readonly Endpoint[],
  ) {
    this.backends = nodes.map((at) => new Backend(at, new HttpClient(at, 1, runtime)));
    this.patient = connectsWithin(runtime, ACCEPT_WITHIN_MS);
  }

  start(): Timer {
    for (const backend of this.backends) void this.probe(backend);
    return this.runtime.every(PROBE_EVERY_MS, () => {
      for (const backend of this.backends) void this.probe(backend);
    });
  }

  get healthyCount(): number {
    return this.backends.filter((backend) => backend.healthy).length;
  }

  session(): UserSession {
    return new UserSession(this, this.patient);
  }

  private async probe(backend: Backend): Promise<void> {
    if (backend.probing) return;
    backend.probing = true;
    const answer = await backend.client.call({ method: 'GET', path: '/healthz', timeoutMs: PROBE_TIMEOUT_MS });
    backend.probing = false;
    const ok = answer.kind === 'answered' && answer.status === 200;
    if (!backend.probed(ok, this.runtime.now())) return;
    this.runtime.after(RESET_AFTER_MS, () => {
      if (!backend.healthy) for (const session of [...backend.sessions]) session.close();
    });
  }

  /** The healthy node with the fewest open connections for its share; null when there is none. */
  pick(except: ReadonlySet<Backend>): Backend | null {
    const now = this.runtime.now();
    let best: Backend | null = null;
    let least = Number.POSITIVE_INFINITY;
    for (const backend of this.backends) {
      if (!backend.healthy || except.has(backend) || now < backend.skippedUntil) continue;
      const load = (backend.sessions.size + 1) / backend.share(now);
      if (load < least) [best, least] = [backend, load];
    }
    return best;
  }

  /** A connection to it was refused, or not accepted in time. */
  refused(backend: Backend): void {
    backend.refusals += 1;
    if (backend.refusals >= 3) backend.skippedUntil = this.runtime.now() + SKIP_MS;
  }
}

/** A runtime whose connections fail when they don't stand within so long. */
function connectsWithin(runtime: Runtime, ms: number): Runtime {
  return Object.assign(Object.create(runtime) as Runtime, {
    connect: (to: Endpoint) => {
      const socket = runtime.connect(to);
      const timer = runtime.after(ms, () => socket.destroy(new Error('ENOTACCEPTED')));
      socket.once('connect', () => timer.cancel());
      socket.once('close', () => timer.cancel());
      return socket;
    },
  });
}

/** One user's connection, through the balancer; opened anew where it breaks. */
export class UserSession {
  private open: { readonly backend: Backend; readonly client: HttpClient } | undefined;

  constructor(
    private readonly balancer: Balancer,
    private readonly runtime: Runtime,
  ) {}

  async call(call: HttpRequest): Promise<HttpResult> {
    const tried = new Set<Backend>();
    for (;;) {
      const open = this.open ?? this.reach(tried);
      if (!open) return { kind: 'failed', reason: 'no healthy node' };
      const answer = await open.client.call(call);
      if (answer.kind === 'answered') {
        open.backend.refusals = 0;
        return answer;
      }
      this.leave(open);
      const refused = /ECONNREFUSED|ENOTACCEPTED/.test(answer.reason);
      if (refused) this.balancer.refused(open.backend);
      tried.add(open.backend);
      // Only a connection that never stood is moved on to another node.
      if (!refused || tried.size >= TRIES) return answer;
    }
  }

  /** Its connection is broken, by the balancer or by the user who is through. */
  close(): void {
    if (this.open) this.leave(this.open);
  }

  private reach(tried: ReadonlySet<Backend>): { backend: Backend; client: HttpClient } | undefined {
    const backend = this.balancer.pick(tried);
    if (!backend) return undefined;
    this.open = { backend, client: new HttpClient(backend.at, 1, this.runtime) };
    backend.sessions.add(this);
    return this.open;
  }

  private leave(open: { readonly backend: Backend; readonly client: HttpClient }): void {
    open.backend.sessions.delete(this);
    open.client.close();
    if (this.open === open) this.open = undefined;
  }
}
