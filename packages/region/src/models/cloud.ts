import {
  asNonNegativeInteger,
  asArray,
  asString,
  isObject,
  type Endpoint,
  type TcpListener,
  type Logger,
  type Runtime,
} from '../../../../src/kernel/index.js';
import type { Luck } from '../sim/index.js';
import type { Script, ScriptedMachine } from './script.js';
import { Allowance, serveJson, type Answer, type Request } from './serve.js';

export interface TypeFacts {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Per hour. */
  readonly price: number;
  readonly spotPrice: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly bootS: number;
  /** The share that never comes up. */
  readonly bootFail: number;
}

export interface CapacityFacts {
  readonly type: string;
  readonly zone: string;
  readonly ordinary: number;
  readonly spot: number;
}

export interface CloudFacts {
  readonly rps: number;
  readonly latencyMs: number;
  readonly listLagS: number;
  readonly types: readonly TypeFacts[];
  readonly capacity: readonly CapacityFacts[];
  readonly spot: { readonly perHour: number; readonly noticeS: number; readonly silentShare: number };
  /** Instead of luck. */
  readonly script?: Script['machine'];
}

export type MachineFate = 'starting' | 'running' | 'failed' | 'gone';

/** A rented machine as it truly is. Times in milliseconds of the cloud's steady clock. */
export interface Machine {
  readonly id: string;
  readonly type: TypeFacts;
  readonly zone: string;
  readonly spot: boolean;
  readonly rentedAt: number;
  address: string;
  fate: MachineFate;
  runningAt: number | null;
  failedAt: number | null;
  goneAt: number | null;
  /** When a noticed takeback happens. */
  takenAt: number | null;
  listed: boolean;
  /** Up to when it has been charged for. */
  chargedTo: number;
  readonly script: ScriptedMachine | null;
}

/** What the cloud does to machines: the region gives each a worker, and takes it away. */
export interface CloudHooks {
  up(machine: Machine): void;
  /** It and everything on it is gone. */
  gone(machine: Machine): void;
}

const MOST_AT_ONCE = 50;
const MOST_RETURNED = 100;
const LEAST_CHARGED_MS = 60_000;
const DEATH_SHOWS_MS = 30_000;
const KEPT_GONE_MS = 120_000;
const PRICE_MOVES_MS = 10_000;
const LATE_BOOTS = 0.03;
const QUICK_BOOTS = 0.01;

const kindOf = (type: string, zone: string, spot: boolean): string => `${type} ${zone} ${spot ? 'spot' : 'ordinary'}`;

/** The cloud, by its protocol: rentals, boots, spot prices and takebacks, and a list that lags. */
export class CloudModel {
  private readonly machines = new Map<string, Machine>();
  private readonly charters = new Map<string, readonly string[]>();
  private readonly taken = new Map<string, number>();
  private readonly limits = new Map<string, number>();
  /** How many of each kind there have been. */
  private readonly made = new Map<string, number>();
  private readonly spotPrices = new Map<string, number>();
  private readonly allowance: Allowance;
  private nextName = 1;
  private down = false;
  /** Only this share of the capacity is to be had. */
  capacityShare = 1;
  /** How much longer boots take, and at least how many of them never end. */
  bootFactor = 1;
  neverShare = 0;
  /** Every machine is up within two seconds. */
  bootsAtOnce = false;
  private spent = 0;
  readonly counts = { calls: 0, refused: 0, rented: 0, takenBack: 0, neverUp: 0, died: 0 };

  constructor(
    private readonly runtime: Runtime,
    private readonly luck: Luck,
    private readonly facts: CloudFacts,
    private readonly hooks: CloudHooks,
  ) {
    this.allowance = new Allowance(runtime, facts.rps, 2);
    for (const { type, zone, ordinary, spot } of facts.capacity) {
      this.limits.set(kindOf(type, zone, false), ordinary);
      this.limits.set(kindOf(type, zone, true), spot);
    }
    for (const type of facts.types) this.spotPrices.set(type.name, type.spotPrice);
    runtime.every(PRICE_MOVES_MS, () => this.movePrices());
  }

  listen(at: Endpoint, log: Logger): TcpListener {
    return serveJson(this.runtime, at, log, (request) => this.serve(request));
  }

  outage(on: boolean): void {
    this.down = on;
  }

  /** Machines that are up. */
  get up(): Machine[] {
    return [...this.machines.values()].filter((machine) => machine.fate === 'running');
  }

  /** Machines that a day begins with: they are up and listed. */
  begin(typeName: string, zone: string, spot: boolean, count: number): void {
    const type = this.facts.types.find((t) => t.name === typeName);
    if (!type) return;
    for (let i = 0; i < count; i++) {
      const machine = this.make(type, zone, spot);
      machine.listed = true;
      if (machine.script) this.boot(machine);
      else this.comeUp(machine);
    }
  }

