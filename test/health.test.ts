import assert from 'node:assert/strict';
import { test } from 'node:test';
import { millis } from '../src/kernel/index.js';
import { Health, type HealthView } from '../src/service/index.js';

const WELL: HealthView = { ready: true, mayTake: true, stateOk: true, others: [true, true] };

/** Told the same once a second: how it stands after each. */
function after(view: Partial<HealthView>, seconds: number, health = new Health(), from = 0): boolean {
  let stands = true;
  for (let s = from; s <= from + seconds; s++) stands = health.look({ ...WELL, ...view }, millis(s * 1000));
  return stands;
}

test('users are sent to who can serve them, and to all while nobody can', () => {
  assert.equal(after({}, 60), true);
  assert.equal(after({ ready: false }, 0), false);
  assert.equal(after({ mayTake: false }, 0), false);
  assert.equal(after({ stateOk: false, others: [true, false] }, 0), false, 'another has the state service');
  assert.equal(after({ stateOk: false, others: [false, false] }, 60), true, 'nobody has it');
  assert.equal(after({ stateOk: false, others: [false, null] }, 60), true, 'two of three say so');
  assert.equal(after({ stateOk: false, others: [] }, 60), true, 'there is no other');
});

test('who hears neither the state service nor a majority keeps its users for a while only', () => {
  const alone = { stateOk: false, others: [null, null] };
  assert.equal(after(alone, 9), true);
  assert.equal(after(alone, 10), false);
  assert.equal(after({ ...alone, others: [false, null, null, null] }, 10), false, 'two of five');
  const health = new Health();
  assert.equal(after(alone, 30, health), false);
  assert.equal(after({}, 0, health, 31), true, 'at once when it is over');
  assert.equal(after(alone, 9, health, 32), true, 'and counted anew');
});
