import { stringify } from 'smol-toml';
import type { Endpoint } from '../../../src/kernel/index.js';
import type { SimulationScenario } from './scenario/index.js';
import type { ControllerSpec } from './region-parts.js';

/** Formats an address as `host:port`. */
const formatEndpoint = ({ host, port }: Endpoint): string => `${host}:${port}`;

/** The objectives of all job classes of a day, as the settings file lists them. */
const objectives = (day: SimulationScenario): unknown[] =>
  day.classes.flatMap((c) =>
    c.aims.map((objective) => ({
      kind: objective.kind,
      class: c.name,
      ...('within_s' in objective ? { within_s: objective.within_s } : {}),
      share: objective.share,
    })),
  );

/** Builds the settings file (TOML) of one controller. `all` holds every controller, including `self`. */
export function controllerSettingsToml(
  day: SimulationScenario,
  self: ControllerSpec,
  all: readonly ControllerSpec[],
  services: { readonly state: Endpoint; readonly cloud: Endpoint },
): string {
  return stringify({
    node: self.name,
    area: self.zone,
    serve_on: formatEndpoint(self.serveOn),
    cluster_listen: formatEndpoint(self.peerOn),
    seeds: all
      .filter((other) => other !== self)
      .map((other) => ({ node: other.name, area: other.zone, peer_addr: formatEndpoint(other.peerOn) })),
    services: { cloud: formatEndpoint(services.cloud), state: formatEndpoint(services.state) },
    facts: {
      nodes: all.length,
      zones: day.zones,
      skew_ms: day.controllers.skew_ms,
      teams: day.teams,
      objectives: objectives(day),
      workers: day.workers,
      state: {
        ...{ rps: day.state.rps, write_rps: day.state.write_rps },
        ...{ value_kb: day.state.value_kb, txn_ops: day.state.txn_ops },
        ...(day.state.next ? { next: day.state.next } : {}),
      },
      cloud: { rps: day.cloud.rps, list_lag_s: day.cloud.list_lag_s },
      machine_limits: { max_connections: day.controllers.max_connections },
    },
  });
}
