import type { MachineType } from '../cloud/index.js';
import type { HolderMode } from '../cancellation/index.js';
import type { Settings } from '../config/index.js';
import type { JobRegistry, JobSpec } from '../jobs/index.js';
import type { InheritedConstraints } from '../pipelines/index.js';
import type {
  Incarnation,
  JobId,
  Logger,
  MachineId,
  Millis,
  NodeName,
  Runtime,
  ShardName,
  SocketBudget,
  WallMillis,
} from '../kernel/index.js';
import type { ShardDirectory } from '../membership/index.js';
import type { Tunables } from '../speculation/index.js';
import type { Amount } from '../quota/index.js';
import type { Mirror, StateClient } from '../state/index.js';
import type { Trail } from '../trail/index.js';

/** Settings that operators change at run time: straggler tunables, cordoned machines and drained machines. */
export interface OperatorSettingsView {
  readonly tunables: Tunables;
  readonly cordoned: ReadonlySet<string>;
  readonly drained: ReadonlySet<string>;
}

/** What a job needs of another shard. */
export interface WantedCapacity {
  /** Number of tasks that have to fit now. */
  readonly count: number;
  /** Whether a machine on probation will do. */
  readonly mayTry: boolean;
  /** Machines that don't count. */
  readonly avoid: ReadonlySet<MachineId>;
}

/** What a shard's holder needs from the rest of the controller. */
export interface HolderDeps {
  readonly self: NodeName;
  readonly incarnation: Incarnation;
  readonly settings: Settings;
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly directory: ShardDirectory;
  readonly registry: JobRegistry;
  readonly runtime: Runtime;
  /** Limits the connections to workers, over all shards of this node. */
  readonly sockets: SocketBudget;
  readonly log: Logger;
  /** Event trail for recorders; null when events are not recorded. */
  readonly trail: Trail | null;
  /** Known machine types, by name. */
  types(): ReadonlyMap<string, MachineType>;
  /** Current operator settings. */
  operatorSettings(): OperatorSettingsView;
  /** Latest time for which it is proven that no other node can have claimed this node's shards. */
  ownershipProvenAt(): Millis;
  /**
   * True while no other node can have claimed this node's shards, not even by a claim that the watch has yet to show.
   */
  leaseValid(): boolean;
  /** State of jobs that depend on other jobs. */
  readonly pipelines: Pipelines;
  /** Division of team limits between shards. */
  readonly quotas: Quotas;
  /** Whether the progress of all of a shard's jobs is stored in a single record. */
  groupsProgress(): boolean;
  /**
   * What this node may still do as a holder: everything, only answer reports, or nothing. It depends on how long ago
   * its lease or a majority of controllers last confirmed that no other node holds its shards.
   */
  holderMode(): HolderMode;
  /** How long the reports of a worker that still lists tasks of ended jobs are answered, in milliseconds. */
  readonly leftoverMs: number;
  /** Requests a reconcile round of the held shards soon. */
  requestRound(): void;
  /** Records that a worker has answered, which shows that this node reaches workers. */
  recordWorkerContact(): void;
  /** Numbers of running and done tasks of a job in any shard, as far as this node knows. */
  progressOf(id: JobId): { readonly running: number; readonly done: number };
  /** Finds another shard that has the wanted capacity for the job now; null when there is none. */
  findShardWithCapacity(from: ShardName, spec: JobSpec, wanted: WantedCapacity): ShardName | null;
}

/** Dependencies between jobs, as the holder needs them. */
export interface Pipelines {
  /** Whether all jobs that this one depends on are stored as done. */
  isReady(id: JobId): boolean;
  /** When the last dependency was done; null when unknown. */
  readyAt(id: JobId): WallMillis | null;
  /** Priority and due time that the job inherits from its dependents; null when it has none. */
  inherited(id: JobId): InheritedConstraints | null;
}

/** Division of team limits between shards, as the holder needs it. */
export interface Quotas {
  /** The part of a team's limit that a shard may use now; null when the team has no limit. */
  capOf(team: string, shard: ShardName): Amount | null;
  /** What all shards together leave unused of a team's limit while limits are shared; null when they are not. */
  remainingOf(team: string): Amount | null;
  /** The shard that is assigned a team's whole limit while limits are not shared. */
  accountShardOf(team: string): ShardName | null;
  /** Whether the shares are being returned, so that each team has one shard with its whole limit again. */
  isReturning(): boolean;
  /** Reports that work of a team with a limit waits for a larger share. */
  reportWaitingWork(): void;
}

/** HTTP response to a worker's report. */
export interface ReportReply {
  readonly status: number;
  readonly body: unknown;
}
