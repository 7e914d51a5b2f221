/** The job registry: submissions, queries and cancellations of users. */
import type { MachineType } from '../cloud/index.js';
import type { TeamQuota } from '../config/index.js';
import { BitSet, type JobId, type Logger, type Revision, type Runtime, type ShardName } from '../kernel/index.js';
import {
  finalKey,
  FreshnessChecker,
  jobKey,
  Urgency,
  storedSizeBytes,
  type Mirror,
  type StateClient,
} from '../state/index.js';
import { unschedulableReason } from './admission.js';
import {
  decodeJobFinal,
  decodeJobRecord,
  encodeJobRecord,
  type JobFinal,
  type JobRecord,
  type JobSpec,
  type JobView,
} from './model.js';

/** The outcome of a user's request, before it is encoded as an HTTP response. */
export type JobRequestOutcome =
  /** The job was accepted by this request. */
  | { readonly kind: 'created'; readonly view: JobView }
  /** The job was accepted earlier. */
  | { readonly kind: 'known'; readonly view: JobView }
  /** The job can never run and is rejected. */
  | { readonly kind: 'never'; readonly reason: string }
  | { readonly kind: 'malformed'; readonly reason: string }
  | { readonly kind: 'absent' }
  /** No answer is possible now; the user is told at once when to retry. */
  | { readonly kind: 'later'; readonly reason: string };

/** The state of a job in the state service; `unavailable`: it could not be read. */
export type JobState =
  | { readonly kind: 'open'; readonly record: JobRecord; readonly version: Revision }
  | { readonly kind: 'ended'; readonly final: JobFinal; readonly version: Revision }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable' };

/** What the registry needs from the rest of the controller. */
export interface RegistryHooks {
  /** Machine types, or null while they are unknown. */
  machineTypes(): readonly MachineType[] | null;
  /**
   * Chooses the shard for a new job. `waits`: the job starts later, so that capacity that is free now is irrelevant.
   */
  chooseShard(spec: JobSpec, waits: boolean): ShardName | null;
  /** Whether jobs with dependencies may be stored. */
  supportsDependencies(): boolean;
  /**
   * Unfinished dependencies of an open job; null if one of them is cancelled, so that this job must be cancelled too.
   */
  unfinishedDependencies(id: JobId): readonly JobId[] | null;
  /** Counts of running and done tasks of a job, as far as this node knows. */
  progressOf(id: JobId): { running: number; done: number };
  /**
   * Whether users may be told that a job is cancelled: true once its tasks are certain to end in time, whatever fails
   * from then on.
   */
  awaitAcknowledgement(id: JobId, final: JobFinal, version: Revision): Promise<boolean>;
  /** Called when this node first learns that a job has ended. */
  onJobEnded(id: JobId, final: JobFinal): void;
}

const retryLater = (reason: string): JobRequestOutcome => ({ kind: 'later', reason });
/** Maximum number of ended jobs that the registry remembers, in each of its two caches. */
const MAX_CACHED_FINALS = 20_000;
/**
 * Room left for the growth of a record after acceptance: `born` field, longer shard name, progress of a mid-sized job,
 * machines on which it failed.
 */
const RECORD_GROWTH_BYTES = 360;
/** Lists of machine types up to this length are stored unfiltered. */
const MAX_UNFILTERED_TYPES = 4;

/** State of the dependencies that a submission names. */
interface DependencyState {
  /** Dependencies that have not ended. */
  readonly unfinished: readonly JobId[];
  /** Whether a dependency is cancelled. */
  readonly cancelled: boolean;
}
/** Dependencies of one submission that are read at a time: all controllers share the state service's request rate. */
const MAX_CONCURRENT_DEPENDENCY_READS = 4;

/** Returns why a job can't be accepted with a dependency in this state, or null if it can. */
function dependencyRefusal(id: JobId, state: JobState): JobRequestOutcome | null {
  if (state.kind === 'unavailable') return retryLater(`awaits: the state of ${id} cannot be read`);
  if (state.kind === 'absent') return { kind: 'never', reason: `awaits: ${id} was never accepted` };
  if (state.kind === 'open' && state.record.spec.kind === 'service')
    return { kind: 'never', reason: `awaits: ${id} is a service, which is never done` };
  return null;
}

const NO_DEPENDENCIES: DependencyState = { unfinished: [], cancelled: false };

/**
 * Serves submissions, queries and cancellations of jobs. The state service is the source of truth: a job is accepted
 * only once it is stored.
 */
