import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Priority } from '../src/jobs/index.js';
import { jobId } from '../src/kernel/index.js';
import { planPlacement, type PreemptableTask } from '../src/placement/index.js';
import { spec } from './standins/jobs.js';
import { machineView, pendingJob } from './standins/placement.js';

/** Counts how often `cpus` of any of its objects is read, as a measure of work. */
class CpuReads {
  count = 0;

  /** Returns a copy of the object whose `cpus` is counted. */
  of<T extends { readonly cpus: number }>(original: T): T {
    const { cpus } = original;
    const read = (): number => {
      this.count += 1;
      return cpus;
    };
    return Object.defineProperty({ ...original }, 'cpus', { get: read, enumerable: true });
  }
}

test('a job that finds no room beside many small tasks does not hold up the holder', () => {
  const reads = new CpuReads();
  const tasks = 2000;
  const running = Array.from({ length: tasks }, (_, index): PreemptableTask =>
    reads.of({
      job: jobId('j-small'),
      index,
      cpus: 0.03,
      gpus: 0,
      memoryGb: 0.01,
      priority: Priority.low,
      lossS: index % 7,
      stopping: false,
    }),
  );
  const machine = machineView('m-1', { cpus: 64, freeCpus: 4, running });
  const service = pendingJob(spec({ id: 'j-1', kind: 'service', cpus: 65, priority: Priority.production }));
  const input = { machines: [machine], pending: [service], teams: new Map(), maxStarts: 200, reserve: null };
  assert.deepEqual(planPlacement(input).stops, []);
  // Each task may be looked at a few times, but not again for each of the others.
  assert.ok(reads.count <= 10 * tasks, `${reads.count} reads for ${tasks} tasks`);
});

test('a gang of more tasks than a plan may start does not hold up the holder', () => {
  const reads = new CpuReads();
  const machines = Array.from({ length: 50 }, (_, i) => machineView(`m-${i}`, { cpus: 64, freeCpus: 64 }));
  const small = { kind: 'gang', cpus: 0.01, memoryGb: 0.001 } as const;
  const gang = (tasks: number) => pendingJob(reads.of(spec({ id: `j-${tasks}`, tasks, ...small })), { slackS: 10 });
  const plan = (tasks: number) =>
    planPlacement({ machines, pending: [gang(tasks)], teams: new Map(), maxStarts: 200, reserve: null });
  assert.equal(plan(200).starts.length, 200);
  const before = reads.count;
  const { starts, stops, unplaced } = plan(100_000);
  assert.deepEqual([starts, stops, unplaced], [[], [], [{ job: 'j-100000', count: 100_000 }]]);
  // A gang that the plan can't start costs no more than the largest one that it can.
  assert.ok(reads.count - before <= before, `${reads.count - before} reads, ${before} for 200 tasks`);
});
