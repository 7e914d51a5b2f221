import assert from 'node:assert/strict';
import { createServer, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { parseSettings } from '../src/config/index.js';
import { attempt, createLogger, HttpClient, isObject, jobId, systemRuntime, taskKey } from '../src/kernel/index.js';
import { Service } from '../src/service/index.js';
import { StandInCloud } from './standins/cloud.js';
import { StandInMachine } from './standins/machine.js';
import { StandInState } from './standins/state.js';

const log = createLogger('silent', 'test');

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Waits for as long as the test may run: nothing here depends on how fast the machine is. */
async function until(what: string, holds: () => boolean | Promise<boolean>): Promise<void> {
  for (let i = 0; i < 1500; i++) {
    if (await holds()) return;
    await systemRuntime.sleep(20);
  }
  assert.fail(`never came about: ${what}`);
}

test(
  'two controllers run an array and a gang, take over a service that runs, and cancel it',
  { timeout: 120_000 },
  async () => {
    const state = new StandInState();
    const statePort = (await state.start()).port;
    const machines = [new StandInMachine('m-1'), new StandInMachine('m-2')];
    for (const machine of machines) await machine.start();
    const cloud = new StandInCloud(machines.map((m) => ({ id: m.worker.id, address: m.address })));
    const cloudPort = await cloud.start();
    const nodes: { name: string; port: number; peer: number }[] = [];
    for (const name of ['n-0', 'n-1']) nodes.push({ name, port: await freePort(), peer: await freePort() });
    const services = nodes.map((node) => {
      const seeds = nodes
        .filter((n) => n !== node)
        .map((n) => `[[seeds]]\nnode = "${n.name}"\narea = "z"\npeer_addr = "127.0.0.1:${n.peer}"`);
      return new Service(
        parseSettings(`
node = "${node.name}"
area = "z"
serve_on = "127.0.0.1:${node.port}"
cluster_listen = "127.0.0.1:${node.peer}"
${seeds.join('\n')}
[services]
cloud = "127.0.0.1:${cloudPort}"
state = "127.0.0.1:${statePort}"
[facts]
zones = ["z"]
[[facts.teams]]
name = "t"
[facts.workers]
report_s = 60.0
lease_s = 600.0
gang_wait_s = 45.0
gang_peer_s = 5.0
cancel_s = 35.0
[facts.state]
rps = 2000.0
write_rps = 2000.0
value_kb = 32.0
txn_ops = 16
[facts.cloud]
rps = 50.0
list_lag_s = 1.0
`),
        log,
        systemRuntime,
      );
    });
    const clients = nodes.map((n) => new HttpClient({ host: '127.0.0.1', port: n.port }, 2));
    const call = async (
      node: number,
      method: 'GET' | 'POST',
      path: string,
      body?: unknown,
    ): Promise<{ status: number; phase: unknown }> => {
      const client = clients[node];
      assert.ok(client);
      const answer = await client.call({ method, path, timeoutMs: 5000, ...(body === undefined ? {} : { body }) });
      if (answer.kind === 'failed') return { status: 0, phase: null };
      return { status: answer.status, phase: isObject(answer.body) ? answer.body['phase'] : null };
    };
    const job = (ref: string, shape: string, pieces: number): unknown => ({
      ...{ ref, shape, pieces, jobclass: 'c', owner: 't', urgency: 'standard', vcpus: 1.0, ram_gb: 1.0 },
      ...{ bundle: 'i', pull_gb: 0.1, expected_s: 1.0 },
    });
    const accepted = (ref: string, shape: string, pieces: number): Promise<void> =>
      until(`${ref} accepted`, async () =>
        [200, 201].includes((await call(0, 'POST', '/v1/jobs', job(ref, shape, pieces))).status),
      );
    const starts = (ref: string): string[] =>
      machines.flatMap((m) => m.worker.started.filter((s) => s.key.startsWith(`${ref}/`)).map((s) => s.key));
    const on = (key: string): number => machines.filter((m) => m.worker.isOn(key as never)).length;

    try {
      for (const service of services) service.start();
      for (const machine of machines) machine.reportTo(nodes);
      await accepted('j-1', 'sweep', 5);
      await accepted('j-2', 'ensemble', 2);
      await accepted('j-3', 'daemon', 1);
      await until(
        'all have started',
        () => starts('j-1').length === 5 && starts('j-2').length === 2 && starts('j-3').length === 1,
      );
      assert.equal((await call(0, 'GET', '/v1/jobs/j-none')).status, 404);
      assert.equal((await call(1, 'GET', '/v1/jobs/j-1')).status, 200);
      assert.notEqual((await call(1, 'GET', '/v1/jobs/j-1')).phase, 'done', 'nothing is done before its tasks are');

      for (const key of [...starts('j-1'), ...starts('j-2')]) for (const m of machines) m.worker.finish(key as never);
      for (const ref of ['j-1', 'j-2']) {
        await until(`${ref} done at both nodes`, async () => {
          const phases = [await call(0, 'GET', `/v1/jobs/${ref}`), await call(1, 'GET', `/v1/jobs/${ref}`)].map(
            (a) => a.phase,
          );
          return phases.every((phase) => phase === 'done');
        });
      }

      // The first controller dies; the other takes over, and what runs there goes on untouched.
      services[0]?.stop();
      for (let lease = 1; lease < 10; lease++)
        if (state.keys.get('live/nodes/n-0')?.lease === lease) state.expireLease(lease);
      await until('the second holds both shards', () =>
        ['n-0', 'n-1'].every((shard) => {
          const value = state.keys.get(`live/shards/${shard}`)?.value;
          return isObject(value) && value['holder'] === 'n-1';
        }),
      );
      await until('a job is accepted after the takeover', async () => {
        return [200, 201].includes((await call(1, 'POST', '/v1/jobs', job('j-4', 'sweep', 1))).status);
      });
      await until('it has started', () => starts('j-4').length === 1);
      assert.equal(starts('j-3').length, 1, 'the replica was not started again');
      assert.equal(on('j-3/0'), 1);
      await until('cancelled', async () => (await call(1, 'POST', '/v1/jobs/j-3/cancel', {})).phase === 'withdrawn');
      await until('the replica is gone', () => on('j-3/0') === 0);
      assert.equal((await call(1, 'POST', '/v1/jobs', job('j-3', 'daemon', 1))).phase, 'withdrawn');

      // What an earlier holder started for a job that is over when the shard changes hands.
      const [machine] = machines;
      assert.ok(machine);
      const { token, session } = machine.worker.report();
      const left = taskKey(jobId('j-gone'), 0);
      machine.worker.onCommands(token, session, [{ op: 'start', key: left, attempt: attempt(1) }]);
      assert.ok(machine.worker.isOn(left));
      await until('nothing runs of a job that nobody knows', () => !machine.worker.isOn(left));
    } finally {
      for (const service of services) service.stop();
      for (const machine of machines) machine.stop();
      for (const client of clients) client.close();
      state.stop();
      cloud.stop();
    }
  },
);
