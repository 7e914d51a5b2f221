import { millis, type Millis } from '../kernel/index.js';

/** A silence counts only once this many reports should have arrived in it. */
const MIN_EXPECTED_REPORTS = 12;
const MIN_SILENCE_MS = 800;
/** Most that the time between two checks adds to a silence: a process that was suspended has not listened either. */
const MAX_COUNTED_GAP_MS = 400;
/** Machines that are probed per round, to find out whether this node is cut off. */
export const PROBES_PER_ROUND = 5;
/** Successful rounds of probes in a row before this node is no longer considered cut off. */
const ROUNDS_TO_RECOVER = 2;

/** Whether a round of probes is due. */
export type ProbeNeed = 'nothing' | 'probe';

/**
 * Decides whether this node can reach the workers. A single silent machine is a fault of that machine. When all are
 * silent for as long as twelve reports should take, and the probed ones don't answer either, this node is cut off. Only
 * time spent listening counts, so that a process that was suspended for a minute doesn't take the network for failed.
 * Pure: events and times are passed in.
 */
export class WorkerReachability {
  private silenceMs = 0;
  private lastCheckAt: Millis;
  private cutOff = false;
  private goodRounds = 0;

  constructor(now: Millis) {
    this.lastCheckAt = now;
  }

  /** False while this node is considered cut off from the workers. */
  get ok(): boolean {
    return !this.cutOff;
  }

  /** A report, or the answer to a command, has arrived. */
  recordWorkerContact(): void {
    this.silenceMs = 0;
  }

  /** Called periodically; says whether some workers should be probed now. */
  check(now: Millis, machines: number, reportMs: number): ProbeNeed {
    this.silenceMs += Math.min(MAX_COUNTED_GAP_MS, now - this.lastCheckAt);
    this.lastCheckAt = millis(now);
    if (this.cutOff) return 'probe';
    if (machines < 2) return 'nothing';
    // With few machines, this node must still notice that it is cut off before their leases end.
    const maxSilenceMs = 2.5 * reportMs + 1500;
    const silenceLimitMs = Math.max(
      MIN_SILENCE_MS,
      Math.min(maxSilenceMs, (MIN_EXPECTED_REPORTS * reportMs) / machines),
    );
    return this.silenceMs > silenceLimitMs ? 'probe' : 'nothing';
  }

  /** Evaluates a round of probes. Returns true when `ok` has changed. */
  recordProbes(asked: number, answered: number): boolean {
    if (asked === 0) return false;
    if (!this.cutOff) {
      if (answered * 5 > asked) {
        this.silenceMs = 0;
        return false;
      }
      // A report that arrived during the probes shows that the workers can be reached.
      if (this.silenceMs === 0) return false;
      this.cutOff = true;
      this.goodRounds = 0;
      return true;
    }
    this.goodRounds = answered * 2 > asked ? this.goodRounds + 1 : 0;
    if (this.goodRounds < ROUNDS_TO_RECOVER) return false;
    this.cutOff = false;
    this.silenceMs = 0;
    return true;
  }
}
