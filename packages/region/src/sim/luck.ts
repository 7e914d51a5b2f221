import { randomExponential, randomLogNormal, randomPoisson, randomUniform } from 'd3-random';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** The 95th percentile of a standard normal distribution. */
const Z95 = 1.6448536269514722;

/** Numbers spread like this: half lie below `median`, one in twenty above `p95`, none above `max`. */
export interface Spread {
  readonly median: number;
  readonly p95: number;
  readonly max: number;
}

/** FNV-1a: gives each model's stream a seed of its own, so that one that draws more changes no other. */
function mix(seed: number, name: string): number {
  let hash = (seed ^ 0x811c9dc5) >>> 0;
  for (let i = 0; i < name.length; i++) hash = Math.imul(hash ^ name.charCodeAt(i), 0x01000193) >>> 0;
  return hash | 0;
}

/** A seeded stream of luck. The same seed and name give the same draws on any machine. */
export class Luck {
  private readonly generator: RandomGenerator;
  private readonly source: () => number;

  constructor(
    private readonly seed: number,
    name = '',
  ) {
    const generator = xoroshiro128plus(mix(seed, name));
    this.generator = generator;
    this.source = () => uniformFloat64(generator);
  }

  /** A stream of its own, by name. */
  fork(name: string): Luck {
    return new Luck(mix(this.seed, name), name);
  }

  /** Evenly between 0 and 1, 1 excluded. */
  next(): number {
    return uniformFloat64(this.generator);
  }

  between(low: number, high: number): number {
    return randomUniform.source(this.source)(low, high)();
  }

  chance(share: number): boolean {
    return this.next() < share;
  }

  whole(below: number): number {
    return Math.floor(this.next() * below);
  }

  exponential(mean: number): number {
    return mean <= 0 ? 0 : randomExponential.source(this.source)(1 / mean)();
  }

  poisson(mean: number): number {
    return mean <= 0 ? 0 : randomPoisson.source(this.source)(mean)();
  }

  /** Log-normal by its median and 95th percentile, cut off at `max`. */
  spread({ median, p95, max }: Spread): number {
    const sigma = Math.log(Math.max(p95, median) / median) / Z95;
    return Math.min(max, randomLogNormal.source(this.source)(Math.log(median), sigma)());
  }

  pick<T>(from: readonly T[]): T | undefined {
    return from[this.whole(from.length)];
  }

  /** So many of them, each at most once, in the order drawn. */
  some<T>(from: readonly T[], count: number): T[] {
    const rest = [...from];
    const chosen: T[] = [];
    while (chosen.length < count && rest.length > 0) chosen.push(...rest.splice(this.whole(rest.length), 1));
    return chosen;
  }

  /** An index by weight. */
  weighted(weights: readonly number[]): number {
    let at = this.next() * weights.reduce((sum, w) => sum + w, 0);
    for (const [i, weight] of weights.entries()) {
      at -= weight;
      if (at < 0) return i;
    }
    return Math.max(0, weights.length - 1);
  }
}
