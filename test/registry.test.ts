import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { Bits, jobId, shardName, type JobId } from '../src/kernel/index.js';
import { JobRegistry } from '../src/jobs/index.js';
import { finalKey, jobKey, LIVE, Mirror, StateClient, Urgency, type StateFacts } from '../src/state/index.js';
import type { MachineType } from '../src/cloud/index.js';
import { spec } from './standins/jobs.js';
import type { Spoiled } from '../packages/region/src/index.js';
import { Lab } from '../packages/region/test/lab.js';

const lab = new Lab();
const { log } = lab;
const { model: state, at: address } = lab.state();
let nodes = 0;

/** The next transaction goes wrong. */
function spoilOnce(how: Spoiled): void {
  state.spoils = ({ path }) => {
    if (path !== '/txn') return null;
    state.spoils = () => null;
    return how;
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

interface Desk {
  readonly registry: JobRegistry;
  /** Whose end was to be carried to the holders before it was said. */
  readonly cancelled: JobId[];
  /** Do all holders hear of it? */
  carries: boolean;
  types: MachineType[] | null;
}

/** One controller's registry; each has its own client and mirror, as each controller has. */
function desk(limits: Partial<StateFacts> = {}): Desk {
  const runtime = lab.process(`10.0.0.${++nodes}`);
  const client = new StateClient(address, { rps: 1000, writeRps: 1000, ...limits }, log, runtime);
  const cancelled: JobId[] = [];
  const made: Desk = {
    cancelled,
    carries: true,
    types: [small],
    registry: new JobRegistry(
      client,
      new Mirror(client, LIVE, runtime, log),
      new Map([['t', { cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 }]]),
      {
        types: () => made.types,
        chooseShard: () => shardName('n-0'),
        running: () => ({ running: 0, done: 0 }),
        pipelines: () => true,
        awaits: () => [],
        ended: () => undefined,
        carried: (id) => {
          cancelled.push(id);
          return Promise.resolve(made.carries);
        },
      },
      runtime,
      log,
    ),
  };
  return made;
}

test('a job is accepted once, and any node knows it', async () => {
  const [a, b] = [desk(), desk()];
  const job = spec({ id: 'j-1' });
  assert.equal((await lab.settle(a.registry.submit(job))).kind, 'created');
  assert.equal((await lab.settle(a.registry.submit(job))).kind, 'known');
  assert.equal((await lab.settle(b.registry.submit(job))).kind, 'known');
  assert.equal((await lab.settle(b.registry.query(jobId('j-1')))).kind, 'known');
  assert.equal((await lab.settle(b.registry.query(jobId('j-none')))).kind, 'absent');
});

test('a write without an answer is never guessed at', async () => {
  const a = desk();
  spoilOnce('lost-answer');
  assert.equal(
    (await lab.settle(a.registry.submit(spec({ id: 'j-2' })))).kind,
    'known',
    'it was executed, and is read back',
  );
  spoilOnce('lost-request');
  assert.equal(
    (await lab.settle(a.registry.submit(spec({ id: 'j-3' })))).kind,
    'later',
    'it may be applied yet: no promise',
  );
  assert.equal(state.get(jobKey(jobId('j-3'))) !== undefined, false);
  assert.equal((await lab.settle(a.registry.submit(spec({ id: 'j-3' })))).kind, 'created');
});

test('without the state service the answer is to come back later, at once', async () => {
  const a = desk();
  state.outage(true);
  for (const outcome of [
    await lab.settle(a.registry.submit(spec({ id: 'j-4' }))),
    await lab.settle(a.registry.query(jobId('j-1'))),
    await lab.settle(a.registry.cancel(jobId('j-1'))),
  ]) {
    assert.equal(outcome.kind, 'later');
  }
  state.outage(false);
});

test('an ended job stays ended for every node, and a cancellation never undoes a completion', async () => {
  const [a, b] = [desk(), desk()];
  const id = jobId('j-5');
  await lab.settle(a.registry.submit(spec({ id })));
  const looked = await lab.settle(b.registry.look(id));
  assert.ok(looked.kind === 'open');
  assert.equal(await lab.settle(b.registry.end(id, looked.version, { phase: 'done', at: null, done: 1 }, 1000)), 'ok');
  const answer = await lab.settle(a.registry.cancel(id));
  assert.ok(answer.kind === 'known' && answer.view.phase === 'done');
  const again = await lab.settle(a.registry.submit(spec({ id })));
  assert.ok(again.kind === 'known' && again.view.phase === 'done');
  assert.equal(state.get(jobKey(id)) !== undefined, false);
  assert.equal(state.get(finalKey(id)) !== undefined, true);
  assert.deepEqual(a.cancelled, []);
});

test('a cancellation wins against progress that another node has just written', async () => {
  const a = desk();
  const id = jobId('j-6');
  await lab.settle(a.registry.submit(spec({ id, tasks: 4 })));
  const stale = await lab.settle(a.registry.look(id));
  assert.ok(stale.kind === 'open');
  state.put(jobKey(id), state.get(jobKey(id)));
  assert.equal(
    await lab.settle(a.registry.end(id, stale.version, { phase: 'done', at: null, done: 4 }, 1000)),
    'conflict',
  );
  const answer = await lab.settle(a.registry.cancel(id));
  assert.ok(answer.kind === 'known' && answer.view.phase === 'cancelled');
  assert.deepEqual(a.cancelled, [id]);
});

test('a cancellation that has not reached every holder is told to nobody, however they ask', async () => {
  const [a, b] = [desk(), desk()];
  const id = jobId('j-61');
  const job = spec({ id });
  await lab.settle(a.registry.submit(job));
  for (const node of [a, b]) node.carries = false;
  const asked = [
    () => a.registry.cancel(id),
    () => a.registry.cancel(id),
    () => a.registry.query(id),
    () => b.registry.query(id),
    () => b.registry.cancel(id),
    () => b.registry.submit(job),
  ];
  for (const ask of asked) assert.equal((await lab.settle(ask())).kind, 'later');
  assert.equal(state.get(jobKey(id)), undefined, 'it is stored all the same, and holders are told');
  assert.deepEqual([...a.cancelled, ...b.cancelled], Array<JobId>(6).fill(id));
  for (const node of [a, b]) node.carries = true;
  for (const ask of asked) {
    const answer = await lab.settle(ask());
    assert.ok(answer.kind === 'known' && answer.view.phase === 'cancelled');
  }
});

test('an accepted job is known whatever settings and machine types say now', async () => {
  const a = desk();
  const job = spec({ id: 'j-7', cpus: 4 });
  await lab.settle(a.registry.submit(job));
  a.types = [{ ...small, cpus: 1 }];
  assert.equal((await lab.settle(a.registry.submit(job))).kind, 'known');
  assert.equal((await lab.settle(a.registry.submit(spec({ id: 'j-8', cpus: 4 })))).kind, 'never');
  a.types = null;
  assert.equal((await lab.settle(a.registry.submit(job))).kind, 'known');
  assert.equal((await lab.settle(a.registry.submit(spec({ id: 'j-9' })))).kind, 'later');
});

test('a set of task numbers is what a plain set is, through writing and reading too', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 70 }), fc.array(fc.integer({ min: -2, max: 72 })), (size, numbers) => {
      const bits = Bits.empty(size);
      const plain = new Set<number>();
      for (const n of numbers) {
        const fits = n >= 0 && n < size && !plain.has(n);
        assert.equal(bits.add(n), fits);
        if (fits) plain.add(n);
      }
      const copy = bits.copy();
      for (let n = 0; n < size; n++) copy.add(n);
      assert.equal(copy.count, size);
      for (const read of [bits, Bits.decode(size, bits.encode())]) {
        assert.equal(read.count, plain.size);
        for (let n = -1; n <= size + 8; n++) assert.equal(read.has(n), plain.has(n));
      }
      // What was stored with more tasks than there are is cut.
      assert.equal(Bits.decode(size, Buffer.alloc(20, 255).toString('base64')).count, size);
    }),
  );
});

