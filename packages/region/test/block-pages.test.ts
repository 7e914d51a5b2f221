import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeShard, encodeShard, parsePageKey } from '../../../src/membership/index.js';
import { shardKey } from '../../../src/state/index.js';
import { isObject, shardName } from '../../../src/kernel/index.js';
import type { SimulationScenario, DayResult, Region, Fault } from '../src/index.js';
import { playWithActions, shippedDay, type TimedAction } from './test-days.js';

/** The last release in which the shard record does not guard the block pages. */
const UNGUARDED_RELEASE = 'before-blocks';

interface PlayedDay {
  readonly result: DayResult;
  /** Number of the controllers' log lines that contain a text. */
  readonly countLogged: (text: string) => number;
}

async function playDayWith(day: SimulationScenario, actions: readonly TimedAction[] = []): Promise<PlayedDay> {
  const logs: string[] = [];
  const controllerLog = { level: 'info', write: (line: string) => logs.push(line) };
  const region = await playWithActions({ day, controllerLog }, actions);
  const countLogged = (text: string): number => logs.filter((line) => line.includes(text)).length;
  return { result: region.close(), countLogged };
}

/** The rules that were violated. */
const violatedRules = ({ breaches }: DayResult): string[] => [...new Set(breaches.map(({ rule }) => rule))];

test('no task runs twice while state service limits drop and a controller does not see that others hold the shards', async () => {
  let paged = 0;
  let refused = 0;
  for (const seed of [3, 4, 5, 8, 11, 12]) {
    const { result, countLogged } = await playDayWith({ ...shippedDay('limits'), seed });
    assert.deepEqual([violatedRules(result), result.defects], [[], []], `seed ${seed}`);
    assert.ok(result.classes.some(({ tasksStarted }) => tasksStarted > 100));
    paged += countLogged('in pages now');
    refused += countLogged('pages are not staged');
  }
  // Without these events the days test nothing: shards are stored in pages, and a process that is behind tries to stage
  // other pages.
  assert.ok(paged > 0 && refused > 0, `${paged} paged, ${refused} refused`);
});

/** Removes every second machine from the shard records, as a process with an outdated record would. */
function removeMachines(region: Region): void {
  const { state } = region.parts;
  for (const { spec } of region.controllers) {
    const key = shardKey(shardName(spec.name));
    const value = decodeShard(state.get(key));
    if (!value || value.epoch !== null) continue;
    state.put(key, encodeShard({ ...value, machines: value.machines.filter((_, i) => i % 2 === 0) }));
  }
}

test('a machine that is missing from its block and comes back keeps its tasks, and none of them runs twice', async () => {
  for (const seed of [1, 2, 3]) {
    const day = { ...shippedDay('limits'), troubles: [], seed };
    const { result, countLogged } = await playDayWith(day, [[50, removeMachines]]);
    assert.deepEqual([violatedRules(result), result.defects], [[], []], `seed ${seed}`);
    assert.ok(countLogged('are missing from the block') > 0 && countLogged('are back in the block') > 0);
  }
});

/** The same day with controllers that start as these releases. */
const withReleases = (day: SimulationScenario, releases: readonly string[]): SimulationScenario => ({
  ...day,
  controllers: { ...day.controllers, releases: [...releases] },
});

test('a controller of the previous release that is behind stages over pages: machines go missing, and no task runs twice', async () => {
  let daysWithMissing = 0;
  for (const seed of [3, 4, 5, 6]) {
    const day = withReleases({ ...shippedDay('limits'), seed }, ['this', UNGUARDED_RELEASE, 'this']);
    const { result, countLogged } = await playDayWith(day);
    assert.deepEqual([violatedRules(result), result.defects], [[], []], `seed ${seed}`);
    if (countLogged('are missing from the block') > 0) daysWithMissing += 1;
  }
  assert.ok(daysWithMissing >= 2, `machines went missing on ${daysWithMissing} days`);
});

/** A rollout to a release, from `at_s` on, without asking controllers to leave. */
const rolloutTo = (to: string, at_s: number): Fault => ({ kind: 'rollout', at_s, gap_s: 6, to, leave: false });

test('limits drop after a rollout from the previous release or production to this one, and after a rollback', async () => {
  const { troubles, ...limits } = shippedDay('limits');
  for (const [old, rollback] of [
    [UNGUARDED_RELEASE, true],
    ['production', false],
  ] as const) {
    const rollouts = [rolloutTo('this', 14), ...(rollback ? [rolloutTo(old, 80)] : [])];
    const day = withReleases({ ...limits, troubles: [...rollouts, ...troubles] }, [old, old, old]);
    const { result } = await playDayWith(day);
    assert.deepEqual([violatedRules(result), result.defects], [[], []], old);
    assert.ok(result.classes.some(({ tasksStarted }) => tasksStarted > 100));
  }
});

/** By then a block has grown out of its record, so that it is in pages; then all shards are claimed anew. */
const CLAIMED_ANEW_AT_S = 100;
const UNREADABLE_AT_S = 115;
const READABLE_AT_S = 117;
const READ_AGAIN_DAY_S = 160;

/** The key of a page that counts, and its value. */
function findPage({ parts: { state } }: Region): { readonly key: string; readonly value: unknown } | undefined {
  for (const key of state.under('live/pages/')) {
    const { shard } = parsePageKey(key);
    const value = state.get(key);
    if (isObject(value) && decodeShard(state.get(shardKey(shard)))?.epoch === value['epoch']) return { key, value };
  }
  return undefined;
}

test('a holder whose page could not be read for a while commands its machines again, and none is given up', async () => {
  let page: ReturnType<typeof findPage>;
  const { troubles, ...limits } = shippedDay('limits');
  const faults: Fault[] = [
    ...troubles.filter(({ kind }) => kind === 'state_limits'),
    { kind: 'controller_crash', at_s: CLAIMED_ANEW_AT_S, controller: 'all', down_s: 0.5 },
  ];
  const { result, countLogged } = await playDayWith({ ...limits, duration_s: READ_AGAIN_DAY_S, troubles: faults }, [
    [
      UNREADABLE_AT_S,
      (region) => {
        page = findPage(region);
        if (page) region.parts.state.put(page.key, { v: 99 });
      },
    ],
    [
      READABLE_AT_S,
      ({ parts }) => {
        if (page) parts.state.put(page.key, page.value);
      },
    ],
  ]);
  assert.deepEqual([violatedRules(result), result.defects, result.failures], [[], [], []]);
  assert.ok(countLogged('this node no longer holds the shard') > 0);
  assert.deepEqual(
    [countLogged('another holder commands it'), countLogged('gave back machines that were lost')],
    [0, 0],
  );
});
