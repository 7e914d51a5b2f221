import type { Runtime, ShardName } from '../kernel/index.js';
import { reread, shardKey, Urgency, type Mirror, type StateClient } from '../state/index.js';

/**
 * Settles a write of unknown outcome: reads the shard's key and writes the same value back under a guard. After that
 * the lost write has either taken effect, and is visible, or can never be applied.
 */
export const settlePendingShardWrites = (
  shard: ShardName,
  state: StateClient,
  mirror: Mirror,
  runtime: Runtime,
  shouldContinue: () => boolean,
): Promise<void> => settlePendingWrites(shardKey(shard), state, mirror, runtime, shouldContinue);

/**
 * Settles a write of unknown outcome to any key. Since this gives the key a new version, `rewrite` has to put into
 * the value itself whatever depended on the old version. Gives up when `shouldContinue` returns false.
 */
export async function settlePendingWrites(
  key: string,
  state: StateClient,
  mirror: Mirror,
  runtime: Runtime,
  shouldContinue: () => boolean,
  rewrite: (value: unknown) => unknown = (value) => value,
  /** Value to create the key with if it is absent; undefined: an absent key is left absent. */
  valueIfAbsent?: unknown,
): Promise<void> {
  while (shouldContinue()) {
    const read = await reread(state, mirror, key);
    if (read.kind === 'absent') {
      if (valueIfAbsent === undefined || !shouldContinue()) return;
      // An absent key doesn't rule out a pending write that creates it: creating the key first makes that write fail.
      const result = await state.txn(Urgency.shard, [{ key, version: 0 }], [{ put: key, value: valueIfAbsent }]);
      if (result.kind !== 'ok') {
        await runtime.sleep(300);
        continue;
      }
      mirror.apply({ key, value: valueIfAbsent, removed: false, version: result.revision });
      return;
    }
    if (read.kind === 'found') {
      const { version } = read.entry;
      if (!shouldContinue()) return;
      const value = rewrite(read.entry.value);
      const result = await state.txn(Urgency.shard, [{ key, version }], [{ put: key, value }]);
      if (result.kind === 'ok') {
        mirror.apply({ key, value, removed: false, version: result.revision });
        return;
      }
    }
    await runtime.sleep(300);
  }
}