test('a job names only jobs that were accepted: by fresh reads, through any node, whatever a repeat says', async () => {
  const [a, b] = [desk(), desk()];
  const [first, over, gone, none] = ['j-20', 'j-21', 'j-22', 'j-none'].map((id) => jobId(id)) as [
    JobId,
    JobId,
    JobId,
    JobId,
  ];
  for (const id of [first, over, gone]) await lab.settle(a.registry.submit(spec({ id })));
  const looked = await lab.settle(a.registry.look(over));
  assert.ok(looked.kind === 'open');
  await lab.settle(a.registry.end(over, looked.version, { phase: 'done', done: 1, at: null }, 1000));
  await lab.settle(a.registry.cancel(gone));
  const submit = (id: string, awaits: readonly JobId[], at = b, more: object = {}) =>
    lab.settle(at.registry.submit(spec({ id, ...more }), awaits));
  const stored = (id: string): Record<string, unknown> | undefined =>
    state.get(jobKey(jobId(id))) as Record<string, unknown> | undefined;

  const refused = await submit('j-30', [first, none]);
  assert.ok(refused.kind === 'never' && refused.reason.includes('j-none'));
  assert.equal((await submit('j-30', [jobId('j-30')])).kind, 'never', 'itself was never accepted');
  await lab.settle(a.registry.submit(spec({ id: 'j-23', kind: 'service' })));
  const service = await submit('j-30', [jobId('j-23')]);
  assert.ok(service.kind === 'never' && service.reason.includes('service'));

  // What is done already is left out; a job that awaits nothing any more is an ordinary one.
  assert.equal((await submit('j-31', [first, over])).kind, 'created');
  assert.deepEqual([stored('j-31')?.['v'], stored('j-31')?.['spec'], stored('j-31')?.['awaits']], [2, undefined, '20']);
  assert.equal((await submit('j-32', [over])).kind, 'created');
  assert.deepEqual([stored('j-32')?.['v'], stored('j-32')?.['awaits']], [undefined, undefined]);
  // Named by its own life, not by what its list says now.
  assert.equal((await submit('j-31', [none])).kind, 'known');

  const cancelled = await submit('j-33', [first, gone]);
  assert.ok(cancelled.kind === 'created' && cancelled.view.phase === 'cancelled');
  assert.equal(stored('j-33'), undefined);
  const again = await submit('j-33', [first, gone], a);
  assert.ok(again.kind === 'known' && again.view.phase === 'cancelled');

  state.outage(true);
  assert.equal((await submit('j-34', [first])).kind, 'later');
  state.outage(false);
});

