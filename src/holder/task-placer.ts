import type { TeamQuotaTracker } from './team-quotas.js';
import type { HeldShardState } from './held-shard-state.js';
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
  machineFilterFor,
  mayTryProbation,
  slackOf,
  type MachineView,
  type PendingJob,
  type Plan,
  type GpuReserve,
  type Slack,
  type UnplacedTasks,
} from '../placement/index.js';
import type { Order } from '../workers/index.js';
import type { HeldMachine } from './held-machine.js';
import { NO_MACHINES, orderedTask, type JobRun } from './job-run.js';
import { ATTEMPTS_PER_CLAIM } from './unexpected-tasks.js';

/** The larger of two reserves, by resource. */
const maxReserve = (a: GpuReserve | null, b: GpuReserve): GpuReserve => ({
  cpus: Math.max(a?.cpus ?? 0, b.cpus),
  memoryGb: Math.max(a?.memoryGb ?? 0, b.memoryGb),
});
/** Number of ready tasks of one job that a plan considers; gangs are considered whole. */
const MAX_READY_TASKS = 100;
/** A job takes on its dependents' full priority once its deadline leaves less time than this beyond its own run. */
const INHERIT_PRIORITY_SLACK_S = 40;
/** Attempts to move waiting jobs to other shards per round. */
const MAX_JOB_MOVES_PER_ROUND = 2;
/** A job has to wait this long before it is moved. */
const JOB_MOVE_AFTER_MS = 1200;
/** The trail records waits that last this long, and a plan at this interval. */
const WAIT_EVENT_AFTER_MS = 1000;
const PLAN_EVENT_INTERVAL_MS = 5000;

/** Places ready tasks on machines, and publishes the demand that finds no capacity. */
export class TaskPlacer {
  /** Number of attempts that this holder has started; part of attempt numbers. */
  private attempts = 0;
  /** Jobs that wait for capacity; the leader rents machines for them. */
  demand: DemandSummary[] = [];
  /** Tasks that the last plan would start if their team had a larger share of its limit here. */
  shareBound: readonly UnplacedTasks[] = [];
  /** Largest task with accelerators seen so far, by resource. */
  private largestGpuTask: GpuReserve | null = null;
  private lastPlanEventAt: Millis | null = null;

  constructor(
    private readonly held: HeldShardState,
    private readonly moves: Moves,
    private readonly teamQuotas: TeamQuotaTracker,
  ) {}

  /** Whether new tasks can be started on the machine now. */
  private usable(machine: HeldMachine, now: Millis): boolean {
    return now >= machine.cooldownUntil && machine.commandSender.ready() && this.acceptsTasks(machine, now);
  }

  /** Whether the machine accepts new tasks, regardless of a command in flight or a cooldown. */
  acceptsTasks(machine: HeldMachine, now: Millis): boolean {
    const { tracker } = machine;
    const operator = this.held.deps.operatorSettings();
    return (
      tracker.fenced &&
      tracker.hasMessage &&
      !machine.lost &&
      !machine.isMissing &&
      !machine.leaving &&
      machine.noticeUntil === null &&
      machine.commandSender.failures === 0 &&
      // A worker that answers commands but reaches no controller loses its lease, and the tasks started there, again
      // and again.
      now - Math.min(tracker.lastMessageAt, tracker.lastReportAt) <
        2.5 * this.held.deps.settings.workers.reportMs + 500 &&
      machine.assess(now).state !== 'suspended' &&
      !operator.cordoned.has(machine.id) &&
      !operator.drained.has(machine.id)
    );
  }

  /** The machine as the placement planner sees it; null while its booking is unknown. */
  private viewOf(machine: HeldMachine, now: Millis): MachineView | null {
    const b = this.held.bookingOf(machine, now);
    if (!b?.known) return null;
    const { type } = b;
    const usable = this.usable(machine, now);
    const { suspicion, startLimit } = machine.assess(now);
    const images = machine.imageList;
    const known = machine.view;
    // Most machines do not change from one round to the next.
    if (known?.booking === b && known.view.usable === usable && known.view.suspicion === suspicion) {
      if (known.view.images === images && known.view.startLimit === startLimit) return known.view;
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
      startLimit,
      running: b.running,
    };
    machine.view = { booking: b, view };
    return view;
  }

