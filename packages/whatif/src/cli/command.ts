import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Presets, SingleBar } from 'cli-progress';
import { Command, InvalidArgumentError, Option } from 'commander';
import { fleetDay, parseScenario, Region } from '../../../region/src/index.js';
import { diskFiles, readTraceDirectory, type Trace } from '../../../trace/src/index.js';
import {
  forecast,
  encodeForecastParquet,
  renderForecastPage,
  renderForecastTable,
  replayErrors,
  type ReplayEngine,
} from '../forecast/index.js';
import { predict, replaySpeed, reproduce } from '../measure/index.js';
import { jobOutcomes, readNight, buildScenario, type Night } from '../night/index.js';
import { applyPlan, PlanError, readPlan, type Plan } from '../plan/index.js';
import { replayWithDecisions, replayWithControllers, recordRegion } from '../replay/index.js';
import { search, type SearchFlags } from './search.js';

/** Ways of replaying a night, by the name of the --engine option. */
const ENGINES = { decisions: replayWithDecisions, whole: replayWithControllers } as const;
type EngineName = keyof typeof ENGINES;

/** Parses an option value; commander prints the error with the option's name. */
const parseWholeNumber = (text: string): number => {
  const n = Number(text);
  if (!Number.isInteger(n) || n < 0 || n > 2 ** 31)
    throw new InvalidArgumentError('must be a whole number from 0 to 2147483648');
  return n;
};
const parseCount = (text: string): number => {
  const n = parseWholeNumber(text);
  if (n < 1 || n > 1000) throw new InvalidArgumentError('must be a whole number from 1 to 1000');
  return n;
};
const engineOption = (): Option =>
  new Option(
    '--engine <name>',
    'decisions: only the decision functions; whole: whole controllers on simulated machines',
  )
    .choices(Object.keys(ENGINES))
    .default('decisions');

/** Reads a trace from a directory, and the night that it records. */
export async function loadNight(dir: string): Promise<{ trace: Trace; night: Night }> {
  const trace = await readTraceDirectory(dir);
  return { trace, night: readNight(trace) };
}

/** Reads a plan from a TOML file. Throws a PlanError if the file cannot be read or is not a valid plan. */
export function loadPlan(file: string): Plan {
  let toml: string;
  try {
    toml = readFileSync(file, 'utf8');
  } catch {
    throw new PlanError(`plan ${file} cannot be read`);
  }
  return readPlan(toml, file);
}

/** Returns `count` consecutive seeds. */
const consecutiveSeeds = (first: number, count: number): number[] => Array.from({ length: count }, (_, i) => first + i);

/** Shows a progress bar on a terminal while the work runs. */
function withProgressBar<T>(title: string, work: (onProgress: (share: number) => void) => Promise<T>): Promise<T> {
  const bar = new SingleBar(
    { format: `${title} {bar} {percentage} %`, clearOnComplete: true, hideCursor: true },
    Presets.shades_classic,
  );
  const enabled = process.stderr.isTTY;
  if (enabled) bar.start(100, 0);
  return work((share) => {
    if (enabled) bar.update(Math.round(share * 100));
  }).finally(() => bar.stop());
}

/** Options of `whatif replay`. */
interface ReplayFlags {
  readonly engine: EngineName;
  readonly seed: number;
  readonly free?: true;
  readonly json?: true;
}

/** Replays a night unchanged and prints how far its finishing times differ from the record. */
async function replay(dir: string, flags: ReplayFlags): Promise<void> {
  const { trace, night } = await loadNight(dir);
  const scenario = buildScenario(night);
  const free = flags.free === true || flags.engine === 'whole';
  const engine: ReplayEngine = ENGINES[flags.engine];
  const startedAtMs = performance.now();
  const played = await withProgressBar('replay', (onProgress) =>
    engine({ ...scenario, divergesAtS: free ? 0 : Infinity }, flags.seed, {
      onProgress: (atS) => onProgress(Math.min(1, atS / night.lengthS)),
    }),
  );
  const tookS = (performance.now() - startedAtMs) / 1000;
  const errors = replayErrors(scenario, jobOutcomes(night), played.outcomes);
  if (flags.json) {
    const { engine, seed } = flags;
    const report = { engine, seed, free, nightS: night.lengthS, tookS, gaps: trace.gaps, ...errors };
    process.stdout.write(`${JSON.stringify(report)}\n`);
    return;
  }
  const { jobs, within, unfinished, errorS } = errors;
  const decisionSource = free
    ? 'all decisions made by the replay'
    : 'decisions as recorded, run times and finishing times simulated';
  process.stdout.write(
    [
      `${night.lengthS.toFixed(0)} s replayed in ${tookS.toFixed(1)} s by ${flags.engine}, ${decisionSource}`,
      `${within} of ${jobs} jobs finish as recorded (within 3 s, or 3 % of their duration if that is longer); ${unfinished} do not finish`,
      ...(errorS
        ? [
            `error of the finishing times in seconds: ${Object.entries(errorS)
              .map(([name, s]) => `${name} ${s}`)
              .join(', ')}`,
          ]
        : []),
      ...Object.entries(errors.byClass).map(([name, c]) => `  ${name}: ${c.within} of ${c.jobs}`),
      ...(night.unknownJobs.size > 0
        ? [`${night.unknownJobs.size} jobs have events in the trace but no recorded specification`]
        : []),
      ...trace.gaps.map((gap) => `gap in the trace: ${JSON.stringify(gap)}`),
    ].join('\n') + '\n',
  );
}

