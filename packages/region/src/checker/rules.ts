import type { Asked, JobTruth, Machine, TaskWatch, UserWitness } from '../models/index.js';
import { WaitingWatch, type Room } from './waiting.js';

/** The protocol's rules: a day on which one of them breaks counts for nothing. */
export const RULES = [
  'ran_twice',
  'quota',
  'wrong_place',
  'ran_cancelled',
  'forgotten',
  'invented',
  'not_done',
  'went_back',
  'nothing_ran',
  'too_early',
  'orphaned',
  /** Troubles over, it waited although a machine had room for it and its team was under its limit. */
  'left_waiting',
  /** Taken although it can't run or lacks a field, or refused by another status than the protocol's. */
  'odd_answer',
] as const;
export type Rule = (typeof RULES)[number];

export interface Breach {
  readonly rule: Rule;
  /** True time in milliseconds. */
  readonly at: number;
  readonly what: string;
}

export interface TeamLimits {
  /** 0: none. */
  readonly cpusMax: number;
  readonly gpusMax: number;
}

interface Told {
  readonly job: JobTruth;
  accepted: boolean;
  /** The user has asked to cancel it. */
  cancelAsked: boolean;
  cancelToldAt: number | null;
  final: 'done' | 'withdrawn' | null;
  lastAnswerAt: number;
  failedPolls: number;
  forgotten: boolean;
}

const FORGOTTEN_MS = 90_000;
/** Once all troubles are over, however others fare. */
const FORGOTTEN_QUIET_MS = 75_000;
const BUCKET_MS = 10_000;
const MOST_KEPT = 200;
const EPSILON = 1e-6;

/**
 * Checks every rule of the protocol, told after each event by the models what truly happened: where
 * tasks are, and what users were told. It asks the service nothing.
 */
export class RuleChecker implements TaskWatch, UserWitness {
  readonly breaches: Breach[] = [];
  private readonly on = new Map<string, Map<string, Machine>>();
  private readonly byJob = new Map<string, Map<number, Machine>>();
  private readonly used = new Map<string, { cpus: number; gpus: number }>();
  private readonly told = new Map<string, Told>();
  private readonly polls: { bucket: number; answered: number; failed: number }[] = [];
  /** From when on nothing goes wrong any more; null: that isn't known. */
  quietFrom: number | null = null;
  /** Off while controllers of earlier releases take part, which took what this one refuses. */
  judgesOdd = true;
  private submitted = 0;
  private started = 0;
  /** Starts of tasks whose user had been told that the job is cancelled, and how long after that the last was. */
  readonly startsAfterCancel = { count: 0, latestMs: 0 };
  private readonly waiting = new WaitingWatch(({ spec }) =>
    this.breach('left_waiting', `${spec.ref} waits, and a machine has room for it`),
  );

  constructor(
    private readonly now: () => number,
    private readonly teams: ReadonlyMap<string, TeamLimits>,
    private readonly cancelS: number,
    private readonly later: (ms: number, work: () => void) => void,
    private readonly broken: (breach: Breach) => void = () => undefined,
  ) {}

  private breach(rule: Rule, what: string): void {
    const breach = { rule, at: this.now(), what };
    if (this.breaches.length < MOST_KEPT) this.breaches.push(breach);
    this.broken(breach);
  }

  // ---- what happens on machines

  entered(machine: Machine, job: JobTruth, index: number, attempt: number): void {
    const { spec } = job;
    const key = `${spec.ref}/${index}`;
    this.started += 1;
    let where = this.on.get(key);
    if (!where) this.on.set(key, (where = new Map()));
    for (const other of where.keys())
      this.breach('ran_twice', `${key} starts on ${machine.id} while it is on ${other} (attempt ${attempt})`);
    where.set(machine.id, machine);
    this.checkPlace(machine, job, index);
    for (const before of spec.awaits ?? []) {
      if (this.told.get(before)?.job.complete !== true)
        this.breach('too_early', `${key} starts on ${machine.id} before ${before} is done`);
    }
    let mates = this.byJob.get(spec.ref);
    if (!mates) this.byJob.set(spec.ref, (mates = new Map()));
    mates.set(index, machine);
    this.use(job, 1);
    const told = this.told.get(spec.ref);
    if (told?.cancelToldAt != null) {
      this.startsAfterCancel.count += 1;
      this.startsAfterCancel.latestMs = Math.max(this.startsAfterCancel.latestMs, this.now() - told.cancelToldAt);
    }
    if (told?.cancelToldAt != null && this.now() > told.cancelToldAt + this.cancelS * 1000)
      this.breach('ran_cancelled', `${key} starts on ${machine.id} after its user was told that it is cancelled`);
  }

  running(): void {
    // No rule is about this.
  }

