/** The command `region` with its subcommands. */

import { mkdirSync, readFileSync, realpathSync, writeFileSync } from 'node:fs';
import { basename, dirname, join } from 'node:path';
import { SingleBar, Presets } from 'cli-progress';
import { Command, InvalidArgumentError, Option } from 'commander';
import { createLogger, systemRuntime } from '../../../../src/kernel/index.js';
import { scaleScenario } from '../scenario/index.js';
import {
  searchForFailure,
  FAULT_COMBINATIONS,
  runCombinations,
  runUntilViolation,
  formatScenario,
  type CombinationRunOptions,
} from '../hunt/index.js';
import {
  CRASH_TARGETS,
  measureCancels,
  measureChains,
  measureStateChanges,
  measureRecovery,
  measureRollout,
  measureSpeed,
  rolloutVariants,
} from '../measure/index.js';
import { ReleaseCatalog } from '../releases/index.js';
import { Region, type DayResult } from '../region.js';
import { renderDayPage, renderDayTable } from '../report/index.js';
import { controllerSettingsToml } from '../controller-settings.js';
import { loopbackControllerSpecs, startLoopbackRegion } from '../loopback-region.js';
import { addCapacityCommand } from './capacity.js';
import { dayArgument, loadDay } from './load-day.js';
import { parsePositiveNumber, parseFraction, UsageError, parseWholeNumber } from './options.js';
import { addScaleCommands } from './scale.js';

/** Controllers of earlier releases, which the repository keeps beside the bundle. */
const frozenReleases = (): ReleaseCatalog =>
  new ReleaseCatalog(join(dirname(realpathSync(process.argv[1] ?? '.')), '..', 'packages', 'region', 'frozen'));

/** Parses a speed factor; null means as fast as possible. */
const parseSpeed = (text: string): number | null => (text === 'max' ? null : parsePositiveNumber(text));
/** Log levels that the command line accepts. */
const LOG_LEVELS = ['error', 'warn', 'info', 'debug'];
const parseLogLevel = (text: string): string => {
  if (!LOG_LEVELS.includes(text)) throw new InvalidArgumentError(`it must be one of ${LOG_LEVELS.join(', ')}`);
  return text;
};

/** Options of `region play`. */
interface PlayFlags {
  readonly seed?: number;
  readonly share: number;
  readonly speed: number | null;
  readonly out?: string;
  readonly log?: string;
  readonly json?: true;
  readonly report?: string;
}

/** Returns a function that waits while simulated time is ahead of real time multiplied by `speedFactor`. */
function createPacer(speedFactor: number): (nowMs: number) => Promise<void> | undefined {
  const startedAtMs = performance.now();
  return (nowMs) => {
    const aheadMs = nowMs / speedFactor - (performance.now() - startedAtMs);
    return aheadMs > 5 ? new Promise((resolve) => setTimeout(resolve, aheadMs)) : undefined;
  };
}

/** Writes files of the given lines into a directory, which is created if necessary. */
function writeFiles(dir: string, files: Readonly<Record<string, readonly string[]>>): void {
  mkdirSync(dir, { recursive: true });
  for (const [name, lines] of Object.entries(files)) writeFileSync(join(dir, name), lines.join(''));
}

/** Plays a day in simulated time, and prints and stores its result. */
async function playDay(nameOrPath: string, flags: PlayFlags): Promise<void> {
  const day = scaleScenario(loadDay(nameOrPath), flags.share);
  const eventLines: string[] = [];
  const logLines: string[] = [];
  const region = new Region({
    day,
    releases: frozenReleases(),
    ...(flags.seed === undefined ? {} : { seed: flags.seed }),
    ...(flags.out === undefined ? {} : { event: (line: string) => eventLines.push(line) }),
    ...(flags.log === undefined
      ? {}
      : {
          controllerLog: {
            level: flags.log,
            write: (line: string) => (flags.out === undefined ? process.stderr.write(line) : logLines.push(line)),
          },
        }),
  });
  const progressBar = new SingleBar(
    { format: `${day.name} {bar} {percentage} % of {total} s`, clearOnComplete: true, hideCursor: true },
    Presets.shades_classic,
  );
  const showProgress =
    process.stderr.isTTY && flags.json !== true && (flags.log === undefined || flags.out !== undefined);
  if (showProgress) progressBar.start(day.duration_s, 0);
  let stopped = false;
  // The result of the simulated time until the interrupt is still reported.
  process.once('SIGINT', () => {
    stopped = true;
  });
  const pace = flags.speed === null ? undefined : createPacer(flags.speed);
  await region.play(day.duration_s, {
    stop: () => stopped,
    moved: (nowMs) => {
      if (showProgress) progressBar.update(Math.floor(nowMs / 1000));
      return pace?.(nowMs);
    },
  });
  if (showProgress) progressBar.stop();
  const result = region.close();
  if (flags.out !== undefined) {
    const json = `${JSON.stringify(result, null, 2)}\n`;
    writeFiles(flags.out, {
      'events.log': eventLines,
      'result.json': [json],
      ...(logLines.length > 0 ? { 'controllers.log': logLines } : {}),
    });
  }
  if (flags.report !== undefined) writeFileSync(flags.report, await renderDayPage(result, day));
  process.stdout.write(`${flags.json ? JSON.stringify(result, null, 2) : renderDayTable(result)}\n`);
  process.exitCode = exitCodeOf(result);
}

