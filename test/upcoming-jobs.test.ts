import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BitSet, jobId, millis, nodeName, revision, shardName, wallMillis, type JobId } from '../src/kernel/index.js';
import { encodeJobRecord } from '../src/jobs/index.js';
import type { ShardSummary } from '../src/peers/index.js';
import { DependencyTracker } from '../src/pipelines/index.js';
import { ShardRouter, type ShardRouterDeps } from '../src/service/index.js';
import { jobKey, type Entry } from '../src/state/index.js';
import { spec } from './standins/jobs.js';

const ids = (name: string, count: number): JobId[] => Array.from({ length: count }, (_, i) => jobId(`j-${name}-${i}`));

test('many jobs that await the same jobs do not hold up the round of the leader', () => {
  const [awaited, waiting] = [ids('awaited', 300), ids('waiting', 200)];
  const records = new Map<string, Entry>();
  const asked: JobId[] = [];
  const tracker = new DependencyTracker({
    registry: {
      cachedFinalOf: () => undefined,
      readState: () => Promise.resolve({ kind: 'unavailable' }),
      cancelDependent: () => Promise.resolve(false),
    },
    mirror: { get: (key) => records.get(key) },
    runtime: { wall: () => wallMillis(0), after: () => ({ cancel: () => undefined }) },
    log: { info: () => undefined },
    holds: () => false,
    ready: () => undefined,
    objectives: [],
    hasStarted: (id) => {
      asked.push(id);
      return id === awaited[0];
    },
    fetchS: () => 0,
  });
  const store = (id: JobId, awaits: readonly JobId[]): void => {
    const record = { spec: spec({ id }), shard: shardName('s'), submittedAt: wallMillis(0), awaits };
    const value = encodeJobRecord({ ...record, done: BitSet.empty(1) });
    records.set(jobKey(id), { key: jobKey(id), value, version: revision(1) });
    tracker.onJobChange({ key: jobKey(id), value, removed: false, version: revision(1) });
  };
  for (const id of awaited) store(id, []);
  for (const id of waiting) store(id, awaited);
  const upcoming = tracker.upcomingJobs();
  assert.equal(upcoming.length, waiting.length);
  for (const { readyInS } of upcoming) assert.equal(readyInS, 12, 'the estimate of 10 s and 2 s for the step');
  assert.equal(asked.length, awaited.length, 'the progress of each awaited job is looked up once');
});

test('looking up the progress of all jobs reads the summary of a shard once', () => {
  const jobs = ids('running', 1000);
  let reads = 0;
  const running = jobs.map((job, i) => ({
    get job(): JobId {
      reads += 1;
      return job;
    },
    running: i,
    done: 1,
  }));
  const deps: Pick<ShardRouterDeps, 'clock' | 'holders'> = {
    clock: { now: () => millis(0), wall: () => wallMillis(0) },
    holders: new Map(),
  };
  const router = new ShardRouter(deps as ShardRouterDeps);
  const summary: ShardSummary = { shard: shardName('s'), holder: nodeName('n'), machines: [], demand: [], running };
  router.recordSummary(summary);
  for (const [i, id] of jobs.entries()) assert.deepEqual(router.progressOf(id), { running: i, done: 1 });
  assert.ok(reads <= 2 * jobs.length, `${reads} reads of ${jobs.length} jobs`);
  router.recordSummary({ ...summary, running: [{ job: jobs[5] ?? jobId('j-none'), running: 7, done: 2 }] });
  assert.deepEqual(router.progressOf(jobs[5] ?? jobId('j-none')), { running: 7, done: 2 }, 'of the latest summary');
  assert.deepEqual(router.progressOf(jobs[6] ?? jobId('j-none')), { running: 0, done: 0 });
});