  left(machine: Machine, { spec }: JobTruth, index: number): void {
    const key = `${spec.ref}/${index}`;
    const where = this.on.get(key);
    if (!where?.delete(machine.id)) return;
    if (where.size === 0) this.on.delete(key);
    const mates = this.byJob.get(spec.ref);
    if (mates?.get(index) === machine) {
      const [elsewhere] = where.values();
      if (elsewhere) mates.set(index, elsewhere);
      else mates.delete(index);
      if (mates.size === 0) this.byJob.delete(spec.ref);
    }
    const team = this.used.get(spec.owner);
    if (team) {
      team.cpus -= spec.vcpus;
      team.gpus -= spec.accelerators;
    }
  }

  private use({ spec }: JobTruth, count: number): void {
    let team = this.used.get(spec.owner);
    if (!team) this.used.set(spec.owner, (team = { cpus: 0, gpus: 0 }));
    team.cpus += spec.vcpus * count;
    team.gpus += spec.accelerators * count;
    const limits = this.teams.get(spec.owner);
    const over = (used: number, most: number | undefined): boolean =>
      most !== undefined && most > 0 && used > most + EPSILON;
    if (over(team.cpus, limits?.cpusMax) || over(team.gpus, limits?.gpusMax))
      this.breach('quota', `${spec.owner} uses ${team.cpus} cpus and ${team.gpus} gpus with ${spec.ref}`);
  }

  private checkPlace(machine: Machine, { spec }: JobTruth, index: number): void {
    const name = `${spec.ref}/${index} on ${machine.id}`;
    const { type, zone, spot } = machine;
    if (spec.hulls && !spec.hulls.includes(type.name)) this.breach('wrong_place', `${name}: type ${type.name}`);
    if (spec.berth !== null && spec.berth !== zone) this.breach('wrong_place', `${name}: zone ${zone}`);
    if (spot && !spec.flotsam) this.breach('wrong_place', `${name}: a spot machine`);
    const mates = [...(this.byJob.get(spec.ref) ?? [])].filter(([mate]) => mate !== index);
    if (spec.same_place && mates.some(([, other]) => other.zone !== zone))
      this.breach('wrong_place', `${name}: the others are not in ${zone}`);
    const inZone = mates.filter(([, other]) => other.zone === zone).length + 1;
    if (spec.scatter && inZone > Math.ceil(spec.pieces / 2))
      this.breach('wrong_place', `${name}: ${inZone} of ${spec.pieces} in ${zone}`);
  }

  // ---- what users are told

  submits(job: JobTruth): void {
    this.submitted += 1;
    this.told.set(job.spec.ref, {
      ...{ job, accepted: false, cancelAsked: false, cancelToldAt: null, final: null },
      ...{ lastAnswerAt: this.now(), failedPolls: 0, forgotten: false },
    });
  }

  asks(ref: string): Asked {
    const told = this.told.get(ref);
    return { accepted: told?.accepted ?? false, final: told?.final ?? null };
  }

  submitAnswered(ref: string, status: number, phase: unknown, asked: Asked): void {
    const told = this.told.get(ref);
    if (!told) return;
    if (status === 200 || status === 201) {
      if (!told.accepted) told.lastAnswerAt = this.now();
      told.accepted = true;
      this.phaseTold(told, phase, asked);
    } else if (asked.accepted && (status === 400 || status === 422))
      this.forget(told, `a repeated submission gets ${status}`);
  }

  polled(ref: string, status: number | null, phase: unknown, asked: Asked): void {
    const told = this.told.get(ref);
    if (!told) {
      if (status === 200) this.breach('invented', `${ref} is answered, and nobody submitted it`);
      return;
    }
    const answered = status === 200 || status === 404;
    this.countPoll(answered);
    if (status === 200) {
      told.lastAnswerAt = this.now();
      told.failedPolls = 0;
      this.phaseTold(told, phase, asked);
    } else if (status === 404) {
      if (asked.accepted) this.forget(told, 'a poll gets 404');
    } else if (told.accepted) {
      told.failedPolls += 1;
      const silent = this.now() - told.lastAnswerAt;
      const { quietFrom } = this;
      if (quietFrom !== null && this.now() - Math.max(told.lastAnswerAt, quietFrom) > FORGOTTEN_QUIET_MS)
        this.forget(told, 'no question is answered after all troubles are over');
      if (silent > FORGOTTEN_MS && told.failedPolls >= 5 && this.mostAnswered())
        this.forget(told, 'every poll fails while most others get answers');
    }
  }

  cancelAsked(ref: string): void {
    const told = this.told.get(ref);
    if (told) told.cancelAsked = true;
  }

  oddAnswered(what: string, wanted: number, status: number | null): void {
    const taken = status === 200 || status === 201;
    if (!this.judgesOdd) return;
    if (taken || ((status === 400 || status === 422 || status === 404) && status !== wanted))
      this.breach('odd_answer', `${what} is answered ${status}, not ${wanted}`);
  }

  cancelAnswered(ref: string, status: number, phase: unknown, asked: Asked): void {
    const told = this.told.get(ref);
    if (told && status === 404 && asked.accepted) this.forget(told, 'a cancellation gets 404');
    if (!told || status !== 200) return;
    this.phaseTold(told, phase, asked);
  }

