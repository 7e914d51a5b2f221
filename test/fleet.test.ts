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
  maxBlockMachines,
  decodeShard,
  previousHolders,
  encodeShard,
  ShardDirectory,
  type ShardValue,
} from '../src/membership/index.js';
import { FreshnessChecker, LIVE_PREFIX, Mirror, shardKey, StateClient } from '../src/state/index.js';
import { WorkerTracker, TaskIndex } from '../src/workers/index.js';
import { SimulationHarness } from '../packages/region/test/simulation-harness.js';
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

test('the task index agrees with a scan of all worker trackers after any sequence of events', () => {
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
        const trackers = ids.map(
          (machine) => new WorkerTracker(revision(5), millis(0), { listener: taskIndex, machine }),
        );
        let lastAttempt = 0;
        for (const [machineIndex, event, keyIndex] of steps) {
          const [worker, tracker, key] = [workers[machineIndex], trackers[machineIndex], KEYS[keyIndex]];
          assert.ok(worker && tracker && key);
          if (event === 'start') {
            lastAttempt += 1;
            tracker.recordStart(key, attempt(lastAttempt));
            if (keyIndex % 2 === 0)
              worker.onCommands(tracker.token, tracker.session, [{ op: 'start', key, attempt: attempt(lastAttempt) }]);
          } else if (event === 'report') {
            worker.onReply(tracker.token, []);
            tracker.applyReport(worker.report(), millis(1));
          } else if (event === 'bump') tracker.raiseToken();
          else if (event === 'settle') tracker.settleStarts([key]);
          else tracker.expireLease();
        }
        for (const key of KEYS) {
          const scanned = ids.filter((_, i) => trackers[i]?.tasks.has(key) || trackers[i]?.pendingStarts.has(key));
          assert.deepEqual([...taskIndex.machinesOfTask(key)].sort(), scanned);
        }
        for (const job of ['j-0', 'j-1', 'j-2'].map(jobId)) {
          const ofJob = (key: TaskKey): boolean => key.startsWith(`${job}/`);
          const scanned = ids.filter((_, i) =>
            [...(trackers[i]?.tasks.keys() ?? []), ...(trackers[i]?.pendingStarts.keys() ?? [])].some(ofJob),
          );
          assert.deepEqual([...taskIndex.machinesOfJob(job)].sort(), scanned);
          assert.equal(taskIndex.hasTasksOf(job), scanned.length > 0);
        }
      },
    ),
    { seed: 11, numRuns: 500 },
  );
});

test('a report without news does not change the generation that plans depend on', () => {
  const worker = new StandInWorker('m0');
  const tracker = new WorkerTracker(revision(5), millis(0));
  worker.onReply(tracker.token, []);
  tracker.applyReport(worker.report(), millis(1));
  worker.onCommands(tracker.token, tracker.session, [
    { op: 'start', key: taskKey(jobId('j-1'), 0), attempt: attempt(1) },
  ]);
  tracker.applyReport(worker.report(), millis(2));
  const before = tracker.generation;
  tracker.applyReport(worker.report(), millis(3));
  assert.equal(tracker.generation, before);
  assert.equal(tracker.lastMessageAt, 3, 'the report still counts as the last message');
});

test('a block of the maximum size fits into a value of the state service', () => {
  const machines = Array.from({ length: maxBlockMachines(32) }, (_, i) => ({
    id: machineId(`host-${String(i).padStart(6, '0')}`),
    type: i % 2 ? 'dispensary' : 'theatre',
    zone: 'msasani',
    spot: i % 3 === 0,
    address: `10.1.${i % 256}.${i % 251}:9000`,
  }));
  assert.ok(machines.length * 3 > 970);
  const stored = JSON.stringify(encodeShard(shard({ machines })));
  assert.ok(Buffer.byteLength(stored) <= 32 * 1024, `${Buffer.byteLength(stored)} bytes`);
  const decoded = decodeShard(JSON.parse(stored));
  const byId = (a: { id: string }, b: { id: string }): number => (a.id < b.id ? -1 : 1);
  assert.deepEqual([...(decoded?.machines ?? [])].sort(byId), machines);
});

test('a new claim inherits the earlier holders that are not known to have stopped', () => {
  // Otherwise the leases of workers that the first holder still answers would be counted from the end of the second.
  const [staleHolder, second, third] = ['n-0', 'n-1', 'n-2'].map(nodeName);
  assert.ok(staleHolder && second && third);
  const firstRecord = shard({ holder: staleHolder, incarnation: incarnation('z') });
  const claimed = shard({
    holder: second,
    incarnation: incarnation('s'),
    earlier: previousHolders(firstRecord, second),
  });
  assert.deepEqual(
    previousHolders(claimed, third).map((h) => h.node),
    [staleHolder, second],
  );
  // A restart of the second holder proves that its own earlier incarnation has ended, not that of the first.
  assert.deepEqual(
    previousHolders(claimed, second).map((h) => h.node),
    [staleHolder],
  );
  assert.deepEqual(previousHolders(shard({ released: true }), second), []);
  assert.deepEqual(decodeShard(JSON.parse(JSON.stringify(encodeShard(claimed))))?.earlier, claimed.earlier);
});

test('concurrent freshness checks share a request, and none accepts an outdated mirror', async () => {
  const lab = new SimulationHarness();
  const runtime = lab.process('10.0.0.1');
  const { model, at } = lab.state();
  const client = new StateClient(at, { rps: 1000, writeRps: 1000 }, lab.log, runtime);
  const mirror = new Mirror(client, LIVE_PREFIX, runtime, lab.log);
  model.put('live/jobs/j-1', { at: 0 });
  void mirror.run();
  const freshness = new FreshnessChecker(client, mirror, runtime);
  await lab.advance(500);
  assert.ok(mirror.loaded);
  for (let i = 1; i <= 10; i++) {
    model.put('live/jobs/j-1', { at: i });
    const fresh = await lab.runUntilSettled(
      Promise.all([freshness.waitUntilFresh(), freshness.waitUntilFresh(), freshness.waitUntilFresh()]),
    );
    assert.deepEqual(fresh, [true, true, true]);
    assert.deepEqual(mirror.get('live/jobs/j-1')?.value, { at: i });
  }
  model.setOutage(true);
  assert.equal(
    await lab.runUntilSettled(freshness.waitUntilFresh()),
    false,
    'without the state service, the mirror is not known to be fresh',
  );
  mirror.stop();
});

test('the directory knows the shard of each machine after every change of a block', async () => {
  const lab = new SimulationHarness();
  const runtime = lab.process('10.0.0.1');
  const client = new StateClient(lab.state().at, { rps: 1000, writeRps: 1000 }, lab.log, runtime);
  const mirror = new Mirror(client, LIVE_PREFIX, runtime, lab.log);
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
  const shards = (): (string | null)[] => ['m1', 'm2', 'm3'].map((id) => directory.shardOf(id as MachineId));
  put('a', ['m1', 'm2'], 1);
  assert.deepEqual(shards(), ['a', 'a', null]);
  // A machine moves: the change of its new block may arrive before the change of its old one.
  put('b', ['m2', 'm3'], 2);
  put('a', ['m1'], 3);
  assert.deepEqual(shards(), ['a', 'b', 'b']);
});
