import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { spec } from './standins/jobs.js';
import { machineView, pendingJob } from './standins/placement.js';
import { jobId, machineId } from '../src/kernel/index.js';
import { Priority, maxTasksPerZone, type JobKind, type JobSpec } from '../src/jobs/index.js';
import {
  planPlacement,
  type MachineView,
  type PendingJob,
  type PlanInput,
  type PreemptableTask,
} from '../src/placement/index.js';

const input = (machines: MachineView[], jobs: PendingJob[], over: Partial<PlanInput> = {}): PlanInput => ({
  machines,
  pending: jobs,
  teams: new Map(),
  maxStarts: 1000,
  reserve: null,
  ...over,
});

test('an array that has waited long starts one task in room that is kept for GPU tasks', () => {
  const gpuMachine = machineView('m-gpu', { type: 'gpu', gpus: 2, freeGpus: 2, freeCpus: 4, freeMemoryGb: 8 });
  const reserve = { cpus: 4, memoryGb: 8 };
  const full = machineView('m-full', { freeCpus: 0 });
  const starts = (waitedS: number, over: Partial<JobSpec> = {}, more: Partial<PlanInput> = {}): number[] => {
    const job = pendingJob(spec({ id: 'j-1', tasks: 3, ...over }), { waitedS });
    return planPlacement(input([gpuMachine, full], [job], { reserve, ...more })).starts.map(({ index }) => index);
  };
  assert.deepEqual(starts(59), []);
  assert.deepEqual(starts(60), [0]);
  // Once it has started a task, its other tasks wait.
  assert.deepEqual(starts(0), []);
  // Nothing starts that doesn't fit, isn't allowed on the machine, or would exceed its team's limit.
  assert.deepEqual(starts(60, { cpus: 5 }), []);
  assert.deepEqual(starts(60, { types: ['small'] }), []);
  const teams = new Map([['t', { cpus: 4, gpus: 0, cpusMax: 4, gpusMax: 0 }]]);
  assert.deepEqual(starts(60, {}, { teams }), []);
  // The task that starts is not counted as unplaced.
  const job = pendingJob(spec({ id: 'j-1', tasks: 3 }), { waitedS: 60 });
  const { unplaced } = planPlacement(input([gpuMachine, full], [job], { reserve }));
  assert.deepEqual(unplaced, [{ job: 'j-1', count: 2 }]);
});

