import assert from 'node:assert/strict';
import { test } from 'node:test';
import { spec } from './standins/jobs.js';
import { machineView, pendingJob } from './standins/placement.js';
import { JobOutcomes, JobRun, MachineHealth, type JobOutcome, type MachineState } from '../src/holder/index.js';
import { decodeJobRecord, encodeJobRecord } from '../src/jobs/index.js';
import { BitSet, jobId, machineId, millis, revision, shardName, wallMillis, type JobId } from '../src/kernel/index.js';
import { planPlacement, type Plan } from '../src/placement/index.js';

const SECOND = 1000;

function newRun(over: Parameters<typeof spec>[0]): JobRun {
  const job = spec(over);
  const record = {
    spec: job,
    shard: shardName('s'),
    submittedAt: wallMillis(0),
    done: BitSet.empty(job.tasks),
    awaits: [],
  };
  return new JobRun(record, revision(1), revision(1), millis(0));
}

/** The health of machines of one shard, and what is known of jobs that have left it. */
class Fleet {
  readonly outcomes = new Map<JobId, JobOutcome>();
  private readonly machines = new Map<number, MachineHealth>();

  machine(n: number): MachineHealth {
    const known = this.machines.get(n) ?? new MachineHealth((id) => this.outcomes.get(id) ?? 'open');
    this.machines.set(n, known);
    return known;
  }

  /** Tasks of a job fail on a machine. */
  fail(run: JobRun, n: number, atS: number, tasks: readonly number[] = [0, 1, 2], ranMs = 0): void {
    const health = this.machine(n);
    const now = millis(atS * SECOND);
    for (const index of tasks) {
      const failure = { index, machine: machineId(`m-${n}`), ranMs };
      const { state } = health.assess(now, () => []);
      run.noteFailure(failure, now, 0.5, health.hasWorkedSinceFailureOf(run.id));
      health.recordFailure(run, failure, now, state === 'probation');
    }
  }

  /** A task that was started at `startS` has run well on a machine. */
  work(n: number, startS: number): void {
    this.machine(n).recordGoodStart(millis(startS * SECOND), millis((startS + 10) * SECOND));
  }

  state(n: number, atS: number): MachineState {
    return this.machine(n).assess(millis(atS * SECOND), () => []).state;
  }

  faulty(n: number, atS: number): boolean {
    return this.machine(n).assess(millis(atS * SECOND), () => []).faulty;
  }
}

test('failures of a job that is cancelled before anything of it worked are held against no machine any more', () => {
  const fleet = new Fleet();
  const bad = newRun({ id: 'j-bad', tasks: 40 });
  fleet.fail(bad, 1, 0);
  fleet.fail(bad, 2, 3);
  assert.deepEqual([fleet.state(1, 3), fleet.state(2, 3)], ['suspended', 'suspended']);
  bad.ended = true;
  fleet.outcomes.set(bad.id, 'cancelled');
  assert.deepEqual([fleet.state(1, 4), fleet.state(2, 4)], ['healthy', 'healthy']);
  assert.equal(fleet.machine(1).hasFailures, false);
});

test('a burst of failures of a job at fault does not hide what other jobs have shown of the machine', () => {
  const fleet = new Fleet();
  for (const id of ['j-1', 'j-2']) fleet.fail(newRun({ id }), 1, 0, [0]);
  const bad = newRun({ id: 'j-bad', tasks: 200 });
  for (const n of [1, 2, 3])
    fleet.fail(
      bad,
      n,
      1,
      Array.from({ length: 100 }, (_, index) => index),
    );
  assert.ok(bad.failsEverywhere);
  assert.equal(fleet.state(1, 2), 'suspended');
});

test('a machine that nothing has shown to be at fault is not given back', () => {
  const fleet = new Fleet();
  const run = newRun({ id: 'j-1', tasks: 10 });
  fleet.fail(run, 1, 0);
  assert.deepEqual([fleet.state(1, 0), fleet.faulty(1, 0)], ['suspended', false]);
  // Other tasks of the job working is not enough: some of its tasks may have a mistake.
  run.markDone(9);
  assert.equal(fleet.faulty(1, 1), false);
  for (const index of [0, 1, 2]) run.markDone(index);
  assert.equal(fleet.faulty(1, 1), true);
  assert.equal(fleet.faulty(1, 200), false);
});

