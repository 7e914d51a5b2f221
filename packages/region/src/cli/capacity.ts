/** Command that measures how the resource usage of controllers grows with the load. */

import { InvalidArgumentError, type Command } from 'commander';
import {
  amountOf,
  capacityRun,
  CAPACITY_DIMENSIONS,
  figuresOf,
  FITTED_PARTS,
  FULL_PART,
  fitSlopes,
  type CapacityDimension,
  type CapacitySample,
} from '../scale/index.js';
import { dayArgument, loadDay } from './load-day.js';
import { parsePositiveNumber } from './options.js';
import { hostOptions, runScale } from './scale.js';

/** Parses one value of a repeatable option. */
const parseDimension = (text: string, previous: readonly CapacityDimension[] = []): readonly CapacityDimension[] => {
  const match = CAPACITY_DIMENSIONS.find((name) => name === text);
  if (!match) throw new InvalidArgumentError(`it must be one of ${CAPACITY_DIMENSIONS.join(', ')}`);
  return [...previous, match];
};

/** Options of `measure capacity`. */
interface CapacityFlags {
  readonly dimension?: readonly CapacityDimension[];
  readonly workerProcesses: number;
  readonly warmup: number;
  readonly seconds: number;
}

const printJsonLine = (line: unknown): void => void process.stdout.write(`${JSON.stringify(line)}\n`);

/** Measures the slopes of each dimension, and prints one JSON line per run and one with the fit. */
async function measureCapacity(nameOrPath: string, flags: CapacityFlags): Promise<void> {
  const fullDay = loadDay(nameOrPath);
  const { workerProcesses: hollowProcesses, warmup: warmupS, seconds } = flags;
  for (const varied of flags.dimension ?? CAPACITY_DIMENSIONS) {
    const samples: CapacitySample[] = [];
    for (const part of [...FITTED_PARTS, FULL_PART]) {
      const run = capacityRun(fullDay, varied, part);
      const { day, changesPerMinute } = run;
      process.stderr.write(`measuring ${varied} at ${part} of the full size\n`);
      const result = await runScale({
        ...hostOptions(),
        ...{ day, hollowProcesses, warmupS, seconds, changesPerMinute, changesAtOnce: 0 },
      });
      const sample = { amount: amountOf(run, result), figures: figuresOf(result) };
      samples.push(sample);
      printJsonLine({ dimension: varied, part, ...sample, result });
    }
    const full = samples.pop();
    if (full)
      printJsonLine({ dimension: varied, fitted: samples.length, full: full.amount, slopes: fitSlopes(samples, full) });
  }
}

/** Adds the command `measure capacity`. */
export function addCapacityCommand(measure: Command): void {
  measure
    .command('capacity')
    .description(
      'fit the resource usage of controllers to one dimension of the load at a time, and check the prediction for the full size',
    )
    .argument(...dayArgument)
    .option(
      '--dimension <name>',
      `measure only this dimension; repeatable: ${CAPACITY_DIMENSIONS.join(', ')}`,
      parseDimension,
    )
    .option('--worker-processes <n>', 'processes that host the hollow workers', parsePositiveNumber, 3)
    .option('--warmup <seconds>', 'time before the measurement', parsePositiveNumber, 35)
    .option('--seconds <n>', 'duration of the measurement', parsePositiveNumber, 20)
    .action((day: string, flags: CapacityFlags) => measureCapacity(day, flags));
}
