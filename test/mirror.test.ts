import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { millis, revision, type Logger, type Revision } from '../src/kernel/index.js';
import { Mirror, WatchLag, type Change } from '../src/state/index.js';
import { SimulationHarness } from '../packages/region/test/simulation-harness.js';

const KEYS = ['live/jobs/a', 'live/jobs/b'];
const WATCH_REOPEN_WAIT_MS = 150;

/** Waits until pending work has finished and the mirror has reopened its watch. */
async function followed(lab: SimulationHarness): Promise<void> {
  await lab.runUntilSettled(Promise.resolve());
  await lab.advance(WATCH_REOPEN_WAIT_MS);
  await lab.runUntilSettled(Promise.resolve());
}

/** A stand-in for the state service: keeps all changes in order and lets the test decide when the watch shows them. */
class Store {
  readonly log: Change[] = [];
  private shown = 0;
  private waiting: ((page: { changes: Change[]; revision: Revision }) => void) | undefined;

  list = (): Promise<{ entries: never[]; revision: Revision }> =>
    Promise.resolve({ entries: [], revision: revision(0) });

  watch = (_prefix: string, after: Revision): Promise<{ changes: Change[]; revision: Revision }> =>
    new Promise((resolve) => {
      this.waiting = resolve;
      if (after < this.shown) this.answer(after);
    });

  private answer(after: number): void {
    const { waiting } = this;
    this.waiting = undefined;
    waiting?.({ changes: this.log.slice(after, this.shown), revision: revision(this.shown) });
  }

  write(key: string, removed: boolean): Change {
    const version = revision(this.log.length + 1);
    const change: Change = { key, value: removed ? undefined : { of: version }, removed, version };
    this.log.push(change);
    return change;
  }

  /** The change that a read made now would apply to the mirror; null when the key does not exist. */
  read(key: string): Change | null {
    const last = [...this.log].reverse().find((change) => change.key === key);
    return last && !last.removed ? last : null;
  }

  show(upTo: number): void {
    const after = this.shown;
    this.shown = Math.min(this.log.length, Math.max(after, upTo));
    if (this.shown > after) this.answer(after);
  }

  /** Reference model: true when the key had this version (null: absent) at revision `from` or at a later one. */
  mayShow(key: string, version: number | null, from: number): boolean {
    const before = this.log
      .slice(0, from)
      .reverse()
      .find((change) => change.key === key);
    const later = this.log.slice(from).filter((change) => change.key === key);
    return [before, ...later].some((change) => (!change || change.removed ? null : change.version) === version);
  }
}

const event = fc.record({
  kind: fc.constantFrom('write', 'remove', 'read', 'own', 'show', 'answer'),
  key: fc.constantFrom(...KEYS),
  nth: fc.nat(8),
});

test('late answers to reads and own writes never make the mirror show a state older than the revision of its watch', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(event, { minLength: 30, maxLength: 40, size: 'max' }), async (events) => {
      const lab = new SimulationHarness();
      const store = new Store();
      const mirror = new Mirror(store, 'live/', lab.process('10.0.0.1'), lab.log);
      void mirror.run();
      await followed(lab);
      /** Answers that have not arrived yet. */
      const held: Change[] = [];
      for (const { kind, key, nth } of events) {
        if (kind === 'write') store.write(key, false);
        else if (kind === 'remove') store.write(key, true);
        else if (kind === 'own') held.push(store.write(key, nth % 2 === 0));
        else if (kind === 'read') held.push(...[store.read(key)].filter((change) => change !== null));
        else if (kind === 'answer')
          for (const change of held.splice(nth % Math.max(1, held.length), 1)) mirror.apply(change);
        else {
          store.show(mirror.seenUpTo + 1 + nth);
          await followed(lab);
        }
        for (const name of KEYS) {
          const version = mirror.get(name)?.version ?? null;
          assert.ok(store.mayShow(name, version, mirror.seenUpTo), `${name}: ${version} at ${mirror.seenUpTo}`);
        }
      }
      mirror.stop();
    }),
    { seed: 11, numRuns: 300 },
  );
});

test('a late answer to the write that accepted a job does not restore the job after the watch has shown its removal', async () => {
  const lab = new SimulationHarness();
  const store = new Store();
  const mirror = new Mirror(store, 'live/', lab.process('10.0.0.1'), lab.log);
  void mirror.run();
  await followed(lab);
  const accepted = store.write('live/jobs/a', false);
  store.write('live/jobs/a', true);
  store.show(2);
  await followed(lab);
  const changes: Change[] = [];
  mirror.changes.subscribe((change) => changes.push(change));
  mirror.apply(accepted);
  assert.equal(mirror.get('live/jobs/a'), undefined);
  assert.deepEqual(changes, [], 'no change is emitted, so no holder acts on it');
  mirror.stop();
});

test('a watch that lags behind known revisions is logged once, and so is that it advances again', () => {
  const lines: string[] = [];
  const logLine = (_fields: unknown, text: string): void => void lines.push(text);
  const lag = new WatchLag({ info: logLine, warn: logLine } as unknown as Logger);
  lag.advance(revision(10), millis(0));
  lag.observe(revision(10), millis(0));
  lag.observe(revision(12), millis(100));
  lag.observe(revision(15), millis(2000));
  assert.deepEqual(lag.status(millis(2000)), { seenUpTo: 10, newest: 15, behindMs: 1900 });
  assert.deepEqual(lines, []);
  lag.observe(revision(16), millis(2700));
  lag.observe(revision(17), millis(2800));
  assert.equal(lines.length, 1);
  lag.advance(revision(14), millis(3000));
  // The first missing revision has been shown; the revisions observed since are still missing.
  assert.deepEqual(lag.status(millis(3100)), { seenUpTo: 14, newest: 17, behindMs: 100 });
  lag.advance(revision(17), millis(3200));
  assert.equal(lag.status(millis(9000)).behindMs, 0);
  assert.equal(lines.length, 2);
});
