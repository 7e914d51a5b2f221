import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface Stored {
  value: unknown;
  stamp: number;
  lease: number | null;
}

type Json = Record<string, unknown>;

/** How the next transactions go wrong: executed without an answer, never executed, refused, or too many. */
export type Fault = 'lost-answer' | 'lost-request' | 'unavailable' | 'too-many';

/** A stand-in for the state service, by its protocol, on a loopback port that the system chooses. */
export class StandInState {
  readonly keys = new Map<string, Stored>();
  readonly faults: Fault[] = [];
  /** Every request is refused, as in an outage. */
  down = false;
  epoch = 1;
  transactions = 0;
  private log: { stamp: number; entry: Json; key: string }[] = [];
  private leases = new Map<number, string[]>();
  private nextLease = 1;
  private watchers = new Set<() => void>();
  private server: Server | undefined;

  async start(): Promise<{ host: string; port: number }> {
    const server = createServer((req, res) => void this.serve(req, res));
    this.server = server;
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return { host: '127.0.0.1', port: (server.address() as AddressInfo).port };
  }

  stop(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** A change as another node would make it. */
  put(key: string, value: unknown): void {
    this.apply([{ write: key, value }]);
  }

  expireLease(id: number): void {
    for (const key of this.leases.get(id) ?? []) if (this.keys.get(key)?.lease === id) this.apply([{ remove: key }]);
    this.leases.delete(id);
  }

  private apply(ops: readonly Json[]): void {
    this.epoch += 1;
    for (const op of ops) {
      const key = String(op['write'] ?? op['remove']);
      if ('write' in op) {
        const lease = typeof op['mooring'] === 'number' ? op['mooring'] : null;
        this.keys.set(key, { value: op['value'], stamp: this.epoch, lease });
        if (lease !== null) this.leases.get(lease)?.push(key);
        this.log.push({ stamp: this.epoch, key, entry: { write: key, value: op['value'], stamp: this.epoch } });
      } else {
        this.keys.delete(key);
        this.log.push({ stamp: this.epoch, key, entry: { remove: key, stamp: this.epoch } });
      }
    }
    for (const wake of this.watchers) wake();
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const body = chunks.length > 0 ? (JSON.parse(Buffer.concat(chunks).toString()) as Json) : {};
    const url = new URL(req.url ?? '/', 'http://x');
    const send = (status: number, answer: unknown): void => {
      res.writeHead(status, { 'content-type': 'application/json' });
      res.end(JSON.stringify(answer));
    };
    if (this.down) {
      send(503, { error: 'trouble' });
      return;
    }
    if (url.pathname === '/txn') this.txn(body, res, send);
    else if (url.pathname === '/leases') {
      const id = this.nextLease++;
      this.leases.set(id, []);
      send(200, { mooring: id });
    } else if (url.pathname.endsWith('/extend')) {
      const id = Number(url.pathname.split('/')[2]);
      send(this.leases.has(id) ? 200 : 404, { mooring: id });
    } else if (url.pathname === '/follow') this.follow(url, send);
    else if (url.pathname === '/store') {
      const prefix = url.searchParams.get('under') ?? '';
      const after = url.searchParams.get('after') ?? '';
      const most = Number(url.searchParams.get('most') ?? 1000);
      const all = [...this.keys]
        .filter(([k]) => k.startsWith(prefix) && k > after)
        .sort(([a], [b]) => (a < b ? -1 : 1));
      const entries = all.slice(0, most).map(([path, s]) => ({ path, value: s.value, stamp: s.stamp }));
      send(200, { entries, truncated: all.length > most, epoch: this.epoch });
    } else {
      const key = url.pathname.slice('/store/'.length);
      const stored = this.keys.get(key);
      if (stored) send(200, { path: key, value: stored.value, stamp: stored.stamp });
      else send(404, { epoch: this.epoch });
    }
  }

  private txn(body: Json, res: ServerResponse, send: (status: number, answer: unknown) => void): void {
    this.transactions += 1;
    const fault = this.faults.shift();
    if (fault === 'lost-request') {
      res.destroy();
      return;
    }
    if (fault === 'unavailable' || fault === 'too-many') {
      send(fault === 'unavailable' ? 503 : 429, {});
      return;
    }
    const guards = (body['guards'] ?? []) as Json[];
    const failed = guards.filter((g) => (this.keys.get(String(g['path']))?.stamp ?? 0) !== g['stamp']);
    if (failed.length > 0) {
      send(409, { failed: failed.map((g) => g['path']), epoch: this.epoch });
      return;
    }
    const writes = (body['writes'] ?? []) as Json[];
    if (writes.some((w) => typeof w['mooring'] === 'number' && !this.leases.has(w['mooring']))) {
      send(400, { error: 'no such lease' });
      return;
    }
    if (writes.length > 0) this.apply(writes);
    if (fault === 'lost-answer') res.destroy();
    else send(200, { epoch: this.epoch });
  }

  private follow(url: URL, send: (status: number, answer: unknown) => void): void {
    const prefix = url.searchParams.get('under') ?? '';
    const after = Number(url.searchParams.get('after') ?? 0);
    const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
    const answer = (force: boolean): boolean => {
      const changes = this.log.filter((l) => l.stamp > after && l.key.startsWith(prefix));
      if (changes.length === 0 && !force) return false;
      send(200, { epoch: this.epoch, log: changes.map((l) => l.entry) });
      return true;
    };
    if (answer(false)) return;
    const wake = (): void => {
      if (answer(false)) finish();
    };
    const timer = setTimeout(() => {
      finish();
      answer(true);
    }, waitMs);
    const finish = (): void => {
      clearTimeout(timer);
      this.watchers.delete(wake);
    };
    this.watchers.add(wake);
  }
}
