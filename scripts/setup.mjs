// Installs what the lockfile names when it isn't there, so that a fresh clone needs one command.
import { spawnSync } from 'node:child_process';
import { statSync } from 'node:fs';

const timeOf = (path) => statSync(path, { throwIfNoEntry: false })?.mtimeMs ?? 0;

if (timeOf('node_modules/.package-lock.json') < timeOf('package-lock.json')) {
  process.stderr.write('installing libraries (npm ci)\n');
  const { status } = spawnSync('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error'], {
    stdio: ['ignore', 'ignore', 'inherit'],
    shell: process.platform === 'win32',
  });
  if (status !== 0) process.exit(status ?? 1);
}
