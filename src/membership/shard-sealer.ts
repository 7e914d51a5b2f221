import type { Logger, ShardName } from '../kernel/index.js';
import { nodeKey, reread, shardKey, Urgency, type Mirror, type Op, type StateClient } from '../state/index.js';
import type { KnownShard } from './block-pages.js';
import { encodeShard, SEALED_HOLDER } from './shard-record.js';

/** What sealing records needs from the rest of the controller. */
export interface ShardSealerDeps {
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly log: Logger;
}

/**
 * Value of the node key of a sealed record's nominal holder. It is never removed, so the first release sees a live
 * node.
 */
const SEALED_NODE_VALUE = { incarnation: SEALED_HOLDER as string };

/**
 * Seals a shard's record, which makes releases without quota shares leave it alone, or removes the seal. Only the
 * holder of the shard does this.
 */
export class ShardSealer {
  constructor(private readonly deps: ShardSealerDeps) {}

  /** Writes the record with or without the seal. Resolves without effect if the record has changed meanwhile. */
  async setSealed(shard: ShardName, known: KnownShard, sealed: boolean): Promise<void> {
    const { state, mirror, log } = this.deps;
    const key = shardKey(shard);
    const node = nodeKey(SEALED_HOLDER);
    const ops: Op[] = [{ put: key, value: encodeShard({ ...known.value, sealed }) }];
    // Written together with the first seal and without a guard: every writer writes the same value.
    if (sealed && !mirror.get(node)) ops.push({ put: node, value: SEALED_NODE_VALUE });
    const result = await state.txn(Urgency.shard, [{ key, version: known.version as number }], ops);
    if (result.kind === 'ok') {
      mirror.applyTxn(ops, result.revision);
      log.info({ shard, sealed }, "changed the format of a shard's record for quota shares");
      return;
    }
    if (result.kind !== 'refused') await reread(state, mirror, key);
  }
}
