import { sha256 } from '@noble/hashes/sha2.js';
import { bytesToHex, utf8ToBytes } from '@noble/hashes/utils.js';
import * as v from 'valibot';

/** A trace is missing, damaged, incomplete or locked. The message says in one line what is wrong, and where. */
export class TraceError extends Error {}

const nonNegativeInteger = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
/** Time of day in milliseconds. */
const timeMs = v.pipe(v.number(), v.finite());
const segmentFile = v.pipe(v.string(), v.regex(/^seg-\d{6,}\.parquet$/, 'must be a segment file name'));

const gapSchema = v.strictObject({
  node: v.string(),
  /** Incarnation of the controller; null if unknown or if the gap is not of one controller. */
  life: v.nullable(v.string()),
  /**
   * Cause of the gap. overrun: the controller's bounded trail had already dropped the events; ended: the controller
   * ended, and its events after the last poll are lost with it; unread: the controller has not been read since;
   * malformed: the controller sent events that could not be parsed; dropped: segments were deleted because of their
   * age or size.
   */
  why: v.picklist(['overrun', 'ended', 'unread', 'malformed', 'dropped']),
  /** First and last missing event number; null if unknown. */
  fromN: v.nullable(nonNegativeInteger),
  toN: v.nullable(nonNegativeInteger),
  /** Times of day between which events are missing; null: from the start of the incarnation, or end unknown. */
  sinceMs: v.nullable(timeMs),
  untilMs: v.nullable(timeMs),
});

const cursorSchema = v.strictObject({
  node: v.string(),
  /** Incarnation of the controller; null before the first read. */
  life: v.nullable(v.string()),
  /** Number of the last event that was read. */
  after: nonNegativeInteger,
  /** Time of day of that event. */
  lastAt: v.nullable(timeMs),
  /** When the trail was last read to its end, by the recorder's clock; null if never. */
  readToMs: v.nullable(timeMs),
});

const segmentSchema = v.strictObject({
  file: segmentFile,
  rows: nonNegativeInteger,
  bytes: nonNegativeInteger,
  sha256: v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/)),
  /** Earliest and latest time of its events. */
  fromMs: timeMs,
  toMs: timeMs,
});

const manifestSchema = v.strictObject({
  format: v.literal('wooddrift-trace-1'),
  startedMs: timeMs,
  /** End of the recorded period so far, by the recorder's clock. */
  recordedToMs: timeMs,
  /** Machine types, teams and limits as a controller reports them; null until a controller has been reached. */
  facts: v.nullable(v.record(v.string(), v.unknown())),
  cursors: v.array(cursorSchema),
  gaps: v.array(gapSchema),
  segments: v.array(segmentSchema),
});

/** Index of a recorded trace: its segments, the cursors that they reach to, and the known gaps. */
export type Manifest = v.InferOutput<typeof manifestSchema>;
/** Events that are missing from a trace, and why. */
export type Gap = Manifest['gaps'][number];
/** How far the trail of one controller has been read. */
export type Cursor = Manifest['cursors'][number];
/** One segment file of a trace, with its size and checksum. */
export type Segment = Manifest['segments'][number];

/** SHA-256 as lower-case hex digits. */
export const sha256Hex = (bytes: Uint8Array): string => bytesToHex(sha256(bytes));

/** Encodes a manifest: the SHA-256 of the JSON text in the first line, then the JSON. */
export function encodeManifest(manifest: Manifest): Uint8Array {
  const body = `${JSON.stringify(manifest, null, 1)}\n`;
  return utf8ToBytes(`${sha256Hex(utf8ToBytes(body))}\n${body}`);
}

/** Decodes a manifest and checks it; a TraceError names the file and what is wrong with it. */
export function decodeManifest(bytes: Uint8Array, name: string): Manifest {
  const text = new TextDecoder().decode(bytes);
  const lineEnd = text.indexOf('\n');
  const body = text.slice(lineEnd + 1);
  if (lineEnd < 0 || text.slice(0, lineEnd) !== sha256Hex(utf8ToBytes(body)))
    throw new TraceError(`${name}: damaged, checksum mismatch`);
  let raw: unknown;
  try {
    raw = JSON.parse(body);
  } catch {
    throw new TraceError(`${name}: not valid JSON`);
  }
  const result = v.safeParse(manifestSchema, raw);
  if (result.success) return result.output;
  const issue = result.issues[0];
  throw new TraceError(`${name}: ${v.getDotPath(issue) ?? 'manifest'}: ${issue.message}`);
}