export class JobRegistry {
  /** Cache of final records, which never change. */
  private readonly finals = new Map<JobId, { readonly final: JobFinal; readonly version: Revision }>();
  /** Jobs that a peer of an earlier release reported as cancelled; it reports nothing but the id. */
  private readonly reportedCancelled = new Set<JobId>();
  private readonly freshness: FreshnessChecker;

  constructor(
    private readonly state: StateClient,
    private readonly mirror: Mirror,
    private readonly teams: ReadonlyMap<string, TeamQuota>,
    private readonly hooks: RegistryHooks,
    private readonly runtime: Runtime,
    private readonly log: Logger,
  ) {
    this.freshness = new FreshnessChecker(state, mirror, runtime);
  }

  /**
   * Reads the current state of a job from the state service. The open job is read before the final record, because the
   * final is stored in the transaction that removes the open job.
   */
  async readState(id: JobId): Promise<JobState> {
    const cached = this.finals.get(id);
    if (cached) return { kind: 'ended', ...cached };
    const open = await this.state.get(jobKey(id));
    if (open.kind === 'unavailable') return { kind: 'unavailable' };
    if (open.kind === 'found') {
      const record = decodeJobRecord(open.entry.value);
      if (!record) return { kind: 'unavailable' };
      return { kind: 'open', record, version: open.entry.version };
    }
    const ended = await this.state.get(finalKey(id));
    if (ended.kind === 'unavailable') return { kind: 'unavailable' };
    if (ended.kind === 'absent') {
      // A job accepted between the two reads is not absent; the first read was too early.
      return this.mirror.get(jobKey(id)) ? { kind: 'unavailable' } : { kind: 'absent' };
    }
    const final = decodeJobFinal(ended.entry.value);
    if (!final) return { kind: 'unavailable' };
    const { version } = ended.entry;
    this.recordFinal(id, final, version);
    return { kind: 'ended', final, version };
  }

  /** The final record of a job if this node has it in its cache. */
  cachedFinalOf(id: JobId): JobFinal | undefined {
    return this.finals.get(id)?.final;
  }

  /** Whether this node knows that the job has ended. Any other state of it is older, and it is never run again. */
  isKnownEnded(id: JobId): boolean {
    return this.finals.has(id) || this.reportedCancelled.has(id);
  }

  /** Records that a peer of an earlier release reported a stored cancellation; the job's progress is not known. */
  recordReportedCancellation(id: JobId): void {
    if (this.reportedCancelled.size >= MAX_CACHED_FINALS) this.reportedCancelled.clear();
    this.reportedCancelled.add(id);
  }

  /**
   * Caches the final record of a job, stored at the given revision, and notifies the hooks unless it is cached already.
   */
  recordFinal(id: JobId, final: JobFinal, version: Revision): void {
    if (this.finals.size >= MAX_CACHED_FINALS) {
      const oldest = this.finals.keys().next();
      if (!oldest.done) this.finals.delete(oldest.value);
    }
    const cached = this.finals.has(id);
    this.finals.set(id, { final, version });
    if (!cached) this.hooks.onJobEnded(id, final);
  }

  /** Accepts a job, or reports the state of a job that was accepted under the same id before. */
  async submit(requested: JobSpec, awaits: readonly JobId[] = []): Promise<JobRequestOutcome> {
    const spec = this.withoutUnknownTypes(requested);
    const types = this.hooks.machineTypes();
    const rejection = types === null ? null : unschedulableReason(spec, this.teams, types);
    if (types === null || rejection !== null) {
      // A job accepted earlier stays accepted, whatever the current settings or machine types are.
      const existing = await this.queryExisting(spec.id);
      if (existing.kind === 'known' || existing.kind === 'later') return existing;
      return rejection === null ? retryLater('machine types are not known yet') : { kind: 'never', reason: rejection };
    }
    const dependencies = awaits.length === 0 ? NO_DEPENDENCIES : await this.checkDependencies(awaits);
    if ('kind' in dependencies) {
      // A job accepted earlier is known, whatever dependencies this request names.
      const existing = await this.queryExisting(spec.id);
      return existing.kind === 'absent' ? dependencies : existing;
    }
    if (dependencies.cancelled) return this.acceptAsCancelled(spec.id);
    const { unfinished } = dependencies;
    const shard = this.hooks.chooseShard(spec, unfinished.length > 0);
    if (!shard) {
      const existing = await this.queryExisting(spec.id);
      return existing.kind === 'absent' ? retryLater('no shard is held yet') : existing;
    }
    const done = BitSet.empty(spec.tasks);
    const record: JobRecord = { spec, shard, submittedAt: this.runtime.wall(), done, awaits: unfinished };
    const value = encodeJobRecord(record);
    if (storedSizeBytes(value) + RECORD_GROWTH_BYTES > this.state.limits.maxValueBytes) {
      const existing = await this.queryExisting(spec.id);
      return existing.kind === 'absent' ? { kind: 'malformed', reason: 'the job is too long to be stored' } : existing;
    }
    const result = await this.state.txn(
      Urgency.accept,
      [
        { key: jobKey(spec.id), version: 0 },
        { key: finalKey(spec.id), version: 0 },
      ],
      [{ put: jobKey(spec.id), value }],
      1500,
    );
    if (result.kind === 'ok') {
      this.mirror.apply({ key: jobKey(spec.id), value, removed: false, version: result.revision });
      return { kind: 'created', view: { id: spec.id, phase: 'queued', done: 0, running: 0 } };
    }
    if (result.kind === 'conflict' || result.kind === 'unknown') {
      const existing = await this.queryExisting(spec.id);
      // A write with an unknown outcome may still be applied: the user retries and then learns whether it was.
      return existing.kind === 'absent' ? retryLater('the outcome of the write is not known') : existing;
    }
    return retryLater('the state service accepts no writes');
  }

