import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { MachineType } from '../src/cloud/index.js';
import { Priority, type JobSpec } from '../src/jobs/index.js';
import { jobId, machineId, nodeName, shardName } from '../src/kernel/index.js';
import {
  gangTasksBeyondTurnover,
  chooseMoveTarget,
  reserveCapacity,
  chooseShard,
  splitIntoCalls,
  missingCpus,
  planAssignments,
  type AssignmentInput,
  type UnassignedMachine,
  type PlannedRent,
} from '../src/leasing/index.js';
import type { DemandSummary, MachineSummary, ShardSummary } from '../src/peers/index.js';
import { spec } from './standins/jobs.js';

const type = (name: string, price: number, spotPrice: number, over: Partial<MachineType> = {}): MachineType => ({
  name,
  cpus: 4,
  gpus: 0,
  memoryGb: 16,
  cacheGb: 10,
  fetchGbPerS: 1,
  price,
  spotPrice,
  bootS: 20,
  zones: ['a'],
  ...over,
});

const machine = (id: string, over: Partial<MachineSummary> = {}): MachineSummary => ({
  id: machineId(id),
  type: 'small',
  zone: 'a',
  spot: false,
  freeCpus: 4,
  freeGpus: 0,
  freeMemoryGb: 16,
  yieldCpus: 0,
  yieldMemoryGb: 0,
  idleMs: 1000,
  empty: true,
  usable: true,
  lost: false,
  faulty: false,
  onProbation: false,
  images: [],
  ...over,
});

const shard = (name: string, machines: MachineSummary[], demand: DemandSummary[] = []): ShardSummary => ({
  shard: shardName(name),
  holder: nodeName(name),
  machines,
  demand,
  running: [],
});

const demand = (job: string, missing: number, slackS = 20, estimateS = 20): DemandSummary => ({
  job: jobId(job),
  priority: Priority.normal,
  missing,
  running: 0,
  slackS,
  estimateS,
  cpus: 1,
  gpus: 0,
});

function input(specs: JobSpec[], shards: ShardSummary[], over: Partial<AssignmentInput> = {}): AssignmentInput {
  return {
    shards,
    unassigned: [],
    types: new Map([['small', type('small', 1, 0.2)]]),
    specOf: (id) => specs.find((s) => s.id === id) ?? null,
    refused: new Set(),
    headroom: [],
    idleReturnS: 20,
    backlogTimeShare: 0.75,
    machineAgeS: () => 100,
    ...over,
  };
}

test('missingCpus agrees with a reference model that simulates the backlog second by second', () => {
  const backlog = fc.array(
    fc.record({ cpuSeconds: fc.integer({ min: 1, max: 400 }), withinS: fc.integer({ min: 12, max: 60 }) }),
    { minLength: 1, maxLength: 5 },
  );
  const inTime = (
    jobs: { cpuSeconds: number; withinS: number }[],
    running: number,
    rented: number,
    leadS: number,
  ): boolean => {
    const left = [...jobs].sort((a, b) => a.withinS - b.withinS).map((j) => ({ ...j }));
    for (let second = 1; second <= 60; second++) {
      let capacity = running + (second > leadS ? rented : 0);
      for (const job of left) {
        const used = Math.min(capacity, job.cpuSeconds);
        job.cpuSeconds -= used;
        capacity -= used;
      }
      if (left.some((job) => job.withinS === second && job.cpuSeconds > 1e-6)) return false;
    }
    return true;
  };
  fc.assert(
    fc.property(backlog, fc.integer({ min: 0, max: 50 }), fc.integer({ min: 0, max: 11 }), (jobs, running, leadS) => {
      const given = jobs.map((job) => ({ ...job, leadS }));
      const missing = missingCpus(given, running, 0);
      assert.ok(inTime(jobs, running, missing + 1e-6, leadS));
      if (missing > 0.01) assert.ok(!inTime(jobs, running, missing * 0.9 - 1e-6, leadS));
    }),
    { seed: 2, numRuns: 300 },
  );
});

test('idle machines are transferred to the shard with demand before anything is rented', () => {
  const waiting = spec({ id: 'j-1', tasks: 4 });
  const plan = planAssignments(
    input([waiting], [shard('n-0', [machine('m-1')]), shard('n-1', [], [demand('j-1', 4)])]),
  );
  assert.deepEqual(plan.transfers, [{ machine: 'm-1', from: 'n-0', to: 'n-1' }]);
  assert.deepEqual(plan.rents, []);
  assert.deepEqual(plan.releases, []);
});

