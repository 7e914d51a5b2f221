import type { TeamAccounts } from './accounts.js';
import type { HeldShard } from './held.js';
import type { Moves } from './moves.js';
import {
  attempt,
  taskKey,
  type Attempt,
  type JobId,
  type MachineId,
  type Millis,
  type TaskKey,
} from '../kernel/index.js';
import type { DemandSummary } from '../peers/index.js';
import {
  planPlacement,
  relevance,
  slackOf,
  type MachineView,
  type PendingJob,
  type Plan,
  type Reserve,
  type Slack,
  type Unplaced,
} from '../placement/index.js';
import type { Order } from '../workers/index.js';
import type { HeldMachine } from './machine.js';
import type { JobRun } from './run.js';

const maxReserve = (a: Reserve | null, b: Reserve): Reserve => ({
  cpus: Math.max(a?.cpus ?? 0, b.cpus),
  memoryGb: Math.max(a?.memoryGb ?? 0, b.memoryGb),
});
const MAX_READY = 100;
/** So little time beside its run, and a job that others need goes by their priority. */
const PRESSING_S = 40;
const LOOK_ELSEWHERE_EVERY_MS = 1500;
const LOOK_ELSEWHERE_AT_ONCE = 2;
const MOVE_AFTER_MS = 1200;
/** Those who record it are told of a wait that lasts, and of a plan now and then. */
const WAIT_TOLD_MS = 1000;
const PLAN_TOLD_EVERY_MS = 5000;

/** Places what is ready to start, and tells what finds no room. */
export class Starts {
  private attempts = 0;
  demand: DemandSummary[] = [];
  /** What the last plan could start but for a larger share of its team's limit. */
  shareBound: readonly Unplaced[] = [];
  private largestGpuTask: Reserve | null = null;
  private planToldAt: Millis | null = null;

  constructor(
    private readonly held: HeldShard,
    private readonly moves: Moves,
    private readonly accounts: TeamAccounts,
  ) {}

  private usable(machine: HeldMachine, now: Millis): boolean {
    return now >= machine.coolUntil && machine.commandSender.ready() && this.sound(machine, now);
  }

  /** May take new tasks, but for a command that is just on its way. */
  sound(machine: HeldMachine, now: Millis): boolean {
    const { belief } = machine;
    const operator = this.held.deps.operator();
    return (
      belief.fenced &&
      belief.heard &&
      !machine.lost &&
      !machine.missing &&
      !machine.leaving &&
      machine.noticeUntil === null &&
      machine.commandSender.failures === 0 &&
      // One that answers commands and reaches no controller loses its lease, and what is started there, again and again.
      now - Math.min(belief.lastHeardAt, belief.lastReportAt) < 2.5 * this.held.deps.settings.workers.reportMs + 500 &&
      !machine.faulty(now) &&
      !operator.cordoned.has(machine.id) &&
      !operator.drained.has(machine.id)
    );
  }

  private viewOf(machine: HeldMachine, now: Millis): MachineView | null {
    const b = this.held.bookingOf(machine, now);
    if (!b?.known) return null;
    const { type } = b;
    const usable = this.usable(machine, now);
    const suspicion = machine.suspicion(now);
    const images = machine.imageList;
    const known = machine.view;
    // Most machines are in one round what they were in the last.
    if (known?.booking === b && known.view.usable === usable && known.view.suspicion === suspicion) {
      if (known.view.images === images) return known.view;
    }
    const view: MachineView = {
      id: machine.id,
      type: machine.info.type,
      zone: machine.info.zone,
      spot: machine.info.spot,
      cpus: type.cpus,
      gpus: type.gpus,
      memoryGb: type.memoryGb,
      freeCpus: b.freeCpus,
      freeGpus: b.freeGpus,
      freeMemoryGb: b.freeMemoryGb,
      usable,
      images,
      fetchGbPerS: type.fetchGbPerS,
      fetching: b.fetching,
      cpuPrice: (machine.info.spot ? type.spotPrice : type.price) / type.cpus,
      suspicion,
      running: b.running,
    };
    machine.view = { booking: b, view };
    return view;
  }

