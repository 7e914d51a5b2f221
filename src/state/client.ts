import {
  HttpClient,
  type Address,
  type HttpResult,
  type Logger,
  type Millis,
  type Revision,
  type Runtime,
} from '../kernel/index.js';
import { storedSizeBytes } from './format.js';
import { EffectiveStateLimits, type StateServiceLimits } from './limits.js';
import {
  decodeEntry,
  decodeLease,
  decodeList,
  decodeLog,
  decodeRevision,
  encodeLease,
  encodeTxn,
  requestPaths,
  type Change,
  type Entry,
  type Guard,
  type Op,
} from './wire.js';

/**
 * Priority of a queued write while the rate of changes is limited; the lowest value is sent first. The most urgent
 * writes are those of membership: the node lease, the election, and claims and releases of shards.
 */
export const Urgency = { session: 0, final: 1, accept: 2, shard: 3, progress: 4 } as const;
export type Urgency = (typeof Urgency)[keyof typeof Urgency];

/** Outcome of reading one key; `unavailable` says nothing about whether the key exists. */
export type ReadResult =
  { readonly kind: 'found'; readonly entry: Entry } | { readonly kind: 'absent' } | { readonly kind: 'unavailable' };

/** Outcome of a guarded write. */
export type TxnResult =
  | { readonly kind: 'ok'; readonly revision: Revision }
  /** Not executed: a guarded key has another version. */
  | { readonly kind: 'conflict' }
  /** Not executed: a put is bound to a lease that the service rejects. */
  | { readonly kind: 'no-lease' }
  /** Not executed. With `tooLarge`, sending the same transaction again can't succeed. */
  | { readonly kind: 'refused'; readonly tooLarge?: true }
  /** Executed, not executed, or still to be executed: read the guarded keys again before deciding. */
  | { readonly kind: 'unknown' };

/** Outcome of renewing a lease; `gone`: the service no longer has it. */
export type RenewResult = 'ok' | 'gone' | 'unavailable';

/** A write that waits for its turn. */
interface QueuedWrite {
  readonly urgency: Urgency;
  readonly guards: readonly Guard[];
  readonly ops: readonly Op[];
  /** The write is refused if it has not been sent by then. */
  readonly deadline: Millis;
  readonly resolve: (result: TxnResult) => void;
}

const REQUEST_TIMEOUT_MS = 1500;
const MAX_QUEUED_WRITES = 400;
const TOO_LARGE: TxnResult = { kind: 'refused', tooLarge: true };
/** No key has this prefix. Listing it is the cheapest request that returns the current revision. */
const EMPTY_PREFIX = 'none/';

/**
 * The allowance, in changes, that a write needs before it is sent. Progress writes wait until their whole size is
 * covered, or a full burst, so that a write of any size can be sent. Writes that users wait for may overdraw the
 * allowance and so use what the other controllers leave unused.
 */
function requiredAllowance(write: QueuedWrite, burst: number): number {
  if (write.urgency === Urgency.progress) return Math.min(write.ops.length, burst);
  if (write.urgency === Urgency.shard) return 0;
  return write.urgency === Urgency.session ? -3 * burst : -burst;
}

/**
 * Client of the state service. Writes pass through one queue that is ordered by urgency and limited to this process's
 * share of the service's changes per second. A write that waits past its deadline is refused.
 */
export class StateClient {
  private readonly http: HttpClient;
  private readonly watchHttp: HttpClient;
  private readonly queue: QueuedWrite[] = [];
  private inFlight = 0;
  /** Token bucket of changes; negative while overdrawn. */
  private allowance: number;
  private allowanceUpdatedAt: Millis;
  private processingQueue = false;
  /** Consecutive requests without an answer, or answered with 503. */
  private failures = 0;
  private lastSuccessAt: Millis;
  /** Reads that are queued and not yet sent, by key. */
  private readonly reads = new Map<string, Promise<ReadResult>>();
  /** Number of controllers that share the service's rate of changes. */
  writers = 1;
  readonly limits: EffectiveStateLimits;

  constructor(
    address: Address,
    configured: StateServiceLimits,
    private readonly log: Logger,
    private readonly runtime: Runtime,
  ) {
    this.http = new HttpClient(address, 8, runtime);
    this.watchHttp = new HttpClient(address, 2, runtime);
    this.limits = new EffectiveStateLimits(configured);
    this.allowance = configured.writeRps / 2;
    this.allowanceUpdatedAt = runtime.now();
    this.lastSuccessAt = runtime.now();
  }

  /** Closes all connections. */
  close(): void {
    this.http.close();
    this.watchHttp.close();
  }