test('a machine that has come up is assigned once, to the shard with waiting tasks', () => {
  const loose: UnassignedMachine = { id: machineId('m-9'), type: 'small', zone: 'a', spot: false, up: true, ageS: 20 };
  const shards = [shard('n-0', []), shard('n-1', [], [demand('j-1', 4)])];
  const plan = planAssignments(input([spec({ id: 'j-1', tasks: 4 })], shards, { unassigned: [loose] }));
  assert.deepEqual(plan.assignments, [{ machine: 'm-9', to: 'n-1' }]);
  assert.deepEqual(plan.rents, []);
});

test('spot machines are rented only for jobs that allow them, expensive ones only for late jobs', () => {
  const spotJob = spec({ id: 'j-1', tasks: 4, spot: true });
  const onDemandJob = spec({ id: 'j-2', tasks: 4 });
  const rents = (job: JobSpec, slackS: number, refused: string[] = []): string[] =>
    planAssignments(
      input([job], [shard('n-0', [], [demand(job.id, 4, slackS)])], { refused: new Set(refused) }),
    ).rents.map((r) => `${r.type}/${r.spot ? 'spot' : 'on-demand'}`);
  assert.deepEqual(rents(spotJob, 5), ['small/spot']);
  assert.deepEqual(rents(onDemandJob, 5), ['small/on-demand']);
  assert.deepEqual(rents(spotJob, 5, ['small/a/spot']), ['small/on-demand']);
  // With enough time left and capacity that drains the queue, no machine at five times the price is rented.
  const drainingShard = {
    ...shard('n-0', [], [demand('j-1', 2, 60)]),
    running: [{ job: jobId('j-3'), running: 1, done: 0 }],
  };
  const running = spec({ id: 'j-3', tasks: 2, estimateS: 4 });
  assert.deepEqual(
    planAssignments(input([spotJob, running], [drainingShard], { refused: new Set(['small/a/spot']) })).rents,
    [],
  );
});

test('capacity that services can preempt from arrays counts as headroom; without it a machine is rented', () => {
  const service = spec({ id: 'j-s', kind: 'service', priority: Priority.production, cpus: 2 });
  const full = machine('m-1', { freeCpus: 0, freeMemoryGb: 0, empty: false, idleMs: 0 });
  const rentCount = (m: MachineSummary): number =>
    planAssignments(input([], [shard('n-0', [m])], { headroom: [service] })).rents.length;
  assert.equal(rentCount(full), 1);
  assert.equal(rentCount({ ...full, yieldCpus: 2, yieldMemoryGb: 4 }), 0);
});

test('a machine that is idle for long is released unless services need it as headroom', () => {
  const idle = machine('m-1', { idleMs: 30_000 });
  const releases = (headroom: JobSpec[]): number =>
    planAssignments(input([], [shard('n-0', [idle])], { headroom })).releases.length;
  assert.equal(releases([]), 1);
  assert.equal(releases([spec({ id: 'j-s', kind: 'service', cpus: 2 })]), 0);
});

test('lent accelerator machines are reclaimed for a gang of another shard, which waits where most of them are', () => {
  const types = new Map([['gpu', type('gpu', 8, 3, { gpus: 2 })]]);
  const gang = spec({ id: 'j-g', kind: 'gang', tasks: 2, gpus: 2, cpus: 3, types: ['gpu'] });
  const lent = machine('m-1', { type: 'gpu', freeGpus: 2, freeCpus: 0, empty: false, idleMs: 5000 });
  const busy = machine('m-2', { type: 'gpu', freeGpus: 0, idleMs: 0, empty: false });
  const shards = [shard('n-0', [lent]), shard('n-1', [busy], [demand('j-g', 2)])];
  const plan = planAssignments(input([gang], shards, { types }));
  assert.deepEqual(plan.transfers, [{ machine: 'm-1', from: 'n-0', to: 'n-1' }]);
  const many = [shard('n-0', [busy]), shard('n-1', [busy, { ...busy, id: machineId('m-3') }])];
  assert.equal(chooseShard(gang, many, types, shardName('n-0')), 'n-1');
});

