import { asNonNegativeInteger, asArray, asString, isObject, revision, type Revision } from '../kernel/index.js';

/**
 * Wire format of the state service. Its names differ from ours: `path` is a key, `stamp` the version of a key, `epoch`
 * the service's revision, `mooring` a lease and `log` a page of changes.
 */

/** A stored key with its value and the revision that wrote it. */
export interface Entry {
  readonly key: string;
  readonly value: unknown;
  readonly version: Revision;
}

/** One put or removal that the watch shows. */
export interface Change {
  readonly key: string;
  /** Undefined when the key was removed. */
  readonly value: unknown;
  readonly removed: boolean;
  readonly version: Revision;
}

/** Condition of a transaction: the key must have this version. */
export interface Guard {
  readonly key: string;
  /** 0 means that the key must not exist. */
  readonly version: number;
}

/** One change of a transaction. A put with a lease is removed when the lease ends. */
export type Op =
  { readonly put: string; readonly value: unknown; readonly lease?: number } | { readonly remove: string };

/** Body of a transaction request. */
export function encodeTxn(guards: readonly Guard[], ops: readonly Op[]): unknown {
  return {
    guards: guards.map((g) => ({ path: g.key, stamp: g.version })),
    writes: ops.map((op) =>
      'put' in op
        ? { write: op.put, value: op.value, ...(op.lease === undefined ? {} : { mooring: op.lease }) }
        : { remove: op.remove },
    ),
  };
}

/** Decodes one entry; null when it is malformed. */
export function decodeEntry(body: unknown): Entry | null {
  if (!isObject(body)) return null;
  const key = asString(body['path']);
  const stamp = asNonNegativeInteger(body['stamp']);
  if (key === undefined || stamp === undefined) return null;
  return { key, value: body['value'], version: revision(stamp) };
}

/** The service's revision from an answer; null when it is malformed. */
export function decodeRevision(body: unknown): Revision | null {
  const epoch = isObject(body) ? asNonNegativeInteger(body['epoch']) : undefined;
  return epoch === undefined ? null : revision(epoch);
}

/** Decodes one page of a list; null when it is malformed. */
export function decodeList(body: unknown): { entries: Entry[]; more: boolean; revision: Revision } | null {
  const at = decodeRevision(body);
  if (at === null || !isObject(body)) return null;
  const entries: Entry[] = [];
  for (const item of asArray(body['entries'])) {
    const entry = decodeEntry(item);
    if (entry === null) return null;
    entries.push(entry);
  }
  return { entries, more: body['truncated'] === true, revision: at };
}

/** Decodes one page of changes from a watch; null when it is malformed. */
export function decodeLog(body: unknown): { changes: Change[]; revision: Revision } | null {
  const at = decodeRevision(body);
  if (at === null || !isObject(body)) return null;
  const changes: Change[] = [];
  for (const item of asArray(body['log'])) {
    if (!isObject(item)) return null;
    const stamp = asNonNegativeInteger(item['stamp']);
    const put = asString(item['write']);
    const removed = asString(item['remove']);
    if (stamp === undefined || (put === undefined && removed === undefined)) return null;
    changes.push({
      key: put ?? removed ?? '',
      value: item['value'],
      removed: put === undefined,
      version: revision(stamp),
    });
  }
  return { changes, revision: at };
}

/** Body of a request for a lease. */
export const encodeLease = (ttlMs: number): unknown => ({ life_ms: Math.round(ttlMs) });

/** The id of a granted lease; null when the answer is malformed. */
export function decodeLease(body: unknown): number | null {
  const id = isObject(body) ? asNonNegativeInteger(body['mooring']) : undefined;
  return id ?? null;
}

/** Request paths of the state service. */
export const requestPaths = {
  get: (key: string): string => `/store/${key}`,
  list: (prefix: string, after: string): string =>
    `/store?under=${encodeURIComponent(prefix)}&most=500${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`,
  watch: (prefix: string, after: number, waitMs: number): string =>
    `/follow?under=${encodeURIComponent(prefix)}&after=${after}&wait_ms=${waitMs}`,
  txn: '/txn',
  leases: '/leases',
  renew: (id: number): string => `/leases/${id}/extend`,
};
