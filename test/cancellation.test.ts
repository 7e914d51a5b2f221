import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  answerGraceMs,
  leftoverAnswerMs,
  unacknowledgedHolders,
  ownershipConfirmedAt,
  holderModeAt,
  startGraceMs,
} from '../src/cancellation/index.js';
import { incarnation, millis, nodeName, shardName, type Millis } from '../src/kernel/index.js';
import { SimulatedCluster, TIMINGS, type Fault, type OmittedGuard } from './standins/simulated-cluster.js';

const FAULTS_END_MS = 70_000;
const SIMULATED_MS = 160_000;

/**
 * Overlapping network partitions, crashes, pauses and outages. For `out of reach`, the controllers `node` and `other`
 * can't reach each other's machines.
 */
const faults: fc.Arbitrary<Fault[]> = fc.array(
  fc.record({
    at: fc.integer({ min: 5000, max: FAULTS_END_MS }),
    forMs: fc.oneof(fc.integer({ min: 50, max: 5000 }), fc.integer({ min: 5000, max: 80_000 })),
    kind: fc.constantFrom<Fault['kind']>(
      'refused',
      'refused',
      'outage',
      'outage',
      'partition',
      'crash',
      'pause',
      'out of reach',
    ),
    node: fc.integer({ min: 0, max: 2 }),
    other: fc.integer({ min: 0, max: 2 }),
  }),
  { minLength: 1, maxLength: 9 },
);

async function simulate(
  omittedGuard: OmittedGuard,
  schedule: readonly Fault[],
  seed: number,
  untilMs = SIMULATED_MS,
): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster(omittedGuard, schedule, seed);
  await cluster.run(untilMs);
  return cluster;
}

test('under random faults no task outlives a reported cancellation, and users are told in the end', async () => {
  await fc.assert(
    fc.asyncProperty(faults, fc.nat(), async (schedule, seed) => {
      const cluster = await simulate('nothing', schedule, seed);
      assert.deepEqual(cluster.violations, []);
      const faultsEndAtMs = Math.max(8000, ...schedule.map(({ at, forMs }) => at + forMs));
      if (faultsEndAtMs < SIMULATED_MS - 20_000) assert.equal(cluster.told.size, 3);
    }),
    { seed: 4, numRuns: 80, endOnFailure: true },
  );
});

/** For each guard of the proof, a schedule of faults in which only this guard prevents a violation. */
const SCHEDULES: Readonly<Record<Exclude<OmittedGuard, 'nothing'>, readonly Fault[]>> = {
  // The holder is refused by the state service, and then the state service fails altogether: without acknowledgements
  // the holder never learns of the cancellation that the user was told of.
  acknowledgement: [
    { kind: 'refused', at: 10_000, forMs: 14_000, node: 0, other: 0 },
    { kind: 'outage', at: 13_000, forMs: 70_000, node: 0, other: 0 },
  ],
  // The holder can reach only its machine, which nobody else reaches. Another node claims the shard and tells the user.
  deadline: [
    { kind: 'refused', at: 8000, forMs: 90_000, node: 0, other: 0 },
    ...[1, 2].flatMap((node): Fault[] => [
      { kind: 'partition', at: 8000, forMs: 90_000, node, other: 0 },
      { kind: 'out of reach', at: 8000, forMs: 90_000, node, other: 0 },
    ]),
    { kind: 'outage', at: 22_000, forMs: 76_000, node: 1, other: 1 },
  ],
  // The holder crashes before it could notify its machine. Its next incarnation claims the shard just before the
  // outage.
  'watch catch-up': [
    { kind: 'out of reach', at: 8000, forMs: 9500, node: 1, other: 1 },
    { kind: 'crash', at: 15_500, forMs: 1000, node: 1, other: 1 },
    { kind: 'outage', at: 16_600, forMs: 80_000, node: 1, other: 1 },
  ],
};

