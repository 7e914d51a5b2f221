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
import type { RandomStream } from '../sim/index.js';
import type { Script, ScriptedMachine } from './script.js';
import { TokenBucket, serveJson, type JsonResponse, type JsonRequest } from './json-server.js';

/** A machine type of the simulated cloud. */
export interface MachineTypeConfig {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** On-demand price per hour. */
  readonly price: number;
  /** Nominal spot price per hour, around which the spot price moves. */
  readonly spotPrice: number;
  /** Size of the image cache. */
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  /** Usual boot time. */
  readonly bootS: number;
  /** Share of the machines that never finish booting. */
  readonly bootFail: number;
}

/** How many machines of a type a zone has at most, on demand (`ordinary`) and as spot. */
export interface ZoneCapacity {
  readonly type: string;
  readonly zone: string;
  readonly ordinary: number;
  readonly spot: number;
}

/** Limits, delays and capacity of the simulated cloud. */
export interface CloudConfig {
  /** Requests per second. */
  readonly rps: number;
  readonly latencyMs: number;
  /** Usual upper bound of the age of the machine list; some lists are up to twice as old. */
  readonly listLagS: number;
  readonly types: readonly MachineTypeConfig[];
  readonly capacity: readonly ZoneCapacity[];
  /** Reclaims per spot machine and hour, the nominal notice, and the share of reclaims without notice. */
  readonly spot: { readonly reclaimsPerHour: number; readonly noticeS: number; readonly noNoticeShare: number };
  /** Determines the course of each machine instead of random draws. */
  readonly script?: Script['machine'];
}

/** Actual state of a machine: `failed` stopped by itself, `gone` was returned or reclaimed. */
export type MachineState = 'starting' | 'running' | 'failed' | 'gone';

/** Actual state of a rented machine, which the API shows late. Times in milliseconds of the cloud's monotonic clock. */
export interface Machine {
  readonly id: string;
  readonly type: MachineTypeConfig;
  readonly zone: string;
  readonly spot: boolean;
  readonly rentedAt: number;
  address: string;
  fate: MachineState;
  runningAt: number | null;
  failedAt: number | null;
  goneAt: number | null;
  /** When the machine will be reclaimed, once notice was given. */
  takenAt: number | null;
  /** Has appeared in a list once; from then on every list shows it until it is gone. */
  listed: boolean;
  /** The cost is billed up to this time. */
  chargedTo: number;
  readonly script: ScriptedMachine | null;
}

/** Callbacks for machines: the region starts a worker on each running machine and ends it with the machine. */
export interface CloudHooks {
  /** The machine has booted. */
  up(machine: Machine): void;
  /** The running machine and everything on it is gone. */
  gone(machine: Machine): void;
}

/** Limits of the API per call. */
const MAX_MACHINES_PER_RENTAL = 50;
const MAX_MACHINES_PER_RETURN = 100;
const MIN_BILLED_MS = 60_000;
/** A failed machine is still listed as running for this time. */
const FAILURE_LISTING_DELAY_MS = 30_000;
/** Machines that are gone are kept for this time, as outdated lists still show them. */
const GONE_RETENTION_MS = 120_000;
const PRICE_UPDATE_INTERVAL_MS = 10_000;
/** Share of the boots that take two to four times as long, and share that take at most two seconds. */
const LATE_BOOT_SHARE = 0.03;
const QUICK_BOOT_SHARE = 0.01;

/** Key of a kind of machine: type, zone, spot or on demand. */
const machineKindKey = (type: string, zone: string, spot: boolean): string =>
  `${type} ${zone} ${spot ? 'spot' : 'ordinary'}`;

/**
 * A simulated cloud provider that serves the cloud's protocol: rentals, boots, spot prices, reclaimed spot machines, and
 * a machine list that lags.
 */
export class CloudModel {
  private readonly machines = new Map<string, Machine>();
  /** The machine ids that each request has rented; a repeated request gets the same. */
  private readonly rentalsByRequestId = new Map<string, readonly string[]>();
  /** Number of rented machines, by kind. */
  private readonly usedCapacity = new Map<string, number>();
  /** Largest number of rented machines, by kind. */
  private readonly capacityLimits = new Map<string, number>();
  /** Machines created so far, by kind. */
  private readonly createdCounts = new Map<string, number>();
  private readonly spotPrices = new Map<string, number>();
  private readonly requestBucket: TokenBucket;
  private nextMachineNumber = 1;
  private inOutage = false;
  /** Only this share of the capacity is available. */
  capacityShare = 1;
  /** Boot times are multiplied by this. */
  bootTimeFactor = 1;
  /** At least this share of the boots never finishes. */
  neverBootShare = 0;
  /** Every machine boots within two seconds. */
  bootsFast = false;
  /** Cost billed so far. */
  private totalCost = 0;
  readonly counts = { calls: 0, refused: 0, rented: 0, takenBack: 0, neverUp: 0, died: 0 };

