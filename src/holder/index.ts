/** The holder of a shard: runs the shard's jobs on its block of machines. */
export type { HolderDeps, OperatorSettingsView, ReportReply, WantedCapacity } from './deps.js';
export * from './shard-holder.js';
export { HeldMachine } from './held-machine.js';
export { JobRun, orderedTask } from './job-run.js';
export type { TaskFailure } from './job-failures.js';
export { JobOutcomes, type JobOutcome } from './job-outcomes.js';
export { MachineHealth, type MachineState } from './machine-health.js';
export { ordersToForget } from './forget-orders.js';
export { mustStopBeforeReclaim } from './evictions.js';
export { ATTEMPTS_PER_CLAIM, UnexpectedTasks, type UnexpectedTaskCounts } from './unexpected-tasks.js';
export type { ChangeSource } from './block-members.js';
export { planGroupedProgress } from './grouped-progress.js';
export { computeTeamUse, type LimitedTeamUse } from './team-use.js';
