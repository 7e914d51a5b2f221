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
import type { RandomStream } from '../sim/index.js';
import { TokenBucket, serveJson, type JsonResponse, type JsonRequest } from './json-server.js';

/** Limits and latency of the simulated state service. */
export interface StateServiceConfig {
  /** Requests per second. */
  readonly rps: number;
  /** Changed keys per second; transactions whose guards fail count as well. */
  readonly writeRps: number;
  /** Largest value in KiB. */
  readonly valueKb: number;
  /** Changes per transaction; four times as many guards are allowed. */
  readonly txnOps: number;
  readonly latencyMs: number;
}

/** A stored value. */
interface StoredEntry {
  readonly value: unknown;
  /** Revision of its last change. */
  readonly stamp: number;
  readonly lease: number | null;
}

/** A lease and the keys that are deleted when it ends. */
interface Lease {
  readonly ttlMs: number;
  readonly keys: Set<string>;
  timer: Timer;
}

/** A change of one key, with its entry for watches as it is sent. */
interface LoggedChange {
  readonly key: string;
  readonly stamp: number;
  readonly wireEntry: unknown;
}

/** Kind of a request to the state service, for counters. */
export type StateOperation = 'read' | 'list' | 'watch' | 'transaction' | 'lease' | 'other';

function operationOf({ method, path }: JsonRequest): StateOperation {
  if (path === '/txn') return 'transaction';
  if (path === '/follow') return 'watch';
  if (path.startsWith('/leases')) return 'lease';
  if (method !== 'GET') return 'other';
  return path === '/store' ? 'list' : 'read';
}

/** An injected fault: the request is executed but not answered, or not executed at all. */
export type InjectedFault = 'lost-answer' | 'lost-request';

/** An open watch request. `deliverChanges` answers it if there are changes. */
interface Watch {
  readonly deliverChanges: () => void;
}

/** Sets a key, or deletes the key `gone`. */
type Write =
  { readonly key: string; readonly value: unknown; readonly lease: number | null } | { readonly gone: string };

/** Injected duplicates of requests: this share of the transactions and lease calls that succeed arrives once more. */
export interface WriteCopies {
  readonly share: number;
  /** Shortest and longest time from the execution to the arrival of the copy. */
  readonly lateMs: readonly [number, number];
}

/** At least this many changes stay in the log. */
const RETAINED_CHANGES = 10_000;
const MAX_LIST_ITEMS = 1000;
const MAX_LIST_BYTES = 512 * 1024;
const MAX_TXN_BYTES = 64 * 1024;
/** A lease expires at most this much late, and never early. */
const MAX_EXPIRY_DELAY_MS = 100;
/** Range of the delay of late transactions, and of held answers. */
const LATE_WRITE_DELAY_MS = [2000, 12_000] as const;
const HELD_ANSWER_DELAY_MS = [200, 1400] as const;
/** Share of the requests that take 20 to 60 times the usual latency. */
const SLOW_REQUEST_SHARE = 0.004;
const KEY_PATTERN = /^[^ ]{1,200}$/;

const UNAVAILABLE: JsonResponse = { status: 503, body: { error: 'trouble' } };
const TOO_MANY_REQUESTS: JsonResponse = { status: 429, body: { error: 'too many requests' } };
const badRequest = (error: string): JsonResponse => ({ status: 400, body: { error } });

/**
 * A simulated state service that serves the state protocol: a key-value store with guarded transactions, leases and
 * watches, and with limits. Faults can be injected.
 */
