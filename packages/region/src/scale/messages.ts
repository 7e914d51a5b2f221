/** Messages between a scale run and its processes of hollow workers, over the IPC channel of the child process. */

import type { Endpoint } from '../../../../src/kernel/index.js';
import type { Traffic } from '../disposable-runtime.js';
import type {
  CommandCopies,
  TaskExitCause,
  GangTimeouts,
  Submission,
  MachineTypeConfig,
  WorkerTimings,
} from '../models/index.js';

/** A machine for which a hollow worker is to run. */
export interface HollowMachine {
  readonly id: string;
  readonly type: MachineTypeConfig;
  readonly zone: string;
}

/** A job with its true run times, which a hollow worker needs to run the tasks. */
export interface HollowJob {
  readonly spec: Submission;
  /** True run times in seconds: one for each task, or a single one for all. */
  readonly runS: readonly number[];
  /** True if the user made a mistake in the job, so that all of its tasks fail. */
  readonly mistaken: boolean;
}

/** Faults of a worker: it restarts, or it loses its network and gets it back. */
export type WorkerFault = 'restart' | 'cut' | 'heal';

/** Duplicates of executed commands that all workers get; see `CommandCopies`. */
export type HollowCommandCopies = Pick<CommandCopies, 'share' | 'lateMs' | 'afterRestart'>;

/** Command from the run to a process of hollow workers. `configure` is sent first; `measure` asks for a `measured` event. */
export type HollowCommand =
  | {
      readonly kind: 'configure';
      readonly seed: number;
      readonly facts: WorkerTimings;
      readonly gangs: GangTimeouts;
      readonly controllers: readonly { readonly name: string; readonly at: Endpoint }[];
    }
  | { readonly kind: 'job'; readonly job: HollowJob }
  | { readonly kind: 'up'; readonly machine: HollowMachine }
  | { readonly kind: 'gone'; readonly machine: string }
  | { readonly kind: 'fault'; readonly fault: WorkerFault; readonly machine: string; readonly downS: number }
  | { readonly kind: 'copies'; readonly copies: HollowCommandCopies | null }
  | { readonly kind: 'measure'; readonly id: number };

/** Kind of a task event; the meanings are those of `TaskObserver`. */
export type TaskEventKind = 'ordered' | 'entered' | 'running' | 'left';

/** A change of a task's true state. `atMs` is the wall-clock time. */
export interface TaskEvent {
  readonly kind: TaskEventKind;
  readonly atMs: number;
  readonly machine: string;
  readonly job: string;
  /** Index of the task within its job. */
  readonly index: number;
  readonly attempt: number;
  /** Why the task left its machine; only of `left`. */
  readonly cause: TaskExitCause | 'killed' | null;
}

/** Totals of what the workers of one process have sent and received since it began. */
export interface HollowMeasurement {
  readonly workers: number;
  readonly reports: number;
  readonly commands: number;
  /** Traffic on connections that workers opened to controllers. */
  readonly reportTraffic: Traffic;
  /** Traffic on connections that controllers opened to workers. */
  readonly commandTraffic: Traffic;
}

/** Event from a process of hollow workers to the run. */
export type HollowEvent =
  | { readonly kind: 'ready' }
  | { readonly kind: 'listening'; readonly machine: string; readonly address: string }
  | { readonly kind: 'task'; readonly event: TaskEvent }
  | { readonly kind: 'measured'; readonly id: number; readonly measure: HollowMeasurement };
