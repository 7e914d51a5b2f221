import type { CloudClient, MachineType } from '../cloud/index.js';
import type { JobSpec } from '../jobs/index.js';
import type { Clock } from '../kernel/index.js';
import {
  MACHINE_TYPES_KEY,
  Urgency,
  storedSizeBytes,
  type Change,
  type Mirror,
  type StateClient,
} from '../state/index.js';

/** Interval at which the leader asks the cloud for the machine types. */
const REFRESH_INTERVAL_MS = 30_000;

/** What `MachineTypeCache` needs from the rest of the node. */
export interface MachineTypeCacheDeps {
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly cloud: CloudClient;
  readonly clock: Clock;
  /** Whether this node leads. */
  isLeading(): boolean;
  /** Called after the machine types have been set. */
  onTypesChanged(): void;
}

/**
 * The machine types that the cloud offers. The first node that fetches them stores them in the state service, so that
 * other nodes can start without the cloud.
 */
export class MachineTypeCache {
  private types = new Map<string, MachineType>();
  private lastFetchedAt = 0;

  constructor(private readonly deps: MachineTypeCacheDeps) {}

  /** The known machine types by name; empty until they are known. */
  get all(): ReadonlyMap<string, MachineType> {
    return this.types;
  }

  /** The machine types, or null while they are not known. */
  get list(): readonly MachineType[] | null {
    return this.types.size > 0 ? [...this.types.values()] : null;
  }

  /** Estimated seconds to fetch the job's image, at the speed of the fastest machine type. */
  imageFetchS({ imageGb }: JobSpec): number {
    let fastestGbPerS = 0;
    for (const { fetchGbPerS } of this.types.values()) fastestGbPerS = Math.max(fastestGbPerS, fetchGbPerS);
    return fastestGbPerS > 0 ? imageGb / fastestGbPerS : 0;
  }

  /** Handles a change of the stored machine types. */
  onChange({ value }: Change): void {
    if (Array.isArray(value)) this.setTypes(value as MachineType[]);
  }

  private setTypes(types: readonly MachineType[]): void {
    this.types = new Map(types.map((t) => [t.name, t]));
    this.deps.onTypesChanged();
  }

  /** One round: fetches the machine types if they are unknown, or if this node leads and the interval is over. */
  async refresh(): Promise<void> {
    const { state, mirror, cloud, clock } = this.deps;
    const now = clock.now();
    if (this.types.size > 0 && (!this.deps.isLeading() || now - this.lastFetchedAt < REFRESH_INTERVAL_MS)) return;
    if (!mirror.loaded || (this.types.size > 0 && !cloud.canCall())) return;
    const types = await cloud.types();
    if (!types) return;
    this.lastFetchedAt = now;
    this.setTypes(types);
    const stored = mirror.get(MACHINE_TYPES_KEY);
    // A list that is too large for one value is not stored; the other nodes then ask the cloud themselves.
    if (JSON.stringify(stored?.value) === JSON.stringify(types) || storedSizeBytes(types) > state.limits.maxValueBytes)
      return;
    await state.txn(
      Urgency.progress,
      [{ key: MACHINE_TYPES_KEY, version: stored?.version ?? 0 }],
      [{ put: MACHINE_TYPES_KEY, value: types }],
    );
  }
}
