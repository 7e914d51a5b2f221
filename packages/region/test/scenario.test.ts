import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ScenarioError, parseScenario } from '../src/index.js';
import { drawFaultSchedule, shrink, formatScenario } from '../src/hunt/index.js';
import { dayText, shippedDay, shortDay } from './test-days.js';

test('errors in a scenario name the file, the line and the field', () => {
  const quiet = dayText('quiet');
  const lineOf = (text: string, toml: string): number => toml.split('\n').findIndex((l) => l.includes(text)) + 1;
  const wrong: [from: string, to: string, at: string, pattern: RegExp][] = [
    ['duration_s = 600.0', 'duration_s = 0.0', 'duration_s', /duration_s: .*>0/],
    ['duration_s = 600.0', 'duration_min = 10', 'duration_min', /duration_min: no such field/],
    ['count = 3', 'count = "3"', 'count = "3"', /controllers\.count: .*number/i],
    ['zone = "south"', 'zone = "soth"', '"soth"', /capacity\.1\.zone: no such zone: soth/],
    ['team = "mail"', 'team = "post"', 'team = "post"', /classes\.0\.team: no such team: post/],
    ['gpus = 1.0', 'gpus = 9.0', '[[classes]]', /fits no machine type/],
    [
      'median = 240.0, p95 = 500.0',
      'median = 240.0, p95 = 50.0',
      'p95 = 50.0',
      /classes\.0\.run_s: .*must not decrease/,
    ],
    ['within_s = 8.0', 'within_ms = 8.0', 'within_ms', /classes\.0\.aims\.0\.within_ms: no such field/],
    ['kind = "wait"', 'kind = "waits"', 'kind = "waits"', /classes\.0\.aims\.0\.kind/],
  ];
  for (const [from, to, at, pattern] of wrong) {
    const toml = quiet.replace(from, to);
    assert.notEqual(toml, quiet, from);
    assert.throws(
      () => parseScenario(toml, 'mine.toml'),
      (error: unknown) => {
        assert.ok(error instanceof ScenarioError, String(error));
        const [, line, rest] = /^mine\.toml:(\d+): (.*)$/.exec(error.message) ?? [];
        assert.match(rest ?? error.message, pattern);
        if (at !== '[[classes]]') assert.equal(Number(line), lineOf(at, toml), error.message);
        return true;
      },
    );
  }
  assert.throws(() => parseScenario('name = ', 'mine.toml'), /^DayError|mine\.toml:1: /);
  const late = `${quiet}\n[[troubles]]\nkind = "state_outage"\nat_s = 700.0\nfor_s = 5.0\n`;
  assert.throws(() => parseScenario(late, 'm'), /troubles\.0\.at_s: starts after the end of the scenario/);
  const both = `${quiet}\n[[troubles]]\nkind = "machines_die"\nat_s = 7.0\n`;
  assert.throws(() => parseScenario(both, 'm'), /either a count or a share/);
  const unknownController = `${quiet}\n[[troubles]]\nkind = "controller_pause"\nat_s = 7.0\nfor_s = 2.0\ncontroller = 3\n`;
  assert.throws(
    () => parseScenario(unknownController, 'm'),
    /troubles\.0\.controller: there are 3 controllers, numbered from 0/,
  );
});

test("the operators' names of faults are accepted; shares above 1, missing and contradicting fields are reported", () => {
  const day = (fault: string): string => `${dayText('quiet')}\n[[troubles]]\nat_s = 7.0\n${fault}\n`;
  const kindOf = (fault: string): string | undefined => parseScenario(day(fault), 'm').troubles[0]?.kind;
  assert.equal(kindOf('kind = "machine_mute"\nfor_s = 3.0\nshare = 0.2'), 'machines_mute');
  assert.equal(kindOf('kind = "machine_deaf"\nfor_s = 3.0\ncount = 2'), 'machines_deaf');
  assert.equal(kindOf('kind = "late_reports"\nfor_s = 3.0\nshare = 0.2\nfor_next = true'), 'reports_again');
  const wrong: readonly (readonly [string, RegExp])[] = [
    ['kind = "machine_mute"\nfor_s = 3.0\nshare = 2.0', /troubles\.0\.share: /],
    ['kind = "machine_mute"\nfor_s = 3.0', /troubles\.0: needs either a count or a share/],
    ['kind = "cancel_now"', /troubles\.0\.count: /],
    ['kind = "cancel_at_end"\nfor_s = 3.0', /troubles\.0\.share: /],
    [
      'kind = "late_reports"\nfor_s = 3.0\nshare = 0.2\nfor_next = true\nlate_s = 4.0',
      /troubles\.0\.late_s: late_s and for_next exclude each other/,
    ],
    [
      'kind = "commands_again"\nfor_s = 3.0\nshare = 0.2\nfor_next = true\nlate_s = [1.0, 4.0]',
      /troubles\.0\.late_s: late_s and for_next exclude each other/,
    ],
    [
      'kind = "writes_again"\nfor_s = 3.0\nshare = 0.2\nlate_s = [4.0, 1.0]',
      /troubles\.0\.late_s: the first number must not exceed the second/,
    ],
    ['kind = "close_look"\nfor_s = 3.0', /troubles\.0\.kind: /],
  ];
  for (const [fault, pattern] of wrong) assert.throws(() => parseScenario(day(fault), 'm'), pattern);
});

test('the shipped scenarios are valid, and every drawn schedule survives formatting and parsing unchanged', () => {
  for (const name of ['quiet', 'night', 'storm', 'copies']) assert.equal(shippedDay(name).name, name);
  const base = shortDay(300, []);
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 2 ** 30 }), (seed) => {
      const day = { ...base, seed, troubles: drawFaultSchedule(seed, base) };
      assert.ok(day.troubles.length > 0);
      assert.deepEqual(parseScenario(formatScenario(day), 'drawn'), day);
    }),
    { seed: 3, numRuns: 300 },
  );
});

test('shrinking leaves exactly the faults that fail together', async () => {
  const { troubles } = { troubles: drawFaultSchedule(5, shortDay(300, [])) };
  const many = [...troubles, ...drawFaultSchedule(6, shortDay(300, [])), ...drawFaultSchedule(9, shortDay(300, []))];
  assert.ok(many.length >= 8);
  const needed = [many[1], many[many.length - 2]];
  let runs = 0;
  const left = await shrink(many, (tried) => {
    runs += 1;
    return Promise.resolve(needed.every((fault) => fault !== undefined && tried.includes(fault)));
  });
  assert.deepEqual(left, needed);
  assert.ok(runs < many.length * 6, `${runs} plays`);
});