/** Exit code of a day: 1 if a rule was violated, a defect was found, or a class, a team or the largest jobs were not served. */
const exitCodeOf = ({ breaches, defects, failures }: DayResult): number =>
  breaches.length + defects.length + failures.length > 0 ? 1 : 0;

/** Serves the models of a day on loopback, and writes a settings file for each controller. */
async function serveDay(
  nameOrPath: string,
  flags: { seed?: number; basePort: number; out: string; users?: true },
): Promise<void> {
  const day = loadDay(nameOrPath);
  const log = createLogger(process.env['LOG_LEVEL'], 'region');
  const logLine = (what: string): void => log.info(what);
  const specs = loopbackControllerSpecs(day, flags.basePort);
  const region = await startLoopbackRegion(day, flags.seed ?? day.seed, specs, log, logLine);
  const settingsFiles: Record<string, readonly string[]> = {};
  for (const spec of specs) settingsFiles[`${spec.name}.toml`] = [controllerSettingsToml(day, spec, specs, region)];
  writeFiles(flags.out, settingsFiles);
  process.stdout.write('The models are running. Start each controller in its own shell:\n\n');
  for (const name of Object.keys(settingsFiles))
    process.stdout.write(`  node target/main.cjs serve --config ${join(flags.out, name)}\n`);
  const [file] = Object.keys(settingsFiles);
  const [, earlier] = frozenReleases().names;
  if (file !== undefined && earlier !== undefined)
    process.stdout.write(
      `\nor, to run an earlier release:\n\n  node target/main.cjs region controller ${earlier} --config ${join(flags.out, file)}\n`,
    );
  const [first] = specs;
  if (first)
    process.stdout.write(`\nThen, for example: export WOODDRIFT_NODE=${first.serveOn.host}:${first.serveOn.port}\n`);
  if (flags.users) region.parts.startUsers();
  else process.stdout.write('No users are simulated; use --users to simulate those of the day.\n');
  process.stdout.write('Press Ctrl-C to stop the models.\n');
}

/** Options of `region hunt`. */
interface HuntFlags {
  readonly minutes: number;
  readonly seed: number;
  readonly out: string;
  readonly keep?: true;
  readonly mixed?: string;
}

/** Searches for a schedule of faults that violates a rule, and writes the shortened day to a file. */
async function huntDay(nameOrPath: string, flags: HuntFlags): Promise<void> {
  const day = loadDay(nameOrPath);
  const frozen = frozenReleases();
  if (flags.mixed !== undefined) frozen.get(flags.mixed);
  const deadlineMs = performance.now() + flags.minutes * 60_000;
  const failingDay = await searchForFailure(day, {
    seed: flags.seed,
    shouldContinue: () => performance.now() < deadlineMs,
    told: (line) => process.stderr.write(`${line}\n`),
    releases: frozen,
    keep: flags.keep === true,
    ...(flags.mixed === undefined ? {} : { mixed: flags.mixed }),
  });
  if (!failingDay) {
    process.stdout.write('no rule was violated\n');
    return;
  }
  mkdirSync(flags.out, { recursive: true });
  const file = join(flags.out, `${basename(failingDay.day.name)}-${failingDay.day.seed}.toml`);
  writeFileSync(file, formatScenario(failingDay.day));
  const replayed = await runUntilViolation(failingDay.day, frozen);
  process.stdout.write(
    `${renderDayTable(replayed)}\n\nreduced to ${failingDay.day.troubles.length} troubles: ${file}\n`,
  );
  process.exitCode = 1;
}

