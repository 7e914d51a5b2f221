import { pino } from 'pino';
import {
  HttpClient,
  type HttpResult,
  type HttpRequest,
  type Endpoint,
  type Logger,
} from '../../../src/kernel/index.js';
import { Luck, Network, rest, SimProcess, StateModel, World, type ClockFaults, type StateFacts } from '../src/index.js';

const STATE: Endpoint = { host: '10.2.0.1', port: 2379 };
const PATIENCE_MS = 600_000;
const GENEROUS: StateFacts = { rps: 1000, writeRps: 1000, valueKb: 32, txnOps: 16, latencyMs: 2 };

/** A small simulated network for tests of single parts: processes on hosts, and time that passes when told to. */
export class Lab {
  readonly world = new World();
  readonly luck: Luck;
  readonly network: Network;
  readonly log: Logger = pino({ level: 'silent' });

  constructor(seed = 1) {
    this.luck = new Luck(seed, 'lab');
    this.network = new Network(
      this.world,
      { sameZoneMs: 0.5, crossZoneMs: 2, jitter: 0.25 },
      this.luck.fork('network'),
    );
  }

  process(ip: string, zone: string | null = null, clocks?: ClockFaults, maxSockets?: number): SimProcess {
    const host = this.network.host(ip, zone);
    return new SimProcess(ip, host, this.world, this.network, this.luck.fork(ip), clocks, maxSockets);
  }

  /** A state service that listens, and where. */
  state(facts: Partial<StateFacts> = {}): { readonly model: StateModel; readonly at: Endpoint } {
    const process = this.process(STATE.host);
    const model = new StateModel(process, this.luck.fork('state'), { ...GENEROUS, ...facts });
    model.listen(STATE, this.log);
    return { model, at: STATE };
  }

  /** Lets so much time pass. */
  pass(ms: number): Promise<void> {
    return this.world.run(this.world.now + ms, { rest });
  }

  /** Lets time pass until a promise has settled; fails when it hasn't within ten minutes. */
  async settle<T>(promise: Promise<T>): Promise<T> {
    let settled = false;
    const note = (): void => {
      settled = true;
    };
    promise.then(note, note);
    await rest();
    await this.world.run(this.world.now + PATIENCE_MS, { rest, stop: () => settled });
    if (!settled) throw new Error('nothing came of it in ten minutes of simulated time');
    return promise;
  }

  /** One request from a process, on a connection of its own. */
  async ask(
    from: SimProcess,
    to: Endpoint,
    call: Omit<HttpRequest, 'timeoutMs'>,
    timeoutMs = 5000,
  ): Promise<HttpResult> {
    const client = new HttpClient(to, 1, from);
    const answer = await this.settle(client.call({ ...call, timeoutMs }));
    client.close();
    return answer;
  }
}
