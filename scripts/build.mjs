// Builds two bundles: the controller, and the tools. They are separate so that the controller bundle contains none of
// the tools' libraries: its start time is downtime, and it runs on a machine with a fraction of a core.
import { readdirSync, readFileSync } from 'node:fs';
import { basename, join } from 'node:path';
import { build } from 'esbuild';

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));
const DAYS_DIR = 'packages/region/days';
const days = readdirSync(DAYS_DIR).map((file) => [basename(file, '.toml'), readFileSync(join(DAYS_DIR, file), 'utf8')]);

const bundle = (entry, outfile, define) =>
  build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    minifyWhitespace: true,
    legalComments: 'none',
    // Optional dependency of the charts library; charts are drawn as SVG, which does not need it.
    external: ['canvas'],
    define,
    logLevel: 'warning',
  });

await Promise.all([
  bundle('src/cli/main.ts', 'target/main.cjs', { WOODDRIFT_VERSION: JSON.stringify(version) }),
  bundle('packages/tools/src/cli/main.ts', 'target/tools.cjs', {
    SHIPPED_DAYS: JSON.stringify(Object.fromEntries(days)),
  }),
]);
