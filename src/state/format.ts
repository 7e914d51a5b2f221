import { isObject } from '../kernel/index.js';

/**
 * Format rules for stored records, which controllers of several releases share:
 *
 * - `v` is the format version of a record. A record without it has version 1, which the first release writes.
 * - A field may be added at the top level of a record without a new version. Controllers keep fields they don't know.
 * - A change to the meaning of a field needs a new version, which is written only once every controller can read it.
 * - A record whose version this program can't read is left unchanged: it is neither absent nor damaged.
 */
const VERSION_FIELD = 'v';

/** Fields of a stored record, by name. */
export type RecordFields = Readonly<Record<string, unknown>>;
export const NO_FIELDS: RecordFields = {};

/** The format version of a stored record. */
export function formatVersionOf(value: unknown): number {
  const stored = isObject(value) ? value[VERSION_FIELD] : undefined;
  return typeof stored === 'number' && Number.isInteger(stored) && stored >= 1 ? stored : 1;
}

/** True when a later release wrote the record in a format that this program can't read. */
export const isNewerFormat = (value: unknown, newest: number): boolean => formatVersionOf(value) > newest;

/** The fields that this program doesn't know; it preserves them when it writes the record back. */
export function unknownFields(value: RecordFields, known: ReadonlySet<string>): RecordFields {
  let kept: Record<string, unknown> | undefined;
  for (const name of Object.keys(value)) {
    if (name !== VERSION_FIELD && !known.has(name)) (kept ??= {})[name] = value[name];
  }
  return kept ?? NO_FIELDS;
}

/** Size of a value in bytes, as the state service counts it. */
export const storedSizeBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value) ?? '');
