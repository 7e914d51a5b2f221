import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { drawFault } from '../src/hunt/index.js';
import { RandomStream, Region, type SimulationScenario, type DayResult, type Fault } from '../src/index.js';
import { shortDay } from './test-days.js';

/** Length of the end of a day in which no job arrives. */
const QUIET_END_S = 130;
/** A short day with these faults, in the order of their times. */
const dayWith = (faults: readonly Fault[], seed = 7): SimulationScenario => {
  const short = shortDay(
    260,
    [...faults].sort((a, b) => a.at_s - b.at_s),
    seed,
  );
  return { ...short, quiet_end_s: QUIET_END_S };
};

/** The result of a day with its event log and the controllers' logs. */
interface PlayedDay {
  readonly result: DayResult;
  readonly events: readonly string[];
  readonly logs: string;
}

/** The longest run time of a task that ends by itself, on the slowest machine, with some seconds to store its end. */
const LONGEST_RUN_S = 100;

/** The open jobs, services apart, that have a task which has neither finished nor runs. */
function jobsThatWait({ parts }: Region): string[] {
  return parts.statistics.open.filter((ref) => {
    const job = parts.jobs.get(ref);
    if (!job || job.spec.shape === 'daemon') return false;
    const tasks = parts.machinesOf(ref).flatMap((worker) => [...worker.tasks.all]);
    const running = tasks.filter((task) => task.job === job && task.phase === 'running');
    return job.finished.size + running.length < job.spec.pieces;
  });
}

/**
 * Simulates a day and checks that every rule is kept, that every class, team and large job is served, that no job waits
 * at its end, and that every job that can end does so in the time that its running tasks need.
 */
async function playKeepingJobs(day: SimulationScenario): Promise<PlayedDay> {
  const events: string[] = [];
  const logs: string[] = [];
  const region = new Region({
    day,
    event: (line) => events.push(line),
    controllerLog: { level: 'info', write: (line) => logs.push(line) },
  });
  await region.play();
  assert.deepEqual(jobsThatWait(region), []);
  await region.play(day.duration_s + LONGEST_RUN_S);
  const result = region.close();
  assert.deepEqual([result.breaches, result.defects, result.failures], [[], [], []]);
  for (const c of result.classes) if (c.shape !== 'service') assert.equal(c.open, 0, c.name);
  assert.ok(result.classes.some(({ tasksStarted }) => tasksStarted > 10));
  return { result, events, logs: logs.join('') };
}

const cut = (at_s: number, for_s: number, controller: number | 'leader'): Fault => ({
  ...{ kind: 'controller_cut', at_s, for_s, controller, from: 'state and controllers', manner: 'hold' },
});
const crash = (at_s: number, controller: number | 'leader' | 'all', down_s: number): Fault => ({
  ...{ kind: 'controller_crash', at_s, controller, down_s },
});
const duplicateReports = (late_s: number, for_s = 90): Fault => ({
  kind: 'reports_again',
  at_s: 20,
  for_s,
  share: 0.5,
  late_s,
});

/** Faults that are combined with each case. */
const ADDITIONAL_FAULTS: Readonly<Record<string, readonly Fault[]>> = {
  alone: [],
  'the state service is unavailable': [{ kind: 'state_outage', at_s: 55, for_s: 20 }],
  'the state service is slow': [{ kind: 'state_slow', at_s: 45, for_s: 40, times: 30 }],
  'a takeover': [crash(52, 1, 15)],
  'a cut that holds packets': [
    { kind: 'controller_cut', at_s: 48, for_s: 25, controller: 2, from: 'workers', manner: 'hold' },
  ],
};