test('a queue for accelerators does not count for other work; without free slots the shorter queue is chosen', () => {
  const types = new Map([['small', type('small', 1, 0.2)]]);
  const busy = machine('m-1', { freeCpus: 0, idleMs: 0, empty: false });
  const job = spec({ id: 'j-1', tasks: 8 });
  const gpuQueue = { ...demand('j-g', 9), gpus: 2 };
  const choose = (a: DemandSummary[], b: DemandSummary[]): string | null =>
    chooseShard(job, [shard('n-0', [busy], a), shard('n-1', [{ ...busy, id: machineId('m-2') }], b)], types, null);
  assert.equal(choose([gpuQueue], [demand('j-2', 1)]), 'n-0');
  assert.equal(choose([demand('j-2', 5)], [demand('j-3', 2)]), 'n-1');
  // Capacity held by replicas does not drain a queue. When it was counted, arrays queued up beside replicas.
  const sharing = { ...busy, id: machineId('m-3'), yieldCpus: 4 };
  const equal = [demand('j-2', 3)];
  assert.equal(chooseShard(job, [shard('n-0', [busy], equal), shard('n-1', [sharing], equal)], types, null), 'n-1');
});

test('capacity that others wait for is not free; an array moves only to a queue that is clearly shorter', () => {
  // Guards against a few free slots attracting every small job to a shard where thousands of tasks wait already. This
  // happened when one block had all accelerator machines.
  const types = new Map([['small', type('small', 4, 0.2)]]);
  const free = machine('m-1', { freeCpus: 2, yieldCpus: 2, empty: false });
  const full = machine('m-2', { freeCpus: 0, yieldCpus: 4, empty: false });
  const job = spec({ id: 'j-1', tasks: 8 });
  const longQueue = shard('n-0', [free], [demand('j-2', 30)]);
  const shortQueue = shard('n-1', [full], [demand('j-3', 2)]);
  assert.equal(chooseShard(job, [longQueue, shortQueue], types, null), 'n-1');
  // Waiting work of a lower priority gives way, so it does not count.
  const low = { ...demand('j-2', 30), priority: Priority.low };
  assert.equal(chooseShard(job, [shard('n-0', [free], [low]), shortQueue], types, null), 'n-0');
  const moveTarget = (here: number, there: number): string | null =>
    chooseMoveTarget(
      job,
      8,
      shard('n-0', [full], [demand('j-2', here)]),
      [shard('n-1', [full], [demand('j-3', there)])],
      types,
    );
  assert.equal(moveTarget(30, 2), 'n-1');
  assert.equal(moveTarget(6, 5), null);
  const gang = spec({ id: 'j-g', kind: 'gang', tasks: 2 });
  const two = shard('n-1', [full, { ...full, id: machineId('m-3') }]);
  assert.equal(chooseMoveTarget(gang, 2, shard('n-0', [full]), [two], types), 'n-1');
  assert.equal(chooseMoveTarget(gang, 2, two, [shard('n-0', [full])], types), null);
  // Until the next summary, a job that was routed to the shard counts as demand there.
  const booked = reserveCapacity(job, shortQueue);
  assert.equal(booked.demand.at(-1)?.missing, 8);
});

test('machines are rented for gangs only beyond the slots that running gangs free in time', () => {
  assert.equal(gangTasksBeyondTurnover([], 0), 0);
  // Nothing runs, so no slots become free.
  assert.equal(gangTasksBeyondTurnover([{ tasks: 8, slackS: 100 }], 0), 8);
  // Two tasks per second free 200 slots in 100 seconds, of which 0.7 are counted on: 140.
  assert.equal(gangTasksBeyondTurnover([{ tasks: 32, slackS: 100 }], 2), 0);
  assert.equal(
    gangTasksBeyondTurnover(
      [
        { tasks: 150, slackS: 100 },
        { tasks: 10, slackS: 5 },
      ],
      2,
    ),
    20,
  );
  assert.equal(gangTasksBeyondTurnover([{ tasks: 32, slackS: -5 }], 0.1), 30);
});

test('a rent above the limit of one call is split into several calls, with the kinds taking turns', () => {
  const rent = (type: string, count: number): PlannedRent => ({ type, zone: 'a', spot: false, count });
  assert.deepEqual(
    splitIntoCalls([rent('small', 120), rent('big', 3)]).map((w) => [w.type, w.count]),
    [
      ['small', 50],
      ['big', 3],
      ['small', 50],
      ['small', 20],
    ],
  );
  assert.deepEqual(splitIntoCalls([]), []);
});

