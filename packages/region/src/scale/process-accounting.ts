/** Reads the resource usage of processes from Linux procfs. */

import { readFileSync } from 'node:fs';
import { ScaleError } from './errors.js';

/** Resource usage that the operating system has accounted to a process. */
export interface ProcessUse {
  /** User and system CPU time in seconds since the process began. */
  readonly cpuS: number;
  /** Resident memory now. */
  readonly residentBytes: number;
  /** Peak of the resident memory. */
  readonly peakBytes: number;
}

/** Unit of the CPU times in /proc: USER_HZ is 100 on every Linux platform that Node.js supports. */
const CPU_TICKS_PER_SECOND = 100;
/** Indexes into the fields of /proc/PID/stat after the closing parenthesis of the command; index 0 is the state. */
const UTIME_FIELD = 11;
const STIME_FIELD = 12;

function readProc(pid: number, file: string): string {
  try {
    return readFileSync(`/proc/${pid}/${file}`, 'utf8');
  } catch {
    throw new ScaleError(`cannot read /proc/${pid}/${file}: the process has ended, or this system is not Linux`);
  }
}

/** Reads a field in kB from the text of /proc/PID/status and returns bytes; 0 if the field is missing. */
const statusBytes = (status: string, field: string): number =>
  Number(new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(status)?.[1] ?? 0) * 1024;

/**
 * Reads the resource usage of a process.
 *
 * @throws ScaleError if the process has ended or the system is not Linux.
 */
export function readProcessUse(pid: number): ProcessUse {
  const stat = readProc(pid, 'stat');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = readProc(pid, 'status');
  return {
    cpuS: (Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD])) / CPU_TICKS_PER_SECOND,
    residentBytes: statusBytes(status, 'VmRSS'),
    peakBytes: statusBytes(status, 'VmHWM'),
  };
}
