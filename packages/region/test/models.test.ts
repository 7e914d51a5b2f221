import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isObject } from '../../../src/kernel/index.js';
import {
  Balancer,
  CloudModel,
  GangCoordinator,
  ImageCache,
  SimulatedJobs,
  SimulatedJob,
  WorkerModel,
  type CloudConfig,
  type GangMember,
  type Machine,
  type StateServiceConfig,
  type Submission,
} from '../src/index.js';
import { SimulationHarness } from './simulation-harness.js';

type Json = Record<string, unknown>;
const fields = (value: unknown): Json => (isObject(value) ? value : {});

// ---- the state service

function stateService(limits: Partial<StateServiceConfig> = {}) {
  const lab = new SimulationHarness();
  const { model, at } = lab.state(limits);
  const node = lab.process('10.0.0.1');
  const other = lab.process('10.0.0.2');
  const ask = async (method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown, from = node) => {
    const answer = await lab.request(from, at, { method, path, ...(body === undefined ? {} : { body }) }, 70_000);
    assert.ok(answer.kind === 'answered', JSON.stringify(answer));
    return { status: answer.status, body: fields(answer.body) };
  };
  const txn = (writes: unknown[], guards: unknown[] = [], from = node) => ask('POST', '/txn', { guards, writes }, from);
  return { lab, model, node, other, ask, txn };
}

test('state service: checks guards, assigns one revision per transaction and enforces limits', async () => {
  const { ask, txn } = stateService({ txnOps: 2, valueKb: 1 });
  const first = await txn([{ write: 'a/b', value: 1 }], [{ path: 'a/b', stamp: 0 }]);
  assert.equal(first.status, 200);
  const stamp = first.body['epoch'];
  const conflict = await txn([{ write: 'a/b', value: 2 }], [{ path: 'a/b', stamp: 0 }]);
  assert.deepEqual([conflict.status, conflict.body['failed']], [409, ['a/b']]);
  const both = await txn([{ write: 'a/c', value: 3 }, { remove: 'a/b' }], [{ path: 'a/b', stamp }]);
  assert.equal(both.status, 200);
  assert.equal((await ask('GET', '/store/a/c')).body['stamp'], both.body['epoch'], 'changes share one revision');
  assert.equal((await ask('GET', '/store/a/b')).status, 404);
  assert.equal((await txn([], [{ path: 'a/c', stamp: both.body['epoch'] }])).status, 200, 'guards without changes');
  assert.equal((await txn([1, 2, 3].map((n) => ({ write: `k${n}`, value: n })))).status, 400, 'too many changes');
  assert.equal((await txn([{ write: 'big', value: 'x'.repeat(1100) }])).status, 400);
  assert.equal((await txn([{ write: 'with space', value: 1 }])).status, 400);
  assert.equal((await txn([{ write: 'k', value: 1, mooring: 99 }])).body['error'], 'no such lease');
  for (const key of ['p/3', 'p/1', 'p/2']) await txn([{ write: key, value: key }]);
  const page = await ask('GET', '/store?under=p/&after=p/1&most=1');
  assert.deepEqual([page.body['truncated'], (page.body['entries'] as Json[]).map((e) => e['path'])], [true, ['p/2']]);
});

test('state service: expired leases delete their keys, never early, and get their full TTL after an outage', async () => {
  const { lab, model, ask, txn } = stateService();
  const { mooring } = (await ask('POST', '/leases', { life_ms: 2000 })).body;
  await txn([{ write: 'node', value: 1, mooring }]);
  await lab.advance(1500);
  assert.equal((await ask('POST', `/leases/${String(mooring)}/extend`)).status, 200);
  await lab.advance(1900);
  assert.equal(model.get('node'), 1);
  model.setOutage(true);
  await lab.advance(60_000);
  assert.equal((await ask('GET', '/store/node')).status, 503);
  model.setOutage(false);
  await lab.advance(1900);
  assert.equal(model.get('node'), 1);
  await lab.advance(250);
  assert.equal(model.get('node'), undefined);
  assert.equal((await ask('POST', `/leases/${String(mooring)}/extend`)).status, 404);
  const again = (await ask('POST', '/leases', { life_ms: 60_000 })).body['mooring'];
  await txn([{ write: 'kept', value: 1, mooring: again }]);
  // A write without the lease detaches the key from it.
  await txn([{ write: 'kept', value: 2 }]);
  assert.equal((await ask('DELETE', `/leases/${String(again)}`)).status, 200);
  assert.equal(model.get('kept'), 2);
});