test('failures of a job that was moved count when it is done in another shard', () => {
  const fleet = new Fleet();
  const run = newRun({ id: 'j-1', tasks: 3 });
  fleet.fail(run, 1, 0);
  run.ended = true;
  assert.deepEqual([fleet.state(1, 14), fleet.state(1, 16)], ['suspended', 'probation']);
  fleet.outcomes.set(run.id, 'works');
  assert.deepEqual([fleet.state(1, 16), fleet.faulty(1, 16)], ['suspended', false]);
  fleet.outcomes.set(run.id, 'done');
  assert.deepEqual([fleet.state(1, 59), fleet.faulty(1, 59)], ['suspended', true]);
});

test('a sound job that met three bad machines first is not held to be at fault, and the machines are', () => {
  const fleet = new Fleet();
  const run = newRun({ id: 'j-1', tasks: 3 });
  for (const n of [1, 2, 3]) fleet.fail(run, n, n);
  assert.ok(run.failsEverywhere);
  assert.equal(fleet.state(1, 4), 'healthy');
  for (const index of [0, 1, 2]) run.markDone(index);
  assert.equal(run.failsEverywhere, false);
  for (const n of [1, 2, 3]) assert.deepEqual([fleet.state(n, 20), fleet.faulty(n, 20)], ['suspended', true]);
});

test('tasks with a mistake in an array whose other tasks work are not held against machines', () => {
  const fleet = new Fleet();
  const run = newRun({ id: 'j-1', tasks: 10 });
  run.markDone(9);
  for (const n of [1, 2, 3]) fleet.fail(run, n, n);
  assert.deepEqual(
    [1, 2, 3].map((n) => fleet.state(n, 4)),
    ['healthy', 'healthy', 'healthy'],
  );
});

test('on a single machine, a job that fails twice while others work there is at fault', () => {
  const fleet = new Fleet();
  const bad = newRun({ id: 'j-bad', tasks: 10 });
  fleet.fail(bad, 1, 0);
  fleet.work(1, 20);
  fleet.fail(bad, 1, 60);
  assert.ok(bad.failsEverywhere);
  assert.equal(fleet.state(1, 60), 'healthy');
});

test('a job that was moved is known to have failed elsewhere until a task of it has worked', () => {
  const first = newRun({ id: 'j-1', tasks: 3 });
  const fleet = new Fleet();
  for (const n of [1, 2]) fleet.fail(first, n, n);
  const stored = encodeJobRecord({ ...first.record, shard: shardName('t'), failedOn: first.machinesToReport });
  const moved = decodeJobRecord(JSON.parse(JSON.stringify(stored)));
  assert.ok(moved);
  const second = new JobRun(moved, revision(2), revision(1), millis(0));
  assert.equal(second.failsEverywhere, false);
  fleet.fail(second, 3, 5);
  assert.ok(second.failsEverywhere);
  second.markDone(0);
  assert.deepEqual([second.failsEverywhere, second.machinesToReport], [false, []]);
});

test('a job whose tasks fail after half a minute is recognized, although each has run for a while', () => {
  const fleet = new Fleet();
  const bad = newRun({ id: 'j-bad', kind: 'service', tasks: 3 });
  for (const n of [1, 2, 3]) {
    bad.noteRunning({ runningAt: millis(0) } as never, millis(30 * SECOND));
    fleet.fail(bad, n, 40 * n, [n - 1], 30 * SECOND);
  }
  assert.ok(bad.failsEverywhere);
});

test('a machine whose tasks fail is tried again after a pause that doubles, one task at a time', () => {
  const fleet = new Fleet();
  const pauses: number[] = [];
  let atS = 0;
  for (let round = 0; round < 5; round++) {
    fleet.fail(newRun({ id: `j-${round}`, tasks: 3 }), 1, atS, round === 0 ? [0, 1, 2] : [0]);
    let pauseS = 0;
    while (fleet.state(1, atS + pauseS) === 'suspended') pauseS += 1;
    pauses.push(pauseS);
    atS += pauseS;
    const health = fleet.machine(1);
    assert.equal(health.assess(millis(atS * SECOND), () => []).startLimit, 1);
    const trial = { startedAt: millis(atS * SECOND), gang: null };
    assert.equal(health.assess(millis((atS + 1) * SECOND), () => [trial]).startLimit, 0);
  }
  assert.deepEqual(pauses, [15, 30, 60, 70, 70]);
});

test('a machine on which three tasks have run well after a failure gets tasks as any other', () => {
  const fleet = new Fleet();
  fleet.fail(newRun({ id: 'j-1', tasks: 3 }), 1, 0);
  const limits = [20, 32, 44].map((startS) => {
    const { startLimit } = fleet.machine(1).assess(millis(startS * SECOND), () => []);
    fleet.work(1, startS);
    return startLimit;
  });
  assert.deepEqual(limits, [1, 3, 5]);
  assert.equal(fleet.state(1, 56), 'healthy');
});

