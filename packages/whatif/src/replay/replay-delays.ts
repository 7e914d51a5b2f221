/**
 * Delays and intervals of the decision replay, in seconds. Reading a trace removes the delays of a real platform from
 * the recorded times; the replay adds them again.
 */
export { SILENT_MACHINE_MARGIN_S as DEAD_S, JOIN_DELAY_S as JOIN_S } from '../night/index.js';
/** Delay from sending a command until it takes effect on the worker, as on the simulated region. */
export const COMMAND_DELAY_S = 0.02;
/** Delay until a worker's report reaches the controller. */
export const REPORT_DELAY_S = 0.25;
/** Delay from the completion of a job's last task until the end of the job is stored in the state service. */
export const JOB_END_WRITE_S = 0.15;
/** Delay from a change to the placement round that it triggers. */
export const PLACEMENT_ROUND_DELAY_S = 0.25;
/** Interval between the leader's lease rounds. */
export const LEASE_ROUND_INTERVAL_S = 1;
/** Interval between straggler checks. */
export const STRAGGLER_CHECK_INTERVAL_S = 2;
/** Interval between samples of the timeline. */
export const TIMELINE_INTERVAL_S = 15;
/** Time during which a machine kind is not requested again after the cloud had too few machines of it. */
export const CAPACITY_BACKOFF_S = 15;
/** Maximum time for which a replay continues past the end of the night, so that late jobs can finish. */
export const MAX_OVERTIME_S = 3600;
