import { awaitsOf } from '../jobs/index.js';
import { blockLimit, foldGuards, type ShardDirectory } from '../membership/index.js';
import {
  CARRIED_CANCELLATIONS,
  PAGED_BLOCKS,
  PIPELINES,
  QUOTA_SHARES,
  type Conductor,
  type Switches,
} from '../rollout/index.js';
import type { QuotaMode } from '../quota/index.js';
import { JOBS, QUOTAS, type Mirror, type StateClient } from '../state/index.js';

export interface FormsDeps {
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly directory: ShardDirectory;
  readonly switches: Switches;
  readonly conductor: Conductor;
}

/** In which form this node stores what has an older and a newer one. */
export class Forms {
  constructor(private readonly deps: FormsDeps) {}

  /**
   * May jobs that await others be stored? What is stored does no harm in other hands, so the feature goes on as soon as
   * all have it, and nobody is refused while the leader's write is under way.
   */
  get pipelines(): boolean {
    return this.deps.switches.on(PIPELINES) || this.deps.conductor.wouldGoOn(PIPELINES);
  }

  /** How machines of shards are to be stored; any: as they are. */
  get blocks(): 'pages' | 'record' | 'any' {
    const { mirror, state, switches } = this.deps;
    if (!mirror.loaded) return 'any';
    const stands = switches.state.features.get(PAGED_BLOCKS)?.state;
    if (stands === 'on') return state.limits.fallen ? 'pages' : 'any';
    return stands === 'returning' ? 'record' : 'any';
  }

  /** How teams' limits are kept. */
  get quotas(): QuotaMode {
    const stands = this.deps.switches.state.features.get(QUOTA_SHARES)?.state;
    if (stands === 'on') return 'shared';
    return stands === 'returning' ? 'returning' : 'whole';
  }

  /**
   * Are shards' records to be sealed against releases without quota shares? null: as they are. They are opened once no
   * share is stored any more; none can be from then on, since every write that shares is guarded by the switch.
   */
  get seal(): boolean | null {
    const { mirror } = this.deps;
    if (!mirror.loaded) return null;
    if (this.quotas === 'shared') return true;
    return this.quotas === 'returning' && [...mirror.under(QUOTAS)].length === 0 ? false : null;
  }

  /** How many records of a feature are left to be put back; below 0: it can't be done any more. */
  leftOf(feature: string): number {
    const { mirror, state, directory } = this.deps;
    let left = 0;
    // Nothing of it is stored in another form.
    if (feature === CARRIED_CANCELLATIONS) return left;
    if (feature === PIPELINES) {
      for (const { value } of mirror.under(JOBS)) if (awaitsOf(value).length > 0) left += 1;
      return left;
    }
    if (feature === QUOTA_SHARES) {
      for (const { value } of directory.all.values()) if (value.sealed === true) left += 1;
      return left + [...mirror.under(QUOTAS)].length;
    }
    const { limits } = state;
    for (const [shard, known] of directory.all) {
      const { value } = known;
      if (value.epoch === null) continue;
      const fits = value.machines.length <= blockLimit(limits.presentValueKb);
      if (!fits || foldGuards(shard, known).length > limits.conditions) return -1;
      left += 1;
    }
    return left;
  }
}
