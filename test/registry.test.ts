/** Tests of the job registry: acceptance, queries, cancellation, dependencies and size limits. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { BitSet, jobId, shardName, type JobId } from '../src/kernel/index.js';
import { JobRegistry } from '../src/jobs/index.js';
import {
  finalKey,
  jobKey,
  LIVE_PREFIX,
  Mirror,
  StateClient,
  Urgency,
  type StateServiceLimits,
} from '../src/state/index.js';
import type { MachineType } from '../src/cloud/index.js';
import { spec } from './standins/jobs.js';
import type { InjectedFault } from '../packages/region/src/index.js';
import { SimulationHarness } from '../packages/region/test/simulation-harness.js';

const lab = new SimulationHarness();
const { log } = lab;
const { model, at: address } = lab.state();
let nodeCount = 0;

/** Makes the next transaction fail in the given way. */
function failNextTransaction(fault: InjectedFault): void {
  model.injectFault = ({ path }) => {
    if (path !== '/txn') return null;
    model.injectFault = () => null;
    return fault;
  };
}

const small: MachineType = {
  name: 'small',
  cpus: 4,
  gpus: 0,
  memoryGb: 8,
  cacheGb: 10,
  fetchGbPerS: 1,
  price: 1,
  spotPrice: 1,
  bootS: 10,
  zones: ['a'],
};

/** One controller's registry and the answers of its hooks. */
interface RegistryNode {
  readonly registry: JobRegistry;
  /** Jobs whose cancellation the registry wanted confirmed by the holders, in order. */
  readonly cancelled: JobId[];
  /** Whether all holders confirm that they know of a cancellation. */
  holdersConfirm: boolean;
  /** Machine types that the registry knows; null: not known yet. */
  types: MachineType[] | null;
}

/** Creates one controller's registry with its own client and mirror. */
function startNode(limits: Partial<StateServiceLimits> = {}): RegistryNode {
  const runtime = lab.process(`10.0.0.${++nodeCount}`);
  const client = new StateClient(address, { rps: 1000, writeRps: 1000, ...limits }, log, runtime);
  const cancelled: JobId[] = [];
  const node: RegistryNode = {
    cancelled,
    holdersConfirm: true,
    types: [small],
    registry: new JobRegistry(
      client,
      new Mirror(client, LIVE_PREFIX, runtime, log),
      new Map([['t', { cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 }]]),
      {
        machineTypes: () => node.types,
        chooseShard: () => shardName('n-0'),
        progressOf: () => ({ running: 0, done: 0 }),
        supportsDependencies: () => true,
        unfinishedDependencies: () => [],
        onJobEnded: () => undefined,
        awaitAcknowledgement: (id) => {
          cancelled.push(id);
          return Promise.resolve(node.holdersConfirm);
        },
      },
      runtime,
      log,
    ),
  };
  return node;
}

test('a job is accepted once, and every node knows it', async () => {
  const [a, b] = [startNode(), startNode()];
  const job = spec({ id: 'j-1' });
  assert.equal((await lab.runUntilSettled(a.registry.submit(job))).kind, 'created');
  assert.equal((await lab.runUntilSettled(a.registry.submit(job))).kind, 'known');
  assert.equal((await lab.runUntilSettled(b.registry.submit(job))).kind, 'known');
  assert.equal((await lab.runUntilSettled(b.registry.query(jobId('j-1')))).kind, 'known');
  assert.equal((await lab.runUntilSettled(b.registry.query(jobId('j-none')))).kind, 'absent');
});

test('the outcome of a write without an answer is read back, not assumed', async () => {
  const a = startNode();
  failNextTransaction('lost-answer');
  assert.equal(
    (await lab.runUntilSettled(a.registry.submit(spec({ id: 'j-2' })))).kind,
    'known',
    'the write was executed and is read back',
  );
  failNextTransaction('lost-request');
  assert.equal(
    (await lab.runUntilSettled(a.registry.submit(spec({ id: 'j-3' })))).kind,
    'later',
    'the write may still be applied, so nothing is promised',
  );
  assert.equal(model.get(jobKey(jobId('j-3'))) !== undefined, false);
  assert.equal((await lab.runUntilSettled(a.registry.submit(spec({ id: 'j-3' })))).kind, 'created');
});

test('without the state service users are told at once to retry later', async () => {
  const a = startNode();
  model.setOutage(true);
  for (const outcome of [
    await lab.runUntilSettled(a.registry.submit(spec({ id: 'j-4' }))),
    await lab.runUntilSettled(a.registry.query(jobId('j-1'))),
    await lab.runUntilSettled(a.registry.cancel(jobId('j-1'))),
  ]) {
    assert.equal(outcome.kind, 'later');
  }
  model.setOutage(false);
});

