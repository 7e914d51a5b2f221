import { encodeSettings, type OperatorSettings, type TrailView } from '../admin/index.js';
import type { MachineType } from '../cloud/index.js';
import type { Settings } from '../config/index.js';
import type { Incarnation } from '../kernel/index.js';
import type { Trail } from '../trail/index.js';

/** Present values that the trail view reads when it is asked. */
export interface TrailSources {
  /** The machine types of the cloud. */
  types(): readonly MachineType[];
  /** The settings that operators have made. */
  operatorSettings(): OperatorSettings;
}

/** What trace recorders can request: pages of the event trail, and the facts of the deployment that a replay needs. */
export function trailView(
  trail: Trail,
  settings: Settings,
  incarnation: Incarnation,
  sources: TrailSources,
): TrailView {
  const { node, zones, skewMs, teams, objectives, workers, stateLimits, cloudLimits } = settings;
  return {
    page: (after, limit) => ({ node, incarnation, ...trail.page(after, limit) }),
    facts: () => ({
      ...{ node, zones, skewMs, teams: Object.fromEntries(teams), objectives },
      ...{ workers, state: stateLimits, cloud: cloudLimits, types: sources.types() },
      settings: encodeSettings(sources.operatorSettings()),
    }),
  };
}
