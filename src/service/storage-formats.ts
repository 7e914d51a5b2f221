import { dependenciesOf } from '../jobs/index.js';
import { maxBlockMachines, moveToRecordGuards, type ShardDirectory } from '../membership/index.js';
import {
  ACKNOWLEDGED_CANCELLATIONS,
  PAGED_BLOCKS,
  PIPELINES,
  QUOTA_SHARES,
  type RolloutReconciler,
  type FeatureGates,
} from '../rollout/index.js';
import type { QuotaMode } from '../quota/index.js';
import { JOBS_PREFIX, QUOTAS_PREFIX, type Mirror, type StateClient } from '../state/index.js';

/** What `StorageFormats` needs from the rest of the node. */
export interface StorageFormatsDeps {
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly directory: ShardDirectory;
  readonly featureGates: FeatureGates;
  readonly rollout: RolloutReconciler;
}

/** Selects, from the rollout state of the features, the format in which this node writes data that has two formats. */
export class StorageFormats {
  constructor(private readonly deps: StorageFormatsDeps) {}

  /**
   * Whether jobs that depend on other jobs may be stored. Such records are harmless to the other controllers, so the
   * feature counts as on as soon as all controllers support it: no user is refused while the leader's write that
   * switches it on is under way.
   */
  get pipelines(): boolean {
    return this.deps.featureGates.isOn(PIPELINES) || this.deps.rollout.isReadyToSwitchOn(PIPELINES);
  }

  /** Format in which the blocks of shards are written; `any` leaves each block in its present format. */
  get blockFormat(): 'pages' | 'record' | 'any' {
    const { mirror, state, featureGates } = this.deps;
    if (!mirror.loaded) return 'any';
    const featureState = featureGates.state.features.get(PAGED_BLOCKS)?.state;
    if (featureState === 'on') return state.limits.lowerLimitsInForce ? 'pages' : 'any';
    return featureState === 'returning' ? 'record' : 'any';
  }

  /** Whether each team's limit is kept whole, divided into shares, or being reverted from shares to whole ('returning'). */
  get quotaMode(): QuotaMode {
    const featureState = this.deps.featureGates.state.features.get(QUOTA_SHARES)?.state;
    if (featureState === 'on') return 'shared';
    return featureState === 'returning' ? 'returning' : 'whole';
  }

  /**
   * Whether shard records are to be sealed against releases without quota shares; null leaves them as they are. Records
   * are unsealed once no share is stored any more. No new share can be stored after that, because every write of a
   * share is guarded by the stored state of the feature.
   */
  get sealRecords(): boolean | null {
    const { mirror } = this.deps;
    if (!mirror.loaded) return null;
    if (this.quotaMode === 'shared') return true;
    return this.quotaMode === 'returning' && [...mirror.entriesIn(QUOTAS_PREFIX)].length === 0 ? false : null;
  }

  /** Number of records that still have to be converted back for a feature; negative if that is no longer possible. */
  remainingRecords(feature: string): number {
    const { mirror, state, directory } = this.deps;
    let remaining = 0;
    // The feature stores no record in a different format.
    if (feature === ACKNOWLEDGED_CANCELLATIONS) return remaining;
    if (feature === PIPELINES) {
      for (const { value } of mirror.entriesIn(JOBS_PREFIX)) if (dependenciesOf(value).length > 0) remaining += 1;
      return remaining;
    }
    if (feature === QUOTA_SHARES) {
      for (const { value } of directory.all.values()) if (value.sealed === true) remaining += 1;
      return remaining + [...mirror.entriesIn(QUOTAS_PREFIX)].length;
    }
    const { limits } = state;
    for (const [shard, known] of directory.all) {
      const { value } = known;
      if (value.epoch === null) continue;
      const fitsInRecord = value.machines.length <= maxBlockMachines(limits.currentMaxValueKb);
      if (!fitsInRecord || moveToRecordGuards(shard, known).length > limits.maxGuards) return -1;
      remaining += 1;
    }
    return remaining;
  }
}