  /** The job's slack; also decides whether it takes on its dependents' full priority. */
  private slackOf(run: JobRun): Slack {
    const { runtime, settings } = this.held.deps;
    const wall = runtime.wall();
    const sinceS = (wall - run.submittedAt) / 1000;
    const objectiveTiming = { sinceS: (wall - run.objectivesFrom) / 1000, always: run.hasDependents };
    if (run.hasDependents) {
      const { deadlineS } = run.spec;
      run.usesInheritedPriority =
        deadlineS !== null && deadlineS - sinceS - run.expectedRunS < INHERIT_PRIORITY_SLACK_S;
    }
    return slackOf(run.spec, sinceS, run.expectedRunS, settings.objectives, objectiveTiming);
  }

  /** Remaining work of the job, in cpu-seconds. */
  private remainingWorkS(run: JobRun): number {
    const runS = Math.max(1, run.expectedRunS);
    return (run.spec.tasks - run.done.count) * runS * run.spec.cpus;
  }

  /** Resources of the largest task with accelerators seen so far, which other tasks leave free beside accelerators. */
  private largestReserve(): GpuReserve | null {
    for (const run of this.held.jobs.values()) {
      if (run.spec.gpus > 0) this.largestGpuTask = maxReserve(this.largestGpuTask, run.spec);
    }
    return this.largestGpuTask;
  }

  /** Runs one placement plan: adds start orders, marks preempted tasks to be stopped, and updates the demand. */
  place(orders: Map<MachineId, Order[]>, now: Millis): void {
    // Another node may hold the shard by now and know of jobs that have ended.
    if (this.held.deps.holderMode() !== 'all') return;
    const teams = this.teamQuotas.use();
    const pending: PendingJob[] = [];
    for (const run of this.held.jobs.values()) {
      if (run.unstartedCount <= 0 || run.ended || run.moving || run.complete || now < run.notBefore) continue;
      // After a claim, tasks that the previous holder may have started are not started before all machines are fenced.
      // Teams with a limit wait as well, because their use is not known until then.
      if (
        this.held.unfencedMachines.size > 0 &&
        (run.createdAtRevision <= this.held.claimedAt || teams.has(run.spec.team))
      )
        continue;
      // This node accepted the job, possibly after another node's claim that the watch has not delivered yet: the
      // claimant starts the job at once, while this node might still command the shard's machines.
      if (!this.held.deps.leaseValid() && run.createdAtRevision > this.held.deps.mirror.seenUpTo) continue;
      if (run.spec.kind === 'gang' && run.active.size > 0) continue;
      if (run.failsEverywhere) run.noteAllRunning(now);
      // The next task is tried only when the last has failed, or has shown that the job works.
      if (run.failsEverywhere && run.active.size > 0) continue;
      if (run.failsEverywhere) this.moves.moveFailingJob(run, now);
      if (run.moving) continue;
      const most = run.failsEverywhere ? 1 : MAX_READY_TASKS;
      const ready = run.ready(run.spec.kind === 'gang' ? run.spec.tasks : most);
      if (ready.length === 0) {
        run.unplacedSince = null;
        continue;
      }
      const { zoneUse, machineUse } = this.placementUse(run);
      const slack = this.slackOf(run);
      pending.push({
        spec: run.spec,
        ready,
        zoneUse,
        machineUse,
        avoid: run.avoidedMachines(now),
        ...slack,
        workS: this.remainingWorkS(run),
        waitedS: run.startedAt === null ? (this.held.deps.runtime.wall() - run.objectivesFrom) / 1000 : 0,
        suspect: run.failsEverywhere,
        unplacedS: run.unplacedSince === null ? 0 : (now - run.unplacedSince) / 1000,
      });
    }
    this.shareBound = [];
    if (pending.length === 0) {
      this.updateDemandAndMoveJobs([], new Set(), now);
      return;
    }
    const views: MachineView[] = [];
    const relevant = machineFilterFor(pending.map((job) => job.spec));
    for (const machine of this.held.machines.values()) {
      const booking = this.held.bookingOf(machine, now);
      if (!booking || !relevant(machine.info, booking)) continue;
      const view = this.viewOf(machine, now);
      if (view?.usable === true) views.push(view);
    }
    const reserve = this.largestReserve();
    const plan = planPlacement({ machines: views, pending, teams, maxStarts: 200, reserve });
    this.recordPlan(plan, pending, now);
    for (const stop of plan.stops) {
      const run = this.held.jobs.get(stop.job);
      const active = run?.active.get(stop.index);
      if (!run || !active || active.stopping) continue;
      this.held.deps.log.info(
        { job: stop.job, index: stop.index, machine: stop.machine, for: stop.forJob },
        'preempting task',
      );
      this.held.stop(run, active, 'preempted', stop.atOnce ? 0 : run.graceS);
    }
    const gangAttempts = new Map<JobId, Attempt>();
    for (const start of plan.starts) {
      const run = this.held.jobs.get(start.job);
      const key = taskKey(start.job, start.index);
      if (!run || this.mayBeOnAnyMachine(key)) continue;
      let number = run.spec.kind === 'gang' ? gangAttempts.get(start.job) : undefined;
      if (number === undefined) {
        this.attempts += 1;
        number = attempt(this.held.claimedAt * ATTEMPTS_PER_CLAIM + this.attempts);
        gangAttempts.set(start.job, number);
      }
      const machine = this.held.machines.get(start.machine);
      if (!machine) continue;
      const task = { index: start.index, attempt: number };
      this.held.assign(machine, run, orderedTask(task, start.machine, now, { adopted: false }));
      const list = orders.get(start.machine) ?? [];
      list.push({ op: 'start', key, attempt: number });
      orders.set(start.machine, list);
    }
    this.shareBound = plan.shareBound;
    if (plan.shareBound.length > 0) this.held.deps.quotas.reportWaitingWork();
    const mayTry = new Set(pending.filter(mayTryProbation).map(({ spec }) => spec.id));
    this.updateDemandAndMoveJobs(plan.unplaced, mayTry, now);
  }

