import assert from 'node:assert/strict';
import { test } from 'node:test';
import { applyPlan, parseMomentS, PlanError, readNight, readPlan, buildScenario } from '../src/index.js';
import { buildTrace } from './night-fixtures.js';

const night = readNight(
  buildTrace(
    [
      { id: 'j-a', team: 'north-tel', jobClass: 'porting', atS: 20, tasks: 6, runS: 30 },
      { id: 'j-b', team: 'south-tel', jobClass: 'letters', atS: 60, tasks: 4, runS: 20 },
    ],
    1,
  ),
);
const scenario = buildScenario(night);
const apply = (toml: string): ReturnType<typeof applyPlan> => applyPlan(scenario, readPlan(toml, 'p.toml'));

test('a time of day is converted to seconds since the night began, in its time zone and across clock changes', () => {
  const span = (iso: string, hours: number, zone: string) => ({ fromMs: Date.parse(iso), lengthS: hours * 3600, zone });
  assert.equal(parseMomentS('22:30', span('2026-12-01T19:00:00Z', 8, 'Africa/Dar_es_Salaam'), 'x'), 1800);
  // A time of day after midnight.
  assert.equal(parseMomentS('01:00', span('2026-12-01T19:00:00Z', 8, 'Africa/Dar_es_Salaam'), 'x'), 3 * 3600);
  // In Warsaw the clocks go forward at 02:00: 03:30 is an hour and a half after the night began at 01:00.
  const spring = span('2026-03-29T00:00:00Z', 6, 'Europe/Warsaw');
  assert.equal(parseMomentS('03:30', spring, 'x'), 5400);
  assert.throws(
    () => parseMomentS('02:30', spring, 'move[0].from'),
    /move\[0\]\.from: 02:30 does not exist in Europe\/Warsaw/,
  );
  // The clocks go back at 03:00: 02:30 occurs twice.
  const autumn = span('2026-10-24T22:00:00Z', 6, 'Europe/Warsaw');
  assert.throws(() => parseMomentS('02:30', autumn, 'x'), /occurs 2 times in this night; write 9000 or 12600/);
  assert.throws(
    () => parseMomentS('12:00', autumn, 'x'),
    /is outside the night, which lasts from 00:00:00 to 05:00:00/,
  );
});

test('an impossible change is rejected with an error that names the field and the reason', () => {
  const rejections: readonly [string, RegExp][] = [
    ['[[drop]]\nclass = "portin"', /drop\[0\]\.class: no job of the class portin in this night \(letters, porting\)/],
    ['[[drop]]\njob = "j-x"', /no job j-x/],
    ['[[drop]]\nclass = "porting"\nfrom = 100', /no job was submitted in that period/],
    ['[[move]]\nclass = "porting"\nby_s = -60', /would be submitted 40 s before the night began/],
    ['[[move]]\nclass = "porting"', /needs either by_s or start/],
    ['[[team]]\nname = "north-tel"\ncpus = 8.0\ncpus_max = 4.0', /guaranteed more cpus than its limit/],
    ['[[team]]\nname = "east-tel"', /no team east-tel/],
    ['[[machines]]\ntype = "desk"\nzone = "south"\nmore = 1', /there is no desk in south/],
    ['[[machines]]\ntype = "desk"\nzone = "north"\nmore = -3', /begins with 1 machines/],
    ['[[capacity]]\ntype = "desk"\nzone = "north"\ncount = 0', /begins with 1 machines/],
    ['[[kill]]\nmachine = "host-7"\nat = 5', /no machine host-7/],
    ['[[spare]]\nmachine = "host-0"', /did not die and was not taken back in this night/],
    ['time_zone = "Warsaw"', /Warsaw is not a valid time zone/],
    ['[[add]]\nlike = "nothing"\nat = 4', /there is no job or class nothing/],
    ['[[scale]]\nclass = "porting"', /needs jobs, tasks or run/],
    ['[[mvoe]]\nclass = "porting"', /mvoe: unknown field/],
    ['[[drop]]\nclass = "porting"\nfrom = "25 past"', /from: must be seconds/],
    ['[[drop', /p\.toml:1/],
  ];
  for (const [toml, reason] of rejections)
    assert.throws(
      () => apply(toml),
      (error) => error instanceof PlanError && reason.test(error.message),
      `${toml}: ${reason}`,
    );
});

test('a plan changes only the jobs that it names, and reports the time from which it makes a difference', () => {
  assert.equal(apply('').divergesAtS, Number.POSITIVE_INFINITY);
  assert.equal(apply('[[move]]\nclass = "porting"\nby_s = 0').divergesAtS, Number.POSITIVE_INFINITY);
  const moved = apply('[[move]]\nclass = "letters"\nstart = 50');
  assert.deepEqual([moved.divergesAtS, moved.jobs.find(({ spec }) => spec.id === 'j-b')?.atS], [50, 50]);
  const scaled = apply('[[scale]]\nclass = "porting"\njobs = 2\ntasks = 0.5\nrun = 2');
  const portingJobs = scaled.jobs.filter(({ spec }) => spec.jobClass === 'porting');
  assert.deepEqual(
    portingJobs.map(({ spec, workS }) => [spec.id, spec.tasks, Math.round(workS.get(0) ?? 0)]),
    [
      ['j-a', 3, 60],
      ['j-a-more-1', 3, 60],
    ],
  );
  const added = apply('[[add]]\nlike = "letters"\nat = 70\ncount = 2\nevery_s = 5');
  assert.deepEqual(
    added.jobs.filter(({ changed }) => changed === 'added').map(({ atS }) => atS),
    [70, 75],
  );
});