test('an ended job stays ended on every node, and a cancellation never overrides a completion', async () => {
  const [a, b] = [startNode(), startNode()];
  const id = jobId('j-5');
  await lab.runUntilSettled(a.registry.submit(spec({ id })));
  const looked = await lab.runUntilSettled(b.registry.readState(id));
  assert.ok(looked.kind === 'open');
  assert.equal(
    await lab.runUntilSettled(b.registry.storeFinal(id, looked.version, { phase: 'done', at: null, done: 1 }, 1000)),
    'ok',
  );
  const answer = await lab.runUntilSettled(a.registry.cancel(id));
  assert.ok(answer.kind === 'known' && answer.view.phase === 'done');
  const again = await lab.runUntilSettled(a.registry.submit(spec({ id })));
  assert.ok(again.kind === 'known' && again.view.phase === 'done');
  assert.equal(model.get(jobKey(id)) !== undefined, false);
  assert.equal(model.get(finalKey(id)) !== undefined, true);
  assert.deepEqual(a.cancelled, []);
});

test('a cancellation succeeds although another node has just written progress', async () => {
  const a = startNode();
  const id = jobId('j-6');
  await lab.runUntilSettled(a.registry.submit(spec({ id, tasks: 4 })));
  const stale = await lab.runUntilSettled(a.registry.readState(id));
  assert.ok(stale.kind === 'open');
  model.put(jobKey(id), model.get(jobKey(id)));
  assert.equal(
    await lab.runUntilSettled(a.registry.storeFinal(id, stale.version, { phase: 'done', at: null, done: 4 }, 1000)),
    'conflict',
  );
  const answer = await lab.runUntilSettled(a.registry.cancel(id));
  assert.ok(answer.kind === 'known' && answer.view.phase === 'cancelled');
  assert.deepEqual(a.cancelled, [id]);
});

test('a cancellation is not reported by any request before every holder knows of it', async () => {
  const [a, b] = [startNode(), startNode()];
  const id = jobId('j-61');
  const job = spec({ id });
  await lab.runUntilSettled(a.registry.submit(job));
  for (const node of [a, b]) node.holdersConfirm = false;
  const requests = [
    () => a.registry.cancel(id),
    () => a.registry.cancel(id),
    () => a.registry.query(id),
    () => b.registry.query(id),
    () => b.registry.cancel(id),
    () => b.registry.submit(job),
  ];
  for (const request of requests) assert.equal((await lab.runUntilSettled(request())).kind, 'later');
  assert.equal(model.get(jobKey(id)), undefined, 'the cancellation is stored all the same, and holders are told');
  assert.deepEqual([...a.cancelled, ...b.cancelled], Array<JobId>(6).fill(id));
  for (const node of [a, b]) node.holdersConfirm = true;
  for (const request of requests) {
    const answer = await lab.runUntilSettled(request());
    assert.ok(answer.kind === 'known' && answer.view.phase === 'cancelled');
  }
});

test('an accepted job stays known after settings and machine types have changed', async () => {
  const a = startNode();
  const job = spec({ id: 'j-7', cpus: 4 });
  await lab.runUntilSettled(a.registry.submit(job));
  a.types = [{ ...small, cpus: 1 }];
  assert.equal((await lab.runUntilSettled(a.registry.submit(job))).kind, 'known');
  assert.equal((await lab.runUntilSettled(a.registry.submit(spec({ id: 'j-8', cpus: 4 })))).kind, 'never');
  a.types = null;
  assert.equal((await lab.runUntilSettled(a.registry.submit(job))).kind, 'known');
  assert.equal((await lab.runUntilSettled(a.registry.submit(spec({ id: 'j-9' })))).kind, 'later');
});

test('a bit set behaves like a plain set of task numbers, also after encoding and decoding', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 70 }), fc.array(fc.integer({ min: -2, max: 72 })), (size, numbers) => {
      const bits = BitSet.empty(size);
      const plain = new Set<number>();
      for (const n of numbers) {
        const fits = n >= 0 && n < size && !plain.has(n);
        assert.equal(bits.add(n), fits);
        if (fits) plain.add(n);
      }
      const copy = bits.copy();
      for (let n = 0; n < size; n++) copy.add(n);
      assert.equal(copy.count, size);
      for (const read of [bits, BitSet.decode(size, bits.encode())]) {
        assert.equal(read.count, plain.size);
        for (let n = -1; n <= size + 8; n++) assert.equal(read.has(n), plain.has(n));
      }
      // Stored bits beyond the number of tasks are dropped.
      assert.equal(BitSet.decode(size, Buffer.alloc(20, 255).toString('base64')).count, size);
    }),
  );
});

