import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Router } from 'express';
import { SimulationHarness } from '../packages/region/test/simulation-harness.js';
import { HttpClient, machineId, millis, revision, SocketBudget } from '../src/kernel/index.js';
import { createApp, fastPathRoutes, listen, type RequestHandlers } from '../src/service/index.js';
import { CommandSender, WorkerTracker } from '../src/workers/index.js';

const PORT = 9000;
const CALL = { method: 'GET', path: '/status', timeoutMs: 1000 } as const;

/** Starts hosts that answer every request with an empty JSON object after `afterMs`. */
function startHosts(lab: SimulationHarness, count: number, afterMs: number): string[] {
  return Array.from({ length: count }, (_, i) => {
    const host = `10.1.0.${i}`;
    const process = lab.process(host);
    process.listen({
      ...{ host, port: PORT },
      accept: (socket) => {
        socket.on('data', () => {
          process.after(afterMs, () => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'));
        });
      },
      failed: () => undefined,
    });
    return host;
  });
}

test('connections to many machines stay within the socket budget, and the longest idle one is closed for a new one', async () => {
  const lab = new SimulationHarness();
  const hosts = startHosts(lab, 6, 5);
  const node = lab.process('10.0.0.1');
  const budget = new SocketBudget(3);
  const clients = hosts.map((host) => new HttpClient({ host, port: PORT }, 1, node, budget));
  for (const round of [0, 1]) {
    for (const client of clients) {
      assert.ok(budget.hasRoom, `round ${round}`);
      assert.equal((await lab.runUntilSettled(client.call(CALL))).kind, 'answered');
      assert.ok(lab.network.socketCount(node) <= 3);
    }
  }
  assert.deepEqual(
    clients.map((client) => client.connected),
    [false, false, false, true, true, true],
  );
  // A connection that has been used again is no longer the longest idle one.
  await lab.runUntilSettled(clients[3]?.call(CALL) ?? Promise.reject(new Error('none')));
  await lab.runUntilSettled(clients[0]?.call(CALL) ?? Promise.reject(new Error('none')));
  assert.deepEqual(
    clients.map((client) => client.connected),
    [true, false, false, true, false, true],
  );
  const busy = [0, 3, 5].map((i) => clients[i]?.call(CALL));
  assert.equal(budget.hasRoom, false, 'no connection is idle, so none can be closed');
  await lab.runUntilSettled(Promise.all(busy));
  assert.equal(budget.hasRoom, true);
  for (const client of clients) client.close();
  assert.equal(lab.network.socketCount(node), 0);
});

test('a process without a free socket does not count a machine as unresponsive; one with a free socket does', async () => {
  // Guards against deleting healthy machines: a controller that took over the machines of its peers (900 machines, two of
  // three controllers stopped) had no socket left for the last ones, counted them as unresponsive and had twenty healthy
  // ones deleted.
  const lab = new SimulationHarness();
  const [host = ''] = startHosts(lab, 1, 5);
  const node = lab.process('10.0.0.1', null, undefined, 0);
  const nodeWithSockets = lab.process('10.0.0.2');
  const commandSender = (from: typeof node, host: string): CommandSender => {
    const tracker = new WorkerTracker(revision(3), millis(0));
    const hooks = { heard: () => undefined, superseded: () => undefined };
    const sender = new CommandSender(machineId(host), tracker, from, lab.log, hooks, new SocketBudget(5));
    sender.setAddress(`${host}:${PORT}`);
    return sender;
  };
  const withoutSockets = commandSender(node, host);
  await lab.runUntilSettled(withoutSockets.send([]));
  assert.equal(withoutSockets.failures, 0);
  assert.ok(!withoutSockets.ready(), 'it backs off before the next attempt');
  await lab.advance(1000);
  assert.ok(withoutSockets.ready());
  const unresponsive = commandSender(nodeWithSockets, '10.1.0.99');
  await lab.runUntilSettled(unresponsive.send([]));
  assert.equal(unresponsive.failures, 1);
});

test('a full listener closes the longest idle user connections, so that workers can always connect', async () => {
  const lab = new SimulationHarness();
  const at = { host: '10.0.0.1', port: 8080 };
  const pendingAnswers: (() => void)[] = [];
  const handlers: RequestHandlers = {
    isHealthy: () => true,
    serve: (request) =>
      new Promise((resolve) => {
        const answer = (): void => resolve({ status: 200, body: {} });
        if (request.op === 'query' && request.id === 'j-slow') pendingAnswers.push(answer);
        else answer();
      }),
    report: () => ({ status: 200, body: { helm: 1 } }),
  };
  const node = lab.process(at.host);
  listen(createApp(handlers, Router(), lab.log), fastPathRoutes(handlers, lab.log), at, 10, node, lab.log);
  const from = lab.process('10.3.0.1');
  const client = (): HttpClient => new HttpClient(at, 1, from);
  const poll = (id: string) => ({ method: 'GET', path: `/v1/jobs/${id}`, timeoutMs: 5000 }) as const;
  const probe = client();
  await lab.runUntilSettled(probe.call({ method: 'GET', path: '/healthz', timeoutMs: 5000 }));
  const waiting = client();
  const answer = waiting.call(poll('j-slow'));
  const users = Array.from({ length: 7 }, client);
  for (const user of users) await lab.runUntilSettled(user.call(poll('j-1')));
  await lab.runUntilSettled(users[0]?.call(poll('j-1')) ?? Promise.reject(new Error('none')));
  const body = { drifter: 'host-1', tide: 1, tally: 1, helm: 0, pieces: [] };
  const workers = Array.from({ length: 6 }, client);
  for (const worker of workers) {
    const reported = await lab.runUntilSettled(
      worker.call({ method: 'POST', path: '/v1/report', body, timeoutMs: 5000 }),
    );
    assert.equal(reported.kind, 'answered', JSON.stringify(reported));
  }
  await lab.advance(100);
  assert.ok(
    workers.every((worker) => worker.connected) && probe.connected,
    'connections of workers and of the health check stay open',
  );
  assert.equal(users[0]?.connected, true, 'the user with the latest request stays connected');
  assert.equal(users[1]?.connected, false, 'the longest idle user connection is closed');
  pendingAnswers[0]?.();
  assert.equal(
    (await lab.runUntilSettled(answer)).kind,
    'answered',
    'a connection with a pending response is not closed',
  );
});
