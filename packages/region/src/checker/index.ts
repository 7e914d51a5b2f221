export * from './rules.js';
export type { Room } from './waiting.js';
