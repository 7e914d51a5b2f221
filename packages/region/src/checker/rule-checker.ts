import type { ReportedState, SimulatedJob, Machine, TaskObserver, UserObserver } from '../models/index.js';
import { WaitingDetector, type FreeCapacity } from './waiting-detector.js';

/** The rules of the protocol. A run that violates one of them yields no valid result. */
export const RULES = [
  /** A task was on two machines at the same time. */
  'ran_twice',
  /** A team used more than its limit. */
  'quota',
  /** A task was on a machine that violates its job's placement constraints. */
  'wrong_place',
  /** A task started, or was still on a machine, after the deadline that follows a confirmed cancellation. */
  'ran_cancelled',
  /** An accepted job was no longer known, or polls for it stayed unanswered. */
  'forgotten',
  /** The service reported a job that no user had submitted. */
  'invented',
  /** A job was reported as done before all its tasks were done. */
  'not_done',
  /** After a final phase, another phase was reported; or a job was reported as cancelled without a request to cancel it. */
  'went_back',
  /** No task was started in the whole run. */
  'nothing_ran',
  /** A task started before the dependencies of its job were done. */
  'too_early',
  /** A job was reported as pending or running after the cancellation deadline of a job on which it depends. */
  'orphaned',
  /** With no fault in force, a job stayed pending although a machine had free capacity and the team was below its limit. */
  'left_waiting',
  /** An invalid or impossible submission was accepted, or refused with another status than the protocol's. */
  'odd_answer',
] as const;
/** Name of a rule. */
export type Rule = (typeof RULES)[number];

/** A violation of one rule. */
export interface RuleViolation {
  readonly rule: Rule;
  /** Simulated time in milliseconds. */
  readonly at: number;
  /** Description for the operator. */
  readonly what: string;
}

/** Upper limits of what a team may use at a time; 0 means no limit. */
export interface TeamLimits {
  readonly cpusMax: number;
  readonly gpusMax: number;
}

/** What users have been told about one job. Times are simulated time in milliseconds. */
interface ReportedJob {
  readonly job: SimulatedJob;
  accepted: boolean;
  /** The user has requested its cancellation. */
  cancelRequested: boolean;
  /** When the user was first told that it is cancelled; null before. */
  cancelReportedAtMs: number | null;
  /** The first final phase that a user was told. */
  finalPhase: 'done' | 'withdrawn' | null;
  /** Last successful poll, or the acceptance. */
  lastAnswerAtMs: number;
  consecutiveFailedPolls: number;
  /** The `forgotten` violation is reported once per job. */
  reportedForgotten: boolean;
}

/** A job counts as forgotten after this time without an answer while most polls are answered. */
const FORGOTTEN_AFTER_MS = 90_000;
/** The same limit once all faults are over, regardless of how other polls are answered. */
const FORGOTTEN_AFTER_FAULTS_MS = 75_000;
const POLL_BUCKET_MS = 10_000;
const MAX_KEPT_VIOLATIONS = 200;
/** Tolerance for sums of fractional resources. */
const EPSILON = 1e-6;

/**
 * Checks every rule of the protocol. After each event, the models report what actually happened: where tasks run and
 * what users were told. The checker sends no requests to the service.
 */
export class RuleChecker implements TaskObserver, UserObserver {
  /** The first violations, at most `MAX_KEPT_VIOLATIONS`. */
  readonly breaches: RuleViolation[] = [];
  /** Machines on which each task is, by task key and machine id. */
  private readonly machinesByTask = new Map<string, Map<string, Machine>>();
  /** One machine for each present task of a job, by job and task index. */
  private readonly machinesByJob = new Map<string, Map<number, Machine>>();
  private readonly usageByTeam = new Map<string, { cpus: number; gpus: number }>();
  private readonly reportedJobs = new Map<string, ReportedJob>();
  /** Counts of answered and failed polls in buckets of `POLL_BUCKET_MS`, for the last `FORGOTTEN_AFTER_MS`. */
  private readonly pollBuckets: { bucket: number; answered: number; failed: number }[] = [];
  /** Simulated time in milliseconds from which on no fault is in force any more; null if unknown. */
  quietFrom: number | null = null;
  /** False while controllers of earlier releases take part, which accept submissions that this release refuses. */
  judgesOdd = true;
  private submittedJobCount = 0;
  private startedTaskCount = 0;
  /** Task starts after the user was told that the job is cancelled, and the longest time between the two in milliseconds. */
  readonly startsAfterCancel = { count: 0, latestMs: 0 };
  private readonly waitingDetector = new WaitingDetector(({ spec }) =>
    this.reportViolation('left_waiting', `${spec.ref} waits, and a machine has room for it`),
  );

