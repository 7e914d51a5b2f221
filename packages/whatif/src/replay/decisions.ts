import { jobId, machineId, nodeName, shardName, type JobId, type MachineId } from '../../../../src/kernel/index.js';
import {
  splitIntoCalls,
  machineKindKey,
  LEASE_POLICY,
  planLeases,
  type UnleasedMachine,
} from '../../../../src/leasing/index.js';
import type { ShardSummary } from '../../../../src/peers/index.js';
import {
  planPlacement,
  machineFilterFor,
  slackOf,
  type MachineView,
  type PendingJob,
  type TeamUse,
} from '../../../../src/placement/index.js';
import { chooseRestarts, flagStragglers, resourceTerm, type StragglerFlag } from '../../../../src/speculation/index.js';
import { capacityFor, kindOf, type PlayedMachine, type Scenario } from '../night/index.js';
import type { Played, ReplayOptions } from './engine.js';
import { SimMachine, type TypeFacts } from './fleet.js';
import { SimJob } from './job.js';
import { SimMachines } from './machines.js';
import { Steered, type Steering } from './steered.js';
import { JOIN_S, JUDGE_EVERY_S, LEAD_EVERY_S, LOOK_EVERY_S, REFUSED_S, TAIL_S } from './timing.js';

const MAX_READY = 100;
const MAX_STARTS = 200;
const WAIT_S = 0.15;
const SHARD = shardName('whole');

/**
 * The decisions alone: placement, leases and the threshold, in a loop of events without a wire. One block holds
 * all machines, nobody is late, and what is told arrives after the usual time.
 */
