import { existsSync, mkdirSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';
import { Presets, SingleBar } from 'cli-progress';
import Table from 'cli-table3';
import { parse, stringify } from 'smol-toml';
import { quantileSorted } from 'simple-statistics';
import { sha256Hex, diskFiles, readTraceDirectory } from '../../../trace/src/index.js';
import { readNight, buildScenario } from '../night/index.js';
import { applyPlan, PlanError, readPlan } from '../plan/index.js';
import { replayWithDecisions } from '../replay/index.js';

/** Options of `whatif search`. */
export interface SearchFlags {
  readonly vary: string;
  readonly steps: number;
  readonly seeds: number;
  readonly out: string;
  readonly jobs: number;
  readonly goal?: string;
}

/** One replay of a search: the varied plan as TOML, the seed, and the file of the result. */
interface Trial {
  readonly file: string;
  readonly dir: string;
  readonly toml: string;
  readonly seed: number;
}

/** Result of one trial, as stored in its file. */
interface TrialResult {
  readonly money: number;
  /**
   * By class: number of jobs and of finished ones, 50th and 95th percentile of the seconds from submission to finish,
   * and the time of the last finish.
   */
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

const VARY_PATTERN = /^([A-Za-z_]+(?:\[\d+\])?(?:\.[A-Za-z_]+(?:\[\d+\])?)*)=(-?[\d.]+)\.\.(-?[\d.]+)$/;

/**
 * Returns the plan with a number set at a path such as `move[0].by_s`. Throws a PlanError if the parent of the field
 * does not exist.
 */
export function withValue(toml: string, path: string, value: number): string {
  const plan = parse(toml) as Record<string, unknown>;
  const parts = path.split('.').flatMap((part) => {
    const [, name = part, index] = /^([^[]+)(?:\[(\d+)\])?$/.exec(part) ?? [];
    return index === undefined ? [name] : [name, Number(index)];
  });
  let target: unknown = plan;
  for (const part of parts.slice(0, -1)) {
    target = (target as Record<string | number, unknown> | undefined)?.[part];
    if (typeof target !== 'object' || target === null) throw new PlanError(`--vary: the plan has no field ${path}`);
  }
  (target as Record<string | number, unknown>)[parts[parts.length - 1] ?? ''] = value;
  // TOML distinguishes integers from floats; plans accept both.
  return stringify(plan);
}

/** Replays one trial and summarizes its outcomes by class. */
async function runTrial({ dir, toml, seed }: Trial): Promise<TrialResult> {
  const night = readNight(await readTraceDirectory(dir));
  const scenario = applyPlan(buildScenario(night), readPlan(toml, 'the varied plan'));
  const { outcomes, money } = await replayWithDecisions(scenario, seed);
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
    const quantile = (p: number): number => (times.length > 0 ? quantileSorted(times, p) : 0);
    classes[name] = { jobs, done: times.length, p50: quantile(0.5), p95: quantile(0.95), lastS };
  }
  return { money, classes };
}

/** Writes a result to a temporary file and renames it, so that a killed process leaves no partial result. */
function writeResult(file: string, result: TrialResult): void {
  writeFileSync(`${file}.tmp`, JSON.stringify(result));
  renameSync(`${file}.tmp`, file);
}

/** Marks the worker threads that this module starts. */
const WORKER_KIND = 'wooddrift-whatif-trial';

if (!isMainThread && (workerData as { kind?: unknown } | null)?.kind === WORKER_KIND) {
  parentPort?.on('message', (trial: Trial) => {
    runTrial(trial).then(
      (result) => {
        writeResult(trial.file, result);
        parentPort?.postMessage({ ok: true });
      },
      (error: unknown) =>
        parentPort?.postMessage({ ok: false, why: error instanceof Error ? error.message : String(error) }),
    );
  });
}

/** Runs all trials on a number of threads. The first failure ends the search and rejects with its reason. */
function runTrials(trials: readonly Trial[], threads: number, done: () => void): Promise<void> {
  const remaining = [...trials];
  // Each thread loads the same bundle again.
  const runThread = (): Promise<void> =>
    new Promise((resolve, reject) => {
      const worker = new Worker(__filename, { workerData: { kind: WORKER_KIND } });
      const next = (): void => {
        const trial = remaining.shift();
        if (trial) worker.postMessage(trial);
        else void worker.terminate().then(() => resolve());
      };
      worker.on('message', (reply: { ok: boolean; why?: string }) => {
        if (!reply.ok) {
          remaining.length = 0;
          void worker
            .terminate()
            .then(() => reject(new PlanError(reply.why ?? 'a replay failed for an unknown reason')));
          return;
        }
        done();
        next();
      });
      worker.on('error', reject);
      next();
    });
  return Promise.all(Array.from({ length: Math.min(threads, trials.length) }, runThread)).then(() => undefined);
}

/**
 * Replays a plan at several values of one field, keeps the results in a directory and prints them, best value first.
 */
export async function search(dir: string, planFile: string, flags: SearchFlags): Promise<void> {
  const [, path, low, high] = VARY_PATTERN.exec(flags.vary) ?? [];
  const [from, to] = [Number(low), Number(high)];
  if (path === undefined || !Number.isFinite(from) || !Number.isFinite(to))
    throw new PlanError('--vary: must be a field and its range, such as move[0].by_s=-1800..1800');
  let toml: string;
  try {
    toml = readFileSync(planFile, 'utf8');
  } catch {
    throw new PlanError(`plan ${planFile} cannot be read`);
  }
  readPlan(toml, planFile);
  const night = readNight(await readTraceDirectory(dir));
  const base = buildScenario(night);
  const values = Array.from({ length: flags.steps }, (_, i) =>
    flags.steps === 1 ? from : from + ((to - from) * i) / (flags.steps - 1),
  );
  mkdirSync(flags.out, { recursive: true });
  const manifest = await diskFiles(dir).read('manifest.json');
  const trials = values.flatMap((value) => {
    const varied = withValue(toml, path, value);
    // Rejects an invalid plan before any replay starts.
    applyPlan(base, readPlan(varied, `${planFile} with ${path}=${value}`));
    return Array.from({ length: flags.seeds }, (_, seed) => {
      const key = sha256Hex(Buffer.from(JSON.stringify([sha256Hex(manifest ?? new Uint8Array()), varied, seed])));
      return { value, file: join(flags.out, `${key.slice(0, 32)}.json`), dir, toml: varied, seed };
    });
  });
  const missing = trials.filter(({ file }) => !existsSync(file));
  const bar = new SingleBar(
    { format: 'search {bar} {value} of {total} replays', clearOnComplete: true, hideCursor: true },
    Presets.shades_classic,
  );
  const enabled = process.stderr.isTTY;
  if (enabled) bar.start(trials.length, trials.length - missing.length);
  await runTrials(missing, flags.jobs, () => {
    if (enabled) bar.increment();
  }).finally(() => bar.stop());
  const names = new Set<string>();
  const results = values.map((value) => {
    const valueResults = trials
      .filter((trial) => trial.value === value)
      .map(({ file }) => JSON.parse(readFileSync(file, 'utf8')) as TrialResult);
    for (const { classes } of valueResults) for (const name of Object.keys(classes)) names.add(name);
    const mean = (read: (r: TrialResult) => number): number =>
      valueResults.reduce((sum, r) => sum + read(r), 0) / valueResults.length;
    const goal = (r: TrialResult): number =>
      flags.goal === undefined
        ? Object.values(r.classes).reduce((sum, c) => sum + c.p95, 0)
        : (r.classes[flags.goal]?.lastS ?? 0);
    return { value, money: mean((r) => r.money), goal: mean(goal), mean };
  });
  if (flags.goal !== undefined && !names.has(flags.goal))
    throw new PlanError(`--goal: this night has no job class ${flags.goal}; it has ${[...names].sort().join(', ')}`);
  const classes = [...names].sort();
  const table = new Table({ head: [path, ...classes, 'money'], style: { head: [], border: [] } });
  for (const { value, money, mean } of [...results].sort((a, b) => a.goal - b.goal || a.value - b.value))
    table.push([
      String(value),
      ...classes.map((name) => {
        const meanOf = (read: (c: TrialResult['classes'][string]) => number): string =>
          mean((r) => (r.classes[name] ? read(r.classes[name]) : 0)).toFixed(1);
        return `${meanOf((c) => c.p50)} / ${meanOf((c) => c.p95)}\nlast at ${meanOf((c) => c.lastS)}`;
      }),
      money.toFixed(2),
    ]);
  process.stdout.write(
    `${table.toString()}\nbest value first; seconds from submission to finish at the 50th / 95th percentile, and the time of the last finish; mean of ${flags.seeds} replays; ${missing.length} of ${trials.length} replays were run now, the others were stored\n`,
  );
}
