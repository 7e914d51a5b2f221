import type { JobSpec } from '../jobs/index.js';
import type { Attempt, JobId, MachineId, ShardName, WallMillis } from '../kernel/index.js';

interface TaskEvent {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: Attempt;
  readonly machine: MachineId;
}

/** What a controller tells of a night, as it came to know of it. */
export type TrailEvent =
  /** The controller has begun. */
  | { readonly kind: 'up' }
  /** An open job is taken up, by its acceptance or by a takeover; `submittedAt` is the accepting node's time of day. */
  | {
      readonly kind: 'job';
      readonly job: JobId;
      readonly spec: JobSpec;
      readonly submittedAt: WallMillis;
      readonly shard: ShardName;
    }
  /** It is known to be over. */
  | { readonly kind: 'ended'; readonly job: JobId; readonly phase: 'done' | 'cancelled'; readonly done: number }
  /** It has found no room for a second: so many of its tasks wait for machines. */
  | { readonly kind: 'waits'; readonly job: JobId; readonly missing: number }
  /** A task runs; `adopted`: an earlier holder started it, nobody here knows when. */
  | ({ readonly kind: 'began'; readonly adopted: boolean } & TaskEvent)
  | ({ readonly kind: 'stopping'; readonly why: string } & TaskEvent)
  /** A task is off its machine. `ran`: it had begun. */
  | ({ readonly kind: 'left'; readonly why: string; readonly ran: boolean } & TaskEvent)
  | {
      readonly kind: 'rented' | 'joined';
      readonly machine: MachineId;
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
    }
  /** It will be taken back in so many seconds. */
  | { readonly kind: 'notice'; readonly machine: MachineId; readonly leftS: number }
  /** Its worker is silent and its lease is over, or it fails what is started there. */
  | { readonly kind: 'lost' | 'faulty'; readonly machine: MachineId }
  /** It was given back, for this reason. */
  | { readonly kind: 'returned'; readonly machine: MachineId; readonly why: string }
  /** The cloud had fewer machines of a kind than were asked for. */
  | {
      readonly kind: 'short';
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly wanted: number;
      readonly got: number;
    }
  | { readonly kind: 'image'; readonly machine: MachineId; readonly image: string }
  | { readonly kind: 'leads' }
  | { readonly kind: 'claimed' | 'dropped'; readonly shard: ShardName }
  /** A plan now and then: tasks that could start, that were started and that found no room. */
  | {
      readonly kind: 'plan';
      readonly shard: ShardName;
      readonly ready: number;
      readonly starts: number;
      readonly stops: number;
      readonly unplaced: number;
    };

/** An event with its number in this life of the controller, from 1, and the controller's time of day. */
export type NumberedEvent = TrailEvent & { readonly n: number; readonly at: WallMillis };