  constructor(
    private readonly runtime: Runtime,
    private readonly random: RandomStream,
    private readonly config: CloudConfig,
    private readonly hooks: CloudHooks,
  ) {
    this.requestBucket = new TokenBucket(runtime, config.rps, 2);
    for (const { type, zone, ordinary, spot } of config.capacity) {
      this.capacityLimits.set(machineKindKey(type, zone, false), ordinary);
      this.capacityLimits.set(machineKindKey(type, zone, true), spot);
    }
    for (const type of config.types) this.spotPrices.set(type.name, type.spotPrice);
    runtime.every(PRICE_UPDATE_INTERVAL_MS, () => this.updatePrices());
  }

  /** Serves the cloud API at an endpoint. */
  listen(at: Endpoint, log: Logger): TcpListener {
    return serveJson(this.runtime, at, log, (request) => this.handleRequest(request));
  }

  /** Starts or ends an outage, during which every request gets 503. */
  setOutage(on: boolean): void {
    this.inOutage = on;
  }

  /** The running machines. */
  get up(): Machine[] {
    return [...this.machines.values()].filter((machine) => machine.fate === 'running');
  }

  /** Adds the machines that exist at the start of a day: running (with a script: after their boot time) and listed. */
  addInitialMachines(typeName: string, zone: string, spot: boolean, count: number): void {
    const type = this.config.types.find((t) => t.name === typeName);
    if (!type) return;
    for (let i = 0; i < count; i++) {
      const machine = this.createMachine(type, zone, spot);
      machine.listed = true;
      if (machine.script) this.scheduleBoot(machine);
      else this.markRunning(machine);
    }
  }

  /** Reclaims a spot machine, with or without notice. A machine that is not running yet gets no notice. */
  reclaim(machine: Machine, withNotice: boolean): void {
    if (machine.fate === 'gone' || machine.takenAt !== null) return;
    this.counts.takenBack += 1;
    if (!withNotice || machine.fate !== 'running') {
      this.removeMachine(machine);
      return;
    }
    this.reclaimAfter(machine, this.config.spot.noticeS * 1000 * this.random.uniform(0.5, 1.5));
  }

  /** Gives notice of a reclaim, and removes the machine when the notice is over. */
  private reclaimAfter(machine: Machine, noticeMs: number): void {
    if (machine.fate !== 'running') return;
    machine.takenAt = this.runtime.now() + noticeMs;
    this.runtime.after(noticeMs, () => this.removeMachine(machine));
  }

  /** Fails a machine with everything on it: it is no longer billed, but is listed as running for a while. */
  failMachine(machine: Machine): void {
    if (machine.fate !== 'running') return;
    this.billToNow(machine);
    this.counts.died += 1;
    machine.fate = 'failed';
    machine.failedAt = this.runtime.now();
    this.hooks.gone(machine);
  }

  /** Bills all machines up to now and returns the total cost. */
  billAll(): number {
    for (const machine of this.machines.values()) this.billToNow(machine);
    return this.totalCost;
  }

  private async handleRequest(request: JsonRequest): Promise<JsonResponse> {
    this.counts.calls += 1;
    await this.runtime.sleep(this.config.latencyMs * this.random.uniform(0.6, 1.6));
    if (this.inOutage) return { status: 503, body: { error: 'trouble' } };
    if (!this.requestBucket.take(1)) {
      this.counts.refused += 1;
      return { status: 429, body: { error: 'too many requests' } };
    }
    const { method, path, body, query } = request;
    if (method === 'GET' && path === '/machine_types') return this.listTypes();
    if (method === 'GET' && path === '/rentals') return this.listMachines(query);
    if (method === 'POST' && path === '/rentals') return this.rentMachines(body);
    if (method === 'POST' && path === '/rentals/return') return this.returnMachines(body);
    return { status: 400, body: { error: 'no such call' } };
  }

