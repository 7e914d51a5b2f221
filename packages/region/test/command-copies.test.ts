import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Region, type DayResult, type Fault, type SimulationScenario } from '../src/index.js';
import { shippedDay, shortDay } from './test-days.js';

/** The release in which a copy of a start was executed once its attempt had been forgotten. */
const EARLIER_RELEASE = 'before-raised-tokens';
const DAY_S = 150;
/** Copies arrive during the whole day. */
const copies = (lateS: [number, number], more: { after_restart?: boolean; for_next?: boolean } = {}): Fault => ({
  ...{ kind: 'commands_again', at_s: 1, for_s: DAY_S - 2, share: 1 },
  ...(more.for_next === true ? {} : { late_s: lateS }),
  ...more,
});

type JobClass = SimulationScenario['classes'][number];

/** The day `quiet` with only these classes of jobs, and these changes to each of them. */
function dayOf(classes: Readonly<Record<string, Partial<JobClass>>>, faults: readonly Fault[]): SimulationScenario {
  const day = shortDay(DAY_S, faults, 7);
  const kept = day.classes.flatMap((c) => {
    const changes = classes[c.name];
    return changes ? [{ ...c, cancel_share: 0, aims: [], ...changes }] : [];
  });
  return { ...day, classes: kept };
}

const play = async (day: SimulationScenario, release = 'this'): Promise<DayResult> => {
  const releases = Array.from({ length: day.controllers.count }, () => release);
  const region = new Region({ day: { ...day, controllers: { ...day.controllers, releases } } });
  await region.play();
  return region.close();
};

const failing = (at_s: number, for_s: number): Fault => ({ kind: 'machines_fail_tasks', at_s, for_s, share: 0.5 });
const manyArrays = { initial: 6, per_minute: 10 };
const gangs: Partial<JobClass> = { shape: 'gang', tasks: { sizes: [4], weights: [1] }, cpus: 4, memory_gb: 8 };
const longTasks = { run_s: { median: 60, p95: 80, max: 90 } };

/** What has become of a task by the time at which the copy of its start command arrives, and the rule at stake. */
const CASES: Readonly<Record<string, { readonly day: SimulationScenario; readonly rule: string }>> = {
  'that failed and was started elsewhere': {
    day: dayOf({ letters: manyArrays }, [failing(8, 60), copies([1, 4])]),
    rule: 'ran_twice',
  },
  'that was preempted and started elsewhere': {
    day: {
      ...dayOf({ letters: { ...manyArrays, ...longTasks }, counter: { initial: 0, per_minute: 14 } }, [
        copies([5, 60]),
      ]),
      capacity: [],
    },
    rule: 'ran_twice',
  },
  'of a gang whose next attempt runs elsewhere': {
    day: dayOf({ letters: { ...manyArrays, ...gangs } }, [failing(8, 60), copies([2, 20])]),
    rule: 'ran_twice',
  },
  'that was cancelled': {
    day: dayOf({ letters: { ...manyArrays, ...longTasks, cancel_share: 0.9, cancel_within_s: 15 } }, [
      copies([50, 80]),
    ]),
    rule: 'ran_cancelled',
  },
  'that a later holder adopted, and that then failed': {
    day: dayOf({ letters: manyArrays }, [
      { kind: 'controller_crash', at_s: 20, controller: 'all', down_s: 0.3 },
      failing(21, 60),
      copies([1, 20]),
    ]),
    rule: 'ran_twice',
  },
};

test('on a day of copies, quick restarts and failing machines every rule is kept, and an earlier release runs tasks twice', async () => {
  const { breaches, defects, failures } = await play(shippedDay('copies'));
  assert.deepEqual([breaches, defects, failures], [[], [], []]);
  const earlier = await play(shippedDay('copies'), EARLIER_RELEASE);
  assert.ok(earlier.breaches.some(({ rule }) => rule === 'ran_twice'));
});

for (const [which, { day, rule }] of Object.entries(CASES)) {
  // Guards against a copy of an executed start command that starts an attempt again which its worker has forgotten.
  test(`a copy of the start of a task ${which} does not start it again`, async () => {
    const { breaches, defects, startsAfterCancel, classes } = await play(day);
    assert.deepEqual([breaches, defects, startsAfterCancel.count], [[], [], 0]);
    assert.ok(classes.some(({ tasksStarted }) => tasksStarted > 10));
  });

  test(`a copy of the start of a task ${which}: the checker detects what an earlier release does with it`, async () => {
    const { breaches } = await play(day, EARLIER_RELEASE);
    assert.ok(breaches.some((breach) => breach.rule === rule));
  });
}

/** Commands until then are sent once more. */
const COPIED_UNTIL_S = 14;
/** All controllers are replaced by then, and their shards claimed. */
const REPLACED_BY_S = 40;

/** A day on which copies of early commands arrive after all controllers can have been replaced. */
function dayOfLateCopies(replacement: readonly Fault[]): SimulationScenario {
  const late: Fault = {
    ...{ kind: 'commands_again', at_s: 1, for_s: COPIED_UNTIL_S - 1, share: 1 },
    late_s: [REPLACED_BY_S - 1, REPLACED_BY_S + 40],
  };
  const run_s = { median: 110, p95: 115, max: 120 };
  const arrays = { initial: 3, per_minute: 4, run_s, cancel_share: 0.3, cancel_within_s: 10 };
  return dayOf({ letters: arrays }, [late, failing(3, 12), ...replacement]);
}

for (const earlier of [EARLIER_RELEASE, 'production']) {
  test(`copies of commands from before a rollout from ${earlier}, or a rollback to it, start nothing after it, in both orders`, async () => {
    const unreplaced = await play(dayOfLateCopies([]), earlier);
    assert.ok(unreplaced.breaches.length > 0, 'without a rollout the copies break a rule');
    for (const order of [
      [0, 1, 2],
      [2, 1, 0],
    ]) {
      for (const [from, to] of [
        [earlier, 'this'],
        ['this', earlier],
      ] as const) {
        const rollout: Fault = { kind: 'rollout', at_s: COPIED_UNTIL_S, gap_s: 6, to, order, leave: false };
        const { breaches, defects } = await play(dayOfLateCopies([rollout]), from);
        assert.deepEqual([breaches, defects], [[], []], `from ${from} to ${to}, ${order}`);
      }
    }
  });
}
