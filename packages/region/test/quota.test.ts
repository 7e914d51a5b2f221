import assert from 'node:assert/strict';
import { test } from 'node:test';
import { accountShardOf, decodeQuota, isZero, subtract, totalOf } from '../../../src/quota/index.js';
import { decodeShard } from '../../../src/membership/index.js';
import { shardName } from '../../../src/kernel/index.js';
import { Region, scaleScenario, type SimulationScenario, type Fault } from '../src/index.js';
import { playWithActions, shippedDay, shortDay } from './test-days.js';

const FEATURE = 'quota-shares';
const WISHES = 'live/rollout/wishes';
const QUOTAS = 'live/quotas/';
const SHARDS = 'live/shards/';

/** A short day on which both teams reach their limits, with quota shares allowed from the beginning. */
function sharedDay(durationS: number, faults: readonly Fault[], seed = 7): SimulationScenario {
  const day = shortDay(durationS, faults, seed);
  const limits = [
    { name: 'mail', cpus: 0, cpus_max: 60, gpus: 0, gpus_max: 0 },
    { name: 'atlas', cpus: 24, cpus_max: 48, gpus: 0, gpus_max: 6 },
  ];
  const classes = day.classes.map((c) => ({ ...c, initial: c.initial * 2, per_minute: c.per_minute * 2 }));
  return { ...day, teams: limits, classes, controllers: { ...day.controllers, allow: [FEATURE] } };
}

/** Checks that the shares in each stored quota record stay within the team's limit; returns the number of records. */
function countQuotaRecords({ parts, day }: Region): number {
  const stored = parts.state.under(QUOTAS);
  for (const key of stored) {
    const record = decodeQuota(parts.state.get(key));
    assert.ok(record && record !== 'foreign');
    const team = day.teams.find(({ name }) => key === `${QUOTAS}${name}`);
    assert.ok(team);
    const excess = subtract(totalOf(record), { cpus: team.cpus_max, gpus: team.gpus_max });
    assert.ok(isZero(excess), `${key} ${JSON.stringify([...record.shares])}`);
  }
  return stored.length;
}

/** Whether each stored shard record is sealed against earlier releases. */
const sealedFlags = ({ parts }: Region): boolean[] =>
  parts.state.under(SHARDS).map((key) => decodeShard(parts.state.get(key))?.sealed === true);

/** Stores an operator's request for the feature. */
const requestFeature = (region: Region, request: string): void =>
  region.parts.state.put(WISHES, {
    features: { [FEATURE]: { wish: request, at: region.dayStartWallMs + region.now } },
  });

/** Simulates a day with actions, and checks that no rule is violated, nothing fails and tasks start. */
async function playKeepingRules(
  day: SimulationScenario,
  actions: readonly (readonly [atS: number, action: (region: Region) => void])[],
): Promise<{ region: Region; result: ReturnType<Region['close']> }> {
  const region = await playWithActions({ day }, actions);
  const result = region.close();
  assert.deepEqual([result.breaches, result.defects, result.failures], [[], [], []]);
  assert.ok(result.classes.some(({ tasksStarted }) => tasksStarted > 20));
  return { region, result };
}

test('quota shares while controllers crash, the state service is unavailable and responses are lost: every rule is kept', async () => {
  const faults: Fault[] = [
    { kind: 'late_writes', at_s: 30, for_s: 40, share: 0.25 },
    { kind: 'controller_crash', at_s: 50, controller: 'leader' },
    { kind: 'state_outage', at_s: 80, for_s: 15 },
    { kind: 'controller_pause', at_s: 100, for_s: 9, controller: 0 },
    { kind: 'machines_hang', at_s: 70, for_s: 25, count: 3 },
    { kind: 'controller_crash', at_s: 125, controller: 'all' },
  ];
  let recordsSeen = 0;
  for (const seed of [3, 4]) {
    await playKeepingRules(
      sharedDay(190, faults, seed),
      [20, 40, 60, 90, 110, 140, 160].map(
        (atS) => [atS, (region) => (recordsSeen += countQuotaRecords(region))] as const,
      ),
    );
  }
  assert.ok(recordsSeen > 4, `${recordsSeen} records seen`);
});

