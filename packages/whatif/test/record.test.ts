import assert from 'node:assert/strict';
import { test } from 'node:test';
import { detailOf } from '../../trace/src/index.js';
import { recorded, shortDay } from './nights.js';

test('a night is recorded through a crash: what truly ended is in it, but for the gap, and each event once', async () => {
  const crash = { kind: 'controller_crash', at_s: 60, controller: 1, down_s: 8 } as const;
  const truth: string[] = [];
  const trace = await recorded(shortDay(120, [crash]), {
    event: (line) => {
      const [, word, task, attempt, , cause] = line.trim().split(' ');
      if (word === 'off' && cause === 'done') truth.push(`left ${task}#${attempt}`);
    },
  });
  const ids = new Set(trace.rows.map(({ id }) => id));
  assert.equal(ids.size, trace.rows.length);
  const ended = trace.gaps.filter(({ why }) => why === 'ended');
  assert.deepEqual(
    ended.map(({ node, untilMs }) => [node, untilMs !== null]),
    [['node-1', true]],
  );
  const told = truth.filter((id) => ids.has(id));
  assert.ok(truth.length > 30, `${truth.length} tasks are a test of nothing`);
  // What the controller that ended had seen and nobody had read is in its gap; the rest is all there.
  assert.ok(truth.length - told.length <= 10, `${truth.length - told.length} of ${truth.length} ends are missing`);
  for (const row of trace.rows) if (row.kind === 'job') assert.equal(typeof detailOf(row)['spec'], 'object');
});

test('a ring that is too small for a slow reader shows as gaps, and the reading goes on', async () => {
  const trace = await recorded(shortDay(60, []), { trailEvents: 5 }, 7000);
  const over = trace.gaps.filter(({ why }) => why === 'overrun');
  assert.ok(over.length > 0);
  for (const { fromN, toN } of over) assert.ok(fromN !== null && toN !== null && fromN <= toN);
  assert.ok((trace.rows.at(-1)?.at ?? 0) > (over[0]?.untilMs ?? Infinity));
});