test('the verdict of an earlier holder ends without new evidence', () => {
  const fleet = new Fleet();
  fleet.machine(1).inheritFaulty(millis(0));
  assert.deepEqual([fleet.state(1, 69), fleet.state(1, 71)], ['suspended', 'probation']);
  assert.deepEqual([fleet.faulty(1, 69), fleet.faulty(1, 71)], [true, false]);
  assert.equal(fleet.state(1, 1801), 'healthy');
});

test('a machine that was slow once is tried again, and is forgotten to have been slow', () => {
  const health = new MachineHealth(() => 'open');
  const assess = (atS: number): ReturnType<typeof health.assess> => health.assess(millis(atS * SECOND), () => []);
  for (const atS of [0, 1, 2, 3, 4]) health.recordRun(jobId('j-1'), 4, millis(atS * SECOND));
  assert.deepEqual([assess(4).state, assess(18).state], ['suspended', 'suspended']);
  assert.deepEqual([assess(20).state, assess(20).startLimit], ['probation', 1]);
  assert.equal(assess(183).state, 'probation');
  assert.deepEqual(assess(185), { state: 'healthy', faulty: false, suspicion: 0, startLimit: Infinity });
});

test('a slow machine is suspended again by each slow run, and healthy after some at the usual speed', () => {
  const health = new MachineHealth(() => 'open');
  const stateAt = (atS: number): MachineState => health.assess(millis(atS * SECOND), () => []).state;
  for (const atS of [0, 1, 2, 3, 80]) health.recordRun(jobId(`j-${atS}`), 4, millis(atS * SECOND));
  assert.deepEqual([stateAt(149), stateAt(151)], ['suspended', 'probation']);
  for (const atS of [151, 152, 153, 154, 155]) health.recordRun(jobId('j-1'), 1, millis(atS * SECOND));
  assert.equal(stateAt(156), 'healthy');
});

test('run times of a single job do not get a machine given back', () => {
  const health = new MachineHealth(() => 'open');
  const isFaulty = (): boolean => health.assess(millis(10 * SECOND), () => []).faulty;
  for (const atS of [0, 1, 2, 3]) health.recordRun(jobId('j-1'), 5, millis(atS * SECOND));
  assert.equal(isFaulty(), false);
  health.recordRun(jobId('j-2'), 5, millis(4 * SECOND));
  assert.equal(isFaulty(), true);
});

test('a machine on probation gets one task of an array at a time, and other jobs only when they find no room', () => {
  const probation = machineView('m-1', { startLimit: 1 });
  const plan = (machines: (typeof probation)[], job: ReturnType<typeof pendingJob>): Plan =>
    planPlacement({ machines, pending: [job], teams: new Map(), maxStarts: 10, reserve: null });
  const array = pendingJob(spec({ id: 'j-1', tasks: 3 }));
  assert.equal(plan([probation], array).starts.length, 1);
  const healthy = machineView('m-2');
  assert.deepEqual(new Set(plan([probation, healthy], array).starts.map(({ machine }) => machine)), new Set(['m-2']));
  const service = pendingJob(spec({ id: 'j-2', kind: 'service', priority: 3, tasks: 2 }));
  assert.equal(plan([probation], service).starts.length, 0);
  assert.equal(plan([probation], { ...service, unplacedS: 15 }).starts.length, 1);
  // A job that was moved here has waited elsewhere.
  assert.equal(plan([probation], { ...service, waitedS: 15 }).starts.length, 1);
  const gang = pendingJob(spec({ id: 'j-3', kind: 'gang', tasks: 2 }), { unplacedS: 15 });
  assert.equal(plan([probation], gang).starts.length, 2);
});

test('failures that nothing was tried after are forgotten: suspicion after 180 s, probation after half an hour', () => {
  const fleet = new Fleet();
  fleet.fail(newRun({ id: 'j-1', tasks: 3 }), 1, 0);
  const suspicionAt = (atS: number): number => fleet.machine(1).assess(millis(atS * SECOND), () => []).suspicion;
  assert.deepEqual([suspicionAt(179), suspicionAt(181)], [3, 0]);
  assert.deepEqual([fleet.state(1, 1799), fleet.state(1, 1801)], ['probation', 'healthy']);
});

test('a start on probation that shows nothing for half a minute makes way for the next', () => {
  const fleet = new Fleet();
  fleet.fail(newRun({ id: 'j-1', tasks: 3 }), 1, 0);
  const limitAt = (atS: number): number =>
    fleet.machine(1).assess(millis(atS * SECOND), () => [{ startedAt: millis(20 * SECOND), gang: null }]).startLimit;
  assert.deepEqual([limitAt(21), limitAt(49), limitAt(51)], [0, 0, 1]);
});

