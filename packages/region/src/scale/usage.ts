import { useOf, type ProcessUse } from './accounting.js';

export type Role = 'controller' | 'workers' | 'models';

export interface ProcessResult {
  readonly role: Role;
  readonly name: string;
  /** Cores, on average and in the busiest second. */
  readonly cores: number;
  readonly coresPeak: number;
  /** Megabytes (1e6 bytes) of resident memory at the end, and at the process's peak. */
  readonly residentMb: number;
  readonly peakMb: number;
}

export interface Watched {
  readonly role: Role;
  readonly name: string;
  readonly pid: number;
}

interface Line {
  readonly role: Role;
  readonly name: string;
  pid: number;
  last: ProcessUse;
  lastAt: number;
  cpuS: number;
  coresPeak: number;
  peakBytes: number;
}

const SHORTEST_SAMPLE_S = 0.5;

/** Adds up the system's accounting of processes between two moments, over their lives. */
export class UsageMeter {
  private readonly lines = new Map<string, Line>();
  private beganAt = 0;

  constructor(
    private readonly nowMs: () => number,
    private readonly watched: () => readonly Watched[],
    private readonly read: (pid: number) => ProcessUse = useOf,
  ) {}

  /** What is used from here on counts. */
  begin(): void {
    this.lines.clear();
    this.beganAt = this.nowMs();
    this.sample();
  }

  /** Looks at every process; a life that ended in between is counted up to the last look. */
  sample(): void {
    const now = this.nowMs();
    for (const { role, name, pid } of this.watched()) {
      let use: ProcessUse;
      try {
        use = this.read(pid);
      } catch {
        // It has just ended: its successor is found by the next look.
        continue;
      }
      const line = this.lines.get(name);
      if (!line) {
        this.lines.set(name, {
          ...{ role, name, pid, last: use, lastAt: now, cpuS: 0, coresPeak: 0, peakBytes: use.peakBytes },
        });
        continue;
      }
      const usedS = line.pid === pid ? use.cpuS - line.last.cpuS : use.cpuS;
      const passedS = (now - line.lastAt) / 1000;
      line.cpuS += usedS;
      if (passedS >= SHORTEST_SAMPLE_S) line.coresPeak = Math.max(line.coresPeak, usedS / passedS);
      line.peakBytes = Math.max(line.peakBytes, use.peakBytes);
      [line.pid, line.last, line.lastAt] = [pid, use, now];
    }
  }

  results(): ProcessResult[] {
    const spanS = Math.max(0.001, (this.nowMs() - this.beganAt) / 1000);
    const mb = (bytes: number): number => Math.round(bytes / 1e5) / 10;
    return [...this.lines.values()].map(({ role, name, cpuS, coresPeak, last, peakBytes }) => ({
      ...{ role, name, cores: cpuS / spanS, coresPeak },
      ...{ residentMb: mb(last.residentBytes), peakMb: mb(peakBytes) },
    }));
  }
}
