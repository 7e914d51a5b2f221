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
import { dayArgument, loadDay } from './days.js';
import { parsePositiveNumber } from './options.js';
import { hostOptions, runScale } from './scale.js';

const parseDimension = (text: string, previous: readonly CapacityDimension[] = []): readonly CapacityDimension[] => {
  const match = CAPACITY_DIMENSIONS.find((name) => name === text);
  if (!match) throw new InvalidArgumentError(`one of ${CAPACITY_DIMENSIONS.join(', ')}`);
  return [...previous, match];
};

interface CapacityFlags {
  readonly dimension?: readonly CapacityDimension[];
  readonly workerProcesses: number;
  readonly warmup: number;
  readonly seconds: number;
}

const printJsonLine = (line: unknown): void => void process.stdout.write(`${JSON.stringify(line)}\n`);

/** The slopes of each dimension, as JSON lines: a line for each run, and one with what they fit. */
async function measureCapacity(nameOrPath: string, flags: CapacityFlags): Promise<void> {
  const fullDay = loadDay(nameOrPath);
  const { workerProcesses: hollowProcesses, warmup: warmupS, seconds } = flags;
  for (const varied of flags.dimension ?? CAPACITY_DIMENSIONS) {
    const samples: CapacitySample[] = [];
    for (const part of [...FITTED_PARTS, FULL_PART]) {
      const run = capacityRun(fullDay, varied, part);
      const { day, changesPerMinute } = run;
      process.stderr.write(`${varied} at ${part}\n`);
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

export function addCapacityCommand(measure: Command): void {
  measure
    .command('capacity')
    .description('slopes of what controllers take: one thing varied at a time, and what they predict for the whole')
    .argument(...dayArgument)
    .option('--dimension <name>', `only this one, repeatable: ${CAPACITY_DIMENSIONS.join(', ')}`, parseDimension)
    .option('--worker-processes <n>', 'processes that the hollow workers share', parsePositiveNumber, 3)
    .option('--warmup <seconds>', 'before anything is measured', parsePositiveNumber, 35)
    .option('--seconds <n>', 'that are measured', parsePositiveNumber, 20)
    .action((day: string, flags: CapacityFlags) => measureCapacity(day, flags));
}
