import { ROLLOUT_STATE_KEY, type Mirror } from '../state/index.js';
import { decodeRolloutState, type RolloutState, EMPTY_ROLLOUT_STATE } from './rollout-records.js';

/**
 * The feature gates of this process, read from the stored rollout state. A change takes effect when this node's mirror
 * shows it. Other controllers may have seen it earlier and some may not have seen it yet, so every feature has to
 * tolerate controllers that disagree for a moment.
 */
export class FeatureGates {
  private decoded: { readonly value: unknown; readonly state: RolloutState } = {
    value: undefined,
    state: EMPTY_ROLLOUT_STATE,
  };

  constructor(
    private readonly mirror: Mirror,
    private readonly supported: ReadonlySet<string>,
  ) {}

  /** The current rollout state. It is read in every round, so each stored value is decoded only once. */
  get state(): RolloutState {
    const value = this.mirror.get(ROLLOUT_STATE_KEY)?.value;
    if (value !== this.decoded.value) {
      // A record that cannot be decoded changes nothing: the last known state stays in effect.
      this.decoded = { value, state: decodeRolloutState(value) ?? this.decoded.state };
    }
    return this.decoded.state;
  }

  /** Returns whether the feature is on and supported by this program. */
  isOn(feature: string): boolean {
    return this.supported.has(feature) && this.state.features.get(feature)?.state === 'on';
  }
}
