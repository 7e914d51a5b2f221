import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Presets, SingleBar } from 'cli-progress';
import { Command, InvalidArgumentError, Option } from 'commander';
import { fleetDay, readDay, Region } from '../../../region/src/index.js';
import { diskFiles, readTraceIn, type Trace } from '../../../trace/src/index.js';
import { forecast, forecastColumns, forecastPage, forecastTable, replayErrors, type Engine } from '../answer/index.js';
import { predict, replaySpeed, reproduce } from '../measure/index.js';
import { outcomesOf, readNight, scenarioOf, type Night } from '../night/index.js';
import { applyPlan, PlanError, readPlan, type Plan } from '../plan/index.js';
import { playDecisions, playWhole, recordRegion } from '../replay/index.js';
import { search, type SearchFlags } from './search.js';

const ENGINES = { decisions: playDecisions, whole: playWhole } as const;
type EngineName = keyof typeof ENGINES;

const whole = (text: string): number => {
  const n = Number(text);
  if (!Number.isInteger(n) || n < 0 || n > 2 ** 31) throw new InvalidArgumentError('a whole number from 0');
  return n;
};
const some = (text: string): number => {
  const n = whole(text);
  if (n < 1 || n > 1000) throw new InvalidArgumentError('a whole number from 1 to 1000');
  return n;
};
const engineOption = (): Option =>
  new Option(
    '--engine <name>',
    'decisions: the decision functions alone; whole: whole controllers on simulated machines',
  )
    .choices(Object.keys(ENGINES))
    .default('decisions');

export async function loadNight(dir: string): Promise<{ trace: Trace; night: Night }> {
  const trace = await readTraceIn(dir);
  return { trace, night: readNight(trace) };
}

export function loadPlan(file: string): Plan {
  let toml: string;
  try {
    toml = readFileSync(file, 'utf8');
  } catch {
    throw new PlanError(`${file}: cannot be read`);
  }
  return readPlan(toml, file);
}

const seedsFrom = (first: number, count: number): number[] => Array.from({ length: count }, (_, i) => first + i);

function withBar<T>(title: string, work: (moved: (share: number) => void) => Promise<T>): Promise<T> {
  const bar = new SingleBar(
    { format: `${title} {bar} {percentage} %`, clearOnComplete: true, hideCursor: true },
    Presets.shades_classic,
  );
  const shown = process.stderr.isTTY;
  if (shown) bar.start(100, 0);
  return work((share) => {
    if (shown) bar.update(Math.round(share * 100));
  }).finally(() => bar.stop());
}

interface ReplayFlags {
  readonly engine: EngineName;
  readonly seed: number;
  readonly free?: true;
  readonly json?: true;
}

async function replay(dir: string, flags: ReplayFlags): Promise<void> {
  const { trace, night } = await loadNight(dir);
  const scenario = scenarioOf(night);
  const free = flags.free === true || flags.engine === 'whole';
  const engine: Engine = ENGINES[flags.engine];
  const began = performance.now();
  const played = await withBar('replay', (moved) =>
    engine({ ...scenario, freeFromS: free ? 0 : Infinity }, flags.seed, {
      moved: (atS) => moved(Math.min(1, atS / night.lengthS)),
    }),
  );
  const tookS = (performance.now() - began) / 1000;
  const errors = replayErrors(scenario, outcomesOf(night), played.outcomes);
  if (flags.json) {
    const { engine: name, seed } = flags;
    const report = { engine: name, seed, free, nightS: night.lengthS, tookS, gaps: trace.gaps, ...errors };
    process.stdout.write(`${JSON.stringify(report)}\n`);
    return;
  }
  const { jobs, within, unfinished, errorS } = errors;
  const how = free ? 'every decision anew' : 'decisions as recorded, run times and finishes worked out';
  process.stdout.write(
    [
      `${night.lengthS.toFixed(0)} s replayed in ${tookS.toFixed(1)} s by ${flags.engine}, ${how}`,
      `${within} of ${jobs} jobs finish as recorded (within 3 s, or 3 % of their time if that is more); ${unfinished} do not end`,
      ...(errorS
        ? [
            `off by, in seconds: ${Object.entries(errorS)
              .map(([name, s]) => `${name} ${s}`)
              .join(', ')}`,
          ]
        : []),
      ...Object.entries(errors.byClass).map(([name, c]) => `  ${name}: ${c.within} of ${c.jobs}`),
      ...(night.unknownJobs.size > 0
        ? [`${night.unknownJobs.size} jobs were seen of which no description was recorded`]
        : []),
      ...trace.gaps.map((gap) => `missing in the record: ${JSON.stringify(gap)}`),
    ].join('\n') + '\n',
  );
}

