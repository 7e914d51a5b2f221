import { millis, type JobId, type Millis } from '../kernel/index.js';
import type { FailureCause, TaskFailure } from './job-failures.js';
import type { JobOutcome } from './job-outcomes.js';
import { MachineSpeed } from './machine-speed.js';

/** A job whose task failed on the machine. */
export interface FailedJob {
  readonly id: JobId;
  /** It is no longer in this shard: it has ended, or was moved. */
  readonly ended: boolean;
  /** What the failure is evidence of, as far as is known now. */
  causeOf(failure: TaskFailure, now: Millis): FailureCause;
}

/** A task that was started on the machine, and that may still be there without having shown that the machine works. */
export interface UnsettledTask {
  readonly startedAt: Millis;
  /** The gang that it belongs to; all of its tasks count as one. */
  readonly gang: JobId | null;
}

/** `suspended`: gets no tasks; `probation`: gets few at a time, until these show whether it works. */
export type MachineState = 'healthy' | 'suspended' | 'probation';

/** What the evidence about a machine amounts to at one time. */
export interface MachineAssessment {
  readonly state: MachineState;
  /** It fails tasks that work elsewhere, or is slow for several jobs: it is given back once it is empty. */
  readonly faulty: boolean;
  /** Number of recent reasons to prefer other machines. */
  readonly suspicion: number;
  /** Number of tasks or gangs that may be started there now. */
  readonly startLimit: number;
}

/** The assessment of a machine of which nothing bad is known. */
export const HEALTHY: MachineAssessment = { state: 'healthy', faulty: false, suspicion: 0, startLimit: Infinity };

interface RecordedFailure {
  readonly jobId: JobId;
  /** Null once the task has worked elsewhere: then the job is asked no more. */
  job: FailedJob | null;
  readonly failure: TaskFailure;
  readonly at: Millis;
  /** Whether the machine was on probation. */
  readonly onProbation: boolean;
}

/** A failure that is not known to be its job's fault, with what else it is evidence of. */
type JudgedFailure = RecordedFailure & { readonly cause: FailureCause };

/** Failures in this number, or of `MIN_FAILED_JOBS` jobs, speak against a machine. */
const MIN_FAILURES = 3;
const MIN_FAILED_JOBS = 2;
const MAX_RECORDED_FAILURES = 50;
/** Failures that are recorded of one job, so that it can't push out those of others. */
const MAX_RECORDED_FAILURES_OF_JOB = 10;
/** Older failures do not make a machine faulty or suspect. */
const RECENT_FAILURE_MS = 180_000;
/** Older failures are forgotten, also those of a machine that nothing was tried on since. */
const FAILURE_MEMORY_MS = 1_800_000;
/** Pause after evidence that may be the job's fault; doubled by each failure on probation. */
const UNCERTAIN_PAUSE_MS = 15_000;
/** Longest pause. A job may wait 90 s for a machine that works again. */
const MAX_PAUSE_MS = 70_000;
/** Number of tasks that have to run well before a machine counts as healthy again. */
const GOOD_STARTS_TO_RECOVER = 3;
/** Each task that has run well on probation allows this many more at a time. */
const STARTS_PER_GOOD_START = 2;
/** A start on probation that shows nothing for so long, such as one that fetches its image, makes way for the next. */
const UNSETTLED_START_MS = 30_000;

/**
 * Decides whether a machine gets new tasks, from the failures and run times there. Nothing but these is kept: what a
 * failure is evidence of is asked of its job at each assessment, so that an assessment ends with its evidence.
 */
export class MachineHealth {
  private failures: RecordedFailure[] = [];
  /** When the last tasks were started that have run well. */
  private goodStarts: Millis[] = [];
  /** Whether failures have been forgotten because tasks ran well after them. */
  private hasRecovered = false;
  private readonly speed = new MachineSpeed();
  /** When the previous holder of the shard considered the machine faulty. */
  private inheritedAt: Millis | null = null;

  /** `outcomeOf` says what has become of a job that has left the shard. */
  constructor(private readonly outcomeOf: (job: JobId) => JobOutcome) {}

