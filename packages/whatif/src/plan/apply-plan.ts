import { jobId } from '../../../../src/kernel/index.js';
import { Priority, unschedulableReason, type JobSpec } from '../../../../src/jobs/index.js';
import { kindKeyOf, type ScenarioJob, type ScenarioMachine, type Scenario } from '../night/index.js';
import { parseMomentS, validateTimeZone, type NightSpan } from './parse-moment.js';
import { PlanError } from './read-plan.js';
import type { JobSelector, Plan } from './plan-schema.js';

/** The job priority for each priority name of a plan. */
const PRIORITIES = {
  low: Priority.low,
  standard: Priority.normal,
  urgent: Priority.high,
  production: Priority.production,
};

/** A scenario to which a plan is being applied, and the earliest time at which the changes make a difference. */
class ScenarioDraft {
  jobs: ScenarioJob[];
  machines: ScenarioMachine[];
  facts: Scenario['facts'];
  capacity: Map<string, number>;
  freeFromS = Infinity;
  readonly span: NightSpan;

  constructor(
    readonly base: Scenario,
    readonly plan: Plan,
  ) {
    this.jobs = [...base.jobs];
    this.machines = [...base.machines];
    this.facts = base.facts;
    this.capacity = new Map(base.capacity);
    this.span = { fromMs: base.fromMs, lengthS: base.lengthS, zone: plan.time_zone };
  }

  /** Notes that the plan makes a difference from a time on. */
  noteDivergence(atS: number): void {
    this.freeFromS = Math.min(this.freeFromS, Math.max(0, atS));
  }

  /**
   * Returns the jobs that a table selects. Throws a PlanError if it selects none, which is a mistake rather than a plan
   * without effect, or one that was open before the night began.
   */
  selectJobs(selector: JobSelector, path: string): ScenarioJob[] {
    const { class: jobClass, job } = selector;
    if (jobClass === undefined && job === undefined) throw new PlanError(`${path}: needs a class or a job`);
    const classes = new Set(this.jobs.map(({ spec }) => spec.jobClass));
    if (jobClass !== undefined && !classes.has(jobClass))
      throw new PlanError(
        `${path}.class: no job of the class ${jobClass} in this night (${[...classes].sort().join(', ')})`,
      );
    if (job !== undefined && !this.jobs.some(({ spec }) => spec.id === job))
      throw new PlanError(`${path}.job: no job ${job} in this night`);
    const fromS = selector.from === undefined ? -Infinity : parseMomentS(selector.from, this.span, `${path}.from`);
    const toS = selector.to === undefined ? Infinity : parseMomentS(selector.to, this.span, `${path}.to`);
    if (fromS > toS) throw new PlanError(`${path}: from is later than to`);
    const selected = this.jobs.filter(
      ({ spec, atS }) =>
        (jobClass === undefined || spec.jobClass === jobClass) &&
        (job === undefined || spec.id === job) &&
        atS >= fromS &&
        atS < toS,
    );
    if (selected.length === 0) throw new PlanError(`${path}: no job was submitted in that period`);
    const openBefore = selected.find(({ cut }) => cut === 'before');
    if (openBefore)
      throw new PlanError(`${path}: ${openBefore.spec.id} was open before the night began and cannot be changed`);
    return selected;
  }

  /** Replaces each selected job by what `change` returns, or removes the job if that is null. */
  replaceJobs(selected: readonly ScenarioJob[], change: (job: ScenarioJob) => ScenarioJob | null): void {
    const selectedSet = new Set(selected);
    this.jobs = this.jobs.flatMap((job) => {
      if (!selectedSet.has(job)) return [job];
      const next = change(job);
      return next ? [next] : [];
    });
  }

  /** Returns a machine by id. Throws a PlanError if there is none. */
  findMachine(id: string, path: string): ScenarioMachine {
    const found = this.machines.find((m) => m.id === id);
    if (!found) throw new PlanError(`${path}: no machine ${id} in this night`);
    return found;
  }

  /** Returns the key of a machine kind. Throws a PlanError if the type is unknown or not offered in the zone. */
  machineKind(
    { type, zone, spot }: { readonly type: string; readonly zone: string; readonly spot: boolean },
    path: string,
  ): string {
    const machineType = this.facts.types.find(({ name }) => name === type);
    if (!machineType)
      throw new PlanError(`${path}.type: no machine type ${type} (${this.facts.types.map((t) => t.name).join(', ')})`);
    if (!machineType.zones.includes(zone))
      throw new PlanError(`${path}.zone: there is no ${type} in ${zone} (${machineType.zones.join(', ')})`);
    return kindKeyOf({ type, zone, spot });
  }
}