interface CompareFlags {
  readonly engine: EngineName;
  readonly seeds: number;
  readonly seed: number;
  readonly json?: true;
  readonly report?: string;
  readonly columns?: string;
}

async function compare(dir: string, files: readonly string[], flags: CompareFlags): Promise<void> {
  const { trace, night } = await loadNight(dir);
  const base = scenarioOf(night);
  const recorded = outcomesOf(night);
  // All are read, and found to be possible, before the first is played.
  const plans = files.map((file) => {
    const plan = loadPlan(file);
    try {
      return { plan, scenario: applyPlan(base, plan) };
    } catch (error) {
      if (error instanceof PlanError) throw new PlanError(`${file}: ${error.message}`);
      throw error;
    }
  });
  const named = (file: string, i: number): string =>
    plans.length === 1 ? file : file.replace(/(\.[a-z]+)?$/, `-${i + 1}$1`);
  for (const [i, { plan, scenario }] of plans.entries()) {
    const seeds = seedsFrom(flags.seed, flags.seeds);
    const told = await withBar(plan.name, (moved) =>
      forecast(plan.name, base, scenario, recorded, ENGINES[flags.engine], seeds, moved),
    );
    const facts = { fromMs: night.fromMs, zone: plan.time_zone, gaps: trace.gaps };
    if (flags.report !== undefined) writeFileSync(named(flags.report, i), await forecastPage(told, facts));
    if (flags.columns !== undefined) writeFileSync(named(flags.columns, i), forecastColumns(told));
    const { plan: name, seeds: played, fromS, jobs, classes, teams, money } = told;
    const plain = (side: typeof classes): unknown =>
      Object.fromEntries(Object.entries(side).map(([name, map]) => [name, Object.fromEntries(map)]));
    process.stdout.write(
      flags.json
        ? `${JSON.stringify({ plan: name, seeds: played, fromS, jobs, money, classes: plain(classes), teams: plain(teams), gaps: trace.gaps })}\n`
        : `${forecastTable(told, facts)}\n`,
    );
  }
}

export const whatifCommand = new Command('whatif').description(
  'replay a recorded night, unchanged or against a changed plan, and say what would have been',
);

whatifCommand
  .command('replay')
  .description('replay a night unchanged, and say how far its finishing times are off the record')
  .argument('<trace>', 'what `wooddrift record` wrote')
  .addOption(engineOption())
  .option('--seed <n>', 'of what luck decides', whole, 1)
  .option('--free', 'decide everything anew, instead of as recorded; always so with whole controllers')
  .option('--json', 'as JSON')
  .action((dir: string, flags: ReplayFlags) => replay(dir, flags));

whatifCommand
  .command('compare')
  .description('what would have been with a changed plan, against the same night unchanged')
  .argument('<trace>')
  .argument('<plans...>', 'plans (TOML)')
  .addOption(engineOption())
  .option('--seeds <n>', 'replays with and without each plan', some, 9)
  .option('--seed <n>', 'of the first of them', whole, 1)
  .option('--json', 'as JSON, one object a line')
  .option('--report <file>', 'write a page (HTML) with charts; it needs no network')
  .option('--columns <file>', 'write all jobs as Parquet')
  .action((dir: string, plans: string[], flags: CompareFlags) => compare(dir, plans, flags));

