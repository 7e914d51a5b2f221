/**
 * A shard's machines (its block) are stored either in the shard's record, or in several pages with the record reduced
 * to a head that names the epoch of its pages. This module has the pure functions that encode, lay out and change them.
 */

import { asNonNegativeInteger, isObject, type MachineId, type Revision, type ShardName } from '../kernel/index.js';
import {
  isNewerFormat,
  pageKey,
  PAGES_PREFIX,
  shardKey,
  storedSizeBytes,
  type RecordFields,
  type Guard,
  type Op,
} from '../state/index.js';
import { decodeKinds, encodeKinds, encodeShard, type BlockMachine, type ShardValue } from './shard-record.js';

/** The newest page format that this program reads, and the one that it writes. */
export const PAGE_FORMAT = 1;
/** Pages are filled only up to this share of the limit, so that slightly longer addresses later don't exceed it. */
const PAGE_FILL_RATIO = 0.9;

/** Some machines of a shard, stored as a value of its own. The key of a page is never deleted. */
export interface Page {
  readonly key: string;
  readonly version: Revision;
  /** The epoch that the page belongs to; the page counts only while the head names the same one. */
  readonly epoch: number;
  readonly machines: readonly BlockMachine[];
}

/** The key of a page and the version at which it is known. */
export type PageVersion = Pick<Page, 'key' | 'version'>;

/** A shard as it is stored: its record, or its head together with the pages of its epoch. */
export interface KnownShard {
  readonly value: ShardValue;
  /** Version of the record or the head. */
  readonly version: Revision;
  /** Pages of the current epoch, ordered by number; empty while the machines are in the record itself. */
  readonly pages: readonly Page[];
  /** Pages of other epochs, whose content is void; their keys are reused. */
  readonly spare: readonly PageVersion[];
}

/** Guards and writes of one transaction that changes a shard's block. */
export interface BlockChange {
  readonly guards: readonly Guard[];
  readonly ops: readonly Op[];
}

/** Encodes a page as it is stored. */
export const encodePage = (epoch: number, machines: readonly BlockMachine[]): RecordFields => ({
  epoch,
  kinds: encodeKinds(machines),
});

/** Decodes a page; null if this program can't read it. */
export function decodePage(value: unknown): { readonly epoch: number; readonly machines: BlockMachine[] } | null {
  if (!isObject(value) || isNewerFormat(value, PAGE_FORMAT)) return null;
  const epoch = asNonNegativeInteger(value['epoch']);
  const machines = decodeKinds(value['kinds']);
  return epoch === undefined || machines === null ? null : { epoch, machines };
}

/** Returns the shard and the page number that a page's key names. */
export function parsePageKey(key: string): { readonly shard: ShardName; readonly n: number } {
  const separator = key.lastIndexOf('.');
  return { shard: key.slice(PAGES_PREFIX.length, separator) as ShardName, n: Number(key.slice(separator + 1)) };
}

/** Reports whether the machines fill a page up to no more than the fill ratio. */
const fitsInPage = (epoch: number, machines: readonly BlockMachine[], maxBytes: number): boolean =>
  storedSizeBytes(encodePage(epoch, machines)) <= maxBytes * PAGE_FILL_RATIO;

/**
 * Distributes machines over pages. Deterministic: every caller with the same machines and limit gets the same pages.
 */
export function layOutPages(epoch: number, machines: readonly BlockMachine[], maxBytes: number): BlockMachine[][] {
  const pages: BlockMachine[][] = [];
  let page: BlockMachine[] = [];
  // Sorted by kind, so that each page names few kinds. Ids are unique, so the order doesn't depend on the caller.
  const ordered = [...machines].sort((a, b) => {
    const [x, y] = [a, b].map((m) => `${m.type} ${m.zone} ${m.spot} ${m.id}`);
    return x === y ? 0 : (x ?? '') < (y ?? '') ? -1 : 1;
  });
  for (const machine of ordered) {
    if (page.length > 0 && !fitsInPage(epoch, [...page, machine], maxBytes)) {
      pages.push(page);
      page = [];
    }
    page.push(machine);
  }
  if (page.length > 0) pages.push(page);
  return pages;
}

/** The machines that one change of a shard can add to it, and that change. */
export interface MachineInsertion {
  /** A prefix of the machines that were passed; the others didn't fit. */
  readonly taken: readonly BlockMachine[];
  readonly change: BlockChange;
}

/**
 * Adds machines to a shard, as many as fit into one page or into the record. The change is guarded by the head, too. A
 * machine is therefore added either before a claim, which then sees it, or after the claim, for the new holder.
 */
