import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Region, type SimulationScenario } from '../src/index.js';
import { shortDay } from './test-days.js';

test('after a restart of all controllers, runs that the new holders find in progress make no machine count as slow', async () => {
  // Guards against timing such a run from when the new holder first saw it: the run then seems short, and every later
  // run on the machine seems slow.
  const base = shortDay(140, [{ kind: 'controller_crash', at_s: 40, controller: 'all' }]);
  const day: SimulationScenario = {
    ...base,
    // Long queues of equal tasks, so that most machines run such tasks before, during and after the restart.
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
  const logLines: string[] = [];
  const region = new Region({ day, controllerLog: { level: 'info', write: (line) => logLines.push(line) } });
  await region.play();
  const slownessLogs = logLines.filter((line) => /lost or faulty|stopping a straggler to restart it/.test(line));
  const result = region.close();
  assert.deepEqual([result.breaches, result.defects], [[], []]);
  assert.ok((result.classes[0]?.tasksStarted ?? 0) > 300);
  assert.deepEqual(slownessLogs, []);
});