/** Faults that the first description of the protocol did not cover. */
const CASES: Readonly<Record<string, readonly Fault[]>> = {
  'reports of one machine arrive, but no responses or commands reach it': [
    { kind: 'machines_deaf', at_s: 45, for_s: 60, count: 1 },
  ],
  'reports of eight machines arrive, but no responses or commands reach them': [
    { kind: 'machines_deaf', at_s: 45, for_s: 60, count: 8 },
  ],
  'reports of a whole zone arrive, but no responses or commands reach it': [
    { kind: 'machines_deaf', at_s: 45, for_s: 45, share: 1, zone: 'south' },
  ],
  'duplicate reports arrive seconds late': [duplicateReports(3)],
  'duplicate reports arrive later than the duration of a lease': [duplicateReports(60)],
  'a controller is cut off from the state service and the controllers for 3 s': [cut(50, 3, 1)],
  'controllers are cut off from them for about the duration of a controller lease and of a worker lease': [
    cut(50, 4.2, 1),
    cut(70, 18, 0),
  ],
  'the leader is cut off from them for a minute': [cut(50, 60, 'leader')],
  flapping: [45, 53, 61, 69, 77].map((at_s) => cut(at_s, 5, 1)),
  'controllers restart within less than a second': [
    crash(45, 'leader', 0.05),
    crash(60, 1, 0.2),
    crash(60.5, 1, 0.05),
    crash(75, 'all', 0.9),
  ],
  'all controllers restart within 50 ms in the middle of an election': [
    crash(45, 'leader', 6),
    ...[0, 1, 2].map((controller) => crash(49.1 + controller * 0.15, controller, 0.05)),
    crash(50.2, 'all', 0.05),
  ],
  'machines restart within less than a second, with a new session and sequence': [
    { kind: 'machines_restart', at_s: 45, share: 0.4, down_s: 0.05 },
    { kind: 'machines_restart', at_s: 60, share: 1, down_s: 0.2 },
    { kind: 'machines_restart', at_s: 60.6, share: 0.5, down_s: 0.9 },
  ],
};

for (const [name, faults] of Object.entries(CASES)) {
  test(`${name}: every accepted job runs or stays known`, async () => {
    for (const additional of Object.values(ADDITIONAL_FAULTS))
      await playKeepingJobs(dayWith([...faults, ...additional]));
  });
}

test('a machine that receives nothing gets no new tasks, and is replaced', async () => {
  const { logs } = await playKeepingJobs(dayWith([{ kind: 'machines_deaf', at_s: 45, for_s: 60, count: 3 }]));
  assert.match(logs, /gave back machines that were lost or faulty/);
});

test('a controller that reaches only its workers fails its health check, and responds to users at once', async () => {
  const region = new Region({ day: dayWith([cut(50, 30, 1)]) });
  await region.play(62);
  const { spec } = region.controllers[1] ?? assert.fail();
  const externalProcess = region.createExternalProcess('asker');
  const { HttpClient } = await import('../../../src/kernel/index.js');
  const client = new HttpClient(spec.serveOn, 1, externalProcess);
  const responses = [
    client.call({ method: 'GET', path: '/healthz', timeoutMs: 2000 }),
    client.call({ method: 'GET', path: '/v1/jobs/j-000001', timeoutMs: 4000 }),
  ];
  await region.play(67);
  const [health, poll] = await Promise.all(responses);
  assert.ok(health?.kind === 'answered' && poll?.kind === 'answered' && poll.status === 503);
  assert.equal(poll.retryAfterS, 1);
  client.close();
  assert.deepEqual(region.close().breaches, []);
});

test('random fault schedules over these kinds of faults: every rule is kept', async () => {
  const kinds = new Set(['machines_deaf', 'reports_again', 'machines_restart', 'controller_cut', 'controller_crash']);
  await fc.assert(
    fc.asyncProperty(fc.integer({ min: 0, max: 2 ** 30 }), async (seed) => {
      const random = new RandomStream(seed, 'left out');
      const base = shortDay(150, [], seed);
      const drawn: Fault[] = [];
      while (drawn.length < 5) {
        const fault = drawFault(random, base);
        if (kinds.has(fault.kind) || drawn.length === 4) drawn.push(fault);
      }
      const region = new Region({ day: { ...base, troubles: drawn } });
      await region.play();
      const { breaches, defects } = region.close();
      assert.deepEqual([breaches, defects], [[], []]);
    }),
    { seed: 3, numRuns: 12, endOnFailure: true },
  );
});

test('machines that answer commands but reach no controller soon get no new tasks, and are returned', async () => {
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
  const muteMachines = new Set(
    [...region.parts.workers].filter(([, { model }]) => model.dropsOutbound).map(([id]) => id),
  );
  assert.ok(muteMachines.size >= 5, String(muteMachines.size));
  // By then the lease and two report intervals are over, and the leader has asked the cloud for its machines.
  await region.play(muteAt + lease_s + 2 * report_s + 15);
  assert.deepEqual(
    [...region.parts.workers.keys()].filter((id) => muteMachines.has(id)),
    [],
  );
  await region.play();
  const { breaches, defects } = region.close();
  assert.deepEqual([breaches, defects], [[], []]);
  // A task whose image was being fetched may still start a few seconds later.
  const longestFetchS = 10;
  const lateStarts = starts.filter(
    (s) => muteMachines.has(s.machine) && s.atS > muteAt + 2.5 * report_s + 1 + longestFetchS,
  );
  assert.deepEqual(lateStarts, []);
  assert.ok(starts.some((s) => muteMachines.has(s.machine)));
});
