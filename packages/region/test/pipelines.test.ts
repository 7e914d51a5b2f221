import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { drawFaultSchedule, drawReleaseMix } from '../src/hunt/index.js';
import { Region, type SimulationScenario, type DayResult, type Fault } from '../src/index.js';
import { playWithActions, shippedDay } from './test-days.js';

const SHARDS = ['node-0', 'node-1', 'node-2'].map((name) => `live/shards/${name}`);
const LIMIT_DROP: Fault = { kind: 'state_limits', at_s: 45 };

/** The day `chain` with another duration and faults, and with pipelines that arrive from 15 s on. */
function chainDay(durationS: number, faults: readonly Fault[], releases: readonly string[] = []): SimulationScenario {
  const day = shippedDay('chain');
  return {
    ...day,
    ...{ duration_s: durationS, quiet_end_s: 70, troubles: [...faults] },
    controllers: { ...day.controllers, releases: [...releases] },
    pipelines: day.pipelines.map((p) => ({ ...p, start_s: 15, per_minute: 10 })),
  };
}

/** The same day with so many machines that a shard's record exceeds the state service's value limit after the drop. */
const withLargeFleet = (day: SimulationScenario): SimulationScenario => ({
  ...day,
  state: { ...day.state, next: { write_rps: 20, value_kb: 1, txn_ops: 5 } },
  capacity: day.capacity.map((c) => (c.type === 'desk' ? { ...c, ordinary: 80 } : c)),
  machines: day.machines.map((m) => (m.type === 'desk' ? { ...m, count: 70 } : m)),
});

/** The result of a day, its region, which is closed, and the controllers' log records. */
interface PlayedDay {
  readonly result: DayResult;
  readonly region: Region;
  readonly logs: readonly { readonly msg: string; readonly time: number; readonly node: string }[];
}

/** Simulates a day with actions and checks that no rule is violated and that shard records have the expected version. */
async function playKeepingRules(
  day: SimulationScenario,
  actions: readonly (readonly [number, (region: Region) => void])[] = [],
): Promise<PlayedDay> {
  const logs: string[] = [];
  const controllerLog = { level: 'info', write: (line: string) => logs.push(line) };
  const region = await playWithActions({ day, controllerLog }, actions);
  const stored = SHARDS.map((key) => region.parts.state.get(key) as { readonly v?: number });
  const result = region.close();
  assert.deepEqual([result.breaches, result.defects], [[], []]);
  for (const { v = 1 } of stored) assert.equal(v, day.troubles.some(({ kind }) => kind === 'state_limits') ? 2 : 1);
  return { result, region, logs: logs.map((line) => JSON.parse(line) as PlayedDay['logs'][number]) };
}

/** Number of completed jobs of a class. */
const doneOf = ({ result }: PlayedDay, name: string): number => result.classes.find((c) => c.name === name)?.done ?? 0;

test('the day `chain`: after a rollout from production to this release the limits drop, and every pipeline continues', async () => {
  // Controllers notice the drop only when a write is refused, so the limits are low enough that some write is refused.
  const chain = shippedDay('chain');
  const state = { ...chain.state, next: { write_rps: 6, value_kb: 2, txn_ops: 5 } };
  let done = 0;
  for (const seed of [chain.seed, 14]) {
    const day = await playKeepingRules({ ...chain, state, seed });
    done += doneOf(day, 'close');
    assert.equal(day.result.classes.find(({ name }) => name === 'close')?.open, 0, `seed ${seed}`);
    const noticed = day.logs.filter(({ msg }) => msg === "the state service's lower limits are in force");
    assert.equal(noticed.length, 3, `seed ${seed}`);
    assert.ok(day.logs.some(({ msg }) => msg === 'job cancelled with a job that it needs'));
    assert.equal(day.logs.filter(({ msg }) => msg === "a shard's machines are in pages now").length, 3);
    // No submission is refused once all controllers run this release; the last one is back at 64 s.
    assert.equal(
      day.result.classes.reduce((sum, { refused }) => sum + refused, 0),
      0,
    );
  }
  assert.ok(done >= 30, String(done));
});

