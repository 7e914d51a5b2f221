import { GroupedProgress } from './grouping.js';
import type { HeldShard } from './held.js';
import { decodeRecord, encodeRecord } from '../jobs/index.js';
import { millis, type Millis } from '../kernel/index.js';
import { Urgency, jobKey, reread } from '../state/index.js';
import type { JobRun } from './run.js';

const PROGRESS_EVERY_MS = 1500;
/** So many jobs' progress at a time: the rest waits here, where the next write holds all of it. */
const PROGRESS_AT_ONCE = 2;
const FINISH_AGAIN_MS = 400;

/** Writes what has been done to the state service: completions at once, progress as far as changes are left. */
export class RecordStore {
  private storingProgress = 0;
  readonly grouped: GroupedProgress;

  constructor(private readonly held: HeldShard) {
    this.grouped = new GroupedProgress(held);
  }

  /**
   * Completions at once; progress as far as changes a second are left, the longest unsaved first.
   * Progress that is lost costs little, so nobody else's write ever waits for it.
   */
  store(now: Millis): void {
    const own = this.grouped.store(now);
    const unsaved: JobRun[] = [];
    for (const run of this.held.jobs.values()) {
      if (run.ended || run.storing || run.moving) continue;
      if (run.complete) {
        if (now >= run.finishNotBefore) void this.storing(run, () => this.finish(run));
      } else if (own(run) && now - run.lastStoredAt >= PROGRESS_EVERY_MS) unsaved.push(run);
    }
    if (unsaved.length === 0 || this.storingProgress >= PROGRESS_AT_ONCE) return;
    unsaved.sort((a, b) => a.lastStoredAt - b.lastStoredAt);
    for (const run of unsaved.slice(0, PROGRESS_AT_ONCE - this.storingProgress)) {
      this.storingProgress += 1;
      void this.storing(run, () => this.storeProgress(run)).finally(() => {
        this.storingProgress -= 1;
        this.held.deps.nudge();
      });
    }
  }

  async storing(run: JobRun, write: () => Promise<void>): Promise<void> {
    run.storing = true;
    try {
      await write();
    } finally {
      run.lastStoredAt = this.held.deps.runtime.now();
      run.storing = false;
    }
  }

  private async finish(run: JobRun): Promise<void> {
    const result = await this.held.deps.registry.end(
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
    run.finishNotBefore = millis(this.held.deps.runtime.now() + FINISH_AGAIN_MS);
    if (result === 'conflict') await this.reread(run);
  }

  private async storeProgress(run: JobRun): Promise<void> {
    const done = run.done.copy();
    const record = { ...run.record, done };
    const value = { ...(encodeRecord(record) as object), born: run.born };
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

  /** Somebody else wrote, or a write of unknown outcome was applied: what is stored decides. */
  async reread(run: JobRun): Promise<void> {
    const key = jobKey(run.id);
    const read = await reread(this.held.deps.state, this.held.deps.mirror, key);
    if (read.kind === 'found') {
      const record = decodeRecord(read.entry.value);
      if (record && !run.ended && record.shard === this.held.shard) {
        run.version = read.entry.version;
        run.record = record;
        run.stored = run.stored.union(record.done);
      }
    } else if (read.kind === 'absent') this.held.endRun(run);
  }
}
