import { mkdir, open, readdir, readFile, rename, rm } from 'node:fs/promises';
import { join } from 'node:path';

/** The files of one directory. Data for which `write` or `rename` has resolved survives a crash of the machine. */
export interface Files {
  list(): Promise<readonly string[]>;
  /** Null if there is no such file. */
  read(name: string): Promise<Uint8Array | null>;
  /** Creates or overwrites a file. */
  write(name: string, bytes: Uint8Array): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  /** Deletes a file; does nothing if there is no such file. */
  remove(name: string): Promise<void>;
}

const isNotFound = (error: unknown): boolean => (error as { code?: unknown }).code === 'ENOENT';

/** Flushes a file or directory to disk. */
async function fsyncPath(path: string): Promise<void> {
  const handle = await open(path, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** The files of a directory on disk; listing them creates the directory if it does not exist. */
export function diskFiles(dir: string): Files {
  return {
    async list() {
      await mkdir(dir, { recursive: true });
      return readdir(dir);
    },
    async read(name) {
      try {
        return await readFile(join(dir, name));
      } catch (error) {
        if (isNotFound(error)) return null;
        throw error;
      }
    },
    async write(name, bytes) {
      const handle = await open(join(dir, name), 'w');
      try {
        await handle.writeFile(bytes);
        await handle.sync();
      } finally {
        await handle.close();
      }
    },
    async rename(from, to) {
      await rename(join(dir, from), join(dir, to));
      await fsyncPath(dir);
    },
    async remove(name) {
      await rm(join(dir, name), { force: true });
    },
  };
}
