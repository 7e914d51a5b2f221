import { readFileSync } from 'node:fs';
import { ScaleError } from './errors.js';

/** What the system has accounted to a process. */
export interface ProcessUse {
  /** Seconds of processor time, user and system, since it began. */
  readonly cpuS: number;
  /** Resident memory now, and at its peak, in bytes. */
  readonly residentBytes: number;
  readonly peakBytes: number;
}

/** Linux accounts processor time to user space in ticks of this many a second on every platform that Node.js runs on. */
const TICKS_PER_S = 100;
/** Fields of /proc/PID/stat behind the command's closing parenthesis: state is the first, utime and stime these. */
const UTIME = 11;
const STIME = 12;

function readProc(pid: number, file: string): string {
  try {
    return readFileSync(`/proc/${pid}/${file}`, 'utf8');
  } catch {
    throw new ScaleError(`/proc/${pid}/${file} can't be read: the process has ended, or this is not Linux`);
  }
}

const kilobytes = (status: string, field: string): number =>
  Number(new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(status)?.[1] ?? 0) * 1024;

/** Reads the system's accounting of a process. */
export function useOf(pid: number): ProcessUse {
  const stat = readProc(pid, 'stat');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = readProc(pid, 'status');
  return {
    cpuS: (Number(fields[UTIME]) + Number(fields[STIME])) / TICKS_PER_S,
    residentBytes: kilobytes(status, 'VmRSS'),
    peakBytes: kilobytes(status, 'VmHWM'),
  };
}
