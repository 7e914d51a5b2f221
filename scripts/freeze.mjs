// Builds the controller of an earlier commit, with its runtime injected, as one module that the region simulator runs
// beside the current controller. The module is stored under packages/region/frozen with its commit and checksum.
// Usage: node scripts/freeze.mjs COMMIT NAME
import { spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { existsSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { brotliCompressSync, constants } from 'node:zlib';
import { build } from 'esbuild';

const OUT_DIR = 'packages/region/frozen';
const [, , commit, name] = process.argv;
if (!commit || !/^[a-z0-9][a-z0-9-]{0,40}$/.test(name ?? '') || name === 'this') {
  process.stderr.write(
    'usage: node scripts/freeze.mjs COMMIT NAME (NAME: lower-case letters, digits and dashes; not "this")\n',
  );
  process.exit(2);
}
/** Runs git and returns its output; exits on failure. */
const git = (...args) => {
  const result = spawnSync('git', args, { maxBuffer: 256 * 1024 * 1024 });
  if (result.status !== 0) {
    process.stderr.write(result.stderr);
    process.exit(1);
  }
  return result.stdout;
};
const commitHash = git('rev-parse', `${commit}^{commit}`).toString().trim();
const dir = mkdtempSync(join(tmpdir(), 'freeze-'));
try {
  const tar = spawnSync('tar', ['-x', '-C', dir], {
    input: git('archive', commitHash, 'src', 'package.json', 'tsconfig.json'),
  });
  if (tar.status !== 0) throw new Error(String(tar.stderr));
  symlinkSync(resolve('node_modules'), join(dir, 'node_modules'));
  // The exports of every frozen controller: its own code parses its settings and creates its service.
  writeFileSync(
    join(dir, 'entry.ts'),
    `export { parseSettings } from './src/config/index.js';\nexport { Service } from './src/service/index.js';\n`,
  );
  const { outputFiles } = await build({
    ...{ entryPoints: [join(dir, 'entry.ts')], bundle: true, write: false, minify: true, keepNames: false },
    ...{ platform: 'node', target: 'node20', format: 'cjs', legalComments: 'none', logLevel: 'warning' },
  });
  const [{ contents }] = outputFiles;
  const releasesFile = join(OUT_DIR, 'releases.json');
  const releases = existsSync(releasesFile) ? JSON.parse(readFileSync(releasesFile, 'utf8')) : {};
  const sha256 = createHash('sha256').update(contents).digest('hex');
  releases[name] = { commit: commitHash, sha256, bytes: contents.length };
  const compressed = brotliCompressSync(contents, {
    params: { [constants.BROTLI_PARAM_QUALITY]: 11, [constants.BROTLI_PARAM_SIZE_HINT]: contents.length },
  });
  writeFileSync(join(OUT_DIR, `${name}.cjs.br`), compressed);
  writeFileSync(releasesFile, `${JSON.stringify(releases, null, 2)}\n`);
  process.stdout.write(
    `${name}: ${commitHash}, ${contents.length} bytes, ${compressed.length} compressed, sha256 ${sha256}\n`,
  );
} finally {
  rmSync(dir, { recursive: true, force: true });
}
