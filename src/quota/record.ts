/** The stored record of a team's shares. */

import { isObject, shardName, type ShardName } from '../kernel/index.js';
import { isNewerFormat, unknownFields, type RecordFields } from '../state/index.js';
import { ZERO_AMOUNT, sum, type Amount } from './amount.js';

/** The newest format version of a team's quota record that this release reads, and the one that it writes. */
export const QUOTA_FORMAT = 1;
/** Fields of the record that this release understands. */
const KNOWN_FIELDS: ReadonlySet<string> = new Set(['shares']);

/**
 * How a team's limit is divided: the amount that each shard may use, whichever node holds the shard. All shares of a
 * team are in one record, so that every change of them is a single compare-and-swap.
 */
export interface QuotaRecord {
  readonly shares: ReadonlyMap<ShardName, Amount>;
  /** Fields added by a later release; they are written back unchanged. */
  readonly rest: RecordFields;
}

/** A shard's share; zero if it has none. */
export const shareOf = ({ shares }: QuotaRecord, shard: ShardName): Amount => shares.get(shard) ?? ZERO_AMOUNT;
/** The sum of all shares. */
export const totalOf = ({ shares }: QuotaRecord): Amount => sum(shares.values());

const ROUNDING_STEPS_PER_UNIT = 1e6;
/** Rounds an amount to the precision in which it is stored. */
const rounded = (n: number): number => Math.round(n * ROUNDING_STEPS_PER_UNIT) / ROUNDING_STEPS_PER_UNIT;

/** Encodes a record for storage; shares of zero are left out. */
export function encodeQuota({ shares, rest }: QuotaRecord): RecordFields {
  const stored: Record<string, readonly number[]> = {};
  for (const [shard, { cpus, gpus }] of [...shares].sort(([a], [b]) => (a < b ? -1 : 1)))
    if (rounded(cpus) > 0 || rounded(gpus) > 0) stored[shard] = [rounded(cpus), rounded(gpus)];
  return { ...rest, shares: stored };
}

/**
 * Decodes a stored record. 'foreign': written by a later release, or damaged, so nothing may be started under it. null:
 * no record.
 */
export function decodeQuota(value: unknown): QuotaRecord | 'foreign' | null {
  if (value === undefined) return null;
  if (!isObject(value) || isNewerFormat(value, QUOTA_FORMAT) || !isObject(value['shares'])) return 'foreign';
  const shares = new Map<ShardName, Amount>();
  for (const [shard, stored] of Object.entries(value['shares'])) {
    const [cpus, gpus] = Array.isArray(stored) ? (stored as unknown[]) : [];
    if (typeof cpus !== 'number' || typeof gpus !== 'number' || !(cpus >= 0) || !(gpus >= 0)) return 'foreign';
    shares.set(shardName(shard), { cpus, gpus });
  }
  return { shares, rest: unknownFields(value, KNOWN_FIELDS) };
}