  /** Whether tasks have failed here, or are said to have, that may be held against the machine. */
  get hasFailures(): boolean {
    return this.failures.length > 0 || this.inheritedAt !== null;
  }

  /** Whether anything may be held against the machine. */
  isSuspect(now: Millis): boolean {
    return this.hasFailures || this.speed.state(now) !== 'usual';
  }

  /** Records that a task failed here. */
  recordFailure(job: FailedJob, failure: TaskFailure, now: Millis, onProbation: boolean): void {
    const ofJob = this.failures.filter(({ jobId }) => jobId === job.id);
    const [oldestOfJob] = ofJob;
    if (ofJob.length >= MAX_RECORDED_FAILURES_OF_JOB)
      this.failures = this.failures.filter((recorded) => recorded !== oldestOfJob);
    else if (this.failures.length >= MAX_RECORDED_FAILURES) this.failures.shift();
    this.failures.push({ jobId: job.id, job, failure, at: now, onProbation });
  }

  /** Takes over the previous holder's verdict that the machine is faulty. */
  inheritFaulty(now: Millis): void {
    this.inheritedAt = now;
  }

  /**
   * Records that a task that was started at this time has run well. The failures are forgotten once enough tasks that
   * were started after the last of them have.
   */
  recordGoodStart(startedAt: Millis, now: Millis): void {
    this.goodStarts = [...this.goodStarts, startedAt].slice(-GOOD_STARTS_TO_RECOVER);
    if (!this.hasFailures) return;
    const lastFailureAt = this.lastFailureAt(this.failuresAgainstMachine(now));
    if (lastFailureAt === null || this.goodStartsAfter(lastFailureAt) < GOOD_STARTS_TO_RECOVER) return;
    this.failures = [];
    this.inheritedAt = null;
    this.hasRecovered = true;
  }

  /** Whether a task that was started after the last failure of the job here has run well. */
  hasWorkedSinceFailureOf(job: JobId): boolean {
    const last = this.failures.filter(({ jobId }) => jobId === job).at(-1);
    return last ? this.goodStartsAfter(last.at) > 0 : this.hasRecovered;
  }

  private goodStartsAfter(time: Millis): number {
    return this.goodStarts.filter((startedAt) => startedAt > time).length;
  }

  /** The failures that are not known to be their job's fault. Those of cancelled jobs that never worked are forgotten. */
  private failuresAgainstMachine(now: Millis): JudgedFailure[] {
    this.failures = this.failures.filter(({ at }) => now - at < FAILURE_MEMORY_MS);
    const judged: JudgedFailure[] = [];
    for (const recorded of this.failures) {
      const outcome = recorded.job?.ended === true ? this.outcomeOf(recorded.jobId) : 'open';
      const cause = causeNow(recorded, outcome, now);
      if (cause !== 'job') judged.push({ ...recorded, cause });
      else if (outcome === 'cancelled') this.failures = this.failures.filter((other) => other !== recorded);
    }
    return judged;
  }

  private lastFailureAt(failures: readonly JudgedFailure[]): Millis | null {
    const times = failures.map(({ at }) => at);
    if (this.inheritedAt !== null) times.push(this.inheritedAt);
    return times.length === 0 ? null : millis(Math.max(...times));
  }

  /** Records how long a completed task ran relative to the median of its job. */
  recordRun(job: JobId, ratio: number, now: Millis): void {
    this.speed.record(job, ratio, now);
  }

  /** Assesses the machine. `unsettled` lists the tasks there that have yet to show whether they run well. */
  assess(now: Millis, unsettled: () => readonly UnsettledTask[]): MachineAssessment {
    const byFailures = this.hasFailures ? this.assessFailures(now, unsettled) : HEALTHY;
    const speed = this.speed.state(now);
    if (speed === 'usual') return byFailures;
    const suspected = { ...byFailures, suspicion: byFailures.suspicion + 1 };
    const measuredAt = this.speed.lastMeasuredAt;
    if (speed === 'suspected' || measuredAt === null) return suspected;
    const pauseMs = this.speed.isOfSeveralJobs ? MAX_PAUSE_MS : UNCERTAIN_PAUSE_MS;
    const trial = this.trial(measuredAt, pauseMs, now, unsettled);
    return {
      state: worseState(trial.state, byFailures.state),
      faulty: byFailures.faulty || (this.speed.isOfSeveralJobs && trial.state === 'suspended'),
      suspicion: suspected.suspicion,
      startLimit: Math.min(trial.startLimit, byFailures.startLimit),
    };
  }

