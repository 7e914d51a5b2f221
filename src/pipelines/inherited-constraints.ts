/** What a job inherits from the open jobs that depend on it: their priority, and when it has to be done for them. */
import { Priority, type JobSpec } from '../jobs/index.js';
import type { JobId, WallMillis } from '../kernel/index.js';

/** Priority and deadline that a job inherits from the open jobs that depend on it, directly or transitively. */
export interface InheritedConstraints {
  /** The highest priority among those jobs. */
  readonly priority: Priority;
  /**
   * When the job has to be done so that those jobs can meet their deadlines, as wall-clock time in milliseconds; null
   * when none of them has a deadline.
   */
  readonly dueAt: number | null;
}

/** An open job that depends on other jobs. */
export interface DependentJob {
  readonly spec: JobSpec;
  readonly submittedAt: WallMillis;
  /** The jobs that have to be done before this one may start. */
  readonly awaits: readonly JobId[];
}

/**
 * Returns the job's spec with the priority and the deadline that it inherits. A priority above normal is inherited only
 * once the deadline is close (`pressing`). Until then the job counts as an ordinary job with a deadline; otherwise
 * whole chains would be placed before other jobs whose own deadlines are just as close.
 */
export function withInheritedConstraints(
  { spec, submittedAt }: Pick<DependentJob, 'spec' | 'submittedAt'>,
  inherited: InheritedConstraints | null,
  pressing: boolean,
): JobSpec {
  if (!inherited) return spec;
  const { priority: inheritedPriority, dueAt } = inherited;
  const priority = Math.max(
    spec.priority,
    pressing ? inheritedPriority : Math.min(inheritedPriority, Priority.normal),
  ) as Priority;
  const inheritedDeadlineS = dueAt === null ? null : (dueAt - submittedAt) / 1000;
  const deadlineS =
    inheritedDeadlineS === null ? spec.deadlineS : Math.min(inheritedDeadlineS, spec.deadlineS ?? inheritedDeadlineS);
  return { ...spec, priority, deadlineS };
}

/** An array is done when its slowest task is: expected run time of that task as a multiple of the estimate. */
const SLOWEST_TASK_FACTOR = 1.3;
/**
 * Time from the end of a job's last task to the start of its dependent's first one, in seconds: storing the final
 * state, the watch, reading the final state, and the start command.
 */
const STEP_OVERHEAD_S = 2;

/**
 * Returns how long before its deadline a job has to be ready to start, in seconds: the run time by its owner's
 * estimate, the image fetch and the step overhead.
 */
export const stepDurationS = (spec: JobSpec, fetchS: number): number =>
  spec.estimateS * (spec.kind === 'array' && spec.tasks > 1 ? SLOWEST_TASK_FACTOR : 1) + fetchS + STEP_OVERHEAD_S;

/** Returns the earlier of two times; null stands for none. */
const earliest = (a: number | null, b: number | null): number | null =>
  a === null ? b : b === null ? a : Math.min(a, b);

/** Returns the constraints of a job that has to meet both. */
const combine = (a: InheritedConstraints | null, b: InheritedConstraints): InheritedConstraints =>
  a === null ? b : { priority: Math.max(a.priority, b.priority) as Priority, dueAt: earliest(a.dueAt, b.dueAt) };

const areEqual = (a: InheritedConstraints | null, b: InheritedConstraints | null): boolean =>
  a?.priority === b?.priority && a?.dueAt === b?.dueAt;

/** The part of the dependency graph from which inherited constraints follow. */
export interface DependencyLinks {
  /** The job, if it is open and depends on others. */
  jobOf(id: JobId): DependentJob | undefined;
  /** The open jobs that depend on this one directly, less those that have to be cancelled. */
  dependentsOf(id: JobId): Iterable<JobId>;
}

/** The constraints of one job. */
interface Constraints {
  /** What the job inherits; null when no open job depends on it. */
  readonly inherited: InheritedConstraints | null;
  /** What its dependencies inherit from it; null when it depends on none. */
  readonly passedOn: InheritedConstraints | null;
}

