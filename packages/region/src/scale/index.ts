/** Scale runs: real controller processes under the load of a modelled region. */
export { ScaleError } from './errors.js';
export { HollowWorkers } from './hollow-workers.js';
export type { ProcessLaunch } from './hollow-fleet.js';
export type { HollowCommand, HollowEvent } from './messages.js';
export { OrderedEvents } from './ordered-events.js';
export { checkRunSize, MAX_PROCESSES, estimateMemoryBytes } from './run-size.js';
export { ScaleRun, type ScaleOptions, type ScaleResult } from './run.js';
export { renderScaleTable } from './table.js';
export { UsageMeter } from './usage-meter.js';
export {
  amountOf,
  capacityRun,
  CAPACITY_DIMENSIONS,
  figuresOf,
  FITTED_PARTS,
  FULL_PART,
  fitSlopes,
  type CapacityDimension,
  type CapacitySample,
} from './capacity.js';
