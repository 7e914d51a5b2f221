// Repeatedly kills a recorder with SIGKILL at random times while a stand-in controller serves events. Checks after every
// 20th kill, and after the last one, that the trace is intact, and at the end that it is complete.
// Usage: node scripts/measure-recorder-kill.mjs [times] [seed]
import { spawn } from 'node:child_process';
import { mkdtempSync, readdirSync } from 'node:fs';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { URL } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';

const kills = Number(process.argv[2] ?? 200);
let randomState = Number(process.argv[3] ?? 1) >>> 0;
const random = () => {
  randomState = (Math.imul(randomState, 1664525) + 1013904223) >>> 0;
  return randomState / 2 ** 32;
};
const TRAIL_EVENTS = 1_000_000;
const startedMs = Date.now();
// Events are a function of their number alone, so that a page which is requested again is the same.
const EVENT_INTERVAL_MS = 4;
const event = (n) => ({
  n,
  at: startedMs + n * EVENT_INTERVAL_MS,
  kind: 'ended',
  job: `j-${n}`,
  phase: 'done',
  done: 1,
});
const server = createServer((req, res) => {
  const url = new URL(req.url, 'http://x');
  const next = Math.floor((Date.now() - startedMs) / EVENT_INTERVAL_MS) + 1;
  const after = Number(url.searchParams.get('after') ?? 0);
  const limit = Number(url.searchParams.get('limit') ?? 1000);
  const events = [];
  for (let n = after + 1; n < next && events.length < limit; n++) events.push(event(n));
  const body = url.pathname.endsWith('/facts')
    ? { types: [{ name: 't' }] }
    : { node: 'stand-in', incarnation: 'one', first: Math.max(1, next - TRAIL_EVENTS), next, events };
  res.setHeader('content-type', 'application/json');
  res.end(JSON.stringify(body));
});
await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
const dir = mkdtempSync(join(tmpdir(), 'recorder-kill-'));
const node = `127.0.0.1:${server.address().port}`;
const args = ['record', '--node', node, '--out', dir, '--poll-s', '0.02', '--segment-s', '0.04'];
const run = (command, extra = []) =>
  spawn(process.execPath, ['target/main.cjs', ...command, ...extra], { stdio: ['ignore', 'pipe', 'ignore'] });
const exitCode = (child) => new Promise((resolve) => child.once('exit', resolve));

let [damaged, interruptedWrites] = [0, 0];
for (let i = 0; i < kills; i++) {
  const child = run(args);
  const exited = exitCode(child);
  // Until the first manifest is written there is no trace to check.
  while (i === 0 && !readdirSync(dir).includes('manifest.json')) await sleep(20);
  // The recorder takes about 0.3 s to start; then it writes a segment every few hundredths of a second.
  await sleep(500 + random() * 900);
  child.kill('SIGKILL');
  await exited;
  if (readdirSync(dir).some((name) => name.endsWith('.tmp'))) interruptedWrites += 1;
  // After every 20th kill and after the last one, all files that the manifest lists are verified.
  if (i % 20 !== 19 && i !== kills - 1) continue;
  const check = run(['trace', 'verify', dir]);
  const output = [];
  check.stdout.on('data', (chunk) => output.push(String(chunk)));
  if ((await exitCode(check)) === 0) continue;
  damaged += 1;
  process.stderr.write(output.join(''));
}
const finalRun = run(args, ['--for-s', '6']);
await exitCode(finalRun);
let summary = '';
const show = run(['trace', 'show', dir]);
show.stdout.on('data', (chunk) => (summary += chunk));
await exitCode(show);
server.close();
const events = Number(/(\d+) ended/.exec(summary)?.[1] ?? 0);
const duplicates = Number(/(\d+) duplicates/.exec(summary)?.[1] ?? -1);
const complete = summary.includes('no known gaps');
const segments = readdirSync(dir).filter((name) => name.endsWith('.parquet')).length;
process.stdout.write(
  `${JSON.stringify({ times: kills, killedInsideAWrite: interruptedWrites, damaged, events, twice: duplicates, nothingMissing: complete, segments })}\n`,
);
process.exitCode = damaged === 0 && duplicates === 0 && complete && events > 0 ? 0 : 1;
