/** The body of a job submission, with the field names of the users' protocol. */
export interface Submission {
  /** Job id, chosen by the user. */
  readonly ref: string;
  readonly jobclass: string;
  readonly owner: string;
  /** `sweep` is an array of tasks, `ensemble` a gang, `daemon` a service. */
  readonly shape: 'sweep' | 'ensemble' | 'daemon';
  readonly urgency: 'production' | 'urgent' | 'standard' | 'low';
  /** Number of tasks or replicas. */
  readonly pieces: number;
  readonly vcpus: number;
  readonly accelerators: number;
  readonly ram_gb: number;
  /** Image and its size. */
  readonly bundle: string;
  readonly pull_gb: number;
  /** Allowed machine types; null: any. */
  readonly hulls: readonly string[] | null;
  /** Required zone; null: any. */
  readonly berth: string | null;
  /** All tasks in one zone. */
  readonly same_place: boolean;
  /** Tasks are spread over zones. */
  readonly scatter: boolean;
  /** May run on spot machines. */
  readonly flotsam: boolean;
  /** The user's estimate of a task's run time. */
  readonly expected_s: number;
  /** Checkpoint interval (0: no checkpoints), and the time that saving one takes. */
  readonly mark_every_s: number;
  readonly mark_cost_s: number;
  /** Deadline in seconds after the submission; null: none. */
  readonly due_s: number | null;
  /** Ids of the jobs that must be done before any task of this one starts. */
  readonly awaits?: readonly string[];
}

/**
 * The actual state of a simulated job, independent of what the scheduler knows: how long its tasks run, what they have
 * saved and which have completed. Checkpoints and results are stored outside the machines, so they are kept here.
 */
export class SimulatedJob {
  /** Saved progress in seconds, by task index; a gang's under 0. */
  readonly saved = new Map<number, number>();
  /** Indexes of the completed tasks. */
  readonly finished = new Set<number>();
  /** Seconds of useful work: completed tasks, saved progress, run time of replicas. */
  usefulS = 0;

  constructor(
    readonly spec: Submission,
    /**
     * Actual run time of a task in seconds on a machine of nominal speed. Tasks of a service never end by themselves; its
     * user cancels it after this time.
     */
    readonly runS: (index: number) => number,
    /** The job is faulty: its tasks fail on every machine. */
    readonly mistaken: boolean,
  ) {}

  /** True when all tasks have completed; a service never completes. */
  get complete(): boolean {
    return this.spec.shape !== 'daemon' && this.finished.size >= this.spec.pieces;
  }

  /** Progress in seconds of the last periodic checkpoint before this progress; 0 without checkpoints. */
  lastCheckpointBefore(progressS: number): number {
    const intervalS = this.spec.mark_every_s;
    return intervalS > 0 ? Math.floor(progressS / intervalS) * intervalS : 0;
  }
}

/** All submitted jobs by id. */
export class SimulatedJobs {
  private readonly jobs = new Map<string, SimulatedJob>();

  /** `findElsewhere` looks up jobs that were not added here. */
  constructor(private readonly findElsewhere?: (ref: string) => SimulatedJob | undefined) {}

  /** Adds a job; replaces one with the same id. */
  add(job: SimulatedJob): void {
    this.jobs.set(job.spec.ref, job);
  }

  /** Returns a job; undefined if neither this collection nor `findElsewhere` knows it. */
  get(ref: string): SimulatedJob | undefined {
    const job = this.jobs.get(ref) ?? this.findElsewhere?.(ref);
    if (job) this.jobs.set(ref, job);
    return job;
  }

  /** All jobs that were added or found so far. */
  get all(): Iterable<SimulatedJob> {
    return this.jobs.values();
  }
}
