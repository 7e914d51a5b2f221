import { unread } from './record/index.js';
import {
  better,
  diskFiles,
  readManifest,
  readSegment,
  TraceError,
  type Files,
  type Gap,
  type Manifest,
  type TraceRow,
} from './store/index.js';

/** A recorded night: each event once, by time, and everything that is missing. Times of day in milliseconds. */
export interface Trace {
  readonly fromMs: number;
  readonly toMs: number;
  readonly facts: Readonly<Record<string, unknown>>;
  readonly rows: readonly TraceRow[];
  readonly gaps: readonly Gap[];
  readonly nodes: readonly string[];
  /** Events that more than one controller told, or one told in several lives. */
  readonly repeated: number;
}

/** A controller that was read this long before the end counts as read to the end. */
const READ_ALLOWANCE_MS = 15_000;

/** Events of several controllers as one night, whatever order they came in. */
export function mergeRows(rows: Iterable<TraceRow>): { rows: TraceRow[]; repeated: number } {
  const byId = new Map<string, TraceRow>();
  let repeated = 0;
  for (const row of rows) {
    const known = byId.get(row.id);
    if (known) repeated += 1;
    byId.set(row.id, known ? better(known, row) : row);
  }
  const merged = [...byId.values()].sort(
    (a, b) => a.at - b.at || (a.node < b.node ? -1 : a.node > b.node ? 1 : a.n - b.n),
  );
  return { rows: merged, repeated };
}

/** Reads the trace in a directory; a TraceError names the directory too. */
export async function readTraceIn(dir: string): Promise<Trace> {
  try {
    return await readTrace(diskFiles(dir));
  } catch (error) {
    throw error instanceof TraceError ? new TraceError(`${dir}: ${error.message}`) : error;
  }
}

/** Reads a whole trace; a TraceError names the file and what is wrong with it. */
export async function readTrace(files: Files): Promise<Trace> {
  const manifest = await readManifest(files);
  if (!manifest) throw new TraceError('manifest.json: missing, this is no recorded trace');
  const all: TraceRow[] = [];
  for (const segment of manifest.segments) for (const row of await readSegment(files, segment)) all.push(row);
  if (all.length === 0) throw new TraceError('the trace holds no event');
  if (!manifest.facts)
    throw new TraceError('the trace has no facts: no controller that knows the machine types was read');
  const { rows, repeated } = mergeRows(all);
  return {
    fromMs: rows[0]?.at ?? manifest.startedMs,
    toMs: manifest.recordedToMs,
    facts: manifest.facts,
    rows,
    gaps: [...manifest.gaps, ...unread(manifest.cursors, manifest.recordedToMs, READ_ALLOWANCE_MS)],
    nodes: manifest.cursors.map(({ node }) => node),
    repeated,
  };
}

/** Looks at every file: what is wrong, by file; empty: all as claimed. */
export async function verifyTrace(files: Files): Promise<{ manifest: Manifest | null; wrong: Map<string, string> }> {
  const wrong = new Map<string, string>();
  const note = (name: string, error: unknown): void => {
    wrong.set(name, error instanceof Error ? error.message : String(error));
  };
  let manifest: Manifest | null = null;
  try {
    manifest = await readManifest(files);
    if (!manifest) wrong.set('manifest.json', 'manifest.json: missing, this is no recorded trace');
  } catch (error) {
    note('manifest.json', error);
  }
  for (const segment of manifest?.segments ?? []) {
    try {
      await readSegment(files, segment);
    } catch (error) {
      note(segment.file, error);
    }
  }
  return { manifest, wrong };
}
