import { median, quantileSorted } from 'simple-statistics';
import type { JobSpec } from '../../../../src/jobs/index.js';
import { deathsOf } from './deaths.js';
import type { AttemptSeen, JobSeen, Night } from './night.js';

/** What the recorded night says of how long tasks run: seconds of work on a machine of usual speed. */
export interface KnownRuns {
  /** By job and task; a gang's under task 0. */
  readonly work: ReadonlyMap<string, ReadonlyMap<number, number>>;
  /** Machines that ran everything slower, and by how much. */
  readonly slow: ReadonlyMap<string, number>;
  /** Machines that died without a word, and when. */
  readonly deaths: ReadonlyMap<string, number>;
  readonly fits: RunFits;
}

const SLOW_FROM = 1.5;
const RUNS_TO_JUDGE = 3;

const ranS = ({ beganS, leftS }: AttemptSeen): number | null =>
  beganS === null || leftS === null ? null : Math.max(0.05, leftS - beganS);

/** Machines whose tasks took far longer than their siblings elsewhere. */
function slowMachines(jobs: Iterable<JobSeen>): Map<string, number> {
  const ratios = new Map<string, number[]>();
  for (const { spec, attempts } of jobs) {
    if (spec.kind !== 'array') continue;
    const done = attempts.filter((a) => a.why === 'done' && ranS(a) !== null);
    if (done.length < RUNS_TO_JUDGE) continue;
    const typical = median(done.map((a) => ranS(a) ?? 0));
    for (const a of done) {
      const list = ratios.get(a.machine) ?? [];
      list.push((ranS(a) ?? 0) / typical);
      ratios.set(a.machine, list);
    }
  }
  const slow = new Map<string, number>();
  for (const [machine, list] of ratios) {
    const factor = median(list);
    if (list.length >= RUNS_TO_JUDGE && factor > SLOW_FROM) slow.set(machine, factor);
  }
  return slow;
}

/** What a stopped or killed attempt leaves to the next: all when it saved, else its last checkpoint. */
function savedBy(spec: JobSpec, attempt: AttemptSeen, workS: number): number {
  if (spec.checkpointS <= 0) return 0;
  if (attempt.why === 'stopped') return Math.max(0, workS - spec.saveS);
  return Math.floor(workS / spec.checkpointS) * spec.checkpointS;
}

/** Work of each task whose end was seen; of a gang, of all together under 0. */
function workOf(
  { spec, attempts }: JobSeen,
  slow: ReadonlyMap<string, number>,
  deaths: ReadonlyMap<string, number>,
): Map<number, number> {
  const work = new Map<number, number>();
  // What was noticed late had ended before: with its machine.
  const ran = (a: AttemptSeen): number | null => {
    const endS = a.leftS === null ? null : Math.min(a.leftS, deaths.get(a.machine) ?? Infinity);
    return ranS({ ...a, leftS: endS });
  };
  const speed = (a: AttemptSeen): number => (ran(a) ?? 0) / (slow.get(a.machine) ?? 1);
  const groups = new Map<number, AttemptSeen[]>();
  // A gang runs together: the last of an attempt to begin is when its work begins.
  for (const a of [...attempts].sort((x, y) => x.attempt - y.attempt)) {
    const key = spec.kind === 'gang' ? 0 : a.index;
    groups.set(key, [...(groups.get(key) ?? []), a]);
  }
  for (const [key, tries] of groups) {
    let saved = 0;
    const tried = new Set<number>();
    for (const a of tries) {
      if (work.has(key) || tried.has(a.attempt)) continue;
      if (a.why === 'done') {
        // Begun where nobody saw it: how long it ran is not known.
        if (ran(a) !== null) work.set(key, saved + speed(a));
      } else if (a.beganS !== null) {
        // Nobody told when it left: no later than the next try began.
        const next = tries.find((b) => b.attempt > a.attempt && b.beganS !== null);
        const leftS = a.leftS ?? next?.beganS ?? null;
        if (leftS !== null) saved += savedBy(spec, a, speed({ ...a, leftS }));
        if (spec.kind === 'gang') tried.add(a.attempt);
      }
    }
  }
  return work;
}

/** Reads run times off a night, and fits what was not seen to what was. */
export function knownRuns(night: Night): KnownRuns {
  const slow = slowMachines(night.jobs.values());
  const deaths = deathsOf(night);
  const work = new Map<string, ReadonlyMap<number, number>>();
  for (const [id, job] of night.jobs) if (job.spec.kind !== 'service') work.set(id, workOf(job, slow, deaths));
  return { work, slow, deaths, fits: new RunFits(night, work) };
}

const FEW = 5;

/** A factor drawn from those that were seen, between them too; 1 where too few were. */
function drawn(sorted: readonly number[], luck: () => number): number {
  return sorted.length < FEW ? 1 : quantileSorted([...sorted], luck());
}

/** Run times of tasks that nobody saw end: as others of their class were, against the owners' estimates. */
export class RunFits {
  /** A job's typical run over its owner's estimate, by class. */
  private readonly jobFactors = new Map<string, number[]>();
  /** A task's run over its job's typical one, by class. */
  private readonly taskFactors = new Map<string, number[]>();
  private readonly typical = new Map<string, number>();

  constructor(night: Night, work: ReadonlyMap<string, ReadonlyMap<number, number>>) {
    const note = (map: Map<string, number[]>, key: string, value: number): void => {
      const list = map.get(key);
      if (list) list.push(value);
      else map.set(key, [value]);
    };
    for (const [id, runs] of work) {
      const spec = night.jobs.get(id)?.spec;
      if (!spec || runs.size === 0) continue;
      const typical = median([...runs.values()]);
      this.typical.set(id, typical);
      if (spec.estimateS > 0) note(this.jobFactors, spec.jobClass, typical / spec.estimateS);
      if (runs.size >= FEW) for (const run of runs.values()) note(this.taskFactors, spec.jobClass, run / typical);
    }
    for (const map of [this.jobFactors, this.taskFactors]) for (const list of map.values()) list.sort((a, b) => a - b);
  }

  /** A job's typical run; `luck` gives numbers between 0 and 1. */
  job(spec: JobSpec, luck: () => number): number {
    const known = this.typical.get(spec.id);
    if (known !== undefined) return known;
    return Math.max(0.5, spec.estimateS) * drawn(this.jobFactors.get(spec.jobClass) ?? [], luck);
  }

  task(spec: JobSpec, typicalS: number, luck: () => number): number {
    return typicalS * drawn(this.taskFactors.get(spec.jobClass) ?? [], luck);
  }
}
