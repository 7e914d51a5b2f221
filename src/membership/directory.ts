import type { MachineId, Revision, ShardName } from '../kernel/index.js';
import { PAGES, SHARDS, type Mirror } from '../state/index.js';
import { decodePage, parsePageKey, type KnownShard, type Page } from './pages.js';
import { decodeShard, type ShardValue } from './shard.js';

interface Kept {
  readonly version: Revision;
  /** null: it can't be read here. */
  readonly value: ShardValue | null;
}

/**
 * All shards as the mirror has them: records, or heads with the pages of their epoch. Each value is decoded once for
 * each of its versions: they hold hundreds of machines, and every misdirected report asks whose its machine is.
 */
export class ShardDirectory {
  private readonly records = new Map<ShardName, Kept>();
  /** By shard and key; those of other epochs, too: they may be staged for the next one. */
  private readonly pages = new Map<ShardName, Map<string, Page | null>>();
  private readonly pageVersions = new Map<string, Revision>();
  private readonly shards = new Map<ShardName, KnownShard>();
  /**
   * Blocks that name a machine, the one that came last behind. For a moment that may be two: the mirror has the block
   * that it moved to and not yet the one that it left. Found by the plain model: with one name kept for each machine,
   * the older block's change then took it out of both, and it was leased a second time.
   */
  private readonly placed = new Map<MachineId, readonly ShardName[]>();
  private readonly closed = new Map<ShardName, Revision>();
  private generation = '';
  private latest = 0;

  constructor(private readonly mirror: Mirror) {}

  get all(): ReadonlyMap<ShardName, KnownShard> {
    this.follow();
    return this.shards;
  }

  /** All pages of a shard, of whatever epoch. */
  pagesOf(shard: ShardName): ReadonlyMap<string, Page | null> {
    this.follow();
    return this.pages.get(shard) ?? new Map();
  }

  /**
   * The newest change of any block that is known here. Once the watch has come up to it, all blocks together are as
   * they stood at one moment: before that, a machine that has moved may seem to be nowhere.
   */
  get newest(): Revision {
    this.follow();
    return this.latest as Revision;
  }

  private follow(): void {
    const generation = `${this.mirror.generationOf(SHARDS)} ${this.mirror.generationOf(PAGES)}`;
    if (generation === this.generation) return;
    this.generation = generation;
    const changed = new Set<ShardName>();
    for (const { key, value, version } of this.mirror.under(SHARDS)) {
      const name = key.slice(SHARDS.length) as ShardName;
      if (this.records.get(name)?.version === version) continue;
      this.records.set(name, { version, value: decodeShard(value) });
      this.latest = Math.max(this.latest, version);
      changed.add(name);
    }
    for (const { key, value, version } of this.mirror.under(PAGES)) {
      if (this.pageVersions.get(key) === version) continue;
      this.pageVersions.set(key, version);
      this.latest = Math.max(this.latest, version);
      const { shard } = parsePageKey(key);
      const read = decodePage(value);
      let pages = this.pages.get(shard);
      if (!pages) this.pages.set(shard, (pages = new Map()));
      pages.set(key, read && { key, version, ...read });
      changed.add(shard);
    }
    for (const name of changed) this.putTogether(name);
  }

  private putTogether(name: ShardName): void {
    const record = this.records.get(name);
    for (const machine of this.shards.get(name)?.value.machines ?? []) {
      const left = (this.placed.get(machine.id) ?? []).filter((other) => other !== name);
      if (left.length > 0) this.placed.set(machine.id, left);
      else this.placed.delete(machine.id);
    }
    this.shards.delete(name);
    if (!record) return;
    const { value, version } = record;
    const pages: Page[] = [];
    const spare: Page[] = [];
    let readable = value !== null;
    if (value !== null && value.epoch !== null) {
      for (const page of this.pages.get(name)?.values() ?? []) {
        if (page === null) readable = false;
        else if (page.epoch === value.epoch) pages.push(page);
        else spare.push(page);
      }
      pages.sort((a, b) => parsePageKey(a.key).n - parsePageKey(b.key).n);
    }
    if (value === null || !readable) {
      this.closed.set(name, version);
      return;
    }
    this.closed.delete(name);
    const machines = value.epoch === null ? value.machines : pages.flatMap((page) => page.machines);
    this.shards.set(name, { value: { ...value, machines }, version, pages, spare });
    for (const { id } of machines) this.placed.set(id, [...(this.placed.get(id) ?? []), name]);
  }

  /** Shards that are sealed against releases without quota shares, with the versions of their records. */
  get sealed(): ReadonlyMap<ShardName, Revision> {
    const sealed = new Map<ShardName, Revision>();
    for (const [shard, { value, version }] of this.all) if (value.sealed === true) sealed.set(shard, version);
    return sealed;
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
    this.follow();
    return this.placed.get(machine)?.at(-1) ?? null;
  }
}
