import type { JobSpec } from '../../../../src/jobs/index.js';
import type { MachineId } from '../../../../src/kernel/index.js';
import { median } from '../../../../src/speculation/index.js';
import type { Outcome, PlayedJob } from '../night/index.js';
import type { Running } from './fleet.js';

const MAX_RUNS = 100;
const KEEP_OFF_S = 60;

/** One job as the replay runs it. Times in seconds since the night began. */
export class SimJob {
  readonly spec: JobSpec;
  readonly active = new Map<number, Running>();
  private readonly done: Uint8Array;
  doneCount = 0;
  /** Seconds of work saved, by task; a gang's under 0. */
  readonly saved = new Map<number, number>();
  private readonly firsts = new Map<number, number>();
  private starts = 0;
  /** Of a gang: the start of the run that was saved last, since all its tasks save the same. */
  gangSavedS: number | null = null;
  readonly restarted = new Set<number>();
  readonly runsS: number[] = [];
  private typical: number | null = null;
  private readonly avoidUntil = new Map<MachineId, number>();
  startedS: number | null = null;
  unplacedSinceS: number | null = null;
  private waitedFor = 0;
  notBeforeS = 0;
  strikes = 0;
  readonly errorMachines = new Set<MachineId>();
  ended: { readonly atS: number; readonly phase: 'done' | 'cancelled' } | null = null;
  private cursor = 0;
  private readonly causes = new Map<string, number>();

  constructor(
    readonly played: PlayedJob,
    readonly submittedS: number,
    readonly runS: (index: number) => number,
  ) {
    this.spec = played.spec;
    this.done = new Uint8Array(played.spec.tasks);
  }

  get missing(): number {
    return this.spec.tasks - this.doneCount - this.active.size;
  }

  get expectedRunS(): number {
    return this.typical ?? this.spec.estimateS;
  }

  get failsEverywhere(): boolean {
    return this.errorMachines.size >= 3 && this.doneCount === 0;
  }

  isDone(index: number): boolean {
    return this.done[index] === 1;
  }

  ready(most: number): number[] {
    const { tasks } = this.spec;
    while (this.cursor < tasks && this.done[this.cursor] === 1) this.cursor += 1;
    const ready: number[] = [];
    for (let i = this.cursor; i < tasks && ready.length < most; i++)
      if (this.done[i] === 0 && !this.active.has(i)) ready.push(i);
    return ready;
  }

  markDone(index: number): void {
    if (this.done[index] === 1) return;
    this.done[index] = 1;
    this.doneCount += 1;
  }

  noteRun(ranS: number): void {
    this.runsS.push(ranS);
    if (this.runsS.length > MAX_RUNS) this.runsS.shift();
    this.typical = median(this.runsS);
  }

  began(index: number, atS: number): void {
    this.starts += 1;
    this.startedS ??= atS;
    if (!this.firsts.has(index)) this.firsts.set(index, atS);
  }

  keepOff(machine: MachineId, nowS: number): void {
    this.avoidUntil.set(machine, nowS + KEEP_OFF_S);
  }

  avoided(nowS: number): ReadonlySet<MachineId> {
    for (const [id, until] of this.avoidUntil) if (until < nowS) this.avoidUntil.delete(id);
    return new Set(this.avoidUntil.keys());
  }

  noteCause(cause: string): void {
    this.causes.set(cause, (this.causes.get(cause) ?? 0) + 1);
  }

  noteUnplaced(count: number): void {
    this.waitedFor = Math.max(this.waitedFor, count);
  }

  outcome(): Outcome {
    const decided = [...this.causes].map(([cause, count]) => `${count} tasks: ${cause}`);
    if (this.waitedFor > 0 && this.spec.kind === 'gang')
      decided.push(`waited for room for its gang of ${this.spec.tasks}`);
    else if (this.waitedFor > 0)
      decided.push(`waited for machines (${this.waitedFor} of ${this.spec.tasks} tasks had no room)`);
    return {
      ...{ id: this.spec.id, spec: this.spec, submittedS: this.submittedS, startedS: this.startedS },
      ...{ finishedS: this.ended?.atS ?? null, phase: this.ended?.phase ?? null },
      restarts: this.starts - this.firsts.size,
      waitsS: [...this.firsts.values()].map((at) => Math.max(0, at - this.submittedS)),
      decided: decided.length > 0 ? decided : ['its own run time'],
    };
  }
}