  /**
   * Drops names of machine types that do not exist from a long list, so that they take no room in the stored record.
   */
  private withoutUnknownTypes(spec: JobSpec): JobSpec {
    const types = this.hooks.machineTypes();
    if (!types || !spec.types || spec.types.length <= MAX_UNFILTERED_TYPES) return spec;
    const existing = new Set(types.map(({ name }) => name));
    const kept = spec.types.filter((name) => existing.has(name));
    return kept.length === 0 ? spec : { ...spec, types: kept };
  }

  /** Reads the dependencies of a new job; returns an outcome if the job can't be accepted because of them. */
  private async checkDependencies(awaits: readonly JobId[]): Promise<DependencyState | JobRequestOutcome> {
    if (!this.hooks.supportsDependencies())
      return retryLater('not every controller supports jobs with dependencies yet');
    const unfinished: JobId[] = [];
    let cancelled = false;
    for (let from = 0; from < awaits.length; from += MAX_CONCURRENT_DEPENDENCY_READS) {
      const ids = awaits.slice(from, from + MAX_CONCURRENT_DEPENDENCY_READS);
      const states = await Promise.all(ids.map(async (id) => ({ id, state: await this.readDependency(id) })));
      for (const { id, state } of states) {
        const refusal = dependencyRefusal(id, state);
        if (refusal) return refusal;
        if (state.kind === 'open') unfinished.push(id);
        else cancelled ||= state.kind === 'ended' && state.final.phase === 'cancelled';
      }
    }
    return { unfinished, cancelled };
  }

  /**
   * Reads the state of a dependency. That it is open may come from a slightly stale mirror, because the waiting job
   * learns of its end later. That it does not exist must come from a fresh read.
   */
  private async readDependency(id: JobId): Promise<JobState> {
    return this.openInMirror(id, this.mirror.loaded) ?? this.readState(id);
  }

  /** Accepts a job and stores it as cancelled at once, because one of its dependencies is cancelled. */
  private async acceptAsCancelled(id: JobId): Promise<JobRequestOutcome> {
    const final: JobFinal = { phase: 'cancelled', done: 0, at: this.runtime.wall() };
    const guards = [
      { key: jobKey(id), version: 0 },
      { key: finalKey(id), version: 0 },
    ];
    const result = await this.state.txn(Urgency.accept, guards, [{ put: finalKey(id), value: final }], 1500);
    if (result.kind === 'refused' || result.kind === 'no-lease')
      return retryLater('the state service accepts no writes');
    if (result.kind === 'ok') {
      this.recordFinal(id, final, result.revision);
      this.log.info({ job: id }, 'job accepted as cancelled: one of its dependencies is cancelled');
      return { kind: 'created', view: { id, phase: 'cancelled', done: 0, running: 0 } };
    }
    const existing = await this.queryExisting(id);
    return existing.kind === 'absent' ? retryLater('the outcome of the write is not known') : existing;
  }

  /** The state of a job that an earlier request may have stored. */
  private async queryExisting(id: JobId): Promise<JobRequestOutcome> {
    return this.query(id);
  }

