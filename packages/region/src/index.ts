/** The simulated region: models, fault injection, rule checker and reports. */
export * from './checker/index.js';
export * from './scenario/index.js';
export * from './disposable-runtime.js';
export { fleetDay } from './measure/index.js';
export * from './models/index.js';
export * from './controller.js';
export * from './region-parts.js';
export * from './loopback-region.js';
export * from './releases/index.js';
export * from './region.js';
export * from './controller-settings.js';
export { renderSvg as svg } from './report/index.js';
export * from './sim/index.js';
export type { AimResult, ClassResult, Quantiles } from './job-statistics.js';
export { ResultsFileError as ListError } from './hunt/index.js';
export { ScaleError } from './scale/index.js';
