import { ROLLOUT_STATE, type Mirror } from '../state/index.js';
import { decodeState, type RolloutState, NO_STATE } from './record.js';

/**
 * What this process does about features. It takes a switch over when its mirror shows it: others may have done so
 * before, and some may not have yet, which every feature has to bear.
 */
export class Switches {
  private decoded: { readonly value: unknown; readonly state: RolloutState } = { value: undefined, state: NO_STATE };

  constructor(
    private readonly mirror: Mirror,
    private readonly features: ReadonlySet<string>,
  ) {}

  /** Asked in every round: decoded once for each stored value. */
  get state(): RolloutState {
    const value = this.mirror.get(ROLLOUT_STATE)?.value;
    if (value !== this.decoded.value) {
      // One that can't be read changes nothing: what was known of it last goes on.
      this.decoded = { value, state: decodeState(value) ?? this.decoded.state };
    }
    return this.decoded.state;
  }

  /** Is it on, and does this program have it? */
  on(feature: string): boolean {
    return this.features.has(feature) && this.state.features.get(feature)?.state === 'on';
  }
}
