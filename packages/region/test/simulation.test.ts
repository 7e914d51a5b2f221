import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomStream, type Partition, type SimProcess } from '../src/index.js';
import { SimulationHarness } from './simulation-harness.js';
import { playDay, shortDay } from './test-days.js';

const PORT = 9;

/** A server that records the data it receives, with the time, and the ends and errors of its connections. */
function recordingServer(lab: SimulationHarness, ip: string, maxConnections?: number) {
  const process = lab.process(ip, 'b');
  const received: { at: number; text: string }[] = [];
  const closeEvents: string[] = [];
  process.listen({
    ...{ host: ip, port: PORT },
    ...(maxConnections === undefined ? {} : { maxConnections }),
    accept: (socket) => {
      socket.on('data', (chunk: Buffer) => received.push({ at: lab.world.now, text: chunk.toString() }));
      socket.on('end', () => closeEvents.push('end'));
      socket.on('error', (error) => closeEvents.push(error.message));
    },
    failed: (error) => closeEvents.push(error.message),
  });
  return { process, received, closeEvents };
}

/** A client connection that records its events. */
function recordingClient(from: SimProcess, to: string) {
  const socket = from.connect({ host: to, port: PORT });
  const seen: string[] = [];
  socket.on('connect', () => seen.push('connect'));
  socket.on('error', (error) => seen.push(error.message));
  socket.on('end', () => seen.push('end'));
  return { socket, seen };
}

test('the same seed gives the same event log byte for byte, and another seed a different one', async () => {
  const day = shortDay(150, [
    { kind: 'controller_crash', at_s: 40, controller: 'leader' },
    { kind: 'machines_cut', at_s: 60, for_s: 20, share: 0.4, manner: 'hold' },
  ]);
  const logs: string[][] = [[], [], []];
  const results = [];
  for (const [i, seed] of [7, 7, 8].entries())
    results.push(await playDay(day, { seed, event: (line) => logs[i]?.push(line) }));
  assert.ok((logs[0]?.length ?? 0) > 100);
  assert.deepEqual(logs[0], logs[1]);
  assert.equal(results[0]?.digest, results[1]?.digest);
  assert.notEqual(results[0]?.digest, results[2]?.digest);
  assert.deepEqual(results[0]?.defects, []);
});

test('random streams are independent: additional draws from one do not change another', () => {
  const [a, b] = [new RandomStream(5), new RandomStream(5)];
  a.fork('x').next();
  for (let i = 0; i < 10; i++) a.fork('y').next();
  assert.equal(a.fork('z').next(), b.fork('z').next());
  const draws = Array.from({ length: 4000 }, () => b.logNormal({ median: 10, p95: 30, max: 50 })).sort((p, q) => p - q);
  const quantile = (share: number): number => draws[Math.floor(draws.length * share)] ?? 0;
  assert.ok(Math.abs(quantile(0.5) - 10) < 1 && Math.abs(quantile(0.95) - 30) < 4 && quantile(0.9999) <= 50);
});

test('packets stay in order, and packets held by a partition arrive after it even if the sender has closed the connection', async () => {
  const lab = new SimulationHarness();
  const { received, closeEvents } = recordingServer(lab, '10.0.0.2');
  const client = lab.process('10.0.0.1', 'a');
  const { socket, seen } = recordingClient(client, '10.0.0.2');
  for (let i = 0; i < 5; i++) socket.write(String(i));
  await lab.advance(50);
  assert.deepEqual(seen, ['connect']);
  assert.equal(received.map((h) => h.text).join(''), '01234');
  const partition: Partition = { kind: 'hold', between: (a, b) => a.ip === '10.0.0.1' && b.ip === '10.0.0.2' };
  lab.network.addPartition(partition);
  socket.write('late');
  await lab.advance(1000);
  socket.destroy();
  const attempt = recordingClient(client, '10.0.0.2');
  await lab.advance(50_000);
  assert.equal(received.length, 5, 'no packet passes the partition');
  attempt.socket.destroy();
  lab.network.removePartition(partition);
  await lab.advance(1000);
  assert.equal(received.at(-1)?.text, 'late');
  assert.ok((received.at(-1)?.at ?? 0) > 51_000);
  assert.deepEqual(closeEvents, ['end']);
  assert.deepEqual(attempt.seen, [], 'an attempt that the client has given up does not complete later');
});

test('a partition can reset or refuse connections; a host without power does not answer; an ended process resets its connections', async () => {
  const lab = new SimulationHarness();
  const server = recordingServer(lab, '10.0.0.2', 1);
  const client = lab.process('10.0.0.1', 'a');
  const first = recordingClient(client, '10.0.0.2');
  await lab.advance(20);
  const second = recordingClient(client, '10.0.0.2');
  await lab.advance(20);
  assert.deepEqual(second.seen, ['ECONNREFUSED'], 'the listener is at its connection limit');
  const between = (): boolean => true;
  const reset: Partition = { kind: 'reset', between };
  lab.network.addPartition(reset);
  await lab.advance(20);
  assert.deepEqual(first.seen, ['connect', 'ECONNRESET']);
  lab.network.removePartition(reset);
  const refuse: Partition = { kind: 'refuse', between };
  lab.network.addPartition(refuse);
  const third = recordingClient(client, '10.0.0.2');
  await lab.advance(20);
  assert.deepEqual(third.seen, ['ECONNREFUSED']);
  lab.network.removePartition(refuse);
  const fourth = recordingClient(client, '10.0.0.2');
  await lab.advance(20);
  server.process.kill();
  await lab.advance(20);
  assert.deepEqual(fourth.seen, ['connect', 'ECONNRESET']);
  lab.network.removeHost(server.process.host);
  const fifth = recordingClient(client, '10.0.0.2');
  await lab.advance(30_000);
  assert.deepEqual(fifth.seen, [], 'no answer and no error');
});

test('a frozen process runs its due timers once it is thawed, while its clock keeps running', async () => {
  const lab = new SimulationHarness();
  const process = lab.process('10.0.0.1', null, { drift: 0.0005, wanderMs: 40 });
  const done: { what: string; at: number; clock: number }[] = [];
  const record = (what: string) => () => done.push({ what, at: lab.world.now, clock: process.now() });
  const startedAt = process.now();
  process.after(100, record('a'));
  process.after(2000, record('b'));
  const cancelledTimer = process.after(50, record('never'));
  cancelledTimer.cancel();
  await lab.advance(10);
  process.freeze();
  await lab.advance(5000);
  process.thaw();
  await lab.advance(10);
  assert.deepEqual(
    done.map(({ what }) => what),
    ['a', 'b'],
  );
  assert.ok(done.every(({ at, clock }) => at === 5010 && Math.abs(clock - startedAt - 5010 * 1.0005) < 1e-6));
  process.after(10, record('after the end'));
  process.kill();
  await lab.advance(100);
  assert.equal(done.length, 2);
});