export class StateModel {
  private readonly entries = new Map<string, StoredEntry>();
  private readonly leases = new Map<number, Lease>();
  private readonly watches = new Set<Watch>();
  private changeLog: LoggedChange[] = [];
  /** Changes up to this revision may be missing in the log. */
  private compactedRevision = 0;
  /** Revision of the last change. */
  private currentRevision = 1;
  private nextLeaseId = 1;
  private inOutage = false;
  /** IP addresses of nodes whose requests get 503. */
  private readonly refusedNodes = new Set<string>();
  /** IP addresses of nodes whose watches deliver nothing. */
  private readonly nodesWithHeldWatches = new Set<string>();
  private readonly requestBucket: TokenBucket;
  private readonly changeBucket: TokenBucket;
  /** The latency is multiplied by this. */
  slowness = 1;
  /** This share of the transactions gets no answer and is applied seconds later, after newer ones. */
  lateWriteShare = 0;
  /** Applies those transactions at once, so that only their answers are lost. */
  appliesLateWritesAtOnce = false;
  /** This share of the reads and transactions is executed at once and answered later. */
  heldAnswerShare = 0;
  /** Duplicates of transactions and lease calls; null: none. */
  writeCopies: WriteCopies | null = null;
  /** Called for each change, for measurements; `value` is undefined for a deletion. */
  wrote: (key: string, value: unknown) => void = () => undefined;
  /** Set by tests: drops a change although the transaction is answered with success. */
  dropsChange: (key: string) => boolean = () => false;
  /** Set by tests: the fault of a request; null: none. */
  injectFault: (request: JsonRequest) => InjectedFault | null = () => null;
  readonly counts = { requests: 0, changes: 0, refused: 0 };
  /** Number of requests by kind. */
  readonly operations: Record<StateOperation, number> = {
    ...{ read: 0, list: 0, watch: 0, transaction: 0, lease: 0, other: 0 },
  };

  constructor(
    private readonly runtime: Runtime,
    private readonly random: RandomStream,
    private config: StateServiceConfig,
  ) {
    this.requestBucket = new TokenBucket(runtime, config.rps, 1);
    this.changeBucket = new TokenBucket(runtime, config.writeRps, 1);
  }

  /** Serves the state protocol at an endpoint. */
  listen(at: Endpoint, log: Logger): TcpListener {
    return serveJson(this.runtime, at, log, (request) => this.handleRequest(request));
  }

  /**
   * Starts or ends an outage: every request gets 503, open watches stay open, no lease expires, and leases get their full
   * TTL at the end.
   */
  setOutage(on: boolean): void {
    this.inOutage = on;
    for (const [id, lease] of this.leases) {
      lease.timer.cancel();
      if (!on) lease.timer = this.scheduleExpiry(id, lease.ttlMs);
    }
    if (!on) this.wakeWatches();
  }

  /** Refuses one node with 503, or ends that: its watches stay open and deliver nothing, and its leases expire. */
  refuse(ip: string, on: boolean): void {
    this.setNodeFlag(this.refusedNodes, ip, on);
  }

  /** Holds back the changes of one node's watches, open and new ones, or ends that; its other requests are answered. */
  holdWatches(ip: string, on: boolean): void {
    this.setNodeFlag(this.nodesWithHeldWatches, ip, on);
  }

  /** Adds a node to a set or removes it; watches that were held because of it check for changes again. */
  private setNodeFlag(nodes: Set<string>, ip: string, on: boolean): void {
    if (on) nodes.add(ip);
    else nodes.delete(ip);
    if (!on) this.wakeWatches();
  }

  /** Lowers limits from now on; stored values stay as they are. */
  limit(lower: Partial<Pick<StateServiceConfig, 'writeRps' | 'valueKb' | 'txnOps'>>): void {
    this.config = { ...this.config, ...lower };
    this.changeBucket.ratePerS = this.config.writeRps;
  }

  /** Revision of the last change. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Number of stored keys, and the size of keys and values in bytes. */
  get stored(): { readonly keys: number; readonly bytes: number } {
    let bytes = 0;
    for (const [key, { value }] of this.entries) bytes += key.length + JSON.stringify(value).length;
    return { keys: this.entries.size, bytes };
  }

  /** Writes a key without a lease, as a node would. */
  put(key: string, value: unknown): void {
    this.applyWrites([{ key, value, lease: null }]);
  }

  /** Value of a key; undefined if there is none. */
  get(key: string): unknown {
    return this.entries.get(key)?.value;
  }

