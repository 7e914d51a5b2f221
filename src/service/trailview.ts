import { encodeSettings, type OperatorSettings, type TrailView } from '../admin/index.js';
import type { MachineType } from '../cloud/index.js';
import type { Settings } from '../config/index.js';
import type { Incarnation } from '../kernel/index.js';
import type { Trail } from '../trail/index.js';

export interface TrailSources {
  types(): readonly MachineType[];
  operator(): OperatorSettings;
}

/** What recorders may ask for: pages of the trail, and what a replay has to know of the deployment. */
export function trailView(trail: Trail, settings: Settings, incarnation: Incarnation, from: TrailSources): TrailView {
  const { node, zones, skewMs, teams, objectives, workers, stateLimits, cloudLimits } = settings;
  return {
    page: (after, most) => ({ node, incarnation, ...trail.page(after, most) }),
    facts: () => ({
      ...{ node, zones, skewMs, teams: Object.fromEntries(teams), objectives },
      ...{ workers, state: stateLimits, cloud: cloudLimits, types: from.types() },
      settings: encodeSettings(from.operator()),
    }),
  };
}
