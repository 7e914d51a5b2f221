import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { drawTrouble } from '../src/hunt/index.js';
import { Luck, Region, type Day, type DayResult, type Trouble } from '../src/index.js';
import { shortDay } from './days.js';

/** Every accepted job runs or stays known: troubles that the first page of the protocol left out. */
const QUIET_S = 130;
const day = (troubles: readonly Trouble[], seed = 7): Day => {
  const short = shortDay(
    260,
    [...troubles].sort((a, b) => a.at_s - b.at_s),
    seed,
  );
  return { ...short, quiet_end_s: QUIET_S };
};

interface Played {
  readonly result: DayResult;
  readonly events: readonly string[];
  readonly logs: string;
}

/** Every rule is kept, no class, team or large job is left behind, and all that can end has ended. */
async function stays(played: Day): Promise<Played> {
  const events: string[] = [];
  const logs: string[] = [];
  const region = new Region({
    day: played,
    event: (line) => events.push(line),
    controllerLog: { level: 'info', write: (line) => logs.push(line) },
  });
  await region.play();
  const result = region.close();
  assert.deepEqual([result.breaches, result.defects, result.failures], [[], [], []]);
  for (const c of result.classes) if (c.shape !== 'service') assert.equal(c.open, 0, c.name);
  assert.ok(result.classes.some(({ tasksStarted }) => tasksStarted > 10));
  return { result, events, logs: logs.join('') };
}

const cut = (at_s: number, for_s: number, controller: number | 'leader'): Trouble => ({
  ...{ kind: 'controller_cut', at_s, for_s, controller, from: 'state and controllers', manner: 'hold' },
});
const crash = (at_s: number, controller: number | 'leader' | 'all', down_s: number): Trouble => ({
  ...{ kind: 'controller_crash', at_s, controller, down_s },
});
const again = (late_s: number, for_s = 90): Trouble => ({ kind: 'reports_again', at_s: 20, for_s, share: 0.5, late_s });

/** What may come on top of each. */
const ALONG: Readonly<Record<string, readonly Trouble[]>> = {
  alone: [],
  'the state service is out': [{ kind: 'state_outage', at_s: 55, for_s: 20 }],
  'the state service is slow': [{ kind: 'state_slow', at_s: 45, for_s: 40, times: 30 }],
  'a takeover': [crash(52, 1, 15)],
  'a cut that holds packets': [
    { kind: 'controller_cut', at_s: 48, for_s: 25, controller: 2, from: 'workers', manner: 'hold' },
  ],
};

const LEFT_OUT: Readonly<Record<string, readonly Trouble[]>> = {
  'reports of one machine arrive, answers and commands do not': [
    { kind: 'machines_deaf', at_s: 45, for_s: 60, count: 1 },
  ],
  'reports of eight machines arrive, answers and commands do not': [
    { kind: 'machines_deaf', at_s: 45, for_s: 60, count: 8 },
  ],
  'the same for a whole zone': [{ kind: 'machines_deaf', at_s: 45, for_s: 45, share: 1, zone: 'south' }],
  'copies of reports come seconds late': [again(3)],
  'copies of reports come well over a lease late': [again(60)],
  'a controller loses state service and controllers for 3 s': [cut(50, 3, 1)],
  'for about a lease': [cut(50, 4.2, 1), cut(70, 18, 0)],
  'for a minute, the leader': [cut(50, 60, 'leader')],
  flapping: [45, 53, 61, 69, 77].map((at_s) => cut(at_s, 5, 1)),
  'a controller is back within a fraction of a second': [
    crash(45, 'leader', 0.05),
    crash(60, 1, 0.2),
    crash(60.5, 1, 0.05),
    crash(75, 'all', 0.9),
  ],
  'all are back within a moment, in the middle of an election': [
    crash(45, 'leader', 6),
    ...[0, 1, 2].map((controller) => crash(49.1 + controller * 0.15, controller, 0.05)),
    crash(50.2, 'all', 0.05),
  ],
  'machines are back within a moment, session and sequence anew': [
    { kind: 'machines_restart', at_s: 45, share: 0.4, down_s: 0.05 },
    { kind: 'machines_restart', at_s: 60, share: 1, down_s: 0.2 },
    { kind: 'machines_restart', at_s: 60.6, share: 0.5, down_s: 0.9 },
  ],
};

