import type { ReadResult, StateClient } from './client.js';
import type { Mirror } from './mirror.js';
import type { Guard } from './wire.js';

/** Reads a key from the state service and applies the entry to the mirror, ahead of the watch. */
export async function reread(
  state: Pick<StateClient, 'get'>,
  mirror: Pick<Mirror, 'apply'>,
  key: string,
): Promise<ReadResult> {
  const read = await state.get(key);
  if (read.kind === 'found') {
    const { value, version } = read.entry;
    mirror.apply({ key: read.entry.key, value, removed: false, version });
  }
  return read;
}

/** Rereads all guarded keys of a refused write, because the watch may not have shown the conflicting change yet. */
export async function rereadGuards(
  state: Pick<StateClient, 'get'>,
  mirror: Pick<Mirror, 'apply'>,
  guards: readonly Guard[],
): Promise<void> {
  await Promise.all(guards.map(({ key }) => reread(state, mirror, key)));
}