/** Replays a plan start by start against a simple model of the rules and returns the violations found. */
function checkAgainstModel(given: PlanInput): { problems: string[]; starts: number } {
  const plan = planPlacement(given);
  const problems: string[] = [];
  const free = new Map(
    given.machines.map((m) => [m.id, { cpus: m.freeCpus, gpus: m.freeGpus, memory: m.freeMemoryGb }]),
  );
  const zones = new Map(given.pending.map((p) => [p.spec.id, new Map(p.zoneUse)]));
  const teamCpus = new Map([...given.teams].map(([name, use]) => [name, use.cpus]));
  const seen = new Set<string>();
  for (const start of plan.starts) {
    const job = given.pending.find((p) => p.spec.id === start.job);
    const m = given.machines.find((x) => x.id === start.machine);
    const left = free.get(start.machine);
    const use = zones.get(start.job);
    if (!job || !m || !left || !use) return { problems: ['unknown job or machine'], starts: 0 };
    const s = job.spec;
    const name = `${start.job}/${start.index}`;
    if (seen.has(name) || !job.ready.includes(start.index)) problems.push(`${name} twice or not ready`);
    seen.add(name);
    if (!m.usable) problems.push(`${name} on an unusable machine`);
    if (s.types && !s.types.includes(m.type)) problems.push(`${name} type`);
    if (s.zone && s.zone !== m.zone) problems.push(`${name} zone`);
    if (m.spot && !s.spot) problems.push(`${name} spot`);
    if (s.oneZone && [...use].some(([z, n]) => n > 0 && z !== m.zone)) problems.push(`${name} one zone`);
    use.set(m.zone, (use.get(m.zone) ?? 0) + 1);
    if (s.spread && (use.get(m.zone) ?? 0) > maxTasksPerZone(s)) problems.push(`${name} spread`);
    left.cpus -= s.cpus;
    left.gpus -= s.gpus;
    left.memory -= s.memoryGb;
    if (left.cpus < -1e-5 || left.gpus < -1e-5 || left.memory < -1e-5) problems.push(`${name} overbooks ${m.id}`);
    const limit = given.teams.get(s.team);
    if (limit) {
      const cpus = (teamCpus.get(s.team) ?? 0) + s.cpus;
      teamCpus.set(s.team, cpus);
      if (limit.cpusMax > 0 && cpus > limit.cpusMax + 1e-5) problems.push(`${name} over its team's limit`);
    }
  }
  for (const p of given.pending) {
    const started = plan.starts.filter((s) => s.job === p.spec.id).length;
    if (p.spec.kind === 'gang' && started !== 0 && started !== p.ready.length)
      problems.push(`${p.spec.id} gang in part`);
  }
  for (const stop of plan.stops) {
    const victim = given.machines.flatMap((m) => m.running).find((r) => r.job === stop.job && r.index === stop.index);
    const forJob = given.pending.find((p) => p.spec.id === stop.forJob);
    if (!victim || !forJob || victim.priority >= forJob.spec.priority)
      problems.push('preempts equal or higher priority');
  }
  // A plan remembers equivalence classes without room: no array may miss room because of that.
  for (const p of given.pending) {
    const { spec: s } = p;
    const started = plan.starts.filter((start) => start.job === s.id).length;
    if (s.kind !== 'array' || started === p.ready.length || plan.stops.length > 0 || given.teams.size > 0) continue;
    for (const m of given.machines) {
      const left = free.get(m.id);
      const use = zones.get(s.id) ?? new Map<string, number>();
      if (!left || !m.usable || m.freeGpus > 0 || (m.spot && !s.spot)) continue;
      if ((s.types && !s.types.includes(m.type)) || (s.zone && s.zone !== m.zone)) continue;
      if (s.oneZone && [...use].some(([z, n]) => n > 0 && z !== m.zone)) continue;
      if (s.spread && (use.get(m.zone) ?? 0) >= maxTasksPerZone(s)) continue;
      if (s.cpus <= left.cpus && s.gpus <= left.gpus && s.memoryGb <= left.memory)
        problems.push(`${s.id} waits beside room on ${m.id}`);
    }
  }
  // A single task is placed exactly when some machine can take it.
  const [only] = given.pending;
  if (given.pending.length === 1 && only?.ready.length === 1 && given.teams.size === 0) {
    const s = only.spec;
    const can = given.machines.some(
      (m) =>
        m.usable &&
        (!s.types || s.types.includes(m.type)) &&
        (!s.zone || s.zone === m.zone) &&
        (!m.spot || s.spot) &&
        s.cpus <= m.freeCpus &&
        s.gpus <= m.freeGpus &&
        s.memoryGb <= m.freeMemoryGb &&
        // One task of an array that has waited long may use room that is kept for GPU tasks.
        (s.gpus > 0 || m.freeGpus === 0 || (s.kind === 'array' && (only.waitedS ?? 0) >= 60)),
    );
    if (can !== (plan.starts.length === 1))
      problems.push(can ? 'found no room that is there' : 'found room that is not');
  }
  return { problems, starts: plan.starts.length };
}

test('a plan keeps every rule of the simple model', () => {
  const kinds: JobKind[] = ['array', 'gang', 'service'];
  const anySpec = fc
    .record({
      kind: fc.constantFrom(...kinds),
      priority: fc.constantFrom(Priority.low, Priority.normal, Priority.production),
      tasks: fc.integer({ min: 1, max: 5 }),
      cpus: fc.integer({ min: 1, max: 4 }),
      gpus: fc.constantFrom(0, 0, 0, 1),
      memoryGb: fc.integer({ min: 1, max: 5 }),
      types: fc.constantFrom(null, null, ['small'], ['big']),
      zone: fc.constantFrom(null, null, 'a'),
      oneZone: fc.boolean(),
      spread: fc.boolean(),
      spot: fc.boolean(),
    })
    .map((s) => ({ ...s, spread: s.spread && !s.oneZone }));
  const anyMachine = fc.record({
    type: fc.constantFrom('small', 'big'),
    zone: fc.constantFrom('a', 'b'),
    spot: fc.boolean(),
    freeCpus: fc.integer({ min: 0, max: 8 }),
    freeGpus: fc.constantFrom(0, 0, 2),
    freeMemoryGb: fc.integer({ min: 0, max: 12 }),
    usable: fc.constantFrom(true, true, true, false),
    suspicion: fc.constantFrom(0, 0, 1),
  });
  let starts = 0;
  fc.assert(
    fc.property(
      fc.array(anyMachine, { minLength: 1, maxLength: 5 }),
      fc.array(anySpec, { minLength: 1, maxLength: 4 }),
      fc.constantFrom(0, 0, 6),
      fc.array(fc.constantFrom(0, 0, 61, 151), { minLength: 4, maxLength: 4 }),
      (machines, specs, limit, waits) => {
        const victim = (i: number): PreemptableTask => ({
          job: jobId(`j-low${i}`),
          index: 0,
          priority: i % 2 === 0 ? Priority.low : Priority.production,
          cpus: 2,
          gpus: 0,
          memoryGb: 2,
          lossS: 1,
          stopping: false,
        });
        const result = checkAgainstModel(
          input(
            machines.map((m, i) =>
              machineView(`m${i}`, { ...m, cpus: 8, gpus: m.freeGpus, memoryGb: 12, running: [victim(i)] }),
            ),
            specs.map((s, i) => pendingJob(spec({ id: `j-${i}`, ...s }), { waitedS: waits[i] ?? 0 })),
            { teams: limit > 0 ? new Map([['t', { cpus: 1, gpus: 0, cpusMax: limit, gpusMax: 0 }]]) : new Map() },
          ),
        );
        starts += result.starts;
        assert.deepEqual(result.problems, []);
      },
    ),
    { seed: 3, numRuns: 2000 },
  );
  assert.ok(starts > 500, `only ${starts} starts`);
});

