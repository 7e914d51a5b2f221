import type { JobSpec } from '../../../../src/jobs/index.js';
import { kindOf, type JobSeen, type Night } from './night.js';
import type { NightFacts } from './facts.js';
import { knownRuns, type KnownRuns } from './runs.js';

/** One job as it will be played. Times in seconds since the night began. */
export interface PlayedJob {
  readonly spec: JobSpec;
  readonly atS: number;
  readonly cancelAtS: number | null;
  /** Seconds of work by task, a gang's under 0; what is missing is drawn. */
  readonly work: ReadonlyMap<number, number>;
  /** From its last task's end until that was stored, when it was done; an outage of the state service shows here. */
  readonly writeS: number | null;
  /** Its tasks fail wherever they run. */
  readonly mistaken: boolean;
  /** Not all of it lies in the recording, so that its finish says nothing. */
  readonly cut: 'before' | 'after' | null;
  /** What the plan did to it. */
  readonly changed: string | null;
}

export interface PlayedMachine {
  readonly id: string;
  readonly kind: string;
  /** Of the night's beginning, not rented in it. */
  readonly initial: boolean;
  /** For initial ones: since the night began; for others: from rental to its first report. null: it never came up. */
  readonly upAfterS: number | null;
  readonly diesAtS: number | null;
  readonly takenBack: { readonly noticeAtS: number; readonly noticeS: number } | null;
  readonly slowness: number;
  readonly failsFromS: number | null;
}

/** Everything that a replay needs; a plan is a change of it. */
export interface Scenario {
  readonly fromMs: number;
  readonly lengthS: number;
  readonly cold: boolean;
  readonly facts: NightFacts;
  readonly controllers: number;
  readonly crashes: readonly { readonly controller: number; readonly atS: number; readonly downS: number }[];
  readonly jobs: readonly PlayedJob[];
  readonly machines: readonly PlayedMachine[];
  /** Machines of a kind that the cloud has, where the night showed an end of it. */
  readonly capacity: ReadonlyMap<string, number>;
  readonly runs: KnownRuns;
  /** The night itself: up to `freeFromS` nothing is decided anew. */
  readonly night: Night;
  /** When the plan first makes a difference; endless: never. */
  readonly freeFromS: number;
}

/** From coming up to being in a block. */
export const JOIN_S = 1;
const COLD_JOIN_S = 12;
/** Beyond what was rented at most, where nothing was ever sold out. */
const ROOM = 100;

/** The job's own part: a mistake in it shows on several machines, and nothing of it is ever done. */
const isMistaken = ({ attempts }: JobSeen): boolean =>
  !attempts.some((a) => a.why === 'done') &&
  new Set(attempts.filter((a) => a.why === 'error').map((a) => a.machine)).size >= 3;

function writeOf({ attempts, ended }: JobSeen): number | null {
  const lefts = attempts.flatMap((a) => (a.why === 'done' && a.leftS !== null ? [a.leftS] : []));
  if (ended?.phase !== 'done' || lefts.length === 0) return null;
  return Math.max(0, ended.atS - lefts.reduce((a, b) => Math.max(a, b)));
}

function playedJob(job: JobSeen, runs: KnownRuns): PlayedJob {
  const { spec, ended } = job;
  const work = runs.work.get(spec.id) ?? new Map<number, number>();
  const cancelAtS = ended?.phase === 'cancelled' ? ended.atS : null;
  if (!job.before) {
    const cut = ended === null ? ('after' as const) : null;
    const writeS = writeOf(job);
    return { spec, atS: job.submittedS, cancelAtS, work, writeS, mistaken: isMistaken(job), cut, changed: null };
  }
  // Of a job that was open already, those tasks are played of which anything was seen.
  const seen = [...new Set(job.attempts.map((a) => a.index))].sort((a, b) => a - b);
  const array = spec.kind === 'array' && seen.length > 0;
  const left = new Map<number, number>();
  for (const [i, index] of seen.entries()) {
    const known = work.get(index);
    const tries = job.attempts.filter((a) => a.index === index && a.why === 'done' && a.leftS !== null);
    const restS = known ?? tries[0]?.leftS ?? null;
    if (array && restS !== null) left.set(i, restS);
  }
  return {
    spec: array ? { ...spec, tasks: seen.length } : spec,
    ...{ atS: 0, cancelAtS, work: array ? left : work, writeS: null },
    ...{ mistaken: isMistaken(job), cut: 'before', changed: null },
  };
}

