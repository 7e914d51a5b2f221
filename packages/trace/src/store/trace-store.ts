import type { Files } from './files.js';
import {
  decodeManifest,
  sha256Hex,
  encodeManifest,
  TraceError,
  type Gap,
  type Manifest,
  type Segment,
} from './manifest.js';
import { preferredRow, type TraceRow } from './trace-row.js';
import { decodeSegment, encodeSegment } from './segment.js';

const MANIFEST_FILE = 'manifest.json';
const SEGMENT_FILE = /^seg-(\d{6,})\.parquet$/;

/** Retention limits of a trace; null: unlimited. The newest segment is always kept. */
export interface Retention {
  readonly ageMs: number | null;
  readonly bytes: number | null;
}

/** Reads the manifest; null if there is none. A TraceError says what is wrong with it. */
export async function readManifest(files: Files): Promise<Manifest | null> {
  const bytes = await files.read(MANIFEST_FILE);
  return bytes && decodeManifest(bytes, MANIFEST_FILE);
}

/** Reads the rows of one segment; a TraceError names the file and what is wrong with it. */
export async function readSegment(files: Files, segment: Segment): Promise<TraceRow[]> {
  const bytes = await files.read(segment.file);
  if (!bytes) throw new TraceError(`${segment.file}: missing`);
  if (bytes.length !== segment.bytes || sha256Hex(bytes) !== segment.sha256)
    throw new TraceError(`${segment.file}: damaged, size or checksum mismatch`);
  const rows = await decodeSegment(bytes);
  if (rows.length !== segment.rows)
    throw new TraceError(`${segment.file}: ${rows.length} rows, but the manifest lists ${segment.rows}`);
  return rows;
}

/** Number of the oldest segments to delete so that the rest is within the retention limits. */
export function countSegmentsToDrop(segments: readonly Segment[], retention: Retention, nowMs: number): number {
  let bytes = segments.reduce((sum, segment) => sum + segment.bytes, 0);
  let count = 0;
  for (const segment of segments.slice(0, -1)) {
    const tooOld = retention.ageMs !== null && nowMs - segment.toMs > retention.ageMs;
    const tooLarge = retention.bytes !== null && bytes > retention.bytes;
    if (!tooOld && !tooLarge) break;
    bytes -= segment.bytes;
    count += 1;
  }
  return count;
}

/**
 * A trace that is being written. A segment belongs to the trace once the manifest lists it: first the segment is written
 * to a temporary file and renamed, then the manifest in the same way. A segment file that the manifest does not list is
 * left by a writer that was killed between the two; it is deleted, and its events are requested again.
 */
export class TraceStore {
  private constructor(
    private readonly files: Files,
    private current: Manifest,
    private nextSegmentNumber: number,
  ) {}

  /**
   * Opens a trace to append to it, or creates one; also returns the preferred row of each recorded event by its id. A
   * damaged trace is refused with a TraceError, so that data which might be repaired is not overwritten.
   */
  static async open(files: Files, nowMs: number): Promise<{ store: TraceStore; rowsById: Map<string, TraceRow> }> {
    const names = await files.list();
    const manifest = await readManifest(files);
    if (!manifest && names.some((name) => SEGMENT_FILE.test(name)))
      throw new TraceError(
        `${MANIFEST_FILE}: missing although segments exist; find out first which recorder wrote them`,
      );
    const rowsById = new Map<string, TraceRow>();
    const listed = new Set<string>([MANIFEST_FILE]);
    let lastNumber = 0;
    for (const segment of manifest?.segments ?? []) {
      listed.add(segment.file);
      lastNumber = Math.max(lastNumber, Number(SEGMENT_FILE.exec(segment.file)?.[1] ?? 0));
      for (const row of await readSegment(files, segment)) {
        const known = rowsById.get(row.id);
        rowsById.set(row.id, known ? preferredRow(known, row) : row);
      }
    }
    for (const name of names)
      if ((SEGMENT_FILE.test(name) || name.endsWith('.tmp')) && !listed.has(name)) await files.remove(name);
    const emptyManifest: Manifest = {
      ...{ format: 'wooddrift-trace-1' as const, startedMs: nowMs, recordedToMs: nowMs, facts: null },
      ...{ cursors: [], gaps: [], segments: [] },
    };
    const store = new TraceStore(files, manifest ?? emptyManifest, lastNumber + 1);
    // The manifest is written before the first segment: if the writer were killed between the two in the other order,
    // the trace would look like one whose manifest was lost.
    if (!manifest) await store.commitManifest(emptyManifest);
    return { store, rowsById };
  }

  /** The manifest as last written. */
  get manifest(): Manifest {
    return this.current;
  }

  /** Writes rows as a new segment together with their cursors and gaps. Nothing of it is stored until this resolves. */
  async seal(rows: readonly TraceRow[], update: Omit<Manifest, 'format' | 'startedMs' | 'segments'>): Promise<void> {
    const segments = [...this.current.segments];
    if (rows.length > 0) {
      const bytes = encodeSegment(rows);
      const file = `seg-${String(this.nextSegmentNumber).padStart(6, '0')}.parquet`;
      await this.writeAtomically(file, bytes);
      this.nextSegmentNumber += 1;
      const times = rows.map((row) => row.at);
      segments.push({
        ...{ file, rows: rows.length, bytes: bytes.length, sha256: sha256Hex(bytes) },
        ...{ fromMs: min(times), toMs: max(times) },
      });
    }
    await this.commitManifest({ ...this.current, ...update, segments });
  }

  /** Deletes the oldest segments beyond the limits, records the loss as a gap, and returns their number. */
  async applyRetention(retention: Retention, nowMs: number): Promise<number> {
    const count = countSegmentsToDrop(this.current.segments, retention, nowMs);
    if (count === 0) return 0;
    const dropping = this.current.segments.slice(0, count);
    const untilMs = max(dropping.map((segment) => segment.toMs));
    const [earlierDrops, otherGaps] = [
      this.current.gaps.filter((gap) => gap.why === 'dropped'),
      this.current.gaps.filter((gap) => gap.why !== 'dropped'),
    ];
    const dropped: Gap = {
      ...{ node: '*', life: null, why: 'dropped' as const, fromN: null, toN: null },
      ...{ sinceMs: earlierDrops[0]?.sinceMs ?? min(dropping.map((segment) => segment.fromMs)), untilMs },
    };
    // Gaps inside the dropped range carry no information any more, and would accumulate without bound.
    const gaps = [dropped, ...otherGaps.filter((gap) => gap.untilMs === null || gap.untilMs > untilMs)];
    await this.commitManifest({ ...this.current, gaps, segments: this.current.segments.slice(count) });
    for (const { file } of dropping) await this.files.remove(file);
    return count;
  }

  private async commitManifest(manifest: Manifest): Promise<void> {
    await this.writeAtomically(MANIFEST_FILE, encodeManifest(manifest));
    this.current = manifest;
  }

  /** Writes a temporary file and renames it, so that a reader sees the old or the new content. */
  private async writeAtomically(name: string, bytes: Uint8Array): Promise<void> {
    await this.files.write(`${name}.tmp`, bytes);
    await this.files.rename(`${name}.tmp`, name);
  }
}

// Not Math.min(...numbers): a large segment would exceed the maximum number of call arguments.
const min = (numbers: readonly number[]): number => numbers.reduce((a, b) => Math.min(a, b), Infinity);
const max = (numbers: readonly number[]): number => numbers.reduce((a, b) => Math.max(a, b), -Infinity);