const FAULTS_AROUND_LIMIT_DROP: readonly [name: string, faults: readonly Fault[]][] = [
  ['the leader crashes', [{ kind: 'controller_crash', at_s: 45.2, controller: 'leader' }]],
  [
    'one crashes just before the drop, and its shard is taken over after it',
    [{ kind: 'controller_crash', at_s: 44, controller: 1, down_s: 30 }],
  ],
  ['all crash before the drop and restart after it', [{ kind: 'controller_crash', at_s: 43, controller: 'all' }]],
  ['all crash while records are rewritten', [{ kind: 'controller_crash', at_s: 46.5, controller: 'all' }]],
  ['the state service is unavailable', [{ kind: 'state_outage', at_s: 40, for_s: 12 }]],
  ['the state service is slow', [{ kind: 'state_slow', at_s: 43, for_s: 20, times: 40 }]],
  ['one is paused during the drop', [{ kind: 'controller_pause', at_s: 40, for_s: 15, controller: 2 }]],
  [
    'one is cut off during the drop, and its packets are held',
    [{ kind: 'controller_cut', at_s: 37, for_s: 30, controller: 0, from: 'all', manner: 'hold' }],
  ],
];

test('controllers and the state service fail around the drop of the limits: every rule is kept, all shards end up in pages', async () => {
  for (const [name, faults] of FAULTS_AROUND_LIMIT_DROP) {
    const day = await playKeepingRules(
      withLargeFleet(
        chainDay(
          170,
          [...faults, LIMIT_DROP].sort((a, b) => a.at_s - b.at_s),
        ),
      ),
    );
    assert.ok(doneOf(day, 'close') >= 3, `${name}: ${doneOf(day, 'close')}`);
  }
});

test('while jobs wait for dependencies: holders crash between a completion and the next start, machines die, a controller is cut off', async () => {
  const faults: Fault[] = [
    { kind: 'controller_crash', at_s: 40, controller: 0 },
    { kind: 'controller_crash', at_s: 55, controller: 'all' },
    { kind: 'machines_die', at_s: 70, share: 0.3 },
    { kind: 'controller_cut', at_s: 80, for_s: 25, controller: 1, from: 'state', manner: 'hold' },
    { kind: 'state_outage', at_s: 115, for_s: 15 },
  ];
  const day = await playKeepingRules(chainDay(240, faults));
  assert.ok(doneOf(day, 'close') >= 5, String(doneOf(day, 'close')));
});

test('a rollback to earlier releases while jobs wait for dependencies: none starts too early, and none is forgotten', async () => {
  for (const old of ['production', 'before-rollout']) {
    const rolloutTo = (to: string, at_s: number): Fault => ({ kind: 'rollout', at_s, gap_s: 12, to, leave: false });
    // Earlier releases do not accept jobs with dependencies, so all pipelines arrive before the rollback.
    const day = chainDay(260, [rolloutTo(old, 45), rolloutTo('this', 110)]);
    const early = { ...day, pipelines: day.pipelines.map((p) => ({ ...p, per_minute: 0, initial: 12, late: 0 })) };
    const played = await playKeepingRules(early);
    assert.ok(doneOf(played, 'close') >= 8, `${old}: ${doneOf(played, 'close')}`);
  }
});

test('random fault schedules with the production release, pipelines and dropping limits keep every rule', async () => {
  await fc.assert(
    fc.asyncProperty(fc.integer({ min: 0, max: 2 ** 30 }), async (seed) => {
      // Pipelines arrive only after all controllers run this release.
      const early = chainDay(150, []);
      const base = { ...early, pipelines: early.pipelines.map((p) => ({ ...p, start_s: 40 })) };
      const faults = [...drawFaultSchedule(seed, base), { kind: 'state_limits', at_s: 40 + (seed % 70) } as const];
      const mixed = drawReleaseMix(seed, { ...base, seed, troubles: [] }, 'production');
      // Production is replaced before the limits drop, because it cannot read what is stored afterwards.
      const withRollout = mixed.troubles.map((fault) =>
        fault.kind === 'rollout' ? { ...fault, to: 'this', at_s: 15, gap_s: 6, order: [0, 1, 2] } : fault,
      );
      const day = { ...mixed, troubles: [...withRollout, ...faults].sort((a, b) => a.at_s - b.at_s) };
      const region = new Region({ day });
      await region.play();
      const { breaches, defects } = region.close();
      assert.deepEqual([breaches, defects], [[], []]);
    }),
    { seed: 5, numRuns: 12, endOnFailure: true },
  );
});
