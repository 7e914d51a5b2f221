// A pipeline of 61 jobs, each stage awaiting the stage before it, stops all controllers when its last job is accepted.
import { Region, runCase, sleep, TROUBLE } from '../standins-2/region.mjs';

const STAGES = 15;
const WIDTH = 4;
const SILENT_S = 75;
const machines = ['wola', 'praga', 'krakow'].map((zone) => ({ type: 'biurko', zone }));
const region = new Region({ folder: import.meta.dirname, machines });
const ref = (stage, i) => `j-${String(100 + stage * WIDTH + i).padStart(6, '0')}`;
/** With the disruption the owner's estimates of a stage's jobs differ; without it they are the same. */
const estimate = (stage, i) => Number((10 + (TROUBLE ? (WIDTH - i) * WIDTH ** stage * 1e-6 : 0)).toFixed(6));

runCase(region, 118, async () => {
  await region.start();
  const bystander = region.job({ ref: 'j-000001', jobclass: 'port-api', shape: 'daemon', urgency: 'production', vcpus: 4, ram_gb: 6, expected_s: 0 });
  if ((await region.submit(bystander)).status !== 201) return 'the bystander was not accepted';
  await region.until('the bystander runs', 15, () => region.onMachines('j-000001') === 1);
  for (let stage = 0; stage < STAGES; stage++) {
    const awaits = stage === 0 ? [] : Array.from({ length: WIDTH }, (_, i) => ref(stage - 1, i));
    for (let i = 0; i < WIDTH; i++) {
      const job = region.job({ ref: ref(stage, i), jobclass: 'registry-diff', urgency: 'low', expected_s: estimate(stage, i), awaits });
      const answer = await region.submit(job, i);
      if (answer.status !== 201) return `${job.ref} was answered ${answer.status}`;
    }
  }
  const last = region.job({
    ref: 'j-000999',
    jobclass: 'cutover-push',
    urgency: 'urgent',
    expected_s: 8,
    due_s: 3600,
    awaits: Array.from({ length: WIDTH }, (_, i) => ref(STAGES - 1, i)),
  });
  let answered = 0;
  let killed = 0;
  region.hooks.leaseOver = (_worker, lost) => (killed += lost.length);
  void region.submit(last, 0, { forS: 30 });
  await sleep(1000);
  const from = region.nowS;
  let lastAnswerS = from;
  while (region.nowS - from < SILENT_S + 3) {
    const polls = await Promise.all([0, 1, 2].map((i) => region.ask(i, 'GET', '/v1/jobs/j-000001', undefined, 2000)));
    if (polls.some(({ status }) => status === 200)) {
      answered += 1;
      lastAnswerS = region.nowS;
    }
    if (region.nowS - lastAnswerS > SILENT_S) {
      const alive = region.children.size;
      return `forgotten: no question about the accepted job j-000001 was answered by any controller for ${SILENT_S} s; ${alive} controllers still run; leases of workers expired and ${killed} tasks were killed`;
    }
    await sleep(2000);
  }
  region.record('test', `answered rounds: ${answered}`);
  return null;
});
