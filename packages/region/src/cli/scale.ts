/** Commands for scale runs. */

import { readFileSync, realpathSync } from 'node:fs';
import { totalmem } from 'node:os';
import { dirname, join } from 'node:path';
import type { Command } from 'commander';
import { parse } from 'smol-toml';
import { createLogger, isObject } from '../../../../src/kernel/index.js';
import { scaleScenario, type SimulationScenario } from '../scenario/index.js';
import {
  HollowWorkers,
  ScaleRun,
  renderScaleTable,
  type HollowCommand,
  type ProcessLaunch,
  type ScaleOptions,
} from '../scale/index.js';
import { dayArgument, loadDay } from './load-day.js';
import { parsePositiveNumber, parseFraction, parseWholeNumber } from './options.js';

/** Duration of a scale run's day in seconds, longer than any run. */
const UNBOUNDED_DURATION_S = 100_000;

/** Options of `region scale`. */
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

/** Path of this program's script, symbolic links resolved. */
const scriptPath = (): string => realpathSync(process.argv[1] ?? '.');

/** Reads the flags of Node.js for controllers from the deploy file beside the bundle; none if there is no such file. */
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

/** How to start further processes of this program. */
export const ownProcessLaunch = (): ProcessLaunch => ({
  node: process.execPath,
  controllerFlags: readControllerFlags(),
  script: scriptPath(),
});

/** Options of a scale run that depend on the host machine and the environment. */
export const hostOptions = (): Pick<ScaleOptions, 'launch' | 'log' | 'ownPid' | 'machineBytes'> => ({
  launch: ownProcessLaunch(),
  log: createLogger(process.env['LOG_LEVEL'] ?? 'warn', 'models'),
  ownPid: process.pid,
  machineBytes: totalmem(),
});

/** Runs a scale run that stops cleanly on SIGINT or SIGTERM, and whose processes end when this process exits. */
export async function runScale(options: ScaleOptions): Promise<Awaited<ReturnType<ScaleRun['run']>>> {
  let stopped = false;
  const run = new ScaleRun({ ...options, stop: () => stopped });
  const requestStop = (): void => {
    stopped = true;
  };
  const endProcesses = (): void => run.end();
  process.on('SIGINT', requestStop);
  process.on('SIGTERM', requestStop);
  process.on('exit', endProcesses);
  try {
    return await run.run();
  } finally {
    process.off('SIGINT', requestStop);
    process.off('SIGTERM', requestStop);
    process.off('exit', endProcesses);
  }
}

/** Loads the day of a scale run, and applies the options to it. */
function scaleRunDay(nameOrPath: string, flags: ScaleFlags): SimulationScenario {
  const day = scaleScenario(loadDay(nameOrPath), flags.share);
  return {
    ...day,
    ...(flags.seed === undefined ? {} : { seed: flags.seed }),
    ...{ duration_s: UNBOUNDED_DURATION_S, quiet_end_s: 0 },
    controllers: { ...day.controllers, count: flags.controllers ?? day.controllers.count },
    troubles: flags.quiet === true ? [] : day.troubles,
  };
}

/** Performs a scale run and prints its result. The exit code is 1 if a protocol rule was violated. */
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

/** Hosts hollow workers in this process: executes the commands of the run that started it, and exits when that run ends. */
function runHollowWorkers(): void {
  const workers = new HollowWorkers(
    { send: (event) => void process.send?.(event) },
    createLogger(process.env['LOG_LEVEL'] ?? 'error', 'workers'),
  );
  process.on('message', (command) => workers.handleCommand(command as HollowCommand));
  process.on('disconnect', () => process.exit(0));
  // Ctrl-C in a terminal also reaches worker processes, but the run ends them itself.
  process.on('SIGINT', () => undefined);
}

/** Adds the command `region scale` and its hidden helper command. */
export function addScaleCommands(region: Command): void {
  region
    .command('scale')
    .description(
      'run whole controllers as processes on loopback against hollow workers, and measure the resource usage of every role',
    )
    .argument(...dayArgument)
    .option('--share <part>', 'scale machines, arrivals and limits by this factor', parseFraction, 1)
    .option('--controllers <n>', 'number of controllers instead of that of the day', parseWholeNumber)
    .option('--worker-processes <n>', 'processes that host the hollow workers', parsePositiveNumber, 4)
    .option('--warmup <seconds>', 'time before the measurement', parsePositiveNumber, 60)
    .option('--seconds <n>', 'duration of the measurement', parsePositiveNumber, 60)
    .option('--changes-per-minute <n>', "rate of changes to the operators' settings", parseWholeNumber, 12)
    .option('--changes-at-once <n>', 'further changes at once in the middle of the measurement', parseWholeNumber, 0)
    .option('--seed <n>', 'seed instead of that of the day', parseWholeNumber)
    .option('--quiet', 'without the faults of the day')
    .option('--json', 'print the result as one line of JSON')
    .action((day: string, flags: ScaleFlags) => runScaleCommand(day, flags));
  region.command('hollow-workers', { hidden: true }).action(runHollowWorkers);
}