whatifCommand
  .command('search')
  .description('try one field of a plan at several values and seeds, side by side; goes on where it was killed')
  .argument('<trace>')
  .argument('<plan>')
  .requiredOption('--vary <field=a..b>', 'such as move[0].by_s=-1800..1800')
  .option('--steps <n>', 'values from a to b', some, 5)
  .option('--seeds <n>', 'replays of each value', some, 3)
  .option('--out <dir>', 'where results are kept', 'whatif-search')
  .option('--jobs <n>', 'replays at once', some, 4)
  .option('--goal <class>', 'sort by when the last job of this class ends, instead of by all classes together')
  .action((dir: string, plan: string, flags: SearchFlags) => search(dir, plan, flags));

const measure = whatifCommand
  .command('measure')
  .description('measurements on simulated nights, one JSON object a line');
const told = (result: unknown): void => void process.stdout.write(`${JSON.stringify(result)}\n`);
const dayFrom = (file: string): ReturnType<typeof readDay> => readDay(readFileSync(file, 'utf8'), file);

measure
  .command('reproduce')
  .description('how far nights replayed unchanged are off the record, each way of replaying')
  .argument('<days...>', 'days (TOML)')
  .option('--seed <n>', 'of the first night', whole, 1)
  .option('--nights <n>', 'of each day', some, 3)
  .action(async (days: string[], flags: { seed: number; nights: number }) => {
    for (const day of days)
      for (const seed of seedsFrom(flags.seed, flags.nights)) told(await reproduce(dayFrom(day), seed));
  });
measure
  .command('predict')
  .description("a plan's forecast against whole controllers played with that plan")
  .argument('<day>')
  .argument('<plan>')
  .option('--seed <n>', 'of the first night', whole, 1)
  .option('--nights <n>', 'how many', some, 3)
  .option('--seeds <n>', 'replays of each forecast', some, 9)
  .action(async (day: string, plan: string, flags: { seed: number; nights: number; seeds: number }) => {
    const toml = readFileSync(plan, 'utf8');
    for (const seed of seedsFrom(flags.seed, flags.nights))
      told(await predict(dayFrom(day), seed, toml, seedsFrom(1, flags.seeds)));
  });
measure
  .command('speed')
  .description('how fast nights of a fleet are replayed, and in how much memory')
  .option('--machines <n>', 'how many', some, 30)
  .option('--seconds <n>', 'of the night', whole, 300)
  .option('--whole', 'by whole controllers, too')
  .action(async ({ machines, seconds, whole: too }: { machines: number; seconds: number; whole?: true }) => {
    const clock = (): number => performance.now();
    const rss = (): number => process.memoryUsage().rss;
    for (const speed of await replaySpeed(fleetDay(machines, seconds), machines, clock, rss, too === true)) told(speed);
  });

whatifCommand
  .command('sample')
  .description('record a night of the simulated region, to try all this on')
  .argument('<day>', "a day's file (TOML)")
  .requiredOption('--out <dir>', 'where the trace goes')
  .option('--seed <n>', "instead of the day's own", whole)
  .action(async (file: string, flags: { out: string; seed?: number }) => {
    const day = readDay(readFileSync(file, 'utf8'), file);
    const region = new Region({ day, trailEvents: 400_000, ...(flags.seed === undefined ? {} : { seed: flags.seed }) });
    mkdirSync(flags.out, { recursive: true });
    await withBar(day.name, (moved) =>
      recordRegion(region, diskFiles(flags.out), () =>
        region.play(day.duration_s, {
          moved: (nowMs) => {
            moved(nowMs / 1000 / day.duration_s);
            return undefined;
          },
        }),
      ),
    );
    const { breaches } = region.close();
    process.stdout.write(`${join(flags.out, 'manifest.json')}: recorded, ${breaches.length} rules broken\n`);
  });
