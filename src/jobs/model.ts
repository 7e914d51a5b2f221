/** The job model and the form in which jobs are stored. */
import {
  BitSet,
  isObject,
  jobId,
  machineId,
  type JobId,
  type MachineId,
  type ShardName,
  shardName,
  type WallMillis,
  wallMillis,
} from '../kernel/index.js';
import { isNewerFormat, unknownFields, type RecordFields } from '../state/index.js';

/**
 * `array`: independent tasks; `gang`: tasks that start together; `service`: tasks that run until the job is cancelled.
 */
export type JobKind = 'array' | 'gang' | 'service';

/** Scheduling priorities; a higher value is scheduled first. */
export const Priority = { low: 0, normal: 1, high: 2, production: 3 } as const;
export type Priority = (typeof Priority)[keyof typeof Priority];

/** Resources that each task of a job requests. */
export interface TaskResources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** What a user asks for: the immutable description of a job. Names that end in `S` are in seconds. */
export interface JobSpec extends TaskResources {
  readonly id: JobId;
  readonly jobClass: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  /** Number of tasks. */
  readonly tasks: number;
  /** Names of the machine types that the tasks may run on; null: any. */
  readonly types: readonly string[] | null;
  /** The only zone that the tasks may run in; null: any. */
  readonly zone: string | null;
  /** All tasks must run in the same zone. */
  readonly oneZone: boolean;
  /** At most half of the tasks, rounded up, may run in one zone. */
  readonly spread: boolean;
  /** Whether tasks may run on spot machines. */
  readonly spot: boolean;
  readonly image: string;
  /** Size of the image that a machine fetches before it runs a task. */
  readonly imageGb: number;
  /** Expected run time of a task. */
  readonly estimateS: number;
  /** Interval between checkpoints; 0: none. */
  readonly checkpointS: number;
  /** Time that saving a checkpoint takes. */
  readonly saveS: number;
  /** Deadline of the whole job, from its submission; null: none. */
  readonly deadlineS: number | null;
}

/** A stored job that has not ended. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly shard: ShardName;
  readonly submittedAt: WallMillis;
  /** Numbers of the tasks that are done. */
  readonly done: BitSet;
  /** Dependencies: jobs that must be done before any task of this one starts, less those done when it was accepted. */
  readonly awaits: readonly JobId[];
  /** Machines on which it failed in other shards; absent once a task of it has worked. */
  readonly failedOn?: readonly MachineId[];
  /** Fields that a later release has added to the record; they are kept when the record is rewritten. */
  readonly rest?: RecordFields;
}

/**
 * The newest version of the job record that this program reads. A job with dependencies is stored as version 2 until it
 * ends, so that a release that only reads version 1 ignores it; such a release would start the job too early. Its spec
 * is stored as `job` instead of `spec`, because the first release doesn't check versions but treats a record without
 * `spec` as no job at all. A job without dependencies stays at version 1.
 */
export const JOB_FORMAT = 2;
const KNOWN_FIELDS: ReadonlySet<string> = new Set([
  'spec',
  'job',
  'awaits',
  'shard',
  'submittedAt',
  'done',
  'born',
  'failedOn',
]);

/** Whether a job record is of a newer version than this program reads. Its holder may run it, so it is left alone. */
export const isNewerJobFormat = (value: unknown): boolean => isNewerFormat(value, JOB_FORMAT);

/** The phase of a job that has ended. */
export type FinalPhase = 'done' | 'cancelled';

/** The final record of a job: how it ended. */
export interface JobFinal {
  readonly phase: FinalPhase;
  /** Number of tasks that were done. */
  readonly done: number;
  /** When the job ended; null if the record was written by a release that predates this field. */
  readonly at: WallMillis | null;
}

/** The phase of a job as users see it. */
export type Phase = 'queued' | 'running' | FinalPhase;

/** State of a job as reported to users; `done` and `running` count tasks. */
export interface JobView {
  readonly id: JobId;
  readonly phase: Phase;
  readonly done: number;
  readonly running: number;
  /** Dependencies of an open job that are not done yet, as far as this node knows. */
  readonly awaits?: readonly JobId[];
}

