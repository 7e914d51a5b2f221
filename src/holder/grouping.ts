import { encodeGrouped, groupedBytes, writerOf } from '../jobs/index.js';
import { millis, type Bits, type JobId, type Millis } from '../kernel/index.js';
import { progressKey, reread, Urgency, type Change, type Guard } from '../state/index.js';
import type { HeldShard } from './held.js';
import { recall } from './recall.js';
import type { JobRun } from './run.js';

/** One record for all is a change however many there are: at a second apart it was more than thirty jobs' own take. */
const GROUP_EVERY_MS = 2000;
/** Larger jobs keep their progress in their own records: each write of the group holds all of it. */
const MOST_TASKS = 4000;
/** How much of what the state service takes as one value a group may fill. */
const MOST_OF_A_VALUE = 0.6;

/** What is to be written of a group, and which jobs found no room in it. */
export interface Grouping {
  readonly jobs: ReadonlyMap<JobId, Bits>;
  readonly own: ReadonlySet<JobRun>;
}

/** Done beyond what the job's own record says. */
export const beyondRecord = (run: JobRun): boolean => run.done.count > run.record.done.count;

const isNew = (run: JobRun | undefined): boolean =>
  run !== undefined && !run.ended && !run.complete && run.done.count > run.stored.count;

/** Which jobs' progress goes into the group, the oldest first as far as the room lasts. Pure. */
export function planGroup(runs: Iterable<JobRun>, mostBytes: number): Grouping {
  const jobs = new Map<JobId, Bits>();
  const own = new Set<JobRun>();
  let bytes = 0;
  for (const run of runs) {
    if (run.ended || run.complete || !beyondRecord(run)) continue;
    const size = groupedBytes(run.id, run.spec.tasks);
    if (run.spec.tasks > MOST_TASKS || bytes + size > mostBytes) {
      own.add(run);
      continue;
    }
    bytes += size;
    jobs.set(run.id, run.done);
  }
  return { jobs, own };
}

/**
 * Progress of a shard's jobs in one record: one change every two seconds for all, where each job's own record takes one
 * for each of them. On only once every controller reads it; one that doesn't would start done tasks again, which end
 * as done at once. On the way back each job's own record is written, then the group goes.
 */
export class GroupedProgress {
  private writing = false;
  private triedAt: Millis;

  constructor(private readonly held: HeldShard) {
    this.triedAt = millis(held.since - GROUP_EVERY_MS);
  }

  private get key(): string {
    return progressKey(this.held.shard);
  }

  /** Somebody else's, late or from before a claim: what it knows to be done is done. */
  onChange(change: Change): void {
    if (change.removed || writerOf(change.value) === this.held.deps.incarnation) return;
    for (const run of this.held.jobs.values()) recall(run, change.value);
  }

  /** One round: what is to be stored in the jobs' own records. */
  store(now: Millis): (run: JobRun) => boolean {
    const { deps } = this.held;
    const due = !this.writing && now - this.triedAt >= GROUP_EVERY_MS;
    if (!deps.grouped()) {
      if (due && deps.mirror.get(this.key)) this.putBack(now);
      return beyondRecord;
    }
    if (!due || !this.news) return this.ownOnly;
    const { jobs, own } = planGroup(this.held.jobs.values(), MOST_OF_A_VALUE * deps.state.limits.valueBytes);
    this.own = own;
    // All that is new may be of jobs that found no room in it.
    if (![...jobs.keys()].some((id) => isNew(this.held.jobs.get(id)))) return this.ownOnly;
    this.triedAt = now;
    void this.write(new Map([...jobs].map(([id, done]) => [id, done.copy()])));
    return this.ownOnly;
  }

  /** Something is done that isn't stored yet. */
  private get news(): boolean {
    for (const run of this.held.jobs.values()) if (isNew(run)) return true;
    return false;
  }

  private own: ReadonlySet<JobRun> = new Set();
  private readonly ownOnly = (run: JobRun): boolean => this.own.has(run) && run.done.count > run.stored.count;

  private async write(jobs: ReadonlyMap<JobId, Bits>): Promise<void> {
    const { deps } = this.held;
    const value = encodeGrouped({ by: deps.incarnation, jobs });
    if (!(await this.put([{ put: this.key, value }], value))) return;
    for (const [id, done] of jobs) {
      const run = this.held.jobs.get(id);
      if (run && !run.ended) run.stored = done;
    }
    deps.nudge();
  }

  /** Once every job's own record holds what the group does, the group is no more needed. */
  private putBack(now: Millis): void {
    this.triedAt = now;
    for (const run of this.held.jobs.values()) if (!run.ended && beyondRecord(run)) return;
    void this.put([{ remove: this.key }], undefined);
  }

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
      // Another's write, or our own of unknown outcome: the next one is guarded by what is there now.
      if (result.kind !== 'refused') await reread(state, mirror, this.key);
      return false;
    } finally {
      this.writing = false;
    }
  }
}
