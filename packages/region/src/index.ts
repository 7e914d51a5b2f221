export * from './checker/index.js';
export * from './day/index.js';
export * from './models/index.js';
export * from './controller.js';
export * from './parts.js';
export * from './region.js';
export * from './settings.js';
export * from './sim/index.js';
export type { AimResult, ClassResult, Quantiles } from './daybook.js';