export function addMachines(
  shard: ShardName,
  known: KnownShard,
  machines: readonly BlockMachine[],
  limits: { readonly maxRecordMachines: number; readonly pageBytes: number },
): MachineInsertion {
  const head = { key: shardKey(shard), version: known.version as number };
  const { value, pages, spare } = known;
  const { epoch } = value;
  if (epoch === null) {
    const taken = machines.slice(0, Math.max(0, limits.maxRecordMachines - value.machines.length));
    const next = encodeShard({ ...value, machines: [...value.machines, ...taken] });
    return { taken, change: { guards: [head], ops: [{ put: head.key, value: next }] } };
  }
  const fittingMachines = (page: { readonly machines: readonly BlockMachine[] }): readonly BlockMachine[] => {
    let count = 0;
    while (
      count < machines.length &&
      fitsInPage(epoch, [...page.machines, ...machines.slice(0, count + 1)], limits.pageBytes)
    )
      count += 1;
    return machines.slice(0, count);
  };
  // The page that takes the most machines, fuller pages first, so that others can become empty.
  let best: { readonly page: Page; readonly taken: readonly BlockMachine[] } | null = null;
  for (const page of [...pages].sort((a, b) => b.machines.length - a.machines.length)) {
    const taken = fittingMachines(page);
    if (taken.length > (best?.taken.length ?? 0)) best = { page, taken };
    if (taken.length === machines.length) break;
  }
  const { page, taken } = best ?? {
    page: { ...(spare[0] ?? { key: pageKey(shard, pages.length + spare.length), version: 0 }), machines: [] },
    taken: fittingMachines({ machines: [] }),
  };
  const guards = [head, { key: page.key, version: page.version as number }];
  return {
    taken,
    change: { guards, ops: [{ put: page.key, value: encodePage(epoch, [...page.machines, ...taken]) }] },
  };
}

/** Guards for a shard's record or head, for each known page, and for the key that the next new page would get. */
function blockGuards(shard: ShardName, version: Revision, pages: readonly PageVersion[]): Guard[] {
  const keys = pages.map((page) => ({ key: page.key, version: page.version as number }));
  const nextPage = { key: pageKey(shard, keys.length), version: 0 };
  return [{ key: shardKey(shard), version }, ...keys, nextPage];
}

/**
 * Guards for moving a shard's machines from its pages back into its record: the head, its pages, and the key that the
 * next new page would get. Without the last one, a machine in a page that the holder hadn't seen yet was lost.
 */
export const moveToRecordGuards = (shard: ShardName, { version, pages, spare }: KnownShard): Guard[] =>
  blockGuards(shard, version, [...pages, ...spare]);

/**
 * Guards for turning a record into the head of the pages that were staged for it. `existing` are all pages of the
 * shard, as staged. Guards beyond `maxGuards` are dropped, last pages first: a record that may no longer be a
 * single value has to be moved to pages however many it takes.
 */
export const moveToPagesGuards = (
  shard: ShardName,
  version: Revision,
  existing: Iterable<PageVersion>,
  maxGuards: number,
): Guard[] => blockGuards(shard, version, [...existing]).slice(0, maxGuards);

/**
 * Returns the writes that stage a record's machines in pages, one for each page that doesn't hold its machines yet, or
 * null if a page of a later release is in the way. Each write is guarded by the record, too: if the record has changed,
 * its head may now name the very pages that were staged for an older version.
 */
export function stageChanges(
  shard: ShardName,
  { value, version }: Pick<KnownShard, 'value' | 'version'>,
  existing: ReadonlyMap<string, Page | null>,
  pageBytes: number,
): BlockChange[] | null {
  const wanted = layOutPages(version, value.machines, pageBytes);
  const changes: BlockChange[] = [];
  for (let n = 0; n < Math.max(wanted.length, existing.size); n++) {
    const key = pageKey(shard, n);
    const machines = wanted[n] ?? [];
    const page = existing.get(key);
    if (page === null) return null;
    if (page?.epoch === version ? sameMachines(page.machines, machines) : n >= wanted.length) continue;
    const guards = [
      { key: shardKey(shard), version: version as number },
      { key, version: page?.version ?? 0 },
    ];
    changes.push({ guards, ops: [{ put: key, value: encodePage(version, machines) }] });
  }
  return changes;
}

const sameMachines = (a: readonly BlockMachine[], b: readonly BlockMachine[]): boolean =>
  a.length === b.length && a.every((machine, i) => machine.id === b[i]?.id);

/** Removes machines from a shard: one change for its record, or one for each page that names any of them. */
export function removeMachines(
  shard: ShardName,
  known: KnownShard,
  ids: ReadonlySet<MachineId>,
): { readonly ids: readonly MachineId[]; readonly change: BlockChange }[] {
  const { value, version, pages } = known;
  const isKept = ({ id }: BlockMachine): boolean => !ids.has(id);
  const removedFrom = (machines: readonly BlockMachine[]): MachineId[] =>
    machines.filter((m) => !isKept(m)).map(({ id }) => id);
  const { epoch } = value;
  if (epoch === null) {
    const key = shardKey(shard);
    const next = encodeShard({ ...value, machines: value.machines.filter(isKept) });
    const change = { guards: [{ key, version: version as number }], ops: [{ put: key, value: next }] };
    return [{ ids: removedFrom(value.machines), change }].filter((found) => found.ids.length > 0);
  }
  return pages
    .filter((page) => page.machines.some((m) => !isKept(m)))
    .map((page) => ({
      ids: removedFrom(page.machines),
      change: {
        guards: [{ key: page.key, version: page.version as number }],
        ops: [{ put: page.key, value: encodePage(epoch, page.machines.filter(isKept)) }],
      },
    }));
}
