/** Measures chains of dependent jobs. */

import { build } from 'hdr-histogram-js';
import type { SimulationScenario } from '../scenario/index.js';
import { Region, type RegionOptions } from '../region.js';

/** Delays within chains of jobs, and the changes that storing a day takes. */
export interface ChainMeasurement {
  readonly day: string;
  readonly seed: number;
  /** Jobs that waited for other jobs and have started. */
  readonly steps: number;
  /** Time from the last final state that a job waited for to the first start of one of its tasks, in seconds. */
  readonly finalToStartS: { readonly p50: number; readonly p99: number };
  /** Longest time from the cancelled state of a job to the cancelled state of a job that waits for it, in seconds; null if none did. */
  readonly cancelledWithinS: number | null;
  /** Changes of the state service per second, by kind of key. */
  readonly changesPerS: Readonly<Record<string, number>>;
  /** Largest stored value in bytes, by kind of key. */
  readonly longestValue: Readonly<Record<string, number>>;
  readonly breaches: number;
}

/** Kind of a state key: the part after `live/`, or `finals`. */
const keyKind = (key: string): string => (key.startsWith('live/') ? (key.split('/')[1] ?? key) : 'finals');

/** Measures how soon the jobs of a chain follow each other, and how much a day changes in the state service. */
export async function measureChains(
  day: SimulationScenario,
  seed: number,
  releases?: RegionOptions['releases'],
): Promise<ChainMeasurement> {
  const finalsByJob = new Map<string, { readonly at: number; readonly cancelled: boolean }>();
  const firstStartedAtMs = new Map<string, number>();
  const changesByKind: Record<string, number> = {};
  const longestValue: Record<string, number> = {};
  const region = new Region({
    day,
    seed,
    ...(releases ? { releases } : {}),
    event: (line) => {
      const [at, what, task] = line.split(' ');
      const ref = task?.split('/')[0];
      if (what === 'on' && ref !== undefined && !firstStartedAtMs.has(ref)) firstStartedAtMs.set(ref, Number(at));
    },
  });
  region.parts.state.wrote = (key, value) => {
    const kind = keyKind(key);
    changesByKind[kind] = (changesByKind[kind] ?? 0) + 1;
    if (value !== undefined)
      longestValue[kind] = Math.max(longestValue[kind] ?? 0, Buffer.byteLength(JSON.stringify(value)));
    if (kind !== 'finals') return;
    const cancelled = (value as { phase?: string } | undefined)?.phase === 'cancelled';
    finalsByJob.set(key.slice('finals/'.length), { at: region.now, cancelled });
  };
  await region.play();
  const finalToStartMs = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000,
    numberOfSignificantValueDigits: 3,
  });
  let cancelledWithinS: number | null = null;
  for (const { spec } of region.parts.jobs.all) {
    const requiredFinals = (spec.awaits ?? []).flatMap((id) => finalsByJob.get(id) ?? []);
    const lastFinalMs = Math.max(...requiredFinals.map(({ at }) => at));
    const startedAtMs = firstStartedAtMs.get(spec.ref);
    if (requiredFinals.length > 0 && startedAtMs !== undefined)
      finalToStartMs.recordValue(Math.max(1, Math.round(startedAtMs - lastFinalMs)));
    const cancelledFinal = requiredFinals.find(({ cancelled }) => cancelled);
    const ownFinal = finalsByJob.get(spec.ref);
    if (cancelledFinal && ownFinal?.cancelled === true)
      cancelledWithinS = Math.max(cancelledWithinS ?? 0, Math.round(ownFinal.at - cancelledFinal.at) / 1000);
  }
  const result = region.close();
  const percentileS = (percentile: number): number => finalToStartMs.getValueAtPercentile(percentile) / 1000;
  const ratesPerS = Object.entries(changesByKind).map(([kind, count]) => [
    kind,
    Math.round((count / result.simulatedS) * 100) / 100,
  ]);
  return {
    ...{
      day: day.name,
      seed,
      steps: finalToStartMs.totalCount,
      finalToStartS: { p50: percentileS(50), p99: percentileS(99) },
    },
    ...{ cancelledWithinS, changesPerS: Object.fromEntries(ratesPerS) as Record<string, number>, longestValue },
    breaches: result.breaches.length + result.defects.length,
  };
}
