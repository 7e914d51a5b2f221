import {
  asNonNegativeInteger,
  asArray,
  asString,
  incarnation,
  isObject,
  machineId,
  nodeName,
  type Incarnation,
  type MachineId,
  type NodeName,
} from '../kernel/index.js';
import { formatVersionOf, isNewerFormat, unknownFields, type RecordFields } from '../state/index.js';

/** A machine of a shard's block. */
export interface BlockMachine {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly address: string;
}

/** An earlier holder that may still be running and sending commands. */
export interface PreviousHolder {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
}

/** The value of a shard's key: its holder, and the block of machines that is assigned to it. */
export interface ShardValue {
  readonly holder: NodeName;
  readonly incarnation: Incarnation;
  /** The holder released the shard with this very write and sends no commands any more. */
  readonly released: boolean;
  /** The node that should claim a released shard at once; null: any node may. */
  readonly next: NodeName | null;
  /** Previous holders that are not yet known to have stopped. */
  readonly earlier: readonly PreviousHolder[];
  readonly machines: readonly BlockMachine[];
  /**
   * null: the machines are in the record itself. Otherwise this is a head, and they are in the pages of this epoch,
   * which is the version that the record had when its machines were moved to pages.
   */
  readonly epoch: number | null;
  /** Sealed: releases that don't support quota shares can't hold it. */
  readonly sealed?: boolean;
  /** Fields that a later release has added to the record; they are preserved. */
  readonly rest?: RecordFields;
}

/**
 * The newest format of a shard's record that this program reads: 1 has the machines in the record, 2 is a head with the
 * machines in pages, and 3 is a sealed record of either kind. See docs/rollout-design.md.
 */
export const SHARD_FORMAT = 3;
/** Format of a head that isn't sealed. */
const HEAD_FORMAT = 2;
/**
 * The nominal holder of a sealed record. It is meant for the first release, which ignores formats: the key of this node
 * is never removed, so that release sees the shard as held. The actual holder is in the field `seal`.
 */