test('preemption for a service stops low-priority tasks at once, and for a gang leaves them time to save', () => {
  const low: PreemptableTask = {
    job: jobId('j-low'),
    index: 0,
    priority: Priority.low,
    cpus: 4,
    gpus: 0,
    memoryGb: 4,
    lossS: 1,
    stopping: false,
  };
  const full = machineView('m0', { freeCpus: 0, freeMemoryGb: 4, running: [low] });
  const service = pendingJob(spec({ id: 'j-s', kind: 'service', priority: Priority.production, cpus: 2 }));
  const plan = planPlacement(input([full], [service]));
  assert.deepEqual(plan.stops, [{ job: 'j-low', index: 0, machine: 'm0', forJob: 'j-s', atOnce: true }]);
  assert.deepEqual(plan.unplaced, []);
  // In the next round the room is being released, so nothing more is stopped.
  const again = planPlacement(input([{ ...full, running: [{ ...low, stopping: true }] }], [service]));
  assert.deepEqual(again.stops, []);
  const gang = pendingJob(spec({ id: 'j-g', kind: 'gang', priority: Priority.normal, cpus: 2, tasks: 2 }));
  const forGang = planPlacement(input([full], [gang]));
  assert.deepEqual(
    forGang.stops.map((s) => s.atOnce),
    [false],
  );
});

test('a job is not placed on a machine where it failed, even if no other machine has room', () => {
  // Guards against a machine that failed the same task three times in 40 ms.
  const job = pendingJob(spec({ id: 'j-a' }), { avoid: new Set([machineId('m0')]) });
  assert.deepEqual(planPlacement(input([machineView('m0')], [job])).starts, []);
});

test('an array preempts nothing, and a replica stays off GPU machines even if the other machines are full', () => {
  const low: PreemptableTask = {
    ...{ job: jobId('j-low'), index: 0, priority: Priority.low },
    ...{ cpus: 4, gpus: 0, memoryGb: 4, lossS: 1, stopping: false },
  };
  const full = machineView('m0', { freeCpus: 0, running: [low] });
  assert.deepEqual(planPlacement(input([full], [pendingJob(spec({ id: 'j-a' }))])).stops, []);
  const busyGpu = machineView('m0', { gpus: 2, freeGpus: 0, images: ['i'] });
  const service = pendingJob(spec({ id: 'j-s', kind: 'service', priority: Priority.production }));
  const chosen = planPlacement(input([busyGpu, machineView('m1')], [service])).starts.map((s) => s.machine);
  assert.deepEqual(chosen, ['m1']);
  // Guards against GPU machines that could not be given back because each ran one replica.
  const fullMachines = [busyGpu, machineView('m1', { freeCpus: 0 })];
  assert.deepEqual(planPlacement(input(fullMachines, [service])).starts, []);
  // Nothing is preempted on a GPU machine for a replica that may not go there.
  const beside = {
    job: jobId('j-r'),
    index: 0,
    priority: 0 as const,
    cpus: 3,
    gpus: 0,
    memoryGb: 1,
    lossS: 0,
    stopping: false,
  };
  const borrowed = { ...busyGpu, freeCpus: 0, running: [beside] };
  const waits = planPlacement(input([borrowed, machineView('m1', { freeCpus: 0 })], [service]));
  assert.deepEqual([waits.stops, waits.unplaced.length], [[], 1]);
  // Guards against replicas that waited for minutes in a shard whose machines without GPUs were full of other replicas.
  const late = planPlacement(input(fullMachines, [{ ...service, slackS: -1 }]));
  assert.deepEqual([late.starts.length, late.unplaced], [service.ready.length, []]);
});

