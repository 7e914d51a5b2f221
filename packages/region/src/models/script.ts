import type { SimulatedJob } from './jobs.js';

/** A job that is submitted at a fixed time instead of a random one. Times in seconds since the start of the day. */
export interface ScriptedJob {
  readonly atS: number;
  readonly job: SimulatedJob;
  /** When its user cancels it; null: never. */
  readonly cancelAtS: number | null;
}

/** The course of one machine, which replaces random draws. Times in seconds since the start of the day. */
export interface ScriptedMachine {
  /** Time from its rental until its worker reports; null: it never boots. */
  readonly bootS: number | null;
  /** When it fails without notice; null: never. */
  readonly diesAtS: number | null;
  /** When notice of its reclaim is given, and how long after that it is reclaimed; null: never. */
  readonly takenBack: { readonly noticeAtS: number; readonly noticeS: number } | null;
  /** Factor on the run time of its tasks. */
  readonly slowness: number;
  /** Every task that it starts from this time on fails; null: none. */
  readonly failsFromS: number | null;
}

/** A scripted day: when jobs are submitted, and what happens to each machine and controller. */
export interface Script {
  readonly jobs: readonly ScriptedJob[];
  /**
   * Returns the course of the nth machine of a kind (`type zone spot|ordinary`), counted from 0; the machines that exist
   * at the start of the day count first.
   */
  machine(kind: string, nth: number): ScriptedMachine;
  /** Crashes of controllers: index, time and how long the controller stays down. */
  readonly crashes: readonly { readonly controller: number; readonly atS: number; readonly downS: number }[];
}
