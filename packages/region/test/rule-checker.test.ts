import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobRegistry } from '../../../src/jobs/index.js';
import { FreshnessChecker } from '../../../src/state/index.js';
import { DependencyTracker } from '../../../src/pipelines/index.js';
import { CommandSender, WorkerTracker, type MessageOutcome } from '../../../src/workers/index.js';
import { Region, type SimulationScenario, type Rule } from '../src/index.js';
import { isolatedControllersNight, playDay, shippedDay, shortDay, highArrivalRateDay } from './test-days.js';

/**
 * Mutation tests of the checker: each rule must be reported for a service with one part deliberately broken, in a
 * scenario that the intact service runs without a violation. Returns the violated rules.
 */
async function violatedRules(
  day: SimulationScenario,
  sabotage: (region: Region) => void,
  settings?: (toml: string) => string,
): Promise<Rule[]> {
  const region = new Region({ day, ...(settings ? { settings } : {}) });
  sabotage(region);
  await region.play(day.duration_s);
  return [...new Set(region.close().breaches.map(({ rule }) => rule))];
}

/** Replaces a method while `body` runs. */
async function withPatchedMethod<T extends object, K extends keyof T, R>(
  prototype: T,
  name: K,
  value: T[K],
  body: () => Promise<R>,
): Promise<R> {
  const original = prototype[name];
  prototype[name] = value;
  try {
    return await body();
  } finally {
    prototype[name] = original;
  }
}

/** Several seeds, because whether a task is restarted at the critical moment depends on the random draws and on every earlier write. */
const SEEDS = [2, 5, 9, 14, 15, 16];
const noSabotage = (): void => undefined;

test('the scenarios of the tests below violate no rule with the intact service', async () => {
  for (const day of [shortDay(150, []), ...SEEDS.map(isolatedControllersNight)]) {
    const result = await playDay(day);
    assert.deepEqual([result.breaches, result.defects], [[], []]);
    assert.ok(result.classes.some(({ tasksStarted }) => tasksStarted > 20));
  }
});

test('ran_twice: fencing that counts leases from the last answered report alone', async () => {
  const { applyReport, applyAnswer } = WorkerTracker.prototype;
  const countingReportsOnly = <A extends unknown[]>(original: (this: WorkerTracker, ...given: A) => MessageOutcome) =>
    function (this: WorkerTracker, ...given: A): MessageOutcome {
      const before = this.lastAnswerAt;
      const verdict = original.apply(this, given);
      this.lastAnswerAt = before;
      // The service starts no task on a machine that only answers commands. That rule alone would hide the fault, so it is
      // disabled as well.
      this.lastReportAt = this.lastMessageAt;
      return verdict;
    };
  const detectedSeeds: number[] = [];
  for (const seed of SEEDS) {
    const rules = await withPatchedMethod(
      WorkerTracker.prototype,
      'applyReport',
      countingReportsOnly(applyReport),
      () =>
        withPatchedMethod(WorkerTracker.prototype, 'applyAnswer', countingReportsOnly(applyAnswer), () =>
          violatedRules(isolatedControllersNight(seed), noSabotage),
        ),
    );
    if (rules.includes('ran_twice')) detectedSeeds.push(seed);
  }
  assert.ok(detectedSeeds.length > 0, 'detected with no seed');
});

test('quota: a team uses more than its limit', async () => {
  const day = shippedDay('quiet');
  const limited: SimulationScenario = {
    ...day,
    duration_s: 100,
    teams: day.teams.map((team) => (team.name === 'mail' ? { ...team, cpus_max: 14 } : team)),
  };
  assert.deepEqual(await violatedRules(limited, noSabotage), []);
  const rules = await violatedRules(limited, noSabotage, (toml) =>
    toml.replaceAll(/cpus_max = 14(\.0)?$/gm, 'cpus_max = 0'),
  );
  assert.deepEqual(rules, ['quota']);
});

test('wrong_place: the placement constraints of a job are dropped at submission', async () => {
  const original = JobRegistry.prototype.submit;
  const withoutConstraints: JobRegistry['submit'] = function (this: JobRegistry, spec) {
    return original.call(this, { ...spec, spread: false, spot: true, types: null, zone: null });
  };
  const rules = await withPatchedMethod(JobRegistry.prototype, 'submit', withoutConstraints, () =>
    violatedRules(shortDay(60, []), noSabotage),
  );
  assert.deepEqual(rules, ['wrong_place']);
});