test('under overload short jobs go first, and jobs that have missed all objectives go last', () => {
  const jobs = [
    pendingJob(spec({ id: 'j-long' }), { workS: 900 }),
    pendingJob(spec({ id: 'j-late' }), { workS: 1, slackS: -9, lastSlackS: -9 }),
    pendingJob(spec({ id: 'j-short' }), { workS: 20 }),
    pendingJob(spec({ id: 'j-urgent' }), { workS: 900, lastSlackS: 10 }),
    pendingJob(spec({ id: 'j-whenever' }), { workS: 1, lastSlackS: 900, aimed: false }),
  ];
  const plan = planPlacement(input([machineView('m0', { freeCpus: 3 })], jobs));
  assert.deepEqual(
    plan.starts.map((s) => s.job),
    ['j-urgent', 'j-short', 'j-long'],
  );
});

test('machines with free GPUs take other work only if it can be preempted cheaply or leaves the reserve free', () => {
  const gpuMachine = machineView('m0', { freeGpus: 2, gpus: 2 });
  const plain = planPlacement(input([gpuMachine], [pendingJob(spec({ id: 'j-a' }))]));
  assert.equal(plain.starts.length, 0);
  const reserve = { cpus: 3, memoryGb: 4 };
  const two = [pendingJob(spec({ id: 'j-a' })), pendingJob(spec({ id: 'j-b' }))];
  assert.equal(planPlacement(input([gpuMachine], two, { reserve })).starts.length, 1);
  const preemptable = spec({ id: 'j-a', priority: Priority.low, checkpointS: 15 });
  assert.equal(planPlacement(input([gpuMachine], [pendingJob(preemptable)])).starts.length, 1);
});

test('a large gang near its objective accumulates free machines; smaller gangs wait, preemptable arrays do not', () => {
  // Guards against starvation of gangs of 32: smaller gangs took each machine that became free, and ever more were
  // rented.
  const gpu = (id: string): MachineView => machineView(id, { gpus: 2, freeGpus: 2, cpuPrice: 1 });
  const gang = { kind: 'gang' as const, gpus: 2, cpus: 3, oneZone: true };
  const large = (slackS: number): PendingJob =>
    pendingJob(spec({ ...gang, id: 'j-1', tasks: 3 }), { slackS, lastSlackS: 30 });
  const small = pendingJob(spec({ ...gang, id: 'j-2', tasks: 1 }));
  const rooms = [gpu('m-1'), gpu('m-2')];
  const started = (jobs: PendingJob[]): string[] => planPlacement(input(rooms, jobs)).starts.map((s) => s.job);
  assert.deepEqual(started([large(90), small]), ['j-2']);
  assert.deepEqual(started([large(20), small]), []);
  assert.deepEqual(started([large(-1), small]), ['j-2']);
  const borrower = pendingJob(spec({ id: 'j-3', tasks: 1, priority: Priority.low, checkpointS: 5 }));
  assert.deepEqual(started([large(20), small, borrower]), ['j-3']);
  // The gang holds no more machines than it needs.
  const more = [...rooms, gpu('m-3'), gpu('m-4')];
  assert.equal(planPlacement(input(more, [large(20), small])).starts.length, 4);
  const twoZones = [gpu('m-1'), gpu('m-2'), { ...gpu('m-3'), zone: 'b' }];
  assert.deepEqual(
    planPlacement(input(twoZones, [large(20), small])).starts.map((s) => s.machine),
    ['m-3'],
  );
});

test('a starved job goes first within its priority, and a starved gang accumulates machines whatever its objectives', () => {
  const gang = spec({ id: 'j-big', kind: 'gang', tasks: 3, cpus: 4 });
  const small = Array.from({ length: 4 }, (_, i) =>
    pendingJob(spec({ id: `j-${i}`, kind: 'gang', tasks: 1, cpus: 4 })),
  );
  const late = { slackS: -300, lastSlackS: -300 };
  const busy = machineView('m-2', { freeCpus: 0 });
  const two = [machineView('m-0'), machineView('m-1'), busy];
  const startsOf = (waitedS: number, machines: MachineView[]): string[] =>
    planPlacement(input(machines, [pendingJob(gang, { ...late, waitedS }), ...small])).starts.map(({ job }) => job);
  // The gang has missed its objectives: small gangs take each machine that becomes free, and would starve it.
  assert.equal(startsOf(149, two).length, 2);
  assert.deepEqual(startsOf(150, two), []);
  assert.deepEqual(startsOf(150, [...two, machineView('m-3')]), ['j-big', 'j-big', 'j-big']);
  // The gang never fits here, so it keeps no machine idle.
  assert.equal(startsOf(900, [machineView('m-0'), machineView('m-1')]).length, 2);
  // A starved gang doesn't go before jobs of higher priority.
  const high = pendingJob(spec({ id: 'j-high', kind: 'gang', tasks: 1, cpus: 4, priority: Priority.high }));
  const plan = planPlacement(input(two, [pendingJob(gang, { ...late, waitedS: 500 }), high]));
  assert.deepEqual(
    plan.starts.map(({ job }) => job),
    ['j-high'],
  );
});
