// Installs the dependencies of the lockfile if they are missing or out of date, so that a fresh clone needs one command.
import { spawnSync } from 'node:child_process';
import { statSync } from 'node:fs';

const modifiedMs = (path) => statSync(path, { throwIfNoEntry: false })?.mtimeMs ?? 0;

if (modifiedMs('node_modules/.package-lock.json') < modifiedMs('package-lock.json')) {
  process.stderr.write('installing dependencies (npm ci)\n');
  const { status } = spawnSync('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error'], {
    stdio: ['ignore', 'ignore', 'inherit'],
    shell: process.platform === 'win32',
  });
  if (status !== 0) process.exit(status ?? 1);
}
