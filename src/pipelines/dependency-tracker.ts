import {
  dependenciesOf,
  decodeJobRecord,
  decodeJobSpec,
  type JobFinal,
  type JobRegistry,
  type JobSpec,
} from '../jobs/index.js';
import {
  jobId,
  wallMillis,
  type JobId,
  type Logger,
  type Runtime,
  type ShardName,
  type WallMillis,
} from '../kernel/index.js';
import { jobKey, JOBS_PREFIX, type Change, type Mirror } from '../state/index.js';
import { slackOf, type ClassObjective } from '../placement/index.js';
import { stepDurationS, withInheritedConstraints, type InheritedConstraints } from './inherited-constraints.js';
import { JobGraph } from './job-graph.js';

/** Maximum number of concurrent reads, and of concurrent writes: after a claim there may be thousands to process. */
const MAX_CONCURRENT_REQUESTS = 4;
/** Delay before a failed read or cancellation is retried. */
const RETRY_DELAY_MS = 400;
/** Upcoming jobs considered in one forecast for renting machines. */
const MAX_UPCOMING_JOBS = 200;
/** How long a node that does not hold a job's shard leaves the cancellation to the holder before it does it itself. */
const NON_HOLDER_CANCEL_DELAY_MS = 2500;

/** A job that is expected to be ready soon. */
export interface UpcomingJob {
  readonly spec: JobSpec;
  /** Approximate time until the job is ready, in seconds. */
  readonly readyInS: number;
  /** Seconds from now until the job has to start to meet its deadline or its class's objective. */
  readonly slackS: number;
}

/** What the dependency tracker depends on. */
export interface DependencyTrackerDeps {
  readonly registry: Pick<JobRegistry, 'cachedFinalOf' | 'readState' | 'cancelDependent'>;
  readonly mirror: Pick<Mirror, 'get'>;
  readonly runtime: Pick<Runtime, 'wall' | 'after'>;
  readonly log: Pick<Logger, 'info'>;
  /** Returns whether this node holds the shard. */
  holds(shard: ShardName): boolean;
  /** Called when all dependencies of a job are done, so that it may start. */
  ready(id: JobId): void;
  /** The objectives of the job classes. */
  readonly objectives: readonly ClassObjective[];
  /** Returns whether any task of the job runs or is done, as far as this node knows. */
  hasStarted(id: JobId): boolean;
  /** Returns the approximate time that fetching the job's image takes, in seconds. */
  fetchS(spec: JobSpec): number;
}

/** Processes queued jobs with limited concurrency; a job that is already queued is not queued again. */
class JobWorkQueue {
  private readonly ids = new Set<JobId>();
  private active = 0;

  constructor(private readonly process: (id: JobId) => Promise<void>) {}

  add(id: JobId): void {
    this.ids.add(id);
    this.startNext();
  }

  delete(id: JobId): void {
    this.ids.delete(id);
  }

  private startNext(): void {
    while (this.active < MAX_CONCURRENT_REQUESTS) {
      const [id] = this.ids;
      if (id === undefined) return;
      this.ids.delete(id);
      this.active += 1;
      void this.process(id).finally(() => {
        this.active -= 1;
        this.startNext();
      });
    }
  }
}

/**
 * Tracks the jobs that depend on others: it reads the final states of their dependencies, reports which jobs may start,
 * and propagates a cancellation to all jobs that depend on the cancelled one. Only stored final states count, and they
 * never change. After any handover every holder therefore reaches the same results and completes what another has
 * begun.
 */
export class DependencyTracker {
  private readonly graph: JobGraph;
  private readonly readQueue = new JobWorkQueue((id) => this.readFinal(id));
  private readonly cancelQueue = new JobWorkQueue((id) => this.cancelDependent(id));

  constructor(private readonly deps: DependencyTrackerDeps) {
    this.graph = new JobGraph((spec) => deps.fetchS(spec));
  }

  /** Handles a change of a stored job. Changes come in the order of the mirror. */
  onJobChange(change: Change): void {
    const id = jobId(change.key.slice(JOBS_PREFIX.length));
    if (change.removed) {
      this.graph.remove(id);
      this.cancelQueue.delete(id);
      // The job is over, and its final state says how. It is read only if another job waits for it.
      if (this.graph.hasDependents(id)) this.readQueue.add(id);
      return;
    }
    if (this.graph.has(id)) return;
    const awaits = dependenciesOf(change.value);
    const record = awaits.length > 0 ? decodeJobRecord(change.value) : null;
    if (!record) return;
    const toCancel = this.graph.add(id, { spec: record.spec, submittedAt: record.submittedAt, awaits });
    for (const dependent of toCancel) this.scheduleCancellation(dependent, awaits[0] ?? dependent);
    for (const dependency of awaits) {
      const final = this.deps.registry.cachedFinalOf(dependency);
      if (final) this.onJobFinal(dependency, final);
      else if (!this.deps.mirror.get(jobKey(dependency))) this.readQueue.add(dependency);
    }
  }

