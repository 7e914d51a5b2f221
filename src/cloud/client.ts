import {
  HttpClient,
  type Address,
  type Answer,
  type Logger,
  type MachineId,
  type Millis,
  type Runtime,
} from '../kernel/index.js';
import {
  decodeRentals,
  decodeRented,
  decodeTypes,
  encodeRent,
  encodeReturn,
  isNoCapacity,
  paths,
  type MachineType,
  type Rental,
  type RentRequest,
} from './wire.js';

export type RentResult =
  | { readonly kind: 'rented'; readonly ids: readonly MachineId[] }
  | { readonly kind: 'no-capacity' }
  /** Refused or unknown: machines may turn up in the list later. */
  | { readonly kind: 'failed' };

const TIMEOUT_MS = 3000;

/** The cloud's client, held below its calls a second. */
export class CloudClient {
  private readonly http: HttpClient;
  private allowance: number;
  private allowanceAt: Millis;

  constructor(
    address: Address,
    private readonly rps: number,
    private readonly log: Logger,
    private readonly runtime: Runtime,
  ) {
    this.http = new HttpClient(address, 3, runtime);
    this.allowance = rps;
    this.allowanceAt = runtime.now();
  }

  /** True when a call may be made now; the caller comes back in its next round otherwise. */
  mayCall(): boolean {
    const now = this.runtime.now();
    const rate = this.rps * 0.8;
    this.allowance = Math.min(rate, this.allowance + ((now - this.allowanceAt) / 1000) * rate);
    this.allowanceAt = now;
    return this.allowance >= 1;
  }

  private call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<Answer> {
    this.mayCall();
    this.allowance -= 1;
    return this.http.call({ method, path, timeoutMs: TIMEOUT_MS, ...(body === undefined ? {} : { body }) });
  }

  async types(): Promise<MachineType[] | null> {
    const answer = await this.call('GET', paths.types);
    return answer.kind === 'answered' && answer.status === 200 ? decodeTypes(answer.body) : null;
  }

  async list(): Promise<Rental[] | null> {
    const all: Rental[] = [];
    let after = '';
    for (;;) {
      const answer = await this.call('GET', paths.list(after));
      if (answer.kind !== 'answered' || answer.status !== 200) return null;
      const page = decodeRentals(answer.body);
      if (!page) {
        this.log.warn('the cloud gave a machine list of no valid form');
        return null;
      }
      all.push(...page.rentals);
      const last = page.rentals.at(-1);
      if (!page.more || !last) return all;
      after = last.id;
    }
  }

  async rent(request: RentRequest): Promise<RentResult> {
    const answer = await this.call('POST', paths.rentals, encodeRent(request));
    if (answer.kind === 'answered' && answer.status === 200) {
      const ids = decodeRented(answer.body);
      return ids ? { kind: 'rented', ids } : { kind: 'failed' };
    }
    if (answer.kind === 'answered' && answer.status === 503 && isNoCapacity(answer.body))
      return { kind: 'no-capacity' };
    return { kind: 'failed' };
  }

  /** True: these machines and everything on them are gone, whatever they were. */
  async giveBack(ids: readonly MachineId[]): Promise<boolean> {
    const answer = await this.call('POST', paths.giveBack, encodeReturn(ids.slice(0, 100)));
    return answer.kind === 'answered' && answer.status === 200;
  }
}
