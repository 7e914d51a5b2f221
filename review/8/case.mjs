// An array of many small tasks makes its machines' reports longer than 64 KiB; the controllers refuse them, the leases end.
import { Region, runCase, sleep, TROUBLE } from '../standins-2/region.mjs';

/** Tasks of the array, all of which fit on one machine of 64 CPUs at once: 1,500 of 0.04 CPUs, or 60 of 1 CPU. */
const [PIECES, VCPUS] = TROUBLE ? [1500, 0.04] : [60, 1];
const RUN_S = 25;
const machines = [{ type: 'magazyn', zone: 'praga' }];
const region = new Region({ folder: import.meta.dirname, machines });
const LIMIT_S = 90;

runCase(region, 118, async () => {
  await region.start();
  const [worker] = region.workers.values();
  await region.until('the worker is answered', 15, () => worker.statuses.has(200));
  // Another job's only task, without checkpoints, on the same machine.
  const other = region.job({ ref: 'j-000001', urgency: 'urgent', vcpus: 2, ram_gb: 4, expected_s: 40, run_s: 40 });
  await region.submit(other);
  await region.until('the other job runs', 15, () => region.onMachines('j-000001') === 1);
  const many = region.job({ ref: 'j-000002', urgency: 'low', pieces: PIECES, vcpus: VCPUS, ram_gb: 0.05, expected_s: RUN_S, run_s: RUN_S });
  region.quietTasks.add('j-000002');
  if ((await region.submit(many)).status !== 201) return 'the array was not accepted';
  const from = region.nowS;
  const starts = { 'j-000001': 0, 'j-000002': 0 };
  let [killed, longest, refused] = [0, 0, 0];
  region.hooks.on = (task) => (starts[task.job.ref] += 1);
  region.hooks.leaseOver = (_worker, lost) => (killed += lost.length);
  region.hooks.reported = (_worker, status, bytes) => {
    longest = Math.max(longest, bytes);
    if (status === 400) refused += 1;
  };
  const phases = {};
  while (region.nowS - from < LIMIT_S) {
    for (const ref of ['j-000001', 'j-000002']) {
      const poll = await region.ask(Math.floor(region.nowS) % 3, 'GET', `/v1/jobs/${ref}`);
      if (poll.body?.phase) phases[ref] = poll.body.phase;
    }
    region.record('test', 'so far', { phases, starts, killed, refused, longest, answers: Object.fromEntries(worker.statuses) });
    if (phases['j-000001'] === 'done' && phases['j-000002'] === 'done') break;
    await sleep(3000);
  }
  if (killed === 0) return null;
  return `an accepted job must run: after ${LIMIT_S} s j-000001 (one task of 40 s) is ${phases['j-000001']}, j-000002 (tasks of ${RUN_S} s, all at once) is ${phases['j-000002']}; ${refused} reports of up to ${longest} bytes were answered 400, leases expired and ${killed} tasks were killed`;
});
