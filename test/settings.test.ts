import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  CHANGE_DEADLINE_MS,
  decodeSettings,
  mark,
  MAX_PENDING_CHANGES,
  SettingsStore,
  type SettingsResult,
} from '../src/admin/index.js';
import { LIVE, Mirror, SETTINGS, StateClient } from '../src/state/index.js';
import { Lab } from '../packages/region/test/lab.js';
import type { StateFacts, StateModel } from '../packages/region/src/index.js';

const CONTROLLERS = 7;

interface Cluster {
  readonly lab: Lab;
  readonly model: StateModel;
  readonly stores: readonly SettingsStore[];
}

/** As many settings stores as there are controllers, each with a client of its own, on one state service. */
function cluster(facts: Partial<StateFacts> = {}, seed = 1): Cluster {
  const lab = new Lab(seed);
  const { model, at } = lab.state({ rps: 350, writeRps: 50, ...facts });
  const stores = Array.from({ length: CONTROLLERS }, (_, i) => {
    const runtime = lab.process(`10.0.0.${i + 1}`);
    const client = new StateClient(at, { rps: 350, writeRps: 50, ...facts }, lab.log, runtime);
    client.writers = CONTROLLERS;
    return new SettingsStore(client, new Mirror(client, LIVE, runtime, lab.log), runtime);
  });
  return { lab, model, stores };
}

const cordon = ({ stores }: Cluster, count: number): Promise<SettingsResult>[] =>
  Array.from({ length: count }, (_, i) => {
    const store = stores[i % stores.length];
    assert.ok(store);
    return store.change((settings) => mark(settings, `m-${i}`, 'cordon'));
  });

const kinds = (results: readonly SettingsResult[]): string[] => [...new Set(results.map(({ kind }) => kind))];

test('sixty machines cordoned at once through seven controllers: every change is stored', async () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const played = cluster({}, seed);
    const results = await played.lab.settle(Promise.all(cordon(played, 60)));
    assert.deepEqual(kinds(results), ['stored'], `seed ${seed}`);
    assert.equal(decodeSettings(played.model.get(SETTINGS)).cordoned.size, 60);
    // One write for each node that wins, and those that lost to it: far fewer than one for each change.
    assert.ok(played.model.counts.changes <= CONTROLLERS * 2, `${played.model.counts.changes} changes`);
  }
});

test('transactions that are carried out late, or lose their answer, neither lose a change nor undo a newer one', async () => {
  for (const lateAtOnce of [true, false]) {
    const played = cluster();
    played.model.lateWrites = 0.4;
    played.model.lateAtOnce = lateAtOnce;
    const results = await played.lab.settle(Promise.all(cordon(played, 14)));
    played.model.lateWrites = 0;
    const told = results.flatMap(({ kind }, i) => (kind === 'stored' ? [`m-${i}`] : []));
    assert.ok(told.length > 0);
    // Longer than any transaction is late.
    await played.lab.pass(15_000);
    const { cordoned } = decodeSettings(played.model.get(SETTINGS));
    for (const id of told) assert.ok(cordoned.has(id), `${id} was told as stored`);
  }
});

test('without the state service a change is told as unavailable by its deadline, and a full queue at once', async () => {
  const played = cluster();
  played.model.outage(true);
  const { lab, stores } = played;
  const [store] = stores;
  assert.ok(store);
  const began = lab.world.now;
  const results = await lab.settle(Promise.all(cordon(played, 7)));
  assert.deepEqual(kinds(results), ['unavailable']);
  assert.ok(lab.world.now - began < CHANGE_DEADLINE_MS + 2500, `${lab.world.now - began} ms`);
  const waiting = Array.from({ length: MAX_PENDING_CHANGES + 10 }, () => store.change((settings) => settings));
  const last = waiting.at(-1);
  assert.ok(last);
  assert.equal((await last).kind, 'unavailable');
  await lab.settle(Promise.all(waiting));
});

test('a batch that is too large for one value: what still fits is stored, each of the others is told', async () => {
  const played = cluster({ valueKb: 0.5 });
  const [store] = played.stores;
  assert.ok(store);
  const changes = Array.from({ length: 80 }, (_, i) => store.change((s) => mark(s, `machine-${i}`, 'cordon')));
  const results = await played.lab.settle(Promise.all(changes));
  assert.deepEqual(kinds(results).sort(), ['stored', 'too-large']);
  const { cordoned } = decodeSettings(played.model.get(SETTINGS));
  results.forEach(({ kind }, i) => assert.equal(cordoned.has(`machine-${i}`), kind === 'stored', `machine-${i}`));
});
