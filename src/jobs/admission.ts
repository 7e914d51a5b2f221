/** Admission check for jobs. */
import type { MachineType } from '../cloud/index.js';
import type { TeamQuota } from '../config/index.js';
import type { JobSpec } from './model.js';

/** Tolerance for rounding errors in sums of decimal amounts. */
const ROUNDING_TOLERANCE = 1e-9;

/** Returns why a job can never run, or null if it can. A pure function, so that every node gives the same answer. */
export function unschedulableReason(
  spec: JobSpec,
  teams: ReadonlyMap<string, TeamQuota>,
  types: readonly MachineType[],
): string | null {
  const team = teams.get(spec.team);
  if (!team) return `unknown team ${spec.team}`;
  const fits = types.some(
    (t) =>
      (spec.types === null || spec.types.includes(t.name)) &&
      // A type that lists no zones is assumed to exist in every zone.
      (spec.zone === null || t.zones.length === 0 || t.zones.includes(spec.zone)) &&
      spec.cpus <= t.cpus + ROUNDING_TOLERANCE &&
      spec.gpus <= t.gpus + ROUNDING_TOLERANCE &&
      spec.memoryGb <= t.memoryGb + ROUNDING_TOLERANCE,
  );
  if (!fits) return 'a task fits no allowed machine type';
  // Gangs and services run all tasks at once, so they can't be confined to one zone and spread over several as well.
  // An array can run its tasks one after the other.
  if (spec.kind !== 'array' && spec.tasks > 1 && spec.spread && (spec.oneZone || spec.zone !== null))
    return 'all tasks must run in one zone, but spreading allows only half of them there';
  const concurrentTasks = spec.kind === 'array' ? 1 : spec.tasks;
  if (team.cpusMax > 0 && spec.cpus * concurrentTasks > team.cpusMax + ROUNDING_TOLERANCE)
    return 'the job needs more cpus than the limit of its team';
  if (team.gpusMax > 0 && spec.gpus * concurrentTasks > team.gpusMax + ROUNDING_TOLERANCE)
    return 'the job needs more gpus than the limit of its team';
  return null;
}