/** Applies the tables of a plan that change jobs, in the order drop, move, add, scale, set. */
function changeJobs(draft: ScenarioDraft): void {
  const { plan, span } = draft;
  for (const [i, table] of plan.drop.entries()) {
    const selected = draft.selectJobs(table, `drop[${i}]`);
    for (const { atS } of selected) draft.noteDivergence(atS);
    draft.replaceJobs(selected, () => null);
  }
  for (const [i, table] of plan.move.entries()) {
    const path = `move[${i}]`;
    const selected = draft.selectJobs(table, path);
    if ((table.by_s === undefined) === (table.start === undefined))
      throw new PlanError(`${path}: needs either by_s or start`);
    const firstS = Math.min(...selected.map(({ atS }) => atS));
    const byS = table.by_s ?? parseMomentS(table.start ?? 0, span, `${path}.start`) - firstS;
    if (firstS + byS < 0)
      throw new PlanError(
        `${path}: its first job would be submitted ${(-firstS - byS).toFixed(0)} s before the night began`,
      );
    if (byS === 0) continue;
    for (const { atS } of selected) draft.noteDivergence(Math.min(atS, atS + byS));
    draft.replaceJobs(selected, (job) => ({
      ...job,
      atS: job.atS + byS,
      cancelAtS: job.cancelAtS === null ? null : job.cancelAtS + byS,
      changed: `moved by ${byS.toFixed(0)} s`,
    }));
  }
  for (const [i, { like, at, count, every_s: everyS }] of plan.add.entries()) {
    const template = draft.jobs.find(({ spec }) => spec.id === like || spec.jobClass === like);
    if (!template) throw new PlanError(`add[${i}].like: there is no job or class ${like} in this night`);
    const atS = parseMomentS(at, span, `add[${i}].at`);
    draft.noteDivergence(atS);
    for (let n = 0; n < count; n++) {
      const spec: JobSpec = { ...template.spec, id: jobId(`j-added-${i + 1}-${n + 1}`) };
      draft.jobs.push({
        ...template,
        spec,
        atS: atS + n * everyS,
        cancelAtS: null,
        completionWriteS: null,
        cut: null,
        changed: 'added',
      });
    }
  }
  for (const [i, table] of plan.scale.entries()) scaleJobs(draft, table, `scale[${i}]`);
  for (const [i, table] of plan.set.entries()) {
    const selected = draft.selectJobs(table, `set[${i}]`);
    for (const { atS } of selected) draft.noteDivergence(atS);
    draft.replaceJobs(selected, (job) => ({
      ...job,
      spec: {
        ...job.spec,
        ...(table.priority === undefined ? {} : { priority: PRIORITIES[table.priority] }),
        ...(table.deadline_s === undefined ? {} : { deadlineS: table.deadline_s }),
        ...(table.spot === undefined ? {} : { spot: table.spot }),
      },
      changed: 'set anew',
    }));
  }
}

/** Multiplies the number of the selected jobs, their number of tasks and their run times. */
function scaleJobs(draft: ScenarioDraft, table: Plan['scale'][number], path: string): void {
  const selected = draft.selectJobs(table, path);
  const { jobs = 1, tasks = 1, run = 1 } = table;
  if (table.jobs === undefined && table.tasks === undefined && table.run === undefined)
    throw new PlanError(`${path}: needs jobs, tasks or run`);
  for (const { atS } of selected) draft.noteDivergence(atS);
  const scaled = (job: ScenarioJob): ScenarioJob => ({
    ...job,
    spec: {
      ...job.spec,
      tasks: Math.min(100_000, Math.max(1, Math.round(job.spec.tasks * tasks))),
      estimateS: job.spec.estimateS * run,
    },
    workS: new Map([...job.workS].map(([index, workS]) => [index, workS * run])),
    changed: 'scaled',
  });
  if (jobs < 1) {
    // Removes jobs at even intervals, so that the remaining ones stay spread over the night.
    const kept = new Set(selected.filter((_, n) => Math.floor((n + 1) * jobs) > Math.floor(n * jobs)));
    draft.replaceJobs(selected, (job) => (kept.has(job) ? scaled(job) : null));
    return;
  }
  draft.replaceJobs(selected, scaled);
  const copies = Math.round(selected.length * (jobs - 1));
  for (let n = 0; n < copies; n++) {
    const original = selected[n % selected.length];
    if (!original) continue;
    const copy = scaled(original);
    const spec = { ...copy.spec, id: jobId(`${original.spec.id}-more-${Math.floor(n / selected.length) + 1}`) };
    draft.jobs.push({ ...copy, spec, cut: null, completionWriteS: null, changed: 'added by scaling' });
  }
}

