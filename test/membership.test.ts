import assert from 'node:assert/strict';
import { test } from 'node:test';
import { incarnation, nodeName, type Incarnation } from '../src/kernel/index.js';
import { Membership, ShardDirectory } from '../src/membership/index.js';
import { LEADER_KEY, LIVE_PREFIX, Mirror, nodeKey, StateClient, Urgency } from '../src/state/index.js';
import { SimulationHarness } from '../packages/region/test/simulation-harness.js';

const lab = new SimulationHarness();
const { model, at: address } = lab.state();
const key = nodeKey(nodeName('n-0'));
let processes = 0;

/** Starts another incarnation of the same controller. */
function startMembership(name: Incarnation): Membership {
  const runtime = lab.process(`10.0.1.${++processes}`);
  const client = new StateClient(address, { rps: 1000, writeRps: 1000 }, lab.log, runtime);
  const mirror = new Mirror(client, LIVE_PREFIX, runtime, lab.log);
  const hooks = {
    ...{ held: () => [], verifyOwnership: () => Promise.resolve(true), mayClaim: () => true, mayLead: () => true },
    ...{ usesPages: () => false, announcement: () => ({}) },
  };
  const directory = new ShardDirectory(mirror);
  return new Membership(nodeName('n-0'), [], name, client, mirror, directory, hooks, runtime, lab.log);
}

const registeredIncarnation = (): unknown => (model.get(key) as { incarnation?: unknown } | undefined)?.incarnation;

test('a delayed registration of an earlier incarnation does not replace that of the next one', async () => {
  const [earlier, later] = [incarnation('earlier'), incarnation('later')];
  // The first registration is lost in transit, while its lease is still valid for a moment.
  const lost: unknown[] = [];
  model.injectFault = ({ path, body }) => {
    if (path !== '/txn') return null;
    lost.push(body);
    return 'lost-request';
  };
  const first = startMembership(earlier);
  await lab.runUntilSettled(first.maintainLease());
  assert.equal(first.registered, false);
  model.injectFault = () => null;
  const next = startMembership(later);
  await lab.runUntilSettled(next.maintainLease());
  assert.ok(next.registered && registeredIncarnation() === later);
  const path = '/txn';
  const answer = await lab.request(lab.process('10.0.1.99'), address, {
    method: 'POST',
    path,
    body: lost[0] as object,
  });
  assert.ok(answer.kind === 'answered' && answer.status === 409);
  assert.equal(registeredIncarnation(), later);
});

test('an incarnation whose registration was applied without an answer registers on the next attempt', async () => {
  model.injectFault = ({ path }) => {
    if (path !== '/txn') return null;
    model.injectFault = () => null;
    return 'lost-answer';
  };
  const own = incarnation('third');
  const third = startMembership(own);
  await lab.runUntilSettled(third.maintainLease());
  assert.equal(third.registered, false, 'the outcome is unknown');
  await lab.runUntilSettled(third.maintainLease());
  assert.ok(third.registered && registeredIncarnation() === own);
});

test('a node is elected during a burst of submissions beyond its share of writes', async () => {
  const runtime = lab.process('10.0.1.50');
  const client = new StateClient(address, { rps: 1000, writeRps: 6 }, lab.log, runtime);
  const mirror = new Mirror(client, LIVE_PREFIX, runtime, lab.log);
  const hooks = {
    ...{ held: () => [], verifyOwnership: () => Promise.resolve(true), mayClaim: () => true, mayLead: () => true },
    ...{ usesPages: () => false, announcement: () => ({}) },
  };
  const self = nodeName('n-rush');
  const own = incarnation('rush');
  const directory = new ShardDirectory(mirror);
  const node = new Membership(self, [], own, client, mirror, directory, hooks, runtime, lab.log);
  await lab.runUntilSettled(node.maintainLease());
  assert.ok(node.registered);
  // Twenty writes per second with a limit of six, each with the urgency of a submission.
  let refused = 0;
  const submissions = runtime.every(50, () => {
    const key = `live/rush/${runtime.now()}`;
    void client.txn(Urgency.accept, [], [{ put: key, value: 1 }], 1500).then(({ kind }) => {
      if (kind === 'refused') refused += 1;
    });
  });
  const leaseRenewal = runtime.every(1000, () => void node.maintainLease());
  await lab.advance(5000);
  assert.ok(refused > 20, `${refused} submissions were refused`);
  const since = runtime.now();
  for (let i = 0; i < 3 && !model.get(LEADER_KEY); i++) await lab.runUntilSettled(node.elect());
  const waitedMs = runtime.now() - since;
  submissions.cancel();
  leaseRenewal.cancel();
  assert.deepEqual(model.get(LEADER_KEY), { node: self, incarnation: own });
  assert.ok(waitedMs < 1000, `${waitedMs} ms`);
});
