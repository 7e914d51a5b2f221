import * as v from 'valibot';
import { readEvent, type Cursor, type Gap, type TraceRow } from '../store/index.js';

const page = v.object({
  node: v.string(),
  incarnation: v.pipe(v.string(), v.nonEmpty()),
  first: v.pipe(v.number(), v.safeInteger(), v.minValue(1)),
  next: v.pipe(v.number(), v.safeInteger(), v.minValue(1)),
  events: v.array(v.unknown()),
});

/** What one controller answered to the question for its trail. */
export type Page = Omit<v.InferOutput<typeof page>, 'events'> & { readonly events: readonly unknown[] };

export function readPage(body: unknown): Page | null {
  const result = v.safeParse(page, body);
  return result.success ? result.output : null;
}

export interface Step {
  readonly rows: readonly TraceRow[];
  readonly gaps: readonly Gap[];
  readonly cursor: Cursor;
  /** There is more to be read at once. */
  readonly more: boolean;
}

export const begin = (node: string): Cursor => ({ node, life: null, after: 0, lastAt: null, readToMs: null });

/**
 * Takes in one page: what is new, how far the reading has come, and what can't be had any more. `nowMs` is the
 * recorder's time of day when it asked.
 */
export function advance(cursor: Cursor, page: Page, nowMs: number): Step {
  const gaps: Gap[] = [];
  const { node } = cursor;
  const life = page.incarnation;
  let { after, lastAt } = cursor;
  if (cursor.life !== life) {
    // Numbers start anew with each life: asked after an old number, a new life may have nothing to say yet.
    const stale = cursor.life !== null && after > 0;
    if (cursor.life !== null) {
      // The first event of the new life is not later than the end of the old one's silence.
      const untilMs = stale ? null : firstTime(page);
      gaps.push({ node, life: cursor.life, why: 'ended', fromN: after + 1, toN: null, sinceMs: lastAt, untilMs });
    }
    [after, lastAt] = [0, null];
    if (stale) {
      const fresh: Cursor = { node, life, after: 0, lastAt: null, readToMs: cursor.readToMs };
      return { rows: [], gaps, cursor: fresh, more: true };
    }
  }
  const rows: TraceRow[] = [];
  for (const raw of page.events) {
    const row = readEvent(raw, node, life);
    if (!row) continue;
    // Asked twice, told twice.
    if (row.n <= after) continue;
    if (row.n > after + 1) {
      const why = page.first > after + 1 ? 'overrun' : 'malformed';
      gaps.push({ node, life, why, fromN: after + 1, toN: row.n - 1, sinceMs: lastAt, untilMs: row.at });
    }
    [after, lastAt] = [row.n, row.at];
    rows.push(row);
  }
  // Nothing of the page could be read, and asking again won't change that.
  if (rows.length === 0 && page.events.length > 0 && after + 1 < page.next) {
    const skipped = Math.min(page.next - 1, Math.max(after, page.first - 1) + page.events.length);
    gaps.push({ node, life, why: 'malformed', fromN: after + 1, toN: skipped, sinceMs: lastAt, untilMs: null });
    after = skipped;
  }
  const more = after + 1 < page.next;
  const readToMs = more ? cursor.readToMs : nowMs;
  return { rows, gaps, cursor: { node, life, after, lastAt, readToMs }, more };
}

function firstTime(page: Page): number | null {
  const first = page.events[0] as { readonly at?: unknown } | undefined;
  return typeof first?.at === 'number' ? first.at : null;
}

/** Gaps of the end: controllers that were not read up to it. */
export function unread(cursors: readonly Cursor[], recordedToMs: number, allowMs: number): Gap[] {
  return cursors
    .filter(({ readToMs }) => readToMs === null || recordedToMs - readToMs > allowMs)
    .map(({ node, life, after, lastAt }) => ({
      ...{ node, life, why: 'unread' as const, fromN: after + 1, toN: null, sinceMs: lastAt, untilMs: null },
    }));
}