  private listTypes(): JsonResponse {
    const hulls = this.config.types.map((type) => ({
      sku: type.name,
      vcpus: type.cpus,
      accelerators: type.gpus,
      ram_gb: type.memoryGb,
      cache_gb: type.cacheGb,
      fetch_gb_per_s: type.fetchGbPerS,
      rate: type.price,
      low_price: this.spotPrices.get(type.name) ?? type.spotPrice,
      startup_s: type.bootS,
      berths: [...new Set(this.config.capacity.filter((c) => c.type === type.name).map((c) => c.zone))],
    }));
    return { status: 200, body: { hulls } };
  }

  private rentMachines(body: unknown): JsonResponse {
    const fields = isObject(body) ? body : {};
    const requestId = asString(fields['charter']);
    const type = this.config.types.find((t) => t.name === fields['hull']);
    const zone = asString(fields['berth']);
    const requestedCount = asNonNegativeInteger(fields['number']);
    const spot = fields['flotsam'] === true;
    const earlierRental = requestId === undefined ? undefined : this.rentalsByRequestId.get(requestId);
    if (earlierRental) return { status: 200, body: { drifters: earlierRental } };
    if (requestId === undefined || !type || zone === undefined || requestedCount === undefined || requestedCount < 1)
      return { status: 400, body: { error: 'malformed' } };
    const kind = machineKindKey(type.name, zone, spot);
    const available =
      Math.floor((this.capacityLimits.get(kind) ?? 0) * this.capacityShare) - (this.usedCapacity.get(kind) ?? 0);
    const count = Math.min(requestedCount, MAX_MACHINES_PER_RENTAL, available);
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const rented: string[] = [];
    for (let i = 0; i < count; i++) {
      const machine = this.createMachine(type, zone, spot);
      rented.push(machine.id);
      this.scheduleBoot(machine);
    }
    this.counts.rented += count;
    this.rentalsByRequestId.set(requestId, rented);
    return { status: 200, body: { drifters: rented } };
  }

  private createMachine(type: MachineTypeConfig, zone: string, spot: boolean): Machine {
    const now = this.runtime.now();
    const kind = machineKindKey(type.name, zone, spot);
    const createdBefore = this.createdCounts.get(kind) ?? 0;
    this.createdCounts.set(kind, createdBefore + 1);
    const machine: Machine = {
      id: `host-${String(this.nextMachineNumber++).padStart(6, '0')}`,
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
      script: this.config.script?.(kind, createdBefore) ?? null,
    };
    this.machines.set(machine.id, machine);
    this.usedCapacity.set(kind, (this.usedCapacity.get(kind) ?? 0) + 1);
    return machine;
  }

  private scheduleBoot(machine: Machine): void {
    if (machine.script) {
      const { bootS } = machine.script;
      if (bootS === null) this.counts.neverUp += 1;
      else this.runtime.after(bootS * 1000, () => this.markRunning(machine));
      return;
    }
    if (this.random.chance(Math.max(machine.type.bootFail, this.neverBootShare))) {
      this.counts.neverUp += 1;
      return;
    }
    const lateFactor = this.random.chance(LATE_BOOT_SHARE) ? this.random.uniform(2, 4) : 1;
    const normalBootS = machine.type.bootS * this.random.uniform(0.6, 1.5) * lateFactor * this.bootTimeFactor;
    const bootS = this.random.chance(this.bootsFast ? 1 : QUICK_BOOT_SHARE) ? this.random.uniform(0.5, 2) : normalBootS;
    this.runtime.after(bootS * 1000, () => this.markRunning(machine));
  }

  private markRunning(machine: Machine): void {
    if (machine.fate !== 'starting') return;
    machine.fate = 'running';
    machine.runningAt = this.runtime.now();
    if (machine.script) this.applyScript(machine, machine.script);
    const { reclaimsPerHour, noNoticeShare } = this.config.spot;
    if (machine.spot && reclaimsPerHour > 0 && !machine.script) {
      const withNotice = !this.random.chance(noNoticeShare);
      this.runtime.after(this.random.exponential(3600 / reclaimsPerHour) * 1000, () =>
        this.reclaim(machine, withNotice),
      );
    }
    this.hooks.up(machine);
  }

