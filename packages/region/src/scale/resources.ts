import { ScaleError } from './errors.js';

export const MAX_PROCESSES = 300;
export const MAX_CONTROLLERS = 50;
/** Of the machine's memory, the part that a run may take. */
const MEMORY_SHARE = 0.5;

const MB = 1e6;
/** Upper estimates of resident memory, from runs (docs/CAPACITY.md). */
const CONTROLLER_BYTES = 180 * MB;
const HOLLOW_PROCESS_BYTES = 90 * MB;
const WORKER_BYTES = 0.25 * MB;
const MODELS_BYTES = 250 * MB;
const TASK_BYTES = 0.01 * MB;

export interface ScaleSize {
  readonly controllers: number;
  readonly hollowProcesses: number;
  readonly workers: number;
  /** That may run at once. */
  readonly tasks: number;
}

/** What a run of that size takes at the most, in bytes. */
export const memoryFor = ({ controllers, hollowProcesses, workers, tasks }: ScaleSize): number =>
  controllers * CONTROLLER_BYTES +
  hollowProcesses * HOLLOW_PROCESS_BYTES +
  workers * WORKER_BYTES +
  tasks * TASK_BYTES +
  MODELS_BYTES;

/** Refuses a run that would take too many processes or too much of the machine's memory, naming the figure. */
export function checkSize(size: ScaleSize, machineBytes: number): void {
  const { controllers, hollowProcesses } = size;
  if (controllers < 1 || controllers > MAX_CONTROLLERS)
    throw new ScaleError(`${controllers} controllers: 1 to ${MAX_CONTROLLERS} can be run`);
  const processes = 1 + controllers + hollowProcesses;
  if (processes > MAX_PROCESSES)
    throw new ScaleError(`${processes} processes: more than the ${MAX_PROCESSES} that a run may have`);
  const needed = memoryFor(size);
  const allowed = machineBytes * MEMORY_SHARE;
  if (needed > allowed)
    throw new ScaleError(
      `about ${Math.round(needed / MB)} MB of memory: more than half (${Math.round(allowed / MB)} MB) of this machine's`,
    );
}
