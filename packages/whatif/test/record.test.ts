import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseDetail } from '../../trace/src/index.js';
import { recordTrace, shortDay } from './night-fixtures.js';

test('recording through a controller crash keeps each event once, and all task completions except those in the gap', async () => {
  const crash = { kind: 'controller_crash', at_s: 60, controller: 1, down_s: 8 } as const;
  const completions: string[] = [];
  const trace = await recordTrace(shortDay(120, [crash]), {
    event: (line) => {
      const [, eventName, task, attempt, , cause] = line.trim().split(' ');
      if (eventName === 'off' && cause === 'done') completions.push(`left ${task}#${attempt}`);
    },
  });
  const ids = new Set(trace.rows.map(({ id }) => id));
  assert.equal(ids.size, trace.rows.length);
  const ended = trace.gaps.filter(({ why }) => why === 'ended');
  assert.deepEqual(
    ended.map(({ node, untilMs }) => [node, untilMs !== null]),
    [['node-1', true]],
  );
  const recordedCompletions = completions.filter((id) => ids.has(id));
  assert.ok(completions.length > 30, `only ${completions.length} tasks completed, too few for this test`);
  // Events that the crashed controller had seen and the recorder had not read fall into its gap. All others are
  // recorded.
  assert.ok(
    completions.length - recordedCompletions.length <= 10,
    `${completions.length - recordedCompletions.length} of ${completions.length} completions are missing`,
  );
  for (const row of trace.rows) if (row.kind === 'job') assert.equal(typeof parseDetail(row)['spec'], 'object');
});

test('an event buffer that is too small for a slow recorder causes overrun gaps, and recording continues', async () => {
  const trace = await recordTrace(shortDay(60, []), { trailEvents: 5 }, 7000);
  const overruns = trace.gaps.filter(({ why }) => why === 'overrun');
  assert.ok(overruns.length > 0);
  for (const { fromN, toN } of overruns) assert.ok(fromN !== null && toN !== null && fromN <= toN);
  assert.ok((trace.rows.at(-1)?.at ?? 0) > (overruns[0]?.untilMs ?? Infinity));
});
