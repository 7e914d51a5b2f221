import {
  asCount,
  asList,
  asString,
  incarnation,
  isObject,
  machineId,
  nodeName,
  type Incarnation,
  type MachineId,
  type NodeName,
} from '../kernel/index.js';
import { formatOf, isForeign, unknownFields, type Fields } from '../state/index.js';

export interface BlockMachine {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly address: string;
}

/** An earlier holder that may still live and command. */
export interface PreviousHolder {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
}

/** The value of a shard's key: who holds it, and the block of machines leased to it. */
export interface ShardValue {
  readonly holder: NodeName;
  readonly incarnation: Incarnation;
  /** The holder gave it up by this very write and commands nothing any more. */
  readonly released: boolean;
  /** Who should claim it at once after that; null: whoever finds it. */
  readonly next: NodeName | null;
  /** Holders before this one that nobody has yet known to have stopped. */
  readonly earlier: readonly PreviousHolder[];
  readonly machines: readonly BlockMachine[];
  /**
   * null: the machines stand in the record itself. Otherwise this is a head, and they stand in the pages of this epoch:
   * the version that the record had when its machines were put into pages.
   */
  readonly epoch: number | null;
  /** Releases that know nothing of quota shares can't hold it. */
  readonly sealed?: boolean;
  /** What a later release has added to the record; it is kept. */
  readonly rest?: Fields;
}

/**
 * The newest version of a shard's record that this program reads: 1 holds its machines, 2 is a head and has them in
 * pages, 3 is either, sealed. See docs/rollout-design.md.
 */
export const SHARD_FORMAT = 3;
const HEAD_FORMAT = 2;
/**
 * Whom a sealed record names as its holder, for the first release, which doesn't look at versions: its key never goes, so
 * that such a program takes the shard for held. Who truly holds it stands under `seal`.
 */
export const SEALED_HOLDER = nodeName('sealed');
const KNOWN: ReadonlySet<string> = new Set([
  'holder',
  'incarnation',
  'released',
  'next',
  'earlier',
  'kinds',
  'epoch',
  'seal',
]);

/**
 * As it is stored. Machines are grouped by kind, each as its name and address in one text: a block
 * of a thousand must stay below what the state service takes as one value.
 */
interface StoredShard extends Fields {
  readonly holder: string;
  readonly incarnation: string;
  readonly released: boolean;
  readonly next?: string;
  readonly earlier: readonly PreviousHolder[];
  readonly epoch?: number;
  readonly kinds?: readonly StoredKind[];
}

export interface StoredKind {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly machines: readonly string[];
}

export function encodeKinds(machines: readonly BlockMachine[]): StoredKind[] {
  const kinds = new Map<string, { type: string; zone: string; spot: boolean; machines: string[] }>();
  for (const { id, type, zone, spot, address } of machines) {
    const key = `${type} ${zone} ${spot}`;
    let kind = kinds.get(key);
    if (!kind) kinds.set(key, (kind = { type, zone, spot, machines: [] }));
    kind.machines.push(`${id} ${address}`);
  }
  return [...kinds.values()];
}

/** The record of a shard, or its head alone when its machines stand in pages. */
export function encodeShard(value: ShardValue): StoredShard {
  const { holder, released, earlier, next, epoch } = value;
  const named = next === null ? {} : { next };
  const fields = { holder, incarnation: value.incarnation, released, ...named, earlier };
  const machines = epoch === null ? { kinds: encodeKinds(value.machines) } : { epoch };
  if (value.sealed === true) return { ...value.rest, v: SHARD_FORMAT, ...SEALED, ...machines, seal: fields };
  return { ...value.rest, ...(epoch === null ? {} : { v: HEAD_FORMAT }), ...fields, ...machines };
}

/** What the first release reads of a sealed record. */
const SEALED = {
  ...{ holder: SEALED_HOLDER as string, incarnation: SEALED_HOLDER as string, released: false },
  earlier: [] as readonly PreviousHolder[],
};

/** null: not of that form. */
export function decodeKinds(value: unknown): BlockMachine[] | null {
  const machines: BlockMachine[] = [];
  for (const kind of asList(value)) {
    if (!isObject(kind)) return null;
    const type = asString(kind['type']);
    const zone = asString(kind['zone']);
    if (type === undefined || zone === undefined) return null;
    for (const item of asList(kind['machines'])) {
      const [id, address] = asString(item)?.split(' ') ?? [];
      if (id === undefined || id === '') return null;
      machines.push({ id: machineId(id), type, zone, spot: kind['spot'] === true, address: address ?? '' });
    }
  }
  return machines;
}

/**
 * Who may still command when this node claims the shard. Seen on a day with a restart of every
 * controller: whoever claims after a claimant that never had the proof inherits the doubt, or it
 * would count the workers' leases from the wrong holder's end.
 */
export function earlierHolders(value: ShardValue | null, self: NodeName): PreviousHolder[] {
  if (value === null) return [];
  // An earlier life of this very node has ended, or we would not be here.
  const doubtful = value.earlier.filter((holder) => holder.node !== self);
  if (value.released || value.holder === self) return doubtful;
  return [...doubtful.filter((h) => h.node !== value.holder), { node: value.holder, incarnation: value.incarnation }];
}

function decodeEarlier(value: unknown): PreviousHolder[] {
  const earlier: PreviousHolder[] = [];
  for (const item of asList(value)) {
    const node = isObject(item) ? asString(item['node']) : undefined;
    const life = isObject(item) ? asString(item['incarnation']) : undefined;
    if (node !== undefined && life !== undefined)
      earlier.push({ node: nodeName(node), incarnation: incarnation(life) });
  }
  return earlier;
}

/**
 * null: this program can't read it. That says nothing about the shard: another release may hold it, and machines
 * and jobs of it may be at work. Only a key that is not there at all is a shard that nobody ever held. Of a head, the
 * machines are not here but in its pages: the directory puts them together.
 */
export function decodeShard(value: unknown): ShardValue | null {
  if (!isObject(value) || isForeign(value, SHARD_FORMAT)) return null;
  const format = formatOf(value);
  const sealed = format === SHARD_FORMAT;
  const fields = sealed ? value['seal'] : value;
  if (!isObject(fields)) return null;
  const holder = asString(fields['holder']);
  const life = asString(fields['incarnation']);
  const next = asString(fields['next']);
  if (holder === undefined || life === undefined) return null;
  const paged = format === HEAD_FORMAT || (sealed && value['epoch'] !== undefined);
  const epoch = paged ? asCount(value['epoch']) : null;
  const machines = paged ? [] : decodeKinds(value['kinds']);
  if (epoch === undefined || machines === null) return null;
  return {
    epoch,
    holder: nodeName(holder),
    incarnation: incarnation(life),
    released: fields['released'] === true,
    next: next === undefined ? null : nodeName(next),
    earlier: decodeEarlier(fields['earlier']),
    machines,
    ...(sealed ? { sealed } : {}),
    rest: unknownFields(value, KNOWN),
  };
}

/** How many bytes of a value one machine takes at most, quotes and comma included. */
const BYTES_FOR_MACHINE = 48;
const BYTES_FOR_REST = 2048;

/** How many machines a block may have so that its record stays a value that the state service takes. */
export const blockLimit = (valueKb: number): number =>
  Math.max(1, Math.floor((valueKb * 1024 - BYTES_FOR_REST) / BYTES_FOR_MACHINE));
