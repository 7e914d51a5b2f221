import { asString, Bits, isObject, type Incarnation, type JobId } from '../kernel/index.js';
import { isForeign, type Fields } from '../state/index.js';

/** The newest version of a shard's grouped progress that this program reads, and the one it writes. */
export const PROGRESS_FORMAT = 1;

/**
 * What is done of a shard's jobs beyond what their own records say, in one record for all of them. Each bit is a fact
 * that stays true for as long as its job is open, whoever wrote it and however late: what is done stays done. So it
 * may be added to what is known at any time, and if it is lost, a task that is started again ends as done at once.
 */
export interface GroupedRecord {
  /** Who wrote it. */
  readonly by: Incarnation;
  readonly jobs: ReadonlyMap<JobId, Bits>;
}

export const encodeGrouped = ({ by, jobs }: GroupedRecord): Fields => ({
  by,
  jobs: Object.fromEntries([...jobs].map(([id, done]) => [id, done.encode()])),
});

/** Who wrote it; null when this program can't read it. */
export function writerOf(value: unknown): string | null {
  if (!isObject(value) || isForeign(value, PROGRESS_FORMAT)) return null;
  return asString(value['by']) ?? null;
}

/** What it says of one job of so many tasks; null: nothing. Not decoded as a whole: a job is asked for at a time. */
export function groupedOf(value: unknown, id: JobId, tasks: number): Bits | null {
  if (!isObject(value) || isForeign(value, PROGRESS_FORMAT) || !isObject(value['jobs'])) return null;
  const text = value['jobs'][id];
  return typeof text === 'string' ? Bits.decode(tasks, text) : null;
}

/** How many bytes of the record one job takes: its name, its bits as text, and what stands between. */
export const groupedBytes = (id: JobId, tasks: number): number => Buffer.byteLength(id) + 4 * Math.ceil(tasks / 24) + 6;
