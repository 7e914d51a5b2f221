// Two bundles: the controllers' own, since start time is downtime on a machine with a fraction of a
// core, and the tools' beside it, so that none of their libraries are in the first.
import { readdirSync, readFileSync } from 'node:fs';
import { basename, join } from 'node:path';
import { build } from 'esbuild';

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));
const DAYS = 'packages/region/days';
const days = readdirSync(DAYS).map((file) => [basename(file, '.toml'), readFileSync(join(DAYS, file), 'utf8')]);

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
    // Asked for by the charts' library where it is there; pictures are drawn as SVG without it.
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
