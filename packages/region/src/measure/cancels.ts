import { build } from 'hdr-histogram-js';
import { Region, type RegionOptions } from '../region.js';
import { fleetDay } from './fleet.js';

/** Calls back with every cancellation that a user was told of, with true times in milliseconds. */
export function onCancelled(region: Region, told: (ref: string, askedAt: number, toldAt: number) => void): void {
  const { checker } = region.parts;
  const asked = new Map<string, number>();
  const [ask, answer] = [checker.cancelAsked.bind(checker), checker.cancelAnswered.bind(checker)];
  checker.cancelAsked = (ref) => {
    asked.set(ref, region.now);
    ask(ref);
  };
  checker.cancelAnswered = (ref, status, phase, question) => {
    const askedAt = asked.get(ref);
    if (status === 200 && phase === 'withdrawn' && askedAt !== undefined && asked.delete(ref))
      told(ref, askedAt, region.now);
    answer(ref, status, phase, question);
  };
}

export interface Cancels {
  readonly release: string;
  readonly machines: number;
  readonly seed: number;
  readonly cancelled: number;
  /** From a user's request to the answer that it is cancelled, repeats included, in milliseconds. */
  readonly toldMs: { readonly p50: number; readonly p99: number };
  readonly breaches: number;
}

/** How long users wait until they are told that a job is cancelled, on a day without troubles. */
export async function measureCancels(
  machines: number,
  seed: number,
  release: string,
  releases?: RegionOptions['releases'],
): Promise<Cancels> {
  const day = fleetDay(machines, 90);
  const classes = day.classes.map((c) => (c.shape === 'array' ? { ...c, cancel_share: 0.5 } : c));
  const controllers = { ...day.controllers, releases: Array<string>(day.controllers.count).fill(release) };
  const region = new Region({ day: { ...day, classes, controllers }, seed, ...(releases ? { releases } : {}) });
  const waits = build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3 });
  onCancelled(region, (_ref, askedAt, toldAt) => waits.recordValue(Math.max(1, Math.round(toldAt - askedAt))));
  await region.play();
  const { breaches, defects } = region.close();
  return {
    ...{ release, machines, seed, cancelled: waits.totalCount },
    toldMs: { p50: waits.getValueAtPercentile(50), p99: waits.getValueAtPercentile(99) },
    breaches: breaches.length + defects.length,
  };
}
