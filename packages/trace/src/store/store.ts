import type { Files } from './files.js';
import {
  decodeManifest,
  digest,
  encodeManifest,
  TraceError,
  type Gap,
  type Manifest,
  type Segment,
} from './manifest.js';
import { better, type TraceRow } from './row.js';
import { decodeSegment, encodeSegment } from './segment.js';

const MANIFEST = 'manifest.json';
const SEGMENT = /^seg-(\d{6,})\.parquet$/;

/** How much is kept; null: without end. The newest segment is always kept. */
export interface Retention {
  readonly ageMs: number | null;
  readonly bytes: number | null;
}

export async function readManifest(files: Files): Promise<Manifest | null> {
  const bytes = await files.read(MANIFEST);
  return bytes && decodeManifest(bytes, MANIFEST);
}

/** The rows of one segment; a TraceError names the file and what is wrong with it. */
export async function readSegment(files: Files, segment: Segment): Promise<TraceRow[]> {
  const bytes = await files.read(segment.file);
  if (!bytes) throw new TraceError(`${segment.file}: missing`);
  if (bytes.length !== segment.bytes || digest(bytes) !== segment.sha256)
    throw new TraceError(`${segment.file}: damaged, its checksum does not fit`);
  const rows = await decodeSegment(bytes);
  if (rows.length !== segment.rows)
    throw new TraceError(`${segment.file}: ${rows.length} rows where ${segment.rows} are claimed`);
  return rows;
}

/** Which segments to give up, oldest first, so that what is left is young and small enough. */
export function tooMuch(segments: readonly Segment[], keep: Retention, nowMs: number): number {
  let bytes = segments.reduce((sum, segment) => sum + segment.bytes, 0);
  let drop = 0;
  for (const segment of segments.slice(0, -1)) {
    const old = keep.ageMs !== null && nowMs - segment.toMs > keep.ageMs;
    const large = keep.bytes !== null && bytes > keep.bytes;
    if (!old && !large) break;
    bytes -= segment.bytes;
    drop += 1;
  }
  return drop;
}

/**
 * A trace that is being written. A segment is there once the manifest claims it: it is written beside and renamed
 * first, then the manifest is, in the same way; a file that no manifest claims is from a writer that was killed
 * in between, and its events are asked for again.
 */
export class TraceStore {
  private constructor(
    private readonly files: Files,
    private current: Manifest,
    private nextSegment: number,
  ) {}

  /** Opens a trace to go on with it, or begins one. A damaged one is refused: nobody writes over what may be mended. */
  static async open(files: Files, nowMs: number): Promise<{ store: TraceStore; ids: Map<string, TraceRow> }> {
    const names = await files.list();
    const manifest = await readManifest(files);
    if (!manifest && names.some((name) => SEGMENT.test(name)))
      throw new TraceError(`${MANIFEST}: missing beside segments; whoever recorded them must be looked for first`);
    const ids = new Map<string, TraceRow>();
    const claimed = new Set<string>([MANIFEST]);
    let last = 0;
    for (const segment of manifest?.segments ?? []) {
      claimed.add(segment.file);
      last = Math.max(last, Number(SEGMENT.exec(segment.file)?.[1] ?? 0));
      for (const row of await readSegment(files, segment)) {
        const known = ids.get(row.id);
        ids.set(row.id, known ? better(known, row) : row);
      }
    }
    for (const name of names)
      if ((SEGMENT.test(name) || name.endsWith('.tmp')) && !claimed.has(name)) await files.remove(name);
    const fresh: Manifest = {
      ...{ format: 'wooddrift-trace-1' as const, startedMs: nowMs, recordedToMs: nowMs, facts: null },
      ...{ cursors: [], gaps: [], segments: [] },
    };
    const store = new TraceStore(files, manifest ?? fresh, last + 1);
    // Before the first segment: killed between the two, the trace would be one whose manifest was lost.
    if (!manifest) await store.claim(fresh);
    return { store, ids };
  }

  get manifest(): Manifest {
    return this.current;
  }

  /** Keeps rows and how far they reach, together. Until this resolves, nothing of it counts. */
  async seal(rows: readonly TraceRow[], rest: Omit<Manifest, 'format' | 'startedMs' | 'segments'>): Promise<void> {
    const segments = [...this.current.segments];
    if (rows.length > 0) {
      const bytes = encodeSegment(rows);
      const file = `seg-${String(this.nextSegment).padStart(6, '0')}.parquet`;
      await this.put(file, bytes);
      this.nextSegment += 1;
      const times = rows.map((row) => row.at);
      segments.push({
        ...{ file, rows: rows.length, bytes: bytes.length, sha256: digest(bytes) },
        ...{ fromMs: min(times), toMs: max(times) },
      });
    }
    await this.claim({ ...this.current, ...rest, segments });
  }

  /** Deletes the oldest segments, and says in a gap what went. */
  async retain(keep: Retention, nowMs: number): Promise<number> {
    const count = tooMuch(this.current.segments, keep, nowMs);
    if (count === 0) return 0;
    const going = this.current.segments.slice(0, count);
    const untilMs = max(going.map((segment) => segment.toMs));
    const [earlier, others] = [
      this.current.gaps.filter((gap) => gap.why === 'dropped'),
      this.current.gaps.filter((gap) => gap.why !== 'dropped'),
    ];
    const dropped: Gap = {
      ...{ node: '*', life: null, why: 'dropped' as const, fromN: null, toN: null },
      ...{ sinceMs: earlier[0]?.sinceMs ?? min(going.map((segment) => segment.fromMs)), untilMs },
    };
    // Gaps inside what is gone say nothing any more: one for each night would pile up for ever.
    const gaps = [dropped, ...others.filter((gap) => gap.untilMs === null || gap.untilMs > untilMs)];
    await this.claim({ ...this.current, gaps, segments: this.current.segments.slice(count) });
    for (const { file } of going) await this.files.remove(file);
    return count;
  }

  private async claim(manifest: Manifest): Promise<void> {
    await this.put(MANIFEST, encodeManifest(manifest));
    this.current = manifest;
  }

  private async put(name: string, bytes: Uint8Array): Promise<void> {
    await this.files.write(`${name}.tmp`, bytes);
    await this.files.rename(`${name}.tmp`, name);
  }
}

// Spread into Math.min, a large segment is more arguments than a call takes.
const min = (numbers: readonly number[]): number => numbers.reduce((a, b) => Math.min(a, b), Infinity);
const max = (numbers: readonly number[]): number => numbers.reduce((a, b) => Math.max(a, b), -Infinity);
