import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Luck, type Cut, type SimProcess } from '../src/index.js';
import { Lab } from './lab.js';
import { played, shortDay } from './days.js';

const PORT = 9;

/** A server that keeps what it hears, and when. */
function ear(lab: Lab, ip: string, maxConnections?: number) {
  const process = lab.process(ip, 'b');
  const heard: { at: number; text: string }[] = [];
  const ends: string[] = [];
  process.listen({
    ...{ host: ip, port: PORT },
    ...(maxConnections === undefined ? {} : { maxConnections }),
    accept: (socket) => {
      socket.on('data', (chunk: Buffer) => heard.push({ at: lab.world.now, text: chunk.toString() }));
      socket.on('end', () => ends.push('end'));
      socket.on('error', (error) => ends.push(error.message));
    },
    failed: (error) => ends.push(error.message),
  });
  return { process, heard, ends };
}

function mouth(from: SimProcess, to: string) {
  const socket = from.connect({ host: to, port: PORT });
  const seen: string[] = [];
  socket.on('connect', () => seen.push('connect'));
  socket.on('error', (error) => seen.push(error.message));
  socket.on('end', () => seen.push('end'));
  return { socket, seen };
}

test('the same seed gives the same event log, byte for byte, and another seed another day', async () => {
  const day = shortDay(150, [
    { kind: 'controller_crash', at_s: 40, controller: 'leader' },
    { kind: 'machines_cut', at_s: 60, for_s: 20, share: 0.4, manner: 'hold' },
  ]);
  const logs: string[][] = [[], [], []];
  const results = [];
  for (const [i, seed] of [7, 7, 8].entries())
    results.push(await played(day, { seed, event: (line) => logs[i]?.push(line) }));
  assert.ok((logs[0]?.length ?? 0) > 100);
  assert.deepEqual(logs[0], logs[1]);
  assert.equal(results[0]?.digest, results[1]?.digest);
  assert.notEqual(results[0]?.digest, results[2]?.digest);
  assert.deepEqual(results[0]?.defects, []);
});

test('streams of luck are their own: one that draws more changes no other', () => {
  const [a, b] = [new Luck(5), new Luck(5)];
  a.fork('x').next();
  for (let i = 0; i < 10; i++) a.fork('y').next();
  assert.equal(a.fork('z').next(), b.fork('z').next());
  const draws = Array.from({ length: 4000 }, () => b.spread({ median: 10, p95: 30, max: 50 })).sort((p, q) => p - q);
  const at = (share: number): number => draws[Math.floor(draws.length * share)] ?? 0;
  assert.ok(Math.abs(at(0.5) - 10) < 1 && Math.abs(at(0.95) - 30) < 4 && at(0.9999) <= 50);
});

test('packets keep their order, and what a cut holds arrives late even when its sender has given up', async () => {
  const lab = new Lab();
  const { heard, ends } = ear(lab, '10.0.0.2');
  const speaker = lab.process('10.0.0.1', 'a');
  const { socket, seen } = mouth(speaker, '10.0.0.2');
  for (let i = 0; i < 5; i++) socket.write(String(i));
  await lab.pass(50);
  assert.deepEqual(seen, ['connect']);
  assert.equal(heard.map((h) => h.text).join(''), '01234');
  const cut: Cut = { kind: 'hold', between: (a, b) => a.ip === '10.0.0.1' && b.ip === '10.0.0.2' };
  lab.network.cut(cut);
  socket.write('late');
  await lab.pass(1000);
  socket.destroy();
  const attempt = mouth(speaker, '10.0.0.2');
  await lab.pass(50_000);
  assert.equal(heard.length, 5, 'nothing passes a cut');
  attempt.socket.destroy();
  lab.network.heal(cut);
  await lab.pass(1000);
  assert.equal(heard.at(-1)?.text, 'late');
  assert.ok((heard.at(-1)?.at ?? 0) > 51_000);
  assert.deepEqual(ends, ['end']);
  assert.deepEqual(attempt.seen, [], 'an attempt that was given up does not complete later');
});

test('a cut may reset or refuse; a machine without power is silent; an ended process is not', async () => {
  const lab = new Lab();
  const there = ear(lab, '10.0.0.2', 1);
  const here = lab.process('10.0.0.1', 'a');
  const first = mouth(here, '10.0.0.2');
  await lab.pass(20);
  const second = mouth(here, '10.0.0.2');
  await lab.pass(20);
  assert.deepEqual(second.seen, ['ECONNREFUSED'], 'no more connections than the listener takes');
  const between = (): boolean => true;
  const reset: Cut = { kind: 'reset', between };
  lab.network.cut(reset);
  await lab.pass(20);
  assert.deepEqual(first.seen, ['connect', 'ECONNRESET']);
  lab.network.heal(reset);
  const refuse: Cut = { kind: 'refuse', between };
  lab.network.cut(refuse);
  const third = mouth(here, '10.0.0.2');
  await lab.pass(20);
  assert.deepEqual(third.seen, ['ECONNREFUSED']);
  lab.network.heal(refuse);
  const fourth = mouth(here, '10.0.0.2');
  await lab.pass(20);
  there.process.kill();
  await lab.pass(20);
  assert.deepEqual(fourth.seen, ['connect', 'ECONNRESET']);
  lab.network.remove(there.process.host);
  const fifth = mouth(here, '10.0.0.2');
  await lab.pass(30_000);
  assert.deepEqual(fifth.seen, [], 'no answer and no error');
});

test('a process that stands still does what fell due when it goes on, while its clock has run', async () => {
  const lab = new Lab();
  const process = lab.process('10.0.0.1', null, { drift: 0.0005, wanderMs: 40 });
  const done: { what: string; at: number; clock: number }[] = [];
  const note = (what: string) => () => done.push({ what, at: lab.world.now, clock: process.now() });
  const begun = process.now();
  process.after(100, note('a'));
  process.after(2000, note('b'));
  const off = process.after(50, note('never'));
  off.cancel();
  await lab.pass(10);
  process.freeze();
  await lab.pass(5000);
  process.thaw();
  await lab.pass(10);
  assert.deepEqual(
    done.map(({ what }) => what),
    ['a', 'b'],
  );
  assert.ok(done.every(({ at, clock }) => at === 5010 && Math.abs(clock - begun - 5010 * 1.0005) < 1e-6));
  process.after(10, note('after the end'));
  process.kill();
  await lab.pass(100);
  assert.equal(done.length, 2);
});
