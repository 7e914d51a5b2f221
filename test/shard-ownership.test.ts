import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ShardHolder } from '../src/holder/index.js';
import { incarnation, nodeName, revision, shardName, type Incarnation, type NodeName } from '../src/kernel/index.js';
import { PeerTransport, type PeerMessage } from '../src/peers/index.js';
import { ShardOwnership, type OwnershipDeps } from '../src/service/index.js';
import { SimulationHarness } from '../packages/region/test/simulation-harness.js';

const [CLAIMANT, PREVIOUS] = [nodeName('claimant'), nodeName('previous')];
const SHARD = shardName('previous');
const CLAIMED_AT = revision(12);
const HELLO_DELIVERY_MS = 2000;

/** What a claimant has done about the previous holder of its shard. */
interface ClaimantActions {
  readonly confirmed: NodeName[];
  readonly sent: PeerMessage['kind'][];
}

/**
 * Lets a claimant look once at the previous holder of its shard, after a hello of some incarnation of that node has
 * arrived. `live` is the incarnation in the node's key.
 */
async function reconcileAfterHello(hello: Incarnation, previous: Incarnation, live: Incarnation | null) {
  const lab = new SimulationHarness();
  const [at, seed] = [
    { host: '10.0.1.1', port: 8081 },
    { host: '10.0.1.2', port: 8081 },
  ];
  const condition = { ...{ stateOk: true, fit: true, leaving: false }, release: 1, features: [], limitsFallen: false };
  const start = (
    name: NodeName,
    own: Incarnation,
    listen: typeof at,
    other: { node: NodeName; address: typeof at },
  ) => {
    const runtime = lab.process(listen.host);
    const peers = new PeerTransport(name, own, listen, [other], () => condition, runtime, lab.log);
    peers.start();
    return { peers, runtime };
  };
  const { peers, runtime } = start(CLAIMANT, incarnation('claimant-1'), at, { node: PREVIOUS, address: seed });
  start(PREVIOUS, hello, seed, { node: CLAIMANT, address: at });
  await lab.advance(HELLO_DELIVERY_MS);
  assert.equal(peers.statusOf(PREVIOUS)?.incarnation, hello);

  const actions: ClaimantActions = { confirmed: [], sent: [] };
  const send = (_to: NodeName, message: PeerMessage): boolean => actions.sent.push(message.kind) > 0;
  const ownership = new ShardOwnership({
    ...{ self: CLAIMANT, ownShard: SHARD, runtime, log: lab.log },
    peers: { statusOf: (node: NodeName) => peers.statusOf(node), peerNames: peers.peerNames, send },
    directory: { all: new Map() },
    membership: () => ({ liveIncarnationOf: () => live, paging: null }),
    reachesWorkers: () => true,
    blockFormat: () => 'any',
    sealRecords: () => null,
  } as unknown as OwnershipDeps);
  ownership.holders.set(SHARD, {
    claimedAt: CLAIMED_AT,
    unconfirmedPreviousHolders: [{ node: PREVIOUS, incarnation: previous }],
    confirmStopped: (node: NodeName) => actions.confirmed.push(node),
  } as unknown as ShardHolder);
  await ownership.reconcile();
  return actions;
}

// Guards against a holder that still runs being taken for ended: hellos of the process before it may arrive late, and
// its machines' leases would count as expired too early.
test('a hello of another incarnation does not prove that the previous holder has stopped: it is asked to stop', async () => {
  const [earlier, holder, later] = [incarnation('previous-1'), incarnation('previous-2'), incarnation('previous-3')];
  assert.deepEqual(await reconcileAfterHello(earlier, holder, null), { confirmed: [], sent: ['standdown'] });
  assert.deepEqual(await reconcileAfterHello(earlier, holder, holder), { confirmed: [], sent: ['standdown'] });
  assert.deepEqual(await reconcileAfterHello(later, holder, later), { confirmed: [PREVIOUS], sent: [] });
});
