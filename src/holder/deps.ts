import type { MachineType } from '../cloud/index.js';
import type { Standing } from '../carry/index.js';
import type { Settings } from '../config/index.js';
import type { JobRegistry, JobSpec } from '../jobs/index.js';
import type { Inherited } from '../pipelines/index.js';
import type {
  Incarnation,
  JobId,
  Logger,
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

export interface OperatorView {
  readonly tunables: Tunables;
  readonly cordoned: ReadonlySet<string>;
  readonly drained: ReadonlySet<string>;
}

export interface HolderDeps {
  readonly self: NodeName;
  readonly incarnation: Incarnation;
  readonly settings: Settings;
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly directory: ShardDirectory;
  readonly registry: JobRegistry;
  readonly runtime: Runtime;
  /** Connections to workers, of all shards together. */
  readonly sockets: SocketBudget;
  readonly log: Logger;
  /** What happens here is told to those who record it; null: nobody does. */
  readonly trail: Trail | null;
  types(): ReadonlyMap<string, MachineType>;
  operator(): OperatorView;
  /** Until when at least nobody else can have taken our shards over. */
  heldUntil(): Millis;
  /** True while nobody else can have claimed our shards, whatever the watch has not shown yet. */
  certain(): boolean;
  /** What is known of jobs that await others. */
  readonly pipelines: Pipelines;
  /** How the limits of teams are divided between shards. */
  readonly quotas: Quotas;
  /** Progress of a shard's jobs is stored in one record for all of them. */
  grouped(): boolean;
  /** What this node may still do as a holder, by who reassures it. */
  standing(): Standing;
  /** How long a worker is answered that still lists tasks of jobs that are over, in milliseconds. */
  readonly leftoverMs: number;
  /** Something is to be done soon. */
  nudge(): void;
  /** A worker has answered. */
  heard(): void;
  /** Another shard that has room for this job now. */
  roomElsewhere(from: ShardName, spec: JobSpec, count: number): ShardName | null;
}

export interface Pipelines {
  /** All that the job needs is stored as done. */
  isReady(id: JobId): boolean;
  /** When that came to be; null: not known. */
  readyAt(id: JobId): WallMillis | null;
  /** What it takes over from those that need it; null: no job does. */
  inherited(id: JobId): Inherited | null;
}

export interface Quotas {
  /** Up to where a shard may use a team's limit now; null: the team has none. */
  capOf(team: string, shard: ShardName): Amount | null;
  /** What all shards together leave of a team's limit, while it is shared; null: it isn't. */
  leftOf(team: string): Amount | null;
  /** The shard that has a team's whole limit while it isn't shared. */
  account(team: string): ShardName | null;
  /** What is shared is being put back. */
  isReturning(): boolean;
  /** Work of a limited team waits. */
  wanted(): void;
}

export interface ReportReply {
  readonly status: number;
  readonly body: unknown;
}
