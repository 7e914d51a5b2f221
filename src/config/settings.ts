/** Reads and validates the settings file (TOML) with which the platform starts a controller. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';
import { nodeName, parseAddress, type Address, type NodeName } from '../kernel/index.js';
import type { StateServiceLimits } from '../state/index.js';

const nonNegative = v.pipe(v.number(), v.minValue(0));
const positive = v.pipe(v.number(), v.gtValue(0));
const nonEmptyText = v.pipe(v.string(), v.nonEmpty());
const address = v.pipe(
  v.string(),
  v.check((value) => parseAddress(value) !== null, 'must be an IPv4 address and a port'),
);

/** Schema of the settings file. Unknown fields are ignored. */
const settingsSchema = v.object({
  node: nonEmptyText,
  area: nonEmptyText,
  serve_on: address,
  cluster_listen: address,
  seeds: v.optional(v.array(v.object({ node: nonEmptyText, area: nonEmptyText, peer_addr: address })), []),
  services: v.object({ cloud: address, state: address }),
  facts: v.object({
    nodes: v.optional(nonNegative),
    zones: v.array(nonEmptyText),
    skew_ms: v.optional(nonNegative, 100),
    teams: v.array(
      v.object({
        name: nonEmptyText,
        cpus: v.optional(nonNegative, 0),
        cpus_max: v.optional(nonNegative, 0),
        gpus: v.optional(nonNegative, 0),
        gpus_max: v.optional(nonNegative, 0),
      }),
    ),
    objectives: v.optional(
      v.array(
        v.object({
          kind: nonEmptyText,
          class: v.optional(nonEmptyText),
          within_s: v.optional(nonNegative),
          share: v.optional(nonNegative),
        }),
      ),
      [],
    ),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: v.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: positive,
      /** Lower limits that the state service will enforce from some time on, without notice. */
      next: v.nullish(
        v.object({ write_rps: v.optional(positive), value_kb: v.optional(positive), txn_ops: v.optional(positive) }),
      ),
    }),
    cloud: v.object({ rps: positive, list_lag_s: nonNegative }),
    machine_limits: v.optional(v.object({ max_connections: v.optional(positive, 800) }), {}),
  }),
});

/** A peer controller that the settings file names. */
export interface Seed {
  readonly node: NodeName;
  readonly address: Address;
}

/** Resource quota of a team: guaranteed amounts, and limits of which 0 means none. */
export interface TeamQuota {
  readonly cpus: number;
  readonly cpusMax: number;
  readonly gpus: number;
  readonly gpusMax: number;
}

/** A service level objective. `kind`: what it measures, such as `wait` or `finished`; `withinS`: target in seconds. */
export interface Objective {
  readonly kind: string;
  readonly jobClass: string | null;
  readonly withinS: number | null;
  readonly share: number | null;
}

/** The validated settings of a controller. */
export interface Settings {
  readonly node: NodeName;
  readonly zone: string;
  /** Listen address for users, operators and workers. */
  readonly serveOn: Address;
  /** Listen address for peer controllers. */
  readonly peerOn: Address;
  readonly seeds: readonly Seed[];
  /** Address of the cloud provider's API. */
  readonly cloud: Address;
  /** Address of the state service. */
  readonly state: Address;
  readonly zones: readonly string[];
  /** Maximum clock skew between the controllers' wall clocks. */
  readonly skewMs: number;
  readonly teams: ReadonlyMap<string, TeamQuota>;
  readonly objectives: readonly Objective[];
  readonly workers: {
    /** Interval between the reports of a worker. */
    readonly reportMs: number;
    /** Duration of a worker's lease. */
    readonly leaseMs: number;
    /** Until its gang has started, a member waits this long for the other members and then exits. */
    readonly gangWaitMs: number;
    /** After a member of a running gang is lost or stopped, the other members exit within this time. */
    readonly gangPeerMs: number;
    /** A cancelled job must be off all machines within this time after its user was told of the cancellation. */
    readonly cancelMs: number;
  };
  /** Limits of the state service. */
  readonly stateLimits: StateServiceLimits;
  /** `rps`: requests per second to the cloud provider; `listLagMs`: how far its machine list may lag behind. */
  readonly cloudLimits: { readonly rps: number; readonly listLagMs: number };
  /** Maximum number of sockets that the controller may have open. */
  readonly maxConnections: number;
}

/** An invalid settings file; the message names the missing or invalid field in one line. */
export class SettingsError extends Error {}

/** Parses an address that the schema has already validated. */
function requireAddress(text: string): Address {
  const parsed = parseAddress(text);
  if (!parsed) throw new SettingsError(`address: ${text} is not an IPv4 address and a port`);
  return parsed;
}

/** Parses and validates settings in TOML; throws a SettingsError. */
export function parseSettings(toml: string): Settings {
  let raw: unknown;
  try {
    raw = parse(toml);
  } catch (error) {
    const reason = error instanceof Error ? (error.message.split('\n')[0] ?? '') : String(error);
    throw new SettingsError(`not valid TOML: ${reason}`);
  }
  const result = v.safeParse(settingsSchema, raw);
  if (!result.success) {
    const issue = result.issues[0];
    const path = v.getDotPath(issue) ?? 'settings';
    throw new SettingsError(`${path}: ${issue.message}`);
  }
  const s = result.output;
  return {
    node: nodeName(s.node),
    zone: s.area,
    serveOn: requireAddress(s.serve_on),
    peerOn: requireAddress(s.cluster_listen),
    seeds: s.seeds.map((seed) => ({ node: nodeName(seed.node), address: requireAddress(seed.peer_addr) })),
    cloud: requireAddress(s.services.cloud),
    state: requireAddress(s.services.state),
    zones: s.facts.zones,
    skewMs: s.facts.skew_ms,
    teams: new Map(
      s.facts.teams.map((t) => [t.name, { cpus: t.cpus, cpusMax: t.cpus_max, gpus: t.gpus, gpusMax: t.gpus_max }]),
    ),
    objectives: s.facts.objectives.map((o) => ({
      kind: o.kind,
      jobClass: o.class ?? null,
      withinS: o.within_s ?? null,
      share: o.share ?? null,
    })),
    workers: {
      reportMs: s.facts.workers.report_s * 1000,
      leaseMs: s.facts.workers.lease_s * 1000,
      gangWaitMs: s.facts.workers.gang_wait_s * 1000,
      gangPeerMs: s.facts.workers.gang_peer_s * 1000,
      cancelMs: s.facts.workers.cancel_s * 1000,
    },
    stateLimits: {
      ...{ rps: s.facts.state.rps, writeRps: s.facts.state.write_rps },
      ...{ valueKb: s.facts.state.value_kb, txnOps: s.facts.state.txn_ops },
      ...(s.facts.state.next
        ? {
            next: {
              writeRps: s.facts.state.next.write_rps ?? s.facts.state.write_rps,
              valueKb: s.facts.state.next.value_kb ?? s.facts.state.value_kb,
              txnOps: s.facts.state.next.txn_ops ?? s.facts.state.txn_ops,
            },
          }
        : {}),
    },
    cloudLimits: { rps: s.facts.cloud.rps, listLagMs: s.facts.cloud.list_lag_s * 1000 },
    maxConnections: s.facts.machine_limits.max_connections ?? 800,
  };
}

/** Loads settings from a file; throws a SettingsError if it can't be read or is invalid. */
export function loadSettings(path: string): Settings {
  let toml: string;
  try {
    toml = readFileSync(path, 'utf8');
  } catch {
    throw new SettingsError(`cannot read settings file ${path}`);
  }
  return parseSettings(toml);
}
