import type { MachineId } from '../kernel/index.js';
import { removeMachines, type BlockChange } from '../membership/index.js';
import { LEADER_KEY, PAGES_PREFIX, reread, Urgency, type StateClient } from '../state/index.js';
import type { LeaderDeps } from './leader.js';

/** Limit on the pages that one transaction changes when machines are removed from blocks. */
const MAX_PAGES_PER_REMOVAL_TXN = 4;
/** Number of times that the removal is tried anew after a conflict. */
const MAX_ATTEMPTS = 3;

/** How many of these changes fit in one transaction. */
function changesPerTransaction(changes: readonly BlockChange[], { limits }: StateClient): number {
  const isWholeRecord = changes.some(({ ops }) => ops.some((op) => 'put' in op && !op.put.startsWith(PAGES_PREFIX)));
  // Several whole records may exceed the transaction's size limit.
  return isWholeRecord ? 1 : Math.max(1, Math.min(limits.txnOps, MAX_PAGES_PER_REMOVAL_TXN));
}

/** Removes machines from all blocks, in up to `MAX_ATTEMPTS` attempts, for as long as this node is the leader. */
export async function removeFromBlocks(
  deps: Pick<LeaderDeps, 'state' | 'mirror' | 'shards' | 'leaderTerm'>,
  ids: ReadonlySet<MachineId>,
): Promise<void> {
  const { state, mirror, shards } = deps;
  for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
    const changes = [...shards.all].flatMap(([name, known]) =>
      removeMachines(name, known, ids).map(({ change }) => change),
    );
    if (changes.length === 0) return;
    const perTransaction = changesPerTransaction(changes, state);
    for (let at = 0; at < changes.length; at += perTransaction) {
      const term = deps.leaderTerm();
      if (term === null) return;
      const batch = changes.slice(at, at + perTransaction);
      const guards = [...batch.flatMap((change) => change.guards), { key: LEADER_KEY, version: term as number }];
      const ops = batch.flatMap((change) => change.ops);
      const result = await state.txn(Urgency.shard, guards, ops);
      if (result.kind === 'ok') {
        mirror.applyTxn(ops, result.revision);
        continue;
      }
      for (const { key } of batch.flatMap((change) => change.guards)) await reread(state, mirror, key);
    }
  }
}
