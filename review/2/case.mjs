// Users cancel sweeps of some hundred small tasks on a machine while small jobs come; some of those never run.
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, sleep } from '../standins/http.mjs';
import { World, WARSAW, submission } from '../standins/world.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const here = dirname(fileURLToPath(import.meta.url));
// Settings and capacity of the deployment przenos-hosting-waw as in kit/more/hunt.
const capacity = new Map([['magazyn/praga/false', 4], ['magazyn/praga/true', 7], ['magazyn/krakow/false', 4], ['magazyn/krakow/true', 4]]);
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
world.quietEvents = new Set(['ordered']);
/** Tasks of a sweep: 53 of a machine's 64 CPUs. */
const PIECES = 212;
const PROBES_PER_S = 7;
/** No sweep is submitted later than this. */
const LAST_SWEEP_MS = 20_000;
const WAIT_MS = 90_000;
/** CPUs that have to be free on one machine for it to count as one that has room: half of them. */
const ROOM = 32;

const begun = new Set();
world.listeners.push((kind, fields) => {
  if (kind === 'on') begun.add(fields.piece.slice(0, fields.piece.lastIndexOf('/')));
});
/** Jobs that are accepted and not cancelled, and when they were. */
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
const free = (worker) => 64 - [...worker.pieces.values()].reduce((sum, piece) => sum + (piece.phase === 'exited' ? 0 : piece.job.vcpus), 0);
const roomy = () => machines().filter(({ worker }) => free(worker) >= ROOM);

async function main() {
  await world.start();
  await (await world.cloud.add('magazyn', 'praga', false, 0)).done;
  for (const node of world.nodes) world.launch(node);
  for (const node of world.nodes) if (!(await world.healthy(node))) return 2;
  await sleep(2000);
  let over = false;
  const probes = [];
  const arrivals = (async () => {
    for (let i = 0; !over; i++) {
      const ref = `j-${200_000 + i}`;
      probes.push(submit({ ref, jobclass: 'hlr-probes', urgency: 'low', pieces: 1 }, i));
      await sleep((1000 / PROBES_PER_S) * (0.5 + Math.random()));
    }
  })();
  for (let cycle = 0; world.now() < LAST_SWEEP_MS; cycle++) {
    const sweep = `j-${100_000 + cycle}`;
    await submit({ ref: sweep, jobclass: 'msisdn-sweep', urgency: 'standard', pieces: PIECES }, cycle);
    await sleep(1800);
    if (!TROUBLE) continue;
    const told = await request(`/v1/jobs/${sweep}/cancel`, {}, cycle);
    if (told.phase !== 'withdrawn') return 2;
    accepted.delete(sweep);
    await sleep(300);
  }
  over = true;
  await arrivals;
  await Promise.all(probes);
  const jobs = [...accepted.keys()].filter((ref) => world.jobs.get(ref).pieces === 1);
  let since = performance.now();
  for (let i = 0; performance.now() - since < WAIT_MS && world.now() < 114_500; i++) {
    if (roomy().length === 0) since = performance.now();
    const waiting = jobs.filter((ref) => !begun.has(ref));
    if (waiting.length === 0) break;
    if (i % 10 === 0) world.record(`not begun: ${waiting.join(' ')}; machines with room: ${roomy().map(({ info, worker }) => `${info.ref} (${free(worker)} CPUs free)`).join(' ')}`);
    await sleep(1000);
  }
  const left = jobs.filter((ref) => !begun.has(ref));
  if (left.length === 0 || performance.now() - since < WAIT_MS) return 0;
  for (const ref of left) {
    const answer = await call({ port: world.nodes[0].port, path: `/v1/jobs/${ref}`, timeoutMs: 2000 });
    world.record(`broken left waiting: ${ref} has waited ${Math.round((world.now() - accepted.get(ref)) / 1000)} s, 90 s of them beside a machine with room; poll -> ${answer.status} ${JSON.stringify(answer.body)}`);
  }
  return 1;
}

const outcome = await main().catch((error) => (world.record(`failed: ${error.stack}`), 2));
await world.stop();
process.exit(outcome);
