import { mkdirSync, readFileSync, realpathSync, writeFileSync } from 'node:fs';
import { basename, dirname, join } from 'node:path';
import { SingleBar, Presets } from 'cli-progress';
import { Command, InvalidArgumentError, Option } from 'commander';
import { createLogger, systemRuntime } from '../../../../src/kernel/index.js';
import { scaledDay } from '../day/index.js';
import { hunt, MEETINGS, playMeetings, playOnce, writeDay, type MeetingFlags } from '../hunt/index.js';
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
import { Releases } from '../releases/index.js';
import { Region, type DayResult } from '../region.js';
import { renderDayPage, renderDayTable } from '../report/index.js';
import { settingsFor } from '../settings.js';
import { loopbackSeats, serveRegion } from '../real.js';
import { addCapacityCommand } from './capacity.js';
import { dayArgument, loadDay } from './days.js';
import { parsePositiveNumber, parseFraction, UsageError, parseWholeNumber } from './options.js';
import { addScaleCommands } from './scale.js';

/** Controllers of earlier releases, kept in the repository beside the bundle. */
const frozenReleases = (): Releases =>
  new Releases(join(dirname(realpathSync(process.argv[1] ?? '.')), '..', 'packages', 'region', 'frozen'));

const parseSpeed = (text: string): number | null => (text === 'max' ? null : parsePositiveNumber(text));
const LOG_LEVELS = ['error', 'warn', 'info', 'debug'];
const parseLogLevel = (text: string): string => {
  if (!LOG_LEVELS.includes(text)) throw new InvalidArgumentError(`one of ${LOG_LEVELS.join(', ')}`);
  return text;
};

interface PlayFlags {
  readonly seed?: number;
  readonly share: number;
  readonly speed: number | null;
  readonly out?: string;
  readonly log?: string;
  readonly json?: true;
  readonly report?: string;
}

/** Waits so that simulated time doesn't run ahead of `times` real time. */
function createPacer(speedFactor: number): (nowMs: number) => Promise<void> | undefined {
  const startedAtMs = performance.now();
  return (nowMs) => {
    const aheadMs = nowMs / speedFactor - (performance.now() - startedAtMs);
    return aheadMs > 5 ? new Promise((resolve) => setTimeout(resolve, aheadMs)) : undefined;
  };
}

function writeFiles(dir: string, files: Readonly<Record<string, readonly string[]>>): void {
  mkdirSync(dir, { recursive: true });
  for (const [name, lines] of Object.entries(files)) writeFileSync(join(dir, name), lines.join(''));
}

