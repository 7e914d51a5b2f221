import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HttpClient, isObject, type HttpResult } from '../../../src/kernel/index.js';
import {
  GangCoordinator,
  SimulatedJob,
  SimulatedJobs,
  WorkerModel,
  type CommandCopies,
  type Machine,
  type Submission,
} from '../src/index.js';
import { SimulationHarness } from './simulation-harness.js';

const COPY_DELAY_MS = 2000;
const AT = { host: '10.1.0.1', port: 9000 };
const FACTS = { reportS: 3, leaseS: 600, gangWaitS: 45, gangPeerS: 5, cancelS: 35 };
const TYPE = {
  ...{ name: 't', cpus: 8, gpus: 0, memoryGb: 8, price: 1, spotPrice: 1 },
  ...{ cacheGb: 10, fetchGbPerS: 1, bootS: 1, bootFail: 0 },
};

/** A worker whose every executed command arrives once more, and a client that sends it commands. */
function workerWithCopies(more: Partial<CommandCopies> = {}) {
  const lab = new SimulationHarness();
  const process = lab.process(AT.host);
  const jobs = new SimulatedJobs();
  const spec = { ref: 'j-1', shape: 'sweep', pieces: 4, vcpus: 1, accelerators: 0, ram_gb: 0, bundle: '', pull_gb: 0 };
  jobs.add(new SimulatedJob({ ...spec, mark_every_s: 0, mark_cost_s: 0 } as Submission, () => 1e6, false));
  const machine = { id: 'm', type: TYPE, zone: 'z', spot: false, address: '' } as Machine;
  const copies = { share: 1, lateMs: [COPY_DELAY_MS, COPY_DELAY_MS], afterRestart: false, ...more } as const;
  let starts = 0;
  const worker = new WorkerModel(machine, {
    ...{ runtime: process, watchdog: process, luck: lab.rng, log: lab.log, facts: FACTS, controllers: [], jobs },
    gangs: new GangCoordinator(process, lab.rng, { waitS: 45, peerS: 5 }),
    watch: { entered: () => (starts += 1), running: () => undefined, left: () => undefined },
    noticeS: () => null,
    commandCopies: () => copies,
  });
  worker.listen(AT);
  const client = new HttpClient(AT, 1, lab.process('10.0.0.1'));
  const command = (helm: number, ...orders: readonly object[]): Promise<HttpResult> =>
    lab.runUntilSettled(
      client.call({ method: 'POST', path: '/commands', body: { helm, tide: 1, orders }, timeoutMs: 1000 }),
    );
  return { lab, worker, command, startCount: () => starts };
}

const TASK = { piece: 'j-1/0', launch: 7 };
const START = { verb: 'start', ...TASK };
const END = [
  { verb: 'stop', ...TASK, moor_s: 0 },
  { verb: 'forget', ...TASK },
];

test('a copy of a command has no effect while the attempt is listed, starts it again once forgotten, and is refused under a higher token', async () => {
  for (const [endToken, expectedStarts] of [
    [5, 2],
    [6, 1],
  ] as const) {
    const { lab, command, startCount } = workerWithCopies();
    await command(5, START);
    await lab.advance(COPY_DELAY_MS + 100);
    assert.equal(startCount(), 1);
    await command(5, { verb: 'start', piece: 'j-1/1', launch: 8 });
    await command(5, START);
    await command(endToken, ...END);
    await lab.advance(COPY_DELAY_MS + 100);
    assert.equal(startCount() - 1, expectedStarts, `ended under token ${endToken}`);
  }
});

test('copies reach a restarted worker only if the fault says so, and a worker that hangs once it goes on', async () => {
  for (const afterRestart of [false, true]) {
    const { lab, worker, command, startCount } = workerWithCopies({ afterRestart });
    await command(5, START);
    worker.restart(0.1);
    await lab.advance(COPY_DELAY_MS + 200);
    assert.equal(startCount(), afterRestart ? 2 : 1);
  }
  const { lab, worker, command, startCount } = workerWithCopies();
  await command(5, START);
  await command(5, ...END);
  worker.pause();
  await lab.advance(COPY_DELAY_MS + 1000);
  assert.equal(startCount(), 1);
  worker.resume();
  await lab.advance(100);
  assert.equal(startCount(), 2);
});

test('a copy of a transaction is applied only if its guards hold again', async () => {
  const lab = new SimulationHarness();
  const { model, at } = lab.state();
  model.writeCopies = { share: 1, lateMs: [COPY_DELAY_MS, COPY_DELAY_MS] };
  const process = lab.process('10.0.0.1');
  const txn = (guards: readonly object[], writes: readonly object[]): Promise<HttpResult> =>
    lab.request(process, at, { method: 'POST', path: '/txn', body: { guards, writes } });
  const absent = (path: string): object => ({ path, stamp: 0 });
  await txn([absent('kept')], [{ write: 'kept', value: 1 }]);
  await txn([absent('removed')], [{ write: 'removed', value: 1 }]);
  model.put('kept', 2);
  model.writeCopies = null;
  const removal = await txn([], [{ remove: 'removed' }]);
  assert.ok(removal.kind === 'answered' && isObject(removal.body) && model.get('removed') === undefined);
  await lab.advance(COPY_DELAY_MS);
  assert.deepEqual([model.get('kept'), model.get('removed')], [2, 1]);
});
