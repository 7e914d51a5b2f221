import { sha256 } from '@noble/hashes/sha2.js';
import { bytesToHex, utf8ToBytes } from '@noble/hashes/utils.js';
import * as v from 'valibot';

/** Something about a trace is not as it should be; says in one line what and where. */
export class TraceError extends Error {}

const whole = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const time = v.pipe(v.number(), v.finite());
const file = v.pipe(v.string(), v.regex(/^seg-\d{6,}\.parquet$/, 'must be the name of a segment'));

const gap = v.strictObject({
  node: v.string(),
  life: v.nullable(v.string()),
  /**
   * overrun: the controller kept fewer events than were asked for; ended: it ended, and what it told after the last
   * reading went with it; unread: nobody has read it since; malformed: what it sent could not be read; dropped:
   * segments were deleted for their age or size.
   */
  why: v.picklist(['overrun', 'ended', 'unread', 'malformed', 'dropped']),
  /** Numbers that are missing; null where nobody knows. */
  fromN: v.nullable(whole),
  toN: v.nullable(whole),
  /** Between these times of day; null: from its beginning, or still open. */
  sinceMs: v.nullable(time),
  untilMs: v.nullable(time),
});

const cursor = v.strictObject({
  node: v.string(),
  life: v.nullable(v.string()),
  /** The last event that was taken in. */
  after: whole,
  /** Its time of day. */
  lastAt: v.nullable(time),
  /** When everything that it had told was last known here, by the recorder's time of day. */
  readToMs: v.nullable(time),
});

const segment = v.strictObject({
  file,
  rows: whole,
  bytes: whole,
  sha256: v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/)),
  fromMs: time,
  toMs: time,
});

const schema = v.strictObject({
  format: v.literal('wooddrift-trace-1'),
  startedMs: time,
  /** Up to when it was recorded, by the recorder's time of day. */
  recordedToMs: time,
  /** What the controllers said of machine types, teams and limits; null: nobody has been reached yet. */
  facts: v.nullable(v.record(v.string(), v.unknown())),
  cursors: v.array(cursor),
  gaps: v.array(gap),
  segments: v.array(segment),
});

export type Manifest = v.InferOutput<typeof schema>;
export type Gap = Manifest['gaps'][number];
export type Cursor = Manifest['cursors'][number];
export type Segment = Manifest['segments'][number];

export const digest = (bytes: Uint8Array): string => bytesToHex(sha256(bytes));

/** JSON with a checksum over itself in the first line. */
export function encodeManifest(manifest: Manifest): Uint8Array {
  const body = `${JSON.stringify(manifest, null, 1)}\n`;
  return utf8ToBytes(`${digest(utf8ToBytes(body))}\n${body}`);
}

export function decodeManifest(bytes: Uint8Array, name: string): Manifest {
  const text = new TextDecoder().decode(bytes);
  const cut = text.indexOf('\n');
  const body = text.slice(cut + 1);
  if (cut < 0 || text.slice(0, cut) !== digest(utf8ToBytes(body)))
    throw new TraceError(`${name}: damaged, its checksum does not fit`);
  let raw: unknown;
  try {
    raw = JSON.parse(body);
  } catch {
    throw new TraceError(`${name}: not JSON`);
  }
  const result = v.safeParse(schema, raw);
  if (result.success) return result.output;
  const issue = result.issues[0];
  throw new TraceError(`${name}: ${v.getDotPath(issue) ?? 'manifest'}: ${issue.message}`);
}
