import { millis, type MachineId, type Millis, type Runtime } from '../kernel/index.js';
import { probeWorker, type WorkerMessage } from '../workers/index.js';

/** At most this many workers are probed at a time, because each takes a socket. */
const MAX_PROBES = 20;
/** How long a probe without an answer counts. */
const PROBE_VALID_MS = 10_000;

/** What `SilentMachines` needs from the leader. */
export interface SilentMachineDeps {
  readonly runtime: Runtime;
  /** Handles the status of a worker that has answered. */
  heard(message: WorkerMessage): void;
  /** Requests another round of the leader soon. */
  requestRound(): void;
}

/**
 * Decides whether machines in no block, from whose workers no report has come for long, are gone. Silence alone is no
 * evidence: a controller without a free socket refuses their connections. A worker that doesn't answer a probe either
 * is gone.
 */
export class SilentMachines {
  private readonly unansweredAt = new Map<MachineId, Millis>();
  private readonly beingProbed = new Set<MachineId>();

  constructor(private readonly deps: SilentMachineDeps) {}

  /** True when the worker has not answered a probe. Otherwise it is probed, unless too many are being probed. */
  isGone(machine: MachineId, address: string): boolean {
    const now = this.deps.runtime.now();
    const unansweredAt = this.unansweredAt.get(machine);
    if (unansweredAt !== undefined && now - unansweredAt < PROBE_VALID_MS) return true;
    this.unansweredAt.delete(machine);
    if (!this.beingProbed.has(machine) && this.beingProbed.size < MAX_PROBES) void this.probe(machine, address);
    return false;
  }

  private async probe(machine: MachineId, address: string): Promise<void> {
    this.beingProbed.add(machine);
    const message = await probeWorker(address, this.deps.runtime);
    this.beingProbed.delete(machine);
    if (message?.machine === machine) this.deps.heard(message);
    else this.unansweredAt.set(machine, millis(this.deps.runtime.now()));
    this.deps.requestRound();
  }
}
