/** Divides a team's limit between shards. All functions are pure: controllers with the same input decide the same. */

import type { ShardName } from '../kernel/index.js';
import {
  limitedPart,
  isFiniteAmount,
  isZero,
  maxAmount,
  subtract,
  ZERO_AMOUNT,
  add,
  minAmount,
  sum,
  times,
  within,
  type Amount,
} from './amount.js';
import { shareOf, totalOf, type QuotaRecord } from './record.js';

/** What a shard's holder reports about one team. */
export interface TeamNeed {
  /** Resources of all tasks of the team that may be on the shard's machines. */
  readonly use: Amount;
  /** Resources that all waiting tasks of the team need together. */
  readonly waiting: Amount;
  /** Resources that must be available at once: those of one task, or of a whole gang. */
  readonly unit: Amount;
  /** Priority of the first job in the queue. */
  readonly priority: number;
  /** How long that job has waited. */
  readonly waitedMs: number;
}

/** The need of a team that uses nothing and waits for nothing. */
export const NO_NEED: TeamNeed = {
  use: ZERO_AMOUNT,
  waiting: ZERO_AMOUNT,
  unit: ZERO_AMOUNT,
  priority: 0,
  waitedMs: 0,
};

/** After this wait, everything that becomes free is kept for the waiting unit until it is enough. */
export const STARVED_AFTER_MS = 15_000;
/** The smallest transfer, as a fraction of the limit, unless the receiver can't start a single unit without it. */
export const MIN_TRANSFER_FRACTION = 0.05;

/** Extra share, as a fraction of the limit, that a receiver gets on top of what it needs, if the giver can spare it. */
export const HEADROOM_FRACTION = 0.12;

/** The need of one team by shard. */
type Needs = ReadonlyMap<ShardName, TeamNeed>;

/**
 * The shards where work of the team waits, by priority, then the longest waiting first. Shards with unknown use are
 * left out.
 */
function waitingByPriority(needs: Needs): [ShardName, TeamNeed][] {
  return [...needs]
    .filter(([, { use, waiting }]) => isFiniteAmount(use) && !isZero(waiting))
    .sort(([a, x], [b, y]) => y.priority - x.priority || y.waitedMs - x.waitedMs || (a < b ? -1 : 1));
}

/** How many whole units fit in `amount`; 0 for a unit of zero. */
export function unitsIn(amount: Amount, unit: Amount): number {
  const by = (have: number, need: number): number => (need <= 0 ? Number.POSITIVE_INFINITY : (have + 1e-6) / need);
  const count = Math.floor(Math.min(by(amount.cpus, unit.cpus), by(amount.gpus, unit.gpus)));
  return Number.isFinite(count) ? Math.max(0, count) : 0;
}

/**
 * The target division of a limit. Each shard gets what it uses; then, in queue order, each shard that waits gets one
 * unit, so that no gang starves because the limit is fragmented between shards; the rest is divided in proportion to
 * what else waits. A starved unit that does not fit yet takes all that is left, and nobody else gets anything. Pure:
 * equal input gives an equal result on every node.
 */
export function targetShares(limit: Amount, needs: Needs): Map<ShardName, Amount> {
  const targets = new Map([...needs].map(([shard, { use }]) => [shard, use] as const));
  let left = subtract(limit, sum(targets.values()));
  const give = (shard: ShardName, amount: Amount): void => {
    targets.set(shard, add(targets.get(shard) ?? ZERO_AMOUNT, amount));
    left = subtract(left, amount);
  };
  const remainders: { readonly shard: ShardName; readonly rest: Amount; readonly unit: Amount }[] = [];
  for (const [shard, { unit, waiting, waitedMs }] of waitingByPriority(needs)) {
    if (within(unit, left)) {
      give(shard, unit);
      remainders.push({ shard, rest: subtract(waiting, unit), unit });
    } else if (waitedMs >= STARVED_AFTER_MS) {
      give(shard, minAmount(unit, left));
      return targets;
    }
  }
  const all = sum(remainders.map(({ rest }) => rest));
  const part = (have: number, want: number): number => (want <= 0 ? 1 : Math.min(1, have / want));
  const factor = Math.min(part(left.cpus, all.cpus), part(left.gpus, all.gpus));
  for (const { shard, rest, unit } of remainders) give(shard, times(unit, unitsIn(times(rest, factor), unit)));
  return targets;
}

