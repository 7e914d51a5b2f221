import { jobId } from '../../../../src/kernel/index.js';
import { Priority, unschedulableReason, type JobSpec } from '../../../../src/jobs/index.js';
import { kindOf, type PlayedJob, type PlayedMachine, type Scenario } from '../night/index.js';
import { checkZone, momentS, type NightSpan } from './moment.js';
import { PlanError } from './read.js';
import type { Plan, Which } from './schema.js';

const PRIORITIES = {
  low: Priority.low,
  standard: Priority.normal,
  urgent: Priority.high,
  production: Priority.production,
};

/** A scenario while a plan changes it, and the earliest moment at which that makes a difference. */
class Draft {
  jobs: PlayedJob[];
  machines: PlayedMachine[];
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

  from(atS: number): void {
    this.freeFromS = Math.min(this.freeFromS, Math.max(0, atS));
  }

  /** The jobs that a table means; none is a mistake and not a plan without effect. */
  choose(which: Which, what: string): PlayedJob[] {
    const { class: jobClass, job } = which;
    if (jobClass === undefined && job === undefined) throw new PlanError(`${what}: needs a class or a job`);
    const classes = new Set(this.jobs.map(({ spec }) => spec.jobClass));
    if (jobClass !== undefined && !classes.has(jobClass))
      throw new PlanError(
        `${what}.class: no job of the class ${jobClass} in this night (${[...classes].sort().join(', ')})`,
      );
    if (job !== undefined && !this.jobs.some(({ spec }) => spec.id === job))
      throw new PlanError(`${what}.job: no job ${job} in this night`);
    const fromS = which.from === undefined ? -Infinity : momentS(which.from, this.span, `${what}.from`);
    const toS = which.to === undefined ? Infinity : momentS(which.to, this.span, `${what}.to`);
    if (fromS > toS) throw new PlanError(`${what}: from is later than to`);
    const chosen = this.jobs.filter(
      ({ spec, atS }) =>
        (jobClass === undefined || spec.jobClass === jobClass) &&
        (job === undefined || spec.id === job) &&
        atS >= fromS &&
        atS < toS,
    );
    if (chosen.length === 0) throw new PlanError(`${what}: no job was submitted then`);
    const before = chosen.find(({ cut }) => cut === 'before');
    if (before)
      throw new PlanError(`${what}: ${before.spec.id} was open before the night began, so that it can't be changed`);
    return chosen;
  }

  replace(chosen: readonly PlayedJob[], how: (job: PlayedJob) => PlayedJob | null): void {
    const set = new Set(chosen);
    this.jobs = this.jobs.flatMap((job) => {
      if (!set.has(job)) return [job];
      const next = how(job);
      return next ? [next] : [];
    });
  }

  machine(id: string, what: string): PlayedMachine {
    const found = this.machines.find((m) => m.id === id);
    if (!found) throw new PlanError(`${what}: no machine ${id} in this night`);
    return found;
  }

  kind(
    { type, zone, spot }: { readonly type: string; readonly zone: string; readonly spot: boolean },
    what: string,
  ): string {
    const known = this.facts.types.find(({ name }) => name === type);
    if (!known)
      throw new PlanError(`${what}.type: no machine type ${type} (${this.facts.types.map((t) => t.name).join(', ')})`);
    if (!known.zones.includes(zone))
      throw new PlanError(`${what}.zone: there is no ${type} in ${zone} (${known.zones.join(', ')})`);
    return kindOf({ type, zone, spot });
  }
}

