// Stand-in of the state service. Every controller gets a port of its own, so that it can be refused alone.
import { serveJson, sleep, TokenBucket } from './http.mjs';

const KEPT_CHANGES = 10_000;

export class StateService {
  constructor(facts, random = Math.random) {
    this.facts = facts;
    this.random = random;
    this.entries = new Map();
    this.leases = new Map();
    this.epoch = 1;
    this.log = [];
    this.forgotten = 0;
    this.nextLease = 1;
    this.watches = new Set();
    this.refused = new Set();
    this.outage = false;
    this.requests = new TokenBucket(facts.rps);
    this.changes = new TokenBucket(facts.write_rps);
    this.latencyMs = facts.latency_ms ?? 4;
    /** Extra delay of answers, as a function of the request; 0 by default. */
    this.delayMs = () => 0;
    this.counts = {};
    this.sweep = setInterval(() => this.expireLeases(), 25);
  }

  /** Opens a port for a controller. */
  async port(node) {
    const server = await serveJson((request) => this.serve(node, request));
    (this.servers ??= []).push(server);
    return server.port;
  }

  close() {
    clearInterval(this.sweep);
    for (const server of this.servers ?? []) server.close();
  }

  setOutage(on) {
    this.outage = on;
    // After an outage every lease has its full time again.
    if (!on) for (const lease of this.leases.values()) lease.endsAt = performance.now() + lease.lifeMs;
    if (!on) this.wakeWatches();
  }

  setRefused(node, on) {
    if (on) this.refused.add(node);
    else this.refused.delete(node);
    this.wakeWatches();
  }

  isDown(node) {
    return this.outage || this.refused.has(node);
  }

  expireLeases() {
    if (this.outage) {
      for (const lease of this.leases.values()) lease.endsAt = performance.now() + lease.lifeMs;
      return;
    }
    const now = performance.now();
    for (const [id, lease] of this.leases) if (lease.endsAt + 30 < now) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const gone = [...this.entries].filter(([, entry]) => entry.mooring === id).map(([key]) => key);
    if (gone.length > 0) this.commit(gone.map((key) => ({ remove: key })));
  }

  commit(writes) {
    this.epoch += 1;
    for (const op of writes) {
      if (op.write !== undefined) {
        this.entries.set(op.write, { value: op.value, stamp: this.epoch, mooring: op.mooring });
        this.log.push({ key: op.write, stamp: this.epoch, item: { write: op.write, value: op.value, stamp: this.epoch } });
      } else if (this.entries.delete(op.remove))
        this.log.push({ key: op.remove, stamp: this.epoch, item: { remove: op.remove, stamp: this.epoch } });
    }
    while (this.log.length > KEPT_CHANGES) this.forgotten = this.log.shift().stamp;
    this.wakeWatches();
    return this.epoch;
  }

  wakeWatches() {
    for (const watch of [...this.watches]) watch();
  }

  async serve(node, request) {
    const { method, path } = request;
    await sleep(this.latencyMs * (0.5 + this.random()));
    if (this.isDown(node)) return { status: 503, body: { error: 'trouble' } };
    if (!this.requests.take()) return { status: 429, body: { error: 'too many requests' } };
    const kind = `${method} ${path.split('/')[1]}`;
    this.counts[kind] = (this.counts[kind] ?? 0) + 1;
    if (path === '/follow') return this.follow(node, request);
    const answer = this.execute(request);
    const delay = this.delayMs(node, request);
    if (delay > 0) await sleep(delay);
    return answer;
  }

