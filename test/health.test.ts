import assert from 'node:assert/strict';
import { test } from 'node:test';
import { millis } from '../src/kernel/index.js';
import { HealthCheck, type HealthInputs } from '../src/service/index.js';

const HEALTHY: HealthInputs = { ready: true, mayClaimShards: true, stateOk: true, othersStateOk: [true, true] };

/** Evaluates the same inputs once a second; returns the last result. */
function healthyAfter(inputs: Partial<HealthInputs>, seconds: number, health = new HealthCheck(), from = 0): boolean {
  let healthy = true;
  for (let s = from; s <= from + seconds; s++) healthy = health.check({ ...HEALTHY, ...inputs }, millis(s * 1000));
  return healthy;
}

test('a node that can serve users is healthy, and every node is while none can', () => {
  assert.equal(healthyAfter({}, 60), true);
  assert.equal(healthyAfter({ ready: false }, 0), false);
  assert.equal(healthyAfter({ mayClaimShards: false }, 0), false);
  assert.equal(
    healthyAfter({ stateOk: false, othersStateOk: [true, false] }, 0),
    false,
    'another node has the state service',
  );
  assert.equal(healthyAfter({ stateOk: false, othersStateOk: [false, false] }, 60), true, 'no node has it');
  assert.equal(healthyAfter({ stateOk: false, othersStateOk: [false, null] }, 60), true, 'two of three nodes lack it');
  assert.equal(healthyAfter({ stateOk: false, othersStateOk: [] }, 60), true, 'there is no other node');
});

test('a node that reaches neither the state service nor a majority stays healthy for a limited time only', () => {
  const isolated = { stateOk: false, othersStateOk: [null, null] };
  assert.equal(healthyAfter(isolated, 9), true);
  assert.equal(healthyAfter(isolated, 10), false);
  assert.equal(healthyAfter({ ...isolated, othersStateOk: [false, null, null, null] }, 10), false, 'two of five nodes');
  const health = new HealthCheck();
  assert.equal(healthyAfter(isolated, 30, health), false);
  assert.equal(healthyAfter({}, 0, health, 31), true, 'healthy at once after the isolation');
  assert.equal(healthyAfter(isolated, 9, health, 32), true, 'the next isolation is timed from its own start');
});
