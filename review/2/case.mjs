// Users cancel a sweep that fills machines with hundreds of small tasks; small jobs that are started in that moment never run.
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, sleep } from '../standins/http.mjs';
import { World, WARSAW, submission } from '../standins/world.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const here = dirname(fileURLToPath(import.meta.url));
// Settings and capacity of the deployment przenos-hosting-waw as in kit/more/hunt.
const capacity = new Map([['magazyn/praga/false', 4], ['magazyn/praga/true', 7], ['magazyn/krakow/false', 4], ['magazyn/krakow/true', 4]]);
const UP = 15;
/** Sweeps in a cycle: as many as there are controllers. */
const SWEEPS = 3;
const world = new World({
  ...WARSAW,
  teams: [{ name: 'przenosiny' }, { name: 'analityka-rynku' }],
  facts: {
    workers: { report_s: 2.5, lease_s: 15.25, gang_wait_s: 45, gang_peer_s: 5, cancel_s: 40.25 },
    state: { rps: 350, write_rps: 50, value_kb: 32, txn_ops: 16, latency_ms: 5 },
    machine_limits: { core_share: 0.374, mem_mb: 190, max_connections: 1741 },
  },
  cloud: { ...WARSAW.cloud, rps: 6, capacity },
  recordFile: join(here, 'record.txt'),
});
world.quietEvents = new Set(['ordered', 'on', 'off']);
/** No cycle begins later than this. */
const LAST_CYCLE_MS = 17_000;
const PROBES = 30;
const WAIT_MS = 90_000;
const begun = new Set();
world.listeners.push((kind, fields) => {
  if (kind === 'on') begun.add(fields.piece.slice(0, fields.piece.lastIndexOf('/')));
});
const accepted = new Map();

async function request(path, body, first = 0) {
  for (let at = first; at < first + 40; at++) {
    const node = world.nodes[at % world.nodes.length];
    const answer = await call({ port: node.port, method: 'POST', path, body, timeoutMs: 5000 });
    world.record(`${path} ${body.ref ?? ''} at ${node.name} -> ${answer.status ?? answer.failed} ${JSON.stringify(answer.body ?? null)}`);
    if (answer.status === 201 || answer.status === 200) return answer.body;
    await sleep(1000);
  }
  throw new Error(`${path} is not answered`);
}

const small = { owner: 'analityka-rynku', vcpus: 0.25, ram_gb: 0.45, bundle: 'img-sweep', pull_gb: 0.5, hulls: ['magazyn'], expected_s: 4 };
async function submit(fields, first) {
  const job = submission({ ...small, ...fields });
  world.jobs.set(job.ref, job);
  world.runSOf.set(job.ref, () => 3 + Math.random() * 3);
  await request('/v1/jobs', job, first);
  accepted.set(job.ref, world.now());
}

const machines = () => [...world.cloud.machines.values()].filter(({ worker, info }) => worker && !worker.dead && info.hull === 'magazyn');
const live = (worker, ref) => [...worker.pieces.values()].filter((piece) => piece.phase !== 'exited' && (!ref || piece.ref === ref)).length;
/** Machines that are up, reporting and without any task: more than the rule asks for. */
const roomy = () => machines().filter(({ worker }) => live(worker) === 0);

async function main() {
  await world.start();
  for (let i = 0; i < UP; i++) await (await world.cloud.add('magazyn', ['praga', 'krakow'][i % 2], i % 4 > 1, 0)).done;
  for (const node of world.nodes) world.launch(node);
  for (const node of world.nodes) if (!(await world.healthy(node))) return 2;
  await sleep(1500);
  for (let cycle = 0; world.now() < LAST_CYCLE_MS; cycle++) {
    const began = world.now();
    const sweeps = Array.from({ length: SWEEPS }, (_, i) => `j-0001${cycle}${i}`);
    await Promise.all(sweeps.map((ref, i) => submit({ ref, jobclass: 'msisdn-sweep', urgency: 'standard', pieces: 25_000 }, i)));
    await sleep(2500);
    await Promise.all(Array.from({ length: PROBES }, (_, i) => submit({ ref: `j-000${200 + cycle * 100 + i}`, jobclass: 'hlr-probes', urgency: 'low', pieces: 1 }, i)));
    await sleep(Math.max(0, began + 5000 - world.now()));
    world.record(`tasks on machines: ${machines().map(({ info, worker }) => `${info.ref}=${live(worker)}`).join(' ')}`);
    if (!TROUBLE) continue;
    const told = await Promise.all(sweeps.map((ref, i) => request(`/v1/jobs/${ref}/cancel`, {}, i)));
    if (told.some(({ phase }) => phase !== 'withdrawn')) return 2;
    for (const ref of sweeps) accepted.delete(ref);
    await sleep(800);
  }
  const probes = [...accepted.keys()].filter((ref) => world.jobs.get(ref).pieces === 1);
  let since = performance.now();
  while (performance.now() - since < WAIT_MS && world.now() < 114_000) {
    if (roomy().length === 0) since = performance.now();
    const waiting = probes.filter((ref) => !begun.has(ref));
    if (waiting.length === 0) break;
    if (Math.round((performance.now() - since) / 1000) % 10 === 0) world.record(`not begun: ${waiting.join(' ')}; empty machines: ${roomy().map(({ info }) => `${info.ref}`).join(' ')}`);
    await sleep(1000);
  }
  const left = probes.filter((ref) => !begun.has(ref));
  if (left.length === 0 || performance.now() - since < WAIT_MS) return 0;
  for (const ref of left) {
    const answer = await call({ port: world.nodes[0].port, path: `/v1/jobs/${ref}`, timeoutMs: 2000 });
    world.record(`broken left waiting: ${ref} has waited ${Math.round((world.now() - accepted.get(ref)) / 1000)} s, 90 s of them beside machines without any task; poll -> ${answer.status} ${JSON.stringify(answer.body)}`);
  }
  return 1;
}

const outcome = await main().catch((error) => (world.record(`failed: ${error.stack}`), 2));
await world.stop();
process.exit(outcome);