  /** False after two consecutive failed requests, until a request succeeds. */
  get available(): boolean {
    return this.failures < 2;
  }

  /** When a request was last answered, other than with 503. */
  get lastAnswerAt(): Millis {
    return this.lastSuccessAt;
  }

  /** Reads a key. Calls for the same key share one request as long as that request has not been sent. */
  async get(key: string): Promise<ReadResult> {
    const shared = this.reads.get(key);
    if (shared) return shared;
    const started = Promise.resolve().then(() => {
      this.reads.delete(key);
      return this.read(key);
    });
    this.reads.set(key, started);
    return started;
  }

  /** Reads a key, once more after a 429. */
  private async read(key: string): Promise<ReadResult> {
    for (let tries = 0; tries < 2; tries++) {
      const answer = await this.send('GET', requestPaths.get(key));
      if (answer.kind === 'answered' && answer.status === 200) {
        const entry = decodeEntry(answer.body);
        if (entry) return { kind: 'found', entry };
        this.log.warn({ key }, 'the state service answered a read with a malformed entry');
        return { kind: 'unavailable' };
      }
      if (answer.kind === 'answered' && answer.status === 404) return { kind: 'absent' };
      if (answer.kind === 'answered' && answer.status === 429) {
        await this.runtime.sleep(100);
        continue;
      }
      return { kind: 'unavailable' };
    }
    return { kind: 'unavailable' };
  }

  /** The service's current revision; null when it is unavailable. */
  async revision(): Promise<Revision | null> {
    const answer = await this.send('GET', requestPaths.list(EMPTY_PREFIX, ''));
    if (answer.kind !== 'answered' || answer.status !== 200) return null;
    return decodeList(answer.body)?.revision ?? null;
  }

  /** All entries under a prefix, and a revision from which a watch misses nothing; null when a page fails. */
  async list(prefix: string): Promise<{ entries: Entry[]; revision: Revision } | null> {
    const entries: Entry[] = [];
    let after = '';
    let first: Revision | undefined;
    for (;;) {
      const answer = await this.send('GET', requestPaths.list(prefix, after));
      if (answer.kind !== 'answered' || answer.status !== 200) return null;
      const page = decodeList(answer.body);
      if (!page) {
        this.log.warn({ prefix }, 'the state service answered a list request with a malformed page');
        return null;
      }
      // The watch continues from the first page's revision. Changes that it repeats are harmless.
      first ??= page.revision;
      entries.push(...page.entries);
      const last = page.entries.at(-1);
      if (!page.more || !last) return { entries, revision: first };
      after = last.key;
    }
  }

  /**
   * Waits for changes after a revision: null when there is no valid answer, 'gone' when the service no longer keeps
   * the changes since that revision.
   */
  async watch(
    prefix: string,
    after: Revision,
    waitMs: number,
  ): Promise<{ changes: Change[]; revision: Revision } | 'gone' | null> {
    const answer = await this.watchHttp.call({
      method: 'GET',
      path: requestPaths.watch(prefix, after, waitMs),
      timeoutMs: waitMs + 4000,
      maxResponseBytes: 32 * 1024 * 1024,
    });
    if (answer.kind !== 'answered') return null;
    if (answer.status === 410) return 'gone';
    if (answer.status !== 200) return null;
    return decodeLog(answer.body);
  }

  /** Creates a lease and returns its id; null when that failed. */
  async grantLease(ttlMs: number): Promise<number | null> {
    const answer = await this.send('POST', requestPaths.leases, encodeLease(ttlMs));
    return answer.kind === 'answered' && answer.status === 200 ? decodeLease(answer.body) : null;
  }

  /** Extends a lease by its time to live. */
  async renewLease(id: number): Promise<RenewResult> {
    const answer = await this.send('POST', requestPaths.renew(id), {}, 1000);
    if (answer.kind !== 'answered') return 'unavailable';
    if (answer.status === 200) return 'ok';
    return answer.status === 404 ? 'gone' : 'unavailable';
  }

  /** Queues a guarded write. It is refused when the queue is full or when it can't be sent within `waitMs`. */
  txn(urgency: Urgency, guards: readonly Guard[], ops: readonly Op[], waitMs = 2000): Promise<TxnResult> {
    return new Promise((resolve) => {
      if (this.queue.length >= MAX_QUEUED_WRITES) {
        resolve({ kind: 'refused' });
        return;
      }
      const deadline = (this.runtime.now() + waitMs) as Millis;
      let at = this.queue.length;
      while (at > 0 && (this.queue[at - 1]?.urgency ?? 0) > urgency) at -= 1;
      this.queue.splice(at, 0, { urgency, guards, ops, deadline, resolve });
      void this.processQueue();
    });
  }

