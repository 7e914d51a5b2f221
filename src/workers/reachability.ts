import { millis, type Millis } from '../kernel/index.js';

/** So many reports are expected in a silence before it means anything. */
const REPORTS_EXPECTED = 12;
const SHORTEST_SILENCE_MS = 800;
/** A process that did not run has not listened either: no more of a gap than this counts. */
const MOST_A_LOOK_MS = 400;
/** Machines that are asked before this node takes itself for cut off. */
export const PROBES = 5;
/** Successful rounds of probes before it takes itself for reachable again. */
const ROUNDS_BACK = 2;

export type ProbeNeed = 'nothing' | 'probe';

/**
 * Does this node reach the workers? One silent machine is the machine's trouble; when all are silent
 * for as long as a dozen reports should have taken, and those that are asked don't answer either, it
 * is ours. Counted is time spent listening, so that a process that was stopped for a minute does
 * not blame the network. Pure: told what happens, with the time.
 */
export class WorkerReachability {
  private quietMs = 0;
  private lookedAt: Millis;
  private cutOff = false;
  private good = 0;

  constructor(now: Millis) {
    this.lookedAt = now;
  }

  get ok(): boolean {
    return !this.cutOff;
  }

  /** A report, or a command's answer, came in. */
  heard(): void {
    this.quietMs = 0;
  }

  /** Looked at every now and then: is it time to ask some workers? */
  look(now: Millis, machines: number, reportMs: number): ProbeNeed {
    this.quietMs += Math.min(MOST_A_LOOK_MS, now - this.lookedAt);
    this.lookedAt = millis(now);
    if (this.cutOff) return 'probe';
    if (machines < 2) return 'nothing';
    const longest = 2.5 * reportMs + 1500;
    const patience = Math.max(SHORTEST_SILENCE_MS, Math.min(longest, (REPORTS_EXPECTED * reportMs) / machines));
    return this.quietMs > patience ? 'probe' : 'nothing';
  }

  /** What a round of probes found. Returns true when the verdict has changed. */
  probed(asked: number, answered: number): boolean {
    if (asked === 0) return false;
    if (!this.cutOff) {
      if (answered * 5 > asked) {
        this.quietMs = 0;
        return false;
      }
      // A report that came in meanwhile speaks against it.
      if (this.quietMs === 0) return false;
      this.cutOff = true;
      this.good = 0;
      return true;
    }
    this.good = answered * 2 > asked ? this.good + 1 : 0;
    if (this.good < ROUNDS_BACK) return false;
    this.cutOff = false;
    this.quietMs = 0;
    return true;
  }
}