  /** Records a summary of the plan in the trail, at most every `PLAN_EVENT_INTERVAL_MS`. */
  private recordPlan({ starts, stops, unplaced }: Plan, pending: readonly PendingJob[], now: Millis): void {
    const { trail } = this.held.deps;
    if (!trail || (this.lastPlanEventAt !== null && now - this.lastPlanEventAt < PLAN_EVENT_INTERVAL_MS)) return;
    this.lastPlanEventAt = now;
    trail.record({
      kind: 'plan',
      shard: this.held.shard,
      ready: pending.reduce((sum, job) => sum + job.ready.length, 0),
      starts: starts.length,
      stops: stops.length,
      unplaced: unplaced.reduce((sum, { count }) => sum + count, 0),
    });
  }

  /** Whether a task may be on a machine of the shard. A task may be started only if it is not. */
  private mayBeOnAnyMachine(key: TaskKey): boolean {
    for (const id of this.held.taskIndex.machinesOfTask(key))
      if (this.held.machines.get(id)?.tracker.mayHaveTask(key)) return true;
    return false;
  }

  /** Counts of a job's tasks by zone and machine; empty for jobs whose placement does not depend on them. */
  private placementUse(run: JobRun): { zoneUse: Map<string, number>; machineUse: Map<MachineId, number> } {
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

  /** Updates the demand from the tasks that found no capacity, and moves waiting jobs to other shards. */
  private updateDemandAndMoveJobs(
    unplaced: readonly { readonly job: JobId; readonly count: number }[],
    mayTry: ReadonlySet<JobId>,
    now: Millis,
  ): void {
    let moveAttempts = 0;
    const waiting = new Set(unplaced.map((u) => u.job));
    for (const run of this.held.jobs.values()) {
      if (waiting.has(run.id)) continue;
      run.unplacedSince = null;
      run.waitEventRecorded = false;
    }
    this.demand = [];
    for (const { job, count } of unplaced) {
      const run = this.held.jobs.get(job);
      if (!run) continue;
      run.unplacedSince ??= now;
      // No machine is rented for a job that fails on every machine.
      if (run.failsEverywhere) continue;
      // A short wait is due to a command in flight, not to a lack of machines.
      if (now - run.unplacedSince < 150) continue;
      const missing = run.spec.kind === 'gang' ? count : Math.max(count, run.unstartedCount);
      if (!run.waitEventRecorded && now - run.unplacedSince >= WAIT_EVENT_AFTER_MS) {
        run.waitEventRecorded = true;
        this.held.deps.trail?.record({ kind: 'waits', job, missing });
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
      if (now - run.unplacedSince <= JOB_MOVE_AFTER_MS || moveAttempts >= MAX_JOB_MOVES_PER_ROUND) continue;
      if (!run.mayAttemptMove(now)) continue;
      moveAttempts += 1;
      this.moves.moveJobIfDue(run, now, { count, mayTry: mayTry.has(job), avoid: NO_MACHINES });
    }
  }
}
