import { asList, asNumber, asString, isObject, machineId, type MachineId } from '../kernel/index.js';

/** The cloud's words. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

export type RentalPhase = 'booting' | 'running' | 'failed';

export interface Rental {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly phase: RentalPhase;
  readonly ageS: number;
}

export function decodeTypes(body: unknown): MachineType[] | null {
  if (!isObject(body) || !Array.isArray(body['hulls'])) return null;
  const types: MachineType[] = [];
  for (const item of asList(body['hulls'])) {
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
      zones: asList(item['berths']).filter((z): z is string => typeof z === 'string'),
    });
  }
  return types.length > 0 ? types : null;
}

export function decodeRentals(body: unknown): { rentals: Rental[]; more: boolean } | null {
  if (!isObject(body) || !Array.isArray(body['drifters'])) return null;
  const rentals: Rental[] = [];
  for (const item of asList(body['drifters'])) {
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
      ageS: asNumber(item['age_s']) ?? 0,
    });
  }
  return { rentals, more: body['truncated'] === true };
}

export interface RentRequest {
  /** Never used twice, not even by another node. */
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

export const encodeRent = (r: RentRequest): unknown => ({
  charter: r.name,
  hull: r.type,
  berth: r.zone,
  flotsam: r.spot,
  number: r.count,
});

export function decodeRented(body: unknown): MachineId[] | null {
  if (!isObject(body) || !Array.isArray(body['drifters'])) return null;
  return asList(body['drifters'])
    .filter((id): id is string => typeof id === 'string')
    .map(machineId);
}

export const encodeReturn = (ids: readonly MachineId[]): unknown => ({ drifters: ids });

export const isNoCapacity = (body: unknown): boolean => isObject(body) && body['error'] === 'no capacity';

export const paths = {
  types: '/machine_types',
  rentals: '/rentals',
  giveBack: '/rentals/return',
  list: (after: string): string => `/rentals?most=500${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`,
};