test('after a rollback while quota shares are on, earlier releases hold no shard, and every rule is kept', async () => {
  for (const release of ['before-quotas', 'production', 'before-rollout']) {
    const rollback: Fault = { kind: 'rollout', at_s: 40, gap_s: 20, to: release, order: [0, 1], leave: false };
    const rollout: Fault = { kind: 'rollout', at_s: 110, gap_s: 15, to: 'this', order: [0, 1], leave: false };
    const holders: string[] = [];
    await playKeepingRules(sharedDay(190, [rollback, rollout], 5), [
      [39, (region) => assert.deepEqual(sealedFlags(region), [true, true, true])],
      [
        105,
        (region) => {
          assert.deepEqual(sealedFlags(region), [true, true, true]);
          for (const key of region.parts.state.under(SHARDS))
            holders.push(decodeShard(region.parts.state.get(key))?.holder ?? '');
        },
      ],
      [180, (region) => assert.deepEqual(sealedFlags(region), [true, true, true])],
    ]);
    assert.deepEqual([...new Set(holders)], ['node-2'], release);
  }
});

test('an operator reverts quota shares: jobs move to the shard with the team account, and earlier releases can serve again', async () => {
  const rollback: Fault = { kind: 'rollout', at_s: 110, gap_s: 18, to: 'production', leave: false };
  const { region } = await playKeepingRules(sharedDay(230, [rollback], 6), [
    [45, (r) => assert.deepEqual(sealedFlags(r), [true, true, true])],
    [50, (r) => requestFeature(r, 'back')],
    [
      105,
      (r) => {
        assert.equal(countQuotaRecords(r), 0);
        assert.deepEqual(sealedFlags(r), [false, false, false]);
      },
    ],
  ]);
  assert.equal(region.controllers.filter(({ release }) => release === 'production').length, 3);
});

test('a rollout from the previous release to this one and back, and the reverse, without quota shares', async () => {
  const withoutShares = (faults: readonly Fault[], releases: readonly string[]): SimulationScenario => {
    const day = sharedDay(170, faults, 8);
    return { ...day, controllers: { ...day.controllers, allow: [], releases: [...releases] } };
  };
  const PREVIOUS_RELEASE = 'before-quotas';
  const rolloutTo = (to: string, at_s: number, leave: boolean): Fault => ({
    kind: 'rollout',
    at_s,
    gap_s: 14,
    to,
    leave,
  });
  await playKeepingRules(
    withoutShares(
      [rolloutTo('this', 30, false), rolloutTo(PREVIOUS_RELEASE, 85, false)],
      [PREVIOUS_RELEASE, PREVIOUS_RELEASE, PREVIOUS_RELEASE],
    ),
    [],
  );
  await playKeepingRules(withoutShares([rolloutTo(PREVIOUS_RELEASE, 30, true), rolloutTo('this', 85, true)], []), []);
});

test('a team at its limit does not exceed it while cancelled tasks remain on hung machines', async () => {
  const faults: Fault[] = [
    { kind: 'cancel_now', at_s: 45, count: 6, hang_s: 20 },
    { kind: 'controller_crash', at_s: 48, controller: 'leader' },
    { kind: 'cancel_now', at_s: 80, count: 6, hang_s: 20 },
    { kind: 'rolling_restart', at_s: 85, gap_s: 10 },
  ];
  for (const seed of [1, 2]) {
    const day = sharedDay(150, faults, seed);
    const tightLimits = day.teams.map((team) => (team.name === 'mail' ? { ...team, cpus_max: 24 } : team));
    await playKeepingRules({ ...day, teams: tightLimits }, []);
  }
});

test('at an eighth of the planned size no job waits beside free resources because its team has its share on another shard', async () => {
  const fullSize = shippedDay('scale');
  const day = scaleScenario({ ...fullSize, duration_s: 200, quiet_end_s: 0, troubles: [] }, 0.125);
  const region = new Region({ day: { ...day, controllers: { ...day.controllers, allow: [FEATURE] } }, seed: 3 });
  await region.play(110);
  assert.ok(countQuotaRecords(region) > 10);
  await region.play();
  const result = region.close();
  assert.deepEqual([result.breaches, result.defects], [[], []]);
});

test('every controller computes the same account shard for a team, and accounts are spread over the shards', () => {
  const shards = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map(shardName);
  const accounts = Array.from({ length: 52 }, (_, i) => accountShardOf(`team-${i}`, shards));
  assert.ok(new Set(accounts).size >= 6);
  assert.equal(accountShardOf('team-1', shards), accountShardOf('team-1', [...shards]));
  assert.equal(accountShardOf('team-1', []), null);
});
