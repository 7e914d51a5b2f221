import { detailOf, type Gap, type Trace, type TraceRow } from '../../../trace/src/index.js';
import type { JobSpec } from '../../../../src/jobs/index.js';
import { readFacts, type NightFacts } from './facts.js';

/** One start of one task. Times in seconds since the night began; null: not seen. */
export interface AttemptSeen {
  readonly index: number;
  readonly attempt: number;
  readonly machine: string;
  /** null: nobody saw when. */
  beganS: number | null;
  leftS: number | null;
  why: string | null;
  /** Why it was told to stop. */
  stopping: string | null;
}

export interface JobSeen {
  readonly spec: JobSpec;
  readonly submittedS: number;
  readonly attempts: AttemptSeen[];
  /** When it was said to wait for room, and for how many tasks. */
  readonly waits: { readonly atS: number; readonly missing: number }[];
  ended: { readonly atS: number; readonly phase: 'done' | 'cancelled' } | null;
  /** Submitted before the recording began, so that not all of it was seen. */
  readonly before: boolean;
}

export interface MachineSeen {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  rentedS: number | null;
  joinedS: number | null;
  notice: { readonly atS: number; readonly leftS: number } | null;
  lostS: number | null;
  faultyS: number | null;
  returned: { readonly atS: number; readonly why: string } | null;
}

export interface LifeSeen {
  readonly node: string;
  readonly life: string;
  readonly fromS: number;
  lastS: number;
}

/** A night as the controllers told it, put in order. */
export interface Night {
  /** Time of day of its beginning, in milliseconds. */
  readonly fromMs: number;
  readonly lengthS: number;
  /** The recording began with the controllers themselves, not in the middle. */
  readonly cold: boolean;
  readonly facts: NightFacts;
  readonly jobs: ReadonlyMap<string, JobSeen>;
  readonly machines: ReadonlyMap<string, MachineSeen>;
  readonly lives: readonly LifeSeen[];
  readonly shortages: readonly { readonly atS: number; readonly kind: string }[];
  readonly gaps: readonly Gap[];
  /** Jobs of which tasks were seen, but no description. */
  readonly unknownJobs: ReadonlySet<string>;
}

const COLD_MS = 5000;
/** Submitted so long before the first event: it was open already. */
const BEFORE_S = 2;

export const kindOf = ({ type, zone, spot }: Pick<MachineSeen, 'type' | 'zone' | 'spot'>): string =>
  `${type} ${zone} ${spot ? 'spot' : 'ordinary'}`;

/** Puts a trace's events together, job by job and machine by machine. */
export function readNight(trace: Trace): Night {
  const { fromMs, rows } = trace;
  const sinceS = (row: TraceRow): number => (row.at - fromMs) / 1000;
  const jobs = new Map<string, JobSeen>();
  const machines = new Map<string, MachineSeen>();
  const lives = new Map<string, LifeSeen>();
  const shortages: { atS: number; kind: string }[] = [];
  const unknownJobs = new Set<string>();
  // Whatever order two controllers' clocks put them in: what a job is comes before what became of it.
  for (const row of rows) {
    if (row.kind !== 'job' || row.job === null) continue;
    const { spec, submittedAt } = detailOf(row) as { spec?: JobSpec; submittedAt?: number };
    if (!spec || typeof submittedAt !== 'number') continue;
    const submittedS = (submittedAt - fromMs) / 1000;
    const before = submittedS < -BEFORE_S;
    jobs.set(row.job, { spec, submittedS, attempts: [], waits: [], ended: null, before });
  }
  const attempts = new Map<string, AttemptSeen>();
  const machineOf = (row: TraceRow): MachineSeen | undefined => {
    const id = row.machine ?? '';
    let seen = machines.get(id);
    if (!seen && (row.kind === 'rented' || row.kind === 'joined')) {
      const { type, zone, spot } = detailOf(row) as { type: string; zone: string; spot: boolean };
      const blank = { rentedS: null, joinedS: null, notice: null, lostS: null, faultyS: null, returned: null };
      machines.set(id, (seen = { id, type, zone, spot, ...blank }));
    }
    return seen;
  };
  const attemptOf = (row: TraceRow): AttemptSeen | undefined => {
    const { job, index, attempt, machine } = row;
    if (job === null || index === null || attempt === null || machine === null) return undefined;
    const run = jobs.get(job);
    if (!run) {
      unknownJobs.add(job);
      return undefined;
    }
    const key = `${job}/${index}#${attempt}`;
    let seen = attempts.get(key);
    if (!seen) {
      seen = { index, attempt, machine, beganS: null, leftS: null, why: null, stopping: null };
      attempts.set(key, seen);
      run.attempts.push(seen);
    }
    return seen;
  };
  for (const row of rows) {
    const atS = sinceS(row);
    const life = lives.get(`${row.node} ${row.life}`);
    if (life) life.lastS = Math.max(life.lastS, atS);
    else lives.set(`${row.node} ${row.life}`, { node: row.node, life: row.life, fromS: atS, lastS: atS });
    switch (row.kind) {
      case 'ended': {
        const job = jobs.get(row.job ?? '');
        const phase = detailOf(row)['phase'] === 'cancelled' ? 'cancelled' : 'done';
        if (job) job.ended = { atS, phase };
        break;
      }
      case 'waits':
        jobs.get(row.job ?? '')?.waits.push({ atS, missing: Number(detailOf(row)['missing'] ?? 0) });
        break;
      case 'began': {
        const seen = attemptOf(row);
        if (seen && detailOf(row)['adopted'] !== true) seen.beganS = atS;
        break;
      }
      case 'stopping': {
        const seen = attemptOf(row);
        if (seen) seen.stopping = String(detailOf(row)['why'] ?? '');
        break;
      }
      case 'left': {
        const seen = attemptOf(row);
        if (seen) [seen.leftS, seen.why] = [atS, String(detailOf(row)['why'] ?? '')];
        break;
      }
      case 'rented':
      case 'joined': {
        const seen = machineOf(row);
        if (seen && row.kind === 'rented') seen.rentedS = atS;
        else if (seen) seen.joinedS = atS;
        break;
      }
      case 'notice': {
        const seen = machineOf(row);
        if (seen) seen.notice = { atS, leftS: Number(detailOf(row)['leftS'] ?? 0) };
        break;
      }
      case 'lost': {
        const seen = machineOf(row);
        if (seen) seen.lostS = atS;
        break;
      }
      case 'faulty': {
        const seen = machineOf(row);
        if (seen) seen.faultyS = atS;
        break;
      }
      case 'returned': {
        const seen = machineOf(row);
        if (seen) seen.returned = { atS, why: String(detailOf(row)['why'] ?? '') };
        break;
      }
      case 'short':
        shortages.push({ atS, kind: kindOf(detailOf(row) as unknown as MachineSeen) });
        break;
      default:
        break;
    }
  }
  const first = new Map<string, LifeSeen>();
  for (const life of lives.values()) if (!first.has(life.node)) first.set(life.node, life);
  const ups = new Set(rows.filter((row) => row.kind === 'up').map((row) => `${row.node} ${row.life}`));
  return {
    ...{ fromMs, lengthS: (trace.toMs - fromMs) / 1000, facts: readFacts(trace.facts), jobs, machines },
    cold: [...first.values()].every(({ node, life, fromS }) => ups.has(`${node} ${life}`) && fromS * 1000 < COLD_MS),
    ...{ lives: [...lives.values()], shortages, gaps: trace.gaps, unknownJobs },
  };
}
