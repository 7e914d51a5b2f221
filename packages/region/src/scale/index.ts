export { ScaleError } from './errors.js';
export { HollowWorkers } from './hollow.js';
export type { Launch } from './fleet.js';
export type { HollowCommand, HollowEvent } from './messages.js';
export { OrderedEvents } from './ordered.js';
export { checkSize, MAX_PROCESSES, memoryFor } from './resources.js';
export { ScaleRun, type ScaleOptions, type ScaleResult } from './run.js';
export { scaleTable } from './table.js';
export { UsageMeter } from './usage.js';
export {
  amountOf,
  capacityRun,
  DIMENSIONS,
  figuresOf,
  FITTED,
  FULL,
  slopes,
  type Dimension,
  type Sample,
} from './capacity.js';
