/** The dependency graph of open jobs. */
import type { FinalPhase, JobSpec } from '../jobs/index.js';
import type { JobId } from '../kernel/index.js';
import { InheritedConstraintsCache, type DependentJob, type InheritedConstraints } from './inherited-constraints.js';

/** A job in the graph. */
interface JobNode extends DependentJob {
  /** The dependencies that are not known to be done. */
  readonly pending: Set<JobId>;
  /** How many of the pending dependencies wait for dependencies of their own. */
  waitingDependencies: number;
  /** When the last dependency known to be done was done, as wall-clock time in milliseconds. */
  readyAt: number;
  /** True when the job has to be cancelled because a dependency was cancelled. */
  mustBeCancelled: boolean;
}

/** What follows from a job's final state: jobs that may start now, and jobs that have to be cancelled. */
export interface FinalEffects {
  readonly ready: readonly JobId[];
  readonly toCancel: readonly JobId[];
}

const NO_EFFECTS: FinalEffects = { ready: [], toCancel: [] };
/**
 * The dependency graph of open jobs: which jobs await which others, the known final states of those, and the priority
 * and deadline that each job inherits. It is updated incrementally; no update iterates over all waiting jobs. It uses
 * neither a clock nor the network. Final states never change, so every holder derives the same results from them, in
 * whatever order it learns of them.
 */
export class JobGraph {
  private readonly nodes = new Map<JobId, JobNode>();
  /** Jobs that await a job, by the job that they await. */
  private readonly dependents = new Map<JobId, Set<JobId>>();
  /** What each job inherits. */
  private readonly inherited: InheritedConstraintsCache;
  /** Jobs whose pending dependencies may all run already. */
  private readonly upcoming = new Set<JobId>();

  /** `fetchS` returns the approximate time that fetching a job's image takes, in seconds. */
  constructor(fetchS: (spec: JobSpec) => number = () => 0) {
    const links = {
      jobOf: (id: JobId): DependentJob | undefined => this.nodes.get(id),
      dependentsOf: (id: JobId): Iterable<JobId> => this.liveDependentsOf(id),
    };
    this.inherited = new InheritedConstraintsCache(links, fetchS);
  }

  /** Returns whether the job is in the graph, that is, open and dependent on others. */
  has(id: JobId): boolean {
    return this.nodes.has(id);
  }

  /** How many jobs wait for a dependency, how many may run, and how many have to be cancelled. */
  get counts(): { readonly waiting: number; readonly ready: number; readonly doomed: number } {
    let [waiting, ready, doomed] = [0, 0, 0];
    for (const node of this.nodes.values()) {
      if (node.mustBeCancelled) doomed += 1;
      else if (node.pending.size === 0) ready += 1;
      else waiting += 1;
    }
    return { waiting, ready, doomed };
  }

  /**
   * Adds an open job with its dependencies. A job that depends on one that has to be cancelled has to be cancelled, too,
   * even if it is added later. Returns the jobs that have to be cancelled because of this.
   */
  add(id: JobId, job: DependentJob): readonly JobId[] {
    if (this.nodes.has(id)) return [];
    const pending = new Set(job.awaits);
    const waitingDependencies = job.awaits.filter((dependency) => this.waits(dependency)).length;
    const flags = { readyAt: job.submittedAt, mustBeCancelled: false };
    this.nodes.set(id, { ...job, pending, waitingDependencies, ...flags });
    if (this.waits(id)) this.onWaitingChanged(id, +1);
    for (const dependency of job.awaits) {
      let dependents = this.dependents.get(dependency);
      if (!dependents) this.dependents.set(dependency, (dependents = new Set()));
      dependents.add(id);
    }
    this.inherited.onJobAdded(id);
    this.updateUpcoming(id);
    const toCancel: JobId[] = [];
    if (job.awaits.some((dependency) => this.mustBeCancelled(dependency))) this.markForCancellation(id, toCancel);
    return toCancel;
  }

  /** Removes a job that is no longer open. Nothing follows for its dependents until its final state is known. */
  remove(id: JobId): void {
    const node = this.nodes.get(id);
    if (!node) return;
    this.inherited.discard([id, ...node.awaits]);
    if (this.waits(id)) this.onWaitingChanged(id, -1);
    this.nodes.delete(id);
    this.upcoming.delete(id);
    for (const dependency of node.awaits) {
      const dependents = this.dependents.get(dependency);
      dependents?.delete(id);
      if (dependents?.size === 0) this.dependents.delete(dependency);
    }
  }