test('the tasks of a gang are one trial, and tasks from before the last failure are none', () => {
  const fleet = new Fleet();
  fleet.fail(newRun({ id: 'j-1', tasks: 3 }), 1, 10);
  fleet.work(1, 30);
  const limitWith = (startedAtS: number, gang: JobId | null): number => {
    const task = { startedAt: millis(startedAtS * SECOND), gang };
    return fleet.machine(1).assess(millis(31 * SECOND), () => [task, task]).startLimit;
  };
  assert.deepEqual([limitWith(30, jobId('j-2')), limitWith(30, null), limitWith(9, null)], [2, 1, 3]);
});

test('a job that failed before a machine recovered, and fails there again, is at fault', () => {
  const fleet = new Fleet();
  const bad = newRun({ id: 'j-bad', tasks: 10 });
  fleet.fail(bad, 1, 0);
  for (const startS of [20, 31, 32]) fleet.work(1, startS);
  assert.equal(fleet.machine(1).hasFailures, false);
  fleet.fail(bad, 1, 60);
  assert.ok(bad.failsEverywhere);
});

test('a job that may not be tried on probation does not keep another of its kind from being tried there', () => {
  const machines = [machineView('m-1', { startLimit: 1 })];
  const service = (id: string): ReturnType<typeof spec> => spec({ id, kind: 'service', priority: 3 });
  const pending = [pendingJob(service('j-1')), pendingJob(service('j-2'), { unplacedS: 15 })];
  const { starts } = planPlacement({ machines, pending, teams: new Map(), maxStarts: 10, reserve: null });
  assert.deepEqual(
    starts.map(({ job }) => job),
    ['j-2'],
  );
});

test('nothing is preempted on a machine on probation', () => {
  const victim = {
    job: jobId('j-9'),
    index: 0,
    priority: 0 as const,
    cpus: 4,
    gpus: 0,
    memoryGb: 1,
    lossS: 0,
    stopping: false,
  };
  const full = { freeCpus: 0, running: [victim] };
  const stopsOn = (startLimit: number, kind: 'service' | 'gang'): number =>
    planPlacement({
      machines: [machineView('m-1', { ...full, startLimit })],
      pending: [pendingJob(spec({ id: 'j-1', kind, priority: 3 }), { unplacedS: 15 })],
      ...{ teams: new Map(), maxStarts: 10, reserve: null },
    }).stops.length;
  for (const kind of ['service', 'gang'] as const)
    assert.deepEqual([stopsOn(Infinity, kind), stopsOn(1, kind)], [1, 0]);
});

/** What has become of a job, as a holder finds out with these final records, open jobs and task counts. */
function outcomesWith(known: { final?: 'done' | 'cancelled'; open?: boolean; running?: number; done?: number }) {
  const clock = { now: 0, reads: 0 };
  const outcomes = new JobOutcomes({
    registry: {
      cachedFinalOf: () => (known.final ? { phase: known.final, done: 0, at: null } : undefined),
      isKnownEnded: () => false,
      readState: () => {
        clock.reads += 1;
        return Promise.resolve({ kind: 'absent' });
      },
    },
    mirror: { get: () => (known.open === true ? {} : undefined) },
    runtime: { now: () => millis(clock.now) },
    progressOf: () => ({ running: known.running ?? 0, done: known.done ?? 0 }),
    requestRound: () => undefined,
  } as never);
  return { clock, at: (atS: number): JobOutcome => ((clock.now = atS * SECOND), outcomes.of(jobId('j-1'))) };
}

test('a job that was moved works once a task of it is done in another shard or runs there for ten seconds', () => {
  assert.equal(outcomesWith({ final: 'done' }).at(0), 'done');
  assert.equal(outcomesWith({ final: 'cancelled' }).at(0), 'cancelled');
  assert.equal(outcomesWith({ open: true }).at(0), 'open');
  assert.equal(outcomesWith({ open: true, done: 1 }).at(0), 'works');
  const running = outcomesWith({ open: true, running: 1 });
  assert.deepEqual([running.at(0), running.at(9), running.at(10)], ['open', 'open', 'works']);
});

test('the final record of a job that has left is read at most once in five seconds', () => {
  const gone = outcomesWith({});
  for (let atS = 0; atS < 20; atS += 0.25) assert.equal(gone.at(atS), 'open');
  assert.equal(gone.clock.reads, 4);
});
