import assert from 'node:assert/strict';
import { test } from 'node:test';
import { accountShardOf, decodeQuota, isZero, subtract, totalOf } from '../../../src/quota/index.js';
import { decodeShard } from '../../../src/membership/index.js';
import { shardName } from '../../../src/kernel/index.js';
import { Region, scaledDay, type Day, type Trouble } from '../src/index.js';
import { playedThrough, shippedDay, shortDay } from './days.js';

const FEATURE = 'quota-shares';
const WISHES = 'live/rollout/wishes';
const QUOTAS = 'live/quotas/';
const SHARDS = 'live/shards/';

/** A short day on which both teams have limits that bind, and limits are shared from its beginning. */
function sharedDay(durationS: number, troubles: readonly Trouble[], seed = 7): Day {
  const day = shortDay(durationS, troubles, seed);
  const limits = [
    { name: 'mail', cpus: 0, cpus_max: 60, gpus: 0, gpus_max: 0 },
    { name: 'atlas', cpus: 24, cpus_max: 48, gpus: 0, gpus_max: 6 },
  ];
  const classes = day.classes.map((c) => ({ ...c, initial: c.initial * 2, per_minute: c.per_minute * 2 }));
  return { ...day, teams: limits, classes, controllers: { ...day.controllers, allow: [FEATURE] } };
}

/** Every stored record of shares, checked to be no more than the limit. */
function sharesIn({ parts, day }: Region): number {
  const stored = parts.state.under(QUOTAS);
  for (const key of stored) {
    const record = decodeQuota(parts.state.get(key));
    assert.ok(record && record !== 'foreign');
    const team = day.teams.find(({ name }) => key === `${QUOTAS}${name}`);
    assert.ok(team);
    const beyond = subtract(totalOf(record), { cpus: team.cpus_max, gpus: team.gpus_max });
    assert.ok(isZero(beyond), `${key} ${JSON.stringify([...record.shares])}`);
  }
  return stored.length;
}

const sealedIn = ({ parts }: Region): boolean[] =>
  parts.state.under(SHARDS).map((key) => decodeShard(parts.state.get(key))?.sealed === true);

const wish = (region: Region, what: string): void =>
  region.parts.state.put(WISHES, { features: { [FEATURE]: { wish: what, at: region.wallAt0 + region.now } } });

async function playThrough(
  day: Day,
  acts: readonly (readonly [atS: number, act: (region: Region) => void])[],
): Promise<{ region: Region; result: ReturnType<Region['close']> }> {
  const region = await playedThrough({ day }, acts);
  const result = region.close();
  assert.deepEqual([result.breaches, result.defects, result.failures], [[], [], []]);
  assert.ok(result.classes.some(({ tasksStarted }) => tasksStarted > 20));
  return { region, result };
}

test('limits are shared while controllers end, the state service is out and answers are lost: every rule is kept', async () => {
  const troubles: Trouble[] = [
    { kind: 'late_writes', at_s: 30, for_s: 40, share: 0.25 },
    { kind: 'controller_crash', at_s: 50, controller: 'leader' },
    { kind: 'state_outage', at_s: 80, for_s: 15 },
    { kind: 'controller_pause', at_s: 100, for_s: 9, controller: 0 },
    { kind: 'machines_hang', at_s: 70, for_s: 25, count: 3 },
    { kind: 'controller_crash', at_s: 125, controller: 'all' },
  ];
  let shared = 0;
  for (const seed of [3, 4]) {
    await playThrough(
      sharedDay(190, troubles, seed),
      [20, 40, 60, 90, 110, 140, 160].map((atS) => [atS, (region) => (shared += sharesIn(region))] as const),
    );
  }
  assert.ok(shared > 4, `${shared} records seen`);
});

