import type { MachineType } from '../cloud/index.js';
import type { TeamFacts } from '../config/index.js';
import type { JobSpec } from './model.js';

/** A little slack for sums of decimal amounts. */
const EPSILON = 1e-9;

/** Why a job can never run, or null. Pure, so that every node says the same. */
export function whyNever(
  spec: JobSpec,
  teams: ReadonlyMap<string, TeamFacts>,
  types: readonly MachineType[],
): string | null {
  const team = teams.get(spec.team);
  if (!team) return `unknown team ${spec.team}`;
  const fits = types.some(
    (t) =>
      (spec.types === null || spec.types.includes(t.name)) &&
      // A type that names no zones is taken for one that is everywhere.
      (spec.zone === null || t.zones.length === 0 || t.zones.includes(spec.zone)) &&
      spec.cpus <= t.cpus + EPSILON &&
      spec.gpus <= t.gpus + EPSILON &&
      spec.memoryGb <= t.memoryGb + EPSILON,
  );
  if (!fits) return 'a task fits no allowed machine type';
  // All at once in one zone, and at most half of them there: an array may take turns, the others can't.
  if (spec.kind !== 'array' && spec.tasks > 1 && spec.spread && (spec.oneZone || spec.zone !== null))
    return 'its tasks must be in one zone, and may not all be in one';
  const atOnce = spec.kind === 'array' ? 1 : spec.tasks;
  if (team.cpusMax > 0 && spec.cpus * atOnce > team.cpusMax + EPSILON) return 'needs more cpus than its team may use';
  if (team.gpusMax > 0 && spec.gpus * atOnce > team.gpusMax + EPSILON) return 'needs more gpus than its team may use';
  return null;
}
