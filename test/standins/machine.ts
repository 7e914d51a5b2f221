import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  asCount,
  asList,
  asString,
  attempt,
  HttpClient,
  isObject,
  token,
  type TaskKey,
} from '../../src/kernel/index.js';
import type { Order, WorkerMessage } from '../../src/workers/index.js';
import { StandInWorker } from './worker.js';

const encode = (m: WorkerMessage, address: string): unknown => ({
  drifter: m.machine,
  address,
  hull: 'small',
  berth: 'z',
  flotsam: false,
  tide: m.session,
  tally: m.sequence,
  helm: m.token,
  recall_s: null,
  pieces: m.tasks.map((t) => ({ piece: t.key, launch: t.attempt, phase: t.state, ...(t.why ? { cause: t.why } : {}) })),
});

function decodeOrders(body: unknown): Order[] {
  const orders: Order[] = [];
  for (const item of asList(isObject(body) ? body['orders'] : undefined)) {
    if (!isObject(item)) continue;
    const key = asString(item['piece']) as TaskKey;
    const launch = attempt(asCount(item['launch']) ?? 0);
    const verb = asString(item['verb']);
    if (verb === 'stop') orders.push({ op: 'stop', key, attempt: launch, graceS: 0 });
    else if (verb === 'start' || verb === 'forget') orders.push({ op: verb, key, attempt: launch });
  }
  return orders;
}

/** A stand-in worker on sockets: it reports, follows redirects and takes direct commands. */
export class StandInMachine {
  readonly worker: StandInWorker;
  address = '';
  private server: Server | undefined;
  private timer: NodeJS.Timeout | undefined;
  private clients: HttpClient[] = [];
  private names: string[] = [];
  private at = 0;
  private busy = false;

  constructor(id: string) {
    this.worker = new StandInWorker(id);
  }

  async start(): Promise<void> {
    const server = createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on('data', (chunk: Buffer) => chunks.push(chunk));
      req.on('end', () => {
        const body: unknown = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : {};
        const helm = token(isObject(body) ? (asCount(body['helm']) ?? 0) : 0);
        const tide = isObject(body) ? (asCount(body['tide']) ?? 0) : 0;
        const answer = this.worker.onCommands(helm, tide, decodeOrders(body));
        res.writeHead(answer.status, { 'content-type': 'application/json' });
        res.end(JSON.stringify(encode(answer.message, this.address)));
      });
    });
    this.server = server;
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  reportTo(nodes: readonly { name: string; port: number }[]): void {
    this.names = nodes.map((n) => n.name);
    this.clients = nodes.map((n) => new HttpClient({ host: '127.0.0.1', port: n.port }, 1));
    this.timer = setInterval(() => void this.report(), 50);
  }

  stop(): void {
    clearInterval(this.timer);
    for (const client of this.clients) client.close();
    this.server?.closeAllConnections();
    this.server?.close();
  }

  private async report(): Promise<void> {
    const client = this.clients[this.at];
    if (this.busy || !client) return;
    this.busy = true;
    const body = encode(this.worker.report(), this.address);
    const answer = await client.call({ method: 'POST', path: '/v1/report', body, timeoutMs: 1000 });
    this.busy = false;
    if (answer.kind === 'answered' && answer.status === 200 && isObject(answer.body)) {
      this.worker.onReply(token(asCount(answer.body['helm']) ?? 0), decodeOrders(answer.body));
      return;
    }
    const to =
      answer.kind === 'answered' && isObject(answer.body)
        ? this.names.indexOf(asString(answer.body['harbour']) ?? '')
        : -1;
    this.at = to >= 0 && to !== this.at ? to : (this.at + 1) % this.clients.length;
  }
}
