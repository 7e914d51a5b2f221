import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Region, type Fault, type SimulationScenario } from '../src/index.js';
import { shortDay } from './test-days.js';

const DAY_S = 70;
/** Length of the end of the day in which no job arrives: many times the run time of a task. */
const QUIET_END_S = 45;
const ARRIVALS_END_S = DAY_S - QUIET_END_S;

/**
 * A day on one machine, on which jobs of 212 small tasks are cancelled within two seconds while jobs of one task come:
 * the stops of a cancelled job are more than one command to a worker carries.
 */
const cancelledSweepsDay = (seed: number): SimulationScenario => {
  const day = shortDay(DAY_S, [], seed);
  const letters = day.classes.find(({ name }) => name === 'letters');
  assert.ok(letters);
  const small = { ...letters, types: ['hall'], cpus: 0.25, memory_gb: 0.25, spot: false, aims: [], initial: 0 };
  return {
    ...day,
    quiet_end_s: QUIET_END_S,
    machine_types: [
      {
        ...{ name: 'hall', cpus: 64, gpus: 0, memory_gb: 256, price: 3, spot_price: 1, cache_gb: 40 },
        ...{ fetch_gb_per_s: 2, boot_s: 20, boot_fail: 0 },
      },
    ],
    capacity: [{ type: 'hall', zone: 'north', ordinary: 1, spot: 0 }],
    machines: [{ type: 'hall', zone: 'north', spot: false, count: 1 }],
    classes: [
      {
        ...{ ...small, name: 'sweep', tasks: { sizes: [212], weights: [1] }, per_minute: 20 },
        ...{ run_s: { median: 5, p95: 6, max: 6 }, cancel_share: 1, cancel_within_s: 2 },
      },
      {
        ...{ ...small, name: 'probe', tasks: { sizes: [1], weights: [1] }, per_minute: 420 },
        ...{ run_s: { median: 4, p95: 5, max: 6 }, cancel_share: 0 },
      },
    ],
  };
};

/** Plays the day with controllers of some releases; returns how many jobs of one task have not ended. */
async function openProbes(
  seed: number,
  releases: readonly string[] = [],
  faults: readonly Fault[] = [],
): Promise<number> {
  const day = cancelledSweepsDay(seed);
  const controllers = { ...day.controllers, releases: [...releases] };
  const region = new Region({ day: { ...day, controllers, troubles: [...faults] } });
  await region.play();
  const { breaches, defects, classes } = region.close();
  assert.deepEqual([breaches, defects], [[], []]);
  return classes.find(({ name }) => name === 'probe')?.open ?? Number.NaN;
}

// Guards against jobs that never begin beside an empty machine: their starts were recorded and never sent.
test('jobs of one task run although jobs with more tasks than one command has stops for are cancelled beside them', async () => {
  for (const seed of [1, 2, 3]) assert.equal(await openProbes(seed), 0, `seed ${seed}`);
});

for (const earlier of ['before-matched-answers', 'production']) {
  test(`jobs of one task run after a rollout from ${earlier}, and before a rollback to it, in both orders`, async () => {
    const old = [earlier, earlier, earlier];
    for (const order of [
      [0, 1, 2],
      [2, 1, 0],
    ]) {
      const rollout = (to: string): Fault => ({
        ...{ kind: 'rollout', at_s: ARRIVALS_END_S, gap_s: 6, to, order, leave: true },
      });
      assert.equal(await openProbes(2, old, [rollout('this')]), 0, `to this release, ${order}`);
      assert.equal(await openProbes(2, [], [rollout(earlier)]), 0, `back, ${order}`);
    }
  });
}
