// The state service refuses one controller while many users submit; that controller ends and is back at once.
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Balancer } from '../standins/balancer.mjs';
import { call, sleep } from '../standins/http.mjs';
import { DAR, World, submission } from '../standins/world.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const here = dirname(fileURLToPath(import.meta.url));
const world = new World({ ...DAR, recordFile: join(here, 'record.txt') });
world.quietEvents = new Set(['on', 'off', 'ordered']);
const USERS = 400;
const ARRIVE_MS = 480;
let balancer;
/** Job -> what its user was told last: 'accepted'. */
const accepted = new Map();
const broken = [];
let refusals = 0;

/** One user: submits one job until it is accepted, for 60 s at most, then polls it every 5 s. */
async function user(job, untilMs) {
  const began = performance.now();
  while (performance.now() - began < 60_000 && world.now() < untilMs) {
    const answer = await call({ port: balancer.port, method: 'POST', path: '/v1/jobs', body: job, timeoutMs: 5000 });
    world.record(`submit ${job.ref} -> ${answer.status ?? answer.failed} ${answer.status ? JSON.stringify(answer.body) : ''}`);
    if (answer.status === 201 || answer.status === 200) {
      accepted.set(job.ref, world.now());
      if (answer.body?.ref !== job.ref) world.record(`foreign answer: the user of ${job.ref} was told of ${answer.body?.ref}`);
      break;
    }
    refusals += 1;
    await sleep(Math.max(1000, Math.min(30_000, (answer.retryAfterS ?? 0) * 1000)) + Math.random() * 100);
  }
  while (accepted.has(job.ref) && world.now() < untilMs) {
    await sleep(5000 * (0.9 + Math.random() / 5));
    const answer = await call({ port: balancer.port, path: `/v1/jobs/${job.ref}`, timeoutMs: 2000 });
    world.record(`poll ${job.ref} -> ${answer.status ?? answer.failed} ${answer.status ? JSON.stringify(answer.body) : ''}`);
    if (answer.status === 404) {
      broken.push(`${job.ref}: accepted at ${(accepted.get(job.ref) / 1000).toFixed(3)} s, 404 at ${(world.now() / 1000).toFixed(3)} s`);
      return;
    }
  }
}

async function main() {
  await world.start();
  for (let i = 0; i < 4; i++) await (await world.cloud.add('dispensary', 'msasani', false, 0)).done;
  for (const node of world.nodes) world.launch(node);
  for (const node of world.nodes) if (!(await world.healthy(node))) return 2;
  balancer = new Balancer(world.nodes, (text) => world.record(text));
  await balancer.listen();
  await sleep(13_000);
  if (balancer.targets.some(({ healthy }) => !healthy)) return 2;
  const refused = world.nodes[2];
  const target = balancer.targets.find(({ node }) => node === refused);
  // All begins after a probe of the balancer.
  for (const seen = target.probedAt; target.probedAt === seen; ) await sleep(5);
  if (TROUBLE) {
    world.state.setRefused(refused.name, true);
    world.record(`the state service refuses ${refused.name}`);
  }
  const untilMs = world.now() + 45_000;
  const users = Array.from({ length: USERS }, async (_, i) => {
    const job = submission({ ref: `j-${String(100_000 + i)}`, jobclass: 'booking-desk', owner: 'ratiba', shape: 'daemon', urgency: 'production', pieces: 3, vcpus: 1, ram_gb: 2, pull_gb: 1.8, flotsam: false, expected_s: 0 });
    world.jobs.set(job.ref, job);
    await sleep(80 + Math.random() * ARRIVE_MS);
    await user(job, untilMs);
  });
  if (TROUBLE) {
    await sleep(600);
    world.kill(refused);
    await sleep(100);
    world.launch(refused);
    await sleep(15_000);
    world.state.setRefused(refused.name, false);
    world.record(`the state service serves ${refused.name} again`);
  }
  await Promise.all(users);
  return null;
}

const outcome = await main().catch((error) => (world.record(`failed: ${error.stack}`), 2));
for (const line of broken) world.record(`broken forgotten ${line}`);
world.record(`accepted ${accepted.size} of ${USERS}, refused attempts ${refusals}, forgotten ${broken.length}`);
balancer?.close();
await world.stop();
process.exit(outcome ?? (broken.length > 0 ? 1 : 0));
