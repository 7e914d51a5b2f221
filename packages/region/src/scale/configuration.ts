import type { Histogram } from 'hdr-histogram-js';
import { HttpClient, isObject, type Endpoint, type Runtime } from '../../../../src/kernel/index.js';
import { histogram, percentilesOf, record, type Percentiles } from './meter.js';

const CHANGE_TIMEOUT_MS = 8000;
const LOOK_TIMEOUT_MS = 500;
const LOOK_EVERY_MS = 25;
const IN_FORCE_WITHIN_MS = 15_000;

/** How changes of the operators' settings fared. Times in milliseconds from when they were sent. */
export interface ConfigurationResult {
  readonly sent: number;
  readonly stored: number;
  /** By status, 0 for no answer. */
  readonly refused: Readonly<Record<number, number>>;
  readonly storedMs: Percentiles | null;
  /** Until every controller acts on them. */
  readonly inForceMs: Percentiles | null;
  /** Stored, and not in force on every controller within the time that was waited. */
  readonly notInForce: number;
}

/** Sends changes of the operators' settings to the controllers, and measures how soon all of them act on each. */
export class ConfigurationLoad {
  private readonly clients: readonly HttpClient[];
  private readonly storedMs: Histogram = histogram();
  private readonly inForceMs: Histogram = histogram();
  private readonly refused: Record<number, number> = {};
  private sent = 0;
  private stored = 0;
  private notInForce = 0;
  private next = 0;

  constructor(
    controllers: readonly Endpoint[],
    private readonly runtime: Runtime,
    /** Machines that may be marked. */
    private readonly machines: () => readonly string[],
  ) {
    this.clients = controllers.map((at) => new HttpClient(at, 16, runtime));
  }

  close(): void {
    for (const client of this.clients) client.close();
  }

  /** One change at the next controller in turn: a machine is cordoned, and uncordoned with the next but one. */
  async change(): Promise<void> {
    const number = this.next++;
    const machines = this.machines();
    const machine = machines[(number >> 1) % Math.max(1, machines.length)];
    const client = this.clients[number % this.clients.length];
    if (machine === undefined || !client) return;
    const mark = number % 2 === 0 ? 'cordon' : 'uncordon';
    await this.send(client, `/admin/v1/machines/${machine}/${mark}`);
  }

  /** So many different machines are cordoned at once, spread over the controllers, and freed one by one afterwards. */
  async burst(count: number): Promise<void> {
    const machines = this.machines().slice(0, count);
    const at = (i: number): HttpClient | undefined => this.clients[i % this.clients.length];
    const each = (mark: string) =>
      machines.map((machine, i) => {
        const client = at(i);
        return client ? this.send(client, `/admin/v1/machines/${machine}/${mark}`) : Promise.resolve();
      });
    await Promise.all(each('cordon'));
    await Promise.all(each('uncordon'));
  }

  private async send(client: HttpClient, path: string): Promise<void> {
    const sentAt = this.runtime.now();
    this.sent += 1;
    const answer = await client.call({ method: 'POST', path, body: {}, timeoutMs: CHANGE_TIMEOUT_MS });
    const status = answer.kind === 'answered' ? answer.status : 0;
    const revision = answer.kind === 'answered' && isObject(answer.body) ? answer.body['revision'] : undefined;
    if (status !== 200 || typeof revision !== 'number') {
      this.refused[status] = (this.refused[status] ?? 0) + 1;
      return;
    }
    this.stored += 1;
    record(this.storedMs, this.runtime.now() - sentAt);
    const acted = await Promise.all(this.clients.map((controller) => this.acts(controller, revision)));
    if (acted.every((yes) => yes)) record(this.inForceMs, this.runtime.now() - sentAt);
    else this.notInForce += 1;
  }

  /** Waits until a controller acts on this revision of the settings. */
  private async acts(client: HttpClient, revision: number): Promise<boolean> {
    const until = this.runtime.now() + IN_FORCE_WITHIN_MS;
    while (this.runtime.now() < until) {
      const path = '/admin/v1/settings/in-force';
      const answer = await client.call({ method: 'GET', path, timeoutMs: LOOK_TIMEOUT_MS });
      const seen = answer.kind === 'answered' && isObject(answer.body) ? answer.body['revision'] : undefined;
      if (typeof seen === 'number' && seen >= revision) return true;
      await this.runtime.sleep(LOOK_EVERY_MS);
    }
    return false;
  }

  get result(): ConfigurationResult {
    return {
      ...{ sent: this.sent, stored: this.stored, refused: this.refused, notInForce: this.notInForce },
      storedMs: percentilesOf(this.storedMs),
      inForceMs: percentilesOf(this.inForceMs),
    };
  }
}
