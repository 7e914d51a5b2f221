import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decodeSettings, encodeSettings, markMachine, SettingsStore } from '../src/admin/index.js';
import { JobRun, planGroupedProgress } from '../src/holder/index.js';
import {
  decodeJobFinal,
  decodeJobRecord,
  encodeGroupedProgress,
  encodeJobRecord,
  groupedProgressOf,
  groupedProgressWriter,
  type JobRecord,
} from '../src/jobs/index.js';
import { BitSet, incarnation, jobId, millis, nodeName, revision, shardName, wallMillis } from '../src/kernel/index.js';
import { decodeShard, encodeShard, type ShardValue } from '../src/membership/index.js';
import { formatVersionOf, LIVE_PREFIX, Mirror, SETTINGS_KEY, StateClient } from '../src/state/index.js';
import { spec } from './standins/jobs.js';
import { SimulationHarness } from '../packages/region/test/simulation-harness.js';

const asStored = (value: unknown): Record<string, unknown> =>
  JSON.parse(JSON.stringify(value)) as Record<string, unknown>;
const shard: ShardValue = {
  ...{ holder: nodeName('n-0'), incarnation: incarnation('a'), released: false, next: null, earlier: [], machines: [] },
  epoch: null,
};
const record = (tasks: number, id = 'j-1'): JobRecord => ({
  awaits: [],
  ...{
    spec: spec({ id: jobId(id), tasks }),
    shard: shardName('n-0'),
    submittedAt: wallMillis(5),
    done: BitSet.empty(tasks),
  },
});
const runOf = (tasks: number, id = 'j-1'): JobRun => new JobRun(record(tasks, id), revision(1), revision(1), millis(0));

/** Fields that a later release may have added, under names that this release doesn't use. */
const added = fc.dictionary(
  fc.string({ minLength: 1, maxLength: 6 }).map((name) => `x${name}`),
  fc.jsonValue({ maxDepth: 2 }),
  { maxKeys: 4 },
);

test('records of every kind keep fields that this release does not know', () => {
  fc.assert(
    fc.property(added, (later) => {
      const kinds: [unknown, (value: unknown) => unknown][] = [
        [encodeShard(shard), (value) => encodeShard(decodeShard(value) ?? shard)],
        [encodeJobRecord(record(9)), (value) => encodeJobRecord(decodeJobRecord(value) ?? record(9))],
        [
          encodeSettings(decodeSettings(null)),
          (value) => encodeSettings(markMachine(decodeSettings(value), 'm-1', 'uncordon')),
        ],
      ];
      for (const [stored, rewrite] of kinds) {
        const extended = asStored({ ...(stored as object), ...later });
        assert.deepEqual(asStored(rewrite(extended)), extended);
      }
    }),
    { seed: 3, numRuns: 200 },
  );
});

test('a record of a later format version is not decoded; a record without a version has the first', () => {
  assert.deepEqual(
    [undefined, {}, { v: 'x' }, { v: 0 }, { v: 1.5 }, { v: 3 }].map(formatVersionOf),
    [1, 1, 1, 1, 1, 3],
  );
  assert.equal(decodeShard({ ...asStored(encodeShard(shard)), v: 3 }), null);
  assert.ok(decodeShard({ ...asStored(encodeShard(shard)), v: 1 }));
  assert.equal(decodeJobRecord({ ...asStored(encodeJobRecord(record(3))), v: 3 }), null);
  assert.equal(groupedProgressWriter({ v: 2, by: 'a', jobs: {} }), null);
  assert.equal(groupedProgressOf({ v: 2, by: 'a', jobs: { 'j-1': '/w==' } }, jobId('j-1'), 8), null);
  // Final records are kept forever, so every release decodes them whatever their version.
  assert.deepEqual(decodeJobFinal({ v: 9, phase: 'done', done: 3, more: 1 }), { phase: 'done', done: 3, at: null });
});

test('an unknown tunable of a later release is kept, and the known ones are still decoded', () => {
  const settings = decodeSettings({ tunables: { alpha: 0.125, gamma: 7 }, cordoned: ['m-1'] });
  assert.equal(settings.tunables.alpha, 0.125);
  assert.deepEqual((asStored(encodeSettings(settings))['tunables'] as { gamma?: number }).gamma, 7);
});

test('settings of a later release are not overwritten, and the last known settings stay in force', async () => {
  const lab = new SimulationHarness();
  const { model, at } = lab.state();
  const runtime = lab.process('10.0.0.1');
  const client = new StateClient(at, { rps: 100, writeRps: 100 }, lab.log, runtime);
  const mirror = new Mirror(client, LIVE_PREFIX, runtime, lab.log);
  const store = new SettingsStore(client, mirror, runtime);
  const changed = await lab.runUntilSettled(store.change((s) => markMachine(s, 'm-1', 'cordon')));
  assert.equal(changed.kind, 'stored');
  assert.ok(store.current.cordoned.has('m-1'));
  const later = { v: 2, marks: [['m-1', 'cordon']] };
  model.put(SETTINGS_KEY, later);
  mirror.apply({ key: SETTINGS_KEY, value: later, removed: false, version: revision(model.revision) });
  assert.ok(store.current.cordoned.has('m-1'));
  assert.equal((await lab.runUntilSettled(store.change((s) => markMachine(s, 'm-1', 'uncordon')))).kind, 'foreign');
  assert.equal((await lab.runUntilSettled(store.read())).kind, 'foreign');
  assert.deepEqual(model.get(SETTINGS_KEY), later);
});

test('bit sets of task numbers have the same members and unions as plain sets', () => {
  const numbers = fc.array(fc.integer({ min: 0, max: 69 }));
  const bitsOf = (list: readonly number[]): BitSet => {
    const bits = BitSet.empty(70);
    for (const n of list) bits.add(n);
    return bits;
  };
  fc.assert(
    fc.property(numbers, numbers, (a, b) => {
      const both = bitsOf(a).union(bitsOf(b));
      const plain = [...new Set([...a, ...b])].sort((x, y) => x - y);
      assert.deepEqual([...both.members()], plain);
      assert.equal(both.count, plain.length);
    }),
    { seed: 4, numRuns: 200 },
  );
});

test('model: a progress group holds all done tasks of the oldest jobs that fit, and stays within its limit', () => {
  const jobs = fc.array(
    fc.record({
      tasks: fc.integer({ min: 1, max: 6000 }),
      done: fc.array(fc.nat(5999), { maxLength: 5 }),
      ended: fc.boolean(),
    }),
    { maxLength: 20 },
  );
  fc.assert(
    fc.property(jobs, fc.integer({ min: 200, max: 5000 }), (given, room) => {
      const runs = given.map(({ tasks, done, ended }, i) => {
        const run = runOf(tasks, `j-${i}`);
        for (const index of done) run.done.add(index % tasks);
        run.ended = ended;
        return run;
      });
      const { jobs: grouped, own } = planGroupedProgress(runs, room);
      const stored = asStored(encodeGroupedProgress({ by: incarnation('a'), jobs: grouped }));
      assert.ok(Buffer.byteLength(JSON.stringify(stored['jobs'])) <= room + 2);
      for (const run of runs) {
        const wanted = !run.ended && run.done.count > 0 && run.done.count < run.spec.tasks;
        assert.equal(grouped.has(run.id) || own.has(run), wanted);
        assert.ok(!(grouped.has(run.id) && own.has(run)));
        const read = groupedProgressOf(stored, run.id, run.spec.tasks);
        assert.deepEqual(read && [...read.members()], grouped.has(run.id) ? [...run.done.members()] : null);
      }
    }),
    { seed: 8, numRuns: 300 },
  );
});
