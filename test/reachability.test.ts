import assert from 'node:assert/strict';
import { test } from 'node:test';
import { millis } from '../src/kernel/index.js';
import { WorkerReachability } from '../src/workers/index.js';

/** Looks every 200 ms until a probe is wanted; tells after how long. */
function silenceUntilProbe(reach: WorkerReachability, machines: number, reportMs: number, from = 0): number {
  for (let now = from; now <= from + 60_000; now += 200) {
    if (reach.look(millis(now), machines, reportMs) === 'probe') return now - from;
  }
  return Infinity;
}

test('a node asks its workers after a silence in which a dozen should have reported', () => {
  assert.equal(silenceUntilProbe(new WorkerReachability(millis(0)), 320, 4000), 1000);
  assert.equal(silenceUntilProbe(new WorkerReachability(millis(0)), 10, 3000), 3800);
  // With few machines it must still find out before their leases end.
  assert.equal(silenceUntilProbe(new WorkerReachability(millis(0)), 2, 1000), 4200);
  assert.equal(silenceUntilProbe(new WorkerReachability(millis(0)), 1, 1000), Infinity);
});

test('a node is cut off only when nearly all that it asks are silent, and back when most answer twice', () => {
  const reach = new WorkerReachability(millis(0));
  silenceUntilProbe(reach, 100, 1000);
  assert.equal(reach.probed(5, 2), false);
  assert.ok(reach.ok);
  let now = 60_000;
  now += silenceUntilProbe(reach, 100, 1000, now);
  // A report that came in while the probes were out speaks against them.
  reach.heard();
  assert.equal(reach.probed(5, 0), false);
  silenceUntilProbe(reach, 100, 1000, now);
  assert.equal(reach.probed(5, 1), true);
  assert.equal(reach.ok, false);
  assert.equal(reach.probed(5, 4), false);
  assert.equal(reach.probed(5, 2), false);
  assert.equal(reach.probed(5, 4), false);
  assert.equal(reach.probed(5, 5), true);
  assert.ok(reach.ok);
});

test('a process that was stopped for a minute does not blame the network', () => {
  const reach = new WorkerReachability(millis(0));
  reach.look(millis(200), 100, 1000);
  assert.equal(reach.look(millis(60_200), 100, 1000), 'nothing');
  reach.heard();
  assert.equal(reach.look(millis(60_400), 100, 1000), 'nothing');
});