test('state service: watches deliver every change in order, stay open while a node is refused, and report a compacted revision', async () => {
  const { lab, model, node, other, ask, txn } = stateService();
  const { epoch } = (await txn([{ write: 'c/1', value: 1 }])).body;
  const begun = lab.world.now;
  const empty = await ask('GET', `/follow?under=c/&after=${String(epoch)}&wait_ms=1000`);
  assert.deepEqual(empty.body['log'], []);
  assert.ok(lab.world.now - begun >= 1000);
  model.refuse(node.host.ip, true);
  assert.equal((await ask('GET', '/store/c/1')).status, 503);
  assert.equal((await ask('GET', '/store/c/1', undefined, other)).status, 200, 'only one node is refused');
  model.refuse(node.host.ip, false);
  const waiting = ask('GET', `/follow?under=c/&after=${String(epoch)}&wait_ms=10000`);
  await lab.advance(100);
  model.refuse(node.host.ip, true);
  model.put('d/1', 0);
  model.put('c/2', 2);
  await lab.advance(3000);
  model.refuse(node.host.ip, false);
  const { log } = (await waiting).body;
  assert.deepEqual(
    (log as Json[]).map((change) => change['write']),
    ['c/2'],
  );
  model.forget();
  assert.equal((await ask('GET', `/follow?under=c/&after=${String(epoch)}`)).status, 410);
});

test('state service: requests and changes beyond their rates get 429, and failed guards count', async () => {
  const { lab, txn } = stateService({ writeRps: 5 });
  const statuses = [];
  for (let i = 0; i < 8; i++) statuses.push((await txn([{ write: 'k', value: i }], [{ path: 'k', stamp: 77 }])).status);
  assert.deepEqual(statuses.slice(0, 5), [409, 409, 409, 409, 409]);
  assert.ok(statuses.includes(429));
  await lab.advance(1000);
  assert.equal((await txn([{ write: 'k', value: 1 }])).status, 200);
});

// ---- the cloud

const type = {
  ...{ name: 'm', cpus: 4, gpus: 0, memoryGb: 16, price: 3.6, spotPrice: 0.9 },
  ...{ cacheGb: 3, fetchGbPerS: 1, bootS: 10, bootFail: 0 },
};

function cloud(overrides: Partial<CloudConfig> = {}) {
  const lab = new SimulationHarness(3);
  const at = { host: '10.2.0.2', port: 8443 };
  const [up, gone]: [string[], string[]] = [[], []];
  const model = new CloudModel(
    lab.process(at.host),
    lab.rng,
    {
      ...{ rps: 100, latencyMs: 50, listLagS: 5, types: [type] },
      capacity: [{ type: 'm', zone: 'a', ordinary: 3, spot: 2 }],
      spot: { reclaimsPerHour: 0, noticeS: 20, noNoticeShare: 0 },
      ...overrides,
    },
    { up: (m) => up.push(m.id), gone: (m) => gone.push(m.id) },
  );
  model.listen(at, lab.log);
  const node = lab.process('10.0.0.1');
  const ask = async (method: 'GET' | 'POST', path: string, body?: unknown) => {
    const answer = await lab.request(node, at, { method, path, ...(body === undefined ? {} : { body }) });
    assert.ok(answer.kind === 'answered');
    return { status: answer.status, body: fields(answer.body) };
  };
  const rent = (charter: string, number: number, flotsam = false) =>
    ask('POST', '/rentals', { charter, hull: 'm', berth: 'a', flotsam, number });
  const listedIds = async (): Promise<unknown[]> =>
    ((await ask('GET', '/rentals')).body['drifters'] as Json[]).map((d) => d['ref']);
  return { lab, model, up, gone, ask, rent, listedIds };
}

test('cloud: a repeated request id rents once, capacity is limited, and returned machines free it', async () => {
  const { lab, up, gone, ask, rent } = cloud();
  const first = await rent('r-1', 2);
  assert.deepEqual((await rent('r-1', 2)).body, first.body);
  const partial = await rent('r-2', 50);
  assert.equal((partial.body['drifters'] as unknown[]).length, 1, 'partially filled');
  const refused = await rent('r-3', 1);
  assert.deepEqual([refused.status, refused.body['error']], [503, 'no capacity']);
  assert.equal((await rent('r-4', 1, true)).status, 200, 'spot capacity is separate');
  await lab.advance(61_000);
  assert.equal(up.length, 4);
  const returned = await ask('POST', '/rentals/return', { drifters: [...(first.body['drifters'] as []), 'host-none'] });
  assert.equal(returned.status, 200);
  assert.equal(gone.length, 2);
  assert.equal((await rent('r-3', 1)).status, 200, 'a request that found no capacity may be repeated');
});

