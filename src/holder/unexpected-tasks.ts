import type { Logger, Revision, ShardName } from '../kernel/index.js';
import type { ListedTask } from '../workers/index.js';
import type { HeldMachine } from './held-machine.js';

/** Attempt numbers per claim of a shard. They contain the claim's revision, so they grow from holder to holder. */
export const ATTEMPTS_PER_CLAIM = 2 ** 20;

/** Counts of attempts that workers listed although their holder did not expect them there. */
export interface UnexpectedTaskCounts {
  /** Attempts of this holder that had ended. */
  readonly ended: number;
  /** Attempts of earlier holders, or of jobs that are not known. */
  readonly other: number;
}

/** Counts tasks that are listed as live and were not expected, and logs those that this holder had seen end. */
export class UnexpectedTasks {
  private readonly total = { ended: 0, other: 0 };

  constructor(
    private readonly shard: ShardName,
    private readonly claimedAt: Revision,
    private readonly log: Logger,
  ) {}

  get counts(): UnexpectedTaskCounts {
    return { ...this.total };
  }

  /** True when this holder started the attempt. */
  isOwnAttempt({ attempt }: Pick<ListedTask, 'attempt'>): boolean {
    return Math.floor(attempt / ATTEMPTS_PER_CLAIM) === this.claimedAt;
  }

  /** Records an unexpected task, once for each time that its worker begins to list it. */
  note(machine: HeldMachine, listed: ListedTask): void {
    const { key, attempt } = listed;
    if (machine.unexpectedAttempts.get(key) === attempt) return;
    machine.unexpectedAttempts.set(key, attempt);
    if (!this.isOwnAttempt(listed)) {
      this.total.other += 1;
      return;
    }
    this.total.ended += 1;
    const { session, token } = machine.tracker.position;
    this.log.warn(
      { shard: this.shard, machine: machine.id, task: key, attempt, session, token, total: this.total.ended },
      'a worker lists an attempt that had ended: it has executed its start command once more',
    );
  }
}
