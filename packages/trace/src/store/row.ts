/** One event as it is kept: who told it, what it is called whoever tells it, and what it says. */
export interface TraceRow {
  /** The same for the same event, whichever controllers tell it. */
  readonly id: string;
  /** Time of day in milliseconds, by the clock of the controller that tells it. */
  readonly at: number;
  readonly node: string;
  /** One life of that controller. */
  readonly life: string;
  /** Its number in that life. */
  readonly n: number;
  readonly kind: string;
  readonly job: string | null;
  readonly index: number | null;
  readonly attempt: number | null;
  readonly machine: string | null;
  /** Everything else that it says, as JSON. */
  readonly detail: string;
}

/** Fields that a controller may name without harm but that aren't kept in a column of their own. */
const COLUMNS = new Set(['n', 'at', 'kind', 'job', 'index', 'attempt', 'machine']);

const text = (value: unknown): string | null => (typeof value === 'string' ? value : null);
const whole = (value: unknown): number | null => (Number.isSafeInteger(value) ? (value as number) : null);

/** What an event is called: the same job, task or machine told by two controllers is one event. */
function identity(row: Omit<TraceRow, 'id'>): string {
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
      // Told by one controller of itself.
      return `${kind} ${node}/${life}/${n}`;
  }
}

/** An event as a controller sent it; null when it has no valid form. Kinds that nobody knows are kept. */
export function readEvent(raw: unknown, node: string, life: string): TraceRow | null {
  if (typeof raw !== 'object' || raw === null || Array.isArray(raw)) return null;
  const fields = raw as Record<string, unknown>;
  const [n, at, kind] = [whole(fields['n']), fields['at'], text(fields['kind'])];
  if (n === null || n < 1 || typeof at !== 'number' || !Number.isFinite(at) || kind === null || kind === '')
    return null;
  const rest = Object.fromEntries(Object.entries(fields).filter(([name]) => !COLUMNS.has(name)));
  const row = {
    ...{ at, node, life, n, kind, job: text(fields['job']), machine: text(fields['machine']) },
    ...{ index: whole(fields['index']), attempt: whole(fields['attempt']), detail: JSON.stringify(rest) },
  };
  return { id: identity(row), ...row };
}

export function detailOf(row: TraceRow): Readonly<Record<string, unknown>> {
  const parsed = JSON.parse(row.detail) as unknown;
  return typeof parsed === 'object' && parsed !== null ? (parsed as Record<string, unknown>) : {};
}

/** Of two tellings of one event the lower counts: a start that was seen before one that was found. */
export const rank = (row: TraceRow): number => (row.kind === 'began' && row.detail.includes('"adopted":true') ? 1 : 0);

/** The better telling of one event: by rank, then the earlier, then by name so that order of arrival decides nothing. */
export function better(a: TraceRow, b: TraceRow): TraceRow {
  const by = rank(a) - rank(b) || a.at - b.at || (a.node < b.node ? -1 : a.node > b.node ? 1 : a.n - b.n);
  return by <= 0 ? a : b;
}
