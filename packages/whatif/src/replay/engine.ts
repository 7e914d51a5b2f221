import type { Outcome } from '../night/index.js';

export interface ReplayOptions {
  /** How far it has come, in seconds since the night began. */
  readonly moved?: (atS: number) => void;
  readonly stop?: () => boolean;
}

/** How things stood at one moment, by class. */
export interface Standing {
  readonly atS: number;
  readonly machinesUp: number;
  readonly running: Readonly<Record<string, number>>;
  readonly waiting: Readonly<Record<string, number>>;
}

/** One replay. */
export interface Played {
  readonly outcomes: ReadonlyMap<string, Outcome>;
  /** Money spent on machines. */
  readonly money: number;
  readonly timeline: readonly Standing[];
}
