import { Subject } from 'rxjs';
import { sleep, type Logger, type Revision } from '../kernel/index.js';
import type { StateClient } from './client.js';
import type { Change, Entry } from './wire.js';

/**
 * What is alive, as this node has seen it so far: one list, then one watch. It may lag; whoever
 * needs the present reads the key itself.
 */
export class Mirror {
  readonly changes = new Subject<Change>();
  private entries = new Map<string, Entry>();
  /** Removals that the watch has not reached yet: without them an older put would bring a key back. */
  private readonly graves = new Map<string, Revision>();
  private at: Revision | undefined;
  private stopped = false;

  constructor(
    private readonly client: StateClient,
    private readonly prefix: string,
    private readonly log: Logger,
  ) {}

  get loaded(): boolean {
    return this.at !== undefined;
  }

  get(key: string): Entry | undefined {
    return this.entries.get(key);
  }

  *under(prefix: string): Iterable<Entry> {
    for (const [key, entry] of this.entries) if (key.startsWith(prefix)) yield entry;
  }

  async load(): Promise<boolean> {
    const listed = await this.client.list(this.prefix);
    if (!listed) return false;
    const fresh = new Map(listed.entries.map((entry) => [entry.key, entry]));
    const old = this.entries;
    this.entries = new Map(old);
    this.at = listed.revision;
    for (const key of old.keys()) {
      if (!fresh.has(key)) this.apply({ key, value: undefined, removed: true, version: listed.revision });
    }
    for (const entry of listed.entries) {
      this.apply({ key: entry.key, value: entry.value, removed: false, version: entry.version });
    }
    return true;
  }

  /** Takes in a change that this node made or read itself, ahead of the watch. */
  apply(change: Change): void {
    const known = this.entries.get(change.key);
    if (known && known.version >= change.version && !(change.removed && known.version === change.version)) return;
    const buried = this.graves.get(change.key);
    if (buried !== undefined && buried >= change.version) return;
    if (change.removed) {
      this.graves.set(change.key, change.version);
      if (!known) return;
      this.entries.delete(change.key);
    } else {
      this.entries.set(change.key, { key: change.key, value: change.value, version: change.version });
    }
    this.changes.next(change);
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.at === undefined) {
        if (!(await this.load())) await sleep(300);
        continue;
      }
      const page = await this.client.follow(this.prefix, this.at, 10_000);
      if (page === 'gone') {
        this.log.info('the watch is too far behind, reading everything again');
        if (!(await this.load())) await sleep(300);
        continue;
      }
      if (page === null) {
        await sleep(300);
        continue;
      }
      for (const change of page.changes) {
        try {
          this.apply(change);
        } catch (error) {
          this.log.error({ err: error, key: change.key }, 'a change could not be taken in');
        }
      }
      if (page.revision > this.at) this.at = page.revision;
      for (const [key, at] of this.graves) if (at <= this.at) this.graves.delete(key);
    }
  }

  stop(): void {
    this.stopped = true;
  }
}
