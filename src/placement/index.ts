/** Placement: which task starts on which machine, and which tasks are preempted for it. */

export {
  allowsMachine,
  allowsZone,
  leavesReserve,
  mayUseReserve,
  comparePending,
  machineFilterFor,
  mayTryProbation,
} from './fit.js';
export type {
  MachineView,
  PendingJob,
  Plan,
  PlanInput,
  PlannedStart,
  PlannedStop,
  GpuReserve,
  PreemptableTask,
  TaskIndices,
  TeamUse,
  UnplacedTasks,
} from './model.js';
export { lowestIndices } from './model.js';
export { planPlacement } from './plan.js';
export { slackOf, type ClassObjective, type Slack } from './slack.js';