/** Options of `whatif compare`. */
interface CompareFlags {
  readonly engine: EngineName;
  readonly seeds: number;
  readonly seed: number;
  readonly json?: true;
  readonly report?: string;
  readonly columns?: string;
}

/** Forecasts each plan against the unchanged night, and prints or writes the results. */
async function compare(dir: string, files: readonly string[], flags: CompareFlags): Promise<void> {
  const { trace, night } = await loadNight(dir);
  const base = buildScenario(night);
  const recorded = jobOutcomes(night);
  // All plans are read and validated before the first one is replayed.
  const plans = files.map((file) => {
    const plan = loadPlan(file);
    try {
      return { plan, scenario: applyPlan(base, plan) };
    } catch (error) {
      if (error instanceof PlanError) throw new PlanError(`${file}: ${error.message}`);
      throw error;
    }
  });
  const numberedFile = (file: string, i: number): string =>
    plans.length === 1 ? file : file.replace(/(\.[a-z]+)?$/, `-${i + 1}$1`);
  for (const [i, { plan, scenario }] of plans.entries()) {
    const seeds = consecutiveSeeds(flags.seed, flags.seeds);
    const result = await withProgressBar(plan.name, (onProgress) =>
      forecast(plan.name, base, scenario, recorded, ENGINES[flags.engine], seeds, onProgress),
    );
    const facts = { fromMs: night.fromMs, zone: plan.time_zone, gaps: trace.gaps };
    if (flags.report !== undefined)
      writeFileSync(numberedFile(flags.report, i), await renderForecastPage(result, facts));
    if (flags.columns !== undefined) writeFileSync(numberedFile(flags.columns, i), encodeForecastParquet(result));
    const { plan: name, seeds: usedSeeds, fromS, jobs, classes, teams, money } = result;
    const plainMaps = (side: typeof classes): unknown =>
      Object.fromEntries(Object.entries(side).map(([name, map]) => [name, Object.fromEntries(map)]));
    process.stdout.write(
      flags.json
        ? `${JSON.stringify({ plan: name, seeds: usedSeeds, fromS, jobs, money, classes: plainMaps(classes), teams: plainMaps(teams), gaps: trace.gaps })}\n`
        : `${renderForecastTable(result, facts)}\n`,
    );
  }
}

/** The command `wooddrift whatif` with its subcommands. */
export const whatifCommand = new Command('whatif').description(
  'replay a recorded night, unchanged or with a plan, and forecast the effect of the plan',
);

whatifCommand
  .command('replay')
  .description('replay a night unchanged, and report how far its finishing times differ from the record')
  .argument('<trace>', 'directory that `wooddrift record` wrote')
  .addOption(engineOption())
  .option('--seed <n>', 'seed of the random numbers', parseWholeNumber, 1)
  .option('--free', 'let the replay make all decisions instead of following the record; always so with --engine whole')
  .option('--json', 'print JSON')
  .action((dir: string, flags: ReplayFlags) => replay(dir, flags));

whatifCommand
  .command('compare')
  .description('forecast the effect of plans against the same night unchanged')
  .argument('<trace>')
  .argument('<plans...>', 'plans (TOML)')
  .addOption(engineOption())
  .option('--seeds <n>', 'number of replays with and without each plan', parseCount, 9)
  .option('--seed <n>', 'seed of the first replay', parseWholeNumber, 1)
  .option('--json', 'print JSON, one object per line')
  .option('--report <file>', 'write an HTML page with charts that works offline')
  .option('--columns <file>', 'write the forecast of all jobs as Parquet')
  .action((dir: string, plans: string[], flags: CompareFlags) => compare(dir, plans, flags));