test('ran_cancelled: a cancellation is confirmed, but not carried out', async () => {
  const promise: JobRegistry['cancel'] = (id) =>
    Promise.resolve({ kind: 'known', view: { id, phase: 'cancelled', done: 0, running: 0 } });
  const rules = await withPatchedMethod(JobRegistry.prototype, 'cancel', promise, () =>
    violatedRules(shortDay(420, []), noSabotage),
  );
  assert.ok(rules.includes('ran_cancelled'), rules.join());
});

test('forgotten: a write is acknowledged and lost', async () => {
  const loseJobWrites = (region: Region): void => {
    region.parts.state.dropsChange = (key) => key.startsWith('live/jobs/');
  };
  const rules = await violatedRules(shortDay(60, []), loseJobWrites);
  assert.ok(rules.includes('forgotten'), rules.join());
});

test('invented, not_done and went_back: answers without a basis in the stored state', async () => {
  const original = JobRegistry.prototype.query;
  const reporting = (phase: 'running' | 'done', absent: boolean): JobRegistry['query'] =>
    async function (this: JobRegistry, id) {
      const outcome = await original.call(this, id);
      if (absent !== (outcome.kind === 'absent')) return outcome;
      return { kind: 'known', view: { id, phase, done: 0, running: 0 } };
    };
  const rulesWithQuery = (query: JobRegistry['query']): Promise<Rule[]> =>
    withPatchedMethod(JobRegistry.prototype, 'query', query, () => violatedRules(shortDay(120, []), noSabotage));
  assert.deepEqual(await rulesWithQuery(reporting('running', true)), ['invented']);
  assert.ok((await rulesWithQuery(reporting('done', false))).includes('not_done'));
  let queryCount = 0;
  const alternating: JobRegistry['query'] = async function (this: JobRegistry, id) {
    const outcome = await original.call(this, id);
    if (outcome.kind !== 'known' || outcome.view.phase !== 'done') return outcome;
    queryCount += 1;
    return queryCount % 2 === 0 ? { kind: 'known', view: { ...outcome.view, phase: 'running' } } : outcome;
  };
  const again = async function (this: JobRegistry, spec: Parameters<JobRegistry['submit']>[0]) {
    return alternating.call(this, spec.id);
  };
  const rules = await withPatchedMethod(JobRegistry.prototype, 'query', alternating, () =>
    withPatchedMethod(JobRegistry.prototype, 'submit', submitThen(again), () =>
      violatedRules(shortDay(400, []), noSabotage),
    ),
  );
  assert.ok(rules.includes('went_back'), rules.join());
});

/** Handles a first submission normally and answers a repeated one with `again`. */
function submitThen(again: JobRegistry['submit']): JobRegistry['submit'] {
  const original = JobRegistry.prototype.submit;
  const known = new Set<string>();
  return function (this: JobRegistry, spec) {
    if (known.has(spec.id)) return again.call(this, spec);
    known.add(spec.id);
    return original.call(this, spec);
  };
}

const closePolls: SimulationScenario['troubles'] = [
  { kind: 'close_looks', at_s: 5, for_s: 50 },
  { kind: 'odd_requests', at_s: 5, for_s: 50 },
  { kind: 'cancel_at_end', at_s: 5, for_s: 50, share: 0.3 },
];

test('went_back: nodes that are polled within milliseconds answer from stale state', async () => {
  const day = highArrivalRateDay(60, closePolls);
  assert.deepEqual(await violatedRules(day, noSabotage), []);
  const stale: FreshnessChecker['waitUntilFresh'] = () => Promise.resolve(true);
  const rules = await withPatchedMethod(FreshnessChecker.prototype, 'waitUntilFresh', stale, () =>
    violatedRules(day, noSabotage),
  );
  assert.deepEqual(rules, ['went_back']);
});

test('odd_answer: a job that can never run is accepted', async () => {
  const original = JobRegistry.prototype.submit;
  const acceptingAll: JobRegistry['submit'] = async function (this: JobRegistry, ...given) {
    const outcome = await original.apply(this, given);
    if (outcome.kind !== 'never') return outcome;
    return { kind: 'created', view: { id: given[0].id, phase: 'queued', done: 0, running: 0 } };
  };
  const rules = await withPatchedMethod(JobRegistry.prototype, 'submit', acceptingAll, () =>
    violatedRules(shortDay(60, [{ kind: 'odd_requests', at_s: 5, for_s: 50 }]), noSabotage),
  );
  assert.deepEqual(rules, ['odd_answer']);
});

