import { pino } from 'pino';
import {
  HttpClient,
  type HttpResult,
  type HttpRequest,
  type Endpoint,
  type Logger,
} from '../../../src/kernel/index.js';
import {
  RandomStream,
  Network,
  settlePendingCallbacks,
  SimProcess,
  StateModel,
  EventQueue,
  type ClockFaults,
  type StateServiceConfig,
} from '../src/index.js';

const STATE_ADDRESS: Endpoint = { host: '10.2.0.1', port: 2379 };
/** Simulated time within which a promise has to settle. */
const SETTLE_TIMEOUT_MS = 600_000;
/** Limits and latency of the state service for tests that set none of their own. */
const DEFAULT_STATE_CONFIG: StateServiceConfig = { rps: 1000, writeRps: 1000, valueKb: 32, txnOps: 16, latencyMs: 2 };

/** A small simulated network for tests of single components, with processes on hosts and time that tests advance. */
export class SimulationHarness {
  readonly world = new EventQueue();
  readonly rng: RandomStream;
  readonly network: Network;
  readonly log: Logger = pino({ level: 'silent' });

  constructor(seed = 1) {
    this.rng = new RandomStream(seed, 'lab');
    this.network = new Network(this.world, { sameZoneMs: 0.5, crossZoneMs: 2, jitter: 0.25 }, this.rng.fork('network'));
  }

  /** Creates a process on a host of its own. */
  process(ip: string, zone: string | null = null, clocks?: ClockFaults, maxSockets?: number): SimProcess {
    const host = this.network.addHost(ip, zone);
    return new SimProcess(ip, host, this.world, this.network, this.rng.fork(ip), clocks, maxSockets);
  }

  /** Creates the process that follows an ended one on the same host. */
  restart({ name, host }: SimProcess): SimProcess {
    return new SimProcess(name, host, this.world, this.network, this.rng.fork(`${name} ${this.world.now}`));
  }

  /** Starts a state service; returns its model and address. */
  state(config: Partial<StateServiceConfig> = {}): { readonly model: StateModel; readonly at: Endpoint } {
    const process = this.process(STATE_ADDRESS.host);
    const model = new StateModel(process, this.rng.fork('state'), { ...DEFAULT_STATE_CONFIG, ...config });
    model.listen(STATE_ADDRESS, this.log);
    return { model, at: STATE_ADDRESS };
  }

  /** Advances simulated time by `ms` milliseconds. */
  advance(ms: number): Promise<void> {
    return this.world.run(this.world.now + ms, { rest: settlePendingCallbacks });
  }

  /** Advances simulated time until a promise has settled. Throws if it has not settled within ten minutes. */
  async runUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let settled = false;
    const markSettled = (): void => {
      settled = true;
    };
    promise.then(markSettled, markSettled);
    await settlePendingCallbacks();
    await this.world.run(this.world.now + SETTLE_TIMEOUT_MS, { rest: settlePendingCallbacks, stop: () => settled });
    if (!settled) throw new Error('the promise did not settle within ten minutes of simulated time');
    return promise;
  }

  /** Sends one request from a process, on a connection of its own. */
  async request(
    from: SimProcess,
    to: Endpoint,
    call: Omit<HttpRequest, 'timeoutMs'>,
    timeoutMs = 5000,
  ): Promise<HttpResult> {
    const client = new HttpClient(to, 1, from);
    const response = await this.runUntilSettled(client.call({ ...call, timeoutMs }));
    client.close();
    return response;
  }
}
