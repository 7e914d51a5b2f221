import {
  asNonNegativeInteger,
  asArray,
  asNumber,
  asString,
  isObject,
  type Endpoint,
  type TcpListener,
  type Logger,
  type Runtime,
  type Timer,
} from '../../../../src/kernel/index.js';
import type { Luck } from '../sim/index.js';
import { Allowance, serveJson, type Answer, type Request } from './serve.js';

export interface StateFacts {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueKb: number;
  readonly txnOps: number;
  readonly latencyMs: number;
}

interface Stored {
  readonly value: unknown;
  readonly stamp: number;
  readonly lease: number | null;
}

interface Lease {
  readonly lifeMs: number;
  readonly keys: Set<string>;
  timer: Timer;
}

interface Logged {
  readonly key: string;
  readonly stamp: number;
  readonly entry: unknown;
}

/** What a request asks of the state service. */
export type StateOperation = 'read' | 'list' | 'watch' | 'transaction' | 'lease' | 'other';

function operationOf({ method, path }: Request): StateOperation {
  if (path === '/txn') return 'transaction';
  if (path === '/follow') return 'watch';
  if (path.startsWith('/leases')) return 'lease';
  if (method !== 'GET') return 'other';
  return path === '/store' ? 'list' : 'read';
}

/** Executed without an answer, or never executed at all. */
export type Spoiled = 'lost-answer' | 'lost-request';

interface Watch {
  readonly look: () => void;
}

type Write =
  { readonly key: string; readonly value: unknown; readonly lease: number | null } | { readonly gone: string };

const KEPT_CHANGES = 10_000;
const LIST_ITEMS = 1000;
const LIST_BYTES = 512 * 1024;
const TXN_BYTES = 64 * 1024;
const LATE_MS = 100;
const LATE_WRITES_MS = [2000, 12_000] as const;
const HELD_MS = [200, 1400] as const;
const SLOW_SHARE = 0.004;
const KEY = /^[^ ]{1,200}$/;

const TROUBLE: Answer = { status: 503, body: { error: 'trouble' } };
const TOO_MANY: Answer = { status: 429, body: { error: 'too many requests' } };
const malformed = (error: string): Answer => ({ status: 400, body: { error } });

/** The state service, by its protocol: a store with guards, leases and watches, and its limits. */
export class StateModel {
  private readonly keys = new Map<string, Stored>();
  private readonly leases = new Map<number, Lease>();
  private readonly watches = new Set<Watch>();
  private log: Logged[] = [];
  /** Changes up to this revision may have left the log. */
  private forgotten = 0;
  private epoch = 1;
  private nextLease = 1;
  private down = false;
  private readonly refused = new Set<string>();
  /** Nodes whose watches tell nothing. */
  private readonly unwatched = new Set<string>();
  private readonly requests: Allowance;
  private readonly changes: Allowance;
  /** How much longer than usual it takes. */
  slowness = 1;
  /** This share of transactions gets no answer, and is carried out seconds later, after newer ones. */
  lateWrites = 0;
  /** Those transactions are carried out at once: only their answers are lost. */
  lateAtOnce = false;
  /** This share of reads and transactions is carried out at once and answered later. */
  heldAnswers = 0;
  /** Told of each change, by measurements. */
  wrote: (key: string, value: unknown) => void = () => undefined;
  /** Set by tests: a change that is answered and never made. */
  loses: (key: string) => boolean = () => false;
  /** Set by tests: how a request goes wrong. */
  spoils: (request: Request) => Spoiled | null = () => null;
  readonly counts = { requests: 0, changes: 0, refused: 0 };
  /** Requests by what they ask. */
  readonly operations: Record<StateOperation, number> = {
    ...{ read: 0, list: 0, watch: 0, transaction: 0, lease: 0, other: 0 },
  };

  constructor(
    private readonly runtime: Runtime,
    private readonly luck: Luck,
    private facts: StateFacts,
  ) {
    this.requests = new Allowance(runtime, facts.rps, 1);
    this.changes = new Allowance(runtime, facts.writeRps, 1);
  }

