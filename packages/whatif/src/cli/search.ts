import { existsSync, mkdirSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';
import { Presets, SingleBar } from 'cli-progress';
import Table from 'cli-table3';
import { parse, stringify } from 'smol-toml';
import { quantileSorted } from 'simple-statistics';
import { digest, diskFiles, readTraceIn } from '../../../trace/src/index.js';
import { readNight, scenarioOf } from '../night/index.js';
import { applyPlan, PlanError, readPlan } from '../plan/index.js';
import { playDecisions } from '../replay/index.js';

export interface SearchFlags {
  readonly vary: string;
  readonly steps: number;
  readonly seeds: number;
  readonly out: string;
  readonly jobs: number;
  readonly goal?: string;
}

/** One replay of a search: a plan's text, and a seed. */
interface Trial {
  readonly file: string;
  readonly dir: string;
  readonly toml: string;
  readonly seed: number;
}

interface TrialResult {
  readonly money: number;
  /** By class: jobs that ended, seconds from submission at the 50th and 95th percentile, the last end. */
  readonly classes: Readonly<
    Record<
      string,
      {
        readonly jobs: number;
        readonly done: number;
        readonly p50: number;
        readonly p95: number;
        readonly lastS: number;
      }
    >
  >;
}

const VARY = /^([A-Za-z_]+(?:\[\d+\])?(?:\.[A-Za-z_]+(?:\[\d+\])?)*)=(-?[\d.]+)\.\.(-?[\d.]+)$/;

/** Puts a number where a path such as `move[0].by_s` points. */
export function withValue(toml: string, path: string, value: number): string {
  const plan = parse(toml) as Record<string, unknown>;
  const parts = path.split('.').flatMap((part) => {
    const [, name = part, index] = /^([^[]+)(?:\[(\d+)\])?$/.exec(part) ?? [];
    return index === undefined ? [name] : [name, Number(index)];
  });
  let at: unknown = plan;
  for (const part of parts.slice(0, -1)) {
    at = (at as Record<string | number, unknown> | undefined)?.[part];
    if (typeof at !== 'object' || at === null) throw new PlanError(`--vary: the plan has no ${path}`);
  }
  (at as Record<string | number, unknown>)[parts[parts.length - 1] ?? ''] = value;
  // TOML tells whole numbers from others, the plan does not.
  return stringify(plan);
}

async function runTrial({ dir, toml, seed }: Trial): Promise<TrialResult> {
  const night = readNight(await readTraceIn(dir));
  const scenario = applyPlan(scenarioOf(night), readPlan(toml, 'the varied plan'));
  const { outcomes, money } = await playDecisions(scenario, seed);
  const byClass = new Map<string, { times: number[]; jobs: number; lastS: number }>();
  for (const { spec, submittedS, finishedS, phase } of outcomes.values()) {
    if (spec.kind === 'service') continue;
    const c = byClass.get(spec.jobClass) ?? { times: [], jobs: 0, lastS: 0 };
    byClass.set(spec.jobClass, c);
    c.jobs += 1;
    if (phase !== 'done' || finishedS === null) continue;
    c.times.push(finishedS - submittedS);
    c.lastS = Math.max(c.lastS, finishedS);
  }
  const classes: Record<string, TrialResult['classes'][string]> = {};
  for (const [name, { times, jobs, lastS }] of byClass) {
    times.sort((a, b) => a - b);
    const at = (p: number): number => (times.length > 0 ? quantileSorted(times, p) : 0);
    classes[name] = { jobs, done: times.length, p50: at(0.5), p95: at(0.95), lastS };
  }
  return { money, classes };
}

/** Written beside and renamed: whoever is killed leaves no half result. */
function keep(file: string, result: TrialResult): void {
  writeFileSync(`${file}.tmp`, JSON.stringify(result));
  renameSync(`${file}.tmp`, file);
}

const KIND = 'wooddrift-whatif-trial';

if (!isMainThread && (workerData as { kind?: unknown } | null)?.kind === KIND) {
  parentPort?.on('message', (trial: Trial) => {
    runTrial(trial).then(
      (result) => {
        keep(trial.file, result);
        parentPort?.postMessage({ ok: true });
      },
      (error: unknown) =>
        parentPort?.postMessage({ ok: false, why: error instanceof Error ? error.message : String(error) }),
    );
  });
}

/** Plays all trials on so many threads; the first that fails ends the search with its reason. */
function playAll(trials: readonly Trial[], threads: number, done: () => void): Promise<void> {
  const rest = [...trials];
  // Each thread loads this very bundle once more.
  const one = (): Promise<void> =>
    new Promise((resolve, reject) => {
      const worker = new Worker(__filename, { workerData: { kind: KIND } });
      const next = (): void => {
        const trial = rest.shift();
        if (trial) worker.postMessage(trial);
        else void worker.terminate().then(() => resolve());
      };
      worker.on('message', (told: { ok: boolean; why?: string }) => {
        if (!told.ok) {
          rest.length = 0;
          void worker.terminate().then(() => reject(new PlanError(told.why ?? 'a replay failed')));
          return;
        }
        done();
        next();
      });
      worker.on('error', reject);
      next();
    });
  return Promise.all(Array.from({ length: Math.min(threads, trials.length) }, one)).then(() => undefined);
}

export async function search(dir: string, planFile: string, flags: SearchFlags): Promise<void> {
  const [, path, low, high] = VARY.exec(flags.vary) ?? [];
  const [from, to] = [Number(low), Number(high)];
  if (path === undefined || !Number.isFinite(from) || !Number.isFinite(to))
    throw new PlanError('--vary: must be a field and its bounds, such as move[0].by_s=-1800..1800');
  let toml: string;
  try {
    toml = readFileSync(planFile, 'utf8');
  } catch {
    throw new PlanError(`${planFile}: cannot be read`);
  }
  readPlan(toml, planFile);
  const night = readNight(await readTraceIn(dir));
  const base = scenarioOf(night);
  const values = Array.from({ length: flags.steps }, (_, i) =>
    flags.steps === 1 ? from : from + ((to - from) * i) / (flags.steps - 1),
  );
  mkdirSync(flags.out, { recursive: true });
  const manifest = await diskFiles(dir).read('manifest.json');
  const trials = values.flatMap((value) => {
    const varied = withValue(toml, path, value);
    // Refused before anything is played.
    applyPlan(base, readPlan(varied, `${planFile} with ${path}=${value}`));
    return Array.from({ length: flags.seeds }, (_, seed) => {
      const key = digest(Buffer.from(JSON.stringify([digest(manifest ?? new Uint8Array()), varied, seed])));
      return { value, file: join(flags.out, `${key.slice(0, 32)}.json`), dir, toml: varied, seed };
    });
  });
  const missing = trials.filter(({ file }) => !existsSync(file));
  const bar = new SingleBar(
    { format: 'search {bar} {value} of {total} replays', clearOnComplete: true, hideCursor: true },
    Presets.shades_classic,
  );
  const shown = process.stderr.isTTY;
  if (shown) bar.start(trials.length, trials.length - missing.length);
  await playAll(missing, flags.jobs, () => {
    if (shown) bar.increment();
  }).finally(() => bar.stop());
  const names = new Set<string>();
  const results = values.map((value) => {
    const own = trials
      .filter((trial) => trial.value === value)
      .map(({ file }) => JSON.parse(readFileSync(file, 'utf8')) as TrialResult);
    for (const { classes } of own) for (const name of Object.keys(classes)) names.add(name);
    const mean = (read: (r: TrialResult) => number): number => own.reduce((sum, r) => sum + read(r), 0) / own.length;
    const goal = (r: TrialResult): number =>
      flags.goal === undefined
        ? Object.values(r.classes).reduce((sum, c) => sum + c.p95, 0)
        : (r.classes[flags.goal]?.lastS ?? 0);
    return { value, money: mean((r) => r.money), goal: mean(goal), mean };
  });
  if (flags.goal !== undefined && !names.has(flags.goal))
    throw new PlanError(`--goal: no class ${flags.goal} in this night (${[...names].sort().join(', ')})`);
  const classes = [...names].sort();
  const table = new Table({ head: [path, ...classes, 'money'], style: { head: [], border: [] } });
  for (const { value, money, mean } of [...results].sort((a, b) => a.goal - b.goal || a.value - b.value))
    table.push([
      String(value),
      ...classes.map((name) => {
        const figure = (read: (c: TrialResult['classes'][string]) => number): string =>
          mean((r) => (r.classes[name] ? read(r.classes[name]) : 0)).toFixed(1);
        return `${figure((c) => c.p50)} / ${figure((c) => c.p95)}\nlast at ${figure((c) => c.lastS)}`;
      }),
      money.toFixed(2),
    ]);
  process.stdout.write(
    `${table.toString()}\nbest first; seconds from submission at the 50th / 95th percentile, and when the last job ended; mean of ${flags.seeds} replays; ${missing.length} of ${trials.length} replays were new\n`,
  );
}