  constructor(
    private readonly now: () => number,
    private readonly teams: ReadonlyMap<string, TeamLimits>,
    private readonly cancelDeadlineS: number,
    private readonly schedule: (ms: number, work: () => void) => void,
    private readonly onViolation: (violation: RuleViolation) => void = () => undefined,
  ) {}

  private reportViolation(rule: Rule, what: string): void {
    const violation = { rule, at: this.now(), what };
    if (this.breaches.length < MAX_KEPT_VIOLATIONS) this.breaches.push(violation);
    this.onViolation(violation);
  }

  // ---- events on machines

  /** A task is on a machine from now on. */
  entered(machine: Machine, job: SimulatedJob, index: number, attempt: number): void {
    const { spec } = job;
    const key = `${spec.ref}/${index}`;
    this.startedTaskCount += 1;
    let machines = this.machinesByTask.get(key);
    if (!machines) this.machinesByTask.set(key, (machines = new Map()));
    for (const other of machines.keys())
      this.reportViolation('ran_twice', `${key} starts on ${machine.id} while it is on ${other} (attempt ${attempt})`);
    machines.set(machine.id, machine);
    this.checkPlacement(machine, job, index);
    for (const dependency of spec.awaits ?? []) {
      if (this.reportedJobs.get(dependency)?.job.complete !== true)
        this.reportViolation('too_early', `${key} starts on ${machine.id} before ${dependency} is done`);
    }
    let siblings = this.machinesByJob.get(spec.ref);
    if (!siblings) this.machinesByJob.set(spec.ref, (siblings = new Map()));
    siblings.set(index, machine);
    this.addUsage(job, 1);
    const reported = this.reportedJobs.get(spec.ref);
    if (reported?.cancelReportedAtMs != null) {
      this.startsAfterCancel.count += 1;
      this.startsAfterCancel.latestMs = Math.max(
        this.startsAfterCancel.latestMs,
        this.now() - reported.cancelReportedAtMs,
      );
    }
    if (reported?.cancelReportedAtMs != null && this.now() > reported.cancelReportedAtMs + this.cancelDeadlineS * 1000)
      this.reportViolation(
        'ran_cancelled',
        `${key} starts on ${machine.id} after its user was told that it is cancelled`,
      );
  }

  running(): void {
    // No rule concerns a task that starts to run.
  }

  /** A task is no longer on a machine. */
  left(machine: Machine, { spec }: SimulatedJob, index: number): void {
    const key = `${spec.ref}/${index}`;
    const machines = this.machinesByTask.get(key);
    if (!machines?.delete(machine.id)) return;
    if (machines.size === 0) this.machinesByTask.delete(key);
    const siblings = this.machinesByJob.get(spec.ref);
    if (siblings?.get(index) === machine) {
      const [elsewhere] = machines.values();
      if (elsewhere) siblings.set(index, elsewhere);
      else siblings.delete(index);
      if (siblings.size === 0) this.machinesByJob.delete(spec.ref);
    }
    const usage = this.usageByTeam.get(spec.owner);
    if (usage) {
      usage.cpus -= spec.vcpus;
      usage.gpus -= spec.accelerators;
    }
  }

  private addUsage({ spec }: SimulatedJob, count: number): void {
    let usage = this.usageByTeam.get(spec.owner);
    if (!usage) this.usageByTeam.set(spec.owner, (usage = { cpus: 0, gpus: 0 }));
    usage.cpus += spec.vcpus * count;
    usage.gpus += spec.accelerators * count;
    const limits = this.teams.get(spec.owner);
    const exceeds = (used: number, limit: number | undefined): boolean =>
      limit !== undefined && limit > 0 && used > limit + EPSILON;
    if (exceeds(usage.cpus, limits?.cpusMax) || exceeds(usage.gpus, limits?.gpusMax))
      this.reportViolation('quota', `${spec.owner} uses ${usage.cpus} cpus and ${usage.gpus} gpus with ${spec.ref}`);
  }

  private checkPlacement(machine: Machine, { spec }: SimulatedJob, index: number): void {
    const name = `${spec.ref}/${index} on ${machine.id}`;
    const { type, zone, spot } = machine;
    if (spec.hulls && !spec.hulls.includes(type.name))
      this.reportViolation('wrong_place', `${name}: type ${type.name}`);
    if (spec.berth !== null && spec.berth !== zone) this.reportViolation('wrong_place', `${name}: zone ${zone}`);
    if (spot && !spec.flotsam) this.reportViolation('wrong_place', `${name}: a spot machine`);
    const siblings = [...(this.machinesByJob.get(spec.ref) ?? [])].filter(([mate]) => mate !== index);
    if (spec.same_place && siblings.some(([, other]) => other.zone !== zone))
      this.reportViolation('wrong_place', `${name}: the others are not in ${zone}`);
    const tasksInZone = siblings.filter(([, other]) => other.zone === zone).length + 1;
    if (spec.scatter && tasksInZone > Math.ceil(spec.pieces / 2))
      this.reportViolation('wrong_place', `${name}: ${tasksInZone} of ${spec.pieces} in ${zone}`);
  }

