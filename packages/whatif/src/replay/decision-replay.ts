import { jobId, machineId, nodeName, shardName, type JobId, type MachineId } from '../../../../src/kernel/index.js';
import {
  splitIntoCalls,
  machineKindKey,
  ASSIGNMENT_POLICY,
  planAssignments,
  type UnassignedMachine,
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
import { cloudCapacity, kindKeyOf, type ScenarioMachine, type Scenario } from '../night/index.js';
import type { ReplayResult, ReplayOptions } from './replay-result.js';
import { SimMachine, type MachineTypeFacts } from './sim-machine.js';
import { SimJob } from './sim-job.js';
import { MachineSimulation } from './machine-simulation.js';
import { RecordFollower, type RecordedActions } from './record-follower.js';
import {
  JOIN_S,
  STRAGGLER_CHECK_INTERVAL_S,
  LEASE_ROUND_INTERVAL_S,
  TIMELINE_INTERVAL_S,
  CAPACITY_BACKOFF_S,
  MAX_OVERTIME_S,
} from './replay-delays.js';

/** Maximum number of tasks of a job that one placement round considers. */
const MAX_READY_TASKS = 100;
/** Maximum number of tasks that one placement round starts. */
const MAX_STARTS_PER_ROUND = 200;
/** Time for which tasks must have been without room before the job counts as demand for machines. */
const MIN_UNPLACED_S = 0.15;
/** The one shard, which holds all machines. */
const FLEET_SHARD = shardName('whole');

/**
 * Replays a night with the decision functions alone (placement, leases and straggler detection) in an event loop
 * without a network. One shard holds all machines, no controller is delayed, and messages arrive after the usual delay.
 */
class DecisionReplay extends MachineSimulation {
  /** Plays the scenario to its end and returns the outcomes. */
  replayScenario(options: ReplayOptions): ReplayResult {
    const { scenario } = this;
    for (const job of scenario.jobs) {
      this.scheduleAt(Math.max(0, job.atS), () => this.submitJob(job));
      if (job.spec.kind !== 'service' && !job.mistaken) this.batchJobsLeft += 1;
    }
    if (scenario.divergesAtS > 0) new RecordFollower(scenario, this.recordedActions()).scheduleAll();
    else this.startWithoutRecord();
    if (scenario.divergesAtS > 0 && Number.isFinite(scenario.divergesAtS))
      this.scheduleAt(scenario.divergesAtS, () => this.startDeciding());
    this.scheduleAt(0, () => this.sampleTimeline());
    const endS = scenario.lengthS;
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.at > endS + MAX_OVERTIME_S || (next.at > endS && this.batchJobsLeft === 0)) break;
      this.queue.pop();
      if (Math.floor(next.at) > Math.floor(this.nowS)) {
        options.onProgress?.(next.at);
        if (options.stop?.() === true) break;
      }
      this.nowS = next.at;
      next.action();
    }
    this.nowS = Math.max(this.nowS, endS);
    for (const machine of this.machines.values()) this.chargeMachine(machine);
    return {
      outcomes: new Map([...this.jobs].map(([id, job]) => [id, job.outcome()])),
      money: this.moneySpent,
      timeline: this.timeline,
    };
  }

  /** Starts with the initial machines; the replay makes every decision from the beginning. */
  private startWithoutRecord(): void {
    for (const m of this.scenario.machines) {
      if (!m.initial || m.upAfterS === null) continue;
      const { type, zone, spot } = this.parseKind(m);
      if (type) this.rentMachine(type.name, zone, spot);
    }
    this.startDeciding();
  }

  /** From now on the replay makes every decision, because the plan makes its first difference here. */
  private startDeciding(): void {
    if (this.followingRecord) this.detachFromRecord();
    this.scheduleAt(this.nowS + JOIN_S, () => this.leaseRound());
    this.scheduleAt(this.nowS + STRAGGLER_CHECK_INTERVAL_S, () => this.stragglerRound());
    this.schedulePlacementRound();
  }

  /** Stops following the record and hands what is still open to the replay's own decisions. */
  private detachFromRecord(): void {
    this.followingRecord = false;
    for (const job of this.openJobs.values()) {
      for (const task of [...job.active.values()]) {
        // The task belongs to an incomplete gang, or its start had no result.
        const idle = task.beganS === null || (job.spec.kind !== 'service' && task.completion === null);
        if (!task.machineDied && idle) this.removeTask(task, job);
      }
    }
    for (const m of [...this.machines.values()]) {
      if (!m.alive) this.detectDeath(m);
      else if (m.noticeUntilS !== null) this.stopTasksOnNotice(m);
    }
  }

  /** Returns the operations by which the record drives this replay while it is followed. */
  private recordedActions(): RecordedActions {
    return {
      scheduleAt: (atS, action) =>
        this.scheduleAt(atS, () => {
          if (this.followingRecord) action();
        }),
      machineRented: (m) => {
        const { type, zone, spot } = this.parseKind(m);
        if (!type) return;
        this.countMachine(m.kind);
        const bootS = m.upAfterS;
        const script = {
          bootS,
          diesAtS: m.diesAtS,
          takenBack: m.takenBack,
          slowness: m.slowness,
          failsFromS: m.failsFromS,
        };
        const id = machineId(m.id);
        this.bootingMachines.set(id, { id, type, zone, spot, rentedS: this.nowS, script });
        this.rentedAtS.set(id, this.nowS);
        // The machine joins as recorded even if the replay has stopped following the record by then.
        if (bootS !== null) this.scheduleAt(this.nowS + bootS + JOIN_S, () => this.joinMachine(id));
      },
      machineJoined: (id) => this.joinMachine(machineId(id)),
      machineReturned: (id) => {
        const m = this.machines.get(machineId(id));
        if (m) this.releaseMachine(m);
        const booting = this.bootingMachines.get(machineId(id));
        if (booting) this.dropBootingMachine(booting.id, kindKeyOf({ ...booting, type: booting.type.name }));
      },
      taskStarted: (id, index, attempt, on) => this.startAsRecorded(id, index, attempt, on),
      taskLeft: (id, index, attempt, why) => {
        const job = this.jobs.get(jobId(id));
        const task = job?.active.get(index);
        if (!job || !task || task.attempt !== attempt) return;
        const { spec } = job;
        if (spec.checkpointS > 0 && task.beganS !== null && !task.machineDied) {
          const key = spec.kind === 'gang' ? 0 : index;
          if (why === 'stopped') this.saveWork(job, task, key, 0, spec.saveS);
          else this.saveWork(job, task, key, spec.checkpointS);
        }
        if (why === 'error') this.failTask(task, job);
        else this.removeTask(task, job);
      },
      taskDone: (id, index) => {
        const job = this.jobs.get(jobId(id));
        const task = job?.active.get(index);
        // A task that runs in the replay completes by itself; one that the model has lost completes as recorded.
        if (!job || job.ended || (task?.completion && !task.completion.cancelled)) return;
        if (task) this.removeTask(task, job);
        job.markDone(index);
        this.checkJobDone(job);
      },
      restartCause: (id, why) => this.jobs.get(jobId(id))?.countCause(why),
      tasksUnplaced: (id, missing) => this.jobs.get(jobId(id))?.recordUnplaced(missing),
    };
  }

  /** Splits a machine's kind into type, zone and whether it is a spot machine. */
  private parseKind(m: ScenarioMachine): { type: MachineTypeFacts | undefined; zone: string; spot: boolean } {
    const [type = '', zone = '', spot] = m.kind.split(' ');
    return { type: this.types.get(type), zone, spot: spot === 'spot' };
  }

  /** Starts a task as recorded, if its machine is up in the replay too. */
  private startAsRecorded(id: string, index: number, attempt: number, machineName: string): void {
    const job = this.jobs.get(jobId(id));
    const machine = this.machines.get(machineId(machineName));
    if (!job || job.ended || !machine?.alive || job.isDone(index)) return;
    const previous = job.active.get(index);
    if (previous) {
      // The end of the previous attempt was not recorded; it ended before this start.
      const key = job.spec.kind === 'gang' ? 0 : index;
      if (previous.beganS !== null && !previous.machineDied && job.spec.checkpointS > 0)
        this.saveWork(job, previous, key, job.spec.checkpointS);
      this.removeTask(previous, job);
    }
    machine.recordImageUse(job.spec.image);
    const task = this.startTask(job, index, machine, attempt);
    if (job.spec.kind === 'gang') this.startGangAsRecorded(job);
    else this.runTask(task, job);
  }

  /** Runs a gang once the last of its tasks has started in the same attempt. */
  private startGangAsRecorded(job: SimJob): void {
    if (job.active.size < job.spec.tasks) return;
    const tasks = [...job.active.values()];
    if (new Set(tasks.map((task) => task.attempt)).size > 1) return;
    this.runGang(job, tasks);
  }

  // ---- placement, leases and stragglers

  /** Returns the tasks of a job that the placement may start now, or null if there are none. */
  private pendingJobOf(job: SimJob): PendingJob | null {
    const { spec } = job;
    if (job.missing <= 0 || this.nowS < job.notBeforeS) return null;
    if (spec.kind === 'gang' && job.active.size > 0) return null;
    const ready = job.readyTasks(spec.kind === 'gang' ? spec.tasks : job.failsEverywhere ? 1 : MAX_READY_TASKS);
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
      ...{ spec, ready, zoneUse, machineUse, avoid: job.machinesToAvoid(this.nowS), suspect: job.failsEverywhere },
      ...slackOf(spec, this.nowS - job.submittedS, job.expectedRunS, this.scenario.facts.objectives),
      workS: (spec.tasks - job.doneCount) * Math.max(1, job.expectedRunS) * spec.cpus,
    };
  }

  protected placementRound(): void {
    const pending: PendingJob[] = [];
    let backoffEndS = Infinity;
    for (const job of this.openJobs.values()) {
      const view = this.pendingJobOf(job);
      if (view) pending.push(view);
      else {
        job.unplacedSinceS = null;
        if (job.missing > 0 && job.notBeforeS > this.nowS) backoffEndS = Math.min(backoffEndS, job.notBeforeS);
      }
    }
    if (backoffEndS < Infinity) this.scheduleAt(backoffEndS, () => this.schedulePlacementRound());
    if (pending.length === 0) return;
    const relevant = machineFilterFor(pending.map(({ spec }) => spec));
    const machines: MachineView[] = [];
    for (const m of this.machines.values()) {
      const info = { type: m.type.name, zone: m.zone, spot: m.spot };
      if (m.usable && !m.faulty && relevant(info, m)) machines.push(m.view(this.nowS));
    }
    const teams = new Map<string, TeamUse>();
    for (const [name, { cpusMax, gpusMax }] of this.teamLimits)
      teams.set(name, { ...(this.teamUse.get(name) ?? { cpus: 0, gpus: 0 }), cpusMax, gpusMax });
    const plan = planPlacement({ machines, pending, teams, maxStarts: MAX_STARTS_PER_ROUND, reserve: this.reserve });
    for (const { job: id, index, atOnce } of plan.stops) {
      const job = this.jobs.get(id);
      const task = job?.active.get(index);
      if (job && task) this.stopTask(task, 'preempted', atOnce || job.spec.checkpointS <= 0 ? 0 : job.spec.saveS + 1);
    }
    const gangs = new Map<SimJob, { index: number; machine: SimMachine }[]>();
    for (const { job: id, index, machine: on } of plan.starts) {
      const job = this.jobs.get(id);
      const machine = this.machines.get(on);
      if (!job || !machine) continue;
      if (job.spec.kind !== 'gang') this.startIndependentTask(job, index, machine);
      else gangs.set(job, [...(gangs.get(job) ?? []), { index, machine }]);
    }
    for (const [job, starts] of gangs) this.startGang(job, starts);
    const waiting = new Set<JobId>();
    for (const { job: id, count } of plan.unplaced) {
      const job = this.jobs.get(id);
      if (!job || job.failsEverywhere) continue;
      waiting.add(id);
      job.unplacedSinceS ??= this.nowS;
      if (this.nowS - job.unplacedSinceS >= 1) job.recordUnplaced(count);
    }
    for (const { spec } of pending) if (!waiting.has(spec.id)) this.clearUnplaced(spec.id);
    if (plan.starts.length >= MAX_STARTS_PER_ROUND) this.schedulePlacementRound();
    else if (waiting.size > 0) this.scheduleAt(this.nowS + LEASE_ROUND_INTERVAL_S, () => this.schedulePlacementRound());
  }

  /** Records that all tasks of a job have room. */
  private clearUnplaced(id: JobId): void {
    const job = this.jobs.get(id);
    if (job) job.unplacedSinceS = null;
  }

  /** The leader's lease round: rents and releases machines by the same decision function as the controllers. */
  private leaseRound(): void {
    this.scheduleAt(this.nowS + LEASE_ROUND_INTERVAL_S, () => this.leaseRound());
    const demand: ShardSummary['demand'][number][] = [];
    const running: ShardSummary['running'][number][] = [];
    for (const job of this.openJobs.values()) {
      const { spec } = job;
      if (spec.kind === 'service') {
        const largest = this.headroom.get(spec.jobClass);
        if (!largest || spec.tasks * spec.cpus > largest.tasks * largest.cpus) this.headroom.set(spec.jobClass, spec);
      }
      running.push({ job: spec.id, running: job.active.size, done: job.doneCount });
      if (job.unplacedSinceS === null || this.nowS - job.unplacedSinceS < MIN_UNPLACED_S) continue;
      const { slackS } = slackOf(spec, this.nowS - job.submittedS, job.expectedRunS, this.scenario.facts.objectives);
      demand.push({
        ...{ job: spec.id, priority: spec.priority, missing: job.missing, running: job.active.size, slackS },
        ...{ estimateS: job.expectedRunS, cpus: spec.cpus, gpus: spec.gpus },
      });
    }
    for (const m of [...this.machines.values()]) if (m.faulty && m.tasks.size === 0) this.releaseMachine(m);
    const nowS = this.nowS;
    const loose: UnassignedMachine[] = [...this.bootingMachines.values()].map((l) => ({
      ...{ id: l.id, type: l.type.name, zone: l.zone, spot: l.spot, up: false, ageS: nowS - l.rentedS },
    }));
    for (const [kind, untilS] of this.refusedUntilS) if (untilS < nowS) this.refusedUntilS.delete(kind);
    const summary: ShardSummary = {
      ...{ shard: FLEET_SHARD, holder: nodeName('replay'), demand, running },
      machines: [...this.machines.values()].filter((m) => m.alive).map((m) => m.summary(nowS)),
    };
    const plan = planAssignments({
      ...{ shards: [summary], unassigned: loose, types: this.types, specOf: (id) => this.jobs.get(id)?.spec ?? null },
      ...{ refused: new Set(this.refusedUntilS.keys()), headroom: [...this.headroom.values()], ...ASSIGNMENT_POLICY },
      machineAgeS: (id) => nowS - (this.rentedAtS.get(id) ?? nowS),
    });
    for (const { machine } of plan.releases) {
      const m = this.machines.get(machine);
      if (m?.tasks.size === 0) this.releaseMachine(m);
    }
    for (const request of splitIntoCalls(plan.rents)) {
      const kind = kindKeyOf(request);
      const available = cloudCapacity(this.scenario, kind) - (this.heldPerKind.get(kind) ?? 0);
      const granted = Math.min(available, request.count);
      for (let i = 0; i < granted; i++) this.rentMachine(request.type, request.zone, request.spot);
      if (granted < request.count)
        this.refusedUntilS.set(machineKindKey(request.type, request.zone, request.spot), nowS + CAPACITY_BACKOFF_S);
    }
  }

  /** Restarts stragglers on machines that look faulty on other machines, each task at most once. */
  private stragglerRound(): void {
    this.scheduleAt(this.nowS + STRAGGLER_CHECK_INTERVAL_S, () => this.stragglerRound());
    const deadMachines = new Set<string>();
    const bookedShares: { cpu: number; memory: number }[] = [];
    for (const m of this.machines.values()) {
      if (!m.alive) deadMachines.add(m.id);
      bookedShares.push({ cpu: 1 - m.freeCpus / m.type.cpus, memory: 1 - m.freeMemoryGb / m.type.memoryGb });
    }
    const r = resourceTerm(bookedShares, this.tunables);
    const flags: StragglerFlag[] = [];
    const runningPerJob = new Map<string, number>();
    for (const job of this.openJobs.values()) {
      const { spec, startedS } = job;
      if (spec.kind !== 'array' || startedS === null || job.active.size === 0) continue;
      const running = [...job.active.values()].flatMap(({ index, machine, beganS, stopping }) =>
        beganS === null || stopping !== null
          ? []
          : [
              {
                index,
                machine: machine.id,
                elapsedS: this.nowS - beganS,
                startedAfterS: beganS - startedS,
                restarted: job.restarted.has(index),
              },
            ],
      );
      runningPerJob.set(spec.id, running.length);
      const deadlineS = spec.deadlineS === null ? null : spec.deadlineS - (startedS - job.submittedS);
      const snapshot = { job: spec.id, tasks: spec.tasks, finished: job.doneCount, finishedRunsS: job.recentRunsS };
      flags.push(...flagStragglers({ ...snapshot, estimateS: spec.estimateS, deadlineS, running }, r, this.tunables));
    }
    for (const flag of chooseRestarts(flags, runningPerJob, deadMachines, this.tunables)) {
      const job = this.jobs.get(jobId(flag.job));
      const task = job?.active.get(flag.index);
      if (!job || !task) continue;
      job.restarted.add(flag.index);
      job.avoidMachine(task.machine.id, this.nowS);
      this.stopTask(task, 'straggler', job.spec.checkpointS > 0 ? job.spec.saveS + 1 : 0);
    }
  }

  /** Adds a sample to the timeline. */
  private sampleTimeline(): void {
    this.scheduleAt(this.nowS + TIMELINE_INTERVAL_S, () => this.sampleTimeline());
    const running: Record<string, number> = {};
    const waiting: Record<string, number> = {};
    for (const { spec, active, missing } of this.openJobs.values()) {
      running[spec.jobClass] = (running[spec.jobClass] ?? 0) + active.size;
      waiting[spec.jobClass] = (waiting[spec.jobClass] ?? 0) + Math.max(0, missing);
    }
    this.timeline.push({ atS: this.nowS, machinesUp: this.machines.size, running, waiting });
  }
}

/** Replays a scenario with the decision functions alone, without whole controllers. */
export const replayWithDecisions = (
  scenario: Scenario,
  seed: number,
  options: ReplayOptions = {},
): Promise<ReplayResult> => Promise.resolve(new DecisionReplay(scenario, seed).replayScenario(options));