  listen(at: Endpoint, log: Logger): TcpListener {
    return serveJson(this.runtime, at, log, (request) => this.serve(request));
  }

  /** Every node gets 503, open watches wait, and leases have their full time once it is over. */
  outage(on: boolean): void {
    this.down = on;
    for (const [id, lease] of this.leases) {
      lease.timer.cancel();
      if (!on) lease.timer = this.expiry(id, lease.lifeMs);
    }
    if (!on) this.wake();
  }

  /** One node alone gets 503; its watches wait and its leases run out. */
  refuse(ip: string, on: boolean): void {
    this.mark(this.refused, ip, on);
  }

  /** One node's watches, open and new ones, tell nothing, while everything else that it asks is answered. */
  holdWatches(ip: string, on: boolean): void {
    this.mark(this.unwatched, ip, on);
  }

  /** Watches that have waited for a node's mark to go look again. */
  private mark(nodes: Set<string>, ip: string, on: boolean): void {
    if (on) nodes.add(ip);
    else nodes.delete(ip);
    if (!on) this.wake();
  }

  /** From now on it takes no more than this; what is stored stays as it is. */
  limit(lower: Partial<Pick<StateFacts, 'writeRps' | 'valueKb' | 'txnOps'>>): void {
    this.facts = { ...this.facts, ...lower };
    this.changes.perS = this.facts.writeRps;
  }

  get revision(): number {
    return this.epoch;
  }

  /** Keys that are stored, and the bytes of their names and values. */
  get stored(): { readonly keys: number; readonly bytes: number } {
    let bytes = 0;
    for (const [key, { value }] of this.keys) bytes += key.length + JSON.stringify(value).length;
    return { keys: this.keys.size, bytes };
  }

  /** A change as a node would make it. */
  put(key: string, value: unknown): void {
    this.apply([{ key, value, lease: null }]);
  }

  get(key: string): unknown {
    return this.keys.get(key)?.value;
  }

  /** The keys with a prefix. */
  under(prefix: string): string[] {
    return [...this.keys.keys()].filter((key) => key.startsWith(prefix));
  }

  /** Drops the log of changes: every watch is told to read again. */
  forget(): void {
    this.log = [];
    this.forgotten = this.epoch;
    this.wake();
  }

  private async serve(request: Request): Promise<Answer> {
    this.counts.requests += 1;
    this.operations[operationOf(request)] += 1;
    const slow = this.luck.chance(SLOW_SHARE) ? this.luck.between(20, 60) : 1;
    await this.runtime.sleep(this.facts.latencyMs * this.luck.between(0.5, 1.5) * slow * this.slowness);
    if (this.down || this.refused.has(request.from)) return TROUBLE;
    if (!this.requests.take(1)) {
      this.counts.refused += 1;
      return TOO_MANY;
    }
    if (this.lateWrites > 0 && request.path === '/txn' && this.luck.chance(this.lateWrites)) {
      if (this.lateAtOnce) void this.answer(request);
      else this.runtime.after(this.luck.between(...LATE_WRITES_MS), () => void this.answer(request));
      return new Promise<Answer>(() => undefined);
    }
    const holds = this.heldAnswers > 0 && request.path !== '/follow' && !request.path.startsWith('/leases');
    if (holds && this.luck.chance(this.heldAnswers)) {
      const answer = this.answer(request);
      await this.runtime.sleep(this.luck.between(...HELD_MS));
      return answer;
    }
    const spoiled = this.spoils(request);
    if (spoiled === 'lost-answer') void this.answer(request);
    return spoiled ? new Promise<Answer>(() => undefined) : this.answer(request);
  }

