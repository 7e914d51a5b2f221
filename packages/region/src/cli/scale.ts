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
  renderScaleTable,
  type HollowCommand,
  type ProcessLaunch,
  type ScaleOptions,
} from '../scale/index.js';
import { dayArgument, loadDay } from './days.js';
import { parsePositiveNumber, parseFraction, parseWholeNumber } from './options.js';

/** A scale run's day goes on for as long as the run does. */
const UNBOUNDED_DURATION_S = 100_000;

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
function readControllerFlags(): readonly string[] {
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
export const ownProcessLaunch = (): ProcessLaunch => ({
  node: process.execPath,
  controllerFlags: readControllerFlags(),
  script: scriptPath(),
});

/** What a scale run takes from the machine and the terminal. */
export const hostOptions = (): Pick<ScaleOptions, 'launch' | 'log' | 'ownPid' | 'machineBytes'> => ({
  launch: ownProcessLaunch(),
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
  const endProcesses = (): void => run.end();
  process.on('SIGINT', stop);
  process.on('SIGTERM', stop);
  process.on('exit', endProcesses);
  try {
    return await run.run();
  } finally {
    process.off('SIGINT', stop);
    process.off('SIGTERM', stop);
    process.off('exit', endProcesses);
  }
}

function scaleRunDay(nameOrPath: string, flags: ScaleFlags): Day {
  const day = scaledDay(loadDay(nameOrPath), flags.share);
  return {
    ...day,
    ...(flags.seed === undefined ? {} : { seed: flags.seed }),
    ...{ duration_s: UNBOUNDED_DURATION_S, quiet_end_s: 0 },
    controllers: { ...day.controllers, count: flags.controllers ?? day.controllers.count },
    troubles: flags.quiet === true ? [] : day.troubles,
  };
}

async function runScaleCommand(nameOrPath: string, flags: ScaleFlags): Promise<void> {
  const result = await runScale({
    ...hostOptions(),
    day: scaleRunDay(nameOrPath, flags),
    hollowProcesses: flags.workerProcesses,
    ...{ warmupS: flags.warmup, seconds: flags.seconds },
    ...{ changesPerMinute: flags.changesPerMinute, changesAtOnce: flags.changesAtOnce },
    progress: (line) => process.stderr.write(`${line}\n`),
  });
  process.stdout.write(`${flags.json === true ? JSON.stringify(result) : renderScaleTable(result)}\n`);
  if (result.breaches.length > 0) process.exitCode = 1;
}

/** A process of hollow workers: told what to do by the run that started it, and ends with it. */
function runHollowWorkers(): void {
  const workers = new HollowWorkers(
    { send: (event) => void process.send?.(event) },
    createLogger(process.env['LOG_LEVEL'] ?? 'error', 'workers'),
  );
  process.on('message', (command) => workers.handleCommand(command as HollowCommand));
  process.on('disconnect', () => process.exit(0));
  // The run ends its workers itself: Ctrl-C in a terminal reaches them, too.
  process.on('SIGINT', () => undefined);
}

export function addScaleCommands(region: Command): void {
  region
    .command('scale')
    .description('run whole controllers as processes on loopback against hollow workers, and account for every role')
    .argument(...dayArgument)
    .option('--share <part>', 'machines, arrivals and limits at this part of their size', parseFraction, 1)
    .option('--controllers <n>', "instead of the day's own number", parseWholeNumber)
    .option('--worker-processes <n>', 'processes that the hollow workers share', parsePositiveNumber, 4)
    .option('--warmup <seconds>', 'before anything is measured', parsePositiveNumber, 60)
    .option('--seconds <n>', 'that are measured', parsePositiveNumber, 60)
    .option('--changes-per-minute <n>', "changes of the operators' settings", parseWholeNumber, 12)
    .option('--changes-at-once <n>', 'so many more at the middle of the measurement', parseWholeNumber, 0)
    .option('--seed <n>', "instead of the day's own", parseWholeNumber)
    .option('--quiet', "without the day's troubles")
    .option('--json', 'the result as one line of JSON')
    .action((day: string, flags: ScaleFlags) => runScaleCommand(day, flags));
  region.command('hollow-workers', { hidden: true }).action(runHollowWorkers);
}
