import type { Incarnation, Millis, NodeName, WallMillis } from '../kernel/index.js';
import type { Announcement, Feature } from './release.js';
import type { FeatureState, RolloutState, OperatorRequests, StoredFeature } from './rollout-records.js';

/** Controller exits within this time after a feature is switched on count towards its automatic revert. */
export const AUTO_REVERT_WINDOW_MS = 60_000;

/** A configured controller, whether it is running or not. */
export interface RolloutNode {
  readonly node: NodeName;
  /** What the controller's key announces; null when the key does not exist at the moment. */
  readonly announced: Announcement | null;
}

/** What a node remembers about the controllers from one observation to the next. Kept in memory only. */
export interface NodeObservations {
  /** Since when all configured controllers have been registered without a replacement; null when one is missing. */
  readonly stableSince: Millis | null;
  /** The incarnation of each controller that was registered at the last observation. */
  readonly incarnations: ReadonlyMap<NodeName, Incarnation>;
  /** When controllers were observed to have exited, within the automatic revert window, latest last. */
  readonly exitTimes: readonly Millis[];
}

/** The observations of a node that has just started. */
export const NO_OBSERVATIONS: NodeObservations = { stableSince: null, incarnations: new Map(), exitTimes: [] };

/** Updates the observations with the current state of the controllers. Pure; `now` is monotonic time. */
export function observeNodes(before: NodeObservations, nodes: readonly RolloutNode[], now: Millis): NodeObservations {
  const incarnations = new Map<NodeName, Incarnation>();
  let [allRegistered, exits] = [true, 0];
  for (const { node, announced } of nodes) {
    const last = before.incarnations.get(node);
    if (announced) incarnations.set(node, announced.incarnation);
    else allRegistered = false;
    if (last !== undefined && announced?.incarnation !== last) exits += 1;
  }
  const changed = exits > 0 || incarnations.size !== before.incarnations.size;
  const exitTimes = [
    ...before.exitTimes.filter((at) => now - at < AUTO_REVERT_WINDOW_MS),
    ...Array<Millis>(exits).fill(now),
  ];
  return {
    stableSince: !allRegistered ? null : changed ? now : (before.stableSince ?? now),
    incarnations,
    exitTimes,
  };
}

/** Everything that the leader's decision about features depends on. */
export interface RolloutSnapshot {
  /** Monotonic time, the clock of `observations`. */
  readonly now: Millis;
  /** Wall-clock time, the clock of the stored records. */
  readonly wall: WallMillis;
  /** The features of the leader's program. Stored features that it lacks are left unchanged. */
  readonly features: readonly Feature[];
  readonly state: RolloutState;
  readonly requests: OperatorRequests;
  /** All configured controllers. */
  readonly nodes: readonly RolloutNode[];
  readonly observations: NodeObservations;
  /** Returns how many records of a feature are still to be reverted; negative when they can no longer be reverted. */
  recordsToRevert(feature: string): number;
}

/** The outcome of one decision: at most one change, and the reasons for which other features stay as they are. */
export interface RolloutDecision {
  /** The state to store; null when nothing changes. */
  readonly next: RolloutState | null;
  /** The feature that changes, its new state and the reason; these are the fields of the log record. */
  readonly changed: { readonly feature: string; readonly to: FeatureState; readonly why: string } | null;
  /** For each feature that has not reached its target state: what it waits for. */
  readonly waits: ReadonlyMap<string, string>;
}

const NEVER_ON: StoredFeature = {
  state: 'off',
  since: 0 as WallMillis,
  why: 'never on',
  stopped: false,
  finished: false,
};

/**
 * Decides what the leader changes next about the features: at most one change at a time. Pure. The write that follows
 * must be guarded by the leader's key, by the key of every node in `nodes` and by both rollout records. Everything that
 * the decision assumes about the controllers is then still true at the moment of the write.
 */
