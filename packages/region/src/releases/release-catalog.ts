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

/** A frozen release is missing or differs from its recorded checksum. */
export class ReleaseError extends Error {}

/** A controller of any release, which can be started and stopped. */
export interface ControllerHandle {
  start(): void;
  stop(): void;
}

/** A release of the controller, which creates controllers from a settings file on a given runtime. */
export interface Release {
  readonly name: string;
  /** Creates a controller from settings in TOML; throws if they are invalid. */
  createController(toml: string, log: Logger, runtime: Runtime, options: ServiceOptions): ControllerHandle;
}

/** Name of the release that is built from the present sources; scenarios use it by default. */
export const CURRENT_RELEASE = 'this';

const currentRelease: Release = {
  name: CURRENT_RELEASE,
  createController: (toml, log, runtime, options) => new Service(parseSettings(toml), log, runtime, options),
};

/** Schema of `releases.json`: commit, checksum and size of each frozen release, by name. */
const manifestSchema = v.record(
  v.string(),
  v.strictObject({ commit: v.string(), sha256: v.string(), bytes: v.number() }),
);

/** Exports of a frozen module, see `scripts/freeze.mjs`. Its own types may differ from the present ones. */
interface FrozenModule {
  readonly parseSettings: (toml: string) => unknown;
  readonly Service: new (settings: unknown, log: Logger, runtime: Runtime, options: ServiceOptions) => ControllerHandle;
}

/** The present release and frozen builds of earlier commits. Each frozen build is read and verified once, on first use. */
export class ReleaseCatalog {
  private readonly loaded = new Map<string, Release>([[CURRENT_RELEASE, currentRelease]]);
  private cachedManifest: v.InferOutput<typeof manifestSchema> | undefined;

  constructor(private readonly dir: string) {}

  /** Names of all available releases, the present one first. */
  get names(): readonly string[] {
    return [CURRENT_RELEASE, ...Object.keys(this.manifest)];
  }

  private get manifest(): v.InferOutput<typeof manifestSchema> {
    const file = join(this.dir, 'releases.json');
    if (this.cachedManifest) return this.cachedManifest;
    if (!existsSync(file)) return (this.cachedManifest = {});
    const parsed = v.safeParse(manifestSchema, JSON.parse(readFileSync(file, 'utf8')));
    if (!parsed.success) throw new ReleaseError(`${file}: ${parsed.issues[0].message}`);
    return (this.cachedManifest = parsed.output);
  }

  /** Returns a release by name; throws a ReleaseError if it is unknown, missing or modified. */
  get(name: string): Release {
    const cached = this.loaded.get(name);
    if (cached) return cached;
    const entry = this.manifest[name];
    if (!entry) throw new ReleaseError(`no release of the name ${name}; there are: ${this.names.join(', ')}`);
    const file = join(this.dir, `${name}.cjs.br`);
    if (!existsSync(file)) throw new ReleaseError(`frozen release ${file} does not exist`);
    const code = brotliDecompressSync(readFileSync(file));
    // Results of a modified build would not apply to the release that operators run.
    if (bytesToHex(sha256(code)) !== entry.sha256)
      throw new ReleaseError(`${file} has been modified: its checksum differs from releases.json`);
    const module = { exports: {} as unknown };
    const loadModule = compileFunction(code.toString('utf8'), ['module', 'exports', 'require'], { filename: file }) as (
      ...args: unknown[]
    ) => void;
    loadModule(module, module.exports, createRequire(resolve(file)));
    const { Service: FrozenService, parseSettings: parseFrozenSettings } = module.exports as FrozenModule;
    const release: Release = {
      name,
      createController: (toml, log, runtime, options) =>
        new FrozenService(parseFrozenSettings(toml), log, runtime, options),
    };
    this.loaded.set(name, release);
    return release;
  }
}