class Decisions extends SimMachines {
  play(options: ReplayOptions): Played {
    const { scenario } = this;
    for (const job of scenario.jobs) {
      this.plan(Math.max(0, job.atS), () => this.arrive(job));
      if (job.spec.kind !== 'service' && !job.mistaken) this.batchLeft += 1;
    }
    if (scenario.freeFromS > 0) new Steered(scenario, this.steering()).begin();
    else this.beginFree();
    if (scenario.freeFromS > 0 && Number.isFinite(scenario.freeFromS)) this.plan(scenario.freeFromS, () => this.free());
    this.plan(0, () => this.look());
    const endS = scenario.lengthS;
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.at > endS + TAIL_S || (next.at > endS && this.batchLeft === 0)) break;
      this.queue.pop();
      if (Math.floor(next.at) > Math.floor(this.now)) {
        options.moved?.(next.at);
        if (options.stop?.() === true) break;
      }
      this.now = next.at;
      next.work();
    }
    this.now = Math.max(this.now, endS);
    for (const machine of this.machines.values()) this.charge(machine);
    return {
      outcomes: new Map([...this.jobs].map(([id, job]) => [id, job.outcome()])),
      money: this.spent,
      timeline: this.timeline,
    };
  }

  /** From the beginning on everything is decided here. */
  private beginFree(): void {
    for (const m of this.scenario.machines) {
      if (!m.initial || m.upAfterS === null) continue;
      const { type, zone, spot } = this.partsOf(m);
      if (type) this.begin(type.name, zone, spot);
    }
    this.free();
  }

  /** The plan makes its first difference: from now on everything is decided here. */
  private free(): void {
    if (this.steered) this.letGo();
    this.plan(this.now + JOIN_S, () => this.lead());
    this.plan(this.now + JUDGE_EVERY_S, () => this.judge());
    this.soon();
  }

  /** What the record would have gone on with is left to the decisions here. */
  private letGo(): void {
    this.steered = false;
    for (const job of this.open.values()) {
      for (const task of [...job.active.values()]) {
        // Of a gang that had not come together, or of a task whose start came to nothing.
        const idle = task.beganS === null || (job.spec.kind !== 'service' && task.done === null);
        if (!task.dead && idle) this.leave(task, job);
      }
    }
    for (const m of [...this.machines.values()]) {
      if (!m.alive) this.noticeDeath(m);
      else if (m.noticeUntilS !== null) this.heedNotice(m);
    }
  }

  /** What the record may do here, as long as nothing is decided anew. */
  private steering(): Steering {
    return {
      at: (atS, work) =>
        this.plan(atS, () => {
          if (this.steered) work();
        }),
      rented: (m) => {
        const { type, zone, spot } = this.partsOf(m);
        if (!type) return;
        this.count(m.kind);
        const bootS = m.upAfterS;
        const script = {
          bootS,
          diesAtS: m.diesAtS,
          takenBack: m.takenBack,
          slowness: m.slowness,
          failsFromS: m.failsFromS,
        };
        const id = machineId(m.id);
        this.loose.set(id, { id, type, zone, spot, rentedS: this.now, script });
        this.rentedAt.set(id, this.now);
        // Past the moment from which all is free it still comes up as it did.
        if (bootS !== null) this.plan(this.now + bootS + JOIN_S, () => this.join(id));
      },
      joined: (id) => this.join(machineId(id)),
      returned: (id) => {
        const m = this.machines.get(machineId(id));
        if (m) this.release(m);
        const loose = this.loose.get(machineId(id));
        if (loose) this.drop(loose.id, kindOf({ ...loose, type: loose.type.name }));
      },
      began: (id, index, attempt, on) => this.follow(id, index, attempt, on),
      left: (id, index, attempt, why) => {
        const job = this.jobs.get(jobId(id));
        const task = job?.active.get(index);
        if (!job || !task || task.attempt !== attempt) return;
        const { spec } = job;
        if (spec.checkpointS > 0 && task.beganS !== null && !task.dead) {
          const key = spec.kind === 'gang' ? 0 : index;
          if (why === 'stopped') this.save(job, task, key, 0, spec.saveS);
          else this.save(job, task, key, spec.checkpointS);
        }
        if (why === 'error') this.failed(task, job);
        else this.leave(task, job);
      },
      done: (id, index) => {
        const job = this.jobs.get(jobId(id));
        const task = job?.active.get(index);
        // What is at work here ends by itself; what the model has lost ends as it did.
        if (!job || job.ended || (task?.done && !task.done.cancelled)) return;
        if (task) this.leave(task, job);
        job.markDone(index);
        this.checkDone(job);
      },
      cause: (id, why) => this.jobs.get(jobId(id))?.noteCause(why),
      waits: (id, missing) => this.jobs.get(jobId(id))?.noteUnplaced(missing),
    };
  }

  private partsOf(m: PlayedMachine): { type: TypeFacts | undefined; zone: string; spot: boolean } {
    const [type = '', zone = '', spot] = m.kind.split(' ');
    return { type: this.types.get(type), zone, spot: spot === 'spot' };
  }

  /** A recorded start, where its machine has room for it here, too. */
  private follow(id: string, index: number, attempt: number, on: string): void {
    const job = this.jobs.get(jobId(id));
    const machine = this.machines.get(machineId(on));
    if (!job || job.ended || !machine?.alive || job.isDone(index)) return;
    const before = job.active.get(index);
    if (before) {
      // Nobody told when it left: now, at the latest.
      const key = job.spec.kind === 'gang' ? 0 : index;
      if (before.beganS !== null && !before.dead && job.spec.checkpointS > 0)
        this.save(job, before, key, job.spec.checkpointS);
      this.leave(before, job);
    }
    machine.noteImage(job.spec.image);
    const task = this.start(job, index, machine, attempt);
    if (job.spec.kind === 'gang') this.followGang(job);
    else this.run(task, job);
  }

  /** A gang runs from the start of its last task on. */
  private followGang(job: SimJob): void {
    if (job.active.size < job.spec.tasks) return;
    const tasks = [...job.active.values()];
    if (new Set(tasks.map((task) => task.attempt)).size > 1) return;
    this.runGang(job, tasks);
  }
  // ---- rounds

  private pendingOf(job: SimJob): PendingJob | null {
    const { spec } = job;
    if (job.missing <= 0 || this.now < job.notBeforeS) return null;
    if (spec.kind === 'gang' && job.active.size > 0) return null;
    const ready = job.ready(spec.kind === 'gang' ? spec.tasks : job.failsEverywhere ? 1 : MAX_READY);
    if (ready.length === 0) return null;
    const zoneUse = new Map<string, number>();
    const machineUse = new Map<MachineId, number>();
    if (spec.oneZone || spec.spread || spec.kind === 'service') {
      for (const { machine } of job.active.values()) {
        zoneUse.set(machine.zone, (zoneUse.get(machine.zone) ?? 0) + 1);
        machineUse.set(machine.id, (machineUse.get(machine.id) ?? 0) + 1);
      }
    }
    return {
      ...{ spec, ready, zoneUse, machineUse, avoid: job.avoided(this.now), suspect: job.failsEverywhere },
      ...slackOf(spec, this.now - job.submittedS, job.expectedRunS, this.scenario.facts.objectives),
      workS: (spec.tasks - job.doneCount) * Math.max(1, job.expectedRunS) * spec.cpus,
    };
  }

  protected round(): void {
    const pending: PendingJob[] = [];
    let next = Infinity;
    for (const job of this.open.values()) {
      const view = this.pendingOf(job);
      if (view) pending.push(view);
      else {
        job.unplacedSinceS = null;
        if (job.missing > 0 && job.notBeforeS > this.now) next = Math.min(next, job.notBeforeS);
      }
    }
    if (next < Infinity) this.plan(next, () => this.soon());
    if (pending.length === 0) return;
    const relevant = machineFilterFor(pending.map(({ spec }) => spec));
    const machines: MachineView[] = [];
    for (const m of this.machines.values()) {
      const info = { type: m.type.name, zone: m.zone, spot: m.spot };
      if (m.usable && !m.faulty && relevant(info, m)) machines.push(m.view(this.now));
    }
    const teams = new Map<string, TeamUse>();
    for (const [name, { cpusMax, gpusMax }] of this.teams)
      teams.set(name, { ...(this.teamUse.get(name) ?? { cpus: 0, gpus: 0 }), cpusMax, gpusMax });
    const plan = planPlacement({ machines, pending, teams, maxStarts: MAX_STARTS, reserve: this.reserve });
    for (const { job: id, index, atOnce } of plan.stops) {
      const job = this.jobs.get(id);
      const task = job?.active.get(index);
      if (job && task) this.stop(task, 'preempted', atOnce || job.spec.checkpointS <= 0 ? 0 : job.spec.saveS + 1);
    }
    const gangs = new Map<SimJob, { index: number; machine: SimMachine }[]>();
    for (const { job: id, index, machine: on } of plan.starts) {
      const job = this.jobs.get(id);
      const machine = this.machines.get(on);
      if (!job || !machine) continue;
      if (job.spec.kind !== 'gang') this.startArray(job, index, machine);
      else gangs.set(job, [...(gangs.get(job) ?? []), { index, machine }]);
    }
    for (const [job, starts] of gangs) this.startGang(job, starts);
    const waiting = new Set<JobId>();
    for (const { job: id, count } of plan.unplaced) {
      const job = this.jobs.get(id);
      if (!job || job.failsEverywhere) continue;
      waiting.add(id);
      job.unplacedSinceS ??= this.now;
      if (this.now - job.unplacedSinceS >= 1) job.noteUnplaced(count);
    }
    for (const { spec } of pending) if (!waiting.has(spec.id)) this.clear(spec.id);
    if (plan.starts.length >= MAX_STARTS) this.soon();
    else if (waiting.size > 0) this.plan(this.now + LEAD_EVERY_S, () => this.soon());
  }

  private clear(id: JobId): void {
    const job = this.jobs.get(id);
    if (job) job.unplacedSinceS = null;
  }

  /** The leader's round: grants, rents and gives back, by the same decision. */
  private lead(): void {
    this.plan(this.now + LEAD_EVERY_S, () => this.lead());
    const demand: ShardSummary['demand'][number][] = [];
    const running: ShardSummary['running'][number][] = [];
    for (const job of this.open.values()) {
      const { spec } = job;
      if (spec.kind === 'service') {
        const known = this.headroom.get(spec.jobClass);
        if (!known || spec.tasks * spec.cpus > known.tasks * known.cpus) this.headroom.set(spec.jobClass, spec);
      }
      running.push({ job: spec.id, running: job.active.size, done: job.doneCount });
      if (job.unplacedSinceS === null || this.now - job.unplacedSinceS < WAIT_S) continue;
      const { slackS } = slackOf(spec, this.now - job.submittedS, job.expectedRunS, this.scenario.facts.objectives);
      demand.push({
        ...{ job: spec.id, priority: spec.priority, missing: job.missing, running: job.active.size, slackS },
        ...{ estimateS: job.expectedRunS, cpus: spec.cpus, gpus: spec.gpus },
      });
    }
    for (const m of [...this.machines.values()]) if (m.faulty && m.tasks.size === 0) this.release(m);
    const now = this.now;
    const loose: UnleasedMachine[] = [...this.loose.values()].map((l) => ({
      ...{ id: l.id, type: l.type.name, zone: l.zone, spot: l.spot, up: false, ageS: now - l.rentedS },
    }));
    for (const [kind, until] of this.refused) if (until < now) this.refused.delete(kind);
    const summary: ShardSummary = {
      ...{ shard: SHARD, holder: nodeName('replay'), demand, running },
      machines: [...this.machines.values()].filter((m) => m.alive).map((m) => m.summary(now)),
    };
    const plan = planLeases({
      ...{ shards: [summary], unleased: loose, types: this.types, specOf: (id) => this.jobs.get(id)?.spec ?? null },
      ...{ refused: new Set(this.refused.keys()), headroom: [...this.headroom.values()], ...LEASE_POLICY },
      machineAgeS: (id) => now - (this.rentedAt.get(id) ?? now),
    });
    for (const { machine } of plan.releases) {
      const m = this.machines.get(machine);
      if (m?.tasks.size === 0) this.release(m);
    }
    for (const wish of splitIntoCalls(plan.rents)) {
      const kind = kindOf(wish);
      const room = capacityFor(this.scenario, kind) - (this.held.get(kind) ?? 0);
      const got = Math.min(room, wish.count);
      for (let i = 0; i < got; i++) this.begin(wish.type, wish.zone, wish.spot);
      if (got < wish.count) this.refused.set(machineKindKey(wish.type, wish.zone, wish.spot), now + REFUSED_S);
    }
  }

  /** The threshold: stragglers on machines that look faulty are restarted elsewhere, once. */
  private judge(): void {
    this.plan(this.now + JUDGE_EVERY_S, () => this.judge());
    const late = new Set<string>();
    const booked: { cpu: number; memory: number }[] = [];
    for (const m of this.machines.values()) {
      if (!m.alive) late.add(m.id);
      booked.push({ cpu: 1 - m.freeCpus / m.type.cpus, memory: 1 - m.freeMemoryGb / m.type.memoryGb });
    }
    const r = resourceTerm(booked, this.tunables);
    const flags: StragglerFlag[] = [];
    const runningPerJob = new Map<string, number>();
    for (const job of this.open.values()) {
      const { spec, startedS } = job;
      if (spec.kind !== 'array' || startedS === null || job.active.size === 0) continue;
      const running = [...job.active.values()].flatMap(({ index, machine, beganS, stopping }) =>
        beganS === null || stopping !== null
          ? []
          : [
              {
                index,
                machine: machine.id,
                elapsedS: this.now - beganS,
                startedAfterS: beganS - startedS,
                restarted: job.restarted.has(index),
              },
            ],
      );
      runningPerJob.set(spec.id, running.length);
      const deadlineS = spec.deadlineS === null ? null : spec.deadlineS - (startedS - job.submittedS);
      const snapshot = { job: spec.id, tasks: spec.tasks, finished: job.doneCount, finishedRunsS: job.runsS };
      flags.push(...flagStragglers({ ...snapshot, estimateS: spec.estimateS, deadlineS, running }, r, this.tunables));
    }
    for (const flag of chooseRestarts(flags, runningPerJob, late, this.tunables)) {
      const job = this.jobs.get(jobId(flag.job));
      const task = job?.active.get(flag.index);
      if (!job || !task) continue;
      job.restarted.add(flag.index);
      job.keepOff(task.machine.id, this.now);
      this.stop(task, 'straggler', job.spec.checkpointS > 0 ? job.spec.saveS + 1 : 0);
    }
  }

  private look(): void {
    this.plan(this.now + LOOK_EVERY_S, () => this.look());
    const running: Record<string, number> = {};
    const waiting: Record<string, number> = {};
    for (const { spec, active, missing } of this.open.values()) {
      running[spec.jobClass] = (running[spec.jobClass] ?? 0) + active.size;
      waiting[spec.jobClass] = (waiting[spec.jobClass] ?? 0) + Math.max(0, missing);
    }
    this.timeline.push({ atS: this.now, machinesUp: this.machines.size, running, waiting });
  }
}

/** Replays a night through the decision functions alone. */
export const playDecisions = (scenario: Scenario, seed: number, options: ReplayOptions = {}): Promise<Played> =>
  Promise.resolve(new Decisions(scenario, seed).play(options));
