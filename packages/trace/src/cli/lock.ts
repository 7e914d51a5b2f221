import { closeSync, mkdirSync, openSync, readFileSync, rmSync, writeSync } from 'node:fs';
import { join } from 'node:path';
import { TraceError } from '../store/index.js';

/** Whether a process exists. */
function isProcessAlive(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch (error) {
    // EPERM: the process exists and belongs to another user.
    return (error as { code?: unknown }).code === 'EPERM';
  }
}

/**
 * Locks a directory for one recorder and returns the function that releases the lock; throws a TraceError if a running
 * process holds it. Two recorders would each write a manifest without the other's segments, and segments that the
 * manifest does not list are deleted. The lock of a process that was killed is taken over at once.
 */
export function lockDirectory(dir: string): () => void {
  mkdirSync(dir, { recursive: true });
  const lockFile = join(dir, 'record.lock');
  for (let attempt = 0; attempt < 3; attempt++) {
    try {
      const handle = openSync(lockFile, 'wx');
      writeSync(handle, String(process.pid));
      closeSync(handle);
      return () => rmSync(lockFile, { force: true });
    } catch (error) {
      if ((error as { code?: unknown }).code !== 'EEXIST') throw error;
    }
    const pid = Number(readFileSync(lockFile, 'utf8'));
    if (Number.isInteger(pid) && pid > 0 && pid !== process.pid && isProcessAlive(pid))
      throw new TraceError(`${dir}: process ${pid} is already recording into this directory`);
    rmSync(lockFile, { force: true });
  }
  throw new TraceError(`${dir}: cannot acquire the lock file record.lock`);
}
