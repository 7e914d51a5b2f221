import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  applyPlan,
  forecast,
  outcomesOf,
  playDecisions,
  playWhole,
  readNight,
  readPlan,
  replayErrors,
  scenarioOf,
  type Forecast,
  type Night,
} from '../src/index.js';
import { handmade, recorded, shortDay } from './nights.js';

async function compare(night: Night, toml: string, seeds = [1, 2]): Promise<Forecast> {
  const base = scenarioOf(night);
  return forecast('plan', base, applyPlan(base, readPlan(toml, 'p')), outcomesOf(night), playDecisions, seeds);
}

/** Two tenants share one machine; the second's window opens twelve seconds before the first is through. */
const overlapping = (): Night =>
  readNight(
    handmade(
      [
        { id: 'j-north', team: 'north-tel', jobClass: 'porting-north', atS: 20, tasks: 8, runS: 60 },
        { id: 'j-south', team: 'south-tel', jobClass: 'porting-south', atS: 128, tasks: 8, runS: 60, deadlineS: 130 },
      ],
      1,
    ),
  );

test('a recorded night replayed unchanged ends as it did; whole controllers, deciding anew, end nearly so', async () => {
  const crash = { kind: 'controller_crash', at_s: 90, controller: 0, down_s: 8 } as const;
  for (const troubles of [[], [{ kind: 'machines_die', at_s: 70, count: 2 } as const], [crash]]) {
    const night = readNight(await recorded(shortDay(240, troubles, 12)));
    const scenario = scenarioOf(night);
    const { jobs, within, unfinished } = replayErrors(
      scenario,
      outcomesOf(night),
      (await playDecisions(scenario, 1)).outcomes,
    );
    assert.ok(jobs >= 8, `${jobs} jobs are a test of nothing`);
    assert.equal(unfinished, 0);
    assert.ok(within / jobs >= 0.95, `${within} of ${jobs}`);
  }
  const night = readNight(handmade([{ id: 'j-a', team: 't', jobClass: 'c', atS: 20, tasks: 6, runS: 30 }], 1));
  const scenario = scenarioOf(night);
  const whole = replayErrors(scenario, outcomesOf(night), (await playWhole(scenario, 3)).outcomes);
  assert.deepEqual([whole.jobs, whole.within], [1, 1]);
});

test('a machine that dies halfway: unchanged, its tasks run again as they did; when it lives, they do not', async () => {
  const night = readNight(
    handmade([{ id: 'j-a', team: 't', jobClass: 'c', atS: 5, tasks: 8, runS: 100 }], 3, new Map([[0, 60]])),
  );
  const scenario = scenarioOf(night);
  const unchanged = (await playDecisions(scenario, 1)).outcomes.get('j-a');
  const truth = outcomesOf(night).get('j-a');
  assert.equal(truth?.restarts, 4);
  assert.equal(unchanged?.restarts, 4);
  assert.ok(Math.abs((unchanged.finishedS ?? 0) - (truth.finishedS ?? 0)) < 3);
  const told = await compare(night, '[[spare]]\nmachine = "host-0"');
  const [job] = told.jobs;
  assert.ok(told.fromS !== null && Math.abs(told.fromS - 60) < 2, `it lives from ${told.fromS}`);
  assert.ok(job?.differs);
  // The eight run at once: 5 s and 100 s.
  assert.ok(Math.abs((job.plannedS ?? 0) - 105) < 4, `planned ${job.plannedS}`);
  assert.ok((job.laterS ?? 0) < -10, `later by ${job.laterS}`);
});

test('two tenants whose windows overlap by seconds: moving one changes who is late, and says so for each', async () => {
  const night = overlapping();
  const same = await compare(night, '[[move]]\nclass = "porting-south"\nby_s = 0');
  assert.equal(same.fromS, null);
  assert.ok(same.jobs.every(({ differs, laterS }) => !differs && laterS === 0));
  assert.ok(Math.abs((outcomesOf(night).get('j-south')?.finishedS ?? 0) - 260.5) < 0.5);

  const later = await compare(night, '[[move]]\nclass = "porting-south"\nby_s = 14');
  const south = later.jobs.find(({ id }) => id === 'j-south');
  const north = later.jobs.find(({ id }) => id === 'j-north');
  assert.deepEqual([south?.changed, south?.differs, north?.differs], ['moved by 14 s', false, false]);

  // Ahead of the first tenant's, it is the first tenant who waits.
  const ahead = await compare(night, '[[move]]\nclass = "porting-south"\nstart = 10');
  const [before, after] = ['j-south', 'j-north'].map((id) => ahead.jobs.find((job) => job.id === id));
  assert.ok(before?.differs && (before.laterS ?? 0) < -60, `south later by ${before?.laterS}`);
  assert.ok(after?.differs && (after.laterS ?? 0) > 60, `north later by ${after?.laterS}`);
  assert.ok(ahead.teams.planned.has('north-tel') && ahead.teams.planned.has('south-tel'));
});

test('a plan that makes things worse says so, and what was never seen is marked as estimated', async () => {
  const worse = await compare(overlapping(), '[[scale]]\nclass = "porting-north"\nrun = 2');
  const [north, south] = ['j-north', 'j-south'].map((id) => worse.jobs.find((job) => job.id === id));
  // The other tenant has a deadline, so that it goes first and the scaled one pays.
  assert.ok(north?.differs && south && !south.differs);
  assert.ok((north.laterS ?? 0) > 90, `later by ${north.laterS}`);
  const added = await compare(overlapping(), '[[add]]\nlike = "porting-north"\nat = 21\n');
  assert.deepEqual(
    added.jobs.filter(({ estimated }) => estimated).map(({ changed }) => changed),
    ['added'],
  );
  for (const { intervalS } of [...worse.jobs, ...added.jobs]) assert.ok(intervalS && intervalS[0] <= intervalS[1]);
});

test('jobs open before the night, or after it, are played but do not count', () => {
  const trace = handmade([{ id: 'j-a', team: 't', jobClass: 'c', atS: 5, tasks: 8, runS: 100 }], 1);
  const cutAt = trace.fromMs + 150_000;
  const early = scenarioOf(readNight({ ...trace, toMs: cutAt, rows: trace.rows.filter(({ at }) => at < cutAt) }));
  assert.deepEqual(
    early.jobs.map(({ cut }) => cut),
    ['after'],
  );
  const since = trace.fromMs + 50_000;
  const rows = trace.rows.flatMap((row) =>
    row.kind === 'job' || row.at >= since ? [{ ...row, at: Math.max(row.at, since) }] : [],
  );
  const late = scenarioOf(readNight({ ...trace, fromMs: since, rows }));
  assert.deepEqual(
    late.jobs.map(({ cut, spec }) => [cut, spec.tasks]),
    [['before', 8]],
  );
});
