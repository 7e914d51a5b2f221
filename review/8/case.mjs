// Machines run their tasks slower for some seconds. Long after that, a machine that was slow gets no new task, for ever.
import { CannotRun, KLINIKI, Region, runCase, sleep, TROUBLE } from '../standins-2/region.mjs';

const WAIT_S = 90;
const FACTOR = 4;
const machines = Array.from({ length: 3 }, () => ({ type: 'dispensary', zone: 'msasani' }));
const region = new Region({ folder: import.meta.dirname, machines, site: KLINIKI });

runCase(region, 118, async () => {
  await region.start();
  const workers = [...region.workers.values()];
  const reporting = new Set();
  region.hooks.reported = (worker, status) => (status === 200 ? reporting.add(worker.ref) : 0);
  await region.until('all workers are answered', 15, () => reporting.size === machines.length);
  // The controllers tell each other about their machines.
  await sleep(2000);
  // A service keeps each machine from being idle and given back; it takes 9 of 16 CPUs, so that there is one on each.
  const desk = { jobclass: 'booking-desk', shape: 'daemon', urgency: 'production', expected_s: 0 };
  for (let i = 0; i < machines.length; i++) await region.submit(region.job({ ref: `j-00001${i}`, ...desk, vcpus: 9 }));
  await region.until('a service runs on each machine', 15, () => workers.every(({ tasks }) => tasks.size > 0));
  const used = new Set();
  region.hooks.on = (task) => task.job.ref === 'j-000020' && used.add(task.worker);
  region.quietTasks.add('j-000020');
  await region.submit(region.job({ ref: 'j-000020', jobclass: 'roster-rebuild', pieces: 300, vcpus: 1, expected_s: 2, run_s: 1.5 }));
  await sleep(2500);
  if (TROUBLE) {
    for (const worker of workers) worker.slow = FACTOR;
    region.record('trouble', `machines run their tasks ${FACTOR} times slower`);
  }
  await sleep(8500);
  for (const worker of workers) worker.slow = 1;
  region.record('trouble', 'is over');
  await region.cancel('j-000020');
  // Services fill the machines on which the array did not run.
  const others = workers.filter((worker) => !used.has(worker));
  if (others.length === workers.length) throw new CannotRun('the array did not run');
  for (let i = 0; i < others.length; i++) await region.submit(region.job({ ref: `j-00003${i}`, ...desk, vcpus: 7 }));
  await sleep(500);
  const job = region.job({ ref: 'j-000040', jobclass: 'roster-rebuild', expected_s: 10, run_s: 10 });
  if ((await region.submit(job)).status !== 201) return 'the job was not accepted';
  const acceptedS = region.nowS;
  while (region.nowS - acceptedS < WAIT_S + 1) {
    const poll = await region.ask(Math.floor(region.nowS) % 3, 'GET', '/v1/jobs/j-000040');
    if (region.onMachines(job.ref) > 0 || poll.body?.phase === 'done') return null;
    const room = region.room(job);
    region.record('test', `tasks of 1 CPU that fit now: ${room}`);
    if (room < 1) throw new CannotRun('the job does not fit all the time');
    await sleep(3000);
  }
  return `left_waiting: a job of one task waited ${WAIT_S} s, long after the machines were at their usual speed, while ${used.size} of them had room for it at every look`;
});
