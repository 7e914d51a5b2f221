import { millis, type JobId, type Millis } from '../kernel/index.js';
import { jobKey } from '../state/index.js';
import type { HolderDeps } from './deps.js';

/**
 * What has become of a job that this holder no longer runs. `open`: nothing of it is known to work yet; `works`: tasks
 * of it work in another shard.
 */
export type JobOutcome = 'open' | 'works' | 'cancelled' | 'done';

/** A job whose tasks run elsewhere for this long works. */
const WORKS_AFTER_MS = 10_000;
/** Interval between two reads of the final record of one job. */
const READ_INTERVAL_MS = 5000;
/** Number of jobs of which something is remembered. */
const MAX_JOBS = 1000;

/** Keeps what was last seen of each job, up to `MAX_JOBS`. */
function remember(times: Map<JobId, Millis>, id: JobId, at: Millis): void {
  const [oldest] = times.keys();
  if (oldest !== undefined && times.size >= MAX_JOBS) times.delete(oldest);
  times.set(id, at);
}

/** Finds out what has become of jobs that have left the shard, from the records and from other shards' summaries. */
export class JobOutcomes {
  private readonly runningSince = new Map<JobId, Millis>();
  private readonly readAt = new Map<JobId, Millis>();

  constructor(
    private readonly deps: Pick<HolderDeps, 'registry' | 'mirror' | 'runtime' | 'progressOf' | 'requestRound'>,
  ) {}

  /** What is known now. A final record that is not known yet is read, and known later. */
  of(id: JobId): JobOutcome {
    const { registry, mirror } = this.deps;
    const final = registry.cachedFinalOf(id);
    if (final) return final.phase;
    if (registry.isKnownEnded(id)) return 'cancelled';
    if (mirror.get(jobKey(id)) === undefined) {
      this.readFinal(id);
      return 'open';
    }
    return this.worksElsewhere(id) ? 'works' : 'open';
  }

  private worksElsewhere(id: JobId): boolean {
    const { running, done } = this.deps.progressOf(id);
    if (done > 0) return true;
    if (running === 0) {
      this.runningSince.delete(id);
      return false;
    }
    const now = this.deps.runtime.now();
    const since = this.runningSince.get(id);
    if (since === undefined) remember(this.runningSince, id, now);
    return since !== undefined && now - since >= WORKS_AFTER_MS;
  }

  private readFinal(id: JobId): void {
    const now = this.deps.runtime.now();
    if (now < (this.readAt.get(id) ?? -Infinity) + READ_INTERVAL_MS) return;
    remember(this.readAt, id, millis(now));
    void this.deps.registry.readState(id).then(() => this.deps.requestRound());
  }
}
