import { DateTime, IANAZone } from 'luxon';
import { PlanError } from './read-plan.js';
import type { Moment } from './plan-schema.js';

/** The time span of a night, and the time zone in which the plan's times of day are read. */
export interface NightSpan {
  readonly fromMs: number;
  readonly lengthS: number;
  readonly zone: string;
}

/** Throws a PlanError if the name is not an IANA time zone. */
export function validateTimeZone(zone: string): void {
  if (!IANAZone.isValidZone(zone))
    throw new PlanError(`time_zone: ${zone} is not a valid time zone (example: Africa/Dar_es_Salaam)`);
}

/** Days searched for a time of day, relative to the calendar day on which the night began. */
const SEARCHED_DAY_OFFSETS = [-1, 0, 1, 2];
const HOUR_MS = 3_600_000;

/**
 * Converts a moment of a plan into seconds since the night began. A time of day must occur exactly once in the night.
 * If a clock change skips it or repeats it, a PlanError names the field (`path`) and, for a repeated time, the values
 * to write instead: a guess could shift a batch of jobs by an hour.
 */
export function parseMomentS(moment: Moment, span: NightSpan, path: string): number {
  if (typeof moment === 'number') return moment;
  const [hour = 0, minute = 0, second = 0] = moment.split(':').map(Number);
  if (hour > 23 || minute > 59 || second > 59) throw new PlanError(`${path}: ${moment} is not a valid time of day`);
  const { fromMs, lengthS, zone } = span;
  const begin = DateTime.fromMillis(fromMs, { zone });
  const matchesMs = new Set<number>();
  let skipped = false;
  for (const days of SEARCHED_DAY_OFFSETS) {
    const { year, month, day } = begin.plus({ days });
    const at = DateTime.fromObject({ year, month, day, hour, minute, second }, { zone });
    if (at.hour !== hour || at.minute !== minute) {
      if (isWithinNight(at.toMillis(), span)) skipped = true;
      continue;
    }
    // When clocks go back, the same time of day also occurs an hour earlier or later.
    for (const ms of [at.toMillis() - HOUR_MS, at.toMillis(), at.toMillis() + HOUR_MS]) {
      const candidate = DateTime.fromMillis(ms, { zone });
      if (candidate.hour === hour && candidate.minute === minute && candidate.day === at.day && isWithinNight(ms, span))
        matchesMs.add(ms);
    }
  }
  const offsetsS = [...matchesMs].sort((a, b) => a - b).map((ms) => (ms - fromMs) / 1000);
  const [firstS] = offsetsS;
  if (firstS !== undefined && offsetsS.length === 1) return firstS;
  if (offsetsS.length > 1)
    throw new PlanError(
      `${path}: ${moment} occurs ${offsetsS.length} times in this night; write ${offsetsS.join(' or ')} (seconds since the night began)`,
    );
  const end = DateTime.fromMillis(fromMs + lengthS * 1000, { zone });
  if (skipped) throw new PlanError(`${path}: ${moment} does not exist in ${zone} that night: a clock change skips it`);
  throw new PlanError(
    `${path}: ${moment} is outside the night, which lasts from ${begin.toFormat('HH:mm:ss')} to ${end.toFormat('HH:mm:ss')} in ${zone}`,
  );
}

/** Whether a time in milliseconds since the epoch lies in the night. */
function isWithinNight(ms: number, { fromMs, lengthS }: NightSpan): boolean {
  // Times of day are written in whole seconds, so the second in which the night begins is accepted.
  return ms >= fromMs - 1000 && ms <= fromMs + lengthS * 1000;
}
