import { unreadGaps } from './record/index.js';
import {
  diskFiles,
  preferredRow,
  readManifest,
  readSegment,
  TraceError,
  type Files,
  type Gap,
  type Manifest,
  type TraceRow,
} from './store/index.js';

/** A recorded trace: each event once, ordered by time, and the known gaps. Times of day are in milliseconds. */
export interface Trace {
  readonly fromMs: number;
  readonly toMs: number;
  /** Machine types, teams and limits as a controller reported them. */
  readonly facts: Readonly<Record<string, unknown>>;
  readonly rows: readonly TraceRow[];
  readonly gaps: readonly Gap[];
  /** Names of the recorded controllers. */
  readonly nodes: readonly string[];
  /** Number of duplicate reports: by several controllers, or by several incarnations of one. */
  readonly duplicates: number;
}

/** A controller that was last read at most this long before the end of the recording counts as read to the end. */
const READ_TOLERANCE_MS = 15_000;

/** Merges the rows of several controllers: each event once, ordered by time, independent of the input order. */
export function mergeRows(rows: Iterable<TraceRow>): { rows: TraceRow[]; duplicates: number } {
  const byId = new Map<string, TraceRow>();
  let duplicates = 0;
  for (const row of rows) {
    const known = byId.get(row.id);
    if (known) duplicates += 1;
    byId.set(row.id, known ? preferredRow(known, row) : row);
  }
  const merged = [...byId.values()].sort(
    (a, b) => a.at - b.at || (a.node < b.node ? -1 : a.node > b.node ? 1 : a.n - b.n),
  );
  return { rows: merged, duplicates };
}

/** Reads the trace in a directory; a TraceError also names the directory. */
export async function readTraceDirectory(dir: string): Promise<Trace> {
  try {
    return await readTrace(diskFiles(dir));
  } catch (error) {
    throw error instanceof TraceError ? new TraceError(`${dir}: ${error.message}`) : error;
  }
}

/** Reads a whole trace; a TraceError names the file and what is wrong with it. */
export async function readTrace(files: Files): Promise<Trace> {
  const manifest = await readManifest(files);
  if (!manifest) throw new TraceError('manifest.json: missing, the directory holds no trace');
  const allRows: TraceRow[] = [];
  for (const segment of manifest.segments) for (const row of await readSegment(files, segment)) allRows.push(row);
  if (allRows.length === 0) throw new TraceError('the trace holds no events');
  if (!manifest.facts)
    throw new TraceError('the trace has no facts: no controller that knows the machine types has been read');
  const { rows, duplicates } = mergeRows(allRows);
  return {
    fromMs: rows[0]?.at ?? manifest.startedMs,
    toMs: manifest.recordedToMs,
    facts: manifest.facts,
    rows,
    gaps: [...manifest.gaps, ...unreadGaps(manifest.cursors, manifest.recordedToMs, READ_TOLERANCE_MS)],
    nodes: manifest.cursors.map(({ node }) => node),
    duplicates,
  };
}

/** Checks every file against the manifest; returns the errors by file name, none if the trace is intact. */
export async function verifyTrace(files: Files): Promise<{ manifest: Manifest | null; errors: Map<string, string> }> {
  const errors = new Map<string, string>();
  const addError = (name: string, error: unknown): void => {
    errors.set(name, error instanceof Error ? error.message : String(error));
  };
  let manifest: Manifest | null = null;
  try {
    manifest = await readManifest(files);
    if (!manifest) errors.set('manifest.json', 'manifest.json: missing, the directory holds no trace');
  } catch (error) {
    addError('manifest.json', error);
  }
  for (const segment of manifest?.segments ?? []) {
    try {
      await readSegment(files, segment);
    } catch (error) {
      addError(segment.file, error);
    }
  }
  return { manifest, errors };
}
