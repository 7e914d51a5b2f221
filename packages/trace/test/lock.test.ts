import assert from 'node:assert/strict';
import { existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { lockDirectory } from '../src/cli/index.js';

test('one recorder a directory; a lock that a killed one left is taken over', () => {
  const dir = mkdtempSync(join(tmpdir(), 'trace-lock-'));
  const file = join(dir, 'record.lock');
  try {
    // The process that runs this test's process is alive for certain.
    writeFileSync(file, String(process.ppid));
    assert.throws(() => lockDirectory(dir), new RegExp(`process ${process.ppid} records there already`));
    writeFileSync(file, '');
    lockDirectory(dir)();
    assert.equal(existsSync(file), false);
  } finally {
    rmSync(dir, { recursive: true });
  }
});
