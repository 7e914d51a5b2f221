/** Arithmetic on amounts of the resources that team limits apply to. */

import type { TeamQuota } from '../config/index.js';

/** An amount of each resource that a team's limit can restrict. `Infinity`: unlimited, or unknown. */
export interface Amount {
  readonly cpus: number;
  readonly gpus: number;
}

/** Zero of every resource. */
export const ZERO_AMOUNT: Amount = { cpus: 0, gpus: 0 };

/** Tolerance for rounding errors when sums of decimal amounts are compared. */
const EPSILON = 1e-6;

/** Applies `of` to each resource of `a` and `b`. */
const combine = (a: Amount, b: Amount, of: (a: number, b: number) => number): Amount => ({
  cpus: of(a.cpus, b.cpus),
  gpus: of(a.gpus, b.gpus),
});

/** Adds two amounts. */
export const add = (a: Amount, b: Amount): Amount => combine(a, b, (x, y) => x + y);
/** Subtracts `b` from `a`, not below zero. An infinite resource of `a` stays infinite, also when `b` is infinite. */
export const subtract = (a: Amount, b: Amount): Amount =>
  combine(a, b, (x, y) => (x === Number.POSITIVE_INFINITY ? x : Math.max(0, x - y)));
/** The smaller value of each resource. */
export const minAmount = (a: Amount, b: Amount): Amount => combine(a, b, Math.min);
/** The larger value of each resource. */
export const maxAmount = (a: Amount, b: Amount): Amount => combine(a, b, Math.max);
/** Multiplies each resource by `factor`. */
export const times = (a: Amount, factor: number): Amount => ({ cpus: a.cpus * factor, gpus: a.gpus * factor });

/**
 * Whether every resource is finite. The use of a team is infinite while tasks of unknown jobs, which may be of any
 * size, run.
 */
export const isFiniteAmount = ({ cpus, gpus }: Amount): boolean => Number.isFinite(cpus) && Number.isFinite(gpus);

/** Whether `a` fits within `b`. */
export const within = (a: Amount, b: Amount): boolean => a.cpus <= b.cpus + EPSILON && a.gpus <= b.gpus + EPSILON;

/** Whether the amount is zero, within the tolerance. */
export const isZero = (a: Amount): boolean => within(a, ZERO_AMOUNT);

/** Adds up all amounts. */
export const sum = (amounts: Iterable<Amount>): Amount => {
  let total = ZERO_AMOUNT;
  for (const amount of amounts) total = add(total, amount);
  return total;
};

/** A team's limit, infinite for a resource without one; null if the team has no limit at all. */
export function limitOf(quota: Pick<TeamQuota, 'cpusMax' | 'gpusMax'> | undefined): Amount | null {
  if (!quota || (quota.cpusMax <= 0 && quota.gpusMax <= 0)) return null;
  const limit = (most: number): number => (most > 0 ? most : Number.POSITIVE_INFINITY);
  return { cpus: limit(quota.cpusMax), gpus: limit(quota.gpusMax) };
}

/** `amount` with the resources that `limit` does not restrict set to zero: they are not divided and not counted. */
export const limitedPart = (limit: Amount, amount: Amount): Amount =>
  combine(limit, amount, (most, x) => (Number.isFinite(most) ? x : 0));