test('left_waiting: jobs are not placed although machines have free capacity', async () => {
  const never: CommandSender['send'] = () => Promise.resolve();
  const rules = await withPatchedMethod(CommandSender.prototype, 'send', never, () =>
    violatedRules(shortDay(130, []), noSabotage),
  );
  assert.ok(rules.includes('left_waiting'), rules.join());
  // The rule does not apply while faults are in force, since jobs may then have a reason to wait.
  const faulty = shortDay(130, [{ kind: 'state_slow', at_s: 60, for_s: 60, times: 2 }]);
  const duringFault = await withPatchedMethod(CommandSender.prototype, 'send', never, () =>
    violatedRules(faulty, noSabotage),
  );
  assert.ok(!duringFault.includes('left_waiting'), duringFault.join());
});

test('ran_cancelled: running jobs are cancelled, their machines hang and resume, and no stop is sent', async () => {
  const day = shortDay(140, [{ kind: 'cancel_now', at_s: 60, count: 12, hang_s: 12 }]);
  assert.deepEqual(await violatedRules(day, noSabotage), []);
  const promise: JobRegistry['cancel'] = (id) =>
    Promise.resolve({ kind: 'known', view: { id, phase: 'cancelled', done: 0, running: 0 } });
  const rules = await withPatchedMethod(JobRegistry.prototype, 'cancel', promise, () => violatedRules(day, noSabotage));
  assert.ok(rules.includes('ran_cancelled'), rules.join());
});

test('nothing_ran: no command is ever sent', async () => {
  const never: CommandSender['send'] = () => Promise.resolve();
  const rules = await withPatchedMethod(CommandSender.prototype, 'send', never, () =>
    violatedRules(shortDay(60, []), noSabotage),
  );
  assert.deepEqual(rules, ['nothing_ran']);
});

/** A short scenario of job chains, half of which are cancelled. */
function chainScenario(durationS: number): SimulationScenario {
  const day = shippedDay('chain');
  return {
    ...day,
    ...{ duration_s: durationS, quiet_end_s: 60, troubles: [] },
    controllers: { ...day.controllers, releases: [] },
    pipelines: day.pipelines.map((p) => ({ ...p, start_s: 10, per_minute: 10, cancelled: 0.5 })),
  };
}

test('too_early: the dependencies of a job are dropped at submission; the intact service violates no rule', async () => {
  assert.deepEqual(await violatedRules(chainScenario(150), noSabotage), []);
  const original = JobRegistry.prototype.submit;
  const withoutDependencies: JobRegistry['submit'] = function (this: JobRegistry, spec) {
    return original.call(this, spec);
  };
  const rules = await withPatchedMethod(JobRegistry.prototype, 'submit', withoutDependencies, () =>
    violatedRules(chainScenario(150), noSabotage),
  );
  assert.ok(rules.includes('too_early'), rules.join());
});

test('orphaned: a cancellation does not reach the jobs that depend on the cancelled one', async () => {
  const rules = await withPatchedMethod(
    JobRegistry.prototype,
    'cancelDependent',
    () => Promise.resolve(false),
    () =>
      withPatchedMethod(
        DependencyTracker.prototype,
        'awaits',
        () => [],
        () => violatedRules(chainScenario(180), noSabotage),
      ),
  );
  assert.ok(rules.includes('orphaned'), rules.join());
});

test('forgotten: polls stay unanswered after the last fault, regardless of other polls', async () => {
  const unanswered: JobRegistry['query'] = () => Promise.resolve({ kind: 'later', reason: 'no word' });
  const rules = await withPatchedMethod(JobRegistry.prototype, 'query', unanswered, () =>
    violatedRules(shortDay(120, []), noSabotage),
  );
  assert.deepEqual(rules, ['forgotten']);
});

test('a run fails when a class, a team or the largest jobs are not served, with a threshold of one half', async () => {
  const never: CommandSender['send'] = () => Promise.resolve();
  const day = { ...shortDay(420, []), quiet_end_s: 0 };
  const { failures } = await withPatchedMethod(CommandSender.prototype, 'send', never, () => playDay(day));
  for (const name of ['class letters', 'largest of letters', 'class maps', 'team mail', 'team atlas'])
    assert.ok(
      failures.some((failure) => failure.startsWith(`${name}: 0 %`)),
      `${name}: ${failures.join('; ')}`,
    );
  const intact = await playDay(day);
  assert.deepEqual(intact.failures, []);
  assert.ok(
    intact.classes.every(({ served, largestServed }) => served !== null && served > 0.5 && largestServed !== null),
  );
});
