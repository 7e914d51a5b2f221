import type { Runtime, ShardName } from '../kernel/index.js';
import { reread, shardKey, Urgency, type Mirror, type StateClient } from '../state/index.js';

/**
 * After a write of unknown outcome: reads the shard's key and writes it back under guard. Once that
 * is done the lost write either shows or can never be applied any more.
 */
export const settleShard = (
  shard: ShardName,
  state: StateClient,
  mirror: Mirror,
  runtime: Runtime,
  goOn: () => boolean,
): Promise<void> => settleKey(shardKey(shard), state, mirror, runtime, goOn);

/** The same for any key. What a value owes to its version must be in the rewritten value itself. */
export async function settleKey(
  key: string,
  state: StateClient,
  mirror: Mirror,
  runtime: Runtime,
  goOn: () => boolean,
  rewritten: (value: unknown) => unknown = (value) => value,
  /** What to make of a key that isn't there; undefined: nothing. */
  absent?: unknown,
): Promise<void> {
  while (goOn()) {
    const read = await reread(state, mirror, key);
    if (read.kind === 'absent') {
      if (absent === undefined || !goOn()) return;
      // Not there says nothing of a write that would make it: it has to be made first.
      const result = await state.txn(Urgency.shard, [{ key, version: 0 }], [{ put: key, value: absent }]);
      if (result.kind !== 'ok') {
        await runtime.sleep(300);
        continue;
      }
      mirror.apply({ key, value: absent, removed: false, version: result.revision });
      return;
    }
    if (read.kind === 'found') {
      const { version } = read.entry;
      if (!goOn()) return;
      const value = rewritten(read.entry.value);
      const result = await state.txn(Urgency.shard, [{ key, version }], [{ put: key, value }]);
      if (result.kind === 'ok') {
        mirror.apply({ key, value, removed: false, version: result.revision });
        return;
      }
    }
    await runtime.sleep(300);
  }
}
