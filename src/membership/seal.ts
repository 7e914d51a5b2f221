import type { Logger, ShardName } from '../kernel/index.js';
import { nodeKey, reread, shardKey, Urgency, type Mirror, type Op, type StateClient } from '../state/index.js';
import type { KnownShard } from './pages.js';
import { encodeShard, SEALED_HOLDER } from './shard.js';

export interface SealDeps {
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly log: Logger;
}

/** The key that a sealed record's named holder has for ever, so that the first release takes it for alive. */
const SEALED_NODE = { incarnation: SEALED_HOLDER as string };

/** Puts a shard's record into the form that releases without quota shares leave alone, or back; by its holder's write. */
export class Seals {
  constructor(private readonly deps: SealDeps) {}

  async set(shard: ShardName, known: KnownShard, sealed: boolean): Promise<void> {
    const { state, mirror, log } = this.deps;
    const key = shardKey(shard);
    const node = nodeKey(SEALED_HOLDER);
    const ops: Op[] = [{ put: key, value: encodeShard({ ...known.value, sealed }) }];
    // Together with the first seal, and not guarded: whoever writes it writes the same.
    if (sealed && !mirror.get(node)) ops.push({ put: node, value: SEALED_NODE });
    const result = await state.txn(Urgency.shard, [{ key, version: known.version as number }], ops);
    if (result.kind === 'ok') {
      mirror.wrote(ops, result.revision);
      log.info({ shard, sealed }, "a shard's record has changed its form, for quota shares");
      return;
    }
    if (result.kind !== 'refused') await reread(state, mirror, key);
  }
}
