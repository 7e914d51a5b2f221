/** Event types of the trail. Their field names and kinds are stored in recordings. */
import type { JobSpec } from '../jobs/index.js';
import type { Attempt, JobId, MachineId, ShardName, WallMillis } from '../kernel/index.js';

/** Fields of events about one attempt to run a task. */
interface TaskEvent {
  readonly job: JobId;
  /** Number of the task within its job. */
  readonly index: number;
  readonly attempt: Attempt;
  readonly machine: MachineId;
}

/** An event of a controller, recorded when the controller learned of it. */
export type TrailEvent =
  /** The controller has started. */
  | { readonly kind: 'up' }
  /**
   * A holder adopts an open job, after its acceptance or a takeover. `submittedAt`: wall clock of the accepting node.
   */
  | {
      readonly kind: 'job';
      readonly job: JobId;
      readonly spec: JobSpec;
      readonly submittedAt: WallMillis;
      readonly shard: ShardName;
    }
  /** The job is known to have ended. */
  | { readonly kind: 'ended'; readonly job: JobId; readonly phase: 'done' | 'cancelled'; readonly done: number }
  /** The job has found no capacity for a second. `missing`: number of its tasks that wait for machines. */
  | { readonly kind: 'waits'; readonly job: JobId; readonly missing: number }
  /** A task runs. `adopted`: an earlier holder started it, so its start time is not known. */
  | ({ readonly kind: 'began'; readonly adopted: boolean } & TaskEvent)
  /** A task is being stopped. */
  | ({ readonly kind: 'stopping'; readonly why: string } & TaskEvent)
  /** A task no longer occupies its machine. `ran`: it had started to run. */
  | ({ readonly kind: 'left'; readonly why: string; readonly ran: boolean } & TaskEvent)
  /** A machine was rented, or has become part of a shard. */
  | {
      readonly kind: 'rented' | 'joined';
      readonly machine: MachineId;
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
    }
  /** The cloud provider will reclaim the machine in `leftS` seconds. */
  | { readonly kind: 'notice'; readonly machine: MachineId; readonly leftS: number }
  /** The machine's worker is silent and its lease has expired (`lost`), or tasks fail on it (`faulty`). */
  | { readonly kind: 'lost' | 'faulty'; readonly machine: MachineId }
  /** The machine was returned to the cloud provider. */
  | { readonly kind: 'returned'; readonly machine: MachineId; readonly why: string }
  /** The cloud provider had fewer machines of a kind than requested. */
  | {
      readonly kind: 'short';
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly wanted: number;
      readonly got: number;
    }
  /** A machine has fetched an image, first seen when a task that uses the image runs there. */
  | { readonly kind: 'image'; readonly machine: MachineId; readonly image: string }
  /** The controller has become the leader. */
  | { readonly kind: 'leads' }
  /** The controller has claimed a shard, or has stopped holding it. */
  | { readonly kind: 'claimed' | 'dropped'; readonly shard: ShardName }
  /**
   * A sample of the placement plans. `ready`: tasks that could start; `starts` and `stops`: tasks started and stopped;
   * `unplaced`: tasks that found no capacity.
   */
  | {
      readonly kind: 'plan';
      readonly shard: ShardName;
      readonly ready: number;
      readonly starts: number;
      readonly stops: number;
      readonly unplaced: number;
    };

/** An event with the controller's wall-clock time and its number, which starts at 1 in each incarnation. */
export type NumberedEvent = TrailEvent & { readonly n: number; readonly at: WallMillis };