async function playDay(nameOrPath: string, flags: PlayFlags): Promise<void> {
  const day = scaledDay(loadDay(nameOrPath), flags.share);
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
  // What has been played so far is still told.
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

/** 1: a rule was broken, something failed that never may, or a class, a team or the largest jobs were not served. */
const exitCodeOf = ({ breaches, defects, failures }: DayResult): number =>
  breaches.length + defects.length + failures.length > 0 ? 1 : 0;

async function serveDay(
  nameOrPath: string,
  flags: { seed?: number; basePort: number; out: string; users?: true },
): Promise<void> {
  const day = loadDay(nameOrPath);
  const log = createLogger(process.env['LOG_LEVEL'], 'region');
  const logLine = (what: string): void => log.info(what);
  const seats = loopbackSeats(day, flags.basePort);
  const region = await serveRegion(day, flags.seed ?? day.seed, seats, log, logLine);
  const settingsFiles: Record<string, readonly string[]> = {};
  for (const seat of seats) settingsFiles[`${seat.name}.toml`] = [settingsFor(day, seat, seats, region)];
  writeFiles(flags.out, settingsFiles);
  process.stdout.write('The models are up. Start each controller in a shell of its own:\n\n');
  for (const name of Object.keys(settingsFiles))
    process.stdout.write(`  node target/main.cjs serve --config ${join(flags.out, name)}\n`);
  const [file] = Object.keys(settingsFiles);
  const [, earlier] = frozenReleases().names;
  if (file !== undefined && earlier !== undefined)
    process.stdout.write(
      `\nor, as an earlier release:\n\n  node target/main.cjs region controller ${earlier} --config ${join(flags.out, file)}\n`,
    );
  const [first] = seats;
  if (first)
    process.stdout.write(`\nthen, for example: export WOODDRIFT_NODE=${first.serveOn.host}:${first.serveOn.port}\n`);
  if (flags.users) region.parts.open();
  else process.stdout.write('No users come; --users plays those of the day.\n');
  process.stdout.write('Ctrl-C ends the models.\n');
}

interface HuntFlags {
  readonly minutes: number;
  readonly seed: number;
  readonly out: string;
  readonly keep?: true;
  readonly mixed?: string;
}

async function huntDay(nameOrPath: string, flags: HuntFlags): Promise<void> {
  const day = loadDay(nameOrPath);
  const frozen = frozenReleases();
  if (flags.mixed !== undefined) frozen.of(flags.mixed);
  const deadlineMs = performance.now() + flags.minutes * 60_000;
  const failingDay = await hunt(day, {
    seed: flags.seed,
    goOn: () => performance.now() < deadlineMs,
    told: (line) => process.stderr.write(`${line}\n`),
    releases: frozen,
    keep: flags.keep === true,
    ...(flags.mixed === undefined ? {} : { mixed: flags.mixed }),
  });
  if (!failingDay) {
    process.stdout.write('no rule was broken\n');
    return;
  }
  mkdirSync(flags.out, { recursive: true });
  const file = join(flags.out, `${basename(failingDay.day.name)}-${failingDay.day.seed}.toml`);
  writeFileSync(file, writeDay(failingDay.day));
  const replayed = await playOnce(failingDay.day, frozen);
  process.stdout.write(
    `${renderDayTable(replayed)}\n\nshrunk to ${failingDay.day.troubles.length} troubles: ${file}\n`,
  );
  process.exitCode = 1;
}

export const regionCommand = new Command('region').description(
  'whole days in simulated time: wooddrift among models of all else',
);

regionCommand
  .command('play')
  .description('play a day in simulated time and say how it went')
  .argument(...dayArgument)
  .option('--seed <n>', "instead of the day's own", parseWholeNumber)
  .option(
    '--share <part>',
    'machines, arrivals, limits and counted troubles at this part of their size',
    parseFraction,
    1,
  )
  .addOption(
    new Option('--speed <times>', 'simulated seconds a second; max: as fast as it goes')
      .argParser(parseSpeed)
      .default(null, 'max'),
  )
  .option('--out <dir>', 'write the event log and the result there')
  .option('--log <level>', 'logs of the controllers, to standard error or to --out', parseLogLevel)
  .option('--report <file>', 'write a page (HTML) with charts over time; it needs no network')
  .option('--json', 'the result as JSON')
  .action((day: string, flags: PlayFlags) => playDay(day, flags));

regionCommand
  .command('serve')
  .description("serve a day's models on loopback in real time, for controllers that you start yourself; no troubles")
  .argument(...dayArgument)
  .option('--seed <n>', "instead of the day's own", parseWholeNumber)
  .option('--base-port <n>', 'first port of the controllers', parseWholeNumber, 18_080)
  .option('--out <dir>', 'where the settings files go', 'region-settings')
  .option('--users', "the day's users come, too")
  .action((day: string, flags: { seed?: number; basePort: number; out: string; users?: true }) => serveDay(day, flags));

regionCommand
  .command('hunt')
  .description('play drawn schedules of troubles until a rule breaks, and shrink what breaks it to a short day')
  .argument(...dayArgument)
  .option('--minutes <n>', 'for how long', parsePositiveNumber, 5)
  .option('--seed <n>', 'of the first schedule', parseWholeNumber, 1)
  .option('--out <dir>', 'where the shrunk day goes', 'region-found')
  .option('--keep', "the day's own troubles stay, beside those that are drawn")
  .option('--mixed <release>', 'controllers of that earlier release and of this one, replaced by one another')
  .action((day: string, flags: HuntFlags) => huntDay(day, flags));

regionCommand
  .command('meetings')
  .description('play drawn pairs of meetings of troubles, and go on where an earlier run stopped')
  .argument(...dayArgument)
  .option('--from <n>', 'the first seed', parseWholeNumber, 1)
  .option('--count <n>', 'how many seeds from there on', parseWholeNumber, 100)
  .option('--as <release>', 'all controllers are of that release', 'this')
  .option('--list <file>', 'what was played, a line each; those in it are not played again', 'meetings.jsonl')
  .addHelpText('after', `\nThey meet two at a time:\n${Object.keys(MEETINGS).join('\n')}`)
  .action(async (given: string, flags: MeetingFlags) => {
    const known = frozenReleases();
    known.of(flags.as);
    const told = (line: string): void => void process.stderr.write(`${line}\n`);
    if (!(await playMeetings(loadDay(given), flags, known, told))) process.exitCode = 1;
  });

regionCommand
  .command('check')
  .description('read a day and say what is wrong with it')
  .argument(...dayArgument)
  .action((given: string) => {
    const day = loadDay(given);
    process.stdout.write(
      `${day.name}: ${day.duration_s} s, ${day.controllers.count} controllers, ${day.classes.length} classes, ${day.troubles.length} troubles\n`,
    );
  });

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
  .description('measurements on fleets of any size, one JSON object a line');
measure
  .command('speed')
  .description('how fast a fleet plays, and in how much memory')
  .option('--machines <n>', 'how many', parseWholeNumber, 900)
  .option('--seconds <n>', 'of simulated time', parseWholeNumber, 120)
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
  .description('how long it takes from the end of controllers to the last report answered and the first start')
  .option('--machines <n>', 'how many', parseWholeNumber, 900)
  .option('--seed <n>', 'of the day', parseWholeNumber, 1)
  .option('--rps <n>', "the state service's requests a second", parsePositiveNumber, 200)
  .option('--write-rps <n>', 'and changes a second', parsePositiveNumber, 40)
  .action(async ({ machines, seed, rps, writeRps }: MeasureFlags) => {
    for (const ended of CRASH_TARGETS)
      process.stdout.write(`${JSON.stringify(await measureRecovery({ machines, ended, seed, rps, writeRps }))}\n`);
  });
measure
  .command('rollout')
  .description('what it costs to replace the controllers of a loaded fleet one after the other, by kill and by leave')
  .option('--machines <n>', 'how many', parseWholeNumber, 900)
  .option('--seed <n>', 'of the day', parseWholeNumber, 1)
  .option('--old <release>', 'the earlier release that this one is mixed with', 'before-rollout')
  .action(async ({ machines, seed, old }: MeasureFlags) => {
    const known = frozenReleases();
    known.of(old);
    for (const roll of rolloutVariants(old))
      process.stdout.write(`${JSON.stringify(await measureRollout({ machines, seed, ...roll, releases: known }))}\n`);
  });
measure
  .command('changes')
  .description('changes a second that storing progress takes, in one record for each shard and in one for each job')
  .option('--machines <n>', 'how many', parseWholeNumber, 900)
  .option('--seed <n>', 'of the day', parseWholeNumber, 1)
  .action(async ({ machines, seed }: MeasureFlags) => {
    for (const grouped of [false, true])
      process.stdout.write(`${JSON.stringify(await measureStateChanges(machines, seed, grouped))}\n`);
  });
measure
  .command('cancels')
  .description('how long users wait until they are told that a job is cancelled, without troubles')
  .option('--machines <n>', 'in the fleet', parseWholeNumber, 900)
  .option('--seeds <n>', 'so many seeds, from 1', parseWholeNumber, 2)
  .option('--as <release>', 'all controllers are of that release', 'this')
  .action(async (flags: { machines: number; seeds: number; as: string }) => {
    for (let seed = 1; seed <= flags.seeds; seed++)
      process.stdout.write(
        `${JSON.stringify(await measureCancels(flags.machines, seed, flags.as, frozenReleases()))}\n`,
      );
  });
measure
  .command('chains')
  .description('how soon the steps of chains follow each other, and what storing a day takes, by kind of record')
  .argument(...dayArgument)
  .option('--seeds <n>', 'so many seeds, from 1', parseWholeNumber, 3)
  .action(async (given: string, { seeds }: { seeds: number }) => {
    const day = loadDay(given);
    for (let seed = 1; seed <= seeds; seed++)
      process.stdout.write(`${JSON.stringify(await measureChains(day, seed, frozenReleases()))}\n`);
  });
regionCommand
  .command('controller')
  .description('run a controller of one of these releases, as `serve` runs the one of this program')
  .argument('<release>', 'its name')
  .requiredOption('--config <file>', 'settings file (TOML)')
  .action((name: string, { config }: { config: string }) => {
    const release = frozenReleases().of(name);
    let toml: string;
    try {
      toml = readFileSync(config, 'utf8');
    } catch {
      throw new UsageError(`${config}: no such file`);
    }
    release.make(toml, createLogger(process.env['LOG_LEVEL'], name), systemRuntime, {}).start();
  });
regionCommand
  .command('releases')
  .description('the releases that a day can play')
  .action(() => {
    process.stdout.write(`${frozenReleases().names.join('\n')}\n`);
  });
addScaleCommands(regionCommand);
addCapacityCommand(measure);