  // ---- answers to users

  jobSubmitted(job: SimulatedJob): void {
    this.submittedJobCount += 1;
    this.reportedJobs.set(job.spec.ref, {
      ...{ job, accepted: false, cancelRequested: false, cancelReportedAtMs: null, finalPhase: null },
      ...{ lastAnswerAtMs: this.now(), consecutiveFailedPolls: 0, reportedForgotten: false },
    });
  }

  reportedSoFar(ref: string): ReportedState {
    const reported = this.reportedJobs.get(ref);
    return { accepted: reported?.accepted ?? false, final: reported?.finalPhase ?? null };
  }

  submitAnswered(ref: string, status: number, phase: unknown, asked: ReportedState): void {
    const reported = this.reportedJobs.get(ref);
    if (!reported) return;
    if (status === 200 || status === 201) {
      if (!reported.accepted) reported.lastAnswerAtMs = this.now();
      reported.accepted = true;
      this.checkReportedPhase(reported, phase, asked);
    } else if (asked.accepted && (status === 400 || status === 422))
      this.reportForgotten(reported, `a repeated submission gets ${status}`);
  }

  pollAnswered(ref: string, status: number | null, phase: unknown, asked: ReportedState): void {
    const reported = this.reportedJobs.get(ref);
    if (!reported) {
      if (status === 200) this.reportViolation('invented', `${ref} is answered, and nobody submitted it`);
      return;
    }
    const answered = status === 200 || status === 404;
    this.countPoll(answered);
    if (status === 200) {
      reported.lastAnswerAtMs = this.now();
      reported.consecutiveFailedPolls = 0;
      this.checkReportedPhase(reported, phase, asked);
    } else if (status === 404) {
      if (asked.accepted) this.reportForgotten(reported, 'a poll gets 404');
    } else if (reported.accepted) {
      reported.consecutiveFailedPolls += 1;
      const silentMs = this.now() - reported.lastAnswerAtMs;
      const { quietFrom } = this;
      if (quietFrom !== null && this.now() - Math.max(reported.lastAnswerAtMs, quietFrom) > FORGOTTEN_AFTER_FAULTS_MS)
        this.reportForgotten(reported, 'no question is answered after all troubles are over');
      if (silentMs > FORGOTTEN_AFTER_MS && reported.consecutiveFailedPolls >= 5 && this.mostPollsAnswered())
        this.reportForgotten(reported, 'every poll fails while most others get answers');
    }
  }

  cancelAsked(ref: string): void {
    const reported = this.reportedJobs.get(ref);
    if (reported) reported.cancelRequested = true;
  }

  invalidSubmissionAnswered(request: string, expectedStatus: number, status: number | null): void {
    const accepted = status === 200 || status === 201;
    if (!this.judgesOdd) return;
    if (accepted || ((status === 400 || status === 422 || status === 404) && status !== expectedStatus))
      this.reportViolation('odd_answer', `${request} is answered ${status}, not ${expectedStatus}`);
  }

  cancelAnswered(ref: string, status: number, phase: unknown, asked: ReportedState): void {
    const reported = this.reportedJobs.get(ref);
    if (reported && status === 404 && asked.accepted) this.reportForgotten(reported, 'a cancellation gets 404');
    if (!reported || status !== 200) return;
    this.checkReportedPhase(reported, phase, asked);
  }

  /** The user is told for the first time, by any kind of request, that the job is cancelled: its tasks must be gone by the deadline. */
  private onCancelReported(reported: ReportedJob): void {
    const { ref } = reported.job.spec;
    if (reported.cancelReportedAtMs !== null) return;
    reported.cancelReportedAtMs = this.now();
    this.schedule(this.cancelDeadlineS * 1000 + 1, () => {
      const siblings = this.machinesByJob.get(ref);
      for (const [index, machine] of siblings ?? [])
        this.reportViolation(
          'ran_cancelled',
          `${ref}/${index} is still on ${machine.id} ${this.cancelDeadlineS} s after`,
        );
    });
  }

