import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { Priority, type FinalPhase, type JobSpec } from '../src/jobs/index.js';
import { jobId, wallMillis, type JobId } from '../src/kernel/index.js';
import { JobGraph, stepDurationS, type DependentJob } from '../src/pipelines/index.js';
import { spec } from './standins/jobs.js';
import { countLookups } from './standins/operation-count.js';

/** Priority and deadline that the model expects a job to inherit. */
interface ExpectedInherited {
  readonly priority: number;
  readonly dueAt: number | null;
}

/** A job of the model. */
interface ModelJob {
  readonly spec: JobSpec;
  readonly submittedAt: number;
  readonly awaits: readonly JobId[];
  final: FinalPhase | null;
}

const combine = (a: ExpectedInherited | null, b: ExpectedInherited): ExpectedInherited => {
  const dueAt = Math.min(a?.dueAt ?? Infinity, b.dueAt ?? Infinity);
  return { priority: Math.max(a?.priority ?? 0, b.priority), dueAt: Number.isFinite(dueAt) ? dueAt : null };
};

/** A slow reference model that computes every answer from all jobs. */
class ModelGraph {
  readonly jobs = new Map<JobId, ModelJob>();

  private jobOf(id: JobId): ModelJob {
    const job = this.jobs.get(id);
    assert.ok(job);
    return job;
  }

  mustBeCancelled(id: JobId): boolean {
    return this.jobOf(id).awaits.some(
      (dependency) => this.jobOf(dependency).final === 'cancelled' || this.mustBeCancelled(dependency),
    );
  }

  isReady(id: JobId): boolean {
    return this.jobOf(id).awaits.every((dependency) => this.jobOf(dependency).final === 'done');
  }

  /** Whether the job waits for jobs that may all run already, and for no other. */
  isUpcoming(id: JobId): boolean {
    const pending = this.jobOf(id).awaits.filter((dependency) => this.jobOf(dependency).final !== 'done');
    return pending.length > 0 && pending.every((dependency) => this.isReady(dependency));
  }

  /** Highest priority and earliest due time among all open jobs that depend on this one, along every path. */
  inherited(id: JobId): ExpectedInherited | null {
    let combined: ExpectedInherited | null = null;
    for (const [dependent, job] of this.jobs) {
      if (!job.awaits.includes(id) || job.final !== null || this.mustBeCancelled(dependent)) continue;
      const transitive: ExpectedInherited | null = this.inherited(dependent);
      const deadlines = [transitive?.dueAt ?? Infinity];
      if (job.spec.deadlineS !== null) deadlines.push(job.submittedAt + job.spec.deadlineS * 1000);
      const dueAt = Math.min(...deadlines) - stepDurationS(job.spec, 1) * 1000;
      const priority = Math.max(job.spec.priority, transitive?.priority ?? 0);
      combined = combine(combined, { priority, dueAt: Number.isFinite(dueAt) ? dueAt : null });
    }
    return combined;
  }
}

const step = fc.record({
  kind: fc.constantFrom('submit', 'submit', 'finish', 'finish', 'cancel', 'tell', 'tell', 'ask', 'ask'),
  pick: fc.nat(1000),
  awaits: fc.array(fc.nat(1000), { maxLength: 4 }),
  priority: fc.constantFrom(...Object.values(Priority)),
  deadlineS: fc.option(fc.integer({ min: 10, max: 500 })),
  estimateS: fc.integer({ min: 1, max: 60 }),
  removedFirst: fc.boolean(),
});

