import { encodeGroupedProgress, groupedProgressBytes, groupedProgressWriter } from '../jobs/index.js';
import { millis, type BitSet, type JobId, type Millis } from '../kernel/index.js';
import { progressKey, reread, Urgency, type Change, type Guard } from '../state/index.js';
import type { HeldShardState } from './held-shard-state.js';
import { applyGroupedProgress } from './apply-grouped-progress.js';
import type { JobRun } from './job-run.js';

/**
 * A write of the group is one change for any number of jobs. With 1000 ms, the group used more of the write rate than
 * the separate records of 30 jobs.
 */
const GROUP_WRITE_INTERVAL_MS = 2000;
/** Larger jobs keep their progress in their own records, as each write of the group contains all of it. */
const MAX_TASKS_PER_GROUPED_JOB = 4000;
/** Part of the state service's value size limit that a group may fill. */
const MAX_VALUE_FILL_RATIO = 0.6;

/** Progress to write as a group, and the jobs that do not fit into it and need their own record written. */
export interface GroupPlan {
  readonly jobs: ReadonlyMap<JobId, BitSet>;
  readonly own: ReadonlySet<JobRun>;
}

/** Whether more tasks are done than the job's own record says. */
export const isAheadOfRecord = (run: JobRun): boolean => run.done.count > run.record.done.count;

/** Whether an open, incomplete job has done tasks that are not stored anywhere yet. */
const hasUnstoredProgress = (run: JobRun | undefined): boolean =>
  run !== undefined && !run.ended && !run.complete && run.done.count > run.stored.count;

/** Selects the jobs whose progress goes into the group, oldest first, up to `maxBytes`. Pure. */
export function planGroupedProgress(runs: Iterable<JobRun>, maxBytes: number): GroupPlan {
  const jobs = new Map<JobId, BitSet>();
  const jobsForOwnRecord = new Set<JobRun>();
  let bytes = 0;
  for (const run of runs) {
    if (run.ended || run.complete || !isAheadOfRecord(run)) continue;
    const size = groupedProgressBytes(run.id, run.spec.tasks);
    if (run.spec.tasks > MAX_TASKS_PER_GROUPED_JOB || bytes + size > maxBytes) {
      jobsForOwnRecord.add(run);
      continue;
    }
    bytes += size;
    jobs.set(run.id, run.done);
  }
  return { jobs, own: jobsForOwnRecord };
}

/**
 * Stores the progress of a shard's jobs in one record: one change every two seconds for all jobs instead of one per
 * job. It is enabled only once every controller reads the record: one that does not would start done tasks again, which
 * end as done at once. When it is disabled, each job's own record is written before the group is removed.
 */
export class GroupedProgress {
  private writing = false;
  private lastAttemptAt: Millis;

  constructor(private readonly held: HeldShardState) {
    this.lastAttemptAt = millis(held.since - GROUP_WRITE_INTERVAL_MS);
  }

  private get key(): string {
    return progressKey(this.held.shard);
  }

  /** Merges a group that another holder wrote, before the claim or seen late: tasks that it lists as done are done. */
  onChange(change: Change): void {
    if (change.removed || groupedProgressWriter(change.value) === this.held.deps.incarnation) return;
    for (const run of this.held.jobs.values()) applyGroupedProgress(run, change.value);
  }

  /** Runs one round and returns the test for jobs whose progress has to go into their own records. */
  storeDue(now: Millis): (run: JobRun) => boolean {
    const { deps } = this.held;
    const due = !this.writing && now - this.lastAttemptAt >= GROUP_WRITE_INTERVAL_MS;
    if (!deps.groupsProgress()) {
      if (due && deps.mirror.get(this.key)) this.removeGroup(now);
      return isAheadOfRecord;
    }
    if (!due || !this.anyUnstoredProgress) return this.needsOwnWrite;
    const { jobs, own: jobsForOwnRecord } = planGroupedProgress(
      this.held.jobs.values(),
      MAX_VALUE_FILL_RATIO * deps.state.limits.maxValueBytes,
    );
    this.jobsForOwnRecord = jobsForOwnRecord;
    // All new progress may belong to jobs that do not fit into the group.
    if (![...jobs.keys()].some((id) => hasUnstoredProgress(this.held.jobs.get(id)))) return this.needsOwnWrite;
    this.lastAttemptAt = now;
    void this.write(new Map([...jobs].map(([id, done]) => [id, done.copy()])));
    return this.needsOwnWrite;
  }

  /** Whether any job has done tasks that are not stored yet. */
  private get anyUnstoredProgress(): boolean {
    for (const run of this.held.jobs.values()) if (hasUnstoredProgress(run)) return true;
    return false;
  }

  /** Jobs that did not fit into the last planned group. */
  private jobsForOwnRecord: ReadonlySet<JobRun> = new Set();
  private readonly needsOwnWrite = (run: JobRun): boolean =>
    this.jobsForOwnRecord.has(run) && run.done.count > run.stored.count;

  /** Writes the group and marks its tasks as stored. */
  private async write(jobs: ReadonlyMap<JobId, BitSet>): Promise<void> {
    const { deps } = this.held;
    const value = encodeGroupedProgress({ by: deps.incarnation, jobs });
    if (!(await this.put([{ put: this.key, value }], value))) return;
    for (const [id, done] of jobs) {
      const run = this.held.jobs.get(id);
      if (run && !run.ended) run.stored = done;
    }
    deps.requestRound();
  }

  /** Removes the group once every job's own record contains the progress that the group holds. */
  private removeGroup(now: Millis): void {
    this.lastAttemptAt = now;
    for (const run of this.held.jobs.values()) if (!run.ended && isAheadOfRecord(run)) return;
    void this.put([{ remove: this.key }], undefined);
  }

  /** Writes or removes the group under a guard on its known version. Returns whether that succeeded. */
  private async put(
    ops: readonly [{ readonly put: string; readonly value: unknown } | { readonly remove: string }],
    value: unknown,
  ): Promise<boolean> {
    const { state, mirror } = this.held.deps;
    const guards: Guard[] = [{ key: this.key, version: mirror.get(this.key)?.version ?? 0 }];
    this.writing = true;
    try {
      const result = await state.txn(Urgency.progress, guards, ops);
      if (result.kind === 'ok') {
        mirror.apply({ key: this.key, value, removed: value === undefined, version: result.revision });
        return true;
      }
      // Another holder wrote, or an earlier write of unknown outcome was applied: the next write is guarded by the
      // current version.
      if (result.kind !== 'refused') await reread(state, mirror, this.key);
      return false;
    } finally {
      this.writing = false;
    }
  }
}
