import type { MachineId, Revision, ShardName } from '../kernel/index.js';
import { PAGES_PREFIX, SHARDS_PREFIX, type Mirror } from '../state/index.js';
import { decodePage, parsePageKey, type KnownShard, type Page } from './block-pages.js';
import { decodeShard, type ShardValue } from './shard-record.js';

/** A shard's record as decoded at one version. */
interface DecodedRecord {
  readonly version: Revision;
  /** null if this program can't read the record. */
  readonly value: ShardValue | null;
}

/**
 * All shards as the mirror has them: either a record with its machines, or a head with the pages of its epoch. Each
 * value is decoded once per version, because it holds hundreds of machines and every misdirected report looks up which
 * shard its machine belongs to.
 */
export class ShardDirectory {
  private readonly records = new Map<ShardName, DecodedRecord>();
  /** By shard and key. Pages of other epochs are included: they may be staged for the next epoch. */
  private readonly pages = new Map<ShardName, Map<string, Page | null>>();
  private readonly pageVersions = new Map<string, Revision>();
  private readonly shards = new Map<ShardName, KnownShard>();
  /**
   * The blocks that name a machine, the latest one last. There may be two for a moment, when the mirror has the block
   * that the machine moved to and not yet the change of the block that it left. A single name per machine isn't enough:
   * the later change of the old block then removed the machine from both, and it was leased a second time.
   */
  private readonly shardsByMachine = new Map<MachineId, readonly ShardName[]>();
  /** Shards that this program can't read, with the versions of their records. */
  private readonly unreadableRecords = new Map<ShardName, Revision>();
  /** Generations of the mirror's directories that were last decoded. */
  private generation = '';
  private latestVersion = 0;

  constructor(private readonly mirror: Mirror) {}

  /** All shards whose record and pages this program can read. */
  get all(): ReadonlyMap<ShardName, KnownShard> {
    this.refresh();
    return this.shards;
  }

  /** All pages of a shard, whatever their epoch; null for a page that this program can't read. */
  pagesOf(shard: ShardName): ReadonlyMap<string, Page | null> {
    this.refresh();
    return this.pages.get(shard) ?? new Map();
  }

  /**
   * The revision of the newest change to any block in the mirror. Once the watch has reached it, all blocks together
   * are a consistent snapshot. Before that, a machine that has moved may seem to be in no block.
   */
  get newestRevision(): Revision {
    this.refresh();
    return this.latestVersion as Revision;
  }

  /** Decodes the records and pages that have changed in the mirror since the last call. */
  private refresh(): void {
    const generation = `${this.mirror.generationOf(SHARDS_PREFIX)} ${this.mirror.generationOf(PAGES_PREFIX)}`;
    if (generation === this.generation) return;
    this.generation = generation;
    const changed = new Set<ShardName>();
    for (const { key, value, version } of this.mirror.entriesIn(SHARDS_PREFIX)) {
      const name = key.slice(SHARDS_PREFIX.length) as ShardName;
      if (this.records.get(name)?.version === version) continue;
      this.records.set(name, { version, value: decodeShard(value) });
      this.latestVersion = Math.max(this.latestVersion, version);
      changed.add(name);
    }
    for (const { key, value, version } of this.mirror.entriesIn(PAGES_PREFIX)) {
      if (this.pageVersions.get(key) === version) continue;
      this.pageVersions.set(key, version);
      this.latestVersion = Math.max(this.latestVersion, version);
      const { shard } = parsePageKey(key);
      const decoded = decodePage(value);
      let pages = this.pages.get(shard);
      if (!pages) this.pages.set(shard, (pages = new Map()));
      pages.set(key, decoded && { key, version, ...decoded });
      changed.add(shard);
    }
    for (const name of changed) this.assemble(name);
  }

  /** Rebuilds a shard from its record and, if the record is a head, from the pages of its epoch. */
  private assemble(name: ShardName): void {
    const record = this.records.get(name);
    for (const machine of this.shards.get(name)?.value.machines ?? []) {
      const remaining = (this.shardsByMachine.get(machine.id) ?? []).filter((other) => other !== name);
      if (remaining.length > 0) this.shardsByMachine.set(machine.id, remaining);
      else this.shardsByMachine.delete(machine.id);
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
      this.unreadableRecords.set(name, version);
      return;
    }
    this.unreadableRecords.delete(name);
    const machines = value.epoch === null ? value.machines : pages.flatMap((page) => page.machines);
    this.shards.set(name, { value: { ...value, machines }, version, pages, spare });
    for (const { id } of machines) this.shardsByMachine.set(id, [...(this.shardsByMachine.get(id) ?? []), name]);
  }

  /** Shards that are sealed against releases without quota shares, with the versions of their records. */
  get sealed(): ReadonlyMap<ShardName, Revision> {
    const sealed = new Map<ShardName, Revision>();
    for (const [shard, { value, version }] of this.all) if (value.sealed === true) sealed.set(shard, version);
    return sealed;
  }

  /**
   * Shards whose record or pages this program can't read, with the version of the record. Their machines are not known
   * here, so a controller that sees one doesn't claim it, doesn't become leader, and doesn't touch machines that belong
   * to no known block.
   */
  get unreadable(): ReadonlyMap<ShardName, Revision> {
    this.refresh();
    return this.unreadableRecords;
  }

  /** The shard whose block names the machine, or null. */
  shardOf(machine: MachineId): ShardName | null {
    this.refresh();
    return this.shardsByMachine.get(machine)?.at(-1) ?? null;
  }
}
