import type { ShardName } from '../kernel/index.js';
import {
  counted,
  isFinite,
  isNothing,
  larger,
  less,
  NOTHING,
  plus,
  smaller,
  sum,
  times,
  within,
  type Amount,
} from './amount.js';
import { shareOf, totalOf, type QuotaRecord } from './record.js';

/** What a shard's holder says of a team. */
export interface TeamNeed {
  /** Everything of the team's that may be on the shard's machines. */
  readonly use: Amount;
  /** What its waiting tasks take, all together, and what has to be there at once: a task, or a whole gang. */
  readonly waiting: Amount;
  readonly unit: Amount;
  /** Of the job that goes first. */
  readonly priority: number;
  readonly waitedMs: number;
}

export const NO_NEED: TeamNeed = { use: NOTHING, waiting: NOTHING, unit: NOTHING, priority: 0, waitedMs: 0 };

/** A unit that has waited for so long keeps what comes free for itself, until it is enough. */
export const STARVED_MS = 15_000;
/** A share is moved for no less than this part of the limit, but where the receiver could start nothing without it. */
export const LEAST_MOVED = 0.05;

/** Whoever is given a share is given so much of the limit more, where it can be spared. */
export const HEADROOM = 0.12;

type Needs = ReadonlyMap<ShardName, TeamNeed>;

/** Who goes first: by priority, then the longest waiting. */
function inOrder(needs: Needs): [ShardName, TeamNeed][] {
  return [...needs]
    .filter(([, { use, waiting }]) => isFinite(use) && !isNothing(waiting))
    .sort(([a, x], [b, y]) => y.priority - x.priority || y.waitedMs - x.waitedMs || (a < b ? -1 : 1));
}

/** How often a unit fits, as a whole number; 0 for a unit of nothing. */
export function unitsIn(amount: Amount, unit: Amount): number {
  const by = (have: number, need: number): number => (need <= 0 ? Number.POSITIVE_INFINITY : (have + 1e-6) / need);
  const count = Math.floor(Math.min(by(amount.cpus, unit.cpus), by(amount.gpus, unit.gpus)));
  return Number.isFinite(count) ? Math.max(0, count) : 0;
}

/**
 * How a limit should lie: each shard has what it uses; then each that waits has one unit, the first first, so that no
 * gang starves because shares lie scattered; what is left goes by what waits. Pure, the same for everybody who knows the same.
 */
export function wantedShares(limit: Amount, needs: Needs): Map<ShardName, Amount> {
  const wanted = new Map([...needs].map(([shard, { use }]) => [shard, use] as const));
  let left = less(limit, sum(wanted.values()));
  const give = (shard: ShardName, amount: Amount): void => {
    wanted.set(shard, plus(wanted.get(shard) ?? NOTHING, amount));
    left = less(left, amount);
  };
  const rests: { readonly shard: ShardName; readonly rest: Amount; readonly unit: Amount }[] = [];
  for (const [shard, { unit, waiting, waitedMs }] of inOrder(needs)) {
    if (within(unit, left)) {
      give(shard, unit);
      rests.push({ shard, rest: less(waiting, unit), unit });
    } else if (waitedMs >= STARVED_MS) {
      give(shard, smaller(unit, left));
      return wanted;
    }
  }
  const all = sum(rests.map(({ rest }) => rest));
  const part = (have: number, want: number): number => (want <= 0 ? 1 : Math.min(1, have / want));
  const factor = Math.min(part(left.cpus, all.cpus), part(left.gpus, all.gpus));
  for (const { shard, rest, unit } of rests) give(shard, times(unit, unitsIn(times(rest, factor), unit)));
  return wanted;
}

export interface TeamShares {
  readonly limit: Amount;
  readonly record: QuotaRecord;
  /** The shard whose holder decides, and its use as it is at this moment. */
  readonly self: ShardName;
  readonly use: Amount;
  /** What all holders have said lately, this one included. */
  readonly needs: Needs;
  /** The shard that has the team's whole limit before anything is shared. */
  readonly account: ShardName;
  /** What is shared goes back to that shard. */
  readonly returning: boolean;
}

/** Of what a shard has, how much it does not want itself. */
const surplusOf = (share: Amount, use: Amount, wanted: Amount): Amount => less(share, larger(use, wanted));

/** Is it worth a write to move this much to a shard? */
function worthMoving(moved: Amount, share: Amount, { use, unit }: TeamNeed, limit: Amount): boolean {
  if (isNothing(moved)) return false;
  if (!within(unit, less(share, use))) return true;
  const part = (x: number, most: number): boolean => Number.isFinite(most) && x >= most * LEAST_MOVED;
  return part(moved.cpus, limit.cpus) || part(moved.gpus, limit.gpus);
}