/** The command `region` with all of its subcommands. */
export const regionCommand = new Command('region').description(
  'simulate whole days of a region: wooddrift controllers with models of everything else',
);

regionCommand
  .command('play')
  .description('play a day in simulated time and report the result')
  .argument(...dayArgument)
  .option('--seed <n>', 'seed instead of that of the day', parseWholeNumber)
  .option('--share <part>', 'scale machines, arrivals, limits and counted faults by this factor', parseFraction, 1)
  .addOption(
    new Option('--speed <times>', 'simulated seconds per second; max: as fast as possible')
      .argParser(parseSpeed)
      .default(null, 'max'),
  )
  .option('--out <dir>', 'write the event log and the result to this directory')
  .option('--log <level>', 'level of the controller logs, which go to standard error or to --out', parseLogLevel)
  .option('--report <file>', 'write an HTML page with charts over time that needs no network')
  .option('--json', 'print the result as JSON')
  .action((day: string, flags: PlayFlags) => playDay(day, flags));

regionCommand
  .command('serve')
  .description(
    'serve the models of a day on loopback in real time, without faults, for controllers that you start yourself',
  )
  .argument(...dayArgument)
  .option('--seed <n>', 'seed instead of that of the day', parseWholeNumber)
  .option('--base-port <n>', 'first port of the controllers', parseWholeNumber, 18_080)
  .option('--out <dir>', 'directory for the settings files', 'region-settings')
  .option('--users', 'simulate the users of the day, too')
  .action((day: string, flags: { seed?: number; basePort: number; out: string; users?: true }) => serveDay(day, flags));

regionCommand
  .command('hunt')
  .description(
    'play random schedules of faults until a rule is violated, and reduce the failing schedule to a short day',
  )
  .argument(...dayArgument)
  .option('--minutes <n>', 'how long to search', parsePositiveNumber, 5)
  .option('--seed <n>', 'seed of the first schedule', parseWholeNumber, 1)
  .option('--out <dir>', 'directory for the reduced day', 'region-found')
  .option('--keep', 'keep the faults of the day in addition to the random ones')
  .option(
    '--mixed <release>',
    'mix controllers of this earlier release with current ones, and replace each by the other',
  )
  .action((day: string, flags: HuntFlags) => huntDay(day, flags));

regionCommand
  .command('meetings')
  .description('play random pairs of overlapping faults, and continue where an earlier run stopped')
  .argument(...dayArgument)
  .option('--from <n>', 'the first seed', parseWholeNumber, 1)
  .option('--count <n>', 'number of seeds', parseWholeNumber, 100)
  .option('--as <release>', 'release of all controllers', 'this')
  .option(
    '--list <file>',
    'file with one line for each seed that was played; those seeds are skipped',
    'meetings.jsonl',
  )
  .addHelpText('after', `\nOverlapping faults, played two at a time:\n${Object.keys(FAULT_COMBINATIONS).join('\n')}`)
  .action(async (nameOrPath: string, flags: CombinationRunOptions) => {
    const frozen = frozenReleases();
    frozen.get(flags.as);
    const printLine = (line: string): void => void process.stderr.write(`${line}\n`);
    if (!(await runCombinations(loadDay(nameOrPath), flags, frozen, printLine))) process.exitCode = 1;
  });

regionCommand
  .command('check')
  .description('check the file of a day and report errors')
  .argument(...dayArgument)
  .action((nameOrPath: string) => {
    const day = loadDay(nameOrPath);
    process.stdout.write(
      `${day.name}: ${day.duration_s} s, ${day.controllers.count} controllers, ${day.classes.length} classes, ${day.troubles.length} troubles\n`,
    );
  });

/** Options that the measure commands share. */
interface MeasureFlags {
  readonly old: string;
  readonly machines: number;
  readonly seed: number;
  readonly seconds: number;
  readonly rps: number;
  readonly writeRps: number;
}

const measure = regionCommand
  .command('measure')
  .description('run measurements on fleets of any size, and print one JSON object per line');
