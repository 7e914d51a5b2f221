import { closeSync, mkdirSync, openSync, readFileSync, rmSync, writeSync } from 'node:fs';
import { join } from 'node:path';
import { TraceError } from '../store/index.js';

function alive(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch (error) {
    // Somebody else's process is alive, too.
    return (error as { code?: unknown }).code === 'EPERM';
  }
}

/**
 * One recorder a directory: two would each write a manifest without the other's segments, and what no manifest claims
 * is deleted. A lock of a process that was killed is taken over at once. Returns what lets it go.
 */
export function lockDirectory(dir: string): () => void {
  mkdirSync(dir, { recursive: true });
  const file = join(dir, 'record.lock');
  for (let tries = 0; tries < 3; tries++) {
    try {
      const handle = openSync(file, 'wx');
      writeSync(handle, String(process.pid));
      closeSync(handle);
      return () => rmSync(file, { force: true });
    } catch (error) {
      if ((error as { code?: unknown }).code !== 'EEXIST') throw error;
    }
    const pid = Number(readFileSync(file, 'utf8'));
    if (Number.isInteger(pid) && pid > 0 && pid !== process.pid && alive(pid))
      throw new TraceError(`${dir}: process ${pid} records there already`);
    rmSync(file, { force: true });
  }
  throw new TraceError(`${dir}: its lock cannot be taken`);
}
