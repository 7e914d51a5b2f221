import { DateTime, IANAZone } from 'luxon';
import { PlanError } from './read.js';
import type { Moment } from './schema.js';

/** The night's own span, and the zone in which its times of day are read. */
export interface NightSpan {
  readonly fromMs: number;
  readonly lengthS: number;
  readonly zone: string;
}

export function checkZone(zone: string): void {
  if (!IANAZone.isValidZone(zone))
    throw new PlanError(`time_zone: ${zone} is no time zone, such as Africa/Dar_es_Salaam`);
}

/** How far off a written time of day may lie before the night began, or after it ended. */
const AROUND_DAYS = [-1, 0, 1, 2];
const HOUR_MS = 3_600_000;

/**
 * Seconds since the night began. A time of day is looked for in the night; one that the clocks skip, or show
 * twice, is refused with what to write instead: guessing would move a batch by an hour.
 */
export function momentS(moment: Moment, span: NightSpan, what: string): number {
  if (typeof moment === 'number') return moment;
  const [hour = 0, minute = 0, second = 0] = moment.split(':').map(Number);
  if (hour > 23 || minute > 59 || second > 59) throw new PlanError(`${what}: ${moment} is no time of day`);
  const { fromMs, lengthS, zone } = span;
  const first = DateTime.fromMillis(fromMs, { zone });
  const found = new Set<number>();
  let skipped = false;
  for (const days of AROUND_DAYS) {
    const { year, month, day } = first.plus({ days });
    const at = DateTime.fromObject({ year, month, day, hour, minute, second }, { zone });
    if (at.hour !== hour || at.minute !== minute) {
      if (inside(at.toMillis(), span)) skipped = true;
      continue;
    }
    // The other of two hours that read the same, where clocks go back.
    for (const ms of [at.toMillis() - HOUR_MS, at.toMillis(), at.toMillis() + HOUR_MS]) {
      const same = DateTime.fromMillis(ms, { zone });
      if (same.hour === hour && same.minute === minute && same.day === at.day && inside(ms, span)) found.add(ms);
    }
  }
  const offsets = [...found].sort((a, b) => a - b).map((ms) => (ms - fromMs) / 1000);
  const [only] = offsets;
  if (only !== undefined && offsets.length === 1) return only;
  if (offsets.length > 1)
    throw new PlanError(
      `${what}: ${moment} comes ${offsets.length} times in this night; write ${offsets.join(' or ')} (seconds since it began)`,
    );
  const end = DateTime.fromMillis(fromMs + lengthS * 1000, { zone });
  if (skipped) throw new PlanError(`${what}: ${moment} does not exist in ${zone} that night: the clocks skip it`);
  throw new PlanError(
    `${what}: ${moment} is not in the night, which is ${first.toFormat('HH:mm:ss')} to ${end.toFormat('HH:mm:ss')} in ${zone}`,
  );
}

function inside(ms: number, { fromMs, lengthS }: NightSpan): boolean {
  // To the second, as times of day are written.
  return ms >= fromMs - 1000 && ms <= fromMs + lengthS * 1000;
}
