import { asCount, isObject, type MachineId, type Revision, type ShardName } from '../kernel/index.js';
import { isForeign, pageKey, PAGES, shardKey, valueBytes, type Fields, type Guard, type Op } from '../state/index.js';
import { decodeKinds, encodeKinds, encodeShard, type BlockMachine, type ShardValue } from './shard.js';

/** The newest version of a page that this program reads, and the one it writes. */
export const PAGE_FORMAT = 1;
/** A page is filled up to here, so that a few longer addresses don't make it too long. */
const FULL = 0.9;

/** Some machines of a shard, in a value of its own. Once there, a page's key never goes. */
export interface Page {
  readonly key: string;
  readonly version: Revision;
  readonly epoch: number;
  readonly machines: readonly BlockMachine[];
}

/** Which version of a page is known. */
export type PageVersion = Pick<Page, 'key' | 'version'>;

/** A shard as it is stored: its record, or its head and the pages of its epoch. */
export interface KnownShard {
  readonly value: ShardValue;
  /** Of the record or the head. */
  readonly version: Revision;
  /** Of this epoch, by number; empty while the machines stand in the record itself. */
  readonly pages: readonly Page[];
  /** Keys of pages whose content counts no more. */
  readonly spare: readonly PageVersion[];
}

/** Changes to be made in one transaction. */
export interface BlockChange {
  readonly guards: readonly Guard[];
  readonly ops: readonly Op[];
}

export const encodePage = (epoch: number, machines: readonly BlockMachine[]): Fields => ({
  epoch,
  kinds: encodeKinds(machines),
});

/** null: this program can't read it. */
export function decodePage(value: unknown): { readonly epoch: number; readonly machines: BlockMachine[] } | null {
  if (!isObject(value) || isForeign(value, PAGE_FORMAT)) return null;
  const epoch = asCount(value['epoch']);
  const machines = decodeKinds(value['kinds']);
  return epoch === undefined || machines === null ? null : { epoch, machines };
}

/** The shard and the number that a page's key names. */
export function parsePageKey(key: string): { readonly shard: ShardName; readonly n: number } {
  const cut = key.lastIndexOf('.');
  return { shard: key.slice(PAGES.length, cut) as ShardName, n: Number(key.slice(cut + 1)) };
}

const fits = (epoch: number, machines: readonly BlockMachine[], mostBytes: number): boolean =>
  valueBytes(encodePage(epoch, machines)) <= mostBytes * FULL;

/** Puts machines into pages; the same for everybody who does it with the same machines and limit. */
export function layOut(epoch: number, machines: readonly BlockMachine[], mostBytes: number): BlockMachine[][] {
  const pages: BlockMachine[][] = [];
  let page: BlockMachine[] = [];
  // By kind, so that each page names few kinds; ids are unique, so the order is everybody's.
  const ordered = [...machines].sort((a, b) => {
    const [x, y] = [a, b].map((m) => `${m.type} ${m.zone} ${m.spot} ${m.id}`);
    return x === y ? 0 : (x ?? '') < (y ?? '') ? -1 : 1;
  });
  for (const machine of ordered) {
    if (page.length > 0 && !fits(epoch, [...page, machine], mostBytes)) {
      pages.push(page);
      page = [];
    }
    page.push(machine);
  }
  if (page.length > 0) pages.push(page);
  return pages;
}

/** How many of these machines find room in the shard by one change of it, and that change. */
export interface Entry {
  readonly taken: readonly BlockMachine[];
  readonly change: BlockChange;
}

/**
 * Puts machines into a shard, as many as one page or the record takes. The head is a condition, too: so a machine
 * comes in either before a claim, which then finds it, or after, for the claimant.
 */