test('cloud: the list lags and may be older than the previous one, but a listed machine stays listed until it is gone', async () => {
  const { lab, ask, rent, listedIds } = cloud();
  const [id] = (await rent('r-1', 1)).body['drifters'] as string[];
  assert.deepEqual(await listedIds(), []);
  await lab.advance(11_000);
  assert.deepEqual(await listedIds(), [id]);
  for (let i = 0; i < 40; i++) assert.deepEqual(await listedIds(), [id]);
  await ask('POST', '/rentals/return', { drifters: [id] });
  assert.deepEqual(await listedIds(), [id], 'still listed after it is gone');
  await lab.advance(11_000);
  assert.deepEqual(await listedIds(), []);
});

test('cloud: the first minute is always billed, a failed machine is not billed, and spot reclaims give notice', async () => {
  const { lab, model, ask, rent, gone } = cloud();
  const [id] = (await rent('r-1', 1)).body['drifters'] as string[];
  await ask('POST', '/rentals/return', { drifters: [id] });
  assert.ok(Math.abs(model.billAll() - 3.6 / 60) < 1e-9, 'a minute of the hourly price');
  model.addInitialMachines('m', 'a', false, 1);
  model.addInitialMachines('m', 'a', true, 1);
  const [ordinary, spot] = model.up;
  assert.ok(ordinary && spot);
  await lab.advance(100_000);
  model.failMachine(ordinary);
  const spent = model.billAll();
  model.reclaim(spot, true);
  await lab.advance(9000);
  assert.deepEqual(gone, [ordinary.id]);
  const phase = async (): Promise<unknown> =>
    ((await ask('GET', '/rentals')).body['drifters'] as Json[]).find((d) => d['ref'] === ordinary.id)?.['phase'];
  assert.equal(await phase(), 'running', 'still listed as running for a while');
  await lab.advance(35_000);
  assert.deepEqual(gone, [ordinary.id, spot.id]);
  const after = model.billAll() - spent;
  assert.ok(after < (0.9 * 1.34 * 45) / 3600, `the spot machine cost ${after} after its notice`);
  assert.equal(await phase(), 'failed');
});

test('cloud: answers 429 above its rate and 503 in an outage', async () => {
  const { lab, model, ask } = cloud({ rps: 1 });
  const statuses = [];
  for (let i = 0; i < 4; i++) statuses.push((await ask('GET', '/machine_types')).status);
  assert.deepEqual(statuses, [200, 200, 429, 429]);
  model.setOutage(true);
  await lab.advance(3000);
  assert.equal((await ask('GET', '/machine_types')).status, 503);
});

// ---- workers

const job = (overrides: Partial<Submission> & { ref: string }): Submission => ({
  ...{
    jobclass: 'c',
    owner: 't',
    shape: 'sweep',
    urgency: 'standard',
    pieces: 4,
    vcpus: 1,
    accelerators: 0,
    ram_gb: 1,
  },
  ...{ bundle: '', pull_gb: 0, hulls: null, berth: null, same_place: false, scatter: false, flotsam: false },
  ...{ expected_s: 10, mark_every_s: 0, mark_cost_s: 0, due_s: null },
  ...overrides,
});

