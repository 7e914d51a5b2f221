import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  answerGraceMs,
  leftoverForMs,
  unacknowledgedHolders,
  ownershipConfirmedAt,
  holderModeAt,
  startGraceMs,
} from '../src/carry/index.js';
import { incarnation, millis, nodeName, shardName, type Millis } from '../src/kernel/index.js';
import { Carrying, FACTS, type Fault, type LeftOut } from './standins/carrying.js';

const CHANGES_END_MS = 70_000;
const PLAYED_MS = 160_000;

/** Cuts, ends, pauses and outages that overlap; `node` is also whose machine is out of `other`'s reach. */
const faults: fc.Arbitrary<Fault[]> = fc.array(
  fc.record({
    at: fc.integer({ min: 5000, max: CHANGES_END_MS }),
    forMs: fc.oneof(fc.integer({ min: 50, max: 5000 }), fc.integer({ min: 5000, max: 80_000 })),
    kind: fc.constantFrom<Fault['kind']>(
      'refused',
      'refused',
      'outage',
      'outage',
      'apart',
      'end',
      'still',
      'out of reach',
    ),
    node: fc.integer({ min: 0, max: 2 }),
    other: fc.integer({ min: 0, max: 2 }),
  }),
  { minLength: 1, maxLength: 9 },
);

async function playedWith(
  leftOut: LeftOut,
  schedule: readonly Fault[],
  seed: number,
  untilMs = PLAYED_MS,
): Promise<Carrying> {
  const world = new Carrying(leftOut, schedule, seed);
  await world.play(untilMs);
  return world;
}

test('under random interleavings nothing runs on that a user was told is cancelled, and users are told in the end', async () => {
  await fc.assert(
    fc.asyncProperty(faults, fc.nat(), async (schedule, seed) => {
      const world = await playedWith('nothing', schedule, seed);
      assert.deepEqual(world.broken, []);
      const calmFrom = Math.max(8000, ...schedule.map(({ at, forMs }) => at + forMs));
      if (calmFrom < PLAYED_MS - 20_000) assert.equal(world.told.size, 3);
    }),
    { seed: 4, numRuns: 80, endOnFailure: true },
  );
});

/** A schedule for each guard of the argument, in which it alone stands between a word given and a broken rule. */
const NEEDED: Readonly<Record<Exclude<LeftOut, 'nothing'>, readonly Fault[]>> = {
  // The operators' gap.
  acknowledgement: [
    { kind: 'refused', at: 10_000, forMs: 14_000, node: 0, other: 0 },
    { kind: 'outage', at: 13_000, forMs: 70_000, node: 0, other: 0 },
  ],
  // The holder is cut off from all but a machine that nobody else reaches; another claims and gives its word.
  bound: [
    { kind: 'refused', at: 8000, forMs: 90_000, node: 0, other: 0 },
    ...[1, 2].flatMap((node): Fault[] => [
      { kind: 'apart', at: 8000, forMs: 90_000, node, other: 0 },
      { kind: 'out of reach', at: 8000, forMs: 90_000, node, other: 0 },
    ]),
    { kind: 'outage', at: 22_000, forMs: 76_000, node: 1, other: 1 },
  ],
  // The holder ends before it could tell its machine; its next life claims the shard in the last moment before the outage.
  'catching up': [
    { kind: 'out of reach', at: 8000, forMs: 9500, node: 1, other: 1 },
    { kind: 'end', at: 15_500, forMs: 1000, node: 1, other: 1 },
    { kind: 'outage', at: 16_600, forMs: 80_000, node: 1, other: 1 },
  ],
};