  /** Checks a phase that a user was told against what actually happened and against what was reported before. */
  private checkReportedPhase(reported: ReportedJob, phase: unknown, asked: ReportedState): void {
    const { ref } = reported.job.spec;
    // The answer must not be older than what any node had reported before the request was sent. A request that was
    // already in flight at that time may get either answer.
    if (asked.final !== null && phase !== asked.final)
      this.reportViolation('went_back', `${ref} was ${asked.final} and is now ${String(phase)}`);
    else if (
      reported.finalPhase !== null &&
      (phase === 'done' || phase === 'withdrawn') &&
      phase !== reported.finalPhase
    )
      this.reportViolation('went_back', `${ref} is called both ${reported.finalPhase} and ${phase}`);
    if (phase === 'done' && !reported.job.complete)
      this.reportViolation('not_done', `${ref} is called done before its tasks are`);
    const cancelled = phase === 'done' ? [] : this.cancelledDependencies(reported.job);
    if ((phase === 'pending' || phase === 'running') && reported.accepted) {
      const overdue = cancelled.find(
        ({ cancelReportedAtMs: atMs }) => atMs !== null && this.now() > atMs + this.cancelDeadlineS * 1000,
      );
      if (overdue)
        this.reportViolation('orphaned', `${ref} is called ${phase}, and ${overdue.job.spec.ref} is cancelled`);
    }
    if (phase === 'withdrawn' && !reported.cancelRequested && cancelled.length === 0)
      this.reportViolation('went_back', `${ref} is cancelled, not by its user`);
    if (reported.finalPhase === null && (phase === 'done' || phase === 'withdrawn')) reported.finalPhase = phase;
    if (phase === 'withdrawn') this.onCancelReported(reported);
  }

  /** Looks for jobs that are left waiting, given the machines that are up and their free capacity. Called periodically. */
  checkWaitingJobs(capacities: readonly FreeCapacity[]): void {
    const { quietFrom } = this;
    if (quietFrom === null || this.now() < quietFrom) return;
    const waiting: SimulatedJob[] = [];
    for (const { job, accepted, cancelRequested, finalPhase } of this.reportedJobs.values()) {
      const { spec } = job;
      if (!accepted || cancelRequested || finalPhase !== null || job.mistaken || job.finished.size > 0) continue;
      if (
        this.machinesByJob.has(spec.ref) ||
        (spec.awaits ?? []).some((ref) => this.reportedJobs.get(ref)?.job.complete !== true)
      )
        continue;
      if (this.cancelledDependencies(job).length === 0) waiting.push(job);
    }
    this.waitingDetector.update(this.now(), waiting, capacities, (spec) => this.fitsTeamLimit(spec));
  }

  /** Whether a job's tasks fit under its team's limits; an ensemble starts all its tasks at once, any other job at least one. */
  private fitsTeamLimit(spec: SimulatedJob['spec']): boolean {
    const limits = this.teams.get(spec.owner);
    const used = this.usageByTeam.get(spec.owner);
    const tasks = spec.shape === 'ensemble' ? spec.pieces : 1;
    const fits = (inUse: number, perTask: number, limit: number | undefined): boolean =>
      limit === undefined || limit <= 0 || inUse + perTask * tasks <= limit + EPSILON;
    return (
      fits(used?.cpus ?? 0, spec.vcpus, limits?.cpusMax) && fits(used?.gpus ?? 0, spec.accelerators, limits?.gpusMax)
    );
  }

  /** Direct and transitive dependencies of a job whose users have requested their cancellation. */
  private cancelledDependencies(job: SimulatedJob): ReportedJob[] {
    const seen = new Set<string>();
    const pending = [...(job.spec.awaits ?? [])];
    const found: ReportedJob[] = [];
    for (let ref = pending.pop(); ref !== undefined; ref = pending.pop()) {
      const reported = this.reportedJobs.get(ref);
      if (!reported || seen.has(ref)) continue;
      seen.add(ref);
      if (reported.cancelRequested) found.push(reported);
      pending.push(...(reported.job.spec.awaits ?? []));
    }
    return found;
  }

  private reportForgotten(reported: ReportedJob, reason: string): void {
    if (reported.reportedForgotten) return;
    reported.reportedForgotten = true;
    this.reportViolation('forgotten', `${reported.job.spec.ref}: ${reason}`);
  }

  private countPoll(answered: boolean): void {
    const bucket = Math.floor(this.now() / POLL_BUCKET_MS);
    let last = this.pollBuckets.at(-1);
    if (last?.bucket !== bucket) {
      this.pollBuckets.push((last = { bucket, answered: 0, failed: 0 }));
      if (this.pollBuckets.length > FORGOTTEN_AFTER_MS / POLL_BUCKET_MS) this.pollBuckets.shift();
    }
    if (answered) last.answered += 1;
    else last.failed += 1;
  }

  private mostPollsAnswered(): boolean {
    const sum = (field: 'answered' | 'failed'): number =>
      this.pollBuckets.reduce((total, bucket) => total + bucket[field], 0);
    return sum('answered') > sum('failed');
  }

  /** Checks the rules that apply to the run as a whole. */
  finish(): void {
    if (this.submittedJobCount > 0 && this.startedTaskCount === 0)
      this.reportViolation('nothing_ran', 'no task was started');
  }
}
