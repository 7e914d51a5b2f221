import assert from 'node:assert/strict';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { drawMeeting, MEETINGS, playMeetings } from '../src/hunt/index.js';
import { onCancelled } from '../src/measure/index.js';
import { Luck, Region, Releases, type Day, type DayResult, type Trouble } from '../src/index.js';
import { played, shippedDay, shortDay, swarmDay } from './days.js';

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

test('gap: refused alone, cancellations confirmed by others, then an outage for longer than cancel_s', async () => {
  const ways = [
    ['leader', 2],
    [0, 3.5],
    [1, 8],
  ] as const;
  for (const [i, [which, aloneS]] of ways.entries()) await kept(cancelling(gap(60, which, aloneS, 70), 11 + i));
});

test('gap, as the release before played it: the checker sees what this is about', async () => {
  const { result } = await playedAs(cancelling(gap(60, 'leader', 3, 70), 11), 'before-carrying');
  assert.ok(result.breaches.length > 0);
  assert.deepEqual([...new Set(result.breaches.map(({ rule }) => rule))], ['ran_cancelled']);
});

const roll = (to: string, at_s: number, order: number[], leave = false): Trouble => ({
  ...{ kind: 'rollout', at_s, gap_s: 12, to, order, leave },
});

test('gap in the middle of a roll, from the release before and from production, and on the way back', async () => {
  // Old ones only hear the word, as they did: whoever is refused is of this release, so that it acts on it.
  for (const old of ['before-carrying', 'production']) {
    const there = cancelling([roll('this', 20, [0, 1, 2]), ...gap(62, 0, 3, 55)], 12, 170);
    const back = cancelling([roll(old, 40, [1, 2], true), ...gap(80, 0, 3, 55)], 13, 170);
    for (const [day, releases] of [
      [there, [old, old, old]],
      [back, ['this', 'this', 'this']],
    ] as const) {
      const region = new Region({ day: { ...day, controllers: { ...day.controllers, releases: [...releases] } } });
      await region.play();
      const { breaches, defects } = region.close();
      assert.deepEqual([breaches, defects], [[], []], `${old}, ${releases.join()}`);
    }
  }
});

/** How many users were told of cancellations between two moments, in seconds. */
async function toldIn(day: Day, fromS: number, toS: number): Promise<number> {
  const region = new Region({ day });
  let told = 0;
  onCancelled(region, (_ref, _askedAt, at) => {
    if (at > fromS * 1000 && at < toS * 1000) told += 1;
  });
  await region.play();
  const { breaches, defects } = region.close();
  assert.deepEqual([breaches, defects], [[], []]);
  return told;
}

test('while controllers refuse each other, cancellations are told all the same: by way of the state service', async () => {
  const told = await toldIn(cancelling([{ kind: 'peers_refuse', at_s: 50, for_s: 60 }], 12, 120), 54, 110);
  assert.ok(told >= 5, String(told));
});

test('in an outage for all, controllers that hear each other keep everything running; one that hears nobody falls silent', async () => {
  const said = ({ logs }: Played, text: string) => logs.filter(({ msg }) => msg.includes(text));
  const out = await kept(cancelling([{ kind: 'state_outage', at_s: 50, for_s: 75 }], 12, 160));
  assert.deepEqual(said(out, 'is heard'), []);
  assert.deepEqual(said(out, 'are heard'), []);
  const cut: Trouble = {
    ...{ kind: 'controller_cut', at_s: 50, for_s: 75, controller: 1 },
    ...{ from: 'state and controllers', manner: 'hold' },
  };
  const alone = await kept(cancelling([cut, { kind: 'state_outage', at_s: 52, for_s: 73 }], 12, 190));
  const silent = said(alone, 'this holder answers no worker');
  assert.deepEqual(
    silent.map(({ node }) => node),
    ['node-1'],
  );
  // Its lease was last renewed just before 50 s; cancel_s is 45, the workers' lease 18: 4 + 45 - 18 - 5 s later.
  assert.ok(silent[0] && silent[0].time > 74 && silent[0].time < 77, JSON.stringify(silent[0]));
  assert.equal(said(alone, 'this holder is reassured again').length, 1);
});

test('users of a controller that hears neither the state service nor the others are served elsewhere before they are forgotten', async () => {
  // Longer than the 90 s after which a job counts as forgotten while others are answered.
  const alone: Trouble = {
    ...{ kind: 'controller_cut', at_s: 45, for_s: 110, controller: 2 },
    ...{ from: 'state and controllers', manner: 'hold' },
  };
  for (const seed of [12, 13]) await kept(cancelling([alone], seed, 170));
});

test('each meeting of the page alone keeps every rule', async () => {
  for (const [i, [name, draw]] of Object.entries(MEETINGS).entries()) {
    const base = shortDay(150, [], 40 + i);
    const troubles = [...draw(new Luck(40 + i, name), 50, base)].sort((a, b) => a.at_s - b.at_s);
    await kept(cancelling(troubles, 40 + i, 150));
  }
});

