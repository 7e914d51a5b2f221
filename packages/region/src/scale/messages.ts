import type { Endpoint } from '../../../../src/kernel/index.js';
import type { Traffic } from '../ending.js';
import type { Cause, GangFacts, Submission, TypeFacts, WorkerFacts } from '../models/index.js';

/** Messages between a scale run and its processes of hollow workers, over the channel of the child process. */

export interface HollowMachine {
  readonly id: string;
  readonly type: TypeFacts;
  readonly zone: string;
}

/** What is true of a job, so that a hollow worker can run its tasks. */
export interface HollowJob {
  readonly spec: Submission;
  /** True run time in seconds: of each task, or one for all. */
  readonly runS: readonly number[];
  readonly mistaken: boolean;
}

export type WorkerFault = 'restart' | 'cut' | 'heal';

/** From the run to a process of hollow workers. */
export type HollowCommand =
  | {
      readonly kind: 'configure';
      readonly seed: number;
      readonly facts: WorkerFacts;
      readonly gangs: GangFacts;
      readonly controllers: readonly { readonly name: string; readonly at: Endpoint }[];
    }
  | { readonly kind: 'job'; readonly job: HollowJob }
  | { readonly kind: 'up'; readonly machine: HollowMachine }
  | { readonly kind: 'gone'; readonly machine: string }
  | { readonly kind: 'fault'; readonly fault: WorkerFault; readonly machine: string; readonly downS: number }
  | { readonly kind: 'measure'; readonly id: number };

export type TaskEventKind = 'ordered' | 'entered' | 'running' | 'left';

/** What truly happened to a task; `atMs` is the time of day. */
export interface TaskEvent {
  readonly kind: TaskEventKind;
  readonly atMs: number;
  readonly machine: string;
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  /** Of `left`. */
  readonly cause: Cause | 'killed' | null;
}

/** What the workers of one process have sent and received since it began. */
export interface HollowMeasure {
  readonly workers: number;
  readonly reports: number;
  readonly commands: number;
  /** On connections that workers opened to controllers. */
  readonly reportTraffic: Traffic;
  /** On connections that controllers opened to workers. */
  readonly commandTraffic: Traffic;
}

/** From a process of hollow workers to the run. */
export type HollowEvent =
  | { readonly kind: 'ready' }
  | { readonly kind: 'listening'; readonly machine: string; readonly address: string }
  | { readonly kind: 'task'; readonly event: TaskEvent }
  | { readonly kind: 'measured'; readonly id: number; readonly measure: HollowMeasure };