function worker(specs: Submission[], runS = 10) {
  const lab = new SimulationHarness(5);
  const at = { host: '10.1.0.0', port: 9000 };
  const process = lab.process(at.host);
  const watchdog = lab.process('10.1.0.0 ');
  const jobs = new SimulatedJobs();
  for (const spec of specs) jobs.add(new SimulatedJob(spec, () => runS, false));
  const seen: string[] = [];
  const machine = { id: 'host-1', type, zone: 'a', spot: false, address: '' } as Machine;
  const model = new WorkerModel(machine, {
    ...{ runtime: process, watchdog, luck: lab.rng, log: lab.log, controllers: [], jobs },
    facts: { reportS: 3, leaseS: 20, gangWaitS: 30, gangPeerS: 5, cancelS: 40 },
    gangs: new GangCoordinator(lab.process('10.9.0.0'), lab.rng, { waitS: 30, peerS: 5 }),
    watch: {
      entered: (_m, { spec }, index, attempt) => seen.push(`on ${spec.ref}/${index} ${attempt}`),
      running: () => undefined,
      left: (_m, { spec }, index, attempt, cause) => seen.push(`off ${spec.ref}/${index} ${attempt} ${cause}`),
    },
    noticeS: () => null,
  });
  model.listen(at);
  model.start('10.1.0.0:9000');
  const node = lab.process('10.0.0.1');
  const send = async (helm: number, orders: unknown[], tide = 1) => {
    const answer = await lab.request(node, at, { method: 'POST', path: '/commands', body: { helm, tide, orders } });
    assert.ok(answer.kind === 'answered');
    const body = fields(answer.body);
    const pieces = ((body['pieces'] ?? []) as Json[]).map((p) => `${String(p['piece'])} ${String(p['phase'])}`);
    return { status: answer.status, body, pieces };
  };
  const start = (piece: string, launch: number): Json => ({ verb: 'start', piece, launch });
  const stop = (piece: string, launch: number, moor_s: number): Json => ({ verb: 'stop', piece, launch, moor_s });
  const forget = (piece: string, launch: number): Json => ({ verb: 'forget', piece, launch });
  return { lab, process, model, jobs, seen, send, start, stop, forget };
}

test('worker: refuses commands with a lower token or for another session', async () => {
  const { lab, send, start, seen } = worker([job({ ref: 'j-1' })]);
  assert.equal((await send(5, [start('j-1/0', 1)])).status, 200);
  assert.equal((await send(4, [start('j-1/1', 1)])).status, 409, 'a lower token');
  assert.equal((await send(6, [start('j-1/1', 1)], 2)).status, 409, 'another session');
  const low = await send(5, []);
  assert.equal(low.body['helm'], 5, 'a refused command does not raise the token');
  assert.deepEqual(low.pieces, ['j-1/0 running']);
  await lab.advance(21_000);
  const next = await send(5, [start('j-1/1', 1)], 2);
  assert.deepEqual([next.status, next.body['tide'], next.pieces], [200, 2, ['j-1/1 running']], 'the next session');
  assert.deepEqual(seen.slice(0, 2), ['on j-1/0 1', 'off j-1/0 1 done']);
});

test('worker: repeated starts are ignored, invalid ones refused, and a forgotten attempt can start again', async () => {
  const { lab, send, start, forget, seen } = worker([job({ ref: 'j-1' }), job({ ref: 'j-2', vcpus: 4 })]);
  await send(1, [start('j-1/0', 1), start('j-1/0', 1)]);
  assert.equal(seen.length, 1);
  const refused = await send(1, [start('j-1/0', 2), start('j-2/0', 1), start('j-9/0', 1), start('j-1/7', 1)]);
  const causes = (refused.body['pieces'] as Json[]).map((p) => [p['piece'], p['cause'] ?? p['phase']]);
  assert.deepEqual(causes, [
    ['j-1/0', 'running'],
    ['j-1/0', 'in_use'],
    ['j-2/0', 'no_room'],
    ['j-9/0', 'no_such'],
    ['j-1/7', 'no_such'],
  ]);
  await lab.advance(12_000);
  assert.ok(seen.includes('off j-1/0 1 done'));
  await send(1, [start('j-1/0', 1)]);
  assert.equal(seen.length, 2, 'an exited attempt is not started again');
  await send(1, [forget('j-1/0', 1), start('j-1/0', 1)]);
  await lab.advance(100);
  assert.deepEqual(seen.slice(2), ['on j-1/0 1', 'off j-1/0 1 done'], 'its result was stored');
});

test('worker: a task resumes from saved progress; without time to save it falls back to its last checkpoint', async () => {
  const { lab, jobs, send, start, stop } = worker([job({ ref: 'j-1', mark_every_s: 4, mark_cost_s: 2 })]);
  const saved = (): number => jobs.get('j-1')?.saved.get(0) ?? 0;
  await send(1, [start('j-1/0', 1)]);
  await lab.advance(6000);
  const flushing = await send(1, [stop('j-1/0', 1, 3)]);
  assert.deepEqual(flushing.pieces, ['j-1/0 flushing']);
  await lab.advance(2100);
  assert.ok(saved() > 5 && saved() < 7, `${saved()} s saved`);
  await send(1, [start('j-1/0', 2)]);
  await lab.advance(2500);
  await send(1, [stop('j-1/0', 2, 0)]);
  assert.equal(saved(), 8, 'the last multiple of the checkpoint interval');
  await send(1, [start('j-1/0', 3)]);
  await lab.advance(2600);
  assert.deepEqual([...(jobs.get('j-1')?.finished ?? [])], [0]);
});

