import { sleep, type ShardName } from '../kernel/index.js';
import { shardKey, Urgency, type Mirror, type StateClient } from '../state/index.js';

/**
 * After a write of unknown outcome: reads the shard's key and writes it back under guard. Once that
 * is done the lost write either shows or can never be applied any more.
 */
export async function settleShard(
  shard: ShardName,
  state: StateClient,
  mirror: Mirror,
  goOn: () => boolean,
): Promise<void> {
  const key = shardKey(shard);
  while (goOn()) {
    const read = await state.get(key);
    if (read.kind === 'absent') return;
    if (read.kind === 'found') {
      const { value, version } = read.entry;
      mirror.apply({ key, value, removed: false, version });
      if (!goOn()) return;
      const result = await state.txn(Urgency.shard, [{ key, version }], [{ put: key, value }]);
      if (result.kind === 'ok') {
        mirror.apply({ key, value, removed: false, version: result.revision });
        return;
      }
    }
    await sleep(300);
  }
}
