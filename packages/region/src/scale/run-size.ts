/** Limits the processes and the memory of scale runs. */

import { ScaleError } from './errors.js';

/** Most processes of a scale run, the run itself included. */
export const MAX_PROCESSES = 300;
/** Most controllers of a scale run. */
export const MAX_CONTROLLERS = 50;
/** Fraction of the host machine's memory that a run may use. */
const MAX_MEMORY_FRACTION = 0.5;

const BYTES_PER_MB = 1e6;
/** Upper estimates of resident memory, taken from runs (docs/CAPACITY.md). */
const BYTES_PER_CONTROLLER = 180 * BYTES_PER_MB;
const BYTES_PER_HOLLOW_PROCESS = 90 * BYTES_PER_MB;
const BYTES_PER_WORKER = 0.25 * BYTES_PER_MB;
const MODEL_PROCESS_BYTES = 250 * BYTES_PER_MB;
const BYTES_PER_TASK = 0.01 * BYTES_PER_MB;

/** Size of a scale run, from which its memory is estimated. */
export interface ScaleSize {
  readonly controllers: number;
  readonly hollowProcesses: number;
  readonly workers: number;
  /** Tasks that may run at the same time. */
  readonly tasks: number;
}

/** Returns an upper estimate of the memory of a run in bytes. */
export const estimateMemoryBytes = ({ controllers, hollowProcesses, workers, tasks }: ScaleSize): number =>
  controllers * BYTES_PER_CONTROLLER +
  hollowProcesses * BYTES_PER_HOLLOW_PROCESS +
  workers * BYTES_PER_WORKER +
  tasks * BYTES_PER_TASK +
  MODEL_PROCESS_BYTES;

/**
 * Checks that a run does not need too many processes or too much of the host machine's memory.
 *
 * @throws ScaleError that names the exceeded limit.
 */
export function checkRunSize(size: ScaleSize, machineBytes: number): void {
  const { controllers, hollowProcesses } = size;
  if (controllers < 1 || controllers > MAX_CONTROLLERS)
    throw new ScaleError(`a scale run can have 1 to ${MAX_CONTROLLERS} controllers, not ${controllers}`);
  const processes = 1 + controllers + hollowProcesses;
  if (processes > MAX_PROCESSES)
    throw new ScaleError(`the scale run needs ${processes} processes, more than the limit of ${MAX_PROCESSES}`);
  const neededBytes = estimateMemoryBytes(size);
  const allowedBytes = machineBytes * MAX_MEMORY_FRACTION;
  if (neededBytes > allowedBytes)
    throw new ScaleError(
      `the scale run needs about ${Math.round(neededBytes / BYTES_PER_MB)} MB of memory, more than half (${Math.round(allowedBytes / BYTES_PER_MB)} MB) of this machine's memory`,
    );
}
