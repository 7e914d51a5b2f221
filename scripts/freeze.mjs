// Builds the controller of an earlier commit, with its runtime handed in, as one module that the region plays beside
// today's. Usage: node scripts/freeze.mjs COMMIT NAME. Kept under packages/region/frozen with commit and checksum.
import { spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { existsSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { brotliCompressSync, constants } from 'node:zlib';
import { build } from 'esbuild';

const OUT = 'packages/region/frozen';
const [, , commit, name] = process.argv;
if (!commit || !/^[a-z0-9][a-z0-9-]{0,40}$/.test(name ?? '') || name === 'this') {
  process.stderr.write(
    'usage: node scripts/freeze.mjs COMMIT NAME (lower case letters, digits and dashes; not "this")\n',
  );
  process.exit(2);
}
const git = (...args) => {
  const done = spawnSync('git', args, { maxBuffer: 256 * 1024 * 1024 });
  if (done.status !== 0) {
    process.stderr.write(done.stderr);
    process.exit(1);
  }
  return done.stdout;
};
const full = git('rev-parse', `${commit}^{commit}`).toString().trim();
const dir = mkdtempSync(join(tmpdir(), 'freeze-'));
try {
  const tar = spawnSync('tar', ['-x', '-C', dir], {
    input: git('archive', full, 'src', 'package.json', 'tsconfig.json'),
  });
  if (tar.status !== 0) throw new Error(String(tar.stderr));
  symlinkSync(resolve('node_modules'), join(dir, 'node_modules'));
  // What every frozen controller gives: its settings are read and its service made by its own code.
  writeFileSync(
    join(dir, 'entry.ts'),
    `export { parseSettings } from './src/config/index.js';\nexport { Service } from './src/service/index.js';\n`,
  );
  const { outputFiles } = await build({
    ...{ entryPoints: [join(dir, 'entry.ts')], bundle: true, write: false, minify: true, keepNames: false },
    ...{ platform: 'node', target: 'node20', format: 'cjs', legalComments: 'none', logLevel: 'warning' },
  });
  const [{ contents }] = outputFiles;
  const list = join(OUT, 'releases.json');
  const releases = existsSync(list) ? JSON.parse(readFileSync(list, 'utf8')) : {};
  const sha256 = createHash('sha256').update(contents).digest('hex');
  releases[name] = { commit: full, sha256, bytes: contents.length };
  const packed = brotliCompressSync(contents, {
    params: { [constants.BROTLI_PARAM_QUALITY]: 11, [constants.BROTLI_PARAM_SIZE_HINT]: contents.length },
  });
  writeFileSync(join(OUT, `${name}.cjs.br`), packed);
  writeFileSync(list, `${JSON.stringify(releases, null, 2)}\n`);
  process.stdout.write(`${name}: ${full}, ${contents.length} bytes, ${packed.length} packed, sha256 ${sha256}\n`);
} finally {
  rmSync(dir, { recursive: true, force: true });
}