  /** Returns the keys with a prefix. */
  under(prefix: string): string[] {
    return [...this.entries.keys()].filter((key) => key.startsWith(prefix));
  }

  /** Compacts the whole change log: every watch from an earlier revision gets 410 and must read again. */
  forget(): void {
    this.changeLog = [];
    this.compactedRevision = this.currentRevision;
    this.wakeWatches();
  }

  private async handleRequest(request: JsonRequest): Promise<JsonResponse> {
    this.counts.requests += 1;
    this.operations[operationOf(request)] += 1;
    const delayFactor = this.random.chance(SLOW_REQUEST_SHARE) ? this.random.uniform(20, 60) : 1;
    await this.runtime.sleep(this.config.latencyMs * this.random.uniform(0.5, 1.5) * delayFactor * this.slowness);
    if (this.inOutage || this.refusedNodes.has(request.from)) return UNAVAILABLE;
    if (!this.requestBucket.take(1)) {
      this.counts.refused += 1;
      return TOO_MANY_REQUESTS;
    }
    if (this.lateWriteShare > 0 && request.path === '/txn' && this.random.chance(this.lateWriteShare)) {
      if (this.appliesLateWritesAtOnce) void this.dispatch(request);
      else this.runtime.after(this.random.uniform(...LATE_WRITE_DELAY_MS), () => void this.dispatch(request));
      return new Promise<JsonResponse>(() => undefined);
    }
    const mayHold = this.heldAnswerShare > 0 && request.path !== '/follow' && !request.path.startsWith('/leases');
    if (mayHold && this.random.chance(this.heldAnswerShare)) {
      const answer = this.dispatch(request);
      await this.runtime.sleep(this.random.uniform(...HELD_ANSWER_DELAY_MS));
      return answer;
    }
    const fault = this.injectFault(request);
    if (fault === 'lost-answer') void this.dispatch(request);
    if (fault) return new Promise<JsonResponse>(() => undefined);
    const answer = this.dispatch(request);
    if (this.writeCopies && request.method !== 'GET') this.scheduleCopy(request, await answer, this.writeCopies);
    return answer;
  }

  /** Lets some requests that succeeded arrive once more; nobody gets the answer. */
  private scheduleCopy(request: JsonRequest, { status }: JsonResponse, copies: WriteCopies): void {
    if (status !== 200 || !this.random.chance(copies.share)) return;
    this.runtime.after(this.random.uniform(...copies.lateMs), () => {
      if (!this.inOutage) void this.dispatch(request);
    });
  }

  private dispatch(request: JsonRequest): JsonResponse | Promise<JsonResponse> {
    const { method, path, query, body } = request;
    const leasePath = /^\/leases\/(\d{1,15})(\/extend)?$/.exec(path);
    if (method === 'GET' && path === '/store') return this.listKeys(query);
    if (method === 'GET' && path.startsWith('/store/')) return this.readKey(decodeURIComponent(path.slice(7)));
    if (method === 'GET' && path === '/follow') return this.watchChanges(request);
    if (method === 'POST' && path === '/txn') return this.transact(body);
    if (method === 'POST' && path === '/leases') return this.grantLease(body);
    if (leasePath && method === 'POST' && leasePath[2] !== undefined) return this.renewLease(Number(leasePath[1]));
    if (leasePath && method === 'DELETE' && leasePath[2] === undefined) return this.endLease(Number(leasePath[1]));
    return badRequest('no such call');
  }

  private readKey(key: string): JsonResponse {
    const stored = this.entries.get(key);
    if (!stored) return { status: 404, body: { epoch: this.currentRevision } };
    const { value, stamp, lease } = stored;
    return { status: 200, body: { path: key, value, stamp, ...(lease === null ? {} : { mooring: lease }) } };
  }

