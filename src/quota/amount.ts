import type { TeamFacts } from '../config/index.js';

/** An amount of what teams are limited in. */
export interface Amount {
  readonly cpus: number;
  readonly gpus: number;
}

export const NOTHING: Amount = { cpus: 0, gpus: 0 };

/** Sums of decimal amounts are compared with a little slack. */
const EPSILON = 1e-6;

const each = (a: Amount, b: Amount, of: (a: number, b: number) => number): Amount => ({
  cpus: of(a.cpus, b.cpus),
  gpus: of(a.gpus, b.gpus),
});

export const plus = (a: Amount, b: Amount): Amount => each(a, b, (x, y) => x + y);
/** What is left of `a` without `b`, never below nothing; what is endless stays so, whatever is taken from it. */
export const less = (a: Amount, b: Amount): Amount =>
  each(a, b, (x, y) => (x === Number.POSITIVE_INFINITY ? x : Math.max(0, x - y)));
export const smaller = (a: Amount, b: Amount): Amount => each(a, b, Math.min);
export const larger = (a: Amount, b: Amount): Amount => each(a, b, Math.max);
export const times = (a: Amount, factor: number): Amount => ({ cpus: a.cpus * factor, gpus: a.gpus * factor });

/** Is it a number of each? Tasks of unknown jobs may be of any size: what they use is endless. */
export const isFinite = ({ cpus, gpus }: Amount): boolean => Number.isFinite(cpus) && Number.isFinite(gpus);

/** Does `a` find room in `b`? */
export const within = (a: Amount, b: Amount): boolean => a.cpus <= b.cpus + EPSILON && a.gpus <= b.gpus + EPSILON;

export const isNothing = (a: Amount): boolean => within(a, NOTHING);

export const sum = (amounts: Iterable<Amount>): Amount => {
  let total = NOTHING;
  for (const amount of amounts) total = plus(total, amount);
  return total;
};

/** A team's limit; endless where it has none. null: it has none at all. */
export function limitOf(facts: Pick<TeamFacts, 'cpusMax' | 'gpusMax'> | undefined): Amount | null {
  if (!facts || (facts.cpusMax <= 0 && facts.gpusMax <= 0)) return null;
  const limit = (most: number): number => (most > 0 ? most : Number.POSITIVE_INFINITY);
  return { cpus: limit(facts.cpusMax), gpus: limit(facts.gpusMax) };
}

/** Without what is not limited: that is shared out to nobody and counts for nothing. */
export const counted = (limit: Amount, amount: Amount): Amount =>
  each(limit, amount, (most, x) => (Number.isFinite(most) ? x : 0));