/**
 * Computes what jobs inherit when it is asked for, and keeps the results until a link that they follow from changes. A
 * change discards each kept result at most once, and a query computes each missing one once, so both cost no more than
 * the number of jobs and links that they concern, in whatever order the links were added.
 */
export class InheritedConstraintsCache {
  /** A job has an entry only if all its `dependentsOf` have one, since it is computed from theirs. */
  private readonly entries = new Map<JobId, Constraints>();

  /** `fetchS` returns the approximate time that fetching a job's image takes, in seconds. */
  constructor(
    private readonly links: DependencyLinks,
    private readonly fetchS: (spec: JobSpec) => number,
  ) {}

  /** What a job inherits; null when no open job depends on it. */
  of(id: JobId): InheritedConstraints | null {
    return this.constraintsOf(id).inherited;
  }

  /** Updates the entries after a job with its links has been added. */
  onJobAdded(id: JobId): void {
    // What it passes on was not known as long as it was only a dependency of others.
    this.entries.delete(id);
    for (const dependency of this.links.jobOf(id)?.awaits ?? []) {
      const known = this.entries.get(dependency);
      if (!known) continue;
      const { passedOn } = this.constraintsOf(id);
      const inherited = passedOn ? combine(known.inherited, passedOn) : known.inherited;
      if (areEqual(inherited, known.inherited)) continue;
      const updated = { inherited, passedOn: this.passedOn(dependency, inherited) };
      // Most jobs are appended to a pipeline without a deadline, which changes nothing for its earlier stages.
      if (areEqual(updated.passedOn, known.passedOn)) this.entries.set(dependency, updated);
      else this.discard([dependency]);
    }
  }

  /** Discards the entries of jobs and of all jobs that these depend on, directly or transitively. */
  discard(ids: readonly JobId[]): void {
    const stack = [...ids];
    for (let id = stack.pop(); id !== undefined; id = stack.pop()) {
      // Without an entry of a job there is none of its dependencies either.
      if (!this.entries.delete(id)) continue;
      for (const dependency of this.links.jobOf(id)?.awaits ?? []) stack.push(dependency);
    }
  }

  /** Returns the entry of a job, after computing it and the entries that it follows from where they are missing. */
  private constraintsOf(id: JobId): Constraints {
    const known = this.entries.get(id);
    if (known) return known;
    const stack = [id];
    const expanded = new Set<JobId>();
    for (let next = stack.at(-1); next !== undefined; next = stack.at(-1)) {
      if (!expanded.has(next) && !this.entries.has(next)) {
        expanded.add(next);
        for (const dependent of this.links.dependentsOf(next))
          if (!expanded.has(dependent) && !this.entries.has(dependent)) stack.push(dependent);
        continue;
      }
      stack.pop();
      if (!this.entries.has(next)) this.entries.set(next, this.compute(next));
    }
    return this.entries.get(id) ?? { inherited: null, passedOn: null };
  }

  /** Computes the constraints of a job from those of its direct dependents. */
  private compute(id: JobId): Constraints {
    let inherited: InheritedConstraints | null = null;
    for (const dependent of this.links.dependentsOf(id)) {
      const passedOn = this.entries.get(dependent)?.passedOn;
      if (passedOn) inherited = combine(inherited, passedOn);
    }
    return { inherited, passedOn: this.passedOn(id, inherited) };
  }

  /** Returns what the dependencies of a job inherit from it. */
  private passedOn(id: JobId, inherited: InheritedConstraints | null): InheritedConstraints | null {
    const job = this.links.jobOf(id);
    if (!job) return null;
    const { spec, submittedAt } = job;
    const ownDeadline = spec.deadlineS === null ? null : submittedAt + spec.deadlineS * 1000;
    const deadline = earliest(ownDeadline, inherited?.dueAt ?? null);
    return {
      priority: Math.max(spec.priority, inherited?.priority ?? 0) as Priority,
      dueAt: deadline === null ? null : deadline - stepDurationS(spec, this.fetchS(spec)) * 1000,
    };
  }
}
