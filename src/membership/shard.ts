import {
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

export interface BlockMachine {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly address: string;
}

/** The value of a shard's key: who holds it, and the block of machines leased to it. */
export interface ShardValue {
  readonly holder: NodeName;
  readonly incarnation: Incarnation;
  /** The holder gave it up by this very write and commands nothing any more. */
  readonly released: boolean;
  readonly machines: readonly BlockMachine[];
}

export const encodeShard = (value: ShardValue): unknown => value;

export function decodeShard(value: unknown): ShardValue | null {
  if (!isObject(value)) return null;
  const holder = asString(value['holder']);
  const life = asString(value['incarnation']);
  if (holder === undefined || life === undefined) return null;
  const machines: BlockMachine[] = [];
  for (const item of asList(value['machines'])) {
    if (!isObject(item)) return null;
    const id = asString(item['id']);
    const type = asString(item['type']);
    const zone = asString(item['zone']);
    if (id === undefined || type === undefined || zone === undefined) return null;
    machines.push({
      id: machineId(id),
      type,
      zone,
      spot: item['spot'] === true,
      address: asString(item['address']) ?? '',
    });
  }
  return { holder: nodeName(holder), incarnation: incarnation(life), released: value['released'] === true, machines };
}