test('small arrays stay with the accepting node if it has room; larger ones go to the shard with the most room', () => {
  const types = new Map([['small', type('small', 4, 0.2)]]);
  const own = shardName('n-0');
  const roomy = shard('n-1', [machine('m-2'), machine('m-3'), machine('m-4')]);
  const choose = (tasks: number, freeCpus: number): string | null =>
    chooseShard(spec({ id: 'j-1', tasks }), [shard('n-0', [machine('m-1', { freeCpus })]), roomy], types, own);
  assert.equal(choose(1, 4), 'n-0');
  assert.equal(choose(2, 2), 'n-0');
  assert.equal(choose(2, 1), 'n-1');
  assert.equal(choose(3, 4), 'n-1');
});

test('a job that no shard has room for goes where it may be tried on a machine on probation, one job at a time', () => {
  const types = new Map([['small', type('small', 1, 0.2)]]);
  const probation = machine('m1', { usable: false, onProbation: true });
  const suspended = machine('m2', { usable: false });
  const full = machine('m3', { freeCpus: 0 });
  const [trial, none, busy] = [shard('s1', [probation]), shard('s2', [suspended]), shard('s3', [full])] as const;
  const job = spec({ id: 'j-1', tasks: 3 });
  assert.equal(chooseShard(job, [none, trial], types, none.shard), trial.shard);
  // A busy machine will have room, and nothing speaks against it.
  assert.equal(chooseShard(job, [trial, busy], types, busy.shard), busy.shard);
  for (const kind of ['array', 'service'] as const) {
    const waiting = spec({ id: 'j-2', kind, tasks: 3 });
    assert.equal(chooseMoveTarget(waiting, 3, busy, [none, trial], types), trial.shard);
    assert.equal(chooseMoveTarget(waiting, 3, busy, [none, trial], types, false), null);
    assert.equal(chooseMoveTarget(waiting, 3, none, [reserveCapacity(job, trial)], types), null);
  }
  const gang = spec({ id: 'j-3', kind: 'gang', tasks: 5 });
  assert.equal(chooseMoveTarget(gang, 5, none, [trial], types), null);
});

test('an idle machine on probation is returned when it is idle for long, and does not move to another shard', () => {
  const probation = machine('m1', { usable: false, onProbation: true, idleMs: 30_000 });
  const job = spec({ id: 'j-1', tasks: 2 });
  const waiting = planAssignments(input([job], [shard('s1', [probation]), shard('s2', [], [demand('j-1', 2)])]));
  assert.deepEqual([waiting.transfers, waiting.releases], [[], []]);
  const idle = planAssignments(input([], [shard('s1', [probation]), shard('s2', [])]));
  assert.deepEqual(
    idle.releases.map(({ machine: id }) => id),
    ['m1'],
  );
});

test('a machine with accelerators on probation is not moved to another shard for an urgent gang', () => {
  const types = new Map([['small', type('small', 1, 0.2, { gpus: 2 })]]);
  const gang = spec({ id: 'j-1', kind: 'gang', tasks: 1, gpus: 1 });
  const lent = { empty: false, idleMs: 5000, freeGpus: 2 };
  const transfersOf = (over: Partial<MachineSummary>): number => {
    const shards = [
      shard('s1', [machine('m1', { ...lent, ...over })]),
      shard('s2', [], [{ ...demand('j-1', 1), gpus: 1 }]),
    ];
    return planAssignments(input([gang], shards, { types })).transfers.length;
  };
  assert.equal(transfersOf({}), 1);
  assert.equal(transfersOf({ usable: false, onProbation: true }), 0);
});

test('a job leaves a shard without machines for it, also when no other shard has room for all of it', () => {
  const types = new Map([['small', type('small', 1, 0.2)]]);
  const none = shard('s1', []);
  const [full, some] = [shard('s2', [machine('m1', { freeCpus: 0 })]), shard('s3', [machine('m2', { freeCpus: 2 })])];
  for (const kind of ['array', 'service'] as const) {
    const job = spec({ id: 'j-1', kind, tasks: 3 });
    assert.equal(chooseMoveTarget(job, 3, none, [full, some], types), some.shard);
    assert.equal(chooseMoveTarget(job, 3, none, [full], types), full.shard);
    assert.equal(chooseMoveTarget(job, 3, none, [shard('s4', [])], types), null);
    assert.equal(chooseMoveTarget(job, 3, full, [some], types), null);
  }
});
