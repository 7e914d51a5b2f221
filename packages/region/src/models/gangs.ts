import type { Runtime, Timer } from '../../../../src/kernel/index.js';
import type { RandomStream } from '../sim/index.js';
import type { SimulatedJob } from './jobs.js';

/** Why a gang's task exits: `alone` if the gang was not complete in time, `mates_gone` if other members are lost. */
export type GangExitCause = 'done' | 'stopped' | 'mates_gone' | 'alone';

/** A gang's task on its machine. */
export interface GangMember {
  readonly index: number;
  /** Speed of the machine; 1 is nominal. */
  readonly speed: () => number;
  /** Called when all members have joined. */
  start(): void;
  /** Called when the member begins to save its progress. */
  saving(): void;
  /** Exits the task; on a machine that hangs this takes effect once it resumes. */
  exit(cause: GangExitCause, stored: boolean): void;
}

/** Timeouts of gangs. */
export interface GangTimeouts {
  /** How long a member waits for the others before it exits. */
  readonly waitS: number;
  /** Within this time members notice that another is lost, and all must have been told to stop. */
  readonly peerS: number;
}

/** One attempt of a gang: all members start together, run at the speed of the slowest and end together. */
class GangAttempt {
  readonly members = new Map<number, GangMember>();
  private readonly waitTimers = new Map<GangMember, Timer>();
  /** Members that have been told to stop. */
  private readonly stoppingMembers = new Set<GangMember>();
  private readonly savedMembers = new Set<GangMember>();
  private startedAt: number | null = null;
  private speed = 1;
  private finishTimer: Timer | undefined;
  /** Progress at the first stop command, where it freezes. */
  private frozenProgressS: number | null = null;
  ended = false;

  constructor(
    private readonly job: SimulatedJob,
    private readonly runtime: Runtime,
    private readonly random: RandomStream,
    private readonly timeouts: GangTimeouts,
  ) {}

  /** Progress of each member in seconds at nominal speed. */
  private get progressS(): number {
    if (this.frozenProgressS !== null) return this.frozenProgressS;
    const base = this.job.saved.get(0) ?? 0;
    return this.startedAt === null ? base : base + ((this.runtime.now() - this.startedAt) / 1000) * this.speed;
  }

  /** Adds a member; the last one starts the gang. */
  join(member: GangMember): void {
    if (this.ended || this.startedAt !== null) {
      // The attempt has started without this member or has ended.
      member.exit('mates_gone', false);
      return;
    }
    this.members.set(member.index, member);
    if (this.members.size === this.job.spec.pieces) {
      this.startAll();
      return;
    }
    const waitTimer = this.runtime.after(this.timeouts.waitS * 1000, () => {
      if (this.startedAt !== null || this.members.get(member.index) !== member) return;
      this.members.delete(member.index);
      member.exit('alone', false);
    });
    this.waitTimers.set(member, waitTimer);
  }

  private startAll(): void {
    for (const timer of this.waitTimers.values()) timer.cancel();
    this.startedAt = this.runtime.now();
    this.speed = Math.min(...[...this.members.values()].map((member) => member.speed()));
    for (const member of this.members.values()) member.start();
    const leftS = Math.max(0, this.job.runS(0) - (this.job.saved.get(0) ?? 0)) / this.speed;
    this.finishTimer = this.runtime.after(leftS * 1000, () => {
      this.ended = true;
      this.job.usefulS += this.job.spec.pieces * Math.max(0, this.job.runS(0) - (this.job.saved.get(0) ?? 0));
      for (let i = 0; i < this.job.spec.pieces; i++) this.job.finished.add(i);
      for (const member of this.members.values()) member.exit('done', false);
    });
  }

  /**
   * Called when a member is gone or its machine hangs. On a machine that hangs it stays a member, and exits once the
   * machine resumes. Fails the attempt if it has started.
   */
  onMemberLost(member: GangMember, machineHangs: boolean): void {
    if (this.members.get(member.index) !== member) return;
    this.waitTimers.get(member)?.cancel();
    if (!machineHangs) this.members.delete(member.index);
    if (this.startedAt !== null && !this.ended) this.fail();
  }

