import { asArray, asNumber, asString, isObject, machineId, type MachineId } from '../kernel/index.js';

/** Request and response bodies of the cloud API, translated from and to the cloud's own field names. */

/** A type of machine for rent. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Size of the image cache. */
  readonly cacheGb: number;
  /** Image download rate. */
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  /** Time from the rental until the machine runs. */
  readonly bootS: number;
  /** Zones in which the type is offered. */
  readonly zones: readonly string[];
}

/** State of a rented machine. */
export type RentalPhase = 'booting' | 'running' | 'failed';

/** A rented machine. */
export interface Rental {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly phase: RentalPhase;
  /** Address of its worker; empty when the cloud names none. */
  readonly address: string;
  /** Time since the rental. */
  readonly ageS: number;
}

/** Decodes the machine types, skipping malformed ones; null when none is left. */
export function decodeMachineTypes(body: unknown): MachineType[] | null {
  if (!isObject(body) || !Array.isArray(body['hulls'])) return null;
  const types: MachineType[] = [];
  for (const item of asArray(body['hulls'])) {
    if (!isObject(item)) continue;
    const name = asString(item['sku']);
    const cpus = asNumber(item['vcpus']);
    const memoryGb = asNumber(item['ram_gb']);
    if (name === undefined || cpus === undefined || memoryGb === undefined) continue;
    const price = asNumber(item['rate']) ?? 1;
    types.push({
      name,
      cpus,
      gpus: asNumber(item['accelerators']) ?? 0,
      memoryGb,
      cacheGb: asNumber(item['cache_gb']) ?? 0,
      fetchGbPerS: Math.max(0.01, asNumber(item['fetch_gb_per_s']) ?? 1),
      price,
      spotPrice: asNumber(item['low_price']) ?? price,
      bootS: asNumber(item['startup_s']) ?? 30,
      zones: asArray(item['berths']).filter((z): z is string => typeof z === 'string'),
    });
  }
  return types.length > 0 ? types : null;
}

/**
 * Decodes a page of the machine list, skipping malformed entries; null when the page itself is malformed. An unknown
 * phase counts as running.
 */
export function decodeRentals(body: unknown): { rentals: Rental[]; more: boolean } | null {
  if (!isObject(body) || !Array.isArray(body['drifters'])) return null;
  const rentals: Rental[] = [];
  for (const item of asArray(body['drifters'])) {
    if (!isObject(item)) continue;
    const id = asString(item['ref']);
    const type = asString(item['hull']);
    const zone = asString(item['berth']);
    const phase = asString(item['phase']);
    if (id === undefined || type === undefined || zone === undefined) continue;
    rentals.push({
      id: machineId(id),
      type,
      zone,
      spot: item['flotsam'] === true,
      phase: phase === 'starting' ? 'booting' : phase === 'failed' ? 'failed' : 'running',
      address: asString(item['address']) ?? '',
      ageS: asNumber(item['age_s']) ?? 0,
    });
  }
  return { rentals, more: body['truncated'] === true };
}

/** A request to rent machines of one type in one zone. */
export interface RentRequest {
  /** Name of the request, unique among all nodes and never reused. */
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Number of machines. */
  readonly count: number;
}

/** Encodes a request to rent machines. */
export const encodeRentRequest = (r: RentRequest): unknown => ({
  charter: r.name,
  hull: r.type,
  berth: r.zone,
  flotsam: r.spot,
  number: r.count,
});

/** Decodes the ids of newly rented machines; null when the body is malformed. */
export function decodeRentedIds(body: unknown): MachineId[] | null {
  if (!isObject(body) || !Array.isArray(body['drifters'])) return null;
  return asArray(body['drifters'])
    .filter((id): id is string => typeof id === 'string')
    .map(machineId);
}

/** Encodes a request to return machines. */
export const encodeReturnRequest = (ids: readonly MachineId[]): unknown => ({ drifters: ids });

/** True for the error body that reports a lack of capacity. */
export const isNoCapacity = (body: unknown): boolean => isObject(body) && body['error'] === 'no capacity';

/** URL paths of the cloud API. */
export const cloudPaths = {
  types: '/machine_types',
  rentals: '/rentals',
  giveBack: '/rentals/return',
  /** A page of up to 500 rentals after the given machine id; the empty id selects the first page. */
  list: (after: string): string => `/rentals?most=500${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`,
};
