import assert from 'node:assert/strict';
import { createServer, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import {
  parseScenario,
  startLoopbackRegion,
  controllerSettingsToml,
  type ControllerSpec,
  type Submission,
} from '../packages/region/src/index.js';
import { parseSettings } from '../src/config/index.js';
import { createLogger, HttpClient, isObject, systemRuntime } from '../src/kernel/index.js';
import { Service } from '../src/service/index.js';

const log = createLogger('silent', 'test');
const HOST = '127.0.0.1';

const DAY = `
name = "loopback"
seed = 3
duration_s = 600.0
zones = ["z"]
[controllers]
count = 2
[state]
rps = 2000.0
write_rps = 2000.0
[[teams]]
name = "t"
[[machine_types]]
name = "small"
cpus = 4.0
memory_gb = 8.0
price = 1.0
spot_price = 1.0
boot_s = 5.0
[[capacity]]
type = "small"
zone = "z"
ordinary = 2
[[machines]]
type = "small"
zone = "z"
count = 2
[[classes]]
name = "c"
shape = "array"
team = "t"
priority = "standard"
tasks = { sizes = [1], weights = [1.0] }
cpus = 1.0
memory_gb = 1.0
run_s = { median = 1.0, p95 = 1.0, max = 1.0 }
initial = 1
`;

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Polls a condition for as long as the test may run, so that the test does not depend on the speed of the machine. */
async function until(what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
  for (let i = 0; i < 4000; i++) {
    if (await condition()) return;
    await systemRuntime.sleep(20);
  }
  assert.fail(`condition not reached: ${what}`);
}

/** The scenario that the region simulates, on real sockets: guards against faults that only real sockets show. */
test(
  'two controllers on real sockets run a job, and the second takes over a running service',
  {
    timeout: 120_000,
  },
  async () => {
    const day = parseScenario(DAY, 'the test');
    const specs: ControllerSpec[] = [];
    for (const name of ['n-0', 'n-1']) {
      const [serveOn, peerOn] = [
        { host: HOST, port: await freePort() },
        { host: HOST, port: await freePort() },
      ];
      specs.push({ name, zone: 'z', serveOn, peerOn });
    }
    const events: string[] = [];
    const region = await startLoopbackRegion(day, 3, specs, log, (what) => events.push(what));
    const services = specs.map(
      (spec) => new Service(parseSettings(controllerSettingsToml(day, spec, specs, region)), log, systemRuntime),
    );
    const clients = specs.map(({ serveOn }) => new HttpClient(serveOn, 2));
    const call = async (node: number, path: string, body?: unknown): Promise<{ status: number; phase: unknown }> => {
      const answer = await clients[node]?.call({
        ...{ method: body === undefined ? 'GET' : 'POST', path, timeoutMs: 5000 },
        ...(body === undefined ? {} : { body }),
      });
      if (answer?.kind !== 'answered') return { status: 0, phase: null };
      return { status: answer.status, phase: isObject(answer.body) ? answer.body['phase'] : null };
    };
    const job = (ref: string, shape: 'sweep' | 'daemon'): Submission => ({
      ...{
        ref,
        shape,
        pieces: 1,
        jobclass: 'c',
        owner: 't',
        urgency: 'standard',
        vcpus: 1,
        accelerators: 0,
        ram_gb: 1,
      },
      ...{ bundle: 'i', pull_gb: 0.1, hulls: null, berth: null, same_place: false, scatter: false, flotsam: false },
      ...{ expected_s: 0.5, mark_every_s: 0, mark_cost_s: 0, due_s: null },
    });
    const { checker } = region.parts;
    try {
      for (const service of services) service.start();
      const accepted = (node: number, ref: string, shape: 'sweep' | 'daemon'): Promise<void> =>
        until(`${ref} accepted`, async () =>
          [200, 201].includes((await call(node, '/v1/jobs', job(ref, shape))).status),
        );
      await accepted(0, 'j-1', 'sweep');
      await accepted(0, 'j-2', 'daemon');
      for (const node of [0, 1])
        await until(`j-1 done at ${node}`, async () => (await call(node, '/v1/jobs/j-1')).phase === 'done');
      const replicaStarts = (): number => events.filter((what) => what.startsWith('runs j-2/0')).length;
      await until('the replica runs', () => replicaStarts() === 1);
      assert.equal((await call(0, '/v1/jobs/j-none')).status, 404);

      // The first controller stops as in a crash; the second takes over its shard, and the replica keeps running.
      services[0]?.stop();
      await until('the second holds both shards', () =>
        specs.every(({ name }) => {
          const value = region.parts.state.get(`live/shards/${name}`);
          return isObject(value) && value['holder'] === 'n-1';
        }),
      );
      assert.equal((await call(1, '/v1/jobs/j-2')).status, 200);
      await until('cancelled', async () => (await call(1, '/v1/jobs/j-2/cancel', {})).phase === 'withdrawn');
      await until('the replica has stopped', () => events.some((what) => what.startsWith('off j-2/0')));
      assert.equal(replicaStarts(), 1, 'the replica was not started again');
      assert.equal((await call(1, '/v1/jobs', job('j-2', 'daemon'))).phase, 'withdrawn');
      assert.deepEqual(checker.breaches, []);
    } finally {
      for (const service of services) service.stop();
      region.close();
      for (const client of clients) client.close();
    }
  },
);