measure
  .command('speed')
  .description('measure the speed and memory of a simulated fleet')
  .option('--machines <n>', 'number of machines', parseWholeNumber, 900)
  .option('--seconds <n>', 'seconds of simulated time', parseWholeNumber, 120)
  .action(async ({ machines, seconds }: MeasureFlags) => {
    const speed = await measureSpeed(
      machines,
      seconds,
      () => performance.now(),
      () => process.memoryUsage().rss,
    );
    process.stdout.write(`${JSON.stringify(speed)}\n`);
  });
measure
  .command('recovery')
  .description('measure the time from a crash of controllers to the last answered report and the first task start')
  .option('--machines <n>', 'number of machines', parseWholeNumber, 900)
  .option('--seed <n>', 'seed of the day', parseWholeNumber, 1)
  .option('--rps <n>', 'limit of the state service in requests per second', parsePositiveNumber, 200)
  .option('--write-rps <n>', 'limit of the state service in changes per second', parsePositiveNumber, 40)
  .action(async ({ machines, seed, rps, writeRps }: MeasureFlags) => {
    for (const ended of CRASH_TARGETS)
      process.stdout.write(`${JSON.stringify(await measureRecovery({ machines, ended, seed, rps, writeRps }))}\n`);
  });
measure
  .command('rollout')
  .description(
    'measure the cost of replacing the controllers of a loaded fleet one after the other, by kill and by leave',
  )
  .option('--machines <n>', 'number of machines', parseWholeNumber, 900)
  .option('--seed <n>', 'seed of the day', parseWholeNumber, 1)
  .option('--old <release>', 'earlier release that is mixed with the current one', 'before-rollout')
  .action(async ({ machines, seed, old }: MeasureFlags) => {
    const frozen = frozenReleases();
    frozen.get(old);
    for (const variant of rolloutVariants(old))
      process.stdout.write(
        `${JSON.stringify(await measureRollout({ machines, seed, ...variant, releases: frozen }))}\n`,
      );
  });
measure
  .command('changes')
  .description('measure the changes per second for storing progress, with one record per job and with one per shard')
  .option('--machines <n>', 'number of machines', parseWholeNumber, 900)
  .option('--seed <n>', 'seed of the day', parseWholeNumber, 1)
  .action(async ({ machines, seed }: MeasureFlags) => {
    for (const grouped of [false, true])
      process.stdout.write(`${JSON.stringify(await measureStateChanges(machines, seed, grouped))}\n`);
  });
measure
  .command('cancels')
  .description('measure how long users wait for the confirmation of a cancellation, without faults')
  .option('--machines <n>', 'number of machines', parseWholeNumber, 900)
  .option('--seeds <n>', 'number of seeds, from 1', parseWholeNumber, 2)
  .option('--as <release>', 'release of all controllers', 'this')
  .action(async (flags: { machines: number; seeds: number; as: string }) => {
    for (let seed = 1; seed <= flags.seeds; seed++)
      process.stdout.write(
        `${JSON.stringify(await measureCancels(flags.machines, seed, flags.as, frozenReleases()))}\n`,
      );
  });
measure
  .command('chains')
  .description(
    'measure how soon the jobs of a chain follow each other, and the stored changes of a day by kind of record',
  )
  .argument(...dayArgument)
  .option('--seeds <n>', 'number of seeds, from 1', parseWholeNumber, 3)
  .action(async (nameOrPath: string, { seeds }: { seeds: number }) => {
    const day = loadDay(nameOrPath);
    for (let seed = 1; seed <= seeds; seed++)
      process.stdout.write(`${JSON.stringify(await measureChains(day, seed, frozenReleases()))}\n`);
  });
regionCommand
  .command('controller')
  .description('run a controller of a given release, as `serve` runs one of the current release')
  .argument('<release>', 'name of the release')
  .requiredOption('--config <file>', 'settings file (TOML)')
  .action((name: string, { config }: { config: string }) => {
    const release = frozenReleases().get(name);
    let toml: string;
    try {
      toml = readFileSync(config, 'utf8');
    } catch {
      throw new UsageError(`${config}: cannot read the settings file`);
    }
    release.createController(toml, createLogger(process.env['LOG_LEVEL'], name), systemRuntime, {}).start();
  });
regionCommand
  .command('releases')
  .description('list the releases that a day can use')
  .action(() => {
    process.stdout.write(`${frozenReleases().names.join('\n')}\n`);
  });
addScaleCommands(regionCommand);
addCapacityCommand(measure);
