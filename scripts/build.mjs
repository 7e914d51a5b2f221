// Bundles the program into one file: start time is downtime on a machine with a fraction of a core.
import { readFileSync } from 'node:fs';
import { build } from 'esbuild';

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));

await build({
  entryPoints: ['src/cli/main.ts'],
  outfile: 'target/main.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifyWhitespace: true,
  legalComments: 'none',
  define: { WOODDRIFT_VERSION: JSON.stringify(version) },
  logLevel: 'warning',
});
