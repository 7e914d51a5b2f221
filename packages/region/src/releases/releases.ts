import { existsSync, readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join, resolve } from 'node:path';
import { compileFunction } from 'node:vm';
import { brotliDecompressSync } from 'node:zlib';
import { sha256 } from '@noble/hashes/sha2.js';
import { bytesToHex } from '@noble/hashes/utils.js';
import * as v from 'valibot';
import { parseSettings } from '../../../../src/config/index.js';
import type { Logger, Runtime } from '../../../../src/kernel/index.js';
import { Service, type ServiceOptions } from '../../../../src/service/index.js';

/** A frozen release that is not there, or is not what it was. */
export class ReleaseError extends Error {}

/** A controller that has been made and can be started, whichever release it is of. */
export interface Running {
  start(): void;
  stop(): void;
}

/** One release of the controller: makes controllers out of a settings file, on a runtime that it is given. */
export interface Release {
  readonly name: string;
  make(toml: string, log: Logger, runtime: Runtime, options: ServiceOptions): Running;
}

/** What every day plays unless it says otherwise: the controller as its sources stand. */
export const THIS = 'this';

const current: Release = {
  name: THIS,
  make: (toml, log, runtime, options) => new Service(parseSettings(toml), log, runtime, options),
};

const listSchema = v.record(v.string(), v.strictObject({ commit: v.string(), sha256: v.string(), bytes: v.number() }));

/** What a frozen module gives: see `scripts/freeze.mjs`. Its own types are those of its own time. */
interface FrozenModule {
  readonly parseSettings: (toml: string) => unknown;
  readonly Service: new (settings: unknown, log: Logger, runtime: Runtime, options: ServiceOptions) => Running;
}

/** Controllers of earlier commits, kept as they were built; each is read and checked once, when it is first played. */
export class Releases {
  private readonly made = new Map<string, Release>([[THIS, current]]);
  private listed: v.InferOutput<typeof listSchema> | undefined;

  constructor(private readonly dir: string) {}

  /** Names of all that can be played, today's first. */
  get names(): readonly string[] {
    return [THIS, ...Object.keys(this.list)];
  }

  private get list(): v.InferOutput<typeof listSchema> {
    const file = join(this.dir, 'releases.json');
    if (this.listed) return this.listed;
    if (!existsSync(file)) return (this.listed = {});
    const read = v.safeParse(listSchema, JSON.parse(readFileSync(file, 'utf8')));
    if (!read.success) throw new ReleaseError(`${file}: ${read.issues[0].message}`);
    return (this.listed = read.output);
  }

  of(name: string): Release {
    const known = this.made.get(name);
    if (known) return known;
    const entry = this.list[name];
    if (!entry) throw new ReleaseError(`no release of the name ${name}; there are: ${this.names.join(', ')}`);
    const file = join(this.dir, `${name}.cjs.br`);
    if (!existsSync(file)) throw new ReleaseError(`${file} is missing`);
    const code = brotliDecompressSync(readFileSync(file));
    // A frozen controller that was changed would prove nothing about the one that operators run.
    if (bytesToHex(sha256(code)) !== entry.sha256)
      throw new ReleaseError(`${file} is not what was frozen: its checksum differs from releases.json`);
    const module = { exports: {} as unknown };
    const load = compileFunction(code.toString('utf8'), ['module', 'exports', 'require'], { filename: file }) as (
      ...given: unknown[]
    ) => void;
    load(module, module.exports, createRequire(resolve(file)));
    const { Service: Frozen, parseSettings: parse } = module.exports as FrozenModule;
    const release: Release = {
      name,
      make: (toml, log, runtime, options) => new Frozen(parse(toml), log, runtime, options),
    };
    this.made.set(name, release);
    return release;
  }
}
