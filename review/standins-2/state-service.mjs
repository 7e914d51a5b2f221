// Stand-in of the state service, by the page "The protocols", section "Controller nodes -> state service".
import { serveJson } from './http.mjs';

const KEPT_CHANGES = 10_000;
const OPS_PAGE_BYTES = 512 * 1024;

class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.left = rate;
    this.at = performance.now();
  }
  take(n) {
    const now = performance.now();
    this.left = Math.min(this.rate, this.left + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.left < n) return false;
    this.left -= n;
    return true;
  }
}

export class StateService {
  constructor(limits, firstEpoch = 1) {
    this.limits = limits;
    this.epoch = firstEpoch;
    this.entries = new Map();
    this.log = [];
    this.firstKept = firstEpoch;
    this.leases = new Map();
    this.nextLease = 1;
    this.watchers = new Set();
    this.requests = new Bucket(limits.rps);
    this.changes = new Bucket(limits.write_rps);
    this.refusals = 0;
    this.outage = false;
  }

  async start() {
    this.server = await serveJson((req) => this.handle(req));
    this.port = this.server.port;
    this.timer = setInterval(() => this.expireLeases(), 20);
  }

  close() {
    clearInterval(this.timer);
    this.server?.close();
  }

  commit(changes) {
    this.epoch += 1;
    for (const change of changes) {
      const old = this.entries.get(change.key);
      if (change.value === undefined) {
        if (!old) continue;
        this.entries.delete(change.key);
        this.log.push({ remove: change.key, stamp: this.epoch });
      } else {
        this.entries.set(change.key, { value: change.value, stamp: this.epoch, mooring: change.mooring });
        this.log.push({ write: change.key, value: change.value, stamp: this.epoch });
      }
    }
    while (this.log.length > KEPT_CHANGES) this.firstKept = this.log.shift().stamp;
    for (const watcher of [...this.watchers]) watcher();
    return this.epoch;
  }

  expireLeases() {
    if (this.outage) return;
    const now = performance.now();
    for (const [id, lease] of this.leases) if (lease.until <= now) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.entries].filter(([, entry]) => entry.mooring === id).map(([key]) => key);
    if (keys.length > 0) this.commit(keys.map((key) => ({ key })));
  }

  async handle({ method, path, query, body, bytes }) {
    if (this.outage) return [503, { error: 'outage' }];
    if (!this.requests.take(1)) {
      this.refusals += 1;
      return [429, { error: 'too many requests' }];
    }
    if (method === 'GET' && path === '/store') return this.list(query);
    if (method === 'GET' && path.startsWith('/store/')) {
      const key = decodeURIComponent(path.slice('/store/'.length));
      const entry = this.entries.get(key);
      if (!entry) return [404, { epoch: this.epoch }];
      return [200, { path: key, value: entry.value, stamp: entry.stamp, ...(entry.mooring === undefined ? {} : { mooring: entry.mooring }) }];
    }
    if (method === 'GET' && path === '/follow') return this.follow(query);
    if (method === 'POST' && path === '/txn') return this.txn(body, bytes);
    if (method === 'POST' && path === '/leases') {
      const life = body?.life_ms;
      if (!(life >= 100 && life <= 600_000)) return [400, { error: 'life_ms' }];
      const id = this.nextLease++;
      this.leases.set(id, { life, until: performance.now() + life + 20 });
      return [200, { mooring: id }];
    }
    const lease = /^\/leases\/(\d+)(\/extend)?$/.exec(path);
    if (lease) {
      const id = Number(lease[1]);
      const known = this.leases.get(id);
      if (!known) return [404, { error: 'no such lease' }];
      if (method === 'DELETE') {
        this.endLease(id);
        return [200, {}];
      }
      if (method === 'POST' && lease[2]) {
        known.until = performance.now() + known.life + 20;
        return [200, {}];
      }
    }
    return [400, { error: 'malformed' }];
  }

  list(query) {
    const under = query.get('under') ?? '';
    const after = query.get('after') ?? '';
    const most = Math.min(1000, Number(query.get('most') ?? 1000));
    const keys = [...this.entries.keys()].filter((key) => key.startsWith(under) && (after === '' || key > after)).sort();
    const entries = [];
    let size = 0;
    for (const key of keys) {
      const { value, stamp } = this.entries.get(key);
      size += JSON.stringify(value).length + key.length + 40;
      if (entries.length >= most || (entries.length > 0 && size > OPS_PAGE_BYTES)) break;
      entries.push({ path: key, value, stamp });
    }
    return [200, { entries, truncated: entries.length < keys.length, epoch: this.epoch }];
  }

  follow(query) {
    const under = query.get('under') ?? '';
    const after = Number(query.get('after') ?? 0);
    const waitMs = Math.min(60_000, Number(query.get('wait_ms') ?? 0));
    if (after < this.firstKept && this.log.length >= KEPT_CHANGES) return [410, { error: 'too old' }];
    const changes = () => {
      let from = this.log.length;
      while (from > 0 && this.log[from - 1].stamp > after) from -= 1;
      return this.log.slice(from).filter((change) => (change.write ?? change.remove).startsWith(under));
    };
    const ready = changes();
    if (ready.length > 0 || waitMs === 0) return [200, { epoch: this.epoch, log: ready }];
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.watchers.delete(check);
        resolve([200, { epoch: this.epoch, log: changes() }]);
      };
      const check = () => {
        if (this.log.at(-1)?.stamp > after && changes().length > 0) finish();
      };
      const timer = setTimeout(finish, waitMs);
      this.watchers.add(check);
    });
  }

  txn(body, bytes) {
    const guards = body?.guards ?? [];
    const writes = body?.writes ?? [];
    const { txn_ops, value_kb } = this.limits;
    if (!body || !Array.isArray(guards) || !Array.isArray(writes)) return [400, { error: 'malformed' }];
    if (bytes > 64 * 1024 || writes.length > txn_ops || guards.length > 4 * txn_ops) return [400, { error: 'too large' }];
    for (const write of writes) {
      const key = write.write ?? write.remove;
      if (typeof key !== 'string' || key === '' || key.length > 200 || key.includes(' ')) return [400, { error: 'key' }];
      if (write.write !== undefined && JSON.stringify(write.value ?? null).length > value_kb * 1024) return [400, { error: 'value' }];
    }
    if (!this.changes.take(writes.length)) {
      this.refusals += 1;
      return [429, { error: 'too many changes' }];
    }
    if (writes.some(({ mooring }) => mooring !== undefined && mooring !== null && !this.leases.has(mooring)))
      return [400, { error: 'no such lease' }];
    const failed = guards.filter(({ path, stamp }) => (this.entries.get(path)?.stamp ?? 0) !== stamp).map(({ path }) => path);
    if (failed.length > 0) return [409, { failed, epoch: this.epoch }];
    if (writes.length === 0) return [200, { epoch: this.epoch }];
    const changes = writes.map(({ write, remove, value, mooring }) =>
      write === undefined ? { key: remove } : { key: write, value: value ?? null, mooring: mooring ?? undefined },
    );
    return [200, { epoch: this.commit(changes) }];
  }
}
