import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  baselineTerm,
  chooseRestarts,
  DEFAULT_TUNABLES,
  estimateRunS,
  flagStragglers,
  resourceTerm,
  threshold,
  type StragglerFlag,
  type JobSnapshot,
} from '../src/speculation/index.js';

const near = (actual: number, expected: number, within = 0.006): void =>
  assert.ok(Math.abs(actual - expected) <= within, `${actual} is not ${expected}`);

test("the baseline term reproduces the paper's two deadline examples", () => {
  const estimates = [290, 290, 300, 380, 400];
  // The paper rounds the mean (332) down to 300. Divided by that mean, the results are the quotients in the paper.
  const mean = estimates.reduce((a, b) => a + b, 0) / estimates.length;
  near(baselineTerm(estimates, 300, 1.5) * mean, 380, 1e-9);
  near(baselineTerm(estimates, 450, 1.5) * mean, 450, 1e-9);
  near((baselineTerm(estimates, 300, 1.5) * mean) / 300, 1.27);
  near((baselineTerm(estimates, 450, 1.5) * mean) / 300, 1.5);
  assert.equal(baselineTerm(estimates, null, 1.5), 1.5);
});

test("the threshold reproduces the columns of the paper's first example", () => {
  const t = { ...DEFAULT_TUNABLES, floor: 1 };
  const rows = [
    [0.14, 0.15, 1.09],
    [0.25, 0.15, 1.15],
    [0.31, 0.2, 1.21],
    [0.44, 0.5, 1.42],
    [0.57, 0.55, 1.51],
    [0.71, 0.55, 1.58],
    [0.82, 0.55, 1.63],
    [0.93, 0.25, 1.54],
    [0.97, 0.2, 1.54],
    [1, 0.2, 1.55],
  ] as const;
  for (const [progress, use, expected] of rows) {
    near(threshold(1.5, progress, resourceTerm([{ cpu: use, memory: use }], t), t), expected, 0.011);
  }
});

test('the threshold rises with progress and never falls below its floor', () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0, max: 1, noNaN: true }),
      fc.double({ min: 0, max: 1, noNaN: true }),
      (progress, use) => {
        const r = resourceTerm([{ cpu: use, memory: use / 2 }], DEFAULT_TUNABLES);
        const ratio = threshold(1.5, progress, r, DEFAULT_TUNABLES);
        assert.ok(ratio >= DEFAULT_TUNABLES.floor);
        assert.ok(threshold(1.5, Math.min(1, progress + 0.1), r, DEFAULT_TUNABLES) >= ratio);
      },
    ),
  );
});

/** Reference implementation of flagStragglers in plain steps. */
function referenceFlags(job: JobSnapshot, r: number): number[] {
  const t = DEFAULT_TUNABLES;
  const sorted = [...job.finishedRunsS].sort((a, b) => a - b);
  const siblingMedianS =
    sorted.length === 0
      ? job.estimateS
      : ((sorted[Math.floor((sorted.length - 1) / 2)] ?? 0) + (sorted[Math.ceil((sorted.length - 1) / 2)] ?? 0)) / 2;
  let sumRun = 0;
  let sumEnd = 0;
  let sumProgress = job.finished;
  const runs: number[] = [];
  const ends: number[] = [];
  for (const task of job.running) {
    const run = Math.max(task.elapsedS / t.progressCap, siblingMedianS);
    runs.push(run);
    ends.push(task.startedAfterS + run);
    sumRun += run;
    sumEnd += task.startedAfterS + run;
    sumProgress += run > 0 ? Math.min(t.progressCap, task.elapsedS / run) : 0;
  }
  const n = job.running.length;
  if (n === 0 || sumRun <= 0) return [];
  let q = t.baseline;
  if (job.deadlineS !== null && sumEnd > 0) {
    let first = Infinity;
    for (const end of ends) if (end > (job.deadlineS ?? 0) && end < first) first = end;
    q = (first === Infinity ? job.deadlineS : first) / (sumEnd / n);
  }
  const thresholdRatio = Math.max(t.floor, q + t.alpha * (sumProgress / job.tasks - t.mu) + t.beta * r);
  return job.running.filter((_, i) => (runs[i] ?? 0) > thresholdRatio * (sumRun / n)).map((task) => task.index);
}

test('flagged tasks agree with the reference implementation', () => {
  const task = fc.record({
    index: fc.integer({ min: 0, max: 50 }),
    machine: fc.constantFrom('a', 'b', 'c'),
    elapsedS: fc.integer({ min: 0, max: 200 }),
    startedAfterS: fc.integer({ min: 0, max: 60 }),
    restarted: fc.boolean(),
  });
  const job = fc.record({
    job: fc.constant('j-1'),
    tasks: fc.constant(60),
    finished: fc.integer({ min: 0, max: 9 }),
    finishedRunsS: fc.array(fc.integer({ min: 1, max: 90 }), { maxLength: 9 }),
    estimateS: fc.integer({ min: 1, max: 90 }),
    deadlineS: fc.option(fc.integer({ min: 1, max: 300 }), { nil: null }),
    running: fc.array(task, { maxLength: 12 }),
  });
  let flagged = 0;
  fc.assert(
    fc.property(job, fc.integer({ min: -6, max: 4 }), (snapshot, tenths) => {
      const flags = flagStragglers(snapshot, tenths / 10, DEFAULT_TUNABLES).map((f) => f.index);
      flagged += flags.length;
      assert.deepEqual(flags, referenceFlags(snapshot, tenths / 10));
    }),
    { seed: 7, numRuns: 500 },
  );
  assert.ok(flagged > 50, 'enough generated snapshots lead to flagged tasks');
});

test('a run is estimated from the elapsed time and from finished siblings or, before any has finished, from the job', () => {
  near(estimateRunS(95, null, 30, 0.95), 100);
  assert.equal(estimateRunS(10, 40, 30, 0.95), 40);
  assert.equal(estimateRunS(10, null, 30, 0.95), 30);
});

test('a flagged task is restarted once, only from a faulty-looking machine, and at most a tenth of its job per round', () => {
  const flag = (job: string, index: number, machine: string, estimateS: number, restarted = false): StragglerFlag => ({
    job,
    index,
    machine,
    estimateS,
    threshold: 1.3,
    restarted,
    elapsedS: 1,
  });
  const running = new Map([
    ['j-1', 30],
    ['j-2', 4],
  ]);
  const none = new Set<string>();
  assert.deepEqual(chooseRestarts([flag('j-1', 1, 'a', 50)], running, none, DEFAULT_TUNABLES), []);
  const late = chooseRestarts(
    [flag('j-1', 1, 'a', 50), flag('j-1', 2, 'a', 60, true)],
    running,
    new Set(['a']),
    DEFAULT_TUNABLES,
  );
  assert.deepEqual(
    late.map((f) => f.index),
    [1],
  );
  const shared = chooseRestarts([flag('j-1', 1, 'a', 50), flag('j-2', 3, 'a', 60)], running, none, DEFAULT_TUNABLES);
  assert.deepEqual(
    shared.map((f) => `${f.job}/${f.index}`),
    ['j-2/3', 'j-1/1'],
  );
  const many = Array.from({ length: 9 }, (_, i) => flag('j-1', i, 'a', 50 + i));
  assert.deepEqual(
    chooseRestarts(many, running, new Set(['a']), DEFAULT_TUNABLES).map((f) => f.index),
    [8, 7, 6],
  );
});