  /** Handles the final state of a job when this node first learns of it. */
  onJobFinal(id: JobId, { phase, at }: JobFinal): void {
    const { ready, toCancel } = this.graph.recordFinal(id, phase, at ?? this.deps.runtime.wall());
    for (const dependent of ready) {
      this.deps.log.info({ job: dependent, last: id }, 'all dependencies of the job are done: it may start');
      this.deps.ready(dependent);
    }
    for (const dependent of toCancel) this.scheduleCancellation(dependent, id);
  }

  /** Queues the cancellation of a dependent job: at once for the shard's holder, after a delay for other nodes. */
  private scheduleCancellation(id: JobId, cause: JobId): void {
    this.deps.log.info({ job: id, with: cause }, 'the job has to be cancelled because a dependency was cancelled');
    const shard = this.shardOf(id);
    if (shard === null || this.deps.holds(shard)) this.cancelQueue.add(id);
    else this.deps.runtime.after(NON_HOLDER_CANCEL_DELAY_MS, () => this.cancelQueue.add(id));
  }

  /** The shard that a job is stored for; null when the mirror has no readable record of it. */
  private shardOf(id: JobId): ShardName | null {
    return decodeJobRecord(this.deps.mirror.get(jobKey(id))?.value)?.shard ?? null;
  }

  /** Reads the final state of a job that others wait for; retries until it is known or the job is seen to be open. */
  private async readFinal(id: JobId): Promise<void> {
    if (!this.graph.hasDependents(id)) return;
    // The registry remembers a final state that it has read and reports it to this class.
    const state = await this.deps.registry.readState(id);
    if (state.kind === 'ended') {
      this.onJobFinal(id, state.final);
      return;
    }
    // The job is open after all, and the mirror has it, so the watch will show when it is removed.
    if (state.kind === 'open' && this.deps.mirror.get(jobKey(id))) return;
    this.deps.runtime.after(RETRY_DELAY_MS, () => this.readQueue.add(id));
  }

  /** Stores the cancellation of a job whose dependency was cancelled; retries until the job is over. */
  private async cancelDependent(id: JobId): Promise<void> {
    if (!this.graph.mustBeCancelled(id) || (await this.deps.registry.cancelDependent(id))) return;
    this.deps.runtime.after(RETRY_DELAY_MS, () => this.cancelQueue.add(id));
  }

  // ---- queries

  /** Returns whether the job's tasks may start, as far as this node knows. */
  isReady(id: JobId): boolean {
    return this.graph.isReady(id);
  }

  /** When the job became ready; null when this node does not know. */
  readyAt(id: JobId): WallMillis | null {
    const at = this.graph.readyAt(id);
    return at === null ? null : wallMillis(at);
  }

  /** The dependencies that the job still waits for; null when the job has to be cancelled. */
  awaits(id: JobId): readonly JobId[] | null {
    return this.graph.mustBeCancelled(id) ? null : this.graph.pendingOf(id);
  }

  /** Returns the jobs that are expected to be ready soon, by their owners' estimates. Used to rent machines in time. */
  upcomingJobs(): UpcomingJob[] {
    const { runtime, objectives } = this.deps;
    const wall = runtime.wall();
    const upcoming: UpcomingJob[] = [];
    const remainingS = new Map<JobId, number>();
    for (const { id, job, pending } of this.graph.upcomingJobs(MAX_UPCOMING_JOBS)) {
      let readyInS = 0;
      for (const dependency of pending) {
        let leftS = remainingS.get(dependency);
        if (leftS === undefined) remainingS.set(dependency, (leftS = this.remainingS(dependency)));
        readyInS = Math.max(readyInS, leftS);
      }
      const spec = withInheritedConstraints(job, this.graph.inheritedOf(id), false);
      const objectiveTiming = { sinceS: -readyInS, always: true };
      const { slackS } = slackOf(spec, (wall - job.submittedAt) / 1000, spec.estimateS, objectives, objectiveTiming);
      upcoming.push({ spec, readyInS, slackS });
    }
    return upcoming;
  }

  /** Approximate time until an open job is done, in seconds; 0 if the mirror has no readable record of it. */
  private remainingS(id: JobId): number {
    const spec = decodeJobSpec(this.deps.mirror.get(jobKey(id))?.value);
    if (!spec) return 0;
    const durationS = stepDurationS(spec, this.deps.fetchS(spec));
    // The progress of a running job is not known, so it is assumed to be halfway, as it is on average.
    return this.deps.hasStarted(id) ? durationS / 2 : durationS;
  }

  /** What the job inherits; null when no open job depends on it. */
  inherited(id: JobId): InheritedConstraints | null {
    return this.graph.inheritedOf(id);
  }

  /** How many jobs wait, may run, and have to be cancelled. */
  get counts(): JobGraph['counts'] {
    return this.graph.counts;
  }
}
