// Kills a recorder with SIGKILL at random moments, again and again, while a stand-in controller tells events, and
// checks each time that the trace is whole. Usage: node scripts/measure-recorder-kill.mjs [times] [seed]
import { spawn } from 'node:child_process';
import { mkdtempSync, readdirSync } from 'node:fs';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { URL } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';

const times = Number(process.argv[2] ?? 200);
let state = Number(process.argv[3] ?? 1) >>> 0;
const random = () => {
  state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
  return state / 2 ** 32;
};
const CAPACITY = 1_000_000;
const began = Date.now();
// One event every few milliseconds: what a page says never changes.
const EVERY_MS = 4;
const event = (n) => ({ n, at: began + n * EVERY_MS, kind: 'ended', job: `j-${n}`, phase: 'done', done: 1 });
const server = createServer((req, res) => {
  const url = new URL(req.url, 'http://x');
  const next = Math.floor((Date.now() - began) / EVERY_MS) + 1;
  const after = Number(url.searchParams.get('after') ?? 0);
  const most = Number(url.searchParams.get('limit') ?? 1000);
  const events = [];
  for (let n = after + 1; n < next && events.length < most; n++) events.push(event(n));
  const body = url.pathname.endsWith('/facts')
    ? { types: [{ name: 't' }] }
    : { node: 'stand-in', incarnation: 'one', first: Math.max(1, next - CAPACITY), next, events };
  res.setHeader('content-type', 'application/json');
  res.end(JSON.stringify(body));
});
await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
const dir = mkdtempSync(join(tmpdir(), 'recorder-kill-'));
const node = `127.0.0.1:${server.address().port}`;
const args = ['record', '--node', node, '--out', dir, '--poll-s', '0.02', '--segment-s', '0.04'];
const run = (command, extra = []) =>
  spawn(process.execPath, ['target/main.cjs', ...command, ...extra], { stdio: ['ignore', 'pipe', 'ignore'] });
const ended = (child) => new Promise((resolve) => child.once('exit', resolve));

let [bad, half] = [0, 0];
for (let i = 0; i < times; i++) {
  const child = run(args);
  const gone = ended(child);
  // Before there is a manifest there is nothing to check.
  while (i === 0 && !readdirSync(dir).includes('manifest.json')) await sleep(20);
  // Starting takes a third of a second; then segments are written every few hundredths.
  await sleep(500 + random() * 900);
  child.kill('SIGKILL');
  await gone;
  if (readdirSync(dir).some((name) => name.endsWith('.tmp'))) half += 1;
  // Every twentieth time, and at the end, all that is claimed is read.
  if (i % 20 !== 19 && i !== times - 1) continue;
  const check = run(['trace', 'verify', dir]);
  const said = [];
  check.stdout.on('data', (chunk) => said.push(String(chunk)));
  if ((await ended(check)) === 0) continue;
  bad += 1;
  process.stderr.write(said.join(''));
}
const last = run(args, ['--for-s', '6']);
await ended(last);
let text = '';
const show = run(['trace', 'show', dir]);
show.stdout.on('data', (chunk) => (text += chunk));
await ended(show);
server.close();
const events = Number(/(\d+) ended/.exec(text)?.[1] ?? 0);
const again = Number(/(\d+) told again/.exec(text)?.[1] ?? -1);
const whole = text.includes('nothing is missing');
const segments = readdirSync(dir).filter((name) => name.endsWith('.parquet')).length;
process.stdout.write(
  `${JSON.stringify({ times, killedInsideAWrite: half, damaged: bad, events, twice: again, nothingMissing: whole, segments })}\n`,
);
process.exitCode = bad === 0 && again === 0 && whole && events > 0 ? 0 : 1;
