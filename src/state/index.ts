export * from './client.js';
export * from './limits.js';
export * from './keys.js';
export * from './mirror.js';
export type { Change, Entry, Guard, Op } from './wire.js';
export * from './format.js';
export * from './freshness-checker.js';
export * from './reread.js';
export * from './watch-lag.js';