test('worker: a machine that hangs makes no progress, and its lease expires nevertheless', async () => {
  const { lab, process, model, seen, send, start } = worker([job({ ref: 'j-1' })], 15);
  await send(1, [start('j-1/0', 1)]);
  await lab.advance(5000);
  model.pause();
  process.freeze();
  await lab.advance(8000);
  model.resume();
  process.thaw();
  await lab.advance(6000);
  assert.deepEqual(seen, ['on j-1/0 1'], '11 of 15 seconds');
  model.pause();
  process.freeze();
  await lab.advance(2000);
  assert.deepEqual(seen, ['on j-1/0 1', 'off j-1/0 1 killed']);
});

test('worker: an image is fetched once for all waiting tasks, fetches share the bandwidth, and the oldest image is evicted', async () => {
  const lab = new SimulationHarness();
  const cache = new ImageCache(lab.process('10.1.0.1'), 3, 1);
  const ready: string[] = [];
  const requestImage = (image: string, gb: number, waiter: string): void =>
    cache.request(image, gb, waiter, () => ready.push(`${waiter} ${Math.round(lab.world.now / 100) / 10}`));
  requestImage('x', 2, 'a');
  requestImage('x', 2, 'b');
  requestImage('y', 1, 'c');
  await lab.advance(10_000);
  assert.deepEqual(ready.splice(0), ['c 2', 'a 3', 'b 3']);
  requestImage('x', 2, 'd');
  requestImage('z', 1, 'e');
  cache.cancel('z', 'e');
  requestImage('z', 1, 'f');
  await lab.advance(10_000);
  assert.deepEqual(ready.splice(0), ['d 10', 'f 11'], 'a fetch is aborted when no task waits for it');
  requestImage('x', 2, 'g');
  requestImage('y', 1, 'h');
  await lab.advance(10_000);
  assert.deepEqual(ready, ['g 20', 'h 21'], 'y was evicted');
});

// ---- gangs

function gang(pieces: number, overrides: Partial<Submission> = {}) {
  const lab = new SimulationHarness(9);
  const gangJob = new SimulatedJob(job({ ref: 'j-1', shape: 'ensemble', pieces, ...overrides }), () => 20, false);
  const coordinator = new GangCoordinator(lab.process('10.9.0.1'), lab.rng, { waitS: 30, peerS: 5 });
  const seen: string[] = [];
  const members = Array.from({ length: pieces }, (_, index): GangMember => ({
    index,
    speed: () => (index === 1 ? 0.5 : 1),
    start: () => seen.push(`start ${index}`),
    saving: () => seen.push(`saving ${index}`),
    exit: (cause, stored) => seen.push(`${cause}${stored ? ' stored' : ''} ${index}`),
  }));
  const join = (attempt: number, ...which: number[]): void => {
    for (const i of which) coordinator.join(gangJob, attempt, members[i] as GangMember);
  };
  return { lab, gangJob, coordinator, seen, join, member: (i: number) => members[i] as GangMember };
}

test('gang: members start together, run at the slowest speed and complete together', async () => {
  const { lab, gangJob, seen, join } = gang(3);
  join(1, 0, 2);
  await lab.advance(10_000);
  assert.deepEqual(seen, []);
  join(1, 1);
  await lab.advance(39_000);
  assert.deepEqual(seen.splice(0), ['start 0', 'start 2', 'start 1']);
  await lab.advance(1100);
  assert.deepEqual([seen, gangJob.complete], [['done 0', 'done 2', 'done 1'], true]);
});

test('gang: a member that waits too long exits as alone, and a replacement with the same attempt completes the gang', async () => {
  const { lab, seen, coordinator, gangJob, join, member } = gang(2);
  join(1, 0);
  await lab.advance(30_100);
  assert.deepEqual(seen.splice(0), ['alone 0']);
  join(2, 0);
  coordinator.onMemberLost(gangJob, 2, member(0), false);
  await lab.advance(10_000);
  join(2, 1);
  join(2, 0);
  assert.deepEqual(seen, ['start 1', 'start 0']);
});

