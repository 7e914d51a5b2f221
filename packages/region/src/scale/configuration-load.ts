/** Generates changes of the operators' settings as load on the controllers. */

import type { Histogram } from 'hdr-histogram-js';
import { HttpClient, isObject, type Endpoint, type Runtime } from '../../../../src/kernel/index.js';
import { createHistogram, percentilesOf, recordDuration, type Percentiles } from './start-meter.js';

const CHANGE_TIMEOUT_MS = 8000;
const POLL_TIMEOUT_MS = 500;
const POLL_INTERVAL_MS = 25;
const IN_FORCE_TIMEOUT_MS = 15_000;

/** Outcome of the changes to the operators' settings. Times are in milliseconds since the change was sent. */
export interface ConfigurationResult {
  readonly sent: number;
  /** Answered with status 200 and a revision. */
  readonly stored: number;
  /** Changes that were not stored, by HTTP status; 0 means no answer. */
  readonly refused: Readonly<Record<number, number>>;
  readonly storedMs: Percentiles | null;
  /** Time until every controller applies the change. */
  readonly inForceMs: Percentiles | null;
  /** Changes that were stored, but that some controller did not apply before the timeout. */
  readonly notInForce: number;
}

/** Sends changes of the operators' settings to the controllers, and measures how soon all controllers apply each change. */
export class ConfigurationLoad {
  private readonly clients: readonly HttpClient[];
  private readonly storedMs: Histogram = createHistogram();
  private readonly inForceMs: Histogram = createHistogram();
  private readonly refused: Record<number, number> = {};
  private sent = 0;
  private stored = 0;
  private notInForce = 0;
  private nextChange = 0;

  constructor(
    controllers: readonly Endpoint[],
    private readonly runtime: Runtime,
    /** Ids of machines that may be cordoned. */
    private readonly machines: () => readonly string[],
  ) {
    this.clients = controllers.map((at) => new HttpClient(at, 16, runtime));
  }

  /** Closes all connections to the controllers. */
  close(): void {
    for (const client of this.clients) client.close();
  }

  /** Sends one change to the next controller in turn. Changes alternate: one cordons a machine, the next uncordons it. */
  async sendNextChange(): Promise<void> {
    const changeIndex = this.nextChange++;
    const machines = this.machines();
    const machine = machines[(changeIndex >> 1) % Math.max(1, machines.length)];
    const client = this.clients[changeIndex % this.clients.length];
    if (machine === undefined || !client) return;
    const action = changeIndex % 2 === 0 ? 'cordon' : 'uncordon';
    await this.sendAndMeasure(client, `/admin/v1/machines/${machine}/${action}`);
  }

  /** Cordons `count` machines at once, spread over the controllers, and afterwards uncordons all of them at once. */
  async sendBurst(count: number): Promise<void> {
    const machines = this.machines().slice(0, count);
    const clientFor = (i: number): HttpClient | undefined => this.clients[i % this.clients.length];
    const sendAll = (action: string) =>
      machines.map((machine, i) => {
        const client = clientFor(i);
        return client ? this.sendAndMeasure(client, `/admin/v1/machines/${machine}/${action}`) : Promise.resolve();
      });
    await Promise.all(sendAll('cordon'));
    await Promise.all(sendAll('uncordon'));
  }

  /** Sends one change, and waits until every controller applies it. */
  private async sendAndMeasure(client: HttpClient, path: string): Promise<void> {
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
    recordDuration(this.storedMs, this.runtime.now() - sentAt);
    const inForce = await Promise.all(this.clients.map((controller) => this.waitUntilInForce(controller, revision)));
    if (inForce.every((isInForce) => isInForce)) recordDuration(this.inForceMs, this.runtime.now() - sentAt);
    else this.notInForce += 1;
  }

  /** Polls a controller until it applies this revision of the settings. Resolves to false after the timeout. */
  private async waitUntilInForce(client: HttpClient, revision: number): Promise<boolean> {
    const deadlineMs = this.runtime.now() + IN_FORCE_TIMEOUT_MS;
    while (this.runtime.now() < deadlineMs) {
      const path = '/admin/v1/settings/in-force';
      const answer = await client.call({ method: 'GET', path, timeoutMs: POLL_TIMEOUT_MS });
      const revisionInForce = answer.kind === 'answered' && isObject(answer.body) ? answer.body['revision'] : undefined;
      if (typeof revisionInForce === 'number' && revisionInForce >= revision) return true;
      await this.runtime.sleep(POLL_INTERVAL_MS);
    }
    return false;
  }

  /** Outcome of the changes so far. */
  get result(): ConfigurationResult {
    return {
      ...{ sent: this.sent, stored: this.stored, refused: this.refused, notInForce: this.notInForce },
      storedMs: percentilesOf(this.storedMs),
      inForceMs: percentilesOf(this.inForceMs),
    };
  }
}