for (const [name, troubles] of Object.entries(LEFT_OUT)) {
  test(`${name}: every accepted job runs or stays known`, async () => {
    for (const along of Object.values(ALONG)) await stays(day([...troubles, ...along]));
  });
}

test('a machine that hears nothing gets no new work, and is replaced', async () => {
  const { logs } = await stays(day([{ kind: 'machines_deaf', at_s: 45, for_s: 60, count: 3 }]));
  assert.match(logs, /gave back machines that were lost or faulty/);
});

test('a controller that has lost all but its workers fails its health check, and answers users at once', async () => {
  const region = new Region({ day: day([cut(50, 30, 1)]) });
  await region.play(62);
  const { seat } = region.controllers[1] ?? assert.fail();
  const asker = region.bystander('asker');
  const { HttpClient } = await import('../../../src/kernel/index.js');
  const client = new HttpClient(seat.serveOn, 1, asker);
  const answers = [
    client.call({ method: 'GET', path: '/healthz', timeoutMs: 2000 }),
    client.call({ method: 'GET', path: '/v1/jobs/j-000001', timeoutMs: 4000 }),
  ];
  await region.play(67);
  const [health, poll] = await Promise.all(answers);
  assert.ok(health?.kind === 'answered' && poll?.kind === 'answered' && poll.status === 503);
  assert.equal(poll.retryAfterS, 1);
  client.close();
  assert.deepEqual(region.close().breaches, []);
});

test('drawn schedules over all troubles: every rule is kept', async () => {
  const kinds = new Set(['machines_deaf', 'reports_again', 'machines_restart', 'controller_cut', 'controller_crash']);
  await fc.assert(
    fc.asyncProperty(fc.integer({ min: 0, max: 2 ** 30 }), async (seed) => {
      const luck = new Luck(seed, 'left out');
      const base = shortDay(150, [], seed);
      const drawn: Trouble[] = [];
      while (drawn.length < 5) {
        const trouble = drawTrouble(luck, base);
        if (kinds.has(trouble.kind) || drawn.length === 4) drawn.push(trouble);
      }
      const region = new Region({ day: { ...base, troubles: drawn } });
      await region.play();
      const { breaches, defects } = region.close();
      assert.deepEqual([breaches, defects], [[], []]);
    }),
    { seed: 3, numRuns: 12, endOnFailure: true },
  );
});

test('machines that answer commands and reach no controller: nothing is started there after a while, and they are returned', async () => {
  const muteAt = 45;
  const day = shortDay(130, [{ kind: 'machines_mute', at_s: muteAt, for_s: 80, share: 0.4 }], 21);
  const { report_s, lease_s } = day.workers;
  const starts: { readonly atS: number; readonly machine: string }[] = [];
  const region = new Region({
    day,
    event: (line) => {
      const [at, what, , , machine] = line.trim().split(' ');
      if (what === 'on') starts.push({ atS: Number(at) / 1000, machine: machine ?? '' });
    },
  });
  await region.play(muteAt + 0.5);
  const mute = new Set([...region.parts.workers].filter(([, { model }]) => model.mute).map(([id]) => id));
  assert.ok(mute.size >= 5, String(mute.size));
  // Once its lease is over and two reports more, and the leader has asked the cloud.
  await region.play(muteAt + lease_s + 2 * report_s + 15);
  assert.deepEqual(
    [...region.parts.workers.keys()].filter((id) => mute.has(id)),
    [],
  );
  await region.play();
  const { breaches, defects } = region.close();
  assert.deepEqual([breaches, defects], [[], []]);
  // Images that were being fetched by then may be there a few seconds later.
  const longestFetchS = 10;
  const late = starts.filter((s) => mute.has(s.machine) && s.atS > muteAt + 2.5 * report_s + 1 + longestFetchS);
  assert.deepEqual(late, []);
  assert.ok(starts.some((s) => mute.has(s.machine)));
});
