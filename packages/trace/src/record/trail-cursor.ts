import * as v from 'valibot';
import { parseEvent, type Cursor, type Gap, type TraceRow } from '../store/index.js';

const trailPageSchema = v.object({
  node: v.string(),
  incarnation: v.pipe(v.string(), v.nonEmpty()),
  /** Number of the oldest event that the controller still keeps. */
  first: v.pipe(v.number(), v.safeInteger(), v.minValue(1)),
  /** Number that its next event will have. */
  next: v.pipe(v.number(), v.safeInteger(), v.minValue(1)),
  events: v.array(v.unknown()),
});

/** One page of a controller's event trail, as its administration API returns it. Its events are parsed one by one. */
export type TrailPage = Omit<v.InferOutput<typeof trailPageSchema>, 'events'> & {
  readonly events: readonly unknown[];
};

/** Parses a response body; null if it is not a trail page. */
export function parseTrailPage(body: unknown): TrailPage | null {
  const result = v.safeParse(trailPageSchema, body);
  return result.success ? result.output : null;
}

/** What one page contributes to a trace. */
export interface PageResult {
  readonly rows: readonly TraceRow[];
  readonly gaps: readonly Gap[];
  readonly cursor: Cursor;
  /** Further events are available now. */
  readonly more: boolean;
}

/** The cursor of a controller that has not been read yet. */
export const initialCursor = (node: string): Cursor => ({ node, life: null, after: 0, lastAt: null, readToMs: null });

/**
 * Applies one page to a cursor: returns the new rows, the gaps of events that are lost, and the new cursor. `nowMs` is
 * the recorder's time of day when it sent the request.
 */
export function applyPage(cursor: Cursor, page: TrailPage, nowMs: number): PageResult {
  const gaps: Gap[] = [];
  const { node } = cursor;
  const life = page.incarnation;
  let { after, lastAt } = cursor;
  if (cursor.life !== life) {
    // Event numbers restart at 1 in each incarnation. A page that was requested after a number of the old incarnation
    // may be empty although the new one has events, so its events are ignored and requested again from the start.
    const staleRequest = cursor.life !== null && after > 0;
    if (cursor.life !== null) {
      // The gap of the old incarnation ends no later than the first event of the new one.
      const untilMs = staleRequest ? null : firstEventMs(page);
      gaps.push({ node, life: cursor.life, why: 'ended', fromN: after + 1, toN: null, sinceMs: lastAt, untilMs });
    }
    [after, lastAt] = [0, null];
    if (staleRequest) {
      const resetCursor: Cursor = { node, life, after: 0, lastAt: null, readToMs: cursor.readToMs };
      return { rows: [], gaps, cursor: resetCursor, more: true };
    }
  }
  const rows: TraceRow[] = [];
  for (const raw of page.events) {
    const row = parseEvent(raw, node, life);
    if (!row) continue;
    // Already read by an earlier request.
    if (row.n <= after) continue;
    if (row.n > after + 1) {
      const why = page.first > after + 1 ? 'overrun' : 'malformed';
      gaps.push({ node, life, why, fromN: after + 1, toN: row.n - 1, sinceMs: lastAt, untilMs: row.at });
    }
    [after, lastAt] = [row.n, row.at];
    rows.push(row);
  }
  // No event of the page can be parsed, and requesting it again would not change that: skip it and record a gap.
  if (rows.length === 0 && page.events.length > 0 && after + 1 < page.next) {
    const lastSkipped = Math.min(page.next - 1, Math.max(after, page.first - 1) + page.events.length);
    gaps.push({ node, life, why: 'malformed', fromN: after + 1, toN: lastSkipped, sinceMs: lastAt, untilMs: null });
    after = lastSkipped;
  }
  const more = after + 1 < page.next;
  const readToMs = more ? cursor.readToMs : nowMs;
  return { rows, gaps, cursor: { node, life, after, lastAt, readToMs }, more };
}

/** Time of the first event of a page; null if it has none. */
function firstEventMs(page: TrailPage): number | null {
  const first = page.events[0] as { readonly at?: unknown } | undefined;
  return typeof first?.at === 'number' ? first.at : null;
}

/** One gap for each controller that was last read more than the tolerance before the end of the recording. */
export function unreadGaps(cursors: readonly Cursor[], recordedToMs: number, toleranceMs: number): Gap[] {
  return cursors
    .filter(({ readToMs }) => readToMs === null || recordedToMs - readToMs > toleranceMs)
    .map(({ node, life, after, lastAt }) => ({
      ...{ node, life, why: 'unread' as const, fromN: after + 1, toN: null, sinceMs: lastAt, untilMs: null },
    }));
}