  private assessFailures(now: Millis, unsettled: () => readonly UnsettledTask[]): MachineAssessment {
    if (this.inheritedAt !== null && now - this.inheritedAt >= FAILURE_MEMORY_MS) this.inheritedAt = null;
    const failures = this.failuresAgainstMachine(now);
    const lastFailureAt = this.lastFailureAt(failures);
    if (lastFailureAt === null) return HEALTHY;
    const recent = failures.filter(({ at }) => now - at < RECENT_FAILURE_MS);
    const isInherited = this.inheritedAt !== null && now - this.inheritedAt < MAX_PAUSE_MS;
    const faulty = isInherited || speakAgainstMachine(recent.filter(({ cause }) => cause === 'machine'));
    const suspicion = recent.length + (isInherited ? 1 : 0);
    if (this.inheritedAt === null && !speakAgainstMachine(failures)) return { ...HEALTHY, faulty, suspicion };
    return { ...this.trial(lastFailureAt, this.pauseMs(failures), now, unsettled), faulty, suspicion };
  }

  /** The pause after the last evidence against the machine, and then the tasks that may be tried there. */
  private trial(
    lastEvidenceAt: Millis,
    pauseMs: number,
    now: Millis,
    unsettled: () => readonly UnsettledTask[],
  ): Pick<MachineAssessment, 'state' | 'startLimit'> {
    if (now < lastEvidenceAt + pauseMs) return { state: 'suspended', startLimit: 0 };
    const allowed = 1 + STARTS_PER_GOOD_START * this.goodStartsAfter(lastEvidenceAt);
    const startLimit = Math.max(0, allowed - countStarts(unsettled(), lastEvidenceAt, now));
    return { state: 'probation', startLimit };
  }

  /** How long the machine is suspended after the last failure. */
  private pauseMs(failures: readonly JudgedFailure[]): number {
    if (this.inheritedAt !== null || failures.some(({ cause }) => cause !== 'unknown')) return MAX_PAUSE_MS;
    const failedTrials = failures.filter(({ onProbation }) => onProbation).length;
    return Math.min(MAX_PAUSE_MS, UNCERTAIN_PAUSE_MS * 2 ** failedTrials);
  }
}

const STATES: readonly MachineState[] = ['healthy', 'probation', 'suspended'];
const worseState = (a: MachineState, b: MachineState): MachineState => (STATES.indexOf(a) > STATES.indexOf(b) ? a : b);

/** What a recorded failure is evidence of now. Once a task has worked elsewhere, that can't change any more. */
function causeNow(recorded: RecordedFailure, outcome: JobOutcome, now: Millis): FailureCause {
  const cause = outcome === 'done' ? 'machine' : (recorded.job?.causeOf(recorded.failure, now) ?? 'machine');
  if (cause === 'machine') recorded.job = null;
  if (outcome === 'works' && cause === 'unknown') return 'suspected-machine';
  if (outcome !== 'cancelled' || cause === 'machine') return cause;
  return cause === 'suspected-machine' ? 'unknown' : 'job';
}

/** Whether these failures are enough to hold them against the machine. */
function speakAgainstMachine(failures: readonly JudgedFailure[]): boolean {
  const jobs = new Set(failures.map(({ jobId }) => jobId));
  return failures.length >= MIN_FAILURES || jobs.size >= MIN_FAILED_JOBS;
}

/** Number of tasks or gangs started after the last failure that have yet to show whether they run well. */
function countStarts(unsettled: readonly UnsettledTask[], lastFailureAt: Millis, now: Millis): number {
  const counted = unsettled.filter(
    ({ startedAt }) => startedAt > lastFailureAt && now - startedAt < UNSETTLED_START_MS,
  );
  const gangs = new Set(counted.map(({ gang }) => gang).filter((gang) => gang !== null));
  return gangs.size + counted.filter(({ gang }) => gang === null).length;
}