  private slackOf(run: JobRun): Slack {
    const { runtime, settings } = this.held.deps;
    const wall = runtime.wall();
    const sinceS = (wall - run.submittedAt) / 1000;
    const aimsFrom = { sinceS: (wall - run.countsFrom) / 1000, always: run.needed };
    if (run.needed) {
      const { deadlineS } = run.spec;
      run.pressing = deadlineS !== null && deadlineS - sinceS - run.expectedRunS < PRESSING_S;
    }
    return slackOf(run.spec, sinceS, run.expectedRunS, settings.objectives, aimsFrom);
  }

  private workOf(run: JobRun): number {
    const runS = Math.max(1, run.expectedRunS);
    return (run.spec.tasks - run.done.count) * runS * run.spec.cpus;
  }

  /** The largest task with accelerators that was seen: what other work leaves room for. */
  private reserve(): Reserve | null {
    for (const run of this.held.jobs.values()) {
      if (run.spec.gpus > 0) this.largestGpuTask = maxReserve(this.largestGpuTask, run.spec);
    }
    return this.largestGpuTask;
  }

  place(orders: Map<MachineId, Order[]>, now: Millis): void {
    // Another may hold the shard by now, and know of jobs that are over.
    if (this.held.deps.standing() !== 'all') return;
    const teams = this.accounts.use();
    const pending: PendingJob[] = [];
    for (const run of this.held.jobs.values()) {
      if (run.missing <= 0 || run.ended || run.moving || run.complete || now < run.notBefore) continue;
      // After a claim, what the earlier holder may have started is not started again before it is seen.
      if (this.held.claimFence.size > 0 && (run.born <= this.held.claimedAt || teams.has(run.spec.team))) continue;
      // Accepted by this very node, perhaps after a claim that the watch has not shown yet: the claimant
      // starts it at once, on machines that we might still command.
      if (!this.held.deps.certain() && run.born > this.held.deps.mirror.seenUpTo) continue;
      if (run.spec.kind === 'gang' && run.active.size > 0) continue;
      const most = run.failsEverywhere ? 1 : MAX_READY;
      const ready = run.ready(run.spec.kind === 'gang' ? run.spec.tasks : most);
      if (ready.length === 0) {
        run.unplacedSince = null;
        continue;
      }
      const { zoneUse, machineUse } = this.useOf(run);
      const slack = this.slackOf(run);
      pending.push({
        spec: run.spec,
        ready,
        zoneUse,
        machineUse,
        avoid: run.avoided(now),
        ...slack,
        workS: this.workOf(run),
        waitedS: run.startedAt === null ? (this.held.deps.runtime.wall() - run.countsFrom) / 1000 : 0,
        suspect: run.failsEverywhere,
      });
    }
    this.shareBound = [];
    if (pending.length === 0) {
      this.noteDemand([], now);
      return;
    }
    const views: MachineView[] = [];
    const relevant = relevance(pending.map((job) => job.spec));
    for (const machine of this.held.machines.values()) {
      const booking = this.held.bookingOf(machine, now);
      if (!booking || !relevant(machine.info, booking)) continue;
      const view = this.viewOf(machine, now);
      if (view?.usable === true) views.push(view);
    }
    const reserve = this.reserve();
    const plan = planPlacement({ machines: views, pending, teams, maxStarts: 200, reserve });
    this.tell(plan, pending, now);
    for (const stop of plan.stops) {
      const run = this.held.jobs.get(stop.job);
      const active = run?.active.get(stop.index);
      if (!run || !active || active.stopping) continue;
      this.held.deps.log.info(
        { job: stop.job, index: stop.index, machine: stop.machine, for: stop.forJob },
        'preempting a task',
      );
      this.held.stop(run, active, 'preempted', stop.atOnce ? 0 : run.graceS);
    }
    const gangAttempts = new Map<JobId, Attempt>();
    for (const start of plan.starts) {
      const run = this.held.jobs.get(start.job);
      const key = taskKey(start.job, start.index);
      if (!run || this.possiblyAnywhere(key)) continue;
      let number = run.spec.kind === 'gang' ? gangAttempts.get(start.job) : undefined;
      if (number === undefined) {
        this.attempts += 1;
        // Grows across holders without a write: the claim's revision is part of it.
        number = attempt(this.held.claimedAt * 2 ** 20 + this.attempts);
        gangAttempts.set(start.job, number);
      }
      const machine = this.held.machines.get(start.machine);
      if (!machine) continue;
      this.held.assign(machine, run, {
        index: start.index,
        machine: start.machine,
        attempt: number,
        orderedAt: now,
        adopted: false,
        state: 'ordered',
        runningAt: null,
        stopping: null,
      });
      const list = orders.get(start.machine) ?? [];
      list.push({ op: 'start', key, attempt: number });
      orders.set(start.machine, list);
    }
    this.shareBound = plan.shareBound;
    if (plan.shareBound.length > 0) this.held.deps.quotas.wanted();
    this.noteDemand(plan.unplaced, now);
  }

