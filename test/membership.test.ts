import assert from 'node:assert/strict';
import { test } from 'node:test';
import { incarnation, nodeName, type Incarnation } from '../src/kernel/index.js';
import { Membership, ShardDirectory } from '../src/membership/index.js';
import { LEADER, LIVE, Mirror, nodeKey, StateClient, Urgency } from '../src/state/index.js';
import { Lab } from '../packages/region/test/lab.js';

const lab = new Lab();
const { model: state, at: address } = lab.state();
const key = nodeKey(nodeName('n-0'));
let lives = 0;

/** One life of the same controller. */
function life(name: Incarnation): Membership {
  const runtime = lab.process(`10.0.1.${++lives}`);
  const client = new StateClient(address, { rps: 1000, writeRps: 1000 }, lab.log, runtime);
  const mirror = new Mirror(client, LIVE, runtime, lab.log);
  const hooks = {
    ...{ held: () => [], verify: () => Promise.resolve(true), mayClaim: () => true, mayLead: () => true },
    ...{ paged: () => false, announcement: () => ({}) },
  };
  const directory = new ShardDirectory(mirror);
  return new Membership(nodeName('n-0'), [], name, client, mirror, directory, hooks, runtime, lab.log);
}

const holder = (): unknown => (state.get(key) as { incarnation?: unknown } | undefined)?.incarnation;

test('a registration that is carried out after that of the next life does not take its place', async () => {
  const [earlier, later] = [incarnation('earlier'), incarnation('later')];
  // The first one is lost on its way, and its lease lasts for a moment yet.
  const lost: unknown[] = [];
  state.spoils = ({ path, body }) => {
    if (path !== '/txn') return null;
    lost.push(body);
    return 'lost-request';
  };
  const first = life(earlier);
  await lab.settle(first.keep());
  assert.equal(first.registered, false);
  state.spoils = () => null;
  const next = life(later);
  await lab.settle(next.keep());
  assert.ok(next.registered && holder() === later);
  const path = '/txn';
  const answer = await lab.ask(lab.process('10.0.1.99'), address, { method: 'POST', path, body: lost[0] as object });
  assert.ok(answer.kind === 'answered' && answer.status === 409);
  assert.equal(holder(), later);
});

test('a life whose own registration got no answer and was carried out registers all the same', async () => {
  state.spoils = ({ path }) => {
    if (path !== '/txn') return null;
    state.spoils = () => null;
    return 'lost-answer';
  };
  const name = incarnation('third');
  const third = life(name);
  await lab.settle(third.keep());
  assert.equal(third.registered, false, 'not known to be');
  await lab.settle(third.keep());
  assert.ok(third.registered && holder() === name);
});

test('in a rush of submissions beyond its part of the changes a node is elected all the same', async () => {
  const runtime = lab.process('10.0.1.50');
  const client = new StateClient(address, { rps: 1000, writeRps: 6 }, lab.log, runtime);
  const mirror = new Mirror(client, LIVE, runtime, lab.log);
  const hooks = {
    ...{ held: () => [], verify: () => Promise.resolve(true), mayClaim: () => true, mayLead: () => true },
    ...{ paged: () => false, announcement: () => ({}) },
  };
  const name = nodeName('n-rush');
  const life = incarnation('rush');
  const directory = new ShardDirectory(mirror);
  const node = new Membership(name, [], life, client, mirror, directory, hooks, runtime, lab.log);
  await lab.settle(node.keep());
  assert.ok(node.registered);
  // Twenty a second, where it may make six, each as urgent as a submission.
  let refused = 0;
  const rush = runtime.every(50, () => {
    const key = `live/rush/${runtime.now()}`;
    void client.txn(Urgency.accept, [], [{ put: key, value: 1 }], 1500).then(({ kind }) => {
      if (kind === 'refused') refused += 1;
    });
  });
  const kept = runtime.every(1000, () => void node.keep());
  await lab.pass(5000);
  assert.ok(refused > 20, `${refused} submissions found no room`);
  const since = runtime.now();
  for (let i = 0; i < 3 && !state.get(LEADER); i++) await lab.settle(node.elect());
  const waitedMs = runtime.now() - since;
  rush.cancel();
  kept.cancel();
  assert.deepEqual(state.get(LEADER), { node: name, incarnation: life });
  assert.ok(waitedMs < 1000, `${waitedMs} ms`);
});
