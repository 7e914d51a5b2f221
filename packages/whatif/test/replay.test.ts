import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  applyPlan,
  forecast,
  jobOutcomes,
  replayWithDecisions,
  replayWithControllers,
  readNight,
  readPlan,
  replayErrors,
  buildScenario,
  type Forecast,
  type Night,
} from '../src/index.js';
import { buildTrace, recordTrace, shortDay } from './night-fixtures.js';

/** Forecasts a plan for a night, by the decision replay. */
async function compare(night: Night, toml: string, seeds = [1, 2]): Promise<Forecast> {
  const base = buildScenario(night);
  return forecast('plan', base, applyPlan(base, readPlan(toml, 'p')), jobOutcomes(night), replayWithDecisions, seeds);
}

/**
 * Two teams share one machine; the second team's job is submitted twelve seconds before the first team's job finishes.
 */
const overlapping = (): Night =>
  readNight(
    buildTrace(
      [
        { id: 'j-north', team: 'north-tel', jobClass: 'porting-north', atS: 20, tasks: 8, runS: 60 },
        { id: 'j-south', team: 'south-tel', jobClass: 'porting-south', atS: 128, tasks: 8, runS: 60, deadlineS: 130 },
      ],
      1,
    ),
  );

test('replaying a night unchanged reproduces the recorded finishing times, also with whole controllers', async () => {
  const crash = { kind: 'controller_crash', at_s: 90, controller: 0, down_s: 8 } as const;
  for (const faults of [[], [{ kind: 'machines_die', at_s: 70, count: 2 } as const], [crash]]) {
    const night = readNight(await recordTrace(shortDay(240, faults, 12)));
    const scenario = buildScenario(night);
    const { jobs, within, unfinished } = replayErrors(
      scenario,
      jobOutcomes(night),
      (await replayWithDecisions(scenario, 1)).outcomes,
    );
    assert.ok(jobs >= 8, `only ${jobs} jobs, too few for this test`);
    assert.equal(unfinished, 0);
    assert.ok(within / jobs >= 0.95, `${within} of ${jobs} jobs finish as recorded`);
  }
  const night = readNight(buildTrace([{ id: 'j-a', team: 't', jobClass: 'c', atS: 20, tasks: 6, runS: 30 }], 1));
  const scenario = buildScenario(night);
  const wholeErrors = replayErrors(scenario, jobOutcomes(night), (await replayWithControllers(scenario, 3)).outcomes);
  assert.deepEqual([wholeErrors.jobs, wholeErrors.within], [1, 1]);
});

test('tasks of a machine that dies restart as recorded, and do not restart when the plan spares the machine', async () => {
  const night = readNight(
    buildTrace([{ id: 'j-a', team: 't', jobClass: 'c', atS: 5, tasks: 8, runS: 100 }], 3, new Map([[0, 60]])),
  );
  const scenario = buildScenario(night);
  const unchanged = (await replayWithDecisions(scenario, 1)).outcomes.get('j-a');
  const recordedOutcome = jobOutcomes(night).get('j-a');
  assert.equal(recordedOutcome?.restarts, 4);
  assert.equal(unchanged?.restarts, 4);
  assert.ok(Math.abs((unchanged.finishedS ?? 0) - (recordedOutcome.finishedS ?? 0)) < 3);
  const result = await compare(night, '[[spare]]\nmachine = "host-0"');
  const [job] = result.jobs;
  assert.ok(
    result.fromS !== null && Math.abs(result.fromS - 60) < 2,
    `the plan makes a difference from ${result.fromS}`,
  );
  assert.ok(job?.differs);
  // All eight tasks run at once: submission at 5 s and a run time of 100 s.
  assert.ok(Math.abs((job.plannedS ?? 0) - 105) < 4, `planned ${job.plannedS}`);
  assert.ok((job.laterS ?? 0) < -10, `later by ${job.laterS}`);
});

test('moving one of two teams whose jobs overlap by seconds changes which team is late, and the forecast shows it per job', async () => {
  const night = overlapping();
  const same = await compare(night, '[[move]]\nclass = "porting-south"\nby_s = 0');
  assert.equal(same.fromS, null);
  assert.ok(same.jobs.every(({ differs, laterS }) => !differs && laterS === 0));
  assert.ok(Math.abs((jobOutcomes(night).get('j-south')?.finishedS ?? 0) - 260.5) < 0.5);

  const later = await compare(night, '[[move]]\nclass = "porting-south"\nby_s = 14');
  const south = later.jobs.find(({ id }) => id === 'j-south');
  const north = later.jobs.find(({ id }) => id === 'j-north');
  assert.deepEqual([south?.changed, south?.differs, north?.differs], ['moved by 14 s', false, false]);

  // Once the second team's job is submitted before the first team's, the first team waits.
  const ahead = await compare(night, '[[move]]\nclass = "porting-south"\nstart = 10');
  const [before, after] = ['j-south', 'j-north'].map((id) => ahead.jobs.find((job) => job.id === id));
  assert.ok(before?.differs && (before.laterS ?? 0) < -60, `south later by ${before?.laterS}`);
  assert.ok(after?.differs && (after.laterS ?? 0) > 60, `north later by ${after?.laterS}`);
  assert.ok(ahead.teams.planned.has('north-tel') && ahead.teams.planned.has('south-tel'));
});

test('the forecast shows the delay that a plan causes, and marks jobs with unrecorded run times as estimated', async () => {
  const worse = await compare(overlapping(), '[[scale]]\nclass = "porting-north"\nrun = 2');
  const [north, south] = ['j-north', 'j-south'].map((id) => worse.jobs.find((job) => job.id === id));
  // The other team's job has a deadline, so it runs first and the scaled job is delayed.
  assert.ok(north?.differs && south && !south.differs);
  assert.ok((north.laterS ?? 0) > 90, `later by ${north.laterS}`);
  const added = await compare(overlapping(), '[[add]]\nlike = "porting-north"\nat = 21\n');
  assert.deepEqual(
    added.jobs.filter(({ estimated }) => estimated).map(({ changed }) => changed),
    ['added'],
  );
  for (const { intervalS } of [...worse.jobs, ...added.jobs]) assert.ok(intervalS && intervalS[0] <= intervalS[1]);
});

test('jobs that are open before or after the recording are replayed but marked as cut', () => {
  const trace = buildTrace([{ id: 'j-a', team: 't', jobClass: 'c', atS: 5, tasks: 8, runS: 100 }], 1);
  const cutAtMs = trace.fromMs + 150_000;
  const early = buildScenario(
    readNight({ ...trace, toMs: cutAtMs, rows: trace.rows.filter(({ at }) => at < cutAtMs) }),
  );
  assert.deepEqual(
    early.jobs.map(({ cut }) => cut),
    ['after'],
  );
  const sinceMs = trace.fromMs + 50_000;
  const rows = trace.rows.flatMap((row) =>
    row.kind === 'job' || row.at >= sinceMs ? [{ ...row, at: Math.max(row.at, sinceMs) }] : [],
  );
  const late = buildScenario(readNight({ ...trace, fromMs: sinceMs, rows }));
  assert.deepEqual(
    late.jobs.map(({ cut, spec }) => [cut, spec.tasks]),
    [['before', 8]],
  );
});
