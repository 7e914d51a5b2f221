import type { Files } from './files.js';

/** Thrown by MemoryFiles from the operation at which the writing process is killed, and from all later ones. */
export class KilledError extends Error {}

/**
 * Files in memory. Tests can simulate that the writing process is killed at a chosen operation: an interrupted write
 * leaves a part of its bytes, an interrupted rename has either taken effect or not.
 */
export class MemoryFiles implements Files {
  readonly files = new Map<string, Uint8Array>();
  /** Writes, renames and removals so far. */
  operations = 0;

  constructor(
    /** Number of the operation at which the process is killed, from 1. */
    private killAtOperation = Infinity,
    /** Part of its bytes that an interrupted write leaves; from 0.5 on, an interrupted rename takes effect. */
    private readonly writtenShare = 0.5,
  ) {}

  /** Accepts operations again, as for a restarted process, until it is killed at the given operation from now. */
  restartProcess(killAtOperation = Infinity): void {
    this.killAtOperation = this.operations + killAtOperation;
  }

  /** Counts an operation. If the process is killed at it, applies the partial effect and throws. */
  private countOperation(applyPartially: () => void): void {
    this.operations += 1;
    if (this.operations < this.killAtOperation) return;
    if (this.operations === this.killAtOperation) applyPartially();
    throw new KilledError('simulated kill of the writing process');
  }

  list(): Promise<readonly string[]> {
    return Promise.resolve([...this.files.keys()]);
  }

  read(name: string): Promise<Uint8Array | null> {
    return Promise.resolve(this.files.get(name) ?? null);
  }

  async write(name: string, bytes: Uint8Array): Promise<void> {
    await Promise.resolve();
    this.countOperation(() => this.files.set(name, bytes.slice(0, Math.floor(bytes.length * this.writtenShare))));
    this.files.set(name, bytes);
  }

  async rename(from: string, to: string): Promise<void> {
    await Promise.resolve();
    const apply = (): void => {
      this.files.set(to, this.files.get(from) ?? new Uint8Array());
      this.files.delete(from);
    };
    this.countOperation(() => {
      if (this.writtenShare >= 0.5) apply();
    });
    apply();
  }

  async remove(name: string): Promise<void> {
    await Promise.resolve();
    this.countOperation(() => undefined);
    this.files.delete(name);
  }
}
