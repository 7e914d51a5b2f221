import type { Runtime, Timer } from '../../../../src/kernel/index.js';
import type { Luck } from '../sim/index.js';
import type { JobTruth } from './jobs.js';

export type GangExit = 'done' | 'stopped' | 'mates_gone' | 'alone';

/** A gang's task on its machine, as the gang sees it. */
export interface GangMember {
  readonly index: number;
  readonly speed: () => number;
  /** The whole gang is there. */
  start(): void;
  saving(): void;
  /** Leaves its machine; a machine that hangs does so once it goes on. */
  exit(cause: GangExit, stored: boolean): void;
}

export interface GangFacts {
  readonly waitS: number;
  readonly peerS: number;
}

/** One attempt of a gang: it starts together, runs at the slowest member's speed and ends together. */
class GangRun {
  readonly members = new Map<number, GangMember>();
  private readonly waits = new Map<GangMember, Timer>();
  private readonly told = new Set<GangMember>();
  private readonly saved = new Set<GangMember>();
  private startedAt: number | null = null;
  private speed = 1;
  private finish: Timer | undefined;
  /** Progress as it stood at the first stop. */
  private frozenS: number | null = null;
  over = false;

  constructor(
    private readonly job: JobTruth,
    private readonly runtime: Runtime,
    private readonly luck: Luck,
    private readonly facts: GangFacts,
  ) {}

  private get progressS(): number {
    if (this.frozenS !== null) return this.frozenS;
    const base = this.job.saved.get(0) ?? 0;
    return this.startedAt === null ? base : base + ((this.runtime.now() - this.startedAt) / 1000) * this.speed;
  }

  join(member: GangMember): void {
    if (this.over || this.startedAt !== null) {
      // The attempt that it was started for is past.
      member.exit('mates_gone', false);
      return;
    }
    this.members.set(member.index, member);
    if (this.members.size === this.job.spec.pieces) {
      this.begin();
      return;
    }
    const wait = this.runtime.after(this.facts.waitS * 1000, () => {
      if (this.startedAt !== null || this.members.get(member.index) !== member) return;
      this.members.delete(member.index);
      member.exit('alone', false);
    });
    this.waits.set(member, wait);
  }

  private begin(): void {
    for (const wait of this.waits.values()) wait.cancel();
    this.startedAt = this.runtime.now();
    this.speed = Math.min(...[...this.members.values()].map((member) => member.speed()));
    for (const member of this.members.values()) member.start();
    const leftS = Math.max(0, this.job.runS(0) - (this.job.saved.get(0) ?? 0)) / this.speed;
    this.finish = this.runtime.after(leftS * 1000, () => {
      this.over = true;
      this.job.usefulS += this.job.spec.pieces * Math.max(0, this.job.runS(0) - (this.job.saved.get(0) ?? 0));
      for (let i = 0; i < this.job.spec.pieces; i++) this.job.finished.add(i);
      for (const member of this.members.values()) member.exit('done', false);
    });
  }

  /** A member is gone, or its machine hangs. */
  lose(member: GangMember, hangs: boolean): void {
    if (this.members.get(member.index) !== member) return;
    this.waits.get(member)?.cancel();
    if (!hangs) this.members.delete(member.index);
    if (this.startedAt !== null && !this.over) this.fail();
  }

  /** The rest notice within the bound, and progress falls back to the last checkpoint. */
  private fail(): void {
    this.over = true;
    this.finish?.cancel();
    this.keep(this.job.checkpoint(this.progressS));
    for (const member of this.members.values()) {
      this.runtime.after(this.luck.between(0.2, 1) * this.facts.peerS * 1000, () => {
        if (this.members.get(member.index) === member) member.exit('mates_gone', false);
      });
    }
  }

  private keep(progressS: number): void {
    const before = this.job.saved.get(0) ?? 0;
    if (progressS <= before) return;
    this.job.usefulS += (progressS - before) * this.job.spec.pieces;
    this.job.saved.set(0, progressS);
  }

  stop(member: GangMember, graceS: number): void {
    if (this.members.get(member.index) !== member || this.over) return;
    if (this.startedAt === null) {
      this.waits.get(member)?.cancel();
      this.members.delete(member.index);
      member.exit('stopped', false);
      return;
    }
    const { mark_every_s: every, mark_cost_s: cost } = this.job.spec;
    if (every <= 0 || graceS < cost || this.told.has(member)) {
      // Too little time to save, or told a second time: it ends at once and the gang falls back.
      if (this.told.has(member) && graceS > 0) return;
      this.members.delete(member.index);
      member.exit('stopped', false);
      this.fail();
      return;
    }
    if (this.frozenS === null) {
      this.frozenS = this.progressS;
      this.finish?.cancel();
      this.runtime.after(this.facts.peerS * 1000, () => {
        if (!this.over && this.told.size < this.members.size) this.fail();
      });
    }
    this.told.add(member);
    member.saving();
    this.runtime.after(cost * 1000, () => {
      if (this.over || this.members.get(member.index) !== member) return;
      this.saved.add(member);
      if (this.saved.size < this.members.size) return;
      this.over = true;
      this.keep(this.progressS);
      for (const each of this.members.values()) each.exit('stopped', true);
    });
  }
}

/** All gangs of a region: their tasks find each other by attempt number. */
export class GangBook {
  private readonly runs = new Map<string, GangRun>();

  constructor(
    private readonly runtime: Runtime,
    private readonly luck: Luck,
    private readonly facts: GangFacts,
  ) {}

  private run(job: JobTruth, attempt: number): GangRun {
    const key = `${job.spec.ref}#${attempt}`;
    let run = this.runs.get(key);
    if (!run) this.runs.set(key, (run = new GangRun(job, this.runtime, this.luck, this.facts)));
    return run;
  }

  join(job: JobTruth, attempt: number, member: GangMember): void {
    this.run(job, attempt).join(member);
  }

  lose(job: JobTruth, attempt: number, member: GangMember, hangs: boolean): void {
    this.run(job, attempt).lose(member, hangs);
  }

  stop(job: JobTruth, attempt: number, member: GangMember, graceS: number): void {
    this.run(job, attempt).stop(member, graceS);
  }
}
