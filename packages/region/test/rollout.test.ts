import assert from 'node:assert/strict';
import { copyFileSync, mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import fc from 'fast-check';
import { drawFaultSchedule, drawReleaseMix } from '../src/hunt/index.js';
import {
  Region,
  ReleaseError,
  ReleaseCatalog,
  type SimulationScenario,
  type DayResult,
  type Fault,
} from '../src/index.js';
import { playWithActions, playDay, shortDay } from './test-days.js';

/** The last release before controllers of different releases could run together. Every later release runs beside it. */
const OLD_RELEASE = 'before-rollout';
const RELEASES_DIR = 'packages/region/frozen';

/** What a day with controllers of several releases left behind. */
interface MixedDay {
  readonly result: DayResult;
  readonly events: readonly string[];
  readonly logs: readonly { readonly msg: string; readonly node: string; readonly time: number }[];
  /** Stored values of `WATCHED_KEYS` at the end of the day, by key. */
  readonly state: Readonly<Record<string, unknown>>;
}

/** Options of `playMixed`. */
interface MixedOptions {
  /** Actions on the region at moments of the day, in seconds. */
  readonly actions?: readonly (readonly [atS: number, action: (region: Region) => void])[];
}

/** Simulates a day with controllers that start as these releases; checks that no rule is violated and no frame refused. */
async function playMixed(
  day: SimulationScenario,
  releases: readonly string[],
  { actions = [] }: MixedOptions = {},
): Promise<MixedDay> {
  const events: string[] = [];
  const logs: string[] = [];
  const options = {
    day: { ...day, controllers: { ...day.controllers, releases: [...releases] } },
    event: (line: string) => events.push(line),
    controllerLog: { level: 'info', write: (line: string) => logs.push(line) },
  };
  const region = await playWithActions(options, actions);
  const state = Object.fromEntries(WATCHED_KEYS.map((key) => [key, region.parts.state.get(key)]));
  const result = region.close();
  assert.deepEqual([result.breaches, result.defects], [[], []]);
  assert.ok(result.classes.some(({ tasksStarted }) => tasksStarted > 10));
  const logRecords = logs.map((line) => JSON.parse(line) as MixedDay['logs'][number]);
  assert.deepEqual(
    logRecords.filter(({ msg }) => msg.includes('frame')),
    [],
  );
  return { result, events, logs: logRecords, state };
}

const SHARDS = ['node-0', 'node-1', 'node-2'];
const FEATURE = 'grouped-progress';
const ROLLOUT_STATE = 'live/rollout/state';
const WISHES = 'live/rollout/wishes';
const WATCHED_KEYS = [ROLLOUT_STATE, ...SHARDS.flatMap((shard) => [`live/shards/${shard}`, `live/progress/${shard}`])];

/** The stored state of the feature; undefined if none is stored. */
const storedFeatureState = (state: unknown): string | undefined =>
  (state as { features?: Record<string, { state: string }> } | undefined)?.features?.[FEATURE]?.state;
/** An action that stores an operator's request for the feature. */
const requestFeature = (request: string) => (region: Region) =>
  region.parts.state.put(WISHES, {
    features: { [FEATURE]: { wish: request, at: region.dayStartWallMs + region.now } },
  });
/** The logged switches of a feature: the state it was switched to, and when. */
const loggedSwitches = ({ logs }: MixedDay, feature = FEATURE): { readonly to: string; readonly time: number }[] =>
  logs.filter(
    (line) => line.msg === 'a feature of the rollout is switched' && (line as { feature?: string }).feature === feature,
  ) as never;

/** A rollout to a release, from `at_s` on. */
const rolloutTo = (to: string, at_s: number, options: Partial<Extract<Fault, { kind: 'rollout' }>> = {}): Fault => ({
  kind: 'rollout',
  at_s,
  gap_s: 18,
  to,
  leave: false,
  ...options,
});

test('a frozen controller that was modified or does not exist is refused with an error that names it', () => {
  const dir = mkdtempSync(join(tmpdir(), 'frozen-'));
  copyFileSync(join(RELEASES_DIR, `${OLD_RELEASE}.cjs.br`), join(dir, `${OLD_RELEASE}.cjs.br`));
  const manifest = JSON.parse(readFileSync(join(RELEASES_DIR, 'releases.json'), 'utf8')) as Record<string, object>;
  writeFileSync(
    join(dir, 'releases.json'),
    JSON.stringify({ [OLD_RELEASE]: { ...manifest[OLD_RELEASE], sha256: 'f'.repeat(64) } }),
  );
  assert.throws(
    () => new ReleaseCatalog(dir).get(OLD_RELEASE),
    /before-rollout\.cjs\.br has been modified: its checksum differs/,
  );
  assert.throws(() => new ReleaseCatalog(dir).get('other'), ReleaseError);
  assert.throws(() => new Region({ day: shortDay(10, [rolloutTo('other', 1)]) }), /no release of the name other/);
});

/** The names of started controllers, with their release unless it is this one. */
const startsIn = ({ events }: MixedDay): string[] =>
  events.filter((line) => line.includes(' starts ')).map((line) => line.split(' starts ')[1]?.trim() ?? '');

test('a rollout from the old release to this one and back, by killing controllers: every rule is kept, no frame refused', async () => {
  const day = await playMixed(
    shortDay(190, [rolloutTo('this', 30), rolloutTo(OLD_RELEASE, 85, { order: [2, 0, 1] })]),
    [OLD_RELEASE, OLD_RELEASE, OLD_RELEASE],
  );
  const starts = startsIn(day);
  assert.equal(starts.filter((what) => what.endsWith(` as ${OLD_RELEASE}`)).length, 6);
  assert.equal(starts.length, 9);
  // All controllers run this release for only fifteen seconds, which is too short for switching the feature on.
  assert.deepEqual(loggedSwitches(day), []);
});

test('a rollback from this release to the old one, leaving first, and a rollout from the old one to this one', async () => {
  const faults = [
    rolloutTo(OLD_RELEASE, 30, { leave: true, order: [1, 2, 0] }),
    rolloutTo('this', 100, { leave: true }),
  ];
  const day = await playMixed(shortDay(190, faults), []);
  assert.equal(startsIn(day).length, 9);
  // The old release does not know the leave request, so its controllers are killed.
  assert.equal(day.events.filter((line) => line.includes(' leaves ')).length, 3);
  const handovers = day.logs.filter(({ msg }) => msg === 'giving a shard up');
  assert.ok(handovers.length >= 3);
});

test('a planned replacement leaves a shard without a holder for less than a second; a kill leaves it so until the lease expires', async () => {
  const longestGapS = async (leave: boolean): Promise<number> => {
    const region = new Region({ day: shortDay(60, [rolloutTo('this', 30, { order: [1], leave })]) });
    let [longest, gap] = [0, 0];
    for (let t = 29; t < 50; t += 0.05) {
      await region.play(t);
      const record = region.parts.state.get('live/shards/node-1') as { holder: string; released: boolean };
      const up = region.controllers.find(({ spec }) => spec.name === record.holder)?.process?.running === true;
      gap = up && !record.released ? 0 : gap + 0.05;
      longest = Math.max(longest, gap);
    }
    assert.deepEqual(region.close().breaches, []);
    return longest;
  };
  const [planned, killed] = [await longestGapS(true), await longestGapS(false)];
  assert.ok(planned < 1, `${planned} s`);
  assert.ok(killed > 3, `${killed} s`);
});

test('the feature stays off while one controller is old, goes on once it is replaced, and stays on when an old one returns', async () => {
  const faults = [rolloutTo('this', 40, { order: [2] }), rolloutTo(OLD_RELEASE, 100, { order: [1] })];
  const day = await playMixed(shortDay(200, faults), ['this', 'this', OLD_RELEASE]);
  const [first, ...rest] = loggedSwitches(day);
  assert.ok(first && first.to === 'on' && first.time > 60 && first.time < 75, JSON.stringify(first));
  assert.deepEqual(rest, []);
  assert.equal(storedFeatureState(day.state[ROLLOUT_STATE]), 'on');
});

test('the feature goes on by itself; after an operator reverts it, what it stored is in the jobs’ own records', async () => {
  const busy = shortDay(150, [{ kind: 'burst', at_s: 45, for_s: 60, class: 'letters', times: 6 }]);
  let [grouped, afterRevert] = [0, 0];
  const countGroupRecords = (region: Region): number =>
    SHARDS.filter((shard) => region.parts.state.get(`live/progress/${shard}`) !== undefined).length;
  const day = await playMixed(busy, [], {
    actions: [
      [80, (region) => (grouped = countGroupRecords(region))],
      [81, requestFeature('back')],
      [100, (region) => (afterRevert = countGroupRecords(region))],
    ],
  });
  assert.ok(grouped > 0);
  assert.equal(afterRevert, 0);
  assert.deepEqual(
    loggedSwitches(day).map(({ to }) => to),
    ['on', 'returning', 'off'],
  );
});

test('the feature stays off while an operator holds it, and goes on once it is allowed', async () => {
  const later = { state: 'on', since: 1, more: 'than this release knows' };
  const actions = [
    [1, requestFeature('hold')],
    [5, ({ parts }: Region) => parts.state.put(ROLLOUT_STATE, { features: { later } })],
    [70, requestFeature('allow')],
  ] as const;
  const day = await playMixed(shortDay(90, []), [], { actions });
  const [only, ...rest] = loggedSwitches(day);
  assert.ok(only && only.time > 70);
  assert.deepEqual(rest, []);
  // The state of a later release's feature is kept, and each controller logs once that it does not support the feature.
  assert.equal(day.logs.filter(({ msg }) => msg === 'features are on that this release lacks').length, 3);
  assert.deepEqual((day.state[ROLLOUT_STATE] as { features: { later: unknown } }).features.later, later);
});

const CRASHES = [19.8, 20.4, 21, 21.6, 22.2, 23].map((at_s): Fault => ({
  kind: 'controller_crash',
  at_s,
  controller: 'leader',
  down_s: 3,
}));
const FAULTS_AROUND_SWITCH: readonly [name: string, faults: readonly Fault[]][] = [
  ...CRASHES.map((crash): [string, Fault[]] => [`the leader crashes at ${crash.at_s} s`, [crash]]),
  ['all crash at once', [{ kind: 'controller_crash', at_s: 21.5, controller: 'all', down_s: 3 }]],
  ['the state service is unavailable', [{ kind: 'state_outage', at_s: 19, for_s: 14 }]],
  ['the state service is slow', [{ kind: 'state_slow', at_s: 15, for_s: 20, times: 40 }]],
  ['the watch loses its history', [20, 21, 22, 23].map((at_s): Fault => ({ kind: 'watch_forgets', at_s }))],
  ['one is paused during the switch', [{ kind: 'controller_pause', at_s: 19, for_s: 12, controller: 1 }]],
  [
    'one is cut off from the state service during the switch',
    [{ kind: 'controller_cut', at_s: 19, for_s: 25, controller: 2, from: 'state', manner: 'hold' }],
  ],
];

test('controllers and the state service fail around a switch: every rule is kept, and the feature ends up on', async () => {
  for (const [name, faults] of FAULTS_AROUND_SWITCH) {
    const day = await playMixed(shortDay(90, faults), []);
    assert.equal(storedFeatureState(day.state[ROLLOUT_STATE]), 'on', name);
  }
});

test('controllers or the state service fail while the feature is reverted: grouped records are still moved back', async () => {
  const burst: Fault = { kind: 'burst', at_s: 35, for_s: 30, class: 'letters', times: 6 };
  const faultLists: readonly (readonly Fault[])[] = [
    [{ kind: 'controller_crash', at_s: 60.3, controller: 'leader', down_s: 3 }],
    [{ kind: 'controller_crash', at_s: 60.6, controller: 'all', down_s: 3 }],
    [{ kind: 'state_outage', at_s: 60.4, for_s: 8 }],
  ];
  for (const faults of faultLists) {
    const day = await playMixed(shortDay(130, [burst, ...faults]), [], { actions: [[60, requestFeature('back')]] });
    assert.equal(storedFeatureState(day.state[ROLLOUT_STATE]), 'off');
    for (const shard of SHARDS) assert.equal(day.state[`live/progress/${shard}`], undefined);
  }
});

test('an old controller that is paused and cut off during the whole rollout continues afterwards', async () => {
  const faults: Fault[] = [
    rolloutTo('this', 30, { order: [0, 1], gap_s: 12 }),
    { kind: 'controller_cut', at_s: 24, for_s: 46, controller: 2, from: 'all', manner: 'hold' },
    { kind: 'controller_pause', at_s: 26, for_s: 40, controller: 2 },
    rolloutTo('this', 95, { order: [2] }),
  ];
  const day = await playMixed(shortDay(160, faults), [OLD_RELEASE, OLD_RELEASE, OLD_RELEASE]);
  const [switchedOn] = loggedSwitches(day);
  assert.ok(switchedOn && switchedOn.time > 115, JSON.stringify(switchedOn));
});

test('shards are claimed when the leader is old and the claimant new, and the reverse', async () => {
  for (const releases of [
    [OLD_RELEASE, 'this', 'this'],
    ['this', OLD_RELEASE, OLD_RELEASE],
  ]) {
    const crash = (at_s: number, controller: 'leader' | number): Fault => ({
      ...{ kind: 'controller_crash', at_s, controller, down_s: 20 },
    });
    const day = await playMixed(shortDay(150, [crash(40, 'leader'), crash(80, 1), crash(110, 'leader')]), releases);
    assert.ok(day.logs.some(({ msg }) => msg === 'claimed a shard'));
  }
});

/** A shard record as a later release could write it, in which the fields have another meaning than in this release. */
const laterFormatRecord = { v: 3, holder: 'node-1', incarnation: 'later', released: true, earlier: [], kinds: [] };

test('a record of a later format is left unchanged, nobody leads meanwhile, and work resumes once it is readable again', async () => {
  let [before, during]: unknown[] = [];
  const key = 'live/shards/node-1';
  const day = await playMixed(shortDay(150, []), [], {
    actions: [
      [40, (region) => (before = region.parts.state.get(key))],
      [40.01, (region) => region.parts.state.put(key, laterFormatRecord)],
      [60, (region) => (during = [region.parts.state.get(key), region.leader])],
      [60.01, (region) => region.parts.state.put(key, { ...(before as object), released: true })],
    ],
  });
  assert.deepEqual(during, [laterFormatRecord, undefined]);
  const unreadableLogs = day.logs.filter(({ msg }) => msg.includes('it is left alone'));
  assert.equal(unreadableLogs.length, 3);
  assert.ok(day.logs.some(({ msg, time }) => msg === 'claimed a shard' && time > 60));
});

/**
 * A later format has to be written in this way while controllers of the old release may come back: the old key keeps
 * the record of a shard that is held forever, by the incarnation of a node that is no controller. See
 * docs/rollout-design.md.
 */
test('an old controller does not change a shard that is sealed against it', async () => {
  const key = 'live/shards/node-1';
  const sealed = { v: 2, holder: 'sealed', incarnation: 'sealed', released: false, earlier: [], kinds: [] };
  for (const releases of [
    [OLD_RELEASE, OLD_RELEASE, OLD_RELEASE],
    [OLD_RELEASE, 'this', 'this'],
  ]) {
    let after: unknown;
    await playMixed(shortDay(110, [{ kind: 'controller_crash', at_s: 60, controller: 'all' }]), releases, {
      actions: [
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

test('fields of a later release in shard and job records survive claims, moves and progress updates', async () => {
  const key = 'live/shards/node-1';
  let [jobs, remaining]: [string[], string[]] = [[], []];
  const day = await playMixed(shortDay(120, [rolloutTo('this', 60)]), [], {
    actions: [
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
          remaining = jobs.filter((job) => parts.state.get(job) !== undefined);
          for (const job of remaining) assert.equal((parts.state.get(job) as { later?: string }).later, 'b', job);
        },
      ],
    ],
  });
  assert.deepEqual((day.state[key] as { later?: unknown }).later, { a: 1 });
  assert.ok(remaining.length > 0);
});

test('random fault schedules with controllers of both releases keep every rule', async () => {
  const base = shortDay(150, []);
  await fc.assert(
    fc.asyncProperty(fc.integer({ min: 0, max: 2 ** 30 }), async (seed) => {
      const day = drawReleaseMix(seed, { ...base, seed, troubles: drawFaultSchedule(seed, base) }, OLD_RELEASE);
      const result = await playDay(day);
      assert.deepEqual([result.breaches, result.defects], [[], []]);
    }),
    { seed: 9, numRuns: 12, endOnFailure: true },
  );
});