/** Runs the steps on the model. Final states are delivered to the graph later and in a different order. */
function runSteps(
  steps: readonly (typeof step extends fc.Arbitrary<infer S> ? S : never)[],
  graph: JobGraph,
): ModelGraph {
  const model = new ModelGraph();
  const undelivered: (() => void)[] = [];
  const delivered = new Set<JobId>();
  const open = (): JobId[] => [...model.jobs].filter(([, { final }]) => final === null).map(([id]) => id);
  const end = (id: JobId, phase: FinalPhase, removedFirst: boolean): void => {
    const job = model.jobs.get(id);
    assert.ok(job);
    job.final = phase;
    undelivered.push(() => {
      delivered.add(id);
      if (removedFirst) graph.remove(id);
      graph.recordFinal(id, phase, 0);
      graph.remove(id);
    });
  };
  let now = 0;
  for (const { kind, pick, awaits, removedFirst, ...more } of steps) {
    now += 500;
    const ids = [...model.jobs.keys()];
    if (kind === 'submit') {
      const id = jobId(`j-${ids.length}`);
      const dependencies = [...new Set(awaits.map((n) => ids[n % Math.max(1, ids.length)]))].filter(
        (x) => x !== undefined,
      );
      model.jobs.set(id, { spec: spec({ id, ...more }), submittedAt: now, awaits: dependencies, final: null });
      const pending = dependencies.filter((dependency) => model.jobs.get(dependency)?.final !== 'done');
      const job = model.jobs.get(id);
      assert.ok(job);
      if (pending.some((dependency) => model.jobs.get(dependency)?.final === 'cancelled'))
        end(id, 'cancelled', removedFirst);
      else if (pending.length > 0) {
        graph.add(id, { spec: job.spec, submittedAt: wallMillis(now), awaits: pending });
        for (const dependency of pending) {
          const { final = null } = model.jobs.get(dependency) ?? {};
          if (final !== null && delivered.has(dependency)) graph.recordFinal(dependency, final, 0);
        }
      }
    } else if (kind === 'ask') graph.inheritedOf(ids[pick % Math.max(1, ids.length)] ?? jobId('j-none'));
    else if (kind === 'tell') undelivered.splice(pick % Math.max(1, undelivered.length), 1)[0]?.();
    else {
      const id = open()[pick % Math.max(1, open().length)];
      if (id === undefined) continue;
      if (kind === 'cancel') end(id, 'cancelled', removedFirst);
      else if (model.isReady(id)) end(id, 'done', removedFirst);
    }
  }
  // Cancellations are propagated until no job that has to be cancelled is left open.
  for (;;) {
    for (const deliver of undelivered.splice(0)) deliver();
    const toCancel = open().filter((id) => model.mustBeCancelled(id));
    if (toCancel.length === 0) return model;
    for (const id of toCancel) {
      assert.ok(graph.mustBeCancelled(id), `${id} has to be cancelled`);
      end(id, 'cancelled', false);
    }
  }
}

test('waiting, readiness, cancellation and inheritance agree with a reference model in any order of delivery', () => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), (steps) => {
      const graph = new JobGraph(() => 1);
      const model = runSteps(steps, graph);
      for (const [id, job] of model.jobs) {
        if (job.final !== null) continue;
        if (graph.has(id)) assert.equal(graph.isReady(id), model.isReady(id), id);
        else assert.ok(model.isReady(id), `${id} waits, but the graph does not have it`);
        assert.deepEqual(graph.inheritedOf(id), model.inherited(id), id);
      }
      const open = [...model.jobs].filter(([, { final }]) => final === null).map(([id]) => id);
      assert.deepEqual(
        [...graph.upcomingJobs(Infinity)].map(({ id }) => id).sort(),
        open.filter((id) => model.isUpcoming(id)).sort(),
      );
    }),
    { seed: 11, numRuns: 2000 },
  );
});

/** Builds a graph that counts how often what a job passes on to its dependencies is computed. */
function countingGraph(): { readonly graph: JobGraph; readonly computations: () => number } {
  let computations = 0;
  const graph = new JobGraph(() => {
    computations += 1;
    // A regression would compute for hours.
    assert.ok(computations < 1_000_000, 'inherited constraints are computed far too often');
    return 1;
  });
  return { graph, computations: () => computations };
}

test('a deadline at the end of a pipeline of wide stages does not stop all controllers', () => {
  const [stages, width] = [15, 4];
  const { graph, computations } = countingGraph();
  const stageIds = (stage: number): JobId[] => Array.from({ length: width }, (_, i) => jobId(`j-${stage}-${i}`));
  const first = stageIds(0);
  // The estimates are such that a depth-first propagation recomputes each stage once for each path to it.
  for (let stage = 1; stage < stages; stage++) {
    for (const [i, id] of stageIds(stage).entries()) {
      const estimateS = 10 + (width - i) * width ** stage * 1e-6;
      graph.add(id, { spec: spec({ id, estimateS }), submittedAt: wallMillis(stage), awaits: stageIds(stage - 1) });
    }
    for (const id of first) graph.inheritedOf(id);
  }
  const last = jobId('j-last');
  const before = computations();
  graph.add(last, {
    spec: spec({ id: last, deadlineS: 3600, priority: Priority.high }),
    submittedAt: wallMillis(stages),
    awaits: stageIds(stages - 1),
  });
  for (const id of first) assert.equal(graph.inheritedOf(id)?.priority, Priority.high);
  const links = (stages - 1) * width * width + width;
  assert.ok(computations() - before <= stages * width + links, `${computations() - before} computations`);
});