  private listKeys(query: URLSearchParams): JsonResponse {
    const prefix = query.get('under') ?? '';
    const after = query.get('after') ?? '';
    const maxEntries = Math.min(MAX_LIST_ITEMS, Number(query.get('most') ?? MAX_LIST_ITEMS));
    if (!Number.isInteger(maxEntries) || maxEntries < 1) return badRequest('most');
    const keys: string[] = [];
    for (const key of this.entries.keys()) if (key.startsWith(prefix) && key > after) keys.push(key);
    keys.sort();
    const entries: unknown[] = [];
    let bytes = 0;
    for (const key of keys) {
      const stored = this.entries.get(key);
      if (!stored) continue;
      const entry = { path: key, value: stored.value, stamp: stored.stamp };
      bytes += JSON.stringify(entry).length;
      if (entries.length >= maxEntries || (entries.length > 0 && bytes > MAX_LIST_BYTES)) break;
      entries.push(entry);
    }
    return { status: 200, body: { entries, truncated: entries.length < keys.length, epoch: this.currentRevision } };
  }

  private transact(body: unknown): JsonResponse {
    if (!isObject(body)) return badRequest('the body must be a JSON object');
    if (JSON.stringify(body).length > MAX_TXN_BYTES) return badRequest('too long');
    const guards = asArray(body['guards']);
    const writes: Write[] = [];
    for (const item of asArray(body['writes'])) {
      const write = this.decodeWrite(item);
      if (typeof write === 'string') return badRequest(write);
      writes.push(write);
    }
    if (writes.length > this.config.txnOps) return badRequest('too many changes');
    if (guards.length > 4 * this.config.txnOps) return badRequest('too many conditions');
    const failed: string[] = [];
    for (const guard of guards) {
      const key = isObject(guard) ? asString(guard['path']) : undefined;
      const stamp = isObject(guard) ? asNonNegativeInteger(guard['stamp']) : undefined;
      if (key === undefined || stamp === undefined) return badRequest('a condition');
      if ((this.entries.get(key)?.stamp ?? 0) !== stamp) failed.push(key);
    }
    // Transactions whose guards fail count towards the limit as well.
    if (writes.length > 0 && !this.changeBucket.take(writes.length)) {
      this.counts.refused += 1;
      return TOO_MANY_REQUESTS;
    }
    for (const write of writes) {
      if ('key' in write && write.lease !== null && !this.leases.has(write.lease)) return badRequest('no such lease');
    }
    if (failed.length > 0) return { status: 409, body: { failed, epoch: this.currentRevision } };
    if (writes.length > 0) this.applyWrites(writes);
    return { status: 200, body: { epoch: this.currentRevision } };
  }

  private decodeWrite(item: unknown): Write | string {
    if (!isObject(item)) return 'a change must be an object';
    const gone = asString(item['remove']);
    if (gone !== undefined) return KEY_PATTERN.test(gone) ? { gone } : 'a key';
    const key = asString(item['write']);
    if (key === undefined || !KEY_PATTERN.test(key)) return 'a key';
    const { value = null } = item;
    if (JSON.stringify(value).length > this.config.valueKb * 1024) return 'a value is too long';
    return { key, value, lease: asNonNegativeInteger(item['mooring']) ?? null };
  }

  /** Applies the writes as one revision. A write without a lease detaches the key from its lease. */
  private applyWrites(writes: readonly Write[]): void {
    this.currentRevision += 1;
    this.counts.changes += writes.length;
    const stamp = this.currentRevision;
    for (const write of writes) {
      const key = 'gone' in write ? write.gone : write.key;
      if (this.dropsChange(key)) continue;
      this.wrote(key, 'gone' in write ? undefined : write.value);
      const previous = this.entries.get(key);
      if (previous?.lease != null) this.leases.get(previous.lease)?.keys.delete(key);
      if ('gone' in write) {
        if (!previous) continue;
        this.entries.delete(key);
        this.changeLog.push({ key, stamp, wireEntry: { remove: key, stamp } });
      } else {
        this.entries.set(key, { value: write.value, stamp, lease: write.lease });
        if (write.lease !== null) this.leases.get(write.lease)?.keys.add(key);
        this.changeLog.push({ key, stamp, wireEntry: { write: key, value: write.value, stamp } });
      }
    }
    if (this.changeLog.length > 2 * RETAINED_CHANGES) {
      this.changeLog = this.changeLog.slice(-RETAINED_CHANGES);
      this.compactedRevision = (this.changeLog[0]?.stamp ?? 1) - 1;
    }
    this.wakeWatches();
  }