function changeJobs(draft: Draft): void {
  const { plan, span } = draft;
  for (const [i, table] of plan.drop.entries()) {
    const chosen = draft.choose(table, `drop[${i}]`);
    for (const { atS } of chosen) draft.from(atS);
    draft.replace(chosen, () => null);
  }
  for (const [i, table] of plan.move.entries()) {
    const what = `move[${i}]`;
    const chosen = draft.choose(table, what);
    if ((table.by_s === undefined) === (table.start === undefined))
      throw new PlanError(`${what}: needs either by_s or start`);
    const first = Math.min(...chosen.map(({ atS }) => atS));
    const byS = table.by_s ?? momentS(table.start ?? 0, span, `${what}.start`) - first;
    if (first + byS < 0)
      throw new PlanError(`${what}: its first job would come ${(-first - byS).toFixed(0)} s before the night began`);
    if (byS === 0) continue;
    for (const { atS } of chosen) draft.from(Math.min(atS, atS + byS));
    draft.replace(chosen, (job) => ({
      ...job,
      atS: job.atS + byS,
      cancelAtS: job.cancelAtS === null ? null : job.cancelAtS + byS,
      changed: `moved by ${byS.toFixed(0)} s`,
    }));
  }
  for (const [i, { like, at, count, every_s: everyS }] of plan.add.entries()) {
    const model = draft.jobs.find(({ spec }) => spec.id === like || spec.jobClass === like);
    if (!model) throw new PlanError(`add[${i}].like: no job and no class ${like} in this night`);
    const atS = momentS(at, span, `add[${i}].at`);
    draft.from(atS);
    for (let n = 0; n < count; n++) {
      const spec: JobSpec = { ...model.spec, id: jobId(`j-added-${i + 1}-${n + 1}`) };
      draft.jobs.push({
        ...model,
        spec,
        atS: atS + n * everyS,
        cancelAtS: null,
        writeS: null,
        cut: null,
        changed: 'added',
      });
    }
  }
  for (const [i, table] of plan.scale.entries()) scaleJobs(draft, table, `scale[${i}]`);
  for (const [i, table] of plan.set.entries()) {
    const chosen = draft.choose(table, `set[${i}]`);
    for (const { atS } of chosen) draft.from(atS);
    draft.replace(chosen, (job) => ({
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

function scaleJobs(draft: Draft, table: Plan['scale'][number], what: string): void {
  const chosen = draft.choose(table, what);
  const { jobs = 1, tasks = 1, run = 1 } = table;
  if (table.jobs === undefined && table.tasks === undefined && table.run === undefined)
    throw new PlanError(`${what}: needs jobs, tasks or run`);
  for (const { atS } of chosen) draft.from(atS);
  const scaled = (job: PlayedJob): PlayedJob => ({
    ...job,
    spec: {
      ...job.spec,
      tasks: Math.min(100_000, Math.max(1, Math.round(job.spec.tasks * tasks))),
      estimateS: job.spec.estimateS * run,
    },
    work: new Map([...job.work].map(([index, workS]) => [index, workS * run])),
    changed: 'scaled',
  });
  if (jobs < 1) {
    // Evenly spread over the night: every so manyth stays.
    const kept = new Set(chosen.filter((_, n) => Math.floor((n + 1) * jobs) > Math.floor(n * jobs)));
    draft.replace(chosen, (job) => (kept.has(job) ? scaled(job) : null));
    return;
  }
  draft.replace(chosen, scaled);
  const more = Math.round(chosen.length * (jobs - 1));
  for (let n = 0; n < more; n++) {
    const like = chosen[n % chosen.length];
    if (!like) continue;
    const again = scaled(like);
    const spec = { ...again.spec, id: jobId(`${like.spec.id}-more-${Math.floor(n / chosen.length) + 1}`) };
    draft.jobs.push({ ...again, spec, cut: null, writeS: null, changed: 'added by scaling' });
  }
}

function changePlatform(draft: Draft): void {
  const { plan, span } = draft;
  for (const [i, { name, ...limits }] of plan.team.entries()) {
    const known = draft.facts.teams[name];
    if (!known) throw new PlanError(`team[${i}].name: no team ${name} (${Object.keys(draft.facts.teams).join(', ')})`);
    const team = {
      ...{ cpus: limits.cpus ?? known.cpus, cpusMax: limits.cpus_max ?? known.cpusMax },
      ...{ gpus: limits.gpus ?? known.gpus, gpusMax: limits.gpus_max ?? known.gpusMax },
    };
    if (team.cpusMax > 0 && team.cpus > team.cpusMax)
      throw new PlanError(`team[${i}]: ${name} is guaranteed more cpus than its limit`);
    if (team.gpusMax > 0 && team.gpus > team.gpusMax)
      throw new PlanError(`team[${i}]: ${name} is guaranteed more gpus than its limit`);
    draft.from(0);
    draft.facts = { ...draft.facts, teams: { ...draft.facts.teams, [name]: team } };
  }
  for (const [i, table] of plan.machines.entries()) {
    const what = `machines[${i}]`;
    const kind = draft.kind(table, what);
    const there = draft.machines.filter((m) => m.kind === kind && m.initial);
    if (table.more < 0 && -table.more > there.length)
      throw new PlanError(`${what}.more: the night begins with ${there.length} machines of this kind`);
    draft.from(0);
    if (table.more < 0) {
      const going = new Set(there.slice(table.more));
      draft.machines = draft.machines.filter((m) => !going.has(m));
    }
    const blank = { initial: true, upAfterS: 0, diesAtS: null, takenBack: null, slowness: 1, failsFromS: null };
    for (let n = 0; n < table.more; n++) draft.machines.push({ id: `planned-${i + 1}-${n + 1}`, kind, ...blank });
  }
  for (const [i, table] of plan.capacity.entries()) {
    const kind = draft.kind(table, `capacity[${i}]`);
    const there = draft.machines.filter((m) => m.kind === kind && m.initial).length;
    if (table.count < there)
      throw new PlanError(`capacity[${i}].count: the night begins with ${there} machines of this kind`);
    draft.from(0);
    draft.capacity.set(kind, table.count);
  }
  for (const [i, { type, price, spot_price: spotPrice }] of plan.price.entries()) {
    if (!draft.facts.types.some(({ name }) => name === type))
      throw new PlanError(`price[${i}].type: no machine type ${type}`);
    draft.from(0);
    const types = draft.facts.types.map((t) =>
      t.name === type ? { ...t, price: price ?? t.price, spotPrice: spotPrice ?? t.spotPrice } : t,
    );
    draft.facts = { ...draft.facts, types };
  }
  const replace = (old: PlayedMachine, next: PlayedMachine): void => {
    draft.machines = draft.machines.map((m) => (m === old ? next : m));
  };
  for (const [i, { machine: id, at }] of plan.kill.entries()) {
    const machine = draft.machine(id, `kill[${i}].machine`);
    const diesAtS = momentS(at, span, `kill[${i}].at`);
    if (machine.diesAtS !== null && machine.diesAtS <= diesAtS)
      throw new PlanError(`kill[${i}]: ${id} died at ${machine.diesAtS.toFixed(0)} s, before that`);
    draft.from(diesAtS);
    replace(machine, { ...machine, diesAtS });
  }
  for (const [i, { machine: id }] of plan.spare.entries()) {
    const machine = draft.machine(id, `spare[${i}].machine`);
    const { diesAtS, takenBack } = machine;
    if (diesAtS === null && takenBack === null) throw new PlanError(`spare[${i}]: ${id} did not die in this night`);
    draft.from(Math.min(diesAtS ?? Infinity, takenBack?.noticeAtS ?? Infinity));
    replace(machine, { ...machine, diesAtS: null, takenBack: null });
  }
  const tunables: Record<string, number> = {};
  for (const [name, value] of Object.entries(plan.tunables)) if (value !== undefined) tunables[name] = value;
  if (Object.keys(tunables).length > 0) {
    draft.from(0);
    const settings = { tunables: { ...draft.facts.settings.tunables, ...tunables } };
    draft.facts = { ...draft.facts, settings };
  }
}

/** A scenario with a plan carried out; a PlanError says what of it can't be, and why. */
export function applyPlan(base: Scenario, plan: Plan): Scenario {
  checkZone(plan.time_zone);
  const draft = new Draft(base, plan);
  changeJobs(draft);
  changePlatform(draft);
  const teams = new Map(Object.entries(draft.facts.teams));
  for (const job of draft.jobs) {
    if (job.changed === null) continue;
    const never = unschedulableReason(job.spec, teams, draft.facts.types);
    if (never !== null) throw new PlanError(`${job.spec.id} (${job.spec.jobClass}) would never be taken: ${never}`);
  }
  const { jobs, machines, facts, capacity, freeFromS } = draft;
  return { ...base, jobs: jobs.sort((a, b) => a.atS - b.atS), machines, facts, capacity, freeFromS };
}
