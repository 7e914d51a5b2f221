import { readFileSync, realpathSync } from 'node:fs';
import { totalmem } from 'node:os';
import { dirname, join } from 'node:path';
import type { Command } from 'commander';
import { parse } from 'smol-toml';
import { createLogger, isObject } from '../../../../src/kernel/index.js';
import { scaledDay, type Day } from '../day/index.js';
import {
  HollowWorkers,
  ScaleRun,
  scaleTable,
  type HollowCommand,
  type Launch,
  type ScaleOptions,
} from '../scale/index.js';
import { dayArgument, loadDay } from './days.js';
import { positiveNumber, shareOfOne, wholeNumber } from './options.js';

/** A scale run's day goes on for as long as the run does. */
const ENDLESS_S = 100_000;

interface ScaleFlags {
  readonly share: number;
  readonly controllers?: number;
  readonly workerProcesses: number;
  readonly seconds: number;
  readonly warmup: number;
  readonly changesPerMinute: number;
  readonly changesAtOnce: number;
  readonly seed?: number;
  readonly quiet?: true;
  readonly json?: true;
}

const scriptPath = (): string => realpathSync(process.argv[1] ?? '.');

/** Flags of Node.js that the deploy file starts controllers with; none where there is no such file beside the bundle. */
function controllerFlags(): readonly string[] {
  let toml: unknown;
  try {
    toml = parse(readFileSync(join(dirname(scriptPath()), '..', 'deploy', 'service.toml'), 'utf8'));
  } catch {
    return [];
  }
  const run = isObject(toml) ? toml['run'] : undefined;
  return typeof run === 'string' ? run.split(' ').filter((word) => word.startsWith('--') && word !== '--config') : [];
}

/** How this program starts its own further processes. */
export const launchOfThis = (): Launch => ({
  node: process.execPath,
  controllerFlags: controllerFlags(),
  script: scriptPath(),
});

/** What a scale run takes from the machine and the terminal. */
export const machineOptions = (): Pick<ScaleOptions, 'launch' | 'log' | 'ownPid' | 'machineBytes'> => ({
  launch: launchOfThis(),
  log: createLogger(process.env['LOG_LEVEL'] ?? 'warn', 'models'),
  ownPid: process.pid,
  machineBytes: totalmem(),
});

/** Makes a run end in order on Ctrl-C or a termination signal, and its processes with it whatever happens. */
export async function runScale(options: ScaleOptions): Promise<Awaited<ReturnType<ScaleRun['run']>>> {
  let stopped = false;
  const run = new ScaleRun({ ...options, stop: () => stopped });
  const stop = (): void => {
    stopped = true;
  };
  const endNow = (): void => run.end();
  process.on('SIGINT', stop);
  process.on('SIGTERM', stop);
  process.on('exit', endNow);
  try {
    return await run.run();
  } finally {
    process.off('SIGINT', stop);
    process.off('SIGTERM', stop);
    process.off('exit', endNow);
  }
}

function dayFor(given: string, flags: ScaleFlags): Day {
  const day = scaledDay(loadDay(given), flags.share);
  return {
    ...day,
    ...(flags.seed === undefined ? {} : { seed: flags.seed }),
    ...{ duration_s: ENDLESS_S, quiet_end_s: 0 },
    controllers: { ...day.controllers, count: flags.controllers ?? day.controllers.count },
    troubles: flags.quiet === true ? [] : day.troubles,
  };
}

async function scale(given: string, flags: ScaleFlags): Promise<void> {
  const result = await runScale({
    ...machineOptions(),
    day: dayFor(given, flags),
    hollowProcesses: flags.workerProcesses,
    ...{ warmupS: flags.warmup, seconds: flags.seconds },
    ...{ changesPerMinute: flags.changesPerMinute, changesAtOnce: flags.changesAtOnce },
    progress: (line) => process.stderr.write(`${line}\n`),
  });
  process.stdout.write(`${flags.json === true ? JSON.stringify(result) : scaleTable(result)}\n`);
  if (result.breaches.length > 0) process.exitCode = 1;
}

/** A process of hollow workers: told what to do by the run that started it, and ends with it. */
function hollowWorkers(): void {
  const workers = new HollowWorkers(
    { send: (event) => void process.send?.(event) },
    createLogger(process.env['LOG_LEVEL'] ?? 'error', 'workers'),
  );
  process.on('message', (command) => workers.take(command as HollowCommand));
  process.on('disconnect', () => process.exit(0));
  // The run ends its workers itself: Ctrl-C in a terminal reaches them, too.
  process.on('SIGINT', () => undefined);
}

export function addScaleCommands(region: Command): void {
  region
    .command('scale')
    .description('run whole controllers as processes on loopback against hollow workers, and account for every role')
    .argument(...dayArgument)
    .option('--share <part>', 'machines, arrivals and limits at this part of their size', shareOfOne, 1)
    .option('--controllers <n>', "instead of the day's own number", wholeNumber)
    .option('--worker-processes <n>', 'processes that the hollow workers share', positiveNumber, 4)
    .option('--warmup <seconds>', 'before anything is measured', positiveNumber, 60)
    .option('--seconds <n>', 'that are measured', positiveNumber, 60)
    .option('--changes-per-minute <n>', "changes of the operators' settings", wholeNumber, 12)
    .option('--changes-at-once <n>', 'so many more at the middle of the measurement', wholeNumber, 0)
    .option('--seed <n>', "instead of the day's own", wholeNumber)
    .option('--quiet', "without the day's troubles")
    .option('--json', 'the result as one line of JSON')
    .action((day: string, flags: ScaleFlags) => scale(day, flags));
  region.command('hollow-workers', { hidden: true }).action(hollowWorkers);
}
