import assert from 'node:assert/strict';
import { existsSync, readFileSync } from 'node:fs';
import { test } from 'node:test';
import fc from 'fast-check';
import { pino } from 'pino';
import { scaleScenario, type SimulationScenario } from '../src/index.js';
import {
  capacityRun,
  checkRunSize,
  CAPACITY_DIMENSIONS,
  estimateMemoryBytes,
  OrderedEvents,
  ScaleRun,
  fitSlopes,
  UsageMeter,
  type ScaleOptions,
  type ScaleResult,
} from '../src/scale/index.js';
import { shippedDay } from './test-days.js';

const GB = 1e9;
const machineCount = (day: SimulationScenario): number => day.machines.reduce((sum, { count }) => sum + count, 0);

test('the shipped day `scale` has the planned size, and scaling it by a share scales its parts', () => {
  const day = shippedDay('scale');
  assert.equal(machineCount(day), 1400);
  assert.equal(day.zones.length, 9);
  assert.equal(day.teams.length, 52);
  const accelerators = day.machines.reduce((sum, { type, count }) => sum + (type === 'accelerated' ? 8 * count : 0), 0);
  assert.ok(accelerators >= 1900);
  for (const share of [0.02, 0.125, 0.25, 0.5]) {
    const part = scaleScenario(day, share);
    assert.ok(Math.abs(machineCount(part) - 1400 * share) <= 2, `${machineCount(part)} at ${share}`);
    assert.equal(part.teams.length, 52);
    const used = new Set(part.machines.map(({ zone }) => zone));
    assert.deepEqual([...used].sort(), [...part.zones].sort());
    for (const { zone, type, spot, count } of part.machines) {
      const capacity = part.capacity.find((entry) => entry.zone === zone && entry.type === type);
      assert.ok(capacity && count <= (spot ? capacity.spot : capacity.ordinary), `${type} in ${zone}`);
    }
    // The limits of the teams admit the largest jobs, which would be refused otherwise.
    for (const team of part.teams) assert.ok(team.gpus_max >= 64 && team.cpus_max >= 256);
    for (const fault of part.troubles)
      if ('zone' in fault && fault.zone !== undefined) assert.ok(part.zones.includes(fault.zone));
  }
  for (const dimension of CAPACITY_DIMENSIONS) assert.equal(capacityRun(day, dimension, 1).day.troubles.length, 0);
});

test('a run that needs too many processes or more than half of the memory is refused with the exceeded limit', () => {
  const size = { controllers: 7, hollowProcesses: 4, workers: 1400, tasks: 16_000 };
  checkRunSize(size, 24 * GB);
  assert.throws(
    () => checkRunSize(size, 2 * GB),
    /the scale run needs about \d+ MB of memory, more than half \(1000 MB\)/,
  );
  assert.throws(
    () => checkRunSize({ ...size, hollowProcesses: 300 }, 1000 * GB),
    /needs 308 processes, more than the limit of 300/,
  );
  assert.throws(() => checkRunSize({ ...size, controllers: 0 }, 24 * GB), /1 to 50 controllers, not 0/);
  assert.ok(estimateMemoryBytes({ ...size, workers: 2800 }) > estimateMemoryBytes(size));
});

test('model: events of several processes are released in time order, each after the delay', () => {
  const DELAY_MS = 50;
  const eventTimes = fc.array(fc.nat(400), { maxLength: 30 }).map((times) => times.sort((a, b) => a - b));
  fc.assert(
    fc.property(fc.array(eventTimes, { minLength: 1, maxLength: 4 }), fc.nat(DELAY_MS - 1), (processes, delay) => {
      const all = processes.flat().sort((a, b) => a - b);
      const released: number[] = [];
      let now = 0;
      const events = new OrderedEvents<number>(DELAY_MS, (event, atMs) => {
        assert.equal(event, atMs);
        assert.ok(now - atMs >= DELAY_MS);
        released.push(event);
      });
      for (; now <= 600; now++) {
        processes.forEach((times, i) => {
          // Events of the first process arrive at once, those of the others late but within the delay.
          for (const at of times) if (at + (i === 0 ? 0 : delay) === now) events.add(at, at);
        });
        events.advance(now);
      }
      assert.deepEqual(released, all);
      assert.equal(events.late, 0);
    }),
    { seed: 11, numRuns: 60 },
  );
});

test('CPU time is added up across restarts of a process, and an exit between two samples is no error', () => {
  let now = 0;
  let pid = 1;
  const cpu = new Map<number, number>([[1, 100]]);
  const meter = new UsageMeter(
    () => now,
    () => [{ role: 'controller', name: 'node-0', pid }],
    (of) => {
      const cpuS = cpu.get(of);
      if (cpuS === undefined) throw new Error('gone');
      return { cpuS, residentBytes: 50e6, peakBytes: 60e6 };
    },
  );
  meter.begin();
  [now] = [1000];
  cpu.set(1, 100.5);
  meter.sample();
  cpu.delete(1);
  now = 2000;
  meter.sample();
  pid = 2;
  cpu.set(2, 0.25);
  now = 3000;
  meter.sample();
  const [line] = meter.results();
  assert.ok(line);
  assert.ok(Math.abs(line.cores - 0.25) < 1e-9, `${line.cores}`);
  assert.ok(Math.abs(line.coresPeak - 0.5) < 1e-9);
});