for (const leftOut of ['acknowledgement', 'bound', 'catching up'] as const) {
  test(`with every guard the schedule keeps the rule, without this one it is broken: ${leftOut}`, async () => {
    let [told, broken] = [0, 0];
    for (let seed = 1; seed <= 25; seed++) {
      const whole = await playedWith('nothing', NEEDED[leftOut], seed, 100_000);
      assert.deepEqual(whole.broken, []);
      told += whole.told.size;
      const without = await playedWith(leftOut, NEEDED[leftOut], seed, 100_000);
      if (without.broken.length > 0) broken += 1;
    }
    assert.ok(told >= 10, `only ${told} users were told: the schedule shows nothing`);
    assert.ok(broken > 0, 'left out, nothing broke');
  });
}

const at = (...moments: (number | null)[]): (Millis | null)[] => moments.map((m) => (m === null ? null : millis(m)));

test('a holder is reassured by its own lease or by a majority, whichever is later', () => {
  const lease = FACTS.nodeLeaseMs;
  assert.equal(ownershipConfirmedAt(millis(1000), at(null, null), lease), 1000);
  assert.equal(ownershipConfirmedAt(millis(1000), at(9000, null), lease), 5000, 'one of two others makes two of three');
  assert.equal(ownershipConfirmedAt(millis(7000), at(9000, null), lease), 7000);
  assert.equal(
    ownershipConfirmedAt(millis(0), at(9000, null, null, null), lease),
    0,
    'one other of four is no majority',
  );
  assert.equal(ownershipConfirmedAt(millis(0), at(9000, 20_000, null, null), lease), 5000, 'the second of two');
  assert.equal(
    ownershipConfirmedAt(millis(0), [], lease),
    Number.POSITIVE_INFINITY,
    'alone, nobody can take its shards',
  );
});

test('a holder that nobody reassures starts nothing, then answers nobody, in time for the workers’ leases', () => {
  const since = millis(100_000);
  const after = (ms: number) => holderModeAt(millis(since + ms), since, FACTS);
  assert.deepEqual([after(0), after(startGraceMs(FACTS)), after(startGraceMs(FACTS) + 1)], ['all', 'all', 'answers']);
  assert.equal(after(answerGraceMs(FACTS) + 1), 'nothing');
  // The earliest moment at which somebody else can have told a user, the workers' lease behind the last answer.
  const earliestToldMs = FACTS.nodeLeaseMs / 1.002;
  assert.ok(answerGraceMs(FACTS) + FACTS.leaseMs < earliestToldMs + FACTS.cancelMs);
  assert.ok(leftoverForMs(FACTS) + FACTS.leaseMs < FACTS.cancelMs);
  const tight = { cancelMs: 10_000, leaseMs: 18_000, nodeLeaseMs: 4000 };
  assert.ok(answerGraceMs(tight) > 0, 'settings that nobody can keep: it goes on for a while all the same');
});

test('who must still be told: holders whose life has neither heard, nor seen, nor ended', () => {
  const [self, other] = [nodeName('n-0'), nodeName('n-1')];
  const [now, before] = [incarnation('now'), incarnation('before')];
  const held = { shard: shardName('n-1'), holder: other, incarnation: now, released: false };
  const never = (): boolean => false;
  const lives = {
    ...{ self, mayAcknowledge: () => true },
    ...{ hasAcknowledged: never, watchHasReached: never, hasEnded: never },
  };
  assert.deepEqual(unacknowledgedHolders([held], lives), [{ shard: 'n-1', node: 'n-1' }]);
  assert.deepEqual(unacknowledgedHolders([{ ...held, released: true }], lives), []);
  assert.deepEqual(unacknowledgedHolders([{ ...held, holder: self, incarnation: before }], lives), []);
  assert.deepEqual(
    unacknowledgedHolders([held], { ...lives, mayAcknowledge: never }),
    [],
    'an earlier release only hears it',
  );
  for (const way of ['hasAcknowledged', 'watchHasReached', 'hasEnded'] as const) {
    const knows = { ...lives, [way]: (_node: unknown, life: unknown) => life === now };
    assert.deepEqual(unacknowledgedHolders([held], knows), []);
    assert.equal(
      unacknowledgedHolders([{ ...held, incarnation: before }], knows).length,
      1,
      'another life says nothing of it',
    );
  }
});