  /** Takes a spot machine back, with or without notice. */
  takeBack(machine: Machine, noticed: boolean): void {
    if (machine.fate === 'gone' || machine.takenAt !== null) return;
    this.counts.takenBack += 1;
    if (!noticed || machine.fate !== 'running') {
      this.end(machine);
      return;
    }
    this.takeBackIn(machine, this.facts.spot.noticeS * 1000 * this.luck.between(0.5, 1.5));
  }

  private takeBackIn(machine: Machine, noticeMs: number): void {
    if (machine.fate !== 'running') return;
    machine.takenAt = this.runtime.now() + noticeMs;
    this.runtime.after(noticeMs, () => this.end(machine));
  }

  /** It stops on its own with all that is on it: no longer charged, listed as running for a while. */
  die(machine: Machine): void {
    if (machine.fate !== 'running') return;
    this.charge(machine);
    this.counts.died += 1;
    machine.fate = 'failed';
    machine.failedAt = this.runtime.now();
    this.hooks.gone(machine);
  }

  /** Money spent so far, on running machines too. */
  settle(): number {
    for (const machine of this.machines.values()) this.charge(machine);
    return this.spent;
  }

  private async serve(request: Request): Promise<Answer> {
    this.counts.calls += 1;
    await this.runtime.sleep(this.facts.latencyMs * this.luck.between(0.6, 1.6));
    if (this.down) return { status: 503, body: { error: 'trouble' } };
    if (!this.allowance.take(1)) {
      this.counts.refused += 1;
      return { status: 429, body: { error: 'too many requests' } };
    }
    const { method, path, body, query } = request;
    if (method === 'GET' && path === '/machine_types') return this.types();
    if (method === 'GET' && path === '/rentals') return this.list(query);
    if (method === 'POST' && path === '/rentals') return this.rent(body);
    if (method === 'POST' && path === '/rentals/return') return this.giveBack(body);
    return { status: 400, body: { error: 'no such call' } };
  }

  private types(): Answer {
    const hulls = this.facts.types.map((type) => ({
      sku: type.name,
      vcpus: type.cpus,
      accelerators: type.gpus,
      ram_gb: type.memoryGb,
      cache_gb: type.cacheGb,
      fetch_gb_per_s: type.fetchGbPerS,
      rate: type.price,
      low_price: this.spotPrices.get(type.name) ?? type.spotPrice,
      startup_s: type.bootS,
      berths: [...new Set(this.facts.capacity.filter((c) => c.type === type.name).map((c) => c.zone))],
    }));
    return { status: 200, body: { hulls } };
  }

  private rent(body: unknown): Answer {
    const fields = isObject(body) ? body : {};
    const charter = asString(fields['charter']);
    const type = this.facts.types.find((t) => t.name === fields['hull']);
    const zone = asString(fields['berth']);
    const number = asNonNegativeInteger(fields['number']);
    const spot = fields['flotsam'] === true;
    const known = charter === undefined ? undefined : this.charters.get(charter);
    if (known) return { status: 200, body: { drifters: known } };
    if (charter === undefined || !type || zone === undefined || number === undefined || number < 1)
      return { status: 400, body: { error: 'malformed' } };
    const kind = kindOf(type.name, zone, spot);
    const room = Math.floor((this.limits.get(kind) ?? 0) * this.capacityShare) - (this.taken.get(kind) ?? 0);
    const count = Math.min(number, MOST_AT_ONCE, room);
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const rented: string[] = [];
    for (let i = 0; i < count; i++) {
      const machine = this.make(type, zone, spot);
      rented.push(machine.id);
      this.boot(machine);
    }
    this.counts.rented += count;
    this.charters.set(charter, rented);
    return { status: 200, body: { drifters: rented } };
  }

  private make(type: TypeFacts, zone: string, spot: boolean): Machine {
    const now = this.runtime.now();
    const kind = kindOf(type.name, zone, spot);
    const nth = this.made.get(kind) ?? 0;
    this.made.set(kind, nth + 1);
    const machine: Machine = {
      id: `host-${String(this.nextName++).padStart(6, '0')}`,
      type,
      zone,
      spot,
      rentedAt: now,
      address: '',
      fate: 'starting',
      runningAt: null,
      failedAt: null,
      goneAt: null,
      takenAt: null,
      listed: false,
      chargedTo: now,
      script: this.facts.script?.(kind, nth) ?? null,
    };
    this.machines.set(machine.id, machine);
    this.taken.set(kind, (this.taken.get(kind) ?? 0) + 1);
    return machine;
  }

  private boot(machine: Machine): void {
    if (machine.script) {
      const { bootS } = machine.script;
      if (bootS === null) this.counts.neverUp += 1;
      else this.runtime.after(bootS * 1000, () => this.comeUp(machine));
      return;
    }
    if (this.luck.chance(Math.max(machine.type.bootFail, this.neverShare))) {
      this.counts.neverUp += 1;
      return;
    }
    const late = this.luck.chance(LATE_BOOTS) ? this.luck.between(2, 4) : 1;
    const usual = machine.type.bootS * this.luck.between(0.6, 1.5) * late * this.bootFactor;
    const bootS = this.luck.chance(this.bootsAtOnce ? 1 : QUICK_BOOTS) ? this.luck.between(0.5, 2) : usual;
    this.runtime.after(bootS * 1000, () => this.comeUp(machine));
  }