  execute({ method, path, query, body }) {
    if (method === 'GET' && path === '/store') return this.list(query);
    if (method === 'GET' && path.startsWith('/store/')) {
      const key = decodeURIComponent(path.slice('/store/'.length));
      const entry = this.entries.get(key);
      if (!entry) return { status: 404, body: { epoch: this.epoch } };
      return { status: 200, body: { path: key, value: entry.value, stamp: entry.stamp, ...(entry.mooring === undefined ? {} : { mooring: entry.mooring }) } };
    }
    if (method === 'POST' && path === '/txn') return this.txn(body);
    if (method === 'POST' && path === '/leases') {
      const lifeMs = body?.life_ms;
      if (typeof lifeMs !== 'number' || lifeMs < 100 || lifeMs > 600_000) return { status: 400, body: { error: 'life_ms' } };
      const id = this.nextLease++;
      this.leases.set(id, { lifeMs, endsAt: performance.now() + lifeMs });
      return { status: 200, body: { mooring: id } };
    }
    const lease = /^\/leases\/(\d+)(\/extend)?$/.exec(path);
    if (lease) {
      const id = Number(lease[1]);
      const known = this.leases.get(id);
      if (!known) return { status: 404, body: { error: 'no such lease' } };
      if (method === 'DELETE') this.endLease(id);
      else known.endsAt = performance.now() + known.lifeMs;
      return { status: 200, body: { mooring: id } };
    }
    return { status: 400, body: { error: 'malformed' } };
  }

  list(query) {
    const under = query.get('under') ?? '';
    const after = query.get('after') ?? '';
    const most = Math.min(1000, Number(query.get('most') ?? 1000));
    const keys = [...this.entries.keys()].filter((key) => key.startsWith(under) && key > after).sort();
    const entries = [];
    let bytes = 0;
    for (const key of keys) {
      const { value, stamp } = this.entries.get(key);
      const item = { path: key, value, stamp };
      bytes += Buffer.byteLength(JSON.stringify(item)) + 1;
      if (entries.length >= most || bytes > 500 * 1024) return { status: 200, body: { entries, truncated: true, epoch: this.epoch } };
      entries.push(item);
    }
    return { status: 200, body: { entries, truncated: false, epoch: this.epoch } };
  }

  txn(body) {
    if (!body || !Array.isArray(body.guards ?? [])) return { status: 400, body: { error: 'malformed' } };
    const guards = body.guards ?? [];
    const writes = body.writes ?? [];
    const { facts } = this;
    const tooLong =
      writes.length > facts.txn_ops ||
      guards.length > 4 * facts.txn_ops ||
      Buffer.byteLength(JSON.stringify(body)) > 64 * 1024 ||
      writes.some((op) => op.write !== undefined && Buffer.byteLength(JSON.stringify(op.value)) > facts.value_kb * 1024);
    if (tooLong) return { status: 400, body: { error: 'too long' } };
    if (!this.changes.take(Math.max(1, writes.length))) return { status: 429, body: { error: 'too many changes' } };
    for (const op of writes)
      if (op.write !== undefined && op.mooring !== undefined && !this.leases.has(op.mooring))
        return { status: 400, body: { error: 'no such lease' } };
    const failed = guards.filter(({ path, stamp }) => (this.entries.get(path)?.stamp ?? 0) !== stamp).map(({ path }) => path);
    if (failed.length > 0) return { status: 409, body: { failed, epoch: this.epoch } };
    return { status: 200, body: { epoch: writes.length > 0 ? this.commit(writes) : this.epoch } };
  }

  follow(node, { query, socket }) {
    const under = query.get('under') ?? '';
    const after = Number(query.get('after') ?? 0);
    const waitMs = Math.min(60_000, Number(query.get('wait_ms') ?? 0));
    if (after < this.forgotten) return { status: 410, body: { epoch: this.epoch } };
    return new Promise((resolve) => {
      const until = performance.now() + waitMs;
      let timer;
      const finish = (answer) => {
        clearTimeout(timer);
        this.watches.delete(check);
        socket.off('close', onClose);
        resolve(answer);
      };
      const onClose = () => finish(null);
      const check = () => {
        if (this.isDown(node)) return;
        const log = [];
        for (let i = this.log.length - 1; i >= 0 && this.log[i].stamp > after; i--)
          if (this.log[i].key.startsWith(under)) log.push(this.log[i].item);
        if (log.length > 0) finish({ status: 200, body: { epoch: this.epoch, log: log.reverse() } });
        else if (performance.now() >= until) finish({ status: 200, body: { epoch: this.epoch, log: [] } });
      };
      timer = setInterval(check, 200);
      socket.on('close', onClose);
      this.watches.add(check);
      check();
    });
  }
}