/** What this shard gives to others that want more than they have, while those with a larger surplus don't have enough. */
function gifts({ limit, record, self, use, needs }: TeamShares): Map<ShardName, Amount> {
  const wanted = wantedShares(limit, new Map(needs).set(self, { ...(needs.get(self) ?? NO_NEED), use }));
  const lacking = inOrder(needs)
    .map(([shard, need]) => ({ shard, need, missing: less(wanted.get(shard) ?? NOTHING, shareOf(record, shard)) }))
    .filter(({ shard, missing }) => shard !== self && !isNothing(missing));
  const given = new Map<ShardName, Amount>();
  if (lacking.length === 0) return given;
  const surplus = (shard: ShardName): Amount =>
    surplusOf(
      shareOf(record, shard),
      shard === self ? use : (needs.get(shard)?.use ?? NOTHING),
      wanted.get(shard) ?? NOTHING,
    );
  const own = surplus(self);
  const size = (a: Amount): number =>
    (Number.isFinite(limit.cpus) ? a.cpus / limit.cpus : 0) + (Number.isFinite(limit.gpus) ? a.gpus / limit.gpus : 0);
  let before = NOTHING;
  for (const shard of record.shares.keys()) {
    if (shard === self) continue;
    const other = surplus(shard);
    if (size(other) > size(own) || (size(other) === size(own) && shard < self)) before = plus(before, other);
  }
  let left = own;
  for (const { shard, need, missing } of lacking) {
    // Those with more to spare give first: two writes of one record at once cost one of them.
    const due = less(missing, before);
    before = less(before, missing);
    const moved = smaller(due, left);
    if (!worthMoving(moved, shareOf(record, shard), need, limit)) continue;
    given.set(shard, moved);
    left = less(left, moved);
  }
  // What nobody lacks goes along, so that the next job there finds a share already.
  for (const [shard, amount] of given) {
    const more = smaller(left, times(counted(limit, limit), HEADROOM));
    given.set(shard, plus(amount, more));
    left = less(left, more);
  }
  return given;
}

const withShares = (record: QuotaRecord, changes: Iterable<readonly [ShardName, Amount]>): QuotaRecord => {
  const shares = new Map(record.shares);
  for (const [shard, amount] of changes) {
    if (isNothing(amount)) shares.delete(shard);
    else shares.set(shard, amount);
  }
  return { ...record, shares };
};

/**
 * What a shard's holder makes of a team's shares; null: nothing changes. It lowers only its own share, never below what is in
 * use there, and raises others' only by what it gives; only the account's shard takes up what nobody has. Pure.
 */
export function nextShares(at: TeamShares): QuotaRecord | null {
  const { limit, record, self, account, returning } = at;
  const use = counted(limit, at.use);
  const share = shareOf(record, self);
  // What is not known is neither given away nor said to be in use: endless, it would be no share any more.
  if (!isFinite(use)) return null;
  // In use though it has no share: tasks from before limits were shared, or lowered. It is said, so that others heed it.
  if (!within(use, share)) return withShares(record, [[self, larger(use, share)]]);
  const total = totalOf(record);
  const beyond = less(total, counted(limit, limit));
  if (!isNothing(beyond)) {
    const kept = larger(use, less(share, beyond));
    return within(share, kept) ? null : withShares(record, [[self, kept]]);
  }
  if (self === account) {
    const free = less(counted(limit, limit), total);
    if (!isNothing(free)) return withShares(record, [[self, plus(share, free)]]);
  }
  if (returning) {
    const spare = less(share, use);
    if (self === account || isNothing(spare)) return null;
    return withShares(record, [
      [self, less(share, spare)],
      [account, plus(shareOf(record, account), spare)],
    ]);
  }
  const given = gifts(at);
  if (given.size === 0) return null;
  const raised = [...given].map(([shard, amount]) => [shard, plus(shareOf(record, shard), amount)] as const);
  return withShares(record, [[self, less(share, sum(given.values()))], ...raised]);
}

/**
 * The first division of a team's limit: what is in use elsewhere belongs to the shards where it is, all the rest to the
 * account's shard. null: its own use does not fit beside that yet.
 */
export function firstShares(limit: Amount, account: ShardName, needs: Needs): QuotaRecord | null {
  const shares = new Map<ShardName, Amount>();
  let left = counted(limit, limit);
  for (const [shard, { use }] of needs) {
    if (shard === account || isNothing(use)) continue;
    if (!isFinite(use)) return null;
    shares.set(shard, use);
    left = less(left, use);
  }
  if (!isNothing(left)) shares.set(account, left);
  return { shares, rest: {} };
}

/** Why work of a team that has room does not start: what keeps it back; null: nothing waits. */
export type HeldBackBy = 'unknown jobs' | 'limit' | 'share';

/** For operators: what keeps a team's work back, by what all holders have said. Pure. */
export function heldBackBy(limit: Amount, needs: Needs): HeldBackBy | null {
  const all = [...needs.values()];
  const waiting = all.filter((need) => !isNothing(need.waiting));
  if (waiting.length === 0) return null;
  const use = sum(all.map((need) => need.use));
  if (!isFinite(use)) return 'unknown jobs';
  const left = less(limit, use);
  return waiting.some(({ unit }) => within(unit, left)) ? 'share' : 'limit';
}

/**
 * Up to where a shard may use the limit. While the shares together are more than it (it was lowered, or tasks from before
 * were found), every shard keeps back all that is too much. Pure.
 */
export function capOf(limit: Amount, record: QuotaRecord, shard: ShardName): Amount {
  const beyond = less(totalOf(record), counted(limit, limit));
  const cap = less(shareOf(record, shard), beyond);
  return {
    cpus: Number.isFinite(limit.cpus) ? cap.cpus : Number.POSITIVE_INFINITY,
    gpus: Number.isFinite(limit.gpus) ? cap.gpus : Number.POSITIVE_INFINITY,
  };
}