  /** Reports the state of a job to a user. */
  async query(id: JobId): Promise<JobRequestOutcome> {
    const state = this.openInMirror(id, await this.isMirrorUsable(id)) ?? (await this.readState(id));
    switch (state.kind) {
      case 'unavailable':
        return retryLater('the state service cannot be read');
      case 'absent':
        return { kind: 'absent' };
      case 'ended': {
        const { final, version } = state;
        // A cancellation is not reported before every holder knows of it: once confirmed, it must take effect even if
        // all other components fail.
        if (final.phase === 'cancelled' && !(await this.hooks.awaitAcknowledgement(id, final, version)))
          return retryLater('the cancellation has not reached every holder yet');
        return { kind: 'known', view: { id, phase: final.phase, done: final.done, running: 0 } };
      }
      case 'open': {
        const awaits = this.hooks.unfinishedDependencies(id);
        if (awaits === null) {
          // A dependency is cancelled. Once this job's cancellation is stored, every node reports it as cancelled only.
          const ended = await this.cancelDependent(id);
          return ended ? this.query(id) : retryLater('the job is being cancelled because a dependency is cancelled');
        }
        const progress = this.hooks.progressOf(id);
        const done = Math.min(state.record.spec.tasks, Math.max(progress.done, state.record.done.count));
        return {
          kind: 'known',
          view: {
            id,
            phase: progress.running > 0 || done > 0 ? 'running' : 'queued',
            done,
            running: progress.running,
            awaits,
          },
        };
      }
    }
  }

  /**
   * Whether the mirror is fresh enough to answer a query; not checked for an ended job, whose final record is cached.
   */
  private isMirrorUsable(id: JobId): Promise<boolean> {
    return this.finals.has(id) ? Promise.resolve(false) : this.freshness.waitUntilFresh();
  }

  /** The open job in the mirror; null if the mirror is not fresh or does not hold the job as open. */
  private openInMirror(id: JobId, fresh: boolean): JobState | null {
    const entry = fresh ? this.mirror.get(jobKey(id)) : undefined;
    const record = entry && !this.finals.has(id) ? decodeJobRecord(entry.value) : null;
    return entry && record ? { kind: 'open', record, version: entry.version } : null;
  }

  /** Cancels a job because one of its dependencies is cancelled. Returns true if the job has ended, for any reason. */
  async cancelDependent(id: JobId): Promise<boolean> {
    for (let attempts = 0; attempts < 4; attempts++) {
      const state = await this.readState(id);
      if (state.kind === 'ended') return true;
      if (state.kind !== 'open') return false;
      const final: JobFinal = { phase: 'cancelled', done: state.record.done.count, at: this.runtime.wall() };
      const ended = await this.storeFinal(id, state.version, final, 1200);
      if (ended === 'ok') this.log.info({ job: id }, 'job cancelled with a job that it needs');
      if (ended !== 'conflict') return ended === 'ok';
    }
    return false;
  }

  /** Cancels a job at its user's request, and reports it once the cancellation may be confirmed. */
  async cancel(id: JobId): Promise<JobRequestOutcome> {
    for (let attempts = 0; attempts < 4; attempts++) {
      const state = await this.readState(id);
      if (state.kind === 'unavailable') return retryLater('the state service cannot be read');
      if (state.kind === 'absent') return { kind: 'absent' };
      if (state.kind === 'ended') return this.query(id);
      const done = Math.max(state.record.done.count, this.hooks.progressOf(id).done);
      const ended = await this.storeFinal(
        id,
        state.version,
        { phase: 'cancelled', done, at: this.runtime.wall() },
        1200,
      );
      if (ended === 'ok') {
        this.log.info({ job: id }, 'job cancelled by its user');
        return this.query(id);
      }
      if (ended === 'later') return retryLater('the state service accepts no writes');
    }
    return retryLater('the job is changing too fast to be cancelled now');
  }

  /**
   * Replaces an open job by its final record in one transaction, so that exactly one of the two is stored at any time.
   * `conflict`: the job has changed since `version`, or the outcome is unknown. `later`: the state service accepts no
   * writes.
   */
  async storeFinal(
    id: JobId,
    version: Revision,
    final: JobFinal,
    waitMs: number,
  ): Promise<'ok' | 'conflict' | 'later'> {
    const result = await this.state.txn(
      Urgency.final,
      [
        { key: jobKey(id), version },
        { key: finalKey(id), version: 0 },
      ],
      [{ remove: jobKey(id) }, { put: finalKey(id), value: final }],
      waitMs,
    );
    if (result.kind === 'ok') {
      this.recordFinal(id, final, result.revision);
      this.mirror.apply({ key: jobKey(id), value: undefined, removed: true, version: result.revision });
      return 'ok';
    }
    return result.kind === 'conflict' || result.kind === 'unknown' ? 'conflict' : 'later';
  }
}