test('drawn pairs of meetings keep every rule', async () => {
  for (let seed = 1; seed <= 6; seed++) {
    const { breaches, defects } = await played(drawMeeting(seed, shippedDay('quiet')).day);
    assert.deepEqual([breaches, defects], [[], []], String(seed));
  }
});

test('a list of meetings is gone on with: what it names is not played again, its cut end is left out, another file is refused', async () => {
  const list = join(mkdtempSync(join(tmpdir(), 'meetings-')), 'list.jsonl');
  const told: string[] = [];
  const go = (from: number): Promise<boolean> =>
    playMeetings(
      shippedDay('quiet'),
      { from, count: 2, as: 'this', list },
      new Releases('packages/region/frozen'),
      (line) => told.push(line),
    );
  const line = (seed: number, broken: string[]): string => JSON.stringify({ seed, as: 'this', broken, names: [] });
  writeFileSync(list, `${line(1, [])}\n${line(2, [])}\n{"seed":3,"as":"th`);
  assert.equal(await go(1), true);
  assert.deepEqual(told, ['2 listed, 0 broke a rule: ']);
  writeFileSync(list, `${line(1, ['forgotten'])}\n${line(2, [])}\n`);
  assert.equal(await go(1), false);
  assert.equal(told.at(-1), '2 listed, 1 broke a rule: 1');
  writeFileSync(list, 'something else\n\n');
  await assert.rejects(go(1), /list\.jsonl, line 1: not a line of this list/);
});

/** How long users waited until their jobs were accepted, in milliseconds, the shortest first. */
async function acceptedIn(day: Day): Promise<number[]> {
  const region = new Region({ day });
  await region.play();
  const { breaches, defects } = region.close();
  assert.deepEqual([breaches, defects], [[], []]);
  const { accepted } = region.parts.users;
  return accepted.map(({ acceptedAt, submittedAt }) => (acceptedAt ?? Infinity) - submittedAt).sort((a, b) => a - b);
}

test('one-task jobs come four a second, a quarter cancelled, under 20 changes a second: users hardly wait, and a leader ends', async () => {
  const few = (day: Day): Day => ({ ...day, state: { ...day.state, write_rps: 20 } });
  for (const seed of [7, 8]) {
    const waits = await acceptedIn(few(swarmDay(120, [], seed)));
    assert.ok(waits.length > 350, String(waits.length));
    // When most of them went to one shard, whose holder makes two changes for each end, this was 1.5 s.
    const late = waits[Math.floor(waits.length * 0.95)] ?? Infinity;
    assert.ok(late < 300, `${late} ms`);
  }
  const troubles: Trouble[] = [
    { kind: 'close_looks', at_s: 20, for_s: 70 },
    { kind: 'controller_crash', at_s: 45, controller: 'leader', down_s: 8 },
    { kind: 'late_writes', at_s: 60, for_s: 20, share: 0.1, at_once: true },
    { kind: 'cancel_at_end', at_s: 20, for_s: 90, share: 0.2 },
  ];
  await acceptedIn(few(swarmDay(120, troubles, 9)));
});

test('newer meetings in the middle of a roll, from the release before and from production, and on the way back', async () => {
  const names = [
    'jobs cancelled whose machines are cut off or hang, and the leader changes',
    'only the answers of transactions are lost',
    'old reports reach every controller as a new leader begins',
  ];
  for (const [i, old] of ['before-meetings', 'production'].entries()) {
    for (const [j, name] of names.entries()) {
      for (const [from, to] of [
        [old, 'this'],
        ['this', old],
      ] as const) {
        const seed = 60 + 10 * i + j;
        const base = shortDay(160, [], seed);
        const troubles = [
          roll(to, 42, [0, 1, 2], j === 1),
          ...(MEETINGS[name]?.(new Luck(seed, name), 60, base) ?? []),
        ];
        const day = cancelling(
          troubles.sort((a, b) => a.at_s - b.at_s),
          seed,
          160,
        );
        const releases = base.controllers.count;
        const { breaches, defects } = await played({
          ...day,
          controllers: { ...day.controllers, releases: Array.from({ length: releases }, () => from) },
        });
        assert.deepEqual([breaches, defects], [[], []], `${name}, from ${from} to ${to}`);
      }
    }
  }
});

test('jobs bound to one zone, arrays too, lose machines of it while the leader ends: they are served there', async () => {
  for (const seed of [31, 32]) {
    const base = shortDay(
      330,
      [
        { kind: 'machines_die', at_s: 50, share: 0.6, zone: 'north' },
        { kind: 'controller_crash', at_s: 51, controller: 'leader', down_s: 5 },
        { kind: 'machines_die', at_s: 70, share: 0.5, zone: 'north' },
      ],
      seed,
    );
    const bound = base.classes.map((c) => (c.name === 'letters' ? { ...c, zone: 'north', initial: 8 } : c));
    const { result } = await kept({ ...base, classes: bound, quiet_end_s: 100 });
    assert.deepEqual(result.failures, []);
    assert.ok(result.classes.every(({ name, served }) => name !== 'letters' || (served ?? 0) > 0.9));
  }
});