  /** Schedules the scripted failure and reclaim of a machine; what lies in the past is left out. */
  private applyScript(machine: Machine, { diesAtS, takenBack }: ScriptedMachine): void {
    const runAt = (atS: number, work: () => void): void => {
      const ms = atS * 1000 - this.runtime.now();
      if (ms >= 0) this.runtime.after(ms, work);
    };
    if (diesAtS !== null) runAt(diesAtS, () => this.failMachine(machine));
    if (takenBack) runAt(takenBack.noticeAtS, () => this.reclaimAfter(machine, takenBack.noticeS * 1000));
  }

  private returnMachines(body: unknown): JsonResponse {
    const machineIds = asArray(isObject(body) ? body['drifters'] : undefined);
    if (machineIds.length > MAX_MACHINES_PER_RETURN) return { status: 400, body: { error: 'too many names' } };
    for (const id of machineIds) {
      const machine = typeof id === 'string' ? this.machines.get(id) : undefined;
      if (machine) this.removeMachine(machine);
    }
    return { status: 200, body: {} };
  }

  /** Removes a returned or reclaimed machine and bills it. */
  private removeMachine(machine: Machine): void {
    if (machine.fate === 'gone') return;
    const wasRunning = machine.fate === 'running';
    this.billToNow(machine);
    // A machine that is returned costs its first minute in any case.
    if (machine.fate !== 'failed') this.billUpTo(machine, machine.rentedAt + MIN_BILLED_MS);
    machine.fate = 'gone';
    machine.goneAt = this.runtime.now();
    const kind = machineKindKey(machine.type.name, machine.zone, machine.spot);
    this.usedCapacity.set(kind, (this.usedCapacity.get(kind) ?? 1) - 1);
    if (wasRunning) this.hooks.gone(machine);
    this.runtime.after(GONE_RETENTION_MS, () => this.machines.delete(machine.id));
  }

  /** Bills a machine up to now; after its failure nothing is billed. */
  private billToNow(machine: Machine): void {
    if (machine.fate === 'starting' || machine.fate === 'running') this.billUpTo(machine, this.runtime.now());
  }

  private billUpTo(machine: Machine, upTo: number): void {
    if (upTo <= machine.chargedTo) return;
    const { type, spot } = machine;
    const rate = spot ? (this.spotPrices.get(type.name) ?? type.spotPrice) : type.price;
    this.totalCost += ((upTo - machine.chargedTo) / 3_600_000) * rate;
    machine.chargedTo = upTo;
  }

  private updatePrices(): void {
    // Time before the change is billed at the old price.
    for (const machine of this.machines.values()) if (machine.spot) this.billToNow(machine);
    for (const { name, spotPrice } of this.config.types) {
      const next = (this.spotPrices.get(name) ?? spotPrice) * this.random.uniform(0.95, 1.05);
      this.spotPrices.set(name, Math.min((spotPrice * 4) / 3, Math.max((spotPrice * 2) / 3, next)));
    }
  }

  /**
   * Lists the machines as they were 0.3 to 1 times the lag ago, in one of ten cases up to twice the lag. A list can
   * therefore be older than the previous one.
   */
  private listMachines(query: URLSearchParams): JsonResponse {
    const after = query.get('after') ?? '';
    const maxEntries = Math.min(500, Math.max(1, Number(query.get('most') ?? 500) || 500));
    const lagMs = this.config.listLagS * 1000 * this.random.uniform(0.3, this.random.chance(0.1) ? 2 : 1);
    const asOf = this.runtime.now() - lagMs;
    const entries: unknown[] = [];
    let truncated = false;
    for (const machine of this.machines.values()) {
      const gone = machine.goneAt !== null && machine.goneAt <= asOf;
      // Once listed, a machine stays listed until it is gone, even if this list is older.
      if (machine.id <= after || gone || (!machine.listed && machine.rentedAt > asOf)) continue;
      if (entries.length >= maxEntries) {
        truncated = true;
        break;
      }
      machine.listed = true;
      const { id, address, type, zone, spot } = machine;
      const age_s = Math.max(0, asOf - machine.rentedAt) / 1000;
      const phase = this.listedPhaseAt(machine, asOf);
      entries.push({ ref: id, address, hull: type.name, berth: zone, flotsam: spot, phase, age_s });
    }
    return { status: 200, body: { drifters: entries, truncated } };
  }

  private listedPhaseAt(machine: Machine, asOf: number): string {
    if (machine.failedAt !== null && machine.failedAt + FAILURE_LISTING_DELAY_MS <= asOf) return 'failed';
    return machine.runningAt !== null && machine.runningAt <= asOf ? 'running' : 'starting';
  }
}
