import { Subject } from 'rxjs';
import { revision, type Logger, type Revision, type Runtime } from '../kernel/index.js';
import type { StateClient } from './client.js';
import { WatchLag, type LagStatus } from './watch-lag.js';
import type { Change, Entry, Op } from './wire.js';

/** Every opened watch counts as a request: changes that follow each other closely share one. */
const REOPEN_MS = 100;
/** After so many changes of a page everything else gets a turn. */
const CHANGES_AT_ONCE = 200;
const NONE: ReadonlyMap<string, Entry> = new Map();

/** Keys are kept by directory, so that whoever wants the shards doesn't walk through the jobs. */
const directoryOf = (key: string): string => key.slice(0, key.lastIndexOf('/') + 1);

/**
 * What is alive, as this node has seen it so far: one list, then one watch. It may lag; whoever
 * needs the present reads the key itself.
 */
export class Mirror {
  readonly changes = new Subject<Change>();
  private readonly directories = new Map<string, Map<string, Entry>>();
  /** Removals that the watch has not reached yet: without them an older put would bring a key back. */
  private readonly graves = new Map<string, Revision>();
  private readonly touched = new Map<string, number>();
  private at: Revision | undefined;
  private stopped = false;
  private readonly watchLag: WatchLag;
  private waiters: { readonly upTo: Revision; readonly resolve: (fresh: boolean) => void }[] = [];

  constructor(
    private readonly client: Pick<StateClient, 'list' | 'follow'>,
    private readonly prefix: string,
    private readonly runtime: Runtime,
    private readonly log: Logger,
  ) {
    this.watchLag = new WatchLag(log);
  }

  /** How far this view is behind what reads and writes of this node have told. */
  get lag(): LagStatus {
    return this.watchLag.status(this.runtime.now());
  }

  get loaded(): boolean {
    return this.at !== undefined;
  }

  /** Up to here the watch has shown every change, in order. */
  get seenUpTo(): Revision {
    return this.at ?? revision(0);
  }

  get(key: string): Entry | undefined {
    return this.directories.get(directoryOf(key))?.get(key);
  }

  /** All entries of one directory, which ends with a slash. */
  under(directory: string): Iterable<Entry> {
    return (this.directories.get(directory) ?? NONE).values();
  }

  /** Grows with every change in a directory. */
  generationOf(directory: string): number {
    return this.touched.get(directory) ?? 0;
  }

  /** Waits until the watch has shown everything up to a revision; false when that takes too long. */
  reach(upTo: Revision, withinMs: number): Promise<boolean> {
    if (this.at !== undefined && this.at >= upTo) return Promise.resolve(true);
    this.watchLag.note(upTo, this.runtime.now());
    return new Promise((resolve) => {
      const waiter = {
        upTo,
        resolve: (fresh: boolean): void => {
          timer.cancel();
          resolve(fresh);
        },
      };
      const timer = this.runtime.after(withinMs, () => {
        this.waiters = this.waiters.filter((w) => w !== waiter);
        resolve(false);
      });
      this.waiters.push(waiter);
    });
  }

  private arrive(): void {
    const { at } = this;
    if (at === undefined) return;
    this.watchLag.shown(at, this.runtime.now());
    if (this.waiters.length === 0) return;
    const there = this.waiters.filter((w) => w.upTo <= at);
    if (there.length === 0) return;
    this.waiters = this.waiters.filter((w) => w.upTo > at);
    for (const waiter of there) waiter.resolve(true);
  }

  async load(): Promise<boolean> {
    const listed = await this.client.list(this.prefix);
    if (!listed) return false;
    const fresh = new Set(listed.entries.map((entry) => entry.key));
    for (const directory of [...this.directories.values()]) {
      for (const key of [...directory.keys()]) {
        if (!fresh.has(key)) this.take({ key, value: undefined, removed: true, version: listed.revision });
      }
    }
    await this.takeIn(listed.entries.map((e) => ({ key: e.key, value: e.value, removed: false, version: e.version })));
    // Only now: whoever finds it loaded must find all of it.
    this.at = listed.revision;
    this.arrive();
    return true;
  }

  private async takeIn(changes: readonly Change[]): Promise<void> {
    for (const [i, change] of changes.entries()) {
      if (i > 0 && i % CHANGES_AT_ONCE === 0) await this.runtime.sleep(0);
      try {
        this.take(change);
      } catch (error) {
        this.log.error({ err: error, key: change.key }, 'a change could not be taken in');
      }
    }
  }

  /**
   * Takes in a change that this node made or read itself, ahead of the watch. What the watch has passed says nothing
   * any more: the answer to a read or to a write of this node's own may be so late that the key has been removed since,
   * and would bring back a job that users have been told is over.
   */
  apply(change: Change): void {
    if (this.at !== undefined && change.version <= this.at) return;
    this.watchLag.note(change.version, this.runtime.now());
    this.take(change);
  }

  private take(change: Change): void {
    const known = this.get(change.key);
    if (known && known.version >= change.version && !(change.removed && known.version === change.version)) return;
    const name = directoryOf(change.key);
    const buried = this.graves.get(change.key);
    if (buried !== undefined && buried >= change.version) return;
    if (change.removed) {
      this.graves.set(change.key, change.version);
      if (!known) return;
      this.directories.get(name)?.delete(change.key);
    } else {
      let directory = this.directories.get(name);
      if (!directory) this.directories.set(name, (directory = new Map()));
      directory.set(change.key, { key: change.key, value: change.value, version: change.version });
    }
    this.touched.set(name, this.generationOf(name) + 1);
    this.changes.next(change);
  }

  /** Takes in a transaction of this node's own that was executed, ahead of the watch. */
  wrote(ops: readonly Op[], version: Revision): void {
    for (const op of ops) {
      if ('put' in op) this.apply({ key: op.put, value: op.value, removed: false, version });
      else this.apply({ key: op.remove, value: undefined, removed: true, version });
    }
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.at === undefined) {
        if (!(await this.load())) await this.runtime.sleep(300);
        continue;
      }
      const page = await this.client.follow(this.prefix, this.at, 10_000);
      if (page === 'gone') {
        this.log.info('the watch is too far behind, reading everything again');
        if (!(await this.load())) await this.runtime.sleep(300);
        continue;
      }
      if (page === null) {
        await this.runtime.sleep(300);
        continue;
      }
      await this.takeIn(page.changes);
      if (page.revision > this.at) this.at = page.revision;
      this.arrive();
      for (const [key, at] of this.graves) if (at <= this.at) this.graves.delete(key);
      if (page.changes.length > 0) await this.runtime.sleep(REOPEN_MS);
    }
  }

  stop(): void {
    this.stopped = true;
  }
}