  /** Sends queued writes as the allowance permits and refuses those past their deadline, until the queue is empty. */
  private async processQueue(): Promise<void> {
    if (this.processingQueue) return;
    this.processingQueue = true;
    while (this.queue.length > 0) {
      const now = this.runtime.now();
      for (let i = this.queue.length - 1; i >= 0; i--) {
        const queued = this.queue[i];
        if (queued && queued.deadline < now) {
          this.queue.splice(i, 1);
          queued.resolve({ kind: 'refused' });
        }
      }
      const share = this.limits.writeRps / Math.max(1, this.writers);
      const burst = Math.max(4, share);
      this.allowance = Math.min(burst, this.allowance + ((now - this.allowanceUpdatedAt) / 1000) * share * 0.9);
      this.allowanceUpdatedAt = now;
      const next = this.queue[0];
      if (!next) break;
      if (this.inFlight >= 6 || this.allowance < requiredAllowance(next, burst)) {
        await this.runtime.sleep(this.inFlight >= 6 ? 10 : 25);
        continue;
      }
      this.queue.shift();
      this.allowance -= next.ops.length;
      this.inFlight += 1;
      void this.execute(next).finally(() => {
        this.inFlight -= 1;
      });
    }
    this.processingQueue = false;
  }

  /** Sends one write, and sends it again after a 429 until its deadline. */
  private async execute(queued: QueuedWrite): Promise<void> {
    const body = encodeTxn(queued.guards, queued.ops);
    const oversized = queued.ops.find(
      (op) => 'put' in op && storedSizeBytes(op.value) > this.limits.currentMaxValueKb * 1024,
    );
    if (oversized) {
      this.log.warn(
        { key: 'put' in oversized ? oversized.put : '' },
        'a value exceeds the size limit of the state service',
      );
      queued.resolve(TOO_LARGE);
      return;
    }
    for (;;) {
      const answer = await this.send('POST', requestPaths.txn, body);
      if (answer.kind === 'failed') {
        queued.resolve({ kind: 'unknown' });
        return;
      }
      if (answer.status === 200) {
        const at = decodeRevision(answer.body);
        queued.resolve(at === null ? { kind: 'unknown' } : { kind: 'ok', revision: at });
        return;
      }
      if (answer.status === 409) {
        queued.resolve({ kind: 'conflict' });
        return;
      }
      if (answer.status === 400) {
        this.log.warn(
          { body: answer.body, keys: queued.ops.map((op) => ('put' in op ? op.put : op.remove)) },
          'the state service rejected a transaction as invalid',
        );
        const hasLease = queued.ops.some((op) => 'put' in op && op.lease !== undefined);
        // Every transaction keeps to the known limits, so a rejection without a lease shows that lower limits are in
        // force.
        if (!hasLease) this.applyLowerLimits();
        queued.resolve(hasLease ? { kind: 'no-lease' } : TOO_LARGE);
        return;
      }
      // A 429 was not executed. Even if it had been, the guards would make sending it again harmless.
      if (answer.status === 429 && this.runtime.now() + 150 < queued.deadline) {
        const before = this.limits.lowerLimitsInForce;
        if (this.allowance >= 0) this.limits.recordRateRefusal(this.runtime.now());
        if (this.limits.lowerLimitsInForce && !before) this.logLowerLimits();
        this.allowance = Math.min(this.allowance, 0);
        // Staggered retries: membership and final writes are sent before the others.
        await this.runtime.sleep(queued.urgency <= Urgency.final ? 100 : 200);
        continue;
      }
      queued.resolve({ kind: 'refused' });
      return;
    }
  }

  /** Switches to the lower limits, after this node or a peer has noticed that they are in force. */
  applyLowerLimits(): void {
    if (this.limits.lowerLimitsInForce) return;
    this.limits.applyLowerLimits();
    if (this.limits.lowerLimitsInForce) this.logLowerLimits();
  }

  private logLowerLimits(): void {
    this.log.info({ writeRps: this.limits.writeRps }, "the state service's lower limits are in force");
  }

  /** Sends a request and counts consecutive failures. */
  private async send(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
    timeoutMs = REQUEST_TIMEOUT_MS,
  ): Promise<HttpResult> {
    const answer = await this.http.call({ method, path, timeoutMs, ...(body === undefined ? {} : { body }) });
    if (answer.kind === 'failed' || answer.status === 503) this.failures += 1;
    else {
      this.failures = 0;
      this.lastSuccessAt = this.runtime.now();
    }
    return answer;
  }
}