test('a hundred names are stored within the smaller limit; what never can be is refused by a clear word', async () => {
  const a = desk({ valueKb: 32, txnOps: 16, next: { writeRps: 1000, valueKb: 2, txnOps: 5 } });
  const names = Array.from({ length: 100 }, (_, i) => jobId(`j-${String(800_000 + i)}`));
  for (const id of names) await lab.settle(a.registry.submit(spec({ id })));
  assert.equal((await lab.settle(a.registry.submit(spec({ id: 'j-40' }), names))).kind, 'created');
  const types = ['small', ...Array.from({ length: 199 }, (_, i) => `${'x'.repeat(190)}${i}`)];
  assert.equal((await lab.settle(a.registry.submit(spec({ id: 'j-41', types })))).kind, 'created');
  const long = await lab.settle(a.registry.submit(spec({ id: 'j-42', image: 'é'.repeat(1000) })));
  assert.ok(long.kind === 'malformed' && long.reason.includes('too long'));
});

test('limits that fall are noticed by what is refused, and nothing that is too large is sent any more', async () => {
  const runtime = lab.process(`10.0.0.${++nodes}`);
  const facts = { rps: 1000, writeRps: 40, valueKb: 4, txnOps: 16, next: { writeRps: 20, valueKb: 1, txnOps: 5 } };
  const client = new StateClient(address, facts, log, runtime);
  const put = (kb: number) =>
    lab.settle(client.txn(Urgency.shard, [], [{ put: 'live/x', value: 'x'.repeat(kb * 1024 - 10) }]));
  assert.equal((await put(3)).kind, 'ok');
  assert.equal((await put(5)).kind, 'refused', 'longer than it takes now');
  assert.equal(client.limits.fallen, false);
  state.limit({ valueKb: 1 });
  assert.deepEqual(await put(3), { kind: 'refused', tooLarge: true });
  assert.deepEqual([client.limits.fallen, client.limits.writeRps], [true, 20]);
  state.limit({ valueKb: 32 });
});