export function decideRollout(snapshot: RolloutSnapshot): RolloutDecision {
  const waits = new Map<string, string>();
  const storedFeature = (name: string): StoredFeature => snapshot.state.features.get(name) ?? NEVER_ON;
  for (const feature of snapshot.features) {
    const current = storedFeature(feature.name);
    const result = nextTransition(feature, current, snapshot, storedFeature);
    if (typeof result === 'string') {
      if (result !== '') waits.set(feature.name, result);
      continue;
    }
    const features = new Map(snapshot.state.features).set(feature.name, {
      ...current,
      since: snapshot.wall,
      ...result,
      stored: undefined,
    });
    const { state: to, why } = result;
    return { next: { ...snapshot.state, features }, changed: { feature: feature.name, to, why }, waits };
  }
  return { next: null, changed: null, waits };
}

/** Returns why not every configured controller supports a feature at this moment; null when every one does. */
function missingSupport({ nodes }: RolloutSnapshot, name: string): string | null {
  const unregistered = nodes.filter(({ announced }) => announced === null);
  if (unregistered.length > 0) return `not registered: ${unregistered.map(({ node }) => node).join(', ')}`;
  const unsupporting = nodes.filter(({ announced }) => !announced?.features.includes(name));
  return unsupporting.length > 0 ? `not supported by ${unsupporting.map(({ node }) => node).join(', ')}` : null;
}

/** The fields of a stored feature that a decision changes. */
type FeatureTransition = Pick<StoredFeature, 'state' | 'why'> & Partial<StoredFeature>;

/** Returns the next change of a feature, or what it waits for; an empty string when it waits for nothing. */
function nextTransition(
  feature: Feature,
  current: StoredFeature,
  snapshot: RolloutSnapshot,
  storedFeature: (name: string) => StoredFeature,
): FeatureTransition | string {
  const { name, needs } = feature;
  const request = snapshot.requests.features.get(name);
  switch (current.state) {
    case 'returning': {
      const remaining = snapshot.recordsToRevert(name);
      // Records that cannot be reverted have to be used as they are, so the feature is switched on again as soon as
      // every controller supports it.
      if (remaining < 0)
        return missingSupport(snapshot, name) === null
          ? { state: 'on', why: 'it cannot go back' }
          : 'its stored records can no longer be reverted';
      return remaining > 0
        ? `${remaining} records still to be reverted`
        : { state: 'off', why: current.why, stopped: current.stopped, finished: false };
    }
    case 'on': {
      if (current.finished) return '';
      const dependent = snapshot.features.find(
        (other) => other.needs.includes(name) && storedFeature(other.name).state !== 'off',
      );
      if (request?.wish === 'back')
        return dependent
          ? `${dependent.name} depends on it and has to be reverted first`
          : { state: 'returning', why: 'an operator wants it back' };
      // More exits than controllers within the window: whatever causes them, this feature is the last thing that
      // changed, so it is reverted. Only exits since the switch count, because a crash of all controllers just before
      // it had another cause.
      const onForMs = snapshot.wall - current.since;
      const exits =
        onForMs < AUTO_REVERT_WINDOW_MS
          ? snapshot.observations.exitTimes.filter((exitedAt) => snapshot.now - exitedAt < onForMs).length
          : 0;
      if (exits > snapshot.nodes.length && !dependent && feature.minStableMs > 0)
        return { state: 'returning', why: `${exits} ends of controllers after it went on`, stopped: true };
      if (snapshot.requests.finish.includes(name))
        return { ...current, why: 'an operator has closed the way back', finished: true };
      return '';
    }
    case 'off': {
      if (request?.wish === 'hold' || request?.wish === 'back') return 'held by an operator';
      if (feature.requiresApproval === true && request?.wish !== 'allow') return 'an operator has to allow it';
      if (snapshot.requests.paused) return 'the rollout is paused';
      if (current.stopped && !(request && request.at > current.since))
        return `stopped: ${current.why}; an operator has to allow it`;
      const missingFeature = needs.find((other) => storedFeature(other).state !== 'on');
      if (missingFeature !== undefined) return `requires ${missingFeature}, which is not on`;
      const unsupported = missingSupport(snapshot, name);
      if (unsupported !== null) return unsupported;
      const since = snapshot.observations.stableSince;
      if (since === null || snapshot.now - since < feature.minStableMs)
        return 'all controllers support it, but not for long enough';
      return { state: 'on', why: 'every controller has it', stopped: false };
    }
  }
}
