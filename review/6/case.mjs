// One job that was submitted with a mistake makes every machine of a small fleet count as faulty. After its user has
// cancelled it, other jobs still wait, although all machines have room.
import { CannotRun, Region, runCase, sleep, SITE, TROUBLE } from '../standins-2/region.mjs';

const WAIT_S = 90;
const machines = SITE.zones.map((zone) => ({ type: 'biurko', zone }));
const region = new Region({ folder: import.meta.dirname, machines });

runCase(region, 118, async () => {
  await region.start();
  const reporting = new Set();
  region.hooks.reported = (worker, status) => (status === 200 ? reporting.add(worker.ref) : 0);
  await region.until('all workers are answered', 15, () => reporting.size === machines.length);
  // The controllers tell each other about their machines.
  await sleep(2000);
  for (const [i, { zone, type }] of machines.entries())
    await region.submit(region.job({ ref: `j-00001${i}`, jobclass: 'port-api', shape: 'daemon', urgency: 'production', vcpus: 1, ram_gb: 1, expected_s: 0, berth: zone, hulls: [type] }));
  await region.until('a service runs on each machine', 15, () => [...region.workers.values()].every(({ tasks }) => tasks.size > 0));
  const bad = region.job({ ref: 'j-000020', pieces: 40, vcpus: 1, expected_s: 10, run_s: 2, fails: TROUBLE });
  await region.submit(bad);
  await sleep(6000);
  await region.cancel('j-000020');
  const good = region.job({ ref: 'j-000030', expected_s: 10, run_s: 10 });
  await region.submit(good);
  const from = region.nowS;
  while (region.nowS - from < WAIT_S + 2) {
    const poll = await region.ask(Math.floor(region.nowS) % 3, 'GET', '/v1/jobs/j-000030');
    if (region.onMachines(good.ref) > 0 || poll.body?.phase === 'done') return null;
    const room = region.room(good);
    region.record('test', `tasks of 1 CPU that fit now: ${room}`);
    if (room < 1) throw new CannotRun('the job does not fit all the time');
    await sleep(3000);
  }
  return `left_waiting: a job of one task waited ${WAIT_S} s, after the faulty job was cancelled, while machines had room for it at every look`;
});