test('a job appended to a long pipeline without deadlines leaves its earlier stages alone', () => {
  const graph = new JobGraph();
  const chain = Array.from({ length: 500 }, (_, i) => jobId(`j-${i}`));
  const [first = jobId('j-none'), ...appended] = chain;
  for (const [i, id] of appended.entries()) {
    const job = { spec: spec({ id }), submittedAt: wallMillis(i), awaits: chain.slice(i, i + 1) };
    // Computations without a deadline fetch nothing, so they are counted by their lookups.
    countLookups(100, () => {
      graph.add(id, job);
      assert.equal(graph.inheritedOf(first)?.priority, Priority.normal);
    });
  }
});

interface StagedJob extends DependentJob {
  readonly id: JobId;
  readonly stage: number;
}

/** What the jobs inherit, computed from all jobs of the graph, the last stage first. */
function expectedInheritance(graph: JobGraph, jobs: readonly StagedJob[]): Map<JobId, ExpectedInherited> {
  const inherited = new Map<JobId, ExpectedInherited>();
  for (const job of [...jobs].sort((a, b) => b.stage - a.stage)) {
    if (!graph.has(job.id) || graph.mustBeCancelled(job.id)) continue;
    const transitive = inherited.get(job.id);
    const ownDueAt = job.spec.deadlineS === null ? Infinity : job.submittedAt + job.spec.deadlineS * 1000;
    const dueAt = Math.min(ownDueAt, transitive?.dueAt ?? Infinity) - stepDurationS(job.spec, 1) * 1000;
    const priority = Math.max(job.spec.priority, transitive?.priority ?? 0);
    const passedOn = { priority, dueAt: Number.isFinite(dueAt) ? dueAt : null };
    for (const id of job.awaits) inherited.set(id, combine(inherited.get(id) ?? null, passedOn));
  }
  return inherited;
}

test('one change of a graph of any shape costs no more computations than it has jobs and links', () => {
  const drawn = fc.record({
    jobs: fc.array(
      fc.record({
        stage: fc.nat(9),
        estimateS: fc.integer({ min: 1, max: 1000 }),
        deadlineS: fc.option(fc.integer({ min: 10, max: 5000 }), { freq: 4 }),
        priority: fc.constantFrom(...Object.values(Priority)),
        position: fc.nat(),
      }),
      { minLength: 10, maxLength: 60 },
    ),
    skippedStages: fc.nat(3),
    ends: fc.array(fc.record({ at: fc.nat(), how: fc.constantFrom('cancelled', 'done', 'removed') }), {
      maxLength: 30,
    }),
  });
  fc.assert(
    fc.property(drawn, ({ jobs, skippedStages, ends }) => {
      const { graph, computations } = countingGraph();
      const ids = jobs.map((_, i) => jobId(`j-${i}`));
      const awaitsOf = (stage: number): JobId[] =>
        ids.filter((_, i) => {
          const other = jobs[i]?.stage ?? 0;
          return other < stage && other >= stage - 1 - skippedStages;
        });
      const all = jobs.map(({ stage, position, ...over }, i) => {
        const id = ids[i] ?? jobId('j-none');
        const job = { spec: spec({ id, ...over }), submittedAt: wallMillis(0), awaits: awaitsOf(stage) };
        return { id, stage, position, ...job };
      });
      const size = all.reduce((sum, { awaits }) => sum + 1 + awaits.length, 0);
      const change = (apply: () => void): void => {
        const before = computations();
        apply();
        const inherited = ids.map((id) => graph.inheritedOf(id));
        assert.ok(computations() - before <= size, `${computations() - before} computations, ${size} jobs and links`);
        const expected = expectedInheritance(graph, all);
        for (const [i, id] of ids.entries()) assert.deepEqual(inherited[i], expected.get(id) ?? null, id);
        const waits = (id: JobId): boolean => graph.has(id) && graph.pendingOf(id).length > 0;
        const upcoming = ids.filter(
          (id) => waits(id) && !graph.mustBeCancelled(id) && !graph.pendingOf(id).some((other) => waits(other)),
        );
        assert.deepEqual([...graph.upcomingJobs(Infinity)].map(({ id }) => id).sort(), upcoming.sort());
      };
      // Stored jobs are read in the order of their ids, in which dependents may come before their dependencies.
      for (const job of [...all].sort((a, b) => a.position - b.position)) change(() => graph.add(job.id, job));
      for (const { at, how } of ends) {
        const id = ids[at % ids.length] ?? jobId('j-none');
        change(() => (how === 'removed' ? graph.remove(id) : graph.recordFinal(id, how, 0)));
      }
    }),
    { seed: 62, numRuns: 150 },
  );
});

