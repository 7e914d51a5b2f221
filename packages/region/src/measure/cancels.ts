/** Measures how long cancellations take from the view of users. */

import { build } from 'hdr-histogram-js';
import { Region, type RegionOptions } from '../region.js';
import { fleetDay } from './fleet-day.js';

/**
 * Calls back with every cancellation that a user has received an answer for, with the true times of the first request and of
 * the answer in milliseconds. Wraps the methods of the checker that see both.
 */
export function onCancelConfirmed(
  region: Region,
  onConfirmed: (ref: string, requestedAtMs: number, confirmedAtMs: number) => void,
): void {
  const { checker } = region.parts;
  const requestedAtByJob = new Map<string, number>();
  const [forwardAsked, forwardAnswered] = [checker.cancelAsked.bind(checker), checker.cancelAnswered.bind(checker)];
  checker.cancelAsked = (ref) => {
    requestedAtByJob.set(ref, region.now);
    forwardAsked(ref);
  };
  checker.cancelAnswered = (ref, status, phase, question) => {
    const requestedAt = requestedAtByJob.get(ref);
    if (status === 200 && phase === 'withdrawn' && requestedAt !== undefined && requestedAtByJob.delete(ref))
      onConfirmed(ref, requestedAt, region.now);
    forwardAnswered(ref, status, phase, question);
  };
}

/** How long users wait for the confirmation of a cancellation. */
export interface CancelMeasurement {
  readonly release: string;
  readonly machines: number;
  readonly seed: number;
  /** Number of confirmed cancellations. */
  readonly cancelled: number;
  /** Time from the first request of a user to the confirmation, retries included, in milliseconds. */
  readonly toldMs: { readonly p50: number; readonly p99: number };
  readonly breaches: number;
}

/** Measures how long users wait for the confirmation of a cancellation, on a day without faults. */
export async function measureCancels(
  machines: number,
  seed: number,
  release: string,
  releases?: RegionOptions['releases'],
): Promise<CancelMeasurement> {
  const day = fleetDay(machines, 90);
  const classes = day.classes.map((c) => (c.shape === 'array' ? { ...c, cancel_share: 0.5 } : c));
  const controllers = { ...day.controllers, releases: Array<string>(day.controllers.count).fill(release) };
  const region = new Region({ day: { ...day, classes, controllers }, seed, ...(releases ? { releases } : {}) });
  const confirmationMs = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000,
    numberOfSignificantValueDigits: 3,
  });
  onCancelConfirmed(region, (_ref, requestedAtMs, confirmedAtMs) =>
    confirmationMs.recordValue(Math.max(1, Math.round(confirmedAtMs - requestedAtMs))),
  );
  await region.play();
  const { breaches, defects } = region.close();
  return {
    ...{ release, machines, seed, cancelled: confirmationMs.totalCount },
    toldMs: { p50: confirmationMs.getValueAtPercentile(50), p99: confirmationMs.getValueAtPercentile(99) },
    breaches: breaches.length + defects.length,
  };
}