whatifCommand
  .command('search')
  .description(
    'replay a plan with several values of one field and several seeds in parallel; resumes after an interruption',
  )
  .argument('<trace>')
  .argument('<plan>')
  .requiredOption('--vary <field=a..b>', 'field and its range, such as move[0].by_s=-1800..1800')
  .option('--steps <n>', 'number of values from a to b', parseCount, 5)
  .option('--seeds <n>', 'number of replays of each value', parseCount, 3)
  .option('--out <dir>', 'directory of the results', 'whatif-search')
  .option('--jobs <n>', 'number of parallel replays', parseCount, 4)
  .option(
    '--goal <class>',
    'sort by the end of the last job of this class instead of by the sum of the 95th percentiles of all classes',
  )
  .action((dir: string, plan: string, flags: SearchFlags) => search(dir, plan, flags));

const measure = whatifCommand
  .command('measure')
  .description('measure the replay on simulated nights; prints one JSON object per line');
const printJsonLine = (result: unknown): void => void process.stdout.write(`${JSON.stringify(result)}\n`);
const loadDay = (file: string): ReturnType<typeof parseScenario> => parseScenario(readFileSync(file, 'utf8'), file);

measure
  .command('reproduce')
  .description('measure how far nights replayed unchanged differ from the record, for each way of replaying')
  .argument('<days...>', 'files of simulated days (TOML)')
  .option('--seed <n>', 'seed of the first night', parseWholeNumber, 1)
  .option('--nights <n>', 'number of nights of each day', parseCount, 3)
  .action(async (days: string[], flags: { seed: number; nights: number }) => {
    for (const day of days)
      for (const seed of consecutiveSeeds(flags.seed, flags.nights)) printJsonLine(await reproduce(loadDay(day), seed));
  });
measure
  .command('predict')
  .description('measure the forecast of a plan against whole controllers that run with that plan')
  .argument('<day>')
  .argument('<plan>')
  .option('--seed <n>', 'seed of the first night', parseWholeNumber, 1)
  .option('--nights <n>', 'number of nights', parseCount, 3)
  .option('--seeds <n>', 'number of replays of each forecast', parseCount, 9)
  .action(async (day: string, plan: string, flags: { seed: number; nights: number; seeds: number }) => {
    const toml = readFileSync(plan, 'utf8');
    for (const seed of consecutiveSeeds(flags.seed, flags.nights))
      printJsonLine(await predict(loadDay(day), seed, toml, consecutiveSeeds(1, flags.seeds)));
  });
measure
  .command('speed')
  .description('measure the speed and memory use of replaying a fleet')
  .option('--machines <n>', 'number of machines', parseCount, 30)
  .option('--seconds <n>', 'length of the night', parseWholeNumber, 300)
  .option('--whole', 'measure whole controllers too')
  .action(async ({ machines, seconds, whole: includeWhole }: { machines: number; seconds: number; whole?: true }) => {
    const clock = (): number => performance.now();
    const rss = (): number => process.memoryUsage().rss;
    for (const speed of await replaySpeed(fleetDay(machines, seconds), machines, clock, rss, includeWhole === true))
      printJsonLine(speed);
  });

whatifCommand
  .command('sample')
  .description('record a night of the simulated region, as an example trace')
  .argument('<day>', 'file of a simulated day (TOML)')
  .requiredOption('--out <dir>', 'directory of the trace')
  .option('--seed <n>', 'seed to use instead of the one of the day', parseWholeNumber)
  .action(async (file: string, flags: { out: string; seed?: number }) => {
    const day = parseScenario(readFileSync(file, 'utf8'), file);
    const region = new Region({ day, trailEvents: 400_000, ...(flags.seed === undefined ? {} : { seed: flags.seed }) });
    mkdirSync(flags.out, { recursive: true });
    await withProgressBar(day.name, (onProgress) =>
      recordRegion(region, diskFiles(flags.out), () =>
        region.play(day.duration_s, {
          moved: (nowMs) => {
            onProgress(nowMs / 1000 / day.duration_s);
            return undefined;
          },
        }),
      ),
    );
    const { breaches } = region.close();
    process.stdout.write(`${join(flags.out, 'manifest.json')}: recorded, ${breaches.length} rule violations\n`);
  });