test('gang: when a member is lost the others exit in time, and progress falls back to the last checkpoint', async () => {
  const { lab, seen, coordinator, gangJob, join, member } = gang(2, { mark_every_s: 3, mark_cost_s: 1 });
  join(1, 0, 1);
  await lab.advance(10_000);
  coordinator.onMemberLost(gangJob, 1, member(1), false);
  await lab.advance(5001);
  assert.deepEqual([seen.slice(2), gangJob.saved.get(0)], [['mates_gone 0'], 3], '5 s at half speed');
  join(1, 1);
  assert.equal(seen.at(-1), 'mates_gone 1', 'that attempt has ended');
});

test('gang: a stop saves progress when all members are told in time, and fails when one is not', async () => {
  const toldInTime = gang(2, { mark_every_s: 3, mark_cost_s: 1 });
  toldInTime.join(1, 0, 1);
  await toldInTime.lab.advance(10_000);
  toldInTime.coordinator.stop(toldInTime.gangJob, 1, toldInTime.member(0), 2);
  await toldInTime.lab.advance(3000);
  toldInTime.coordinator.stop(toldInTime.gangJob, 1, toldInTime.member(1), 2);
  await toldInTime.lab.advance(1100);
  assert.deepEqual(toldInTime.seen.slice(2), ['saving 0', 'saving 1', 'stopped stored 0', 'stopped stored 1']);
  assert.ok(Math.abs((toldInTime.gangJob.saved.get(0) ?? 0) - 5) < 0.01, 'progress freezes at the first stop');
  const toldLate = gang(2, { mark_every_s: 3, mark_cost_s: 1 });
  toldLate.join(1, 0, 1);
  await toldLate.lab.advance(10_000);
  toldLate.coordinator.stop(toldLate.gangJob, 1, toldLate.member(0), 2);
  await toldLate.lab.advance(11_000);
  assert.deepEqual(toldLate.seen.slice(2).sort(), ['mates_gone 0', 'mates_gone 1', 'saving 0']);
  assert.equal(toldLate.gangJob.saved.get(0), 3);
});

// ---- the balancer

test('balancer: probes determine health, new connections go to the least loaded node, and refused ones to another', async () => {
  const lab = new SimulationHarness(2);
  const nodes = ['10.0.0.1', '10.0.0.2'].map((host) => ({ host, port: 8080 }));
  const served = [0, 0];
  const health = [200, 200];
  const processes = nodes.map((at, i) => {
    const process = lab.process(at.host);
    process.listen({
      ...at,
      accept: (socket) => {
        socket.on('data', (chunk: Buffer) => {
          const probe = chunk.toString().includes('/healthz');
          if (!probe) served[i] = (served[i] ?? 0) + 1;
          socket.write(`HTTP/1.1 ${probe ? (health[i] ?? 0) : 200} X\r\ncontent-length: 2\r\n\r\n{}`);
        });
        socket.on('error', () => undefined);
      },
      failed: () => undefined,
    });
    return process;
  });
  const balancer = new Balancer(lab.process('10.3.0.1'), nodes);
  balancer.start();
  const poll = { method: 'GET', path: '/v1/jobs/j-1', timeoutMs: 2000 } as const;
  assert.equal((await lab.runUntilSettled(balancer.openSession().call(poll))).kind, 'failed', 'no node is healthy yet');
  await lab.advance(100);
  assert.equal(balancer.healthyCount, 2, 'the first success suffices');
  const sessions = Array.from({ length: 10 }, () => balancer.openSession());
  for (const session of sessions) await lab.runUntilSettled(session.call(poll));
  assert.deepEqual(served, [5, 5]);
  health[0] = 503;
  await lab.advance(1500);
  assert.equal(balancer.healthyCount, 2);
  await lab.advance(1500);
  assert.equal(balancer.healthyCount, 1, 'two failures in a row');
  for (const session of sessions.slice(0, 4)) await lab.runUntilSettled(session.call(poll));
  assert.deepEqual(served, [7, 7], 'open connections are not closed at once');
  await lab.advance(5000);
  health[0] = 200;
  for (const session of sessions) await lab.runUntilSettled(session.call(poll));
  assert.deepEqual(served, [7, 17], 'they are closed after five seconds');
  await lab.advance(2500);
  assert.equal(balancer.healthyCount, 2, 'two successes, and the removal time has passed');
  processes[1]?.kill();
  assert.equal(
    (await lab.runUntilSettled(sessions[0]?.call(poll) ?? Promise.reject(new Error('none')))).kind,
    'failed',
  );
  assert.equal(
    (await lab.runUntilSettled(balancer.openSession().call(poll))).kind,
    'answered',
    'a refused connection is retried on another node',
  );
});
