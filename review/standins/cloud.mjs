// Stand-in of the cloud's interface, with the machines that it rents.
import { serveJson, sleep, TokenBucket } from './http.mjs';
import { Worker } from './worker.mjs';

export class Cloud {
  /**
   * @param facts { types, capacity: Map 'hull/berth/flotsam' -> count, rps, list_lag_s, latency_ms, boot_s }
   */
  constructor(facts, world) {
    this.facts = facts;
    this.world = world;
    this.machines = new Map();
    this.charters = new Map();
    this.next = 1;
    this.bucket = new TokenBucket(facts.rps, facts.rps * 2);
    this.history = [];
  }

  async listen() {
    this.server = await serveJson((request) => this.serve(request));
    this.timer = setInterval(() => this.remember(), 500);
    return this.server.port;
  }

  close() {
    clearInterval(this.timer);
    this.server?.close();
    for (const { worker } of this.machines.values()) worker?.stop();
  }

  remember() {
    const now = performance.now();
    this.history.push({ at: now, list: [...this.machines.values()].map((m) => ({ ...m.info, phase: m.phase, rentedAt: m.rentedAt })) });
    while (this.history.length > 2 && now - this.history[1].at > this.facts.list_lag_s * 1000) this.history.shift();
  }

  /** Adds a machine; resolves when it is up. */
  async add(hull, berth, flotsam, bootS) {
    const name = `host-${String(this.next++).padStart(6, '0')}`;
    const type = this.facts.types.find(({ sku }) => sku === hull);
    const entry = { info: { ref: name, address: '', hull, berth, flotsam }, phase: 'starting', rentedAt: performance.now(), worker: null };
    this.machines.set(name, entry);
    this.world.event('rented', { machine: name, hull, berth, flotsam });
    const up = async () => {
      await sleep(bootS * 1000);
      if (!this.machines.has(name)) return;
      entry.worker = new Worker({ name, hull, berth, flotsam, type }, this.world);
      await entry.worker.start();
      entry.info.address = entry.worker.address;
      entry.phase = 'running';
      this.world.event('up', { machine: name, hull, berth });
    };
    const done = up();
    return { name, done };
  }

  remove(name) {
    const entry = this.machines.get(name);
    if (!entry) return;
    this.machines.delete(name);
    entry.worker?.stop();
    this.world.event('gone', { machine: name });
  }

  async serve({ method, path, query, body }) {
    await sleep(this.facts.latency_ms ?? 50);
    if (this.outage) return { status: 503, body: { error: 'trouble' } };
    if (!this.bucket.take()) return { status: 429, body: {} };
    if (method === 'GET' && path === '/machine_types') return { status: 200, body: { hulls: this.facts.types } };
    if (method === 'POST' && path === '/rentals') {
      const { charter, hull, berth, flotsam, number } = body ?? {};
      if (typeof charter !== 'string' || !(number >= 1 && number <= 50)) return { status: 400, body: {} };
      if (this.charters.has(charter)) return { status: 200, body: this.charters.get(charter) };
      const key = `${hull}/${berth}/${flotsam}`;
      const used = [...this.machines.values()].filter(({ info }) => `${info.hull}/${info.berth}/${info.flotsam}` === key).length;
      const left = Math.max(0, (this.facts.capacity.get(key) ?? 0) - used);
      if (left === 0) return { status: 503, body: { error: 'no capacity' } };
      const drifters = [];
      for (let i = 0; i < Math.min(left, number); i++) drifters.push((await this.add(hull, berth, flotsam, this.facts.boot_s ?? 5)).name);
      this.charters.set(charter, { drifters });
      return { status: 200, body: { drifters } };
    }
    if (method === 'POST' && path === '/rentals/return') {
      for (const name of body?.drifters ?? []) this.remove(name);
      return { status: 200, body: {} };
    }
    if (method === 'GET' && path === '/rentals') {
      const after = query.get('after') ?? '';
      const most = Math.min(500, Number(query.get('most') ?? 500));
      const now = performance.now();
      const old = this.history.find(({ at }) => now - at <= this.facts.list_lag_s * 1000) ?? this.history.at(-1) ?? { at: now, list: [] };
      const list = old.list.filter(({ ref }) => ref > after);
      const drifters = list.slice(0, most).map(({ rentedAt, ...info }) => ({ ...info, age_s: (old.at - rentedAt) / 1000 }));
      return { status: 200, body: { drifters, truncated: list.length > most } };
    }
    return { status: 400, body: {} };
  }
}
