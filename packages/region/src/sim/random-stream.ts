import { randomExponential, randomLogNormal, randomPoisson, randomUniform } from 'd3-random';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** The 95th percentile of a standard normal distribution. */
const STANDARD_NORMAL_P95 = 1.6448536269514722;

/** Parameters of a log-normal distribution: half of the values lie below `median`, one in twenty above `p95`, none above `max`. */
export interface LogNormalParameters {
  readonly median: number;
  readonly p95: number;
  readonly max: number;
}

/** Derives a seed for a named stream with FNV-1a, so that additional draws from one stream do not change any other. */
function deriveSeed(seed: number, name: string): number {
  let hash = (seed ^ 0x811c9dc5) >>> 0;
  for (let i = 0; i < name.length; i++) hash = Math.imul(hash ^ name.charCodeAt(i), 0x01000193) >>> 0;
  return hash | 0;
}

/** A seeded stream of random numbers. The same seed and name give the same numbers on every machine. */
export class RandomStream {
  private readonly generator: RandomGenerator;
  private readonly uniformSource: () => number;

  constructor(
    private readonly seed: number,
    name = '',
  ) {
    const generator = xoroshiro128plus(deriveSeed(seed, name));
    this.generator = generator;
    this.uniformSource = () => uniformFloat64(generator);
  }

  /** Returns an independent stream whose seed is derived from this seed and a name. */
  fork(name: string): RandomStream {
    return new RandomStream(deriveSeed(this.seed, name), name);
  }

  /** Returns a uniformly distributed number from 0 to 1, 1 excluded. */
  next(): number {
    return uniformFloat64(this.generator);
  }

  /** Returns a uniformly distributed number from `low` to `high`, `high` excluded. */
  uniform(low: number, high: number): number {
    return randomUniform.source(this.uniformSource)(low, high)();
  }

  /** Returns true with the given probability. */
  chance(probability: number): boolean {
    return this.next() < probability;
  }

  /** Returns a uniformly distributed integer from 0 to `bound`, `bound` excluded. */
  integerBelow(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Returns an exponentially distributed number; 0 for a mean of 0 or less. */
  exponential(mean: number): number {
    return mean <= 0 ? 0 : randomExponential.source(this.uniformSource)(1 / mean)();
  }

  /** Returns a Poisson-distributed integer; 0 for a mean of 0 or less. */
  poisson(mean: number): number {
    return mean <= 0 ? 0 : randomPoisson.source(this.uniformSource)(mean)();
  }

  /** Returns a log-normally distributed number, given by median and 95th percentile and cut off at `max`. */
  logNormal({ median, p95, max }: LogNormalParameters): number {
    const sigma = Math.log(Math.max(p95, median) / median) / STANDARD_NORMAL_P95;
    return Math.min(max, randomLogNormal.source(this.uniformSource)(Math.log(median), sigma)());
  }

  /** Returns one element, each with the same probability; undefined for an empty list. */
  pickOne<T>(items: readonly T[]): T | undefined {
    return items[this.integerBelow(items.length)];
  }

  /** Draws up to `count` elements without replacement and returns them in the order drawn. */
  sample<T>(items: readonly T[], count: number): T[] {
    const remaining = [...items];
    const sampled: T[] = [];
    while (sampled.length < count && remaining.length > 0)
      sampled.push(...remaining.splice(this.integerBelow(remaining.length), 1));
    return sampled;
  }

  /** Returns an index with a probability proportional to its weight. */
  weightedIndex(weights: readonly number[]): number {
    let remaining = this.next() * weights.reduce((sum, w) => sum + w, 0);
    for (const [i, weight] of weights.entries()) {
      remaining -= weight;
      if (remaining < 0) return i;
    }
    return Math.max(0, weights.length - 1);
  }
}
