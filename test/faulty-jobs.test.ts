import assert from 'node:assert/strict';
import { test } from 'node:test';
import { spec } from './standins/jobs.js';
import { machineView, pendingJob } from './standins/placement.js';
import { HeldMachine, JobRun, orderedTask, type TaskFailure } from '../src/holder/index.js';
import {
  attempt,
  BitSet,
  createLogger,
  jobId,
  machineId,
  millis,
  revision,
  shardName,
  SocketBudget,
  systemRuntime,
  taskKey,
  wallMillis,
  type Millis,
} from '../src/kernel/index.js';
import { planPlacement, type MachineView, type PendingJob } from '../src/placement/index.js';
import { TaskIndex } from '../src/workers/index.js';

const run = (over: Parameters<typeof spec>[0]): JobRun => {
  const job = spec(over);
  const record = {
    ...{ spec: job, shard: shardName('s'), submittedAt: wallMillis(0), done: BitSet.empty(job.tasks) },
    awaits: [],
  };
  return new JobRun(record, revision(1), revision(1), millis(0));
};
const m = (n: number): ReturnType<typeof machineId> => machineId(`m-${n}`);
/** A machine as its holder keeps it. */
function heldMachine(): HeldMachine {
  const clock = { now: () => millis(0), wall: () => wallMillis(0) };
  const info = { id: m(1), type: 't', zone: 'z', spot: false, address: '' };
  const hooks = { heard: (): void => undefined, superseded: (): void => undefined, outcomeOf: (): 'open' => 'open' };
  return new HeldMachine(
    info,
    revision(1),
    { ...systemRuntime, ...clock },
    createLogger('silent', 't'),
    new TaskIndex(),
    hooks,
    new SocketBudget(10),
  );
}
/** A failure of a task on machine `n`, right after its start. */
const failed = (index: number, n: number): TaskFailure => ({ index, machine: m(n), ranMs: 0 });

test('a job that fails on every machine is retried with exponential backoff; simultaneous failures count once', () => {
  const job = run({ id: 'j-1', tasks: 60 });
  const pauses: number[] = [];
  let now = 0;
  for (let round = 0; round < 8; round++) {
    for (let task = 0; task < 20; task++) job.noteFailure(failed(task, task), millis(now), 0.5);
    pauses.push(job.notBefore - now);
    now = job.notBefore;
  }
  assert.ok(job.failsEverywhere);
  assert.deepEqual(pauses, [2000, 4000, 8000, 16_000, 32_000, 60_000, 60_000, 60_000]);
  // One completed task shows that the job itself is not at fault.
  job.markDone(0);
  assert.equal(job.failsEverywhere, false);
});

test('a job with a task that has run for a while is not considered at fault when faulty machines fail it', () => {
  // A service never completes a task, so only its run time shows that it works. It must not be placed last because of
  // its third faulty machine.
  const job = run({ id: 'j-1', kind: 'service', tasks: 2 });
  const task = { index: 0, machine: m(9), attempt: 1, orderedAt: millis(0), state: 'running', stopping: null } as const;
  job.active.set(0, { ...task, runningAt: millis(0) } as never);
  for (let i = 0; i < 3; i++) job.noteFailure(failed(1, i), millis(11_000), 0.5);
  assert.equal(job.failsEverywhere, false);
  const newJob = run({ id: 'j-2', kind: 'service', tasks: 2 });
  for (let i = 0; i < 3; i++) newJob.noteFailure(failed(1, i), millis(11_000), 0.5);
  assert.ok(newJob.failsEverywhere);
});

test('a machine gets no tasks if several jobs fail there or its last holder says so; a job at fault does not count', () => {
  const machine = heldMachine();
  const stateAt = (now: number): string => machine.assess(millis(now)).state;
  const bad = run({ id: 'j-bad', tasks: 10 });
  for (let i = 0; i < 3; i++) machine.noteFailure(bad, { index: i, ranMs: 0 }, millis(1), 0.5);
  assert.equal(stateAt(1), 'suspended');
  for (let i = 2; i < 4; i++) bad.noteFailure(failed(i, i), millis(1), 0.5);
  assert.equal(stateAt(1), 'healthy');
  machine.noteFailure(run({ id: 'j-1' }), { index: 0, ranMs: 0 }, millis(1), 0.5);
  assert.equal(stateAt(1), 'healthy');
  machine.noteFailure(run({ id: 'j-2' }), { index: 0, ranMs: 0 }, millis(1), 0.5);
  assert.equal(stateAt(1), 'suspended');
  for (const n of [1, 2, 3])
    machine.noteWorked(orderedTask({ index: n, attempt: attempt(n) }, m(1), millis(2), { adopted: false }), millis(3));
  assert.equal(stateAt(3), 'healthy');
  machine.markFaulty(millis(5));
  assert.equal(stateAt(5), 'suspended');
  assert.ok(machine.assess(millis(5)).faulty);
  assert.equal(machine.assess(millis(400_000)).faulty, false);
  assert.notEqual(stateAt(400_000), 'suspended');
});

