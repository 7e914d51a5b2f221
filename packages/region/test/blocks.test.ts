import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Region, type Day, type DayResult } from '../src/index.js';
import { shippedDay } from './days.js';

interface Played {
  readonly result: DayResult;
  /** How many lines of the controllers' logs hold a text. */
  readonly said: (text: string) => number;
}

async function playedWith(day: Day): Promise<Played> {
  const logs: string[] = [];
  const region = new Region({ day, controllerLog: { level: 'info', write: (line) => logs.push(line) } });
  await region.play();
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