export function enter(
  shard: ShardName,
  known: KnownShard,
  machines: readonly BlockMachine[],
  limits: { readonly recordMost: number; readonly pageBytes: number },
): Entry {
  const head = { key: shardKey(shard), version: known.version as number };
  const { value, pages, spare } = known;
  const { epoch } = value;
  if (epoch === null) {
    const taken = machines.slice(0, Math.max(0, limits.recordMost - value.machines.length));
    const next = encodeShard({ ...value, machines: [...value.machines, ...taken] });
    return { taken, change: { guards: [head], ops: [{ put: head.key, value: next }] } };
  }
  const room = (page: { readonly machines: readonly BlockMachine[] }): readonly BlockMachine[] => {
    let count = 0;
    while (
      count < machines.length &&
      fits(epoch, [...page.machines, ...machines.slice(0, count + 1)], limits.pageBytes)
    )
      count += 1;
    return machines.slice(0, count);
  };
  // The fullest page that still has room: others may get empty.
  let best: { readonly page: Page; readonly taken: readonly BlockMachine[] } | null = null;
  for (const page of [...pages].sort((a, b) => b.machines.length - a.machines.length)) {
    const taken = room(page);
    if (taken.length > (best?.taken.length ?? 0)) best = { page, taken };
    if (taken.length === machines.length) break;
  }
  const { page, taken } = best ?? {
    page: { ...(spare[0] ?? { key: pageKey(shard, pages.length + spare.length), version: 0 }), machines: [] },
    taken: room({ machines: [] }),
  };
  const guards = [head, { key: page.key, version: page.version as number }];
  return {
    taken,
    change: { guards, ops: [{ put: page.key, value: encodePage(epoch, [...page.machines, ...taken]) }] },
  };
}

/** A shard's record or head as it is known, and every place where a page of it stands or might be made. */
function wholeGuards(shard: ShardName, version: Revision, pages: readonly PageVersion[]): Guard[] {
  const keys = pages.map((page) => ({ key: page.key, version: page.version as number }));
  const next = { key: pageKey(shard, keys.length), version: 0 };
  return [{ key: shardKey(shard), version }, ...keys, next];
}

/**
 * What has to stand unchanged for a shard's machines to go back into its record: the head, its pages, and wherever a page
 * might be made of. Found by the plain model: a machine that had come into a page that the holder had yet to see was lost.
 */
export const foldGuards = (shard: ShardName, { version, pages, spare }: KnownShard): Guard[] =>
  wholeGuards(shard, version, [...pages, ...spare]);

/**
 * What has to stand unchanged for a record to become the head of the pages that were staged for it; `there`: all pages
 * of the shard, as staged. Conditions beyond `mostConditions` are left out, last pages first: a record that may not stay
 * a single value has to be flipped however many pages it takes.
 */
export const flipGuards = (
  shard: ShardName,
  version: Revision,
  there: Iterable<PageVersion>,
  mostConditions: number,
): Guard[] => wholeGuards(shard, version, [...there]).slice(0, mostConditions);

/**
 * The writes by which pages come to hold a record's machines, one for each page that doesn't yet; null: a page of a
 * later release stands in the way. Each is guarded by the record too: pages that were staged for a record that has
 * changed since may be the ones that its head names now.
 */
export function stageChanges(
  shard: ShardName,
  { value, version }: Pick<KnownShard, 'value' | 'version'>,
  there: ReadonlyMap<string, Page | null>,
  pageBytes: number,
): BlockChange[] | null {
  const wanted = layOut(version, value.machines, pageBytes);
  const changes: BlockChange[] = [];
  for (let n = 0; n < Math.max(wanted.length, there.size); n++) {
    const key = pageKey(shard, n);
    const machines = wanted[n] ?? [];
    const page = there.get(key);
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

/** Takes machines out of a shard: one change for its record, or one for each page that names any. */
export function leave(
  shard: ShardName,
  known: KnownShard,
  ids: ReadonlySet<MachineId>,
): { readonly ids: readonly MachineId[]; readonly change: BlockChange }[] {
  const { value, version, pages } = known;
  const stays = ({ id }: BlockMachine): boolean => !ids.has(id);
  const gone = (machines: readonly BlockMachine[]): MachineId[] =>
    machines.filter((m) => !stays(m)).map(({ id }) => id);
  const { epoch } = value;
  if (epoch === null) {
    const key = shardKey(shard);
    const next = encodeShard({ ...value, machines: value.machines.filter(stays) });
    const change = { guards: [{ key, version: version as number }], ops: [{ put: key, value: next }] };
    return [{ ids: gone(value.machines), change }].filter((found) => found.ids.length > 0);
  }
  return pages
    .filter((page) => page.machines.some((m) => !stays(m)))
    .map((page) => ({
      ids: gone(page.machines),
      change: {
        guards: [{ key: page.key, version: page.version as number }],
        ops: [{ put: page.key, value: encodePage(epoch, page.machines.filter(stays)) }],
      },
    }));
}
