import { Subject } from 'rxjs';
import { revision, type Logger, type Revision, type Runtime } from '../kernel/index.js';
import type { StateClient } from './client.js';
import { WatchLag, type WatchLagStatus } from './watch-lag.js';
import type { Change, Entry, Op } from './wire.js';

/** Every watch request counts against the rate limit, so changes in quick succession share one. */
const WATCH_REOPEN_DELAY_MS = 100;
/** After this many changes of a page, the mirror yields to the event loop. */
const MAX_CHANGES_PER_TURN = 200;
const NO_ENTRIES: ReadonlyMap<string, Entry> = new Map();

/** Entries are grouped by directory, so that listing the shards doesn't iterate over the jobs. */
const directoryOf = (key: string): string => key.slice(0, key.lastIndexOf('/') + 1);

/**
 * Local copy of all keys under a prefix, kept by one list request and then one watch. It may lag behind the state
 * service; code that needs the current value reads the key itself.
 */
export class Mirror {
  /** Emits every change that is applied. */
  readonly changes = new Subject<Change>();
  private readonly directories = new Map<string, Map<string, Entry>>();
  /** Removals that the watch has not reached yet. Without them an older put would restore a removed key. */
  private readonly tombstones = new Map<string, Revision>();
  /** Number of changes applied to each directory. */
  private readonly generations = new Map<string, number>();
  /** The watch has shown every change up to this revision; undefined before the first load. */
  private seenRevision: Revision | undefined;
  private stopped = false;
  private readonly watchLag: WatchLag;
  private waiters: { readonly upTo: Revision; readonly resolve: (fresh: boolean) => void }[] = [];

  constructor(
    private readonly client: Pick<StateClient, 'list' | 'watch'>,
    private readonly prefix: string,
    private readonly runtime: Runtime,
    private readonly log: Logger,
  ) {
    this.watchLag = new WatchLag(log);
  }

  /** How far the mirror is behind the revisions that this node's reads and writes have returned. */
  get lag(): WatchLagStatus {
    return this.watchLag.status(this.runtime.now());
  }

  /** True once the first list is complete. */
  get loaded(): boolean {
    return this.seenRevision !== undefined;
  }

  /** The watch has shown every change up to this revision, in order; 0 before the first load. */
  get seenUpTo(): Revision {
    return this.seenRevision ?? revision(0);
  }

  /** The entry of a key, if the mirror has one. */
  get(key: string): Entry | undefined {
    return this.directories.get(directoryOf(key))?.get(key);
  }

  /** All entries of one directory. The directory name ends with a slash. */
  entriesIn(directory: string): Iterable<Entry> {
    return (this.directories.get(directory) ?? NO_ENTRIES).values();
  }

  /** A number that grows with every change in a directory. */
  generationOf(directory: string): number {
    return this.generations.get(directory) ?? 0;
  }

