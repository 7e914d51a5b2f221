import {
  HttpClient,
  type Address,
  type HttpResult,
  type Logger,
  type MachineId,
  type Millis,
  type Runtime,
} from '../kernel/index.js';
import {
  decodeRentals,
  decodeRentedIds,
  decodeMachineTypes,
  encodeRentRequest,
  encodeReturnRequest,
  isNoCapacity,
  cloudPaths,
  type MachineType,
  type Rental,
  type RentRequest,
} from './wire.js';

/** Result of a request to rent machines. */
export type RentResult =
  | { readonly kind: 'rented'; readonly ids: readonly MachineId[] }
  | { readonly kind: 'no-capacity' }
  /** Refused, or of unknown outcome: the machines may still appear in a later list. */
  | { readonly kind: 'failed' };

const CALL_TIMEOUT_MS = 3000;

/** Client for the cloud API. A token bucket keeps it below the cloud's limit on calls per second. */
export class CloudClient {
  private readonly http: HttpClient;
  /** Tokens in the bucket. */
  private availableCalls: number;
  private refilledAt: Millis;

  constructor(
    address: Address,
    /** The cloud's limit on calls per second. */
    private readonly maxCallsPerSecond: number,
    private readonly log: Logger,
    private readonly runtime: Runtime,
  ) {
    this.http = new HttpClient(address, 3, runtime);
    this.availableCalls = maxCallsPerSecond;
    this.refilledAt = runtime.now();
  }

  /** Refills the bucket and returns whether a call may be made now; otherwise the caller retries in its next round. */
  canCall(): boolean {
    const now = this.runtime.now();
    // Tokens per second, and the capacity of the bucket: 80 % of the limit.
    const rate = this.maxCallsPerSecond * 0.8;
    this.availableCalls = Math.min(rate, this.availableCalls + ((now - this.refilledAt) / 1000) * rate);
    this.refilledAt = now;
    return this.availableCalls >= 1;
  }

  /** Takes a token and makes the call, also when the bucket is empty. */
  private call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<HttpResult> {
    this.canCall();
    this.availableCalls -= 1;
    return this.http.call({ method, path, timeoutMs: CALL_TIMEOUT_MS, ...(body === undefined ? {} : { body }) });
  }

  /** Returns the machine types; null when the call fails. */
  async types(): Promise<MachineType[] | null> {
    const result = await this.call('GET', cloudPaths.types);
    return result.kind === 'answered' && result.status === 200 ? decodeMachineTypes(result.body) : null;
  }

  /** Returns all rented machines, page by page; null when a call fails. */
  async list(): Promise<Rental[] | null> {
    const all: Rental[] = [];
    let after = '';
    for (;;) {
      const result = await this.call('GET', cloudPaths.list(after));
      if (result.kind !== 'answered' || result.status !== 200) return null;
      const page = decodeRentals(result.body);
      if (!page) {
        this.log.warn('cloud returned a malformed machine list');
        return null;
      }
      all.push(...page.rentals);
      const last = page.rentals.at(-1);
      if (!page.more || !last) return all;
      after = last.id;
    }
  }

  /** Rents machines. */
  async rent(request: RentRequest): Promise<RentResult> {
    const result = await this.call('POST', cloudPaths.rentals, encodeRentRequest(request));
    if (result.kind === 'answered' && result.status === 200) {
      const ids = decodeRentedIds(result.body);
      return ids ? { kind: 'rented', ids } : { kind: 'failed' };
    }
    if (result.kind === 'answered' && result.status === 503 && isNoCapacity(result.body))
      return { kind: 'no-capacity' };
    return { kind: 'failed' };
  }

  /**
   * Returns up to 100 machines to the cloud; further ids are ignored. True means that these machines and everything on
   * them are gone, whatever their state was.
   */
  async returnMachines(ids: readonly MachineId[]): Promise<boolean> {
    const result = await this.call('POST', cloudPaths.giveBack, encodeReturnRequest(ids.slice(0, 100)));
    return result.kind === 'answered' && result.status === 200;
  }
}