test('earlier releases that come back while limits are shared hold nothing, and every rule is kept', async () => {
  for (const release of ['before-quotas', 'production', 'before-rollout']) {
    const back: Trouble = { kind: 'rollout', at_s: 40, gap_s: 20, to: release, order: [0, 1], leave: false };
    const again: Trouble = { kind: 'rollout', at_s: 110, gap_s: 15, to: 'this', order: [0, 1], leave: false };
    const held: string[] = [];
    await playThrough(sharedDay(190, [back, again], 5), [
      [39, (region) => assert.deepEqual(sealedIn(region), [true, true, true])],
      [
        105,
        (region) => {
          assert.deepEqual(sealedIn(region), [true, true, true]);
          for (const key of region.parts.state.under(SHARDS))
            held.push(decodeShard(region.parts.state.get(key))?.holder ?? '');
        },
      ],
      [180, (region) => assert.deepEqual(sealedIn(region), [true, true, true])],
    ]);
    assert.deepEqual([...new Set(held)], ['node-2'], release);
  }
});

test('an operator takes the shares back: work goes to where the account is, and earlier releases serve after that', async () => {
  const roll: Trouble = { kind: 'rollout', at_s: 110, gap_s: 18, to: 'production', leave: false };
  const { region } = await playThrough(sharedDay(230, [roll], 6), [
    [45, (r) => assert.deepEqual(sealedIn(r), [true, true, true])],
    [50, (r) => wish(r, 'back')],
    [
      105,
      (r) => {
        assert.equal(sharesIn(r), 0);
        assert.deepEqual(sealedIn(r), [false, false, false]);
      },
    ],
  ]);
  assert.equal(region.controllers.filter(({ release }) => release === 'production').length, 3);
});

test('a roll from the last landing to this one and back, and the other way round, while limits are not shared', async () => {
  const plain = (troubles: readonly Trouble[], releases: readonly string[]): Day => {
    const day = sharedDay(170, troubles, 8);
    return { ...day, controllers: { ...day.controllers, allow: [], releases: [...releases] } };
  };
  const LAST = 'before-quotas';
  const roll = (to: string, at_s: number, leave: boolean): Trouble => ({ kind: 'rollout', at_s, gap_s: 14, to, leave });
  await playThrough(plain([roll('this', 30, false), roll(LAST, 85, false)], [LAST, LAST, LAST]), []);
  await playThrough(plain([roll(LAST, 30, true), roll('this', 85, true)], []), []);
});

test('a team at its limit starts nothing beyond it while cancelled tasks stay on machines that hang', async () => {
  const troubles: Trouble[] = [
    { kind: 'cancel_now', at_s: 45, count: 6, hang_s: 20 },
    { kind: 'controller_crash', at_s: 48, controller: 'leader' },
    { kind: 'cancel_now', at_s: 80, count: 6, hang_s: 20 },
    { kind: 'rolling_restart', at_s: 85, gap_s: 10 },
  ];
  for (const seed of [1, 2]) {
    const day = sharedDay(150, troubles, seed);
    const tight = day.teams.map((team) => (team.name === 'mail' ? { ...team, cpus_max: 24 } : team));
    await playThrough({ ...day, teams: tight }, []);
  }
});

test('at an eighth of the planned size no job is left waiting beside room because its team is elsewhere', async () => {
  const whole = shippedDay('scale');
  const day = scaledDay({ ...whole, duration_s: 200, quiet_end_s: 0, troubles: [] }, 0.125);
  const region = new Region({ day: { ...day, controllers: { ...day.controllers, allow: [FEATURE] } }, seed: 3 });
  await region.play(110);
  assert.ok(sharesIn(region) > 10);
  await region.play();
  const result = region.close();
  assert.deepEqual([result.breaches, result.defects], [[], []]);
});

test('the account of a team is the same for every controller, and spread over the shards', () => {
  const shards = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map(shardName);
  const accounts = Array.from({ length: 52 }, (_, i) => accountShardOf(`team-${i}`, shards));
  assert.ok(new Set(accounts).size >= 6);
  assert.equal(accountShardOf('team-1', shards), accountShardOf('team-1', [...shards]));
  assert.equal(accountShardOf('team-1', []), null);
});
