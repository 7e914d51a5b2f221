/** Tests of the operators' settings store under concurrent changes, faults and size limits. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  CHANGE_DEADLINE_MS,
  decodeSettings,
  markMachine,
  MAX_PENDING_CHANGES,
  SettingsStore,
  type SettingsResult,
} from '../src/admin/index.js';
import { LIVE_PREFIX, Mirror, SETTINGS_KEY, StateClient } from '../src/state/index.js';
import { SimulationHarness } from '../packages/region/test/simulation-harness.js';
import type { StateServiceConfig, StateModel } from '../packages/region/src/index.js';

const CONTROLLERS = 7;

interface Cluster {
  readonly lab: SimulationHarness;
  readonly model: StateModel;
  readonly stores: readonly SettingsStore[];
}

/** Creates one settings store per controller, each with its own client, on one state service. */
function cluster(facts: Partial<StateServiceConfig> = {}, seed = 1): Cluster {
  const lab = new SimulationHarness(seed);
  const { model, at } = lab.state({ rps: 350, writeRps: 50, ...facts });
  const stores = Array.from({ length: CONTROLLERS }, (_, i) => {
    const runtime = lab.process(`10.0.0.${i + 1}`);
    const client = new StateClient(at, { rps: 350, writeRps: 50, ...facts }, lab.log, runtime);
    client.writers = CONTROLLERS;
    return new SettingsStore(client, new Mirror(client, LIVE_PREFIX, runtime, lab.log), runtime);
  });
  return { lab, model, stores };
}

const cordon = ({ stores }: Cluster, count: number): Promise<SettingsResult>[] =>
  Array.from({ length: count }, (_, i) => {
    const store = stores[i % stores.length];
    assert.ok(store);
    return store.change((settings) => markMachine(settings, `m-${i}`, 'cordon'));
  });

const kinds = (results: readonly SettingsResult[]): string[] => [...new Set(results.map(({ kind }) => kind))];

test('sixty machines cordoned concurrently through seven controllers: every change is stored', async () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const testCluster = cluster({}, seed);
    const results = await testCluster.lab.runUntilSettled(Promise.all(cordon(testCluster, 60)));
    assert.deepEqual(kinds(results), ['stored'], `seed ${seed}`);
    assert.equal(decodeSettings(testCluster.model.get(SETTINGS_KEY)).cordoned.size, 60);
    // Group commit: about one write per controller and a few after conflicts, far fewer than one per change.
    assert.ok(testCluster.model.counts.changes <= CONTROLLERS * 2, `${testCluster.model.counts.changes} changes`);
  }
});

test('transactions that are executed late or lose their answer neither lose a change nor undo a newer one', async () => {
  for (const lateAtOnce of [true, false]) {
    const testCluster = cluster();
    testCluster.model.lateWriteShare = 0.4;
    testCluster.model.appliesLateWritesAtOnce = lateAtOnce;
    const results = await testCluster.lab.runUntilSettled(Promise.all(cordon(testCluster, 14)));
    testCluster.model.lateWriteShare = 0;
    const stored = results.flatMap(({ kind }, i) => (kind === 'stored' ? [`m-${i}`] : []));
    assert.ok(stored.length > 0);
    // Longer than the longest delay of a transaction.
    await testCluster.lab.advance(15_000);
    const { cordoned } = decodeSettings(testCluster.model.get(SETTINGS_KEY));
    for (const id of stored) assert.ok(cordoned.has(id), `${id} was reported as stored`);
  }
});

test('without the state service a change is reported unavailable by its deadline, and at once if the queue is full', async () => {
  const testCluster = cluster();
  testCluster.model.setOutage(true);
  const { lab, stores } = testCluster;
  const [store] = stores;
  assert.ok(store);
  const startedAt = lab.world.now;
  const results = await lab.runUntilSettled(Promise.all(cordon(testCluster, 7)));
  assert.deepEqual(kinds(results), ['unavailable']);
  assert.ok(lab.world.now - startedAt < CHANGE_DEADLINE_MS + 2500, `${lab.world.now - startedAt} ms`);
  const waiting = Array.from({ length: MAX_PENDING_CHANGES + 10 }, () => store.change((settings) => settings));
  const last = waiting.at(-1);
  assert.ok(last);
  assert.equal((await last).kind, 'unavailable');
  await lab.runUntilSettled(Promise.all(waiting));
});

test('a batch that is too large for one value: changes that fit are stored, each of the others is reported as too large', async () => {
  const testCluster = cluster({ valueKb: 0.5 });
  const [store] = testCluster.stores;
  assert.ok(store);
  const changes = Array.from({ length: 80 }, (_, i) => store.change((s) => markMachine(s, `machine-${i}`, 'cordon')));
  const results = await testCluster.lab.runUntilSettled(Promise.all(changes));
  assert.deepEqual(kinds(results).sort(), ['stored', 'too-large']);
  const { cordoned } = decodeSettings(testCluster.model.get(SETTINGS_KEY));
  results.forEach(({ kind }, i) => assert.equal(cordoned.has(`machine-${i}`), kind === 'stored', `machine-${i}`));
});