/** What a shard's holder bases a change of one team's shares on. */
export interface AllocationInput {
  readonly limit: Amount;
  readonly record: QuotaRecord;
  /** The shard whose holder decides. */
  readonly self: ShardName;
  /** The current use in that shard. */
  readonly use: Amount;
  /** The recent reports of all holders, including this one. */
  readonly needs: Needs;
  /** The account shard: it has the team's whole limit until the limit is divided. */
  readonly account: ShardName;
  /** Whether shares are being returned to the account shard. */
  readonly returning: boolean;
}

/** The part of a share that exceeds both the shard's use and its target. */
const surplusOf = (share: Amount, use: Amount, target: Amount): Amount => subtract(share, maxAmount(use, target));

/** Whether a transfer is worth a write: the receiver lacks even one unit, or the transfer reaches the minimum. */
function isWorthTransferring(moved: Amount, share: Amount, { use, unit }: TeamNeed, limit: Amount): boolean {
  if (isZero(moved)) return false;
  if (!within(unit, subtract(share, use))) return true;
  const part = (x: number, most: number): boolean => Number.isFinite(most) && x >= most * MIN_TRANSFER_FRACTION;
  return part(moved.cpus, limit.cpus) || part(moved.gpus, limit.gpus);
}

/**
 * What this shard transfers to shards below their target. Shards with a larger surplus give first; this one only covers
 * what their surplus doesn't.
 */
function planTransfers({ limit, record, self, use, needs }: AllocationInput): Map<ShardName, Amount> {
  const targets = targetShares(limit, new Map(needs).set(self, { ...(needs.get(self) ?? NO_NEED), use }));
  const lacking = waitingByPriority(needs)
    .map(([shard, need]) => ({
      shard,
      need,
      missing: subtract(targets.get(shard) ?? ZERO_AMOUNT, shareOf(record, shard)),
    }))
    .filter(({ shard, missing }) => shard !== self && !isZero(missing));
  const given = new Map<ShardName, Amount>();
  if (lacking.length === 0) return given;
  const surplus = (shard: ShardName): Amount =>
    surplusOf(
      shareOf(record, shard),
      shard === self ? use : (needs.get(shard)?.use ?? ZERO_AMOUNT),
      targets.get(shard) ?? ZERO_AMOUNT,
    );
  const own = surplus(self);
  const size = (a: Amount): number =>
    (Number.isFinite(limit.cpus) ? a.cpus / limit.cpus : 0) + (Number.isFinite(limit.gpus) ? a.gpus / limit.gpus : 0);
  let surplusAhead = ZERO_AMOUNT;
  for (const shard of record.shares.keys()) {
    if (shard === self) continue;
    const other = surplus(shard);
    if (size(other) > size(own) || (size(other) === size(own) && shard < self)) surplusAhead = add(surplusAhead, other);
  }
  let left = own;
  for (const { shard, need, missing } of lacking) {
    // Shards with a larger surplus give first: of two concurrent writes of one record, one fails.
    const due = subtract(missing, surplusAhead);
    surplusAhead = subtract(surplusAhead, missing);
    const moved = minAmount(due, left);
    if (!isWorthTransferring(moved, shareOf(record, shard), need, limit)) continue;
    given.set(shard, moved);
    left = subtract(left, moved);
  }
  // Headroom from what no shard lacks goes along, so that the receiver's next job has a share already.
  for (const [shard, amount] of given) {
    const more = minAmount(left, times(limitedPart(limit, limit), HEADROOM_FRACTION));
    given.set(shard, add(amount, more));
    left = subtract(left, more);
  }
  return given;
}

/** The record with some shares replaced; shares of zero are removed. */
const withShares = (record: QuotaRecord, changes: Iterable<readonly [ShardName, Amount]>): QuotaRecord => {
  const shares = new Map(record.shares);
  for (const [shard, amount] of changes) {
    if (isZero(amount)) shares.delete(shard);
    else shares.set(shard, amount);
  }
  return { ...record, shares };
};