export const SEALED_HOLDER = nodeName('sealed');
/** Fields that this release understands; all others are preserved in `rest`. */
const KNOWN_FIELDS: ReadonlySet<string> = new Set([
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
 * A shard's record as it is stored. Machines are grouped by kind, each as its name and address in one string, to keep a
 * block of a thousand machines below the largest value that the state service takes.
 */
interface StoredShard extends RecordFields {
  readonly holder: string;
  readonly incarnation: string;
  readonly released: boolean;
  readonly next?: string;
  readonly earlier: readonly PreviousHolder[];
  readonly epoch?: number;
  readonly kinds?: readonly StoredKind[];
}

/** Machines of the same type, zone and spot flag as they are stored, each as "ID ADDRESS". */
export interface StoredKind {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly machines: readonly string[];
}

/** Groups machines by kind as they are stored. */
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

/** Encodes the record of a shard, or only its head if its machines are in pages. */
export function encodeShard(value: ShardValue): StoredShard {
  const { holder, released, earlier, next, epoch } = value;
  const nextField = next === null ? {} : { next };
  const fields = { holder, incarnation: value.incarnation, released, ...nextField, earlier };
  const machines = epoch === null ? { kinds: encodeKinds(value.machines) } : { epoch };
  if (value.sealed === true) return { ...value.rest, v: SHARD_FORMAT, ...SEALED_FIELDS, ...machines, seal: fields };
  return { ...value.rest, ...(epoch === null ? {} : { v: HEAD_FORMAT }), ...fields, ...machines };
}

/** The fields that the first release reads of a sealed record. */
const SEALED_FIELDS = {
  ...{ holder: SEALED_HOLDER as string, incarnation: SEALED_HOLDER as string, released: false },
  earlier: [] as readonly PreviousHolder[],
};

/** Decodes machines that are grouped by kind; null if the value has another form. */
export function decodeKinds(value: unknown): BlockMachine[] | null {
  const machines: BlockMachine[] = [];
  for (const kind of asArray(value)) {
    if (!isObject(kind)) return null;
    const type = asString(kind['type']);
    const zone = asString(kind['zone']);
    if (type === undefined || zone === undefined) return null;
    for (const item of asArray(kind['machines'])) {
      const [id, address] = asString(item)?.split(' ') ?? [];
      if (id === undefined || id === '') return null;
      machines.push({ id: machineId(id), type, zone, spot: kind['spot'] === true, address: address ?? '' });
    }
  }
  return machines;
}

/**
 * Returns the earlier holders that may still send commands when this node claims the shard. A claimant inherits the
 * holders that the previous claimant hadn't proven to have stopped. Otherwise it would count the workers' leases from
 * the end of the wrong holder, which happened when all controllers were restarted.
 */
export function previousHolders(value: ShardValue | null, self: NodeName): PreviousHolder[] {
  if (value === null) return [];
  // An earlier incarnation of this node has ended, since this one is running.
  const unconfirmed = value.earlier.filter((holder) => holder.node !== self);
  if (value.released || value.holder === self) return unconfirmed;
  return [
    ...unconfirmed.filter((h) => h.node !== value.holder),
    { node: value.holder, incarnation: value.incarnation },
  ];
}

function decodePreviousHolders(value: unknown): PreviousHolder[] {
  const earlier: PreviousHolder[] = [];
  for (const item of asArray(value)) {
    const node = isObject(item) ? asString(item['node']) : undefined;
    const holderIncarnation = isObject(item) ? asString(item['incarnation']) : undefined;
    if (node !== undefined && holderIncarnation !== undefined)
      earlier.push({ node: nodeName(node), incarnation: incarnation(holderIncarnation) });
  }
  return earlier;
}

/**
 * Decodes a shard's record; null if this program can't read it. An unreadable record doesn't mean that the shard is
 * free: another release may hold it, with machines and jobs at work. Only a missing key means that nobody ever held the
 * shard. The machines of a head are not part of the result: the directory adds them from its pages.
 */
export function decodeShard(value: unknown): ShardValue | null {
  if (!isObject(value) || isNewerFormat(value, SHARD_FORMAT)) return null;
  const format = formatVersionOf(value);
  const sealed = format === SHARD_FORMAT;
  const fields = sealed ? value['seal'] : value;
  if (!isObject(fields)) return null;
  const holder = asString(fields['holder']);
  const holderIncarnation = asString(fields['incarnation']);
  const next = asString(fields['next']);
  if (holder === undefined || holderIncarnation === undefined) return null;
  const paged = format === HEAD_FORMAT || (sealed && value['epoch'] !== undefined);
  const epoch = paged ? asNonNegativeInteger(value['epoch']) : null;
  const machines = paged ? [] : decodeKinds(value['kinds']);
  if (epoch === undefined || machines === null) return null;
  return {
    epoch,
    holder: nodeName(holder),
    incarnation: incarnation(holderIncarnation),
    released: fields['released'] === true,
    next: next === undefined ? null : nodeName(next),
    earlier: decodePreviousHolders(fields['earlier']),
    machines,
    ...(sealed ? { sealed } : {}),
    rest: unknownFields(value, KNOWN_FIELDS),
  };
}

/** Upper limit of the bytes that one machine takes in a value, quotes and comma included. */
const MAX_BYTES_PER_MACHINE = 48;
/** Upper limit of the bytes that all other fields of a record take. */
const MAX_BYTES_OF_OTHER_FIELDS = 2048;

/** Returns how many machines a block may have so that the state service still takes its record as one value. */
export const maxBlockMachines = (valueKb: number): number =>
  Math.max(1, Math.floor((valueKb * 1024 - MAX_BYTES_OF_OTHER_FIELDS) / MAX_BYTES_PER_MACHINE));
