import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  Killed,
  MemoryFiles,
  readEvent,
  readTrace,
  TraceError,
  TraceStore,
  verifyTrace,
  type Cursor,
  type TraceRow,
} from '../src/index.js';

const row = (n: number): TraceRow => {
  const made = readEvent({ n, at: 1000 + n, kind: 'ended', job: `j-${n}`, phase: 'done', done: 3 }, 'n', 'life');
  assert.ok(made);
  return made;
};
const cursorAt = (after: number): Cursor => ({ node: 'n', life: 'life', after, lastAt: 1000 + after, readToMs: 1000 });
const rest = (after: number) => ({
  ...{ recordedToMs: 1000 + after, facts: { types: [] }, cursors: [cursorAt(after)], gaps: [] },
});
const NO_END = { ageMs: null, bytes: null };

/** A recorder without a network: it takes what is beyond its cursor, and is killed now and then. */
async function recordUpTo(files: MemoryFiles, last: number): Promise<void> {
  const { store, ids } = await TraceStore.open(files, 0);
  let after = store.manifest.cursors[0]?.after ?? 0;
  while (after < last) {
    const upTo = Math.min(last, after + 4);
    const rows = Array.from({ length: upTo - after }, (_, i) => row(after + 1 + i)).filter(({ id }) => !ids.has(id));
    await store.seal(rows, rest(upTo));
    after = upTo;
  }
}

test('killed at any step, and at any byte of a write, a trace holds each event once and all that it claims', async () => {
  const LAST = 20;
  const clean = new MemoryFiles();
  await recordUpTo(clean, LAST);
  assert.ok(clean.steps > 15);
  for (const torn of [0, 0.4, 0.9]) {
    for (let first = 1; first <= clean.steps; first++) {
      const files = new MemoryFiles(first, torn);
      await assert.rejects(recordUpTo(files, LAST), Killed);
      // Killed once more while it goes on, then left to its work.
      files.revive(1 + (first % 5));
      await recordUpTo(files, LAST).catch((error: unknown) => assert.ok(error instanceof Killed));
      files.revive();
      await recordUpTo(files, LAST);
      const trace = await readTrace(files);
      assert.deepEqual(
        trace.rows.map(({ n }) => n),
        Array.from({ length: LAST }, (_, i) => i + 1),
        `killed at step ${first}`,
      );
      assert.equal(trace.repeated, 0, `told twice, killed at step ${first}`);
      assert.equal((await verifyTrace(files)).wrong.size, 0);
    }
  }
});

test('one wrong byte anywhere is told by the name of its file, and nothing is written over it', async () => {
  const files = new MemoryFiles();
  await recordUpTo(files, 6);
  for (const [name, bytes] of [...files.files]) {
    for (let at = 0; at < bytes.length; at += 7) {
      const bad = bytes.slice();
      bad[at] = (bad[at] ?? 0) ^ 0x10;
      files.files.set(name, bad);
      await assert.rejects(readTrace(files), (error) => error instanceof TraceError && error.message.startsWith(name));
      await assert.rejects(TraceStore.open(files, 0), TraceError);
      assert.deepEqual([...(await verifyTrace(files)).wrong.keys()], [name]);
    }
    files.files.set(name, bytes);
  }
  files.files.delete('manifest.json');
  await assert.rejects(TraceStore.open(files, 0), /manifest.json: missing beside segments/);
});

test('what is dropped for its age or size is said, once', async () => {
  const files = new MemoryFiles();
  await recordUpTo(files, 20);
  const { store } = await TraceStore.open(files, 0);
  assert.equal(await store.retain(NO_END, 5000), 0);
  assert.equal(await store.retain({ ageMs: 1000, bytes: null }, 2010), 2);
  assert.equal(await store.retain({ ageMs: null, bytes: 1 }, 2010), 2);
  const trace = await readTrace(files);
  assert.deepEqual(
    trace.rows.map(({ n }) => n),
    [17, 18, 19, 20],
  );
  assert.deepEqual(
    trace.gaps.map(({ why, sinceMs, untilMs }) => [why, sinceMs, untilMs]),
    [['dropped', 1001, 1016]],
  );
  assert.equal([...files.files.keys()].length, 2);
});