  private answer(request: Request): Answer | Promise<Answer> {
    const { method, path, query, body } = request;
    const lease = /^\/leases\/(\d{1,15})(\/extend)?$/.exec(path);
    if (method === 'GET' && path === '/store') return this.list(query);
    if (method === 'GET' && path.startsWith('/store/')) return this.read(decodeURIComponent(path.slice(7)));
    if (method === 'GET' && path === '/follow') return this.follow(request);
    if (method === 'POST' && path === '/txn') return this.txn(body);
    if (method === 'POST' && path === '/leases') return this.grant(body);
    if (lease && method === 'POST' && lease[2] !== undefined) return this.extend(Number(lease[1]));
    if (lease && method === 'DELETE' && lease[2] === undefined) return this.end(Number(lease[1]));
    return malformed('no such call');
  }

  private read(key: string): Answer {
    const stored = this.keys.get(key);
    if (!stored) return { status: 404, body: { epoch: this.epoch } };
    const { value, stamp, lease } = stored;
    return { status: 200, body: { path: key, value, stamp, ...(lease === null ? {} : { mooring: lease }) } };
  }

  private list(query: URLSearchParams): Answer {
    const under = query.get('under') ?? '';
    const after = query.get('after') ?? '';
    const most = Math.min(LIST_ITEMS, Number(query.get('most') ?? LIST_ITEMS));
    if (!Number.isInteger(most) || most < 1) return malformed('most');
    const found: string[] = [];
    for (const key of this.keys.keys()) if (key.startsWith(under) && key > after) found.push(key);
    found.sort();
    const entries: unknown[] = [];
    let bytes = 0;
    for (const key of found) {
      const stored = this.keys.get(key);
      if (!stored) continue;
      const entry = { path: key, value: stored.value, stamp: stored.stamp };
      bytes += JSON.stringify(entry).length;
      if (entries.length >= most || (entries.length > 0 && bytes > LIST_BYTES)) break;
      entries.push(entry);
    }
    return { status: 200, body: { entries, truncated: entries.length < found.length, epoch: this.epoch } };
  }

  private txn(body: unknown): Answer {
    if (!isObject(body)) return malformed('the body must be a JSON object');
    if (JSON.stringify(body).length > TXN_BYTES) return malformed('too long');
    const guards = asArray(body['guards']);
    const writes: Write[] = [];
    for (const item of asArray(body['writes'])) {
      const write = this.decodeWrite(item);
      if (typeof write === 'string') return malformed(write);
      writes.push(write);
    }
    if (writes.length > this.facts.txnOps) return malformed('too many changes');
    if (guards.length > 4 * this.facts.txnOps) return malformed('too many conditions');
    const failed: string[] = [];
    for (const guard of guards) {
      const key = isObject(guard) ? asString(guard['path']) : undefined;
      const stamp = isObject(guard) ? asNonNegativeInteger(guard['stamp']) : undefined;
      if (key === undefined || stamp === undefined) return malformed('a condition');
      if ((this.keys.get(key)?.stamp ?? 0) !== stamp) failed.push(key);
    }
    // Transactions whose conditions fail are counted as well.
    if (writes.length > 0 && !this.changes.take(writes.length)) {
      this.counts.refused += 1;
      return TOO_MANY;
    }
    for (const write of writes) {
      if ('key' in write && write.lease !== null && !this.leases.has(write.lease)) return malformed('no such lease');
    }
    if (failed.length > 0) return { status: 409, body: { failed, epoch: this.epoch } };
    if (writes.length > 0) this.apply(writes);
    return { status: 200, body: { epoch: this.epoch } };
  }

  private decodeWrite(item: unknown): Write | string {
    if (!isObject(item)) return 'a change must be an object';
    const gone = asString(item['remove']);
    if (gone !== undefined) return KEY.test(gone) ? { gone } : 'a key';
    const key = asString(item['write']);
    if (key === undefined || !KEY.test(key)) return 'a key';
    const { value = null } = item;
    if (JSON.stringify(value).length > this.facts.valueKb * 1024) return 'a value is too long';
    return { key, value, lease: asNonNegativeInteger(item['mooring']) ?? null };
  }

