import type { MachineId, Revision, ShardName } from '../kernel/index.js';
import { SHARDS, type Mirror } from '../state/index.js';
import { decodeShard, type ShardValue } from './shard.js';

export interface KnownShard {
  readonly value: ShardValue;
  readonly version: Revision;
}

/**
 * All shards as the mirror has them, each decoded once for each of its versions: a block's record
 * holds hundreds of machines, and every misdirected report asks whose its machine is.
 */
export class ShardDirectory {
  private readonly shards = new Map<ShardName, KnownShard>();
  private readonly placed = new Map<MachineId, ShardName>();

  private generation = -1;

  constructor(private readonly mirror: Mirror) {}

  get all(): ReadonlyMap<ShardName, KnownShard> {
    const generation = this.mirror.generationOf(SHARDS);
    if (generation === this.generation) return this.shards;
    this.generation = generation;
    for (const entry of this.mirror.under(SHARDS)) {
      const name = entry.key.slice(SHARDS.length) as ShardName;
      const known = this.shards.get(name);
      if (known?.version === entry.version) continue;
      const value = decodeShard(entry.value);
      for (const machine of known?.value.machines ?? []) {
        if (this.placed.get(machine.id) === name) this.placed.delete(machine.id);
      }
      this.shards.delete(name);
      if (!value) continue;
      this.shards.set(name, { value, version: entry.version });
      for (const machine of value.machines) this.placed.set(machine.id, name);
    }
    return this.shards;
  }

  shardOf(machine: MachineId): ShardName | null {
    const { all } = this;
    const name = this.placed.get(machine);
    return name !== undefined && all.has(name) ? name : null;
  }
}
