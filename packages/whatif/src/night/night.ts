import { parseDetail, type Gap, type Trace, type TraceRow } from '../../../trace/src/index.js';
import type { JobSpec } from '../../../../src/jobs/index.js';
import { parseFacts, type PlatformFacts } from './platform-facts.js';

/** One attempt to run a task. Times are in seconds since the night began; null means not recorded. */
export interface RecordedAttempt {
  readonly index: number;
  readonly attempt: number;
  readonly machine: string;
  /** Start of the task; null if no start was recorded, or only its adoption by another controller. */
  beganS: number | null;
  /** Time at which the task left the machine. */
  leftS: number | null;
  /** Reason why the task left the machine. */
  why: string | null;
  /** Reason given with the order to stop. */
  stopping: string | null;
}

/** One job of a recorded night. Times are in seconds since the night began. */
export interface RecordedJob {
  readonly spec: JobSpec;
  readonly submittedS: number;
  readonly attempts: RecordedAttempt[];
  /** Times at which the job was reported to wait for room, with the number of tasks without room. */
  readonly waits: { readonly atS: number; readonly missing: number }[];
  /** End of the job, or null if it was still open when the night ended. */
  ended: { readonly atS: number; readonly phase: 'done' | 'cancelled' } | null;
  /** Submitted before the recording began, so the record of the job is incomplete. */
  readonly before: boolean;
}

/** One machine of a recorded night. Times are in seconds since the night began; null means not recorded. */
export interface RecordedMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Rental of the machine, or null if it was rented before the night. */
  rentedS: number | null;
  /** Time at which the machine joined a block of machines. */
  joinedS: number | null;
  /** Notice that the cloud takes the machine back; `leftS` is the remaining time in seconds. */
  notice: { readonly atS: number; readonly leftS: number } | null;
  /** Time at which the machine was declared lost, after its lease had expired. */
  lostS: number | null;
  /** Time at which the machine was declared faulty because tasks failed on it. */
  faultyS: number | null;
  /** Return of the machine to the cloud, with the reason. */
  returned: { readonly atS: number; readonly why: string } | null;
}

/**
 * One incarnation of a controller process, from its first to its last recorded event. Times are in seconds since the
 * night began.
 */
export interface ControllerIncarnation {
  readonly node: string;
  /** Id of the incarnation, unique per node. */
  readonly life: string;
  readonly fromS: number;
  lastS: number;
}

/** A night: the recorded period of a trace, with the controllers' events grouped by job and by machine. */
export interface Night {
  /** Wall-clock time of the beginning, in milliseconds since the epoch. */
  readonly fromMs: number;
  readonly lengthS: number;
  /** The recording covers the start of every controller, rather than beginning while they run. */
  readonly coldStart: boolean;
  /** Configuration of the platform. */
  readonly facts: PlatformFacts;
  readonly jobs: ReadonlyMap<string, RecordedJob>;
  readonly machines: ReadonlyMap<string, RecordedMachine>;
  readonly incarnations: readonly ControllerIncarnation[];
  /** Rentals that failed because the cloud had no machine of the kind left. */
  readonly shortages: readonly { readonly atS: number; readonly kind: string }[];
  /** Known gaps in the trace. */
  readonly gaps: readonly Gap[];
  /** Jobs with recorded tasks but without a recorded description. */
  readonly unknownJobs: ReadonlySet<string>;
}

/** A night is a cold start if every controller starts within this time after the night began. */
const COLD_START_WINDOW_MS = 5000;
/** A job submitted more than this time before the night began counts as open before it. */
const OPEN_BEFORE_MARGIN_S = 2;

/** Returns the key of a machine kind: type, zone and whether it is a spot machine. */
export const kindKeyOf = ({ type, zone, spot }: Pick<RecordedMachine, 'type' | 'zone' | 'spot'>): string =>
  `${type} ${zone} ${spot ? 'spot' : 'ordinary'}`;

