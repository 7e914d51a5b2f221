/** The holder of a shard: runs the shard's jobs on its block of machines. */
export type { HolderDeps, OperatorView, ReportReply } from './deps.js';
export * from './holder.js';
export { HeldMachine } from './machine.js';
export { JobRun } from './run.js';
export { mustStopBeforeReclaim } from './departures.js';
export type { ChangeSource } from './members.js';
export { planGroupedProgress } from './grouping.js';
export { computeTeamUse, type LimitedTeamUse } from './teamuse.js';