/**
 * The next record of a team's shares as this shard's holder decides it; null if nothing changes. A holder lowers only
 * its own share, never below the use there, and raises other shares only by what it gives up. Only the account shard
 * takes the part of the limit that no shard has. Pure.
 */
export function nextShares(input: AllocationInput): QuotaRecord | null {
  const { limit, record, self, account, returning } = input;
  const use = limitedPart(limit, input.use);
  const share = shareOf(record, self);
  // Unknown use is infinite and can't be stored as a share, so nothing is declared as used and nothing is given away.
  if (!isFiniteAmount(use)) return null;
  // Use beyond the share comes from tasks that started before the limit was divided or lowered. The share is raised to
  // it, so that other holders take it into account.
  if (!within(use, share)) return withShares(record, [[self, maxAmount(use, share)]]);
  const total = totalOf(record);
  const excess = subtract(total, limitedPart(limit, limit));
  if (!isZero(excess)) {
    const kept = maxAmount(use, subtract(share, excess));
    return within(share, kept) ? null : withShares(record, [[self, kept]]);
  }
  if (self === account) {
    const free = subtract(limitedPart(limit, limit), total);
    if (!isZero(free)) return withShares(record, [[self, add(share, free)]]);
  }
  if (returning) {
    const spare = subtract(share, use);
    if (self === account || isZero(spare)) return null;
    return withShares(record, [
      [self, subtract(share, spare)],
      [account, add(shareOf(record, account), spare)],
    ]);
  }
  const given = planTransfers(input);
  if (given.size === 0) return null;
  const raised = [...given].map(([shard, amount]) => [shard, add(shareOf(record, shard), amount)] as const);
  return withShares(record, [[self, subtract(share, sum(given.values()))], ...raised]);
}

/**
 * The initial division of a team's limit: every other shard gets what is in use there, and the account shard gets the
 * rest. null while the use in another shard is unknown.
 */
export function initialShares(limit: Amount, account: ShardName, needs: Needs): QuotaRecord | null {
  const shares = new Map<ShardName, Amount>();
  let left = limitedPart(limit, limit);
  for (const [shard, { use }] of needs) {
    if (shard === account || isZero(use)) continue;
    if (!isFiniteAmount(use)) return null;
    shares.set(shard, use);
    left = subtract(left, use);
  }
  if (!isZero(left)) shares.set(account, left);
  return { shares, rest: {} };
}

/**
 * Why waiting work of a team does not start: tasks of unknown jobs may belong to the team ('unknown jobs'), no waiting
 * unit fits in what is left of its limit ('limit'), or only a shard's share is too small ('share').
 */
export type HeldBackBy = 'unknown jobs' | 'limit' | 'share';

/** For operators: why a team's work waits, according to the reports of all holders; null if none waits. Pure. */
export function heldBackBy(limit: Amount, needs: Needs): HeldBackBy | null {
  const all = [...needs.values()];
  const waiting = all.filter((need) => !isZero(need.waiting));
  if (waiting.length === 0) return null;
  const use = sum(all.map((need) => need.use));
  if (!isFiniteAmount(use)) return 'unknown jobs';
  const left = subtract(limit, use);
  return waiting.some(({ unit }) => within(unit, left)) ? 'share' : 'limit';
}

/**
 * How much of the limit a shard may use. While the shares add up to more than the limit (because it was lowered, or
 * tasks from before the division were found), every shard subtracts the whole excess from its own share. Pure.
 */
export function capOf(limit: Amount, record: QuotaRecord, shard: ShardName): Amount {
  const excess = subtract(totalOf(record), limitedPart(limit, limit));
  const cap = subtract(shareOf(record, shard), excess);
  return {
    cpus: Number.isFinite(limit.cpus) ? cap.cpus : Number.POSITIVE_INFINITY,
    gpus: Number.isFinite(limit.gpus) ? cap.gpus : Number.POSITIVE_INFINITY,
  };
}