  private comeUp(machine: Machine): void {
    if (machine.fate !== 'starting') return;
    machine.fate = 'running';
    machine.runningAt = this.runtime.now();
    if (machine.script) this.follow(machine, machine.script);
    const { perHour, silentShare } = this.facts.spot;
    if (machine.spot && perHour > 0 && !machine.script) {
      const noticed = !this.luck.chance(silentShare);
      this.runtime.after(this.luck.exponential(3600 / perHour) * 1000, () => this.takeBack(machine, noticed));
    }
    this.hooks.up(machine);
  }

  private follow(machine: Machine, { diesAtS, takenBack }: ScriptedMachine): void {
    const after = (atS: number, work: () => void): void => {
      const ms = atS * 1000 - this.runtime.now();
      if (ms >= 0) this.runtime.after(ms, work);
    };
    if (diesAtS !== null) after(diesAtS, () => this.die(machine));
    if (takenBack) after(takenBack.noticeAtS, () => this.takeBackIn(machine, takenBack.noticeS * 1000));
  }

  private giveBack(body: unknown): Answer {
    const names = asArray(isObject(body) ? body['drifters'] : undefined);
    if (names.length > MOST_RETURNED) return { status: 400, body: { error: 'too many names' } };
    for (const name of names) {
      const machine = typeof name === 'string' ? this.machines.get(name) : undefined;
      if (machine) this.end(machine);
    }
    return { status: 200, body: {} };
  }

  private end(machine: Machine): void {
    if (machine.fate === 'gone') return;
    const wasUp = machine.fate === 'running';
    this.charge(machine);
    // A machine that is deleted costs its first minute in any case.
    if (machine.fate !== 'failed') this.bill(machine, machine.rentedAt + LEAST_CHARGED_MS);
    machine.fate = 'gone';
    machine.goneAt = this.runtime.now();
    const kind = kindOf(machine.type.name, machine.zone, machine.spot);
    this.taken.set(kind, (this.taken.get(kind) ?? 1) - 1);
    if (wasUp) this.hooks.gone(machine);
    this.runtime.after(KEPT_GONE_MS, () => this.machines.delete(machine.id));
  }

  private charge(machine: Machine): void {
    if (machine.fate === 'starting' || machine.fate === 'running') this.bill(machine, this.runtime.now());
  }

  private bill(machine: Machine, upTo: number): void {
    if (upTo <= machine.chargedTo) return;
    const { type, spot } = machine;
    const rate = spot ? (this.spotPrices.get(type.name) ?? type.spotPrice) : type.price;
    this.spent += ((upTo - machine.chargedTo) / 3_600_000) * rate;
    machine.chargedTo = upTo;
  }

  private movePrices(): void {
    // What has run so far is charged at the price that held.
    for (const machine of this.machines.values()) if (machine.spot) this.charge(machine);
    for (const { name, spotPrice } of this.facts.types) {
      const next = (this.spotPrices.get(name) ?? spotPrice) * this.luck.between(0.95, 1.05);
      this.spotPrices.set(name, Math.min((spotPrice * 4) / 3, Math.max((spotPrice * 2) / 3, next)));
    }
  }

  /** As of a moment that lies back by the lag, or up to twice that: one list can be older than the last. */
  private list(query: URLSearchParams): Answer {
    const after = query.get('after') ?? '';
    const most = Math.min(500, Math.max(1, Number(query.get('most') ?? 500) || 500));
    const lagMs = this.facts.listLagS * 1000 * this.luck.between(0.3, this.luck.chance(0.1) ? 2 : 1);
    const asOf = this.runtime.now() - lagMs;
    const shown: unknown[] = [];
    let truncated = false;
    for (const machine of this.machines.values()) {
      const gone = machine.goneAt !== null && machine.goneAt <= asOf;
      // Once listed, a machine stays listed until it is gone.
      if (machine.id <= after || gone || (!machine.listed && machine.rentedAt > asOf)) continue;
      if (shown.length >= most) {
        truncated = true;
        break;
      }
      machine.listed = true;
      const { id, address, type, zone, spot } = machine;
      const age_s = Math.max(0, asOf - machine.rentedAt) / 1000;
      const phase = this.phaseAsOf(machine, asOf);
      shown.push({ ref: id, address, hull: type.name, berth: zone, flotsam: spot, phase, age_s });
    }
    return { status: 200, body: { drifters: shown, truncated } };
  }

  private phaseAsOf(machine: Machine, asOf: number): string {
    if (machine.failedAt !== null && machine.failedAt + DEATH_SHOWS_MS <= asOf) return 'failed';
    return machine.runningAt !== null && machine.runningAt <= asOf ? 'running' : 'starting';
  }
}
