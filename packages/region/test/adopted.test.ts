import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Region, type Day } from '../src/index.js';
import { shortDay } from './days.js';

test('after a restart of all, no machine is taken for slow by the runs of tasks that it found running', async () => {
  // Counted from when the new holder first saw them, such runs seemed short, and every later one slow.
  const base = shortDay(140, [{ kind: 'controller_crash', at_s: 40, controller: 'all' }]);
  const day: Day = {
    ...base,
    // Long queues of equal tasks: most run on the same machines before, across and after the restart.
    classes: base.classes
      .filter(({ name }) => name === 'letters')
      .map((c) => ({
        ...c,
        tasks: { sizes: [300], weights: [1] },
        run_s: { median: 24, p95: 24, max: 24 },
        estimate_off: 0,
        cancel_share: 0,
        initial: 3,
        per_minute: 1,
        aims: [],
      })),
  };
  const said: string[] = [];
  const region = new Region({ day, controllerLog: { level: 'info', write: (line) => said.push(line) } });
  await region.play();
  const condemned = said.filter((line) => /lost or faulty|a straggler is restarted/.test(line));
  const result = region.close();
  assert.deepEqual([result.breaches, result.defects], [[], []]);
  assert.ok((result.classes[0]?.tasksStarted ?? 0) > 300);
  assert.deepEqual(condemned, []);
});