  /** Fails the attempt: the other members exit within `peerS`, and progress falls back to the last checkpoint. */
  private fail(): void {
    this.ended = true;
    this.finishTimer?.cancel();
    this.saveProgress(this.job.lastCheckpointBefore(this.progressS));
    for (const member of this.members.values()) {
      this.runtime.after(this.random.uniform(0.2, 1) * this.timeouts.peerS * 1000, () => {
        if (this.members.get(member.index) === member) member.exit('mates_gone', false);
      });
    }
  }

  /** Saves progress, if it is more than what is saved already. */
  private saveProgress(progressS: number): void {
    const savedS = this.job.saved.get(0) ?? 0;
    if (progressS <= savedS) return;
    this.job.usefulS += (progressS - savedS) * this.job.spec.pieces;
    this.job.saved.set(0, progressS);
  }

  /** Executes a stop command. All members save and exit together if each is told in time; otherwise the attempt fails. */
  stop(member: GangMember, graceS: number): void {
    if (this.members.get(member.index) !== member || this.ended) return;
    if (this.startedAt === null) {
      this.waitTimers.get(member)?.cancel();
      this.members.delete(member.index);
      member.exit('stopped', false);
      return;
    }
    const { mark_every_s: saveIntervalS, mark_cost_s: saveDurationS } = this.job.spec;
    if (saveIntervalS <= 0 || graceS < saveDurationS || this.stoppingMembers.has(member)) {
      // With too little time to save, or a second command without grace, the member exits at once and the attempt fails.
      if (this.stoppingMembers.has(member) && graceS > 0) return;
      this.members.delete(member.index);
      member.exit('stopped', false);
      this.fail();
      return;
    }
    if (this.frozenProgressS === null) {
      this.frozenProgressS = this.progressS;
      this.finishTimer?.cancel();
      this.runtime.after(this.timeouts.peerS * 1000, () => {
        if (!this.ended && this.stoppingMembers.size < this.members.size) this.fail();
      });
    }
    this.stoppingMembers.add(member);
    member.saving();
    this.runtime.after(saveDurationS * 1000, () => {
      if (this.ended || this.members.get(member.index) !== member) return;
      this.savedMembers.add(member);
      if (this.savedMembers.size < this.members.size) return;
      this.ended = true;
      this.saveProgress(this.progressS);
      for (const savedMember of this.members.values()) savedMember.exit('stopped', true);
    });
  }
}

/** Coordinates all gangs of a region: tasks of the same job and attempt number belong together. */
export class GangCoordinator {
  private readonly attempts = new Map<string, GangAttempt>();

  constructor(
    private readonly runtime: Runtime,
    private readonly random: RandomStream,
    private readonly timeouts: GangTimeouts,
  ) {}

  private attemptOf(job: SimulatedJob, attempt: number): GangAttempt {
    const key = `${job.spec.ref}#${attempt}`;
    let gangAttempt = this.attempts.get(key);
    if (!gangAttempt)
      this.attempts.set(key, (gangAttempt = new GangAttempt(job, this.runtime, this.random, this.timeouts)));
    return gangAttempt;
  }

  /** Adds a task to its gang. */
  join(job: SimulatedJob, attempt: number, member: GangMember): void {
    this.attemptOf(job, attempt).join(member);
  }

  /** Called when a task is gone or its machine hangs. */
  onMemberLost(job: SimulatedJob, attempt: number, member: GangMember, machineHangs: boolean): void {
    this.attemptOf(job, attempt).onMemberLost(member, machineHangs);
  }

  /** Executes a stop command with this grace period for a task. */
  stop(job: SimulatedJob, attempt: number, member: GangMember, graceS: number): void {
    this.attemptOf(job, attempt).stop(member, graceS);
  }
}
