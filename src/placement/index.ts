// Placement: which task starts on which machine, and which tasks are preempted for it.

export { allowedKind, allowsZone, leavesReserve, mayBorrow, comparePending, relevance } from './fit.js';
export type {
  MachineView,
  PendingJob,
  Plan,
  PlanInput,
  PlannedStart,
  PlannedStop,
  Reserve,
  Stoppable,
  TeamUse,
  Unplaced,
} from './model.js';
export { planPlacement } from './plan.js';
export { slackOf, type ClassAim, type Slack } from './slack.js';
