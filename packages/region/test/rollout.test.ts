import assert from 'node:assert/strict';
import { copyFileSync, mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import fc from 'fast-check';
import { drawSchedule, mixReleases } from '../src/hunt/index.js';
import { Region, ReleaseError, Releases, type Day, type DayResult, type Trouble } from '../src/index.js';
import { playedThrough, played, shortDay } from './days.js';

/** What operators ran before controllers of several releases could work together: every release must run beside it. */
const OLD = 'before-rollout';
const DIR = 'packages/region/frozen';

interface MixedDay {
  readonly result: DayResult;
  readonly events: readonly string[];
  readonly logs: readonly { readonly msg: string; readonly node: string; readonly time: number }[];
  /** What was stored at the end of the day, by key. */
  readonly state: Readonly<Record<string, unknown>>;
}

interface MixedOptions {
  /** What somebody does at a moment of the day, in seconds. */
  readonly acts?: readonly (readonly [atS: number, act: (region: Region) => void])[];
}

async function mixed(day: Day, releases: readonly string[], { acts = [] }: MixedOptions = {}): Promise<MixedDay> {
  const events: string[] = [];
  const logs: string[] = [];
  const options = {
    day: { ...day, controllers: { ...day.controllers, releases: [...releases] } },
    event: (line: string) => events.push(line),
    controllerLog: { level: 'info', write: (line: string) => logs.push(line) },
  };
  const region = await playedThrough(options, acts);
  const state = Object.fromEntries(WATCHED.map((key) => [key, region.parts.state.get(key)]));
  const result = region.close();
  assert.deepEqual([result.breaches, result.defects], [[], []]);
  assert.ok(result.classes.some(({ tasksStarted }) => tasksStarted > 10));
  const told = logs.map((line) => JSON.parse(line) as MixedDay['logs'][number]);
  assert.deepEqual(
    told.filter(({ msg }) => msg.includes('frame')),
    [],
  );
  return { result, events, logs: told, state };
}

const SHARDS = ['node-0', 'node-1', 'node-2'];
const FEATURE = 'grouped-progress';
const STATE = 'live/rollout/state';
const WISHES = 'live/rollout/wishes';
const WATCHED = [STATE, ...SHARDS.flatMap((shard) => [`live/shards/${shard}`, `live/progress/${shard}`])];

/** How a feature stands in what is stored. */
const featureIn = (state: unknown): string | undefined =>
  (state as { features?: Record<string, { state: string }> } | undefined)?.features?.[FEATURE]?.state;
const wish = (what: string) => (region: Region) =>
  region.parts.state.put(WISHES, { features: { [FEATURE]: { wish: what, at: region.wallAt0 + region.now } } });
const switches = ({ logs }: MixedDay, feature = FEATURE): { readonly to: string; readonly time: number }[] =>
  logs.filter(
    (line) => line.msg === 'a feature of the rollout is switched' && (line as { feature?: string }).feature === feature,
  ) as never;

const roll = (to: string, at_s: number, more: Partial<Extract<Trouble, { kind: 'rollout' }>> = {}): Trouble => ({
  kind: 'rollout',
  at_s,
  gap_s: 18,
  to,
  leave: false,
  ...more,
});

test('a frozen controller that was changed, or is not there, is refused by name', () => {
  const dir = mkdtempSync(join(tmpdir(), 'frozen-'));
  copyFileSync(join(DIR, `${OLD}.cjs.br`), join(dir, `${OLD}.cjs.br`));
  const list = JSON.parse(readFileSync(join(DIR, 'releases.json'), 'utf8')) as Record<string, object>;
  writeFileSync(join(dir, 'releases.json'), JSON.stringify({ [OLD]: { ...list[OLD], sha256: 'f'.repeat(64) } }));
  assert.throws(() => new Releases(dir).of(OLD), /before-rollout\.cjs\.br is not what was frozen/);
  assert.throws(() => new Releases(dir).of('other'), ReleaseError);
  assert.throws(() => new Region({ day: shortDay(10, [roll('other', 1)]) }), /no release of the name other/);
});

const startsIn = ({ events }: MixedDay): string[] =>
  events.filter((line) => line.includes(' starts ')).map((line) => line.split(' starts ')[1]?.trim() ?? '');

test('a roll from the old release to this one and back, by kill: every rule is kept, no frame refused', async () => {
  const day = await mixed(shortDay(190, [roll('this', 30), roll(OLD, 85, { order: [2, 0, 1] })]), [OLD, OLD, OLD]);
  const starts = startsIn(day);
  assert.equal(starts.filter((what) => what.endsWith(` as ${OLD}`)).length, 6);
  assert.equal(starts.length, 9);
  // All are new for fifteen seconds in the middle: too short a time for a switch.
  assert.deepEqual(switches(day), []);
});

test('a roll from this release to the old one, leaving first, and from the old one to this one', async () => {
  const troubles = [roll(OLD, 30, { leave: true, order: [1, 2, 0] }), roll('this', 100, { leave: true })];
  const day = await mixed(shortDay(190, troubles), []);
  assert.equal(startsIn(day).length, 9);
  // The old release knows no such request: it is ended as it is.
  assert.equal(day.events.filter((line) => line.includes(' leaves ')).length, 3);
  const given = day.logs.filter(({ msg }) => msg === 'giving a shard up');
  assert.ok(given.length >= 3);
});

test('a planned replacement leaves no shard without a holder for a second; a kill costs the lease', async () => {
  const gaps = async (leave: boolean): Promise<number> => {
    const region = new Region({ day: shortDay(60, [roll('this', 30, { order: [1], leave })]) });
    let [longest, gap] = [0, 0];
    for (let t = 29; t < 50; t += 0.05) {
      await region.play(t);
      const record = region.parts.state.get('live/shards/node-1') as { holder: string; released: boolean };
      const up = region.controllers.find(({ seat }) => seat.name === record.holder)?.process?.running === true;
      gap = up && !record.released ? 0 : gap + 0.05;
      longest = Math.max(longest, gap);
    }
    assert.deepEqual(region.close().breaches, []);
    return longest;
  };
  const [left, killed] = [await gaps(true), await gaps(false)];
  assert.ok(left < 1, `${left} s`);
  assert.ok(killed > 3, `${killed} s`);
});

test('one is old: nothing is switched; once it has been replaced the feature goes on, and an old one does no harm', async () => {
  const troubles = [roll('this', 40, { order: [2] }), roll(OLD, 100, { order: [1] })];
  const day = await mixed(shortDay(200, troubles), ['this', 'this', OLD]);
  const [first, ...rest] = switches(day);
  assert.ok(first && first.to === 'on' && first.time > 60 && first.time < 75, JSON.stringify(first));
  assert.deepEqual(rest, []);
  assert.equal(featureIn(day.state[STATE]), 'on');
});

test('the feature goes on by itself, an operator takes it back, and what it stored is in the jobs’ own records', async () => {
  const busy = shortDay(150, [{ kind: 'burst', at_s: 45, for_s: 60, class: 'letters', times: 6 }]);
  let [grouped, back] = [0, 0];
  const groups = (region: Region): number =>
    SHARDS.filter((shard) => region.parts.state.get(`live/progress/${shard}`) !== undefined).length;
  const day = await mixed(busy, [], {
    acts: [
      [80, (region) => (grouped = groups(region))],
      [81, wish('back')],
      [100, (region) => (back = groups(region))],
    ],
  });
  assert.ok(grouped > 0);
  assert.equal(back, 0);
  assert.deepEqual(
    switches(day).map(({ to }) => to),
    ['on', 'returning', 'off'],
  );
});

test('an operator holds the feature: it stays off; allowed, it goes on', async () => {
  const later = { state: 'on', since: 1, more: 'than this release knows' };
  const acts = [
    [1, wish('hold')],
    [5, ({ parts }: Region) => parts.state.put(STATE, { features: { later } })],
    [70, wish('allow')],
  ] as const;
  const day = await mixed(shortDay(90, []), [], { acts });
  const [only, ...rest] = switches(day);
  assert.ok(only && only.time > 70);
  assert.deepEqual(rest, []);
  // A feature of a later release stays as it is, and each controller says once that it lacks it.
  assert.equal(day.logs.filter(({ msg }) => msg === 'features are on that this release lacks').length, 3);
  assert.deepEqual((day.state[STATE] as { features: { later: unknown } }).features.later, later);
});

const CRASHES = [19.8, 20.4, 21, 21.6, 22.2, 23].map((at_s): Trouble => ({
  kind: 'controller_crash',
  at_s,
  controller: 'leader',
  down_s: 3,
}));
const AROUND_A_SWITCH: readonly [name: string, troubles: readonly Trouble[]][] = [
  ...CRASHES.map((crash): [string, Trouble[]] => [`the leader ends at ${crash.at_s} s`, [crash]]),
  ['all end at once', [{ kind: 'controller_crash', at_s: 21.5, controller: 'all', down_s: 3 }]],
  ['the state service is out', [{ kind: 'state_outage', at_s: 19, for_s: 14 }]],
  ['the state service is slow', [{ kind: 'state_slow', at_s: 15, for_s: 20, times: 40 }]],
  ['the watch forgets', [20, 21, 22, 23].map((at_s): Trouble => ({ kind: 'watch_forgets', at_s }))],
  ['one stands still through it', [{ kind: 'controller_pause', at_s: 19, for_s: 12, controller: 1 }]],
  [
    'one sees nothing of it',
    [{ kind: 'controller_cut', at_s: 19, for_s: 25, controller: 2, from: 'state', manner: 'hold' }],
  ],
];

test('around a switch controllers and the state service fail: every rule is kept, and it comes about in the end', async () => {
  for (const [name, troubles] of AROUND_A_SWITCH) {
    const day = await mixed(shortDay(90, troubles), []);
    assert.equal(featureIn(day.state[STATE]), 'on', name);
  }
});

test('on its way back controllers fail: what was grouped is put back all the same', async () => {
  const burst: Trouble = { kind: 'burst', at_s: 35, for_s: 30, class: 'letters', times: 6 };
  const ways: readonly (readonly Trouble[])[] = [
    [{ kind: 'controller_crash', at_s: 60.3, controller: 'leader', down_s: 3 }],
    [{ kind: 'controller_crash', at_s: 60.6, controller: 'all', down_s: 3 }],
    [{ kind: 'state_outage', at_s: 60.4, for_s: 8 }],
  ];
  for (const troubles of ways) {
    const day = await mixed(shortDay(130, [burst, ...troubles]), [], { acts: [[60, wish('back')]] });
    assert.equal(featureIn(day.state[STATE]), 'off');
    for (const shard of SHARDS) assert.equal(day.state[`live/progress/${shard}`], undefined);
  }
});

test('an old controller that stood still through the whole rollout goes on with packets held', async () => {
  const troubles: Trouble[] = [
    roll('this', 30, { order: [0, 1], gap_s: 12 }),
    { kind: 'controller_cut', at_s: 24, for_s: 46, controller: 2, from: 'all', manner: 'hold' },
    { kind: 'controller_pause', at_s: 26, for_s: 40, controller: 2 },
    roll('this', 95, { order: [2] }),
  ];
  const day = await mixed(shortDay(160, troubles), [OLD, OLD, OLD]);
  const [on] = switches(day);
  assert.ok(on && on.time > 115, JSON.stringify(on));
});

test('the leader is old and the claimant new, and the other way round', async () => {
  for (const releases of [
    [OLD, 'this', 'this'],
    ['this', OLD, OLD],
  ]) {
    const crash = (at_s: number, controller: 'leader' | number): Trouble => ({
      ...{ kind: 'controller_crash', at_s, controller, down_s: 20 },
    });
    const day = await mixed(shortDay(150, [crash(40, 'leader'), crash(80, 1), crash(110, 'leader')]), releases);
    assert.ok(day.logs.some(({ msg }) => msg === 'claimed a shard'));
  }
});

/** Takes a shard over as a later release would: today's fields mean something else in it. */
const fromTheFuture = { v: 3, holder: 'node-1', incarnation: 'later', released: true, earlier: [], kinds: [] };

test('a record from the future is left alone, nobody leads meanwhile, and all goes on when it can be read again', async () => {
  let [before, during]: unknown[] = [];
  const key = 'live/shards/node-1';
  const day = await mixed(shortDay(150, []), [], {
    acts: [
      [40, (region) => (before = region.parts.state.get(key))],
      [40.01, (region) => region.parts.state.put(key, fromTheFuture)],
      [60, (region) => (during = [region.parts.state.get(key), region.leader])],
      [60.01, (region) => region.parts.state.put(key, { ...(before as object), released: true })],
    ],
  });
  assert.deepEqual(during, [fromTheFuture, undefined]);
  const alone = day.logs.filter(({ msg }) => msg.includes('it is left alone'));
  assert.equal(alone.length, 3);
  assert.ok(day.logs.some(({ msg, time }) => msg === 'claimed a shard' && time > 60));
});

/**
 * How a later format has to be written while such controllers may come back: under their key stands a shard that is
 * held for ever, by the life of a node that is no controller. See docs/rollout-design.md.
 */
test('an old controller leaves a shard alone that is sealed against it', async () => {
  const key = 'live/shards/node-1';
  const sealed = { v: 2, holder: 'sealed', incarnation: 'sealed', released: false, earlier: [], kinds: [] };
  for (const releases of [
    [OLD, OLD, OLD],
    [OLD, 'this', 'this'],
  ]) {
    let after: unknown;
    await mixed(shortDay(110, [{ kind: 'controller_crash', at_s: 60, controller: 'all' }]), releases, {
      acts: [
        [
          40,
          ({ parts }) => {
            parts.state.put('live/nodes/sealed', { incarnation: 'sealed' });
            parts.state.put(key, sealed);
          },
        ],
        [109, (region) => (after = region.parts.state.get(key))],
      ],
    });
    assert.deepEqual(after, sealed);
  }
});

test('fields of a later release in the records of shards and jobs outlive claims, moves and progress', async () => {
  const key = 'live/shards/node-1';
  let [jobs, kept]: [string[], string[]] = [[], []];
  const day = await mixed(shortDay(120, [roll('this', 60)]), [], {
    acts: [
      [
        50,
        ({ parts }) => {
          parts.state.put(key, { ...(parts.state.get(key) as object), later: { a: 1 } });
          jobs = parts.state.under('live/jobs/');
          for (const job of jobs) parts.state.put(job, { ...(parts.state.get(job) as object), later: 'b' });
        },
      ],
      [
        119,
        ({ parts }) => {
          kept = jobs.filter((job) => parts.state.get(job) !== undefined);
          for (const job of kept) assert.equal((parts.state.get(job) as { later?: string }).later, 'b', job);
        },
      ],
    ],
  });
  assert.deepEqual((day.state[key] as { later?: unknown }).later, { a: 1 });
  assert.ok(kept.length > 0);
});

test('drawn schedules of troubles with controllers of both releases keep every rule', async () => {
  const base = shortDay(150, []);
  await fc.assert(
    fc.asyncProperty(fc.integer({ min: 0, max: 2 ** 30 }), async (seed) => {
      const day = mixReleases(seed, { ...base, seed, troubles: drawSchedule(seed, base) }, OLD);
      const result = await played(day);
      assert.deepEqual([result.breaches, result.defects], [[], []]);
    }),
    { seed: 9, numRuns: 12, endOnFailure: true },
  );
});
