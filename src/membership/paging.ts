import type { Logger, Revision, ShardName } from '../kernel/index.js';
import { rereadGuards, shardKey, Urgency, type Guard, type Mirror, type Op, type StateClient } from '../state/index.js';
import type { ShardDirectory } from './shard-directory.js';
import {
  moveToPagesGuards,
  moveToRecordGuards,
  stageChanges,
  type BlockChange,
  type KnownShard,
  type PageVersion,
} from './block-pages.js';
import { encodeShard, type ShardValue } from './shard-record.js';

/** What moving machines between record and pages needs from the rest of the controller. */
export interface PagingDeps {
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly directory: ShardDirectory;
  readonly log: Logger;
}

/** Limit on the pages that are written in one transaction. */
const MAX_STAGED_PAGES_PER_TXN = 8;

/** Merges the changes of several pages into one transaction; guards that they share are listed once. */
function mergeChanges(changes: readonly BlockChange[]): BlockChange {
  const guards = new Map(changes.flatMap((change) => change.guards).map((guard) => [guard.key, guard]));
  return { guards: [...guards.values()], ops: changes.flatMap(({ ops }) => ops) };
}

/** Moves a shard's machines from its record into pages, and back. */
export class Paging {
  constructor(private readonly deps: PagingDeps) {}

  /**
   * Stages pages for the record at its current version, in small writes; resolves to true once all of them are stored.
   * They are void until a head names their epoch, which is the version of the record. A process that stops halfway
   * therefore leaves nothing to undo, and another one can continue. If the record changes meanwhile, the pages are
   * staged anew.
   */
  async stage(shard: ShardName, known: KnownShard, urgency: Urgency): Promise<boolean> {
    const { state, directory, mirror, log } = this.deps;
    const { limits } = state;
    const changes = stageChanges(shard, known, directory.pagesOf(shard), limits.maxValueBytes);
    if (changes === null) return false;
    const pagesPerTxn = Math.min(limits.txnOps, MAX_STAGED_PAGES_PER_TXN);
    for (let start = 0; start < changes.length; start += pagesPerTxn) {
      const { guards, ops } = mergeChanges(changes.slice(start, start + pagesPerTxn));
      const result = await state.txn(urgency, guards, ops);
      if (result.kind === 'ok') {
        mirror.applyTxn(ops, result.revision);
        log.info({ shard, epoch: known.version, pages: ops.length, revision: result.revision }, 'staged pages');
        continue;
      }
      // The record has changed, another node has staged the pages, or our write is in flight: what is stored decides.
      if (result.kind !== 'refused') await rereadGuards(state, mirror, guards);
      log.info({ shard, epoch: known.version, seenUpTo: mirror.seenUpTo, why: result.kind }, 'pages are not staged');
      return false;
    }
    return true;
  }

  /** Guards for turning a record into the head of its staged pages; `otherGuards`: guards that the caller adds. */
  moveToPagesGuards(shard: ShardName, version: Revision, otherGuards = 0): Guard[] {
    const { state, directory } = this.deps;
    const pages: PageVersion[] = [];
    for (const page of directory.pagesOf(shard).values()) if (page) pages.push(page);
    return moveToPagesGuards(shard, version, pages, state.limits.maxGuards - otherGuards);
  }

  /**
   * Turns a record into a head once all pages are staged, by one small write that is guarded by the record and its
   * pages. Called by the holder of the shard.
   */
  async moveToPages(shard: ShardName, known: KnownShard): Promise<void> {
    if (!(await this.stage(shard, known, Urgency.shard))) return;
    const { version } = known;
    if (await this.writeRecord(shard, { ...known.value, epoch: version }, this.moveToPagesGuards(shard, version)))
      this.deps.log.info({ shard, machines: known.value.machines.length }, "a shard's machines are in pages now");
  }

  /**
   * Moves the machines back into the record, by one write that is guarded by the head and all pages. Resolves to false
   * if that takes more guards than a transaction may have, or if the write failed.
   */
  async moveToRecord(shard: ShardName, known: KnownShard): Promise<boolean> {
    const guards = moveToRecordGuards(shard, known);
    if (guards.length > this.deps.state.limits.maxGuards) return false;
    const done = await this.writeRecord(shard, { ...known.value, epoch: null }, guards);
    if (done) this.deps.log.info({ shard }, "a shard's machines are back in its record");
    return done;
  }

  /** Writes a shard's record or head under guards and reports whether that succeeded. */
  private async writeRecord(shard: ShardName, next: ShardValue, guards: readonly Guard[]): Promise<boolean> {
    const { state, mirror } = this.deps;
    const key = shardKey(shard);
    const op: Op & { readonly value: unknown } = { put: key, value: encodeShard(next) };
    const result = await state.txn(Urgency.shard, guards, [op]);
    if (result.kind === 'ok') mirror.apply({ key, value: op.value, removed: false, version: result.revision });
    else if (result.kind !== 'refused') await rereadGuards(state, mirror, guards);
    return result.kind === 'ok';
  }
}
