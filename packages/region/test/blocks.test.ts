import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeShard, encodeShard } from '../../../src/membership/index.js';
import { shardKey } from '../../../src/state/index.js';
import { shardName } from '../../../src/kernel/index.js';
import type { Day, DayResult, Region, Trouble } from '../src/index.js';
import { playedThrough, shippedDay, type Act } from './days.js';

/** The release before pages were guarded by their record. */
const LAST = 'before-blocks';

interface Played {
  readonly result: DayResult;
  /** How many lines of the controllers' logs hold a text. */
  readonly said: (text: string) => number;
}

async function playedWith(day: Day, acts: readonly Act[] = []): Promise<Played> {
  const logs: string[] = [];
  const controllerLog = { level: 'info', write: (line: string) => logs.push(line) };
  const region = await playedThrough({ day, controllerLog }, acts);
  const said = (text: string): number => logs.filter((line) => line.includes(text)).length;
  return { result: region.close(), said };
}

const rulesOf = ({ breaches }: DayResult): string[] => [...new Set(breaches.map(({ rule }) => rule))];

test('no task runs twice while limits fall and a controller does not see that others hold the shards', async () => {
  let flipped = 0;
  let refused = 0;
  for (const seed of [3, 4, 5, 8]) {
    const { result, said } = await playedWith({ ...shippedDay('limits'), seed });
    assert.deepEqual([rulesOf(result), result.defects], [[], []], `seed ${seed}`);
    assert.ok(result.classes.some(({ tasksStarted }) => tasksStarted > 100));
    flipped += said('in pages now');
    refused += said('pages are not staged');
  }
  // Or the days show nothing: shards went into pages, and a process that was behind tried to stage others.
  assert.ok(flipped > 0 && refused > 0, `${flipped} flipped, ${refused} refused`);
});

/** Writes a shard's record without every second of its machines, as a process would that took an older one for present. */
function loseMachines(region: Region): void {
  const { state } = region.parts;
  for (const { seat } of region.controllers) {
    const key = shardKey(shardName(seat.name));
    const value = decodeShard(state.get(key));
    if (!value || value.epoch !== null) continue;
    state.put(key, encodeShard({ ...value, machines: value.machines.filter((_, i) => i % 2 === 0) }));
  }
}

test('a machine that is missing from its block and comes back keeps its tasks, and none of them runs twice', async () => {
  for (const seed of [1, 2, 3]) {
    const day = { ...shippedDay('limits'), troubles: [], seed };
    const { result, said } = await playedWith(day, [[50, loseMachines]]);
    assert.deepEqual([rulesOf(result), result.defects], [[], []], `seed ${seed}`);
    assert.ok(said('are missing from the block') > 0 && said('are back in the block') > 0);
  }
});

/** The controllers begin as these releases. */
const begunAs = (day: Day, releases: readonly string[]): Day => ({
  ...day,
  controllers: { ...day.controllers, releases: [...releases] },
});

test('a late controller of the last landing stages over pages: their machines are missing, and no task runs twice', async () => {
  for (const seed of [3, 4]) {
    const day = begunAs({ ...shippedDay('limits'), seed }, ['this', LAST, 'this']);
    const { result, said } = await playedWith(day);
    assert.deepEqual([rulesOf(result), result.defects], [[], []], `seed ${seed}`);
    assert.ok(said('are missing from the block') > 0);
  }
});

const roll = (to: string, at_s: number): Trouble => ({ kind: 'rollout', at_s, gap_s: 6, to, leave: false });

test('limits that fall after a roll from the last landing or production to this one, and on the way back', async () => {
  const { troubles, ...limits } = shippedDay('limits');
  for (const [old, back] of [
    [LAST, true],
    ['production', false],
  ] as const) {
    const rolls = [roll('this', 14), ...(back ? [roll(old, 80)] : [])];
    const day = begunAs({ ...limits, troubles: [...rolls, ...troubles] }, [old, old, old]);
    const { result } = await playedWith(day);
    assert.deepEqual([rulesOf(result), result.defects], [[], []], old);
    assert.ok(result.classes.some(({ tasksStarted }) => tasksStarted > 100));
  }
});