  private apply(writes: readonly Write[]): void {
    this.epoch += 1;
    this.counts.changes += writes.length;
    const stamp = this.epoch;
    for (const write of writes) {
      const key = 'gone' in write ? write.gone : write.key;
      if (this.loses(key)) continue;
      this.wrote(key, 'gone' in write ? undefined : write.value);
      const before = this.keys.get(key);
      if (before?.lease != null) this.leases.get(before.lease)?.keys.delete(key);
      if ('gone' in write) {
        if (!before) continue;
        this.keys.delete(key);
        this.log.push({ key, stamp, entry: { remove: key, stamp } });
      } else {
        this.keys.set(key, { value: write.value, stamp, lease: write.lease });
        if (write.lease !== null) this.leases.get(write.lease)?.keys.add(key);
        this.log.push({ key, stamp, entry: { write: key, value: write.value, stamp } });
      }
    }
    if (this.log.length > 2 * KEPT_CHANGES) {
      this.log = this.log.slice(-KEPT_CHANGES);
      this.forgotten = (this.log[0]?.stamp ?? 1) - 1;
    }
    this.wake();
  }

  private wake(): void {
    for (const watch of [...this.watches]) watch.look();
  }

  /** The log's part behind a revision, found from its end: watches are seldom far behind. */
  private since(after: number, prefix: string): unknown[] {
    let at = this.log.length;
    while (at > 0 && (this.log[at - 1]?.stamp ?? 0) > after) at -= 1;
    const found: unknown[] = [];
    for (; at < this.log.length; at++) {
      const logged = this.log[at];
      if (logged?.key.startsWith(prefix) === true) found.push(logged.entry);
    }
    return found;
  }

  private follow({ query, from }: Request): Answer | Promise<Answer> {
    const prefix = query.get('under') ?? '';
    const after = Number(query.get('after') ?? Number.NaN);
    const waitMs = Math.min(60_000, Number(query.get('wait_ms') ?? 0));
    if (!Number.isInteger(after) || !(waitMs >= 0)) return malformed('after');
    const gone = (): Answer => ({ status: 410, body: { epoch: this.epoch } });
    if (after < this.forgotten) return gone();
    return new Promise((resolve) => {
      const end = (answer: Answer): void => {
        timer.cancel();
        this.watches.delete(watch);
        resolve(answer);
      };
      const waits = (): boolean => this.down || this.refused.has(from) || this.unwatched.has(from);
      const look = (): void => {
        if (waits()) return;
        if (after < this.forgotten) {
          end(gone());
          return;
        }
        const log = this.since(after, prefix);
        if (log.length > 0) end({ status: 200, body: { epoch: this.epoch, log } });
      };
      const over = (): void => {
        // Open watches remain open through an outage.
        if (waits()) timer = this.runtime.after(500, over);
        else end({ status: 200, body: { epoch: this.epoch, log: this.since(after, prefix) } });
      };
      let timer = this.runtime.after(waitMs, over);
      const watch: Watch = { look };
      this.watches.add(watch);
      look();
    });
  }

  private expiry(id: number, lifeMs: number): Timer {
    return this.runtime.after(lifeMs + this.luck.next() * LATE_MS, () => this.end(id));
  }

  private grant(body: unknown): Answer {
    const lifeMs = isObject(body) ? asNumber(body['life_ms']) : undefined;
    if (lifeMs === undefined || lifeMs < 100 || lifeMs > 600_000) return malformed('life_ms');
    const id = this.nextLease++;
    this.leases.set(id, { lifeMs, keys: new Set(), timer: this.expiry(id, lifeMs) });
    return { status: 200, body: { mooring: id } };
  }

  private extend(id: number): Answer {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: { error: 'no such lease' } };
    lease.timer.cancel();
    lease.timer = this.expiry(id, lease.lifeMs);
    return { status: 200, body: { mooring: id } };
  }

  private end(id: number): Answer {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: { error: 'no such lease' } };
    lease.timer.cancel();
    this.leases.delete(id);
    const gone = [...lease.keys].filter((key) => this.keys.get(key)?.lease === id);
    if (gone.length > 0) this.apply(gone.map((key) => ({ gone: key })));
    return { status: 200, body: {} };
  }
}