test('dependencies must be accepted jobs, checked by fresh reads on any node; a repeated submission is not checked again', async () => {
  const [a, b] = [startNode(), startNode()];
  const [open, done, cancelledId, neverAccepted] = ['j-20', 'j-21', 'j-22', 'j-none'].map((id) => jobId(id)) as [
    JobId,
    JobId,
    JobId,
    JobId,
  ];
  for (const id of [open, done, cancelledId]) await lab.runUntilSettled(a.registry.submit(spec({ id })));
  const looked = await lab.runUntilSettled(a.registry.readState(done));
  assert.ok(looked.kind === 'open');
  await lab.runUntilSettled(a.registry.storeFinal(done, looked.version, { phase: 'done', done: 1, at: null }, 1000));
  await lab.runUntilSettled(a.registry.cancel(cancelledId));
  const submit = (id: string, dependencies: readonly JobId[], node = b, overrides: object = {}) =>
    lab.runUntilSettled(node.registry.submit(spec({ id, ...overrides }), dependencies));
  const stored = (id: string): Record<string, unknown> | undefined =>
    model.get(jobKey(jobId(id))) as Record<string, unknown> | undefined;

  const refused = await submit('j-30', [open, neverAccepted]);
  assert.ok(refused.kind === 'never' && refused.reason.includes('j-none'));
  assert.equal((await submit('j-30', [jobId('j-30')])).kind, 'never', 'the job itself was never accepted');
  await lab.runUntilSettled(a.registry.submit(spec({ id: 'j-23', kind: 'service' })));
  const service = await submit('j-30', [jobId('j-23')]);
  assert.ok(service.kind === 'never' && service.reason.includes('service'));

  // Dependencies that are done are left out; a job without remaining dependencies is stored as an ordinary one.
  assert.equal((await submit('j-31', [open, done])).kind, 'created');
  assert.deepEqual([stored('j-31')?.['v'], stored('j-31')?.['spec'], stored('j-31')?.['awaits']], [2, undefined, '20']);
  assert.equal((await submit('j-32', [done])).kind, 'created');
  assert.deepEqual([stored('j-32')?.['v'], stored('j-32')?.['awaits']], [undefined, undefined]);
  // The stored job decides, not the dependencies that a repeated submission names.
  assert.equal((await submit('j-31', [neverAccepted])).kind, 'known');

  const cancelled = await submit('j-33', [open, cancelledId]);
  assert.ok(cancelled.kind === 'created' && cancelled.view.phase === 'cancelled');
  assert.equal(stored('j-33'), undefined);
  const again = await submit('j-33', [open, cancelledId], a);
  assert.ok(again.kind === 'known' && again.view.phase === 'cancelled');

  model.setOutage(true);
  assert.equal((await submit('j-34', [open])).kind, 'later');
  model.setOutage(false);
});

test('a submission that names thousands of unknown jobs does not use up the rate of the state service', async () => {
  const { registry } = startNode();
  const unknown = Array.from({ length: 5800 }, (_, i) => jobId(`j-${700_000 + i}`));
  assert.ok(JSON.stringify(unknown).length > 62 * 1024, 'nearly the longest body that is taken');
  let requests = 0;
  model.injectFault = () => {
    requests += 1;
    return null;
  };
  const outcome = await lab.runUntilSettled(registry.submit(spec({ id: 'j-45' }), unknown));
  model.injectFault = () => null;
  assert.deepEqual(outcome, { kind: 'never', reason: 'awaits: j-700000 was never accepted' });
  assert.ok(requests <= 20, `${requests} requests`);
});

test('a job with a hundred dependencies fits the smaller size limit; a job that never fits is refused with the reason', async () => {
  const a = startNode({ valueKb: 32, txnOps: 16, next: { writeRps: 1000, valueKb: 2, txnOps: 5 } });
  const dependencies = Array.from({ length: 100 }, (_, i) => jobId(`j-${String(800_000 + i)}`));
  for (const id of dependencies) await lab.runUntilSettled(a.registry.submit(spec({ id })));
  assert.equal((await lab.runUntilSettled(a.registry.submit(spec({ id: 'j-40' }), dependencies))).kind, 'created');
  const types = ['small', ...Array.from({ length: 199 }, (_, i) => `${'x'.repeat(190)}${i}`)];
  assert.equal((await lab.runUntilSettled(a.registry.submit(spec({ id: 'j-41', types })))).kind, 'created');
  const tooLong = await lab.runUntilSettled(a.registry.submit(spec({ id: 'j-42', image: 'é'.repeat(1000) })));
  assert.ok(tooLong.kind === 'malformed' && tooLong.reason.includes('too long'));
});

test('a refused write reveals that the lower limits are in force, and the client then sends no value that is too large', async () => {
  const runtime = lab.process(`10.0.0.${++nodeCount}`);
  const facts = { rps: 1000, writeRps: 40, valueKb: 4, txnOps: 16, next: { writeRps: 20, valueKb: 1, txnOps: 5 } };
  const client = new StateClient(address, facts, log, runtime);
  const put = (kb: number) =>
    lab.runUntilSettled(client.txn(Urgency.shard, [], [{ put: 'live/x', value: 'x'.repeat(kb * 1024 - 10) }]));
  assert.equal((await put(3)).kind, 'ok');
  assert.equal((await put(5)).kind, 'refused', 'the value exceeds the current limit');
  assert.equal(client.limits.lowerLimitsInForce, false);
  model.limit({ valueKb: 1 });
  assert.deepEqual(await put(3), { kind: 'refused', tooLarge: true });
  assert.deepEqual([client.limits.lowerLimitsInForce, client.limits.writeRps], [true, 20]);
  model.limit({ valueKb: 32 });
});
