import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  KilledError,
  MemoryFiles,
  parseEvent,
  readTrace,
  TraceError,
  TraceStore,
  verifyTrace,
  type Cursor,
  type TraceRow,
} from '../src/index.js';

const row = (n: number): TraceRow => {
  const parsed = parseEvent({ n, at: 1000 + n, kind: 'ended', job: `j-${n}`, phase: 'done', done: 3 }, 'n', 'life');
  assert.ok(parsed);
  return parsed;
};
const cursorAt = (after: number): Cursor => ({ node: 'n', life: 'life', after, lastAt: 1000 + after, readToMs: 1000 });
const manifestFields = (after: number) => ({
  ...{ recordedToMs: 1000 + after, facts: { types: [] }, cursors: [cursorAt(after)], gaps: [] },
});
const UNLIMITED = { ageMs: null, bytes: null };

/** Stands in for a recorder: appends the events after the stored cursor, up to `last`, four to a segment. */
async function recordUpTo(files: MemoryFiles, last: number): Promise<void> {
  const { store, rowsById } = await TraceStore.open(files, 0);
  let after = store.manifest.cursors[0]?.after ?? 0;
  while (after < last) {
    const upTo = Math.min(last, after + 4);
    const rows = Array.from({ length: upTo - after }, (_, i) => row(after + 1 + i)).filter(
      ({ id }) => !rowsById.has(id),
    );
    await store.seal(rows, manifestFields(upTo));
    after = upTo;
  }
}

test('a trace whose writer is killed at any operation, also inside a write, holds each event once and is intact', async () => {
  const LAST_EVENT = 20;
  const clean = new MemoryFiles();
  await recordUpTo(clean, LAST_EVENT);
  assert.ok(clean.operations > 15);
  for (const writtenShare of [0, 0.4, 0.9]) {
    for (let killAt = 1; killAt <= clean.operations; killAt++) {
      const files = new MemoryFiles(killAt, writtenShare);
      await assert.rejects(recordUpTo(files, LAST_EVENT), KilledError);
      // The restarted recorder is killed once more, then runs to the end.
      files.restartProcess(1 + (killAt % 5));
      await recordUpTo(files, LAST_EVENT).catch((error: unknown) => assert.ok(error instanceof KilledError));
      files.restartProcess();
      await recordUpTo(files, LAST_EVENT);
      const trace = await readTrace(files);
      assert.deepEqual(
        trace.rows.map(({ n }) => n),
        Array.from({ length: LAST_EVENT }, (_, i) => i + 1),
        `killed at operation ${killAt}`,
      );
      assert.equal(trace.duplicates, 0, `duplicates, killed at operation ${killAt}`);
      assert.equal((await verifyTrace(files)).errors.size, 0);
    }
  }
});

test('a corrupted byte in any file is reported with the file name, and the trace cannot be opened for writing', async () => {
  const files = new MemoryFiles();
  await recordUpTo(files, 6);
  for (const [name, bytes] of [...files.files]) {
    for (let offset = 0; offset < bytes.length; offset += 7) {
      const corrupted = bytes.slice();
      corrupted[offset] = (corrupted[offset] ?? 0) ^ 0x10;
      files.files.set(name, corrupted);
      await assert.rejects(readTrace(files), (error) => error instanceof TraceError && error.message.startsWith(name));
      await assert.rejects(TraceStore.open(files, 0), TraceError);
      assert.deepEqual([...(await verifyTrace(files)).errors.keys()], [name]);
    }
    files.files.set(name, bytes);
  }
  files.files.delete('manifest.json');
  await assert.rejects(TraceStore.open(files, 0), /manifest.json: missing although segments exist/);
});

test('segments dropped because of their age or size are recorded as one gap', async () => {
  const files = new MemoryFiles();
  await recordUpTo(files, 20);
  const { store } = await TraceStore.open(files, 0);
  assert.equal(await store.applyRetention(UNLIMITED, 5000), 0);
  assert.equal(await store.applyRetention({ ageMs: 1000, bytes: null }, 2010), 2);
  assert.equal(await store.applyRetention({ ageMs: null, bytes: 1 }, 2010), 2);
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
