/** One recorded event: its identity, the controller that reported it, and its content. */
export interface TraceRow {
  /** Identity of the event: equal in the reports of all controllers about the same event. */
  readonly id: string;
  /** Time of day in milliseconds, by the clock of the reporting controller. */
  readonly at: number;
  /** Name of the reporting controller. */
  readonly node: string;
  /** Incarnation of that controller: each start of its process is a new one. */
  readonly life: string;
  /** Number of the event in that incarnation, from 1. */
  readonly n: number;
  readonly kind: string;
  readonly job: string | null;
  readonly index: number | null;
  readonly attempt: number | null;
  readonly machine: string | null;
  /** All other fields of the event, as JSON. */
  readonly detail: string;
}

/** Fields that are stored in columns of their own, and therefore not in `detail`. */
const COLUMNS = new Set(['n', 'at', 'kind', 'job', 'index', 'attempt', 'machine']);

const stringOrNull = (value: unknown): string | null => (typeof value === 'string' ? value : null);
const integerOrNull = (value: unknown): number | null => (Number.isSafeInteger(value) ? (value as number) : null);

/** Identity of an event: reports of two controllers about the same job, task attempt or machine are one event. */
function eventId(row: Omit<TraceRow, 'id'>): string {
  const { kind, job, index, attempt, machine, node, life, n } = row;
  switch (kind) {
    case 'job':
    case 'ended':
      return `${kind} ${job}`;
    case 'began':
    case 'left':
    case 'stopping':
      return `${kind} ${job}/${index}#${attempt}`;
    case 'rented':
    case 'joined':
    case 'notice':
    case 'lost':
    case 'faulty':
    case 'returned':
      return `${kind} ${machine}`;
    default:
      // Events that a controller reports about itself are unique by its incarnation and their number.
      return `${kind} ${node}/${life}/${n}`;
  }
}

/** Parses an event as a controller sent it; null if it is malformed. Events of unknown kinds are kept. */
export function parseEvent(raw: unknown, node: string, life: string): TraceRow | null {
  if (typeof raw !== 'object' || raw === null || Array.isArray(raw)) return null;
  const fields = raw as Record<string, unknown>;
  const [n, at, kind] = [integerOrNull(fields['n']), fields['at'], stringOrNull(fields['kind'])];
  if (n === null || n < 1 || typeof at !== 'number' || !Number.isFinite(at) || kind === null || kind === '')
    return null;
  const detail = Object.fromEntries(Object.entries(fields).filter(([field]) => !COLUMNS.has(field)));
  const row = {
    ...{ at, node, life, n, kind, job: stringOrNull(fields['job']), machine: stringOrNull(fields['machine']) },
    ...{
      index: integerOrNull(fields['index']),
      attempt: integerOrNull(fields['attempt']),
      detail: JSON.stringify(detail),
    },
  };
  return { id: eventId(row), ...row };
}

/** Parses the `detail` of a row; empty if that is not an object. */
export function parseDetail(row: TraceRow): Readonly<Record<string, unknown>> {
  const parsed = JSON.parse(row.detail) as unknown;
  return typeof parsed === 'object' && parsed !== null ? (parsed as Record<string, unknown>) : {};
}

/**
 * Rank of a report among several of the same event; the lower one is preferred: 0 for an observed task start, 1 for a
 * running task that a new holder adopted, since its start time is unknown.
 */
export const rank = (row: TraceRow): number => (row.kind === 'began' && row.detail.includes('"adopted":true') ? 1 : 0);

/**
 * The preferred one of two reports of an event: by rank, then by time, then by controller name, so that the result does
 * not depend on the order of arrival.
 */
export function preferredRow(a: TraceRow, b: TraceRow): TraceRow {
  const order = rank(a) - rank(b) || a.at - b.at || (a.node < b.node ? -1 : a.node > b.node ? 1 : a.n - b.n);
  return order <= 0 ? a : b;
}