  /** Waits until the watch has shown every change up to a revision; false when that takes longer than `withinMs`. */
  reach(upTo: Revision, withinMs: number): Promise<boolean> {
    if (this.seenRevision !== undefined && this.seenRevision >= upTo) return Promise.resolve(true);
    this.watchLag.observe(upTo, this.runtime.now());
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

  /** Updates the lag and resolves the waiters whose revision has been reached. */
  private onRevisionReached(): void {
    const { seenRevision } = this;
    if (seenRevision === undefined) return;
    this.watchLag.advance(seenRevision, this.runtime.now());
    if (this.waiters.length === 0) return;
    const reached = this.waiters.filter((w) => w.upTo <= seenRevision);
    if (reached.length === 0) return;
    this.waiters = this.waiters.filter((w) => w.upTo > seenRevision);
    for (const waiter of reached) waiter.resolve(true);
  }

  /** Lists everything and replaces what is known; false when the state service is unavailable. */
  async load(): Promise<boolean> {
    const listed = await this.client.list(this.prefix);
    if (!listed) return false;
    const fresh = new Set(listed.entries.map((entry) => entry.key));
    for (const directory of [...this.directories.values()]) {
      for (const key of [...directory.keys()]) {
        if (!fresh.has(key)) this.applyIfNewer({ key, value: undefined, removed: true, version: listed.revision });
      }
    }
    await this.applyAll(
      listed.entries.map((e) => ({ key: e.key, value: e.value, removed: false, version: e.version })),
    );
    // Set only after everything is applied: `loaded` promises a complete mirror.
    this.seenRevision = listed.revision;
    this.onRevisionReached();
    return true;
  }

  /** Applies changes in order. A change whose subscriber fails is logged and doesn't hold up the others. */
  private async applyAll(changes: readonly Change[]): Promise<void> {
    for (const [i, change] of changes.entries()) {
      if (i > 0 && i % MAX_CHANGES_PER_TURN === 0) await this.runtime.sleep(0);
      try {
        this.applyIfNewer(change);
      } catch (error) {
        this.log.error({ err: error, key: change.key }, 'a change of the state service could not be applied');
      }
    }
  }

  /**
   * Applies a change that this node made or read itself, ahead of the watch. A change at or before the watch's revision
   * is ignored: the answer to this node's own read or write may come so late that the key has been removed since, and
   * applying it would restore a job that users have been told is over.
   */
  apply(change: Change): void {
    if (this.seenRevision !== undefined && change.version <= this.seenRevision) return;
    this.watchLag.observe(change.version, this.runtime.now());
    this.applyIfNewer(change);
  }

  /**
   * Applies a change unless the mirror has the key, or a removal of it, at the same or a newer version. A removal also
   * replaces an entry of the same version.
   */
  private applyIfNewer(change: Change): void {
    const known = this.get(change.key);
    if (known && known.version >= change.version && !(change.removed && known.version === change.version)) return;
    const name = directoryOf(change.key);
    const removedAt = this.tombstones.get(change.key);
    if (removedAt !== undefined && removedAt >= change.version) return;
    if (change.removed) {
      this.tombstones.set(change.key, change.version);
      if (!known) return;
      this.directories.get(name)?.delete(change.key);
    } else {
      let directory = this.directories.get(name);
      if (!directory) this.directories.set(name, (directory = new Map()));
      directory.set(change.key, { key: change.key, value: change.value, version: change.version });
    }
    this.generations.set(name, this.generationOf(name) + 1);
    this.changes.next(change);
  }

  /** Applies an executed transaction of this node, ahead of the watch. */
  applyTxn(ops: readonly Op[], version: Revision): void {
    for (const op of ops) {
      if ('put' in op) this.apply({ key: op.put, value: op.value, removed: false, version });
      else this.apply({ key: op.remove, value: undefined, removed: true, version });
    }
  }

  /** Loads the mirror and applies changes from the watch until `stop`. Reloads when the watch is too far behind. */
  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.seenRevision === undefined) {
        if (!(await this.load())) await this.runtime.sleep(300);
        continue;
      }
      const page = await this.client.watch(this.prefix, this.seenRevision, 10_000);
      if (page === 'gone') {
        this.log.info('the watch is too far behind, listing all keys again');
        if (!(await this.load())) await this.runtime.sleep(300);
        continue;
      }
      if (page === null) {
        await this.runtime.sleep(300);
        continue;
      }
      await this.applyAll(page.changes);
      if (page.revision > this.seenRevision) this.seenRevision = page.revision;
      this.onRevisionReached();
      for (const [key, removedAt] of this.tombstones) if (removedAt <= this.seenRevision) this.tombstones.delete(key);
      if (page.changes.length > 0) await this.runtime.sleep(WATCH_REOPEN_DELAY_MS);
    }
  }

  /** Ends `run` after the current request. */
  stop(): void {
    this.stopped = true;
  }
}
