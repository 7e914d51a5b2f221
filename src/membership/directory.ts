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
  private readonly closed = new Map<ShardName, Revision>();

  constructor(private readonly mirror: Mirror) {}

  get all(): ReadonlyMap<ShardName, KnownShard> {
    this.follow();
    return this.shards;
  }

  private follow(): void {
    const generation = this.mirror.generationOf(SHARDS);
    if (generation === this.generation) return;
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
      if (value) this.closed.delete(name);
      else this.closed.set(name, entry.version);
      if (!value) continue;
      this.shards.set(name, { value, version: entry.version });
      for (const machine of value.machines) this.placed.set(machine.id, name);
    }
  }

  /**
   * Shards whose record this program can't read, with its version. Which machines they have is not known here, so
   * whoever sees one claims nothing of it, leads nobody, and leaves machines of no known block alone.
   */
  get unreadable(): ReadonlyMap<ShardName, Revision> {
    this.follow();
    return this.closed;
  }

  shardOf(machine: MachineId): ShardName | null {
    const { all } = this;
    const name = this.placed.get(machine);
    return name !== undefined && all.has(name) ? name : null;
  }
}