function playedMachines(night: Night, runs: KnownRuns): PlayedMachine[] {
  const firstError = new Map<string, number>();
  for (const { attempts } of night.jobs.values())
    for (const a of attempts)
      if (a.why === 'error' && a.leftS !== null)
        firstError.set(a.machine, Math.min(firstError.get(a.machine) ?? Infinity, a.leftS));
  const order = [...night.machines.values()].sort(
    (a, b) => (a.rentedS ?? -1) - (b.rentedS ?? -1) || (a.id < b.id ? -1 : 1),
  );
  return order.map((m): PlayedMachine => {
    const initial = m.rentedS === null;
    let upAfterS: number | null = null;
    if (m.joinedS !== null) {
      if (!initial) upAfterS = Math.max(0.3, m.joinedS - (m.rentedS ?? 0) - JOIN_S);
      else upAfterS = !night.cold || m.joinedS < COLD_JOIN_S ? 0 : m.joinedS - JOIN_S;
    }
    return {
      ...{ id: m.id, kind: kindOf(m), initial, upAfterS, diesAtS: runs.deaths.get(m.id) ?? null },
      takenBack: m.notice && { noticeAtS: m.notice.atS, noticeS: m.notice.leftS },
      slowness: runs.slow.get(m.id) ?? 1,
      failsFromS: m.faultyS === null ? null : (firstError.get(m.id) ?? null),
    };
  });
}

/** Where the cloud had no more of a kind: as many as there were then. */
function capacityOf(night: Night): Map<string, number> {
  const capacity = new Map<string, number>();
  const held = (kind: string, atS: number): number =>
    [...night.machines.values()].filter(
      (m) => kindOf(m) === kind && (m.rentedS ?? 0) <= atS && (m.returned?.atS ?? Infinity) > atS,
    ).length;
  for (const { atS, kind } of night.shortages) capacity.set(kind, Math.max(capacity.get(kind) ?? 0, held(kind, atS)));
  return capacity;
}

/** Machines of a kind that a replay's cloud has. */
export const capacityFor = ({ capacity, machines }: Scenario, kind: string): number =>
  // A shortage late in the night says nothing of its beginning, when there may have been more.
  Math.max(
    capacity.get(kind) ?? machines.filter((m) => m.kind === kind).length + ROOM,
    machines.filter((m) => m.kind === kind && m.initial).length,
  );

export function scenarioOf(night: Night): Scenario {
  const runs = knownRuns(night);
  const nodes = [...new Set(night.lives.map(({ node }) => node))].sort();
  const crashes = nodes.flatMap((node, controller) => {
    const lives = night.lives.filter((life) => life.node === node).sort((a, b) => a.fromS - b.fromS);
    return lives.slice(1).map((life, i) => {
      const atS = lives[i]?.lastS ?? 0;
      return { controller, atS, downS: Math.max(0.5, life.fromS - atS) };
    });
  });
  return {
    ...{ fromMs: night.fromMs, lengthS: night.lengthS, cold: night.cold, facts: night.facts },
    ...{ controllers: nodes.length, crashes, runs, capacity: capacityOf(night), night, freeFromS: Infinity },
    jobs: [...night.jobs.values()].map((job) => playedJob(job, runs)).sort((a, b) => a.atS - b.atS),
    machines: playedMachines(night, runs),
  };
}