for (const omittedGuard of ['acknowledgement', 'deadline', 'watch catch-up'] as const) {
  test(`a schedule that causes no violation with all guards causes one without: ${omittedGuard}`, async () => {
    let [toldUsers, failedRuns] = [0, 0];
    for (let seed = 1; seed <= 25; seed++) {
      const guarded = await simulate('nothing', SCHEDULES[omittedGuard], seed, 100_000);
      assert.deepEqual(guarded.violations, []);
      toldUsers += guarded.told.size;
      const unguarded = await simulate(omittedGuard, SCHEDULES[omittedGuard], seed, 100_000);
      if (unguarded.violations.length > 0) failedRuns += 1;
    }
    assert.ok(toldUsers >= 10, `only ${toldUsers} users were told: too few for the schedule to prove anything`);
    assert.ok(failedRuns > 0, 'no violation without the guard');
  });
}

const times = (...moments: (number | null)[]): (Millis | null)[] => moments.map((m) => (m === null ? null : millis(m)));

test('ownership is confirmed by the own lease or by a majority, whichever is later', () => {
  const lease = TIMINGS.nodeLeaseMs;
  assert.equal(ownershipConfirmedAt(millis(1000), times(null, null), lease), 1000);
  assert.equal(
    ownershipConfirmedAt(millis(1000), times(9000, null), lease),
    5000,
    'one of two others makes a majority of three',
  );
  assert.equal(ownershipConfirmedAt(millis(7000), times(9000, null), lease), 7000);
  assert.equal(
    ownershipConfirmedAt(millis(0), times(9000, null, null, null), lease),
    0,
    'one of four others is no majority of five',
  );
  assert.equal(ownershipConfirmedAt(millis(0), times(9000, 20_000, null, null), lease), 5000, 'the second of two');
  assert.equal(
    ownershipConfirmedAt(millis(0), [], lease),
    Number.POSITIVE_INFINITY,
    'without other controllers nobody can claim its shards',
  );
});

test('an unconfirmed holder stops starts and then answers in time for the workers’ leases to expire', () => {
  const confirmedAt = millis(100_000);
  const modeAfter = (ms: number) => holderModeAt(millis(confirmedAt + ms), confirmedAt, TIMINGS);
  assert.deepEqual(
    [modeAfter(0), modeAfter(startGraceMs(TIMINGS)), modeAfter(startGraceMs(TIMINGS) + 1)],
    ['all', 'all', 'answers'],
  );
  assert.equal(modeAfter(answerGraceMs(TIMINGS) + 1), 'nothing');
  // The earliest time at which another node can have told a user, and the workers' lease after the last answer.
  const earliestToldMs = TIMINGS.nodeLeaseMs / 1.002;
  assert.ok(answerGraceMs(TIMINGS) + TIMINGS.leaseMs < earliestToldMs + TIMINGS.cancelMs);
  assert.ok(leftoverAnswerMs(TIMINGS) + TIMINGS.leaseMs < TIMINGS.cancelMs);
  const tight = { cancelMs: 10_000, leaseMs: 18_000, nodeLeaseMs: 4000 };
  assert.ok(
    answerGraceMs(tight) > 0,
    'with limits that are too tight to be met the holder still continues for a while',
  );
});

test('holders are unacknowledged unless their incarnation has acknowledged, has seen the end, or is over', () => {
  const [self, other] = [nodeName('n-0'), nodeName('n-1')];
  const [now, before] = [incarnation('now'), incarnation('before')];
  const held = { shard: shardName('n-1'), holder: other, incarnation: now, released: false };
  const never = (): boolean => false;
  const queries = {
    ...{ self, mayAcknowledge: () => true },
    ...{ hasAcknowledged: never, watchHasReached: never, hasEnded: never },
  };
  assert.deepEqual(unacknowledgedHolders([held], queries), [{ shard: 'n-1', node: 'n-1' }]);
  assert.deepEqual(unacknowledgedHolders([{ ...held, released: true }], queries), []);
  assert.deepEqual(unacknowledgedHolders([{ ...held, holder: self, incarnation: before }], queries), []);
  assert.deepEqual(
    unacknowledgedHolders([held], { ...queries, mayAcknowledge: never }),
    [],
    'an earlier release is only notified',
  );
  for (const query of ['hasAcknowledged', 'watchHasReached', 'hasEnded'] as const) {
    const answered = { ...queries, [query]: (_node: unknown, of: unknown) => of === now };
    assert.deepEqual(unacknowledgedHolders([held], answered), []);
    assert.equal(
      unacknowledgedHolders([{ ...held, incarnation: before }], answered).length,
      1,
      'another incarnation proves nothing',
    );
  }
});
