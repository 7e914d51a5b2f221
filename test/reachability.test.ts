import assert from 'node:assert/strict';
import { test } from 'node:test';
import { millis } from '../src/kernel/index.js';
import { WorkerReachability } from '../src/workers/index.js';

/** Checks every 200 ms without any report until a probe is wanted; returns the milliseconds until then. */
function silenceUntilProbeMs(reach: WorkerReachability, machines: number, reportMs: number, from = 0): number {
  for (let now = from; now <= from + 60_000; now += 200) {
    if (reach.check(millis(now), machines, reportMs) === 'probe') return now - from;
  }
  return Infinity;
}

test('a node probes workers after a silence in which about a dozen reports were due', () => {
  assert.equal(silenceUntilProbeMs(new WorkerReachability(millis(0)), 320, 4000), 1000);
  assert.equal(silenceUntilProbeMs(new WorkerReachability(millis(0)), 10, 3000), 3800);
  // With few machines, the node still has to detect the fault before the leases of the workers expire.
  assert.equal(silenceUntilProbeMs(new WorkerReachability(millis(0)), 2, 1000), 4200);
  assert.equal(silenceUntilProbeMs(new WorkerReachability(millis(0)), 1, 1000), Infinity);
});

test('a node is cut off only when nearly all of its probes fail, and connected again when most succeed twice', () => {
  const reach = new WorkerReachability(millis(0));
  silenceUntilProbeMs(reach, 100, 1000);
  assert.equal(reach.recordProbes(5, 2), false);
  assert.ok(reach.ok);
  let now = 60_000;
  now += silenceUntilProbeMs(reach, 100, 1000, now);
  // A report that arrives during the probes is evidence against their result.
  reach.recordWorkerContact();
  assert.equal(reach.recordProbes(5, 0), false);
  silenceUntilProbeMs(reach, 100, 1000, now);
  assert.equal(reach.recordProbes(5, 1), true);
  assert.equal(reach.ok, false);
  assert.equal(reach.recordProbes(5, 4), false);
  assert.equal(reach.recordProbes(5, 2), false);
  assert.equal(reach.recordProbes(5, 4), false);
  assert.equal(reach.recordProbes(5, 5), true);
  assert.ok(reach.ok);
});

test('a process that was paused for a minute does not take the pause for a network fault', () => {
  const reach = new WorkerReachability(millis(0));
  reach.check(millis(200), 100, 1000);
  assert.equal(reach.check(millis(60_200), 100, 1000), 'nothing');
  reach.recordWorkerContact();
  assert.equal(reach.check(millis(60_400), 100, 1000), 'nothing');
});
