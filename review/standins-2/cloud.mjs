// Stand-in of the cloud: a fixed fleet that is up, and no further capacity.
import { serveJson } from './http.mjs';

export class Cloud {
  /** `onReturned(id)` is called when a machine is given back. */
  constructor(types, record, onReturned) {
    this.types = types;
    this.record = record;
    this.onReturned = onReturned;
    this.machines = new Map();
    this.startedAt = performance.now();
    this.refused = 0;
  }

  async start() {
    this.server = await serveJson((req) => this.handle(req));
    this.port = this.server.port;
  }

  close() {
    this.server?.close();
  }

  handle({ method, path, query, body }) {
    if (method === 'GET' && path === '/machine_types') return [200, { hulls: this.types }];
    if (method === 'GET' && path === '/rentals') {
      const after = query.get('after') ?? '';
      const most = Math.min(500, Number(query.get('most') ?? 500));
      const all = [...this.machines.values()].filter(({ ref }) => ref > after).sort((a, b) => (a.ref < b.ref ? -1 : 1));
      const age = (performance.now() - this.startedAt) / 1000 + 60;
      return [200, { drifters: all.slice(0, most).map((m) => ({ ...m, phase: 'running', age_s: age })), truncated: all.length > most }];
    }
    if (method === 'POST' && path === '/rentals') {
      if (this.refused++ < 3) this.record('cloud', 'rental refused, no capacity', body);
      return [503, { error: 'no capacity' }];
    }
    if (method === 'POST' && path === '/rentals/return') {
      const names = (body?.drifters ?? []).filter((name) => this.machines.has(name));
      for (const name of names) {
        this.machines.delete(name);
        this.onReturned(name);
      }
      if (names.length > 0) this.record('cloud', 'machines given back', names);
      return [200, {}];
    }
    return [400, { error: 'malformed' }];
  }
}
