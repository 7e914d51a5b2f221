import type { Logger, Revision, ShardName } from '../kernel/index.js';
import { rereadGuards, shardKey, Urgency, type Guard, type Mirror, type Op, type StateClient } from '../state/index.js';
import type { ShardDirectory } from './directory.js';
import { flipGuards, foldGuards, stageChanges, type BlockChange, type KnownShard, type PageVersion } from './pages.js';
import { encodeShard, type ShardValue } from './shard.js';

export interface PagingDeps {
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly directory: ShardDirectory;
  readonly log: Logger;
}

/** Pages written in one transaction at most. */
const PAGES_AT_ONCE = 8;

/** One transaction for several pages: conditions that they share are named once. */
function together(changes: readonly BlockChange[]): BlockChange {
  const guards = new Map(changes.flatMap((change) => change.guards).map((guard) => [guard.key, guard]));
  return { guards: [...guards.values()], ops: changes.flatMap(({ ops }) => ops) };
}

/** Puts a shard's machines from its record into pages, and back. */
export class Paging {
  constructor(private readonly deps: PagingDeps) {}

  /**
   * Stages pages for the record as it stands, in small writes; true once all are there. They count for nothing until a
   * head names their epoch, which is the record's version: so whoever ends in the middle leaves nothing to undo, and
   * another goes on with what is there. If the record changes meanwhile, they are staged anew.
   */
  async stage(shard: ShardName, known: KnownShard, urgency: Urgency): Promise<boolean> {
    const { state, directory, mirror, log } = this.deps;
    const { limits } = state;
    const changes = stageChanges(shard, known, directory.pagesOf(shard), limits.valueBytes);
    if (changes === null) return false;
    const atOnce = Math.min(limits.txnOps, PAGES_AT_ONCE);
    for (let at = 0; at < changes.length; at += atOnce) {
      const { guards, ops } = together(changes.slice(at, at + atOnce));
      const result = await state.txn(urgency, guards, ops);
      if (result.kind === 'ok') {
        mirror.wrote(ops, result.revision);
        log.info({ shard, epoch: known.version, pages: ops.length, revision: result.revision }, 'staged pages');
        continue;
      }
      // The record has changed, another has staged them, or a write of ours is on its way: what is there decides.
      if (result.kind !== 'refused') await rereadGuards(state, mirror, guards);
      log.info({ shard, epoch: known.version, seenUpTo: mirror.seenUpTo, why: result.kind }, 'pages are not staged');
      return false;
    }
    return true;
  }

  /** What must stand unchanged while a record becomes the head of its staged pages; `others`: conditions beside these. */
  flipGuards(shard: ShardName, version: Revision, others = 0): Guard[] {
    const { state, directory } = this.deps;
    const pages: PageVersion[] = [];
    for (const page of directory.pagesOf(shard).values()) if (page) pages.push(page);
    return flipGuards(shard, version, pages, state.limits.conditions - others);
  }

  /** The holder turns its record into a head, once all pages are staged; by one small write that record and pages guard. */
  async flip(shard: ShardName, known: KnownShard): Promise<void> {
    if (!(await this.stage(shard, known, Urgency.shard))) return;
    const { version } = known;
    if (await this.put(shard, { ...known.value, epoch: version }, this.flipGuards(shard, version)))
      this.deps.log.info({ shard, machines: known.value.machines.length }, "a shard's machines are in pages now");
  }

  /** Back into one record, by one write that the head and all pages guard; false: it doesn't fit any more. */
  async fold(shard: ShardName, known: KnownShard): Promise<boolean> {
    const guards = foldGuards(shard, known);
    if (guards.length > this.deps.state.limits.conditions) return false;
    const done = await this.put(shard, { ...known.value, epoch: null }, guards);
    if (done) this.deps.log.info({ shard }, "a shard's machines are back in its record");
    return done;
  }

  private async put(shard: ShardName, next: ShardValue, guards: readonly Guard[]): Promise<boolean> {
    const { state, mirror } = this.deps;
    const key = shardKey(shard);
    const op: Op & { readonly value: unknown } = { put: key, value: encodeShard(next) };
    const result = await state.txn(Urgency.shard, guards, [op]);
    if (result.kind === 'ok') mirror.apply({ key, value: op.value, removed: false, version: result.revision });
    else if (result.kind !== 'refused') await rereadGuards(state, mirror, guards);
    return result.kind === 'ok';
  }
}
