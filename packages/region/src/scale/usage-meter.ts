/** Measures the CPU time and memory of the processes of a scale run. */

import { readProcessUse, type ProcessUse } from './process-accounting.js';

/** Role of a process in a scale run; `models` is the process of the run itself. */
export type ProcessRole = 'controller' | 'workers' | 'models';

/** Measured resource usage of a process. */
export interface ProcessResult {
  readonly role: ProcessRole;
  readonly name: string;
  /** Average number of busy cores. */
  readonly cores: number;
  /** Number of busy cores in the busiest sampling interval. */
  readonly coresPeak: number;
  /** Resident memory at the end, in megabytes (1e6 bytes). */
  readonly residentMb: number;
  /** Peak of the resident memory over the life of the process, in megabytes. */
  readonly peakMb: number;
}

/** A process whose resource usage is sampled. */
export interface WatchedProcess {
  readonly role: ProcessRole;
  readonly name: string;
  readonly pid: number;
}

/** Usage of a process by name; `pid` changes when the process is restarted. */
interface ProcessUsage {
  readonly role: ProcessRole;
  readonly name: string;
  pid: number;
  /** The last sample. */
  last: ProcessUse;
  lastSampledAtMs: number;
  /** CPU time in seconds since the measurement was started. */
  cpuS: number;
  coresPeak: number;
  peakBytes: number;
}

/** Shorter sampling intervals do not count for the peak. */
const MIN_PEAK_SAMPLE_S = 0.5;

/** Adds up the resource usage of processes over a measurement, across restarts. */
export class UsageMeter {
  private readonly usages = new Map<string, ProcessUsage>();
  private startedAtMs = 0;

  constructor(
    private readonly nowMs: () => number,
    private readonly watched: () => readonly WatchedProcess[],
    private readonly read: (pid: number) => ProcessUse = readProcessUse,
  ) {}

  /** Starts the measurement, and forgets earlier usage. */
  begin(): void {
    this.usages.clear();
    this.startedAtMs = this.nowMs();
    this.sample();
  }

  /** Samples every process. The usage of a process that has ended counts up to its last sample. */
  sample(): void {
    const nowMs = this.nowMs();
    for (const { role, name, pid } of this.watched()) {
      let use: ProcessUse;
      try {
        use = this.read(pid);
      } catch {
        // The process has just ended; its successor is sampled next time.
        continue;
      }
      const usage = this.usages.get(name);
      if (!usage) {
        this.usages.set(name, {
          ...{ role, name, pid, last: use, lastSampledAtMs: nowMs, cpuS: 0, coresPeak: 0, peakBytes: use.peakBytes },
        });
        continue;
      }
      const usedS = usage.pid === pid ? use.cpuS - usage.last.cpuS : use.cpuS;
      const elapsedS = (nowMs - usage.lastSampledAtMs) / 1000;
      usage.cpuS += usedS;
      if (elapsedS >= MIN_PEAK_SAMPLE_S) usage.coresPeak = Math.max(usage.coresPeak, usedS / elapsedS);
      usage.peakBytes = Math.max(usage.peakBytes, use.peakBytes);
      [usage.pid, usage.last, usage.lastSampledAtMs] = [pid, use, nowMs];
    }
  }

  /** Returns the usage since the measurement was started. */
  results(): ProcessResult[] {
    const spanS = Math.max(0.001, (this.nowMs() - this.startedAtMs) / 1000);
    const toMegabytes = (bytes: number): number => Math.round(bytes / 1e5) / 10;
    return [...this.usages.values()].map(({ role, name, cpuS, coresPeak, last, peakBytes }) => ({
      ...{ role, name, cores: cpuS / spanS, coresPeak },
      ...{ residentMb: toMegabytes(last.residentBytes), peakMb: toMegabytes(peakBytes) },
    }));
  }
}
