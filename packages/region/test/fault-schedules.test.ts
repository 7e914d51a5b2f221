import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { drawFaultSchedule } from '../src/hunt/index.js';
import { Region, type SimulationScenario, type DayResult, type Fault } from '../src/index.js';
import { playDay, shortDay } from './test-days.js';

interface CompletedRun {
  readonly result: DayResult;
  readonly events: readonly string[];
}

/** Runs a scenario and then lets accepted jobs finish: no rule may be violated, and no job may be left. */
async function runsToCompletion(day: SimulationScenario, drainS = 400): Promise<CompletedRun> {
  const events: string[] = [];
  const extended: SimulationScenario = { ...day, duration_s: day.duration_s + drainS, quiet_end_s: drainS };
  const region = new Region({ day: extended, event: (line) => events.push(line) });
  await region.play();
  const result = region.close();
  assert.deepEqual(result.breaches, []);
  assert.deepEqual(result.defects, []);
  const services = new Set(result.classes.filter((c) => c.shape === 'service').map(({ name }) => name));
  // Services run until their users cancel them; all other jobs must have ended.
  for (const c of result.classes) if (!services.has(c.name)) assert.equal(c.open, 0, `${c.name}: ${c.open} left`);
  assert.ok(result.classes.some(({ tasksStarted }) => tasksStarted > 10));
  return { result, events };
}

const gangScenario = (faults: readonly Fault[]): SimulationScenario => {
  const day = shortDay(200, faults);
  return {
    ...day,
    classes: day.classes.map((c) => (c.shape === 'gang' ? { ...c, initial: 3, per_minute: 1 } : c)),
  };
};

const NAMED_SCENARIOS: readonly [name: string, day: SimulationScenario, expectedEvent: RegExp][] = [
  [
    'all controllers restart in the middle of a gang',
    gangScenario([{ kind: 'controller_crash', at_s: 45, controller: 'all' }]),
    /ends node-2/,
  ],
  [
    'a shard is claimed while commands of the previous holder are held back and arrive late',
    shortDay(200, [
      { kind: 'controller_cut', at_s: 50, for_s: 40, controller: 0, from: 'workers', manner: 'hold' },
      { kind: 'controller_cut', at_s: 52, for_s: 25, controller: 0, from: 'state', manner: 'hold' },
    ]),
    /over controller_cut/,
  ],
  [
    'a controller that was frozen past its lease resumes in the middle of its writes',
    shortDay(200, [
      { kind: 'burst', at_s: 40, for_s: 15, class: 'letters', times: 15 },
      { kind: 'controller_pause', at_s: 47, for_s: 14, controller: 1 },
      { kind: 'controller_pause', at_s: 80, for_s: 9, controller: 'leader' },
    ]),
    /over controller_pause/,
  ],
  [
    'a watch is behind the history that the state service keeps',
    shortDay(200, [
      { kind: 'controller_cut', at_s: 40, for_s: 6, controller: 'all', from: 'state', manner: 'reset' },
      { kind: 'watch_forgets', at_s: 43 },
      { kind: 'watch_forgets', at_s: 90 },
    ]),
    /trouble watch_forgets/,
  ],
  [
    'the state service refuses one node',
    shortDay(200, [{ kind: 'controller_refused', at_s: 40, for_s: 35, controller: 'leader' }]),
    /over controller_refused/,
  ],
  [
    'a transaction is applied late',
    shortDay(200, [
      { kind: 'burst', at_s: 35, for_s: 20, class: 'letters', times: 10 },
      { kind: 'controller_cut', at_s: 45, for_s: 12, controller: 0, from: 'state', manner: 'hold' },
      { kind: 'controller_cut', at_s: 60, for_s: 12, controller: 1, from: 'state', manner: 'hold' },
    ]),
    /over controller_cut/,
  ],
  [
    'jobs are cancelled while their starts are in flight',
    (() => {
      const day = shortDay(200, [{ kind: 'machines_cut', at_s: 30, for_s: 15, share: 0.5, manner: 'hold' }]);
      return { ...day, classes: day.classes.map((c) => (c.shape === 'service' ? c : { ...c, cancel_share: 0.7 })) };
    })(),
    /over machines_cut/,
  ],
  [
    'all controllers are cut off from everything for longer than every lease',
    shortDay(200, [{ kind: 'controller_cut', at_s: 60, for_s: 70, controller: 'all', from: 'all', manner: 'hold' }]),
    /over controller_cut/,
  ],
];

for (const [name, day, expectedEvent] of NAMED_SCENARIOS) {
  test(name, async () => {
    const { events } = await runsToCompletion(day);
    assert.ok(events.some((line) => expectedEvent.test(line)));
  });
}

test('drawn fault schedules violate no rule', async () => {
  const base = shortDay(160, []);
  await fc.assert(
    fc.asyncProperty(fc.integer({ min: 0, max: 2 ** 30 }), async (seed) => {
      const result = await playDay({ ...base, seed, troubles: drawFaultSchedule(seed, base) });
      assert.deepEqual([result.breaches, result.defects], [[], []]);
    }),
    { seed: 5, numRuns: 5, endOnFailure: true },
  );
});
