import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  attempt,
  incarnation,
  jobId,
  machineId,
  millis,
  nodeName,
  revision,
  shardName,
  taskKey,
  type MachineId,
  type TaskKey,
} from '../src/kernel/index.js';
import {
  blockLimit,
  decodeShard,
  earlierHolders,
  encodeShard,
  ShardDirectory,
  type ShardValue,
} from '../src/membership/index.js';
import { Freshness, LIVE, Mirror, shardKey, StateClient } from '../src/state/index.js';
import { MachineBelief, TaskIndex } from '../src/workers/index.js';
import { Lab } from '../packages/region/test/lab.js';
import { StandInWorker } from './standins/worker.js';

const shard = (over: Partial<ShardValue>): ShardValue => ({
  holder: nodeName('n-0'),
  incarnation: incarnation('a'),
  released: false,
  next: null,
  earlier: [],
  machines: [],
  epoch: null,
  ...over,
});

test('taskIndex agree with a walk through all beliefs, whatever comes in', () => {
  const KEYS = [0, 1, 2].flatMap((job) => [0, 1].map((index) => taskKey(jobId(`j-${job}`), index)));
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.nat(2), fc.constantFrom('start', 'report', 'bump', 'expire', 'settle'), fc.nat(5)), {
        maxLength: 60,
      }),
      (steps) => {
        const taskIndex = new TaskIndex();
        const ids = [0, 1, 2].map((i) => machineId(`m${i}`));
        const workers = ids.map((id) => new StandInWorker(id));
        const beliefs = ids.map(
          (machine) => new MachineBelief(revision(5), millis(0), { mentions: taskIndex, machine }),
        );
        let number = 0;
        for (const [m, what, k] of steps) {
          const [worker, belief, key] = [workers[m], beliefs[m], KEYS[k]];
          assert.ok(worker && belief && key);
          if (what === 'start') {
            number += 1;
            belief.noteStart(key, attempt(number));
            if (k % 2 === 0)
              worker.onCommands(belief.token, belief.session, [{ op: 'start', key, attempt: attempt(number) }]);
          } else if (what === 'report') {
            worker.onReply(belief.token, []);
            belief.take(worker.report(), millis(1));
          } else if (what === 'bump') belief.raiseToken();
          else if (what === 'settle') belief.settleStarts([key]);
          else belief.expire();
        }
        for (const key of KEYS) {
          const walked = ids.filter((_, i) => beliefs[i]?.tasks.has(key) || beliefs[i]?.pendingStarts.has(key));
          assert.deepEqual([...taskIndex.machinesOf(key)].sort(), walked);
        }
        for (const job of ['j-0', 'j-1', 'j-2'].map(jobId)) {
          const named = (key: TaskKey): boolean => key.startsWith(`${job}/`);
          const walked = ids.filter((_, i) =>
            [...(beliefs[i]?.tasks.keys() ?? []), ...(beliefs[i]?.pendingStarts.keys() ?? [])].some(named),
          );
          assert.deepEqual([...taskIndex.machinesOfJob(job)].sort(), walked);
          assert.equal(taskIndex.names(job), walked.length > 0);
        }
      },
    ),
    { seed: 11, numRuns: 500 },
  );
});

test('a report that says nothing new changes nothing that a plan depends on', () => {
  const worker = new StandInWorker('m0');
  const belief = new MachineBelief(revision(5), millis(0));
  worker.onReply(belief.token, []);
  belief.take(worker.report(), millis(1));
  worker.onCommands(belief.token, belief.session, [
    { op: 'start', key: taskKey(jobId('j-1'), 0), attempt: attempt(1) },
  ]);
  belief.take(worker.report(), millis(2));
  const before = belief.generation;
  belief.take(worker.report(), millis(3));
  assert.equal(belief.generation, before);
  assert.equal(belief.lastHeardAt, 3, 'it has been heard all the same');
});