const JOB_ID_PREFIX = 'j-';
/** Encoded without the common id prefix, so that a list of a hundred ids leaves room in a value of limited size. */
const encodeDependencies = (ids: readonly JobId[]): string => ids.map((id) => id.slice(JOB_ID_PREFIX.length)).join(' ');
const decodeDependencies = (value: unknown): JobId[] =>
  typeof value === 'string' && value !== '' ? value.split(' ').map((suffix) => jobId(`${JOB_ID_PREFIX}${suffix}`)) : [];

const decodeMachines = (value: unknown): MachineId[] =>
  typeof value === 'string' && value !== '' ? value.split(' ').map((id) => machineId(id)) : [];

/** Decodes only the dependencies of a stored job; empty if the record has a newer version. */
export const dependenciesOf = (value: unknown): JobId[] =>
  isObject(value) && !isNewerJobFormat(value) ? decodeDependencies(value['awaits']) : [];

/** Encodes a job record for the state service, in the oldest version that can express it. */
export function encodeJobRecord(record: JobRecord): unknown {
  return {
    ...record.rest,
    ...(record.awaits.length === 0
      ? { spec: record.spec }
      : { v: JOB_FORMAT, job: record.spec, awaits: encodeDependencies(record.awaits) }),
    shard: record.shard,
    submittedAt: record.submittedAt,
    done: record.done.encode(),
    ...(record.failedOn && record.failedOn.length > 0 ? { failedOn: record.failedOn.join(' ') } : {}),
  };
}

/** Decoded records by stored value. Every poll reads cached values, so each is decoded once while it is referenced. */
const decodedRecords = new WeakMap<object, JobRecord | null>();

/** Decodes a stored job; null if malformed or of a newer version. Callers share the result and must not modify it. */
export function decodeJobRecord(value: unknown): JobRecord | null {
  if (!isObject(value)) return null;
  const cached = decodedRecords.get(value);
  if (cached !== undefined) return cached;
  const record = parseRecord(value);
  decodedRecords.set(value, record);
  return record;
}

function parseRecord(value: unknown): JobRecord | null {
  if (!isObject(value) || isNewerJobFormat(value)) return null;
  const spec = decodeJobSpec(value);
  if (!spec) return null;
  const shard = value['shard'];
  const submittedAt = value['submittedAt'];
  const done = value['done'];
  if (typeof spec.tasks !== 'number') return null;
  if (typeof shard !== 'string' || typeof submittedAt !== 'number' || typeof done !== 'string') return null;
  return {
    spec,
    shard: shardName(shard),
    submittedAt: wallMillis(submittedAt),
    done: BitSet.decode(spec.tasks, done),
    awaits: decodeDependencies(value['awaits']),
    failedOn: decodeMachines(value['failedOn']),
    rest: unknownFields(value, KNOWN_FIELDS),
  };
}

/** Decodes only the spec of a stored job, for callers that don't need to know which tasks are done. */
export function decodeJobSpec(value: unknown): JobSpec | null {
  const spec = isObject(value) ? (value['spec'] ?? value['job']) : null;
  return isObject(spec) && typeof spec['id'] === 'string' ? (spec as unknown as JobSpec) : null;
}

/**
 * Decodes the final record of a job; null if it is malformed. Final records are kept forever, so `phase` and `done`
 * must keep their meaning in every release; `at` was added later.
 */
export function decodeJobFinal(value: unknown): JobFinal | null {
  if (!isObject(value)) return null;
  const phase = value['phase'];
  const done = value['done'];
  if ((phase !== 'done' && phase !== 'cancelled') || typeof done !== 'number') return null;
  const at = value['at'];
  return { phase, done, at: typeof at === 'number' ? wallMillis(at) : null };
}

/** Maximum number of a job's tasks in one zone. */
export const maxTasksPerZone = (spec: JobSpec): number => (spec.spread ? Math.ceil(spec.tasks / 2) : spec.tasks);
