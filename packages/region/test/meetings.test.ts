import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Region, type Day, type DayResult, type Trouble } from '../src/index.js';
import { shortDay } from './days.js';

/** Meetings of two troubles, by docs/meetings.md: rules broke where each alone broke none. */
interface Played {
  readonly result: DayResult;
  readonly logs: readonly { readonly msg: string; readonly time: number; readonly node: string }[];
}

async function playedAs(day: Day, release = 'this'): Promise<Played> {
  const logs: string[] = [];
  const releases = Array.from({ length: day.controllers.count }, () => release);
  const region = new Region({
    day: { ...day, controllers: { ...day.controllers, releases } },
    controllerLog: { level: 'info', write: (line) => logs.push(line) },
  });
  await region.play();
  return { result: region.close(), logs: logs.map((line) => JSON.parse(line) as Played['logs'][number]) };
}

async function kept(day: Day): Promise<Played> {
  const played = await playedAs(day);
  assert.deepEqual([played.result.breaches, played.result.defects], [[], []]);
  assert.ok(played.result.classes.some(({ tasksStarted }) => tasksStarted > 10));
  return played;
}

/** Many long arrays, most of them cancelled within a minute. */
const cancelling = (troubles: readonly Trouble[], seed: number, durationS = 190): Day => {
  const day = shortDay(durationS, troubles, seed);
  return {
    ...day,
    classes: day.classes.map((c) =>
      c.name === 'letters'
        ? { ...c, run_s: { median: 115, p95: 140, max: 160 }, cancel_share: 0.8, initial: 8, per_minute: 14 }
        : c,
    ),
  };
};

type Which = number | 'leader';
/** The operators' meeting: one controller is refused alone, another confirms cancellations, then nobody has the state service. */
const gap = (at_s: number, controller: Which, aloneS: number, outS: number): Trouble[] => [
  { kind: 'controller_refused', at_s, for_s: aloneS + 12, controller },
  { kind: 'state_outage', at_s: at_s + aloneS, for_s: outS },
];

const SEEDS = [11, 12, 13];

test('gap: refused alone, cancellations confirmed by others, then an outage for longer than cancel_s', async () => {
  for (const seed of SEEDS)
    for (const [which, aloneS] of [
      ['leader', 2],
      [0, 3.5],
      [1, 2.5],
      [2, 8],
    ] as const)
      await kept(cancelling(gap(60, which, aloneS, 70), seed));
});

test('gap, as the release before played it: the checker sees what this is about', async () => {
  const rules = new Set<string>();
  for (const seed of SEEDS) {
    const { result } = await playedAs(cancelling(gap(60, 'leader', 3, 70), seed), 'before-carrying');
    for (const { rule } of result.breaches) rules.add(rule);
  }
  assert.deepEqual([...rules], ['ran_cancelled']);
});
