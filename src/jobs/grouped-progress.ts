/** Grouped progress: the record that holds the progress of all jobs of a shard. */
import { asString, BitSet, isObject, type Incarnation, type JobId } from '../kernel/index.js';
import { isNewerFormat, type RecordFields } from '../state/index.js';

/** The newest version of the grouped progress record that this program reads, and the one that it writes. */
export const PROGRESS_FORMAT = 1;

/**
 * Tasks that are done beyond those in the jobs' own records, in one record for all jobs of a shard. A set bit stays
 * true while its job is open, whoever wrote it and however late, because a done task stays done. The record can
 * therefore be merged into the known progress at any time. If it is lost, a done task that is started again ends as
 * done at once.
 */
export interface GroupedProgress {
  /** Incarnation of the node that wrote the record. */
  readonly by: Incarnation;
  /** Numbers of the tasks that are done, by job. */
  readonly jobs: ReadonlyMap<JobId, BitSet>;
}

/** Encodes a grouped progress record for the state service. */
export const encodeGroupedProgress = ({ by, jobs }: GroupedProgress): RecordFields => ({
  by,
  jobs: Object.fromEntries([...jobs].map(([id, done]) => [id, done.encode()])),
});

/** Incarnation that wrote a grouped progress record; null if this program can't read the record. */
export function groupedProgressWriter(value: unknown): string | null {
  if (!isObject(value) || isNewerFormat(value, PROGRESS_FORMAT)) return null;
  return asString(value['by']) ?? null;
}

/**
 * The done tasks of one job in a grouped progress record; null if it has none for the job. `tasks` is the job's number
 * of tasks. The record is not decoded as a whole, because callers ask for one job at a time.
 */
export function groupedProgressOf(value: unknown, id: JobId, tasks: number): BitSet | null {
  if (!isObject(value) || isNewerFormat(value, PROGRESS_FORMAT) || !isObject(value['jobs'])) return null;
  const text = value['jobs'][id];
  return typeof text === 'string' ? BitSet.decode(tasks, text) : null;
}

/** Size of one job's entry in the record: its id, its bits in base64, and 6 bytes of JSON punctuation. */
export const groupedProgressBytes = (id: JobId, tasks: number): number =>
  Buffer.byteLength(id) + 4 * Math.ceil(tasks / 24) + 6;
