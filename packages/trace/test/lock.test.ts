import assert from 'node:assert/strict';
import { existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { lockDirectory } from '../src/cli/index.js';

test('a directory is locked for one recorder; the lock of a killed recorder is taken over', () => {
  const dir = mkdtempSync(join(tmpdir(), 'trace-lock-'));
  const lockFile = join(dir, 'record.lock');
  try {
    // The parent process of this test is certainly alive.
    writeFileSync(lockFile, String(process.ppid));
    assert.throws(
      () => lockDirectory(dir),
      new RegExp(`process ${process.ppid} is already recording into this directory`),
    );
    writeFileSync(lockFile, '');
    lockDirectory(dir)();
    assert.equal(existsSync(lockFile), false);
  } finally {
    rmSync(dir, { recursive: true });
  }
});
