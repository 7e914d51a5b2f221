import { isObject, shardName, type ShardName } from '../kernel/index.js';
import { isForeign, unknownFields, type Fields } from '../state/index.js';
import { NOTHING, sum, type Amount } from './amount.js';

/** The newest version of a team's quota record that this program reads, and the one it writes. */
export const QUOTA_FORMAT = 1;
const KNOWN: ReadonlySet<string> = new Set(['shares']);

/**
 * How a team's limit is divided: so much of it each shard may use, whoever holds it. All shares of a team stand in one
 * record, so that every change of them is one guarded write of one value.
 */
export interface QuotaRecord {
  readonly shares: ReadonlyMap<ShardName, Amount>;
  /** What a later release has added to the record; it is kept. */
  readonly rest: Fields;
}

export const shareOf = ({ shares }: QuotaRecord, shard: ShardName): Amount => shares.get(shard) ?? NOTHING;
export const totalOf = ({ shares }: QuotaRecord): Amount => sum(shares.values());

const ROUNDED = 1e6;
const rounded = (n: number): number => Math.round(n * ROUNDED) / ROUNDED;

/** Shares of nothing are left out. */
export function encodeQuota({ shares, rest }: QuotaRecord): Fields {
  const stored: Record<string, readonly number[]> = {};
  for (const [shard, { cpus, gpus }] of [...shares].sort(([a], [b]) => (a < b ? -1 : 1)))
    if (rounded(cpus) > 0 || rounded(gpus) > 0) stored[shard] = [rounded(cpus), rounded(gpus)];
  return { ...rest, shares: stored };
}

/** 'foreign': of a later release, or damaged; nothing may be started on its strength. null: there is none. */
export function decodeQuota(value: unknown): QuotaRecord | 'foreign' | null {
  if (value === undefined) return null;
  if (!isObject(value) || isForeign(value, QUOTA_FORMAT) || !isObject(value['shares'])) return 'foreign';
  const shares = new Map<ShardName, Amount>();
  for (const [shard, stored] of Object.entries(value['shares'])) {
    const [cpus, gpus] = Array.isArray(stored) ? (stored as unknown[]) : [];
    if (typeof cpus !== 'number' || typeof gpus !== 'number' || !(cpus >= 0) || !(gpus >= 0)) return 'foreign';
    shares.set(shardName(shard), { cpus, gpus });
  }
  return { shares, rest: unknownFields(value, KNOWN) };
}