test('a job that fails on every machine preempts nothing and is placed after all other jobs', () => {
  const view = machineView('m-1', { cpus: 1, freeCpus: 1 });
  const pending = (over: Partial<PendingJob>, job: Parameters<typeof spec>[0]): PendingJob =>
    pendingJob(spec({ ...job, tasks: 1 }), { workS: 1, ...over });
  const plan = (machine: MachineView, jobs: PendingJob[]): ReturnType<typeof planPlacement> =>
    planPlacement({ machines: [machine], pending: jobs, teams: new Map(), maxStarts: 10, reserve: null });
  const suspect = pending({ suspect: true }, { id: 'j-1', kind: 'service', priority: 3 });
  const low = pending({}, { id: 'j-2', priority: 0 });
  assert.deepEqual(
    plan(view, [suspect, low]).starts.map((s) => s.job),
    ['j-2'],
  );
  const busy = {
    job: jobId('j-3'),
    index: 0,
    priority: 0 as const,
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    lossS: 0,
    stopping: false,
  };
  const full = { ...view, freeCpus: 0, running: [busy] };
  assert.equal(plan(full, [suspect]).stops.length, 0);
  assert.equal(plan(full, [{ ...suspect, suspect: false }]).stops.length, 1);
});

test('failures of many tasks in one report do not each look at all tasks of the job', () => {
  const tasks = 2000;
  const job = run({ id: 'j-1', tasks });
  let reads = 0;
  const addTask = (index: number, runningAt: Millis): void => {
    const task = orderedTask({ index, attempt: attempt(1) }, m(index), millis(0), { adopted: false });
    const read = (): Millis => {
      reads += 1;
      return runningAt;
    };
    job.active.set(index, Object.defineProperty(task, 'runningAt', { get: read }));
  };
  for (let index = 0; index < tasks; index++) addTask(index, millis(1000));
  for (let failure = 0; failure < 500; failure++) job.noteFailure(failed(failure, failure), millis(2000), 0.5);
  assert.ok(job.failsEverywhere);
  assert.ok(reads <= 2 * tasks, `${reads} reads`);
  // A later report looks again, and finds that a task has run for long enough.
  job.noteFailure(failed(0, 0), millis(11_000), 0.5);
  assert.equal(job.failsEverywhere, false);
});

test('tasks of an earlier holder do not show that a machine works, and each own task does once', () => {
  const machine = heldMachine();
  const state = (): string => machine.assess(millis(60_000)).state;
  for (const id of ['j-1', 'j-2']) machine.noteFailure(run({ id }), { index: 0, ranMs: 0 }, millis(1), 0.5);
  const task = (n: number, adopted: boolean): ReturnType<typeof orderedTask> =>
    orderedTask({ index: n, attempt: attempt(n) }, m(1), millis(2), { adopted });
  for (const n of [1, 2, 3]) machine.noteWorked(task(n, true), millis(60_000));
  assert.equal(state(), 'probation');
  const own = task(4, false);
  for (let times = 0; times < 3; times++) machine.noteWorked(own, millis(60_000));
  assert.equal(state(), 'probation');
  for (const n of [5, 6]) machine.noteWorked(task(n, false), millis(60_000));
  assert.equal(state(), 'healthy');
});

test('failures of many tasks in one report do not each look at all tasks of the machine', () => {
  const machine = heldMachine();
  const job = run({ id: 'j-1', tasks: 2000 });
  let reads = 0;
  for (let index = 0; index < 2000; index++) {
    const task = orderedTask({ index, attempt: attempt(1) }, m(1), millis(0), { adopted: false });
    const read = (): null => ((reads += 1), null);
    const counted = Object.defineProperty(task, 'runningAt', { get: read });
    machine.active.set(taskKey(job.id, index), { run: job, task: counted });
  }
  for (let index = 0; index < 500; index++) machine.noteFailure(job, { index, ranMs: 0 }, millis(2000), 0.5);
  assert.ok(reads <= 2 * 2000, `${reads} reads`);
});
