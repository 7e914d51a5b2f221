import assert from 'node:assert/strict';
import { fileURLToPath } from 'node:url';
import { test } from 'node:test';
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';
import { spec } from './standins/jobs.js';
import { machineView, pendingJob } from './standins/placement.js';
import { JobRun } from '../src/holder/index.js';
import type { JobSpec } from '../src/jobs/index.js';
import { BitSet, millis, revision, shardName, wallMillis } from '../src/kernel/index.js';
import { planPlacement, type PendingJob } from '../src/placement/index.js';

/** The most tasks that a job may have. */
const LARGEST_JOB_TASKS = 100_000;
const WAITING_GANGS = 150;
/** What the run command allows a controller for old objects. */
const HEAP_MB = 64;
const ROUNDS = 3;

const room = machineView('m-1');

const runOf = (job: JobSpec): JobRun => {
  const record = { shard: shardName('s'), submittedAt: wallMillis(0), done: BitSet.empty(job.tasks), awaits: [] };
  return new JobRun({ ...record, spec: job }, revision(1), revision(1), millis(0));
};

/** A gang of nearly the largest size, each of another one. */
const gang = (number: number): JobRun =>
  runOf(spec({ id: `j-${number}`, kind: 'gang', tasks: LARGEST_JOB_TASKS - number }));

const pendingOf = (run: JobRun): PendingJob => pendingJob(run.spec, { ready: run.ready(run.spec.tasks) });

/** Plans rounds of placement with many large gangs waiting; returns the number of tasks that wait. */
function planRounds(): number {
  const runs = Array.from({ length: WAITING_GANGS }, (_, number) => gang(number));
  let waiting = 0;
  for (let round = 0; round < ROUNDS; round++) {
    const plan = planPlacement({
      ...{ machines: [room], pending: runs.map(pendingOf), teams: new Map(), maxStarts: 200, reserve: null },
    });
    waiting = plan.unplaced.reduce((sum, { count }) => sum + count, 0);
  }
  return waiting;
}

if (isMainThread) {
  // Guards against controllers that end for memory, one after the other, while gangs of the largest size wait.
  test('a round of placement with many waiting gangs of the largest size fits in the heap of a controller', async () => {
    const worker = new Worker(fileURLToPath(import.meta.url), {
      ...{ workerData: 'plan', resourceLimits: { maxOldGenerationSizeMb: HEAP_MB } },
    });
    const waiting = await new Promise((resolve, reject) => {
      worker.once('message', resolve);
      worker.once('error', reject);
    });
    const expected = Array.from({ length: WAITING_GANGS }, (_, number) => LARGEST_JOB_TASKS - number);
    assert.equal(
      waiting,
      expected.reduce((sum, count) => sum + count),
    );
  });

  test('only the tasks of a job that are neither done nor on a machine are ready', () => {
    const run = runOf(spec({ id: 'j-1', kind: 'array', tasks: 4 }));
    assert.deepEqual([...run.ready(4)], [0, 1, 2, 3]);
    assert.deepEqual([...run.ready(2)], [0, 1]);
    run.markDone(1);
    assert.deepEqual([...run.ready(4)], [0, 2, 3]);
  });
} else if (workerData === 'plan') parentPort?.postMessage(planRounds());