test('a job is not ready until all its dependencies are recorded as done', () => {
  const graph = new JobGraph();
  const ids = Array.from({ length: 100 }, (_, i) => jobId(`j-${i}`));
  const last = jobId('j-last');
  graph.add(last, { spec: spec({ id: last }), submittedAt: wallMillis(5), awaits: ids });
  for (const [i, id] of ids.entries()) {
    assert.equal(graph.isReady(last), false);
    const { ready } = graph.recordFinal(id, 'done', 1000 + i);
    // Recording the same final state again changes nothing.
    assert.deepEqual(graph.recordFinal(id, 'done', 9999), { ready: [], toCancel: [] });
    assert.deepEqual(ready, i === 99 ? [last] : []);
  }
  assert.equal(graph.readyAt(last), 1099);
});

test('a cancelled root marks a chain of ten thousand jobs for cancellation, and a diamond is counted once', () => {
  const graph = new JobGraph();
  const root = jobId('j-root');
  const add = (id: JobId, awaits: readonly JobId[], overrides: Partial<JobSpec> = {}): void => {
    graph.add(id, { spec: spec({ ...overrides, id }), submittedAt: wallMillis(0), awaits });
  };
  let previous = root;
  const chain = Array.from({ length: 10_000 }, (_, i) => jobId(`j-${i}`));
  for (const id of chain) {
    add(id, [previous]);
    previous = id;
  }
  assert.equal(graph.recordFinal(root, 'cancelled', 0).toCancel.length, 10_000);
  assert.equal(graph.mustBeCancelled(previous), true);

  const [top, left, right, end] = ['j-a', 'j-b', 'j-c', 'j-d'].map((id) => jobId(id)) as [JobId, JobId, JobId, JobId];
  add(left, [top], { estimateS: 10, priority: Priority.low });
  add(right, [top], { estimateS: 30, priority: Priority.low });
  add(end, [left, right], { estimateS: 5, priority: Priority.high, deadlineS: 100 });
  // The longer branch determines the due time: 100 s minus 5 s of the last job and 30 s, with 2 s overhead for each.
  assert.deepEqual(graph.inheritedOf(top), { priority: Priority.high, dueAt: 100_000 - 7000 - 32_000 });
  graph.remove(end);
  assert.deepEqual(graph.inheritedOf(top), { priority: Priority.low, dueAt: null });
});

test('the end of a job that a wide pipeline waits for does not stop the controllers', () => {
  const width = 150;
  const stage = (name: string): JobId[] => Array.from({ length: width }, (_, i) => jobId(`j-${name}-${i}`));
  const [first, second, third] = [stage('a'), stage('b'), stage('c')] as const;
  const graph = new JobGraph();
  const add = (id: JobId, awaits: readonly JobId[]): void => {
    graph.add(id, { spec: spec({ id }), submittedAt: wallMillis(0), awaits });
  };
  // Each change may look at the links of the jobs that it concerns a few times, and not at the links of those again.
  const most = 10 * 2 * width * width;
  for (const id of second) countLookups(most, () => add(id, first));
  for (const id of third) countLookups(most, () => add(id, second));
  for (const id of first) {
    countLookups(most, () => {
      graph.recordFinal(id, 'done', 1);
      graph.remove(id);
    });
  }
  assert.deepEqual(
    [...graph.upcomingJobs(2 * width)].map(({ id }) => id).sort(),
    [...third].sort(),
    'the third stage is upcoming once the second may run',
  );
  for (const id of second) countLookups(most, () => graph.remove(id));
});
