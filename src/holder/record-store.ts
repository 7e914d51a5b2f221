import { GroupedProgress } from './grouped-progress.js';
import type { HeldShardState } from './held-shard-state.js';
import { decodeJobRecord, encodeJobRecord } from '../jobs/index.js';
import { millis, type Millis } from '../kernel/index.js';
import { Urgency, jobKey, reread } from '../state/index.js';
import type { JobRun } from './job-run.js';

/** Minimum time between progress writes of one job. */
const PROGRESS_WRITE_INTERVAL_MS = 1500;
/** Jobs whose progress is written at a time. The others wait, so that their next write has their latest progress. */
const MAX_CONCURRENT_PROGRESS_WRITES = 2;
/** Delay before a failed write of a completion is retried. */
const FINISH_RETRY_MS = 400;

/** Writes completions and progress of a shard's jobs to the state service. */
export class RecordStore {
  private progressWrites = 0;
  /** Progress that is stored for all jobs of the shard in one record. */
  readonly grouped: GroupedProgress;

  constructor(private readonly held: HeldShardState) {
    this.grouped = new GroupedProgress(held);
  }

  /**
   * Writes completions at once, and progress with the remaining write rate, the longest unsaved job first. Losing
   * progress costs little, so no other write ever waits for it.
   */
  storeDue(now: Millis): void {
    const needsOwnWrite = this.grouped.storeDue(now);
    const unsaved: JobRun[] = [];
    for (const run of this.held.jobs.values()) {
      if (run.ended || run.storeInProgress || run.moving) continue;
      if (run.complete) {
        if (now >= run.finishNotBefore) void this.trackStore(run, () => this.finish(run));
      } else if (needsOwnWrite(run) && now - run.lastStoredAt >= PROGRESS_WRITE_INTERVAL_MS) unsaved.push(run);
    }
    if (unsaved.length === 0 || this.progressWrites >= MAX_CONCURRENT_PROGRESS_WRITES) return;
    unsaved.sort((a, b) => a.lastStoredAt - b.lastStoredAt);
    for (const run of unsaved.slice(0, MAX_CONCURRENT_PROGRESS_WRITES - this.progressWrites)) {
      this.progressWrites += 1;
      void this.trackStore(run, () => this.storeProgress(run)).finally(() => {
        this.progressWrites -= 1;
        this.held.deps.requestRound();
      });
    }
  }

  /** Runs a write of a job's record, during which `storeInProgress` is set. */
  async trackStore(run: JobRun, write: () => Promise<void>): Promise<void> {
    run.storeInProgress = true;
    try {
      await write();
    } finally {
      run.lastStoredAt = this.held.deps.runtime.now();
      run.storeInProgress = false;
    }
  }

  /** Writes the completion of a job. */
  private async finish(run: JobRun): Promise<void> {
    const result = await this.held.deps.registry.storeFinal(
      run.id,
      run.version,
      { phase: 'done', done: run.done.count, at: this.held.deps.runtime.wall() },
      2000,
    );
    if (result === 'ok') {
      if (!run.ended) this.held.endRun(run);
      this.held.deps.log.info({ job: run.id }, 'job done');
      return;
    }
    run.finishNotBefore = millis(this.held.deps.runtime.now() + FINISH_RETRY_MS);
    if (result === 'conflict') await this.reread(run);
  }

  /** Writes the done tasks of a job to its own record. */
  private async storeProgress(run: JobRun): Promise<void> {
    const done = run.done.copy();
    const record = { ...run.record, done };
    const value = { ...(encodeJobRecord(record) as object), born: run.createdAtRevision };
    const key = jobKey(run.id);
    const result = await this.held.deps.state.txn(
      Urgency.progress,
      [{ key, version: run.version }],
      [{ put: key, value }],
    );
    if (result.kind === 'ok') {
      this.held.deps.mirror.apply({ key, value, removed: false, version: result.revision });
      run.version = result.revision;
      run.record = record;
      run.stored = done;
    } else if (result.kind === 'conflict' || result.kind === 'unknown') await this.reread(run);
  }

  /** Reads the record again after a conflict or a write of unknown outcome: the stored record is authoritative. */
  async reread(run: JobRun): Promise<void> {
    const key = jobKey(run.id);
    const read = await reread(this.held.deps.state, this.held.deps.mirror, key);
    if (read.kind === 'found') {
      const record = decodeJobRecord(read.entry.value);
      if (record && !run.ended && record.shard === this.held.shard) {
        run.version = read.entry.version;
        run.record = record;
        run.stored = run.stored.union(record.done);
      }
    } else if (read.kind === 'absent') this.held.endRun(run);
  }
}