test('a block as large as the leader makes it is a value that the state service takes', () => {
  const machines = Array.from({ length: blockLimit(32) }, (_, i) => ({
    id: machineId(`host-${String(i).padStart(6, '0')}`),
    type: i % 2 ? 'dispensary' : 'theatre',
    zone: 'msasani',
    spot: i % 3 === 0,
    address: `10.1.${i % 256}.${i % 251}:9000`,
  }));
  assert.ok(machines.length * 3 > 970);
  const stored = JSON.stringify(encodeShard(shard({ machines })));
  assert.ok(Buffer.byteLength(stored) <= 32 * 1024, `${Buffer.byteLength(stored)} bytes`);
  const read = decodeShard(JSON.parse(stored));
  const byId = (a: { id: string }, b: { id: string }): number => (a.id < b.id ? -1 : 1);
  assert.deepEqual([...(read?.machines ?? [])].sort(byId), machines);
});

test('whoever claims after a claimant without proof inherits the doubt', () => {
  // Else the leases of workers that the first holder still answers would be counted from the second one's end.
  const [zombie, second, third] = ['n-0', 'n-1', 'n-2'].map(nodeName);
  assert.ok(zombie && second && third);
  const first = shard({ holder: zombie, incarnation: incarnation('z') });
  const claimed = shard({ holder: second, incarnation: incarnation('s'), earlier: earlierHolders(first, second) });
  assert.deepEqual(
    earlierHolders(claimed, third).map((h) => h.node),
    [zombie, second],
  );
  // The second one's own restart proves its own end, not the first one's.
  assert.deepEqual(
    earlierHolders(claimed, second).map((h) => h.node),
    [zombie],
  );
  assert.deepEqual(earlierHolders(shard({ released: true }), second), []);
  assert.deepEqual(decodeShard(JSON.parse(JSON.stringify(encodeShard(claimed))))?.earlier, claimed.earlier);
});

test('polls that come together share a request, and none is answered from an older mirror', async () => {
  const lab = new Lab();
  const runtime = lab.process('10.0.0.1');
  const { model: state, at } = lab.state();
  const client = new StateClient(at, { rps: 1000, writeRps: 1000 }, lab.log, runtime);
  const mirror = new Mirror(client, LIVE, runtime, lab.log);
  state.put('live/jobs/j-1', { at: 0 });
  void mirror.run();
  const freshness = new Freshness(client, mirror, runtime);
  await lab.pass(500);
  assert.ok(mirror.loaded);
  for (let i = 1; i <= 10; i++) {
    state.put('live/jobs/j-1', { at: i });
    const asked = await lab.settle(Promise.all([freshness.ensure(), freshness.ensure(), freshness.ensure()]));
    assert.deepEqual(asked, [true, true, true]);
    assert.deepEqual(mirror.get('live/jobs/j-1')?.value, { at: i });
  }
  state.outage(true);
  assert.equal(await lab.settle(freshness.ensure()), false, 'without the state service nothing is fresh');
  mirror.stop();
});

test('the directory knows whose each machine is after every change of a block', async () => {
  const lab = new Lab();
  const runtime = lab.process('10.0.0.1');
  const client = new StateClient(lab.state().at, { rps: 1000, writeRps: 1000 }, lab.log, runtime);
  const mirror = new Mirror(client, LIVE, runtime, lab.log);
  const directory = new ShardDirectory(mirror);
  const put = (name: string, machines: string[], version: number): void => {
    const value = shard({
      machines: machines.map((id) => ({ id: machineId(id), type: 't', zone: 'z', spot: false, address: '' })),
    });
    mirror.apply({
      key: shardKey(shardName(name)),
      value: encodeShard(value),
      removed: false,
      version: revision(version),
    });
  };
  const owners = (): (string | null)[] => ['m1', 'm2', 'm3'].map((id) => directory.shardOf(id as MachineId));
  put('a', ['m1', 'm2'], 1);
  assert.deepEqual(owners(), ['a', 'a', null]);
  // A machine moves; the block it enters may be seen before the one that it has left.
  put('b', ['m2', 'm3'], 2);
  put('a', ['m1'], 3);
  assert.deepEqual(owners(), ['a', 'b', 'b']);
});