test('fitSlopes finds a line and predicts the full size, and values off the line show in the residual', () => {
  const sample = (amount: number, offLine = 0) => ({
    amount,
    figures: { cores: 0.01 + 0.002 * amount, scattered: offLine },
  });
  const fitted = [sample(10, 1), sample(20, 5), sample(30, 1), sample(40, 5)];
  const [cores, scattered] = fitSlopes(fitted, sample(80, 3));
  assert.ok(cores && scattered);
  assert.ok(Math.abs(cores.slope - 0.002) < 1e-12 && Math.abs(cores.predicted - cores.measured) < 1e-9);
  assert.ok(cores.residual < 1e-9 && cores.rSquared > 0.999);
  assert.ok(scattered.residual > 1 && scattered.rSquared < 0.5);
});

const options = (day: SimulationScenario, overrides: Partial<ScaleOptions> = {}): ScaleOptions => ({
  day: {
    ...day,
    ...{ duration_s: 1000, quiet_end_s: 0, troubles: [] },
    // Starts a task in every second of the short measurement.
    classes: day.classes.map((c) => (c.name === 'urgent' ? { ...c, per_minute: 120 } : c)),
    controllers: { ...day.controllers, count: 2 },
  },
  ...{ hollowProcesses: 2, warmupS: 6, seconds: 4, changesPerMinute: 60, changesAtOnce: 10 },
  launch: { node: process.execPath, controllerFlags: [], script: 'target/main.cjs' },
  log: pino({ level: 'silent' }),
  ...{ ownPid: process.pid, machineBytes: 24 * GB },
  ...overrides,
});

const isAlive = (pid: number): boolean => existsSync(`/proc/${pid}`);

/** Collects the child processes of a run while it runs. */
class ChildProcessRecorder {
  readonly pids = new Set<number>();

  sample(): void {
    for (const pid of childrenOf(process.pid)) this.pids.add(pid);
  }
}

function childrenOf(pid: number): number[] {
  const listedPids = readFileSync(`/proc/${pid}/task/${pid}/children`, 'utf8').trim();
  return listedPids === '' ? [] : listedPids.split(' ').map(Number);
}

test('a scale run with 28 hollow workers in two processes measures every role and leaves no process running', async () => {
  const children = new ChildProcessRecorder();
  const run = new ScaleRun(options(scaleScenario(shippedDay('scale'), 0.02), { progress: () => children.sample() }));
  const result: ScaleResult = await run.run();
  assert.deepEqual(result.breaches, []);
  assert.equal(result.workers, 28);
  assert.ok(result.tasks.runningPeak > 20, `${result.tasks.runningPeak} running`);
  assert.deepEqual(result.processes.map(({ role }) => role).sort(), [
    ...['controller', 'controller', 'models', 'workers', 'workers'],
  ]);
  for (const { name, residentMb } of result.processes) assert.ok(residentMb > 10, `${name}: ${residentMb} MB`);
  for (const { name, messagesPerS } of result.interfaces.slice(0, 3)) assert.ok(messagesPerS > 0, name);
  assert.ok((result.peerFrames['hello']?.framesPerS ?? 0) > 0);
  assert.ok(result.configuration.stored >= 10 && result.configuration.stored === result.configuration.sent);
  assert.ok(result.configuration.inForceMs && result.configuration.inForceMs.p99 < 4000);
  assert.equal(children.pids.size, 4);
  await assertAllExited([...children.pids]);
});

test('a scale run whose controllers do not start rejects with a one-line error and leaves no process running', async () => {
  const children = new ChildProcessRecorder();
  const invalidLaunch = { node: process.execPath, controllerFlags: ['--no-such-flag'], script: 'target/main.cjs' };
  const run = new ScaleRun(
    options(scaleScenario(shippedDay('scale'), 0.02), { launch: invalidLaunch, progress: () => children.sample() }),
  );
  await assert.rejects(run.run(), /^ScaleError: node-\d exited before it was healthy; .*no-such-flag/);
  await assertAllExited([...children.pids]);
});

test('a day that a scale run does not support is refused before any process is started, naming the field', () => {
  const day = scaleScenario(shippedDay('scale'), 0.02);
  const assertRefused = (changed: SimulationScenario, what: RegExp): void => {
    assert.throws(() => new ScaleRun({ ...options(day), day: changed }), what);
  };
  assertRefused({ ...day, machines: day.machines.map((m, i) => ({ ...m, spot: i === 1 })) }, /machines\.1\.spot/);
  assertRefused({ ...day, troubles: [{ kind: 'watch_forgets', at_s: 5 }] }, /troubles\.0\.kind: .*watch_forgets/);
});

async function assertAllExited(pids: readonly number[]): Promise<void> {
  const deadlineMs = Date.now() + 5000;
  while (pids.some(isAlive) && Date.now() < deadlineMs) await new Promise((resolve) => setTimeout(resolve, 50));
  assert.deepEqual(pids.filter(isAlive), []);
}