  /** Its user is told that it is cancelled, by whatever question: from now on its tasks have so long to be gone. */
  private toldCancelled(told: Told): void {
    const { ref } = told.job.spec;
    if (told.cancelToldAt !== null) return;
    told.cancelToldAt = this.now();
    this.later(this.cancelS * 1000 + 1, () => {
      const mates = this.byJob.get(ref);
      for (const [index, machine] of mates ?? [])
        this.breach('ran_cancelled', `${ref}/${index} is still on ${machine.id} ${this.cancelS} s after`);
    });
  }

  private phaseTold(told: Told, phase: unknown, asked: Asked): void {
    const { ref } = told.job.spec;
    // Older than what some node had said before the question was sent; one that was under way by then may be either.
    if (asked.final !== null && phase !== asked.final)
      this.breach('went_back', `${ref} was ${asked.final} and is now ${String(phase)}`);
    else if (told.final !== null && (phase === 'done' || phase === 'withdrawn') && phase !== told.final)
      this.breach('went_back', `${ref} is called both ${told.final} and ${phase}`);
    if (phase === 'done' && !told.job.complete) this.breach('not_done', `${ref} is called done before its tasks are`);
    const above = phase === 'done' ? [] : this.cancelledBefore(told.job);
    if ((phase === 'pending' || phase === 'running') && told.accepted) {
      const late = above.find(({ cancelToldAt: at }) => at !== null && this.now() > at + this.cancelS * 1000);
      if (late) this.breach('orphaned', `${ref} is called ${phase}, and ${late.job.spec.ref} is cancelled`);
    }
    if (phase === 'withdrawn' && !told.cancelAsked && above.length === 0)
      this.breach('went_back', `${ref} is cancelled, not by its user`);
    if (told.final === null && (phase === 'done' || phase === 'withdrawn')) told.final = phase;
    if (phase === 'withdrawn') this.toldCancelled(told);
  }

  /** How things stand: machines that are up, with what they have left. */
  look(rooms: readonly Room[]): void {
    const { quietFrom } = this;
    if (quietFrom === null || this.now() < quietFrom) return;
    const waiting: JobTruth[] = [];
    for (const { job, accepted, cancelAsked, final } of this.told.values()) {
      const { spec } = job;
      if (!accepted || cancelAsked || final !== null || job.mistaken || job.finished.size > 0) continue;
      if (this.byJob.has(spec.ref) || (spec.awaits ?? []).some((ref) => this.told.get(ref)?.job.complete !== true))
        continue;
      if (this.cancelledBefore(job).length === 0) waiting.push(job);
    }
    this.waiting.look(this.now(), waiting, rooms, (spec) => this.underLimit(spec));
  }

  private underLimit(spec: JobTruth['spec']): boolean {
    const limits = this.teams.get(spec.owner);
    const used = this.used.get(spec.owner);
    const tasks = spec.shape === 'ensemble' ? spec.pieces : 1;
    const within = (now: number, more: number, most: number | undefined): boolean =>
      most === undefined || most <= 0 || now + more * tasks <= most + EPSILON;
    return (
      within(used?.cpus ?? 0, spec.vcpus, limits?.cpusMax) &&
      within(used?.gpus ?? 0, spec.accelerators, limits?.gpusMax)
    );
  }

  /** Jobs that it needs, directly or through others, whose users have asked to cancel them. */
  private cancelledBefore(job: JobTruth): Told[] {
    const seen = new Set<string>();
    const list = [...(job.spec.awaits ?? [])];
    const found: Told[] = [];
    for (let ref = list.pop(); ref !== undefined; ref = list.pop()) {
      const told = this.told.get(ref);
      if (!told || seen.has(ref)) continue;
      seen.add(ref);
      if (told.cancelAsked) found.push(told);
      list.push(...(told.job.spec.awaits ?? []));
    }
    return found;
  }

  private forget(told: Told, why: string): void {
    if (told.forgotten) return;
    told.forgotten = true;
    this.breach('forgotten', `${told.job.spec.ref}: ${why}`);
  }

  private countPoll(answered: boolean): void {
    const bucket = Math.floor(this.now() / BUCKET_MS);
    let last = this.polls.at(-1);
    if (last?.bucket !== bucket) {
      this.polls.push((last = { bucket, answered: 0, failed: 0 }));
      if (this.polls.length > FORGOTTEN_MS / BUCKET_MS) this.polls.shift();
    }
    if (answered) last.answered += 1;
    else last.failed += 1;
  }

  private mostAnswered(): boolean {
    const sum = (of: 'answered' | 'failed'): number => this.polls.reduce((total, bucket) => total + bucket[of], 0);
    return sum('answered') > sum('failed');
  }

  /** The day is over. */
  close(): void {
    if (this.submitted > 0 && this.started === 0) this.breach('nothing_ran', 'no task was started');
  }
}