/** Groups the events of a trace by job, machine and controller incarnation. */
export function readNight(trace: Trace): Night {
  const { fromMs, rows } = trace;
  const rowTimeS = (row: TraceRow): number => (row.at - fromMs) / 1000;
  const jobs = new Map<string, RecordedJob>();
  const machines = new Map<string, RecordedMachine>();
  const incarnations = new Map<string, ControllerIncarnation>();
  const shortages: { atS: number; kind: string }[] = [];
  const unknownJobs = new Set<string>();
  // Reads the job descriptions first: clock skew between controllers can order other events of a job before them.
  for (const row of rows) {
    if (row.kind !== 'job' || row.job === null) continue;
    const { spec, submittedAt } = parseDetail(row) as { spec?: JobSpec; submittedAt?: number };
    if (!spec || typeof submittedAt !== 'number') continue;
    const submittedS = (submittedAt - fromMs) / 1000;
    const before = submittedS < -OPEN_BEFORE_MARGIN_S;
    jobs.set(row.job, { spec, submittedS, attempts: [], waits: [], ended: null, before });
  }
  const attempts = new Map<string, RecordedAttempt>();
  const recordedMachine = (row: TraceRow): RecordedMachine | undefined => {
    const id = row.machine ?? '';
    let found = machines.get(id);
    if (!found && (row.kind === 'rented' || row.kind === 'joined')) {
      const { type, zone, spot } = parseDetail(row) as { type: string; zone: string; spot: boolean };
      const unrecorded = { rentedS: null, joinedS: null, notice: null, lostS: null, faultyS: null, returned: null };
      machines.set(id, (found = { id, type, zone, spot, ...unrecorded }));
    }
    return found;
  };
  const recordedAttempt = (row: TraceRow): RecordedAttempt | undefined => {
    const { job, index, attempt, machine } = row;
    if (job === null || index === null || attempt === null || machine === null) return undefined;
    const recordedJob = jobs.get(job);
    if (!recordedJob) {
      unknownJobs.add(job);
      return undefined;
    }
    const key = `${job}/${index}#${attempt}`;
    let found = attempts.get(key);
    if (!found) {
      found = { index, attempt, machine, beganS: null, leftS: null, why: null, stopping: null };
      attempts.set(key, found);
      recordedJob.attempts.push(found);
    }
    return found;
  };
  for (const row of rows) {
    const atS = rowTimeS(row);
    const incarnation = incarnations.get(`${row.node} ${row.life}`);
    if (incarnation) incarnation.lastS = Math.max(incarnation.lastS, atS);
    else incarnations.set(`${row.node} ${row.life}`, { node: row.node, life: row.life, fromS: atS, lastS: atS });
    switch (row.kind) {
      case 'ended': {
        const job = jobs.get(row.job ?? '');
        const phase = parseDetail(row)['phase'] === 'cancelled' ? 'cancelled' : 'done';
        if (job) job.ended = { atS, phase };
        break;
      }
      case 'waits':
        jobs.get(row.job ?? '')?.waits.push({ atS, missing: Number(parseDetail(row)['missing'] ?? 0) });
        break;
      case 'began': {
        const found = recordedAttempt(row);
        if (found && parseDetail(row)['adopted'] !== true) found.beganS = atS;
        break;
      }
      case 'stopping': {
        const found = recordedAttempt(row);
        if (found) found.stopping = String(parseDetail(row)['why'] ?? '');
        break;
      }
      case 'left': {
        const found = recordedAttempt(row);
        if (found) [found.leftS, found.why] = [atS, String(parseDetail(row)['why'] ?? '')];
        break;
      }
      case 'rented':
      case 'joined': {
        const found = recordedMachine(row);
        if (found && row.kind === 'rented') found.rentedS = atS;
        else if (found) found.joinedS = atS;
        break;
      }
      case 'notice': {
        const found = recordedMachine(row);
        if (found) found.notice = { atS, leftS: Number(parseDetail(row)['leftS'] ?? 0) };
        break;
      }
      case 'lost': {
        const found = recordedMachine(row);
        if (found) found.lostS = atS;
        break;
      }
      case 'faulty': {
        const found = recordedMachine(row);
        if (found) found.faultyS = atS;
        break;
      }
      case 'returned': {
        const found = recordedMachine(row);
        if (found) found.returned = { atS, why: String(parseDetail(row)['why'] ?? '') };
        break;
      }
      case 'short':
        shortages.push({ atS, kind: kindKeyOf(parseDetail(row) as unknown as RecordedMachine) });
        break;
      default:
        break;
    }
  }
  const firstOfNode = new Map<string, ControllerIncarnation>();
  for (const incarnation of incarnations.values())
    if (!firstOfNode.has(incarnation.node)) firstOfNode.set(incarnation.node, incarnation);
  const startedIncarnations = new Set(rows.filter((row) => row.kind === 'up').map((row) => `${row.node} ${row.life}`));
  return {
    ...{ fromMs, lengthS: (trace.toMs - fromMs) / 1000, facts: parseFacts(trace.facts), jobs, machines },
    coldStart: [...firstOfNode.values()].every(
      ({ node, life, fromS }) => startedIncarnations.has(`${node} ${life}`) && fromS * 1000 < COLD_START_WINDOW_MS,
    ),
    ...{ incarnations: [...incarnations.values()], shortages, gaps: trace.gaps, unknownJobs },
  };
}
