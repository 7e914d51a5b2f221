import { InvalidArgumentError, type Command } from 'commander';
import {
  amountOf,
  capacityRun,
  DIMENSIONS,
  figuresOf,
  FITTED,
  FULL,
  slopes,
  type Dimension,
  type Sample,
} from '../scale/index.js';
import { dayArgument, loadDay } from './days.js';
import { positiveNumber } from './options.js';
import { machineOptions, runScale } from './scale.js';

const dimension = (text: string, before: readonly Dimension[] = []): readonly Dimension[] => {
  const known = DIMENSIONS.find((name) => name === text);
  if (!known) throw new InvalidArgumentError(`one of ${DIMENSIONS.join(', ')}`);
  return [...before, known];
};

interface CapacityFlags {
  readonly dimension?: readonly Dimension[];
  readonly workerProcesses: number;
  readonly warmup: number;
  readonly seconds: number;
}

const print = (line: unknown): void => void process.stdout.write(`${JSON.stringify(line)}\n`);

/** The slopes of each dimension, as JSON lines: a line for each run, and one with what they fit. */
async function measureCapacity(given: string, flags: CapacityFlags): Promise<void> {
  const whole = loadDay(given);
  const { workerProcesses: hollowProcesses, warmup: warmupS, seconds } = flags;
  for (const varied of flags.dimension ?? DIMENSIONS) {
    const samples: Sample[] = [];
    for (const part of [...FITTED, FULL]) {
      const run = capacityRun(whole, varied, part);
      const { day, changesPerMinute } = run;
      process.stderr.write(`${varied} at ${part}\n`);
      const result = await runScale({
        ...machineOptions(),
        ...{ day, hollowProcesses, warmupS, seconds, changesPerMinute, changesAtOnce: 0 },
      });
      const sample = { amount: amountOf(run, result), figures: figuresOf(result) };
      samples.push(sample);
      print({ dimension: varied, part, ...sample, result });
    }
    const full = samples.pop();
    if (full) print({ dimension: varied, fitted: samples.length, full: full.amount, slopes: slopes(samples, full) });
  }
}

export function addCapacityCommand(measure: Command): void {
  measure
    .command('capacity')
    .description('slopes of what controllers take: one thing varied at a time, and what they predict for the whole')
    .argument(...dayArgument)
    .option('--dimension <name>', `only this one, repeatable: ${DIMENSIONS.join(', ')}`, dimension)
    .option('--worker-processes <n>', 'processes that the hollow workers share', positiveNumber, 3)
    .option('--warmup <seconds>', 'before anything is measured', positiveNumber, 35)
    .option('--seconds <n>', 'that are measured', positiveNumber, 20)
    .action((day: string, flags: CapacityFlags) => measureCapacity(day, flags));
}
