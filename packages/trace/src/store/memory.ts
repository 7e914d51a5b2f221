import type { Files } from './files.js';

/** The process was killed at this step. */
export class Killed extends Error {}

/**
 * Files in memory whose writer is killed at a step: a write that was under way leaves some of its bytes, a rename
 * either happened or did not.
 */
export class MemoryFiles implements Files {
  readonly files = new Map<string, Uint8Array>();
  steps = 0;

  constructor(
    private killAt = Infinity,
    private readonly torn = 0.5,
  ) {}

  /** Whoever comes next finds what is there, and is not killed. */
  revive(killAt = Infinity): void {
    this.killAt = this.steps + killAt;
  }

  private step(half: () => void): void {
    this.steps += 1;
    if (this.steps < this.killAt) return;
    if (this.steps === this.killAt) half();
    throw new Killed('killed');
  }

  list(): Promise<readonly string[]> {
    return Promise.resolve([...this.files.keys()]);
  }

  read(name: string): Promise<Uint8Array | null> {
    return Promise.resolve(this.files.get(name) ?? null);
  }

  async write(name: string, bytes: Uint8Array): Promise<void> {
    await Promise.resolve();
    this.step(() => this.files.set(name, bytes.slice(0, Math.floor(bytes.length * this.torn))));
    this.files.set(name, bytes);
  }

  async rename(from: string, to: string): Promise<void> {
    await Promise.resolve();
    const done = (): void => {
      this.files.set(to, this.files.get(from) ?? new Uint8Array());
      this.files.delete(from);
    };
    this.step(() => {
      if (this.torn >= 0.5) done();
    });
    done();
  }

  async remove(name: string): Promise<void> {
    await Promise.resolve();
    this.step(() => undefined);
    this.files.delete(name);
  }
}
