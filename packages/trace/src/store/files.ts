import { mkdir, open, readdir, readFile, rename, rm } from 'node:fs/promises';
import { join } from 'node:path';

/** The files of one directory. Whatever `write` and `rename` have resolved for survives the end of the machine. */
export interface Files {
  list(): Promise<readonly string[]>;
  /** null: no such file. */
  read(name: string): Promise<Uint8Array | null>;
  write(name: string, bytes: Uint8Array): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  remove(name: string): Promise<void>;
}

const missing = (error: unknown): boolean => (error as { code?: unknown }).code === 'ENOENT';

async function sync(path: string): Promise<void> {
  const handle = await open(path, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

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
        if (missing(error)) return null;
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
      await sync(dir);
    },
    async remove(name) {
      await rm(join(dir, name), { force: true });
    },
  };
}