/** Applies the tables of a plan that change teams, machines, capacity, prices and tunables. */
function changePlatform(draft: ScenarioDraft): void {
  const { plan, span } = draft;
  for (const [i, { name, ...limits }] of plan.team.entries()) {
    const current = draft.facts.teams[name];
    if (!current)
      throw new PlanError(`team[${i}].name: no team ${name} (${Object.keys(draft.facts.teams).join(', ')})`);
    const team = {
      ...{ cpus: limits.cpus ?? current.cpus, cpusMax: limits.cpus_max ?? current.cpusMax },
      ...{ gpus: limits.gpus ?? current.gpus, gpusMax: limits.gpus_max ?? current.gpusMax },
    };
    if (team.cpusMax > 0 && team.cpus > team.cpusMax)
      throw new PlanError(`team[${i}]: ${name} is guaranteed more cpus than its limit`);
    if (team.gpusMax > 0 && team.gpus > team.gpusMax)
      throw new PlanError(`team[${i}]: ${name} is guaranteed more gpus than its limit`);
    draft.noteDivergence(0);
    draft.facts = { ...draft.facts, teams: { ...draft.facts.teams, [name]: team } };
  }
  for (const [i, table] of plan.machines.entries()) {
    const path = `machines[${i}]`;
    const kind = draft.machineKind(table, path);
    const initial = draft.machines.filter((m) => m.kind === kind && m.initial);
    if (table.more < 0 && -table.more > initial.length)
      throw new PlanError(`${path}.more: the night begins with ${initial.length} machines of this kind`);
    draft.noteDivergence(0);
    if (table.more < 0) {
      const removed = new Set(initial.slice(table.more));
      draft.machines = draft.machines.filter((m) => !removed.has(m));
    }
    const healthy = { initial: true, upAfterS: 0, diesAtS: null, takenBack: null, slowness: 1, failsFromS: null };
    for (let n = 0; n < table.more; n++) draft.machines.push({ id: `planned-${i + 1}-${n + 1}`, kind, ...healthy });
  }
  for (const [i, table] of plan.capacity.entries()) {
    const kind = draft.machineKind(table, `capacity[${i}]`);
    const initialCount = draft.machines.filter((m) => m.kind === kind && m.initial).length;
    if (table.count < initialCount)
      throw new PlanError(`capacity[${i}].count: the night begins with ${initialCount} machines of this kind`);
    draft.noteDivergence(0);
    draft.capacity.set(kind, table.count);
  }
  for (const [i, { type, price, spot_price: spotPrice }] of plan.price.entries()) {
    if (!draft.facts.types.some(({ name }) => name === type))
      throw new PlanError(`price[${i}].type: no machine type ${type}`);
    draft.noteDivergence(0);
    const types = draft.facts.types.map((t) =>
      t.name === type ? { ...t, price: price ?? t.price, spotPrice: spotPrice ?? t.spotPrice } : t,
    );
    draft.facts = { ...draft.facts, types };
  }
  const replaceMachine = (old: ScenarioMachine, next: ScenarioMachine): void => {
    draft.machines = draft.machines.map((m) => (m === old ? next : m));
  };
  for (const [i, { machine: id, at }] of plan.kill.entries()) {
    const machine = draft.findMachine(id, `kill[${i}].machine`);
    const diesAtS = parseMomentS(at, span, `kill[${i}].at`);
    if (machine.diesAtS !== null && machine.diesAtS <= diesAtS)
      throw new PlanError(`kill[${i}]: ${id} died at ${machine.diesAtS.toFixed(0)} s, before the given time`);
    draft.noteDivergence(diesAtS);
    replaceMachine(machine, { ...machine, diesAtS });
  }
  for (const [i, { machine: id }] of plan.spare.entries()) {
    const machine = draft.findMachine(id, `spare[${i}].machine`);
    const { diesAtS, takenBack } = machine;
    if (diesAtS === null && takenBack === null)
      throw new PlanError(`spare[${i}]: ${id} did not die and was not taken back in this night`);
    draft.noteDivergence(Math.min(diesAtS ?? Infinity, takenBack?.noticeAtS ?? Infinity));
    replaceMachine(machine, { ...machine, diesAtS: null, takenBack: null });
  }
  const tunables: Record<string, number> = {};
  for (const [name, value] of Object.entries(plan.tunables)) if (value !== undefined) tunables[name] = value;
  if (Object.keys(tunables).length > 0) {
    draft.noteDivergence(0);
    const settings = { tunables: { ...draft.facts.settings.tunables, ...tunables } };
    draft.facts = { ...draft.facts, settings };
  }
}

/**
 * Returns the scenario with all changes of a plan. Throws a PlanError that names the first impossible change and the
 * reason.
 */
export function applyPlan(base: Scenario, plan: Plan): Scenario {
  validateTimeZone(plan.time_zone);
  const draft = new ScenarioDraft(base, plan);
  changeJobs(draft);
  changePlatform(draft);
  const teams = new Map(Object.entries(draft.facts.teams));
  for (const job of draft.jobs) {
    if (job.changed === null) continue;
    const rejection = unschedulableReason(job.spec, teams, draft.facts.types);
    if (rejection !== null)
      throw new PlanError(`${job.spec.id} (${job.spec.jobClass}) would be rejected on submission: ${rejection}`);
  }
  const { jobs, machines, facts, capacity, freeFromS } = draft;
  return { ...base, jobs: jobs.sort((a, b) => a.atS - b.atS), machines, facts, capacity, divergesAtS: freeFromS };
}