  private tell({ starts, stops, unplaced }: Plan, pending: readonly PendingJob[], now: Millis): void {
    const { trail } = this.held.deps;
    if (!trail || (this.planToldAt !== null && now - this.planToldAt < PLAN_TOLD_EVERY_MS)) return;
    this.planToldAt = now;
    trail.note({
      kind: 'plan',
      shard: this.held.shard,
      ready: pending.reduce((sum, job) => sum + job.ready.length, 0),
      starts: starts.length,
      stops: stops.length,
      unplaced: unplaced.reduce((sum, { count }) => sum + count, 0),
    });
  }

  /** A task may be started only if it is possibly nowhere. */
  private possiblyAnywhere(key: TaskKey): boolean {
    for (const id of this.held.taskIndex.machinesOf(key))
      if (this.held.machines.get(id)?.belief.possibly(key)) return true;
    return false;
  }

  /** Where a job's tasks are, as far as its kind of job asks for it. */
  private useOf(run: JobRun): { zoneUse: Map<string, number>; machineUse: Map<MachineId, number> } {
    const zoneUse = new Map<string, number>();
    const machineUse = new Map<MachineId, number>();
    if (!run.spec.oneZone && !run.spec.spread && run.spec.kind !== 'service') return { zoneUse, machineUse };
    for (const active of run.active.values()) {
      const zone = this.held.machines.get(active.machine)?.info.zone ?? '';
      zoneUse.set(zone, (zoneUse.get(zone) ?? 0) + 1);
      machineUse.set(active.machine, (machineUse.get(active.machine) ?? 0) + 1);
    }
    return { zoneUse, machineUse };
  }

  private noteDemand(unplaced: readonly { readonly job: JobId; readonly count: number }[], now: Millis): void {
    let looks = 0;
    const waiting = new Set(unplaced.map((u) => u.job));
    for (const run of this.held.jobs.values()) {
      if (waiting.has(run.id)) continue;
      run.unplacedSince = null;
      run.waitTold = false;
    }
    this.demand = [];
    for (const { job, count } of unplaced) {
      const run = this.held.jobs.get(job);
      // Nothing is rented and nothing is moved for a job that fails wherever it is tried.
      if (!run || run.failsEverywhere) continue;
      run.unplacedSince ??= now;
      // A moment's wait is a command on its way, not a lack of machines.
      if (now - run.unplacedSince < 150) continue;
      const missing = run.spec.kind === 'gang' ? count : Math.max(count, run.missing);
      if (!run.waitTold && now - run.unplacedSince >= WAIT_TOLD_MS) {
        run.waitTold = true;
        this.held.deps.trail?.note({ kind: 'waits', job, missing });
      }
      this.demand.push({
        job,
        priority: run.spec.priority,
        missing,
        running: run.runningCount,
        slackS: this.slackOf(run).slackS,
        estimateS: run.expectedRunS,
        cpus: run.spec.cpus,
        gpus: run.spec.gpus,
      });
      if (now - run.unplacedSince <= MOVE_AFTER_MS || looks >= LOOK_ELSEWHERE_AT_ONCE) continue;
      // Room elsewhere is found by the others' summaries, which are no newer than this either.
      if (run.lookedAt !== null && now - run.lookedAt < LOOK_ELSEWHERE_EVERY_MS) continue;
      run.lookedAt = now;
      looks += 1;
      this.moves.moveSoon(run, now, count);
    }
  }
}
