import type { ReadResult, StateClient } from './client.js';
import type { Mirror } from './mirror.js';
import type { Guard } from './wire.js';

/** Reads a key afresh and takes what is there into the mirror, ahead of the watch. */
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

/** The same for all that a write was guarded by: the watch may be too far behind to show what has refused it. */
export async function rereadGuards(
  state: Pick<StateClient, 'get'>,
  mirror: Pick<Mirror, 'apply'>,
  guards: readonly Guard[],
): Promise<void> {
  await Promise.all(guards.map(({ key }) => reread(state, mirror, key)));
}