  /**
   * Records the final state of a job; `at` is wall-clock time in milliseconds. Repeated calls for a job have no effect.
   */
  recordFinal(id: JobId, phase: FinalPhase, at: number): FinalEffects {
    const dependents = this.dependents.get(id);
    if (!dependents) return NO_EFFECTS;
    const ready: JobId[] = [];
    const toCancel: JobId[] = [];
    for (const dependent of dependents) {
      const node = this.nodes.get(dependent);
      if (!node || node.mustBeCancelled) continue;
      if (phase === 'cancelled') this.markForCancellation(dependent, toCancel);
      else if (node.pending.delete(id)) {
        node.readyAt = Math.max(node.readyAt, at);
        if (this.waits(id)) node.waitingDependencies -= 1;
        if (node.pending.size === 0) {
          ready.push(dependent);
          this.onWaitingChanged(dependent, -1);
        }
        this.updateUpcoming(dependent);
      }
    }
    return { ready, toCancel };
  }

  /**
   * Marks a job and all its direct and transitive dependents as to be cancelled and appends them to `toCancel`. It uses an explicit stack, because chains may
   * be too long for recursion.
   */
  private markForCancellation(first: JobId, toCancel: JobId[]): void {
    const stack = [first];
    for (let id = stack.pop(); id !== undefined; id = stack.pop()) {
      const node = this.nodes.get(id);
      if (!node || node.mustBeCancelled) continue;
      this.inherited.discard([id]);
      node.mustBeCancelled = true;
      this.upcoming.delete(id);
      toCancel.push(id);
      stack.push(...(this.dependents.get(id) ?? []));
    }
  }

  /** Returns whether an open job has pending dependencies. */
  private waits(id: JobId): boolean {
    return (this.nodes.get(id)?.pending.size ?? 0) > 0;
  }

  /** Updates a job's dependents after it has begun (`change` is +1) or ceased (-1) to wait for dependencies. */
  private onWaitingChanged(id: JobId, change: 1 | -1): void {
    for (const dependent of this.dependents.get(id) ?? []) {
      const node = this.nodes.get(dependent);
      if (!node?.pending.has(id)) continue;
      node.waitingDependencies += change;
      this.updateUpcoming(dependent);
    }
  }

  /** Adds a job to the upcoming ones if all its pending dependencies may run, and removes it otherwise. */
  private updateUpcoming(id: JobId): void {
    const node = this.nodes.get(id);
    if (!node || node.mustBeCancelled) return;
    if (node.pending.size > 0 && node.waitingDependencies === 0) this.upcoming.add(id);
    else this.upcoming.delete(id);
  }

  /** Yields at most `limit` jobs whose pending dependencies may all run already, the longest known first. */
  *upcomingJobs(
    limit: number,
  ): Generator<{ readonly id: JobId; readonly job: DependentJob; readonly pending: ReadonlySet<JobId> }> {
    let yielded = 0;
    for (const id of this.upcoming) {
      const node = this.nodes.get(id);
      if (yielded++ >= limit) return;
      if (node) yield { id, job: node, pending: node.pending };
    }
  }

  /** Returns whether the tasks of a job may start; false for a job that is not in the graph. */
  isReady(id: JobId): boolean {
    const node = this.nodes.get(id);
    return node !== undefined && !node.mustBeCancelled && node.pending.size === 0;
  }

  /** Returns whether a job has to be cancelled because one that it depends on was cancelled. */
  mustBeCancelled(id: JobId): boolean {
    return this.nodes.get(id)?.mustBeCancelled === true;
  }

  /**
   * When the last dependency of a ready job was done, as wall-clock time in milliseconds; null when it is not ready.
   */
  readyAt(id: JobId): number | null {
    const node = this.nodes.get(id);
    return node && node.pending.size === 0 ? node.readyAt : null;
  }

  /** The dependencies that a job still waits for; empty when there are none or the job is not in the graph. */
  pendingOf(id: JobId): readonly JobId[] {
    return [...(this.nodes.get(id)?.pending ?? [])];
  }

  /** Returns whether an open job awaits this one. */
  hasDependents(id: JobId): boolean {
    return this.dependents.has(id);
  }

  /** What a job inherits; null when no open job depends on it. */
  inheritedOf(id: JobId): InheritedConstraints | null {
    return this.dependents.has(id) ? this.inherited.of(id) : null;
  }

  /** Yields the open jobs that depend on a job directly, less those that have to be cancelled. */
  private *liveDependentsOf(id: JobId): Generator<JobId> {
    for (const dependent of this.dependents.get(id) ?? [])
      if (this.nodes.get(dependent)?.mustBeCancelled === false) yield dependent;
  }
}