  private wakeWatches(): void {
    for (const watch of [...this.watches]) watch.deliverChanges();
  }

  /** Returns the changes after a revision; searches from the end of the log, as watches are seldom far behind. */
  private changesAfter(after: number, prefix: string): unknown[] {
    let position = this.changeLog.length;
    while (position > 0 && (this.changeLog[position - 1]?.stamp ?? 0) > after) position -= 1;
    const entries: unknown[] = [];
    for (; position < this.changeLog.length; position++) {
      const logged = this.changeLog[position];
      if (logged?.key.startsWith(prefix) === true) entries.push(logged.wireEntry);
    }
    return entries;
  }

  /** Answers with the next changes, with none after the wait time, or with 410 if the revision is compacted. */
  private watchChanges({ query, from }: JsonRequest): JsonResponse | Promise<JsonResponse> {
    const prefix = query.get('under') ?? '';
    const after = Number(query.get('after') ?? Number.NaN);
    const waitMs = Math.min(60_000, Number(query.get('wait_ms') ?? 0));
    if (!Number.isInteger(after) || !(waitMs >= 0)) return badRequest('after');
    const compacted = (): JsonResponse => ({ status: 410, body: { epoch: this.currentRevision } });
    if (after < this.compactedRevision) return compacted();
    return new Promise((resolve) => {
      const finish = (answer: JsonResponse): void => {
        timer.cancel();
        this.watches.delete(watch);
        resolve(answer);
      };
      const isHeld = (): boolean => this.inOutage || this.refusedNodes.has(from) || this.nodesWithHeldWatches.has(from);
      const deliverChanges = (): void => {
        if (isHeld()) return;
        if (after < this.compactedRevision) {
          finish(compacted());
          return;
        }
        const log = this.changesAfter(after, prefix);
        if (log.length > 0) finish({ status: 200, body: { epoch: this.currentRevision, log } });
      };
      const onTimeout = (): void => {
        // Open watches stay open during an outage; check again every 500 ms.
        if (isHeld()) timer = this.runtime.after(500, onTimeout);
        else finish({ status: 200, body: { epoch: this.currentRevision, log: this.changesAfter(after, prefix) } });
      };
      let timer = this.runtime.after(waitMs, onTimeout);
      const watch: Watch = { deliverChanges };
      this.watches.add(watch);
      deliverChanges();
    });
  }

  private scheduleExpiry(id: number, ttlMs: number): Timer {
    return this.runtime.after(ttlMs + this.random.next() * MAX_EXPIRY_DELAY_MS, () => this.endLease(id));
  }

  private grantLease(body: unknown): JsonResponse {
    const ttlMs = isObject(body) ? asNumber(body['life_ms']) : undefined;
    if (ttlMs === undefined || ttlMs < 100 || ttlMs > 600_000) return badRequest('life_ms');
    const id = this.nextLeaseId++;
    this.leases.set(id, { ttlMs, keys: new Set(), timer: this.scheduleExpiry(id, ttlMs) });
    return { status: 200, body: { mooring: id } };
  }

  private renewLease(id: number): JsonResponse {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: { error: 'no such lease' } };
    lease.timer.cancel();
    lease.timer = this.scheduleExpiry(id, lease.ttlMs);
    return { status: 200, body: { mooring: id } };
  }

  /** Ends a lease and deletes its keys. */
  private endLease(id: number): JsonResponse {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: { error: 'no such lease' } };
    lease.timer.cancel();
    this.leases.delete(id);
    const expiredKeys = [...lease.keys].filter((key) => this.entries.get(key)?.lease === id);
    if (expiredKeys.length > 0) this.applyWrites(expiredKeys.map((key) => ({ gone: key })));
    return { status: 200, body: {} };
  }
}
