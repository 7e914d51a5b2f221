import type { JobTruth } from './jobs.js';

/** A job that comes at a set time, instead of one that is drawn. Times in seconds since the day began. */
export interface ScriptedJob {
  readonly atS: number;
  readonly job: JobTruth;
  /** When its user takes it back; null: never. */
  readonly cancelAtS: number | null;
}

/** What becomes of one machine, instead of what luck would have. Times in seconds since the day began. */
export interface ScriptedMachine {
  /** From its rental until its worker reports; null: it never comes up. */
  readonly bootS: number | null;
  /** Dies without a word. */
  readonly diesAtS: number | null;
  /** Is taken back, so long after notice was given. */
  readonly takenBack: { readonly noticeAtS: number; readonly noticeS: number } | null;
  /** Its tasks run so many times as long as usual. */
  readonly slowness: number;
  /** Every task that it starts from then on fails. */
  readonly failsFromS: number | null;
}

/** A day by script: who comes when, and what happens to each machine and controller. */
export interface Script {
  readonly jobs: readonly ScriptedJob[];
  /** The nth machine of a kind (`type zone spot|ordinary`), from 0; those of the day's beginning count first. */
  machine(kind: string, nth: number): ScriptedMachine;
  readonly crashes: readonly { readonly controller: number; readonly atS: number; readonly downS: number }[];
}
