import type { Logger, Millis, NodeName, Revision, Runtime } from '../kernel/index.js';
import {
  LEADER_KEY,
  nodeKey,
  PROGRESS_PREFIX,
  ROLLOUT_STATE_KEY,
  ROLLOUT_WISHES_KEY,
  Urgency,
  type Guard,
  type Mirror,
  type StateClient,
} from '../state/index.js';
import {
  decideRollout,
  NO_OBSERVATIONS,
  observeNodes,
  type RolloutDecision,
  type RolloutNode,
  type NodeObservations,
} from './decide.js';
import {
  decodeRolloutState,
  decodeOperatorRequests,
  encodeRolloutState,
  encodeOperatorRequests,
  NO_OPERATOR_REQUESTS,
  type RolloutState,
  type OperatorRequests,
} from './rollout-records.js';
import { decodeAnnouncement, GROUPED_PROGRESS, RELEASE_NUMBER, type Feature } from './release.js';

/** What the rollout reconciler depends on. */
export interface RolloutReconcilerDeps {
  /** All configured controllers, including this one: a feature waits for those that are down, too. */
  readonly nodes: readonly NodeName[];
  /** The features that this program supports. */
  readonly features: readonly Feature[];
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly runtime: Runtime;
  readonly log: Logger;
  /** The version of the leader key while this node is the leader; null otherwise. */
  leaderTerm(): Revision | null;
  /**
   * Returns how many records of a feature other than grouped progress are still to be reverted; negative when they can
   * no longer be reverted.
   */
  recordsToRevert(feature: string): number;
}

/** The outcome of storing an operator's request. */
export type RequestUpdateResult =
  | { readonly kind: 'ok'; readonly requests: OperatorRequests }
  /** The stored record was written by a later release and is left unchanged. */
  | { readonly kind: 'foreign' }
  /** The request was not stored: the state service refused the write or did not answer, or every attempt failed. */
  | { readonly kind: 'unavailable' };

/** Observes the controllers, and switches features on and off while this node is the leader. */
export class RolloutReconciler {
  private nodeObservations: NodeObservations = NO_OBSERVATIONS;
  private decision: RolloutDecision = { next: null, changed: null, waits: new Map() };
  private newerRecordLogged = false;
  private loggedMissing = '';

  constructor(private readonly deps: RolloutReconcilerDeps) {}

  /** All configured controllers with what their keys announce and the versions of those keys. */
  get nodes(): (RolloutNode & { readonly version: number })[] {
    return this.deps.nodes.map((node) => {
      const entry = this.deps.mirror.get(nodeKey(node));
      return { node, announced: entry ? decodeAnnouncement(entry.value) : null, version: entry?.version ?? 0 };
    });
  }

  /** What this node has observed of the controllers; its times are on the clock of `now`. */
  get observations(): NodeObservations {
    return this.nodeObservations;
  }

  /** True when operators have paused the rollout. */
  get paused(): boolean {
    return decodeOperatorRequests(this.deps.mirror.get(ROLLOUT_WISHES_KEY)?.value)?.paused ?? false;
  }

  /** For each feature that has not reached its target state: what it waits for, as this node sees it. */
  get waits(): ReadonlyMap<string, string> {
    return this.decision.waits;
  }

  /**
   * Runs one reconcile round. Every node observes the controllers, so that a new leader does not have to start from
   * nothing; only the leader stores a change.
   */
  async reconcile(): Promise<void> {
    const { mirror, runtime, features } = this.deps;
    if (!mirror.loaded) return;
    const { nodes } = this;
    this.nodeObservations = observeNodes(this.nodeObservations, nodes, runtime.now());
    const storedState = mirror.get(ROLLOUT_STATE_KEY);
    const storedRequests = mirror.get(ROLLOUT_WISHES_KEY);
    const state = decodeRolloutState(storedState?.value);
    const requests = decodeOperatorRequests(storedRequests?.value);
    if (!state || !requests) {
      if (!this.newerRecordLogged)
        this.deps.log.error('the rollout record was written by a later release: it is left unchanged');
      this.newerRecordLogged = true;
      return;
    }
    this.newerRecordLogged = false;
    this.warnAboutMissingFeatures(state);
    this.decision = decideRollout({
      ...{ now: runtime.now(), wall: runtime.wall(), features, state, requests, nodes },
      observations: this.nodeObservations,
      recordsToRevert: (feature) => this.recordsToRevert(feature),
    });
    const term = this.deps.leaderTerm();
    const { next, changed } = this.decision;
    if (term === null || !next || !changed) return;
    // Everything that the decision read must still be current when the change is stored. Otherwise a controller of an
    // older release that has registered in the meantime would be overlooked.
    const guards: Guard[] = [
      { key: LEADER_KEY, version: term },
      { key: ROLLOUT_STATE_KEY, version: storedState?.version ?? 0 },
      { key: ROLLOUT_WISHES_KEY, version: storedRequests?.version ?? 0 },
      ...nodes.map(({ node, version }) => ({ key: nodeKey(node), version })),
    ];
    const value = encodeRolloutState(next);
    const result = await this.deps.state.txn(Urgency.shard, guards, [{ put: ROLLOUT_STATE_KEY, value }]);
    if (result.kind !== 'ok') return;
    mirror.apply({ key: ROLLOUT_STATE_KEY, value, removed: false, version: result.revision });
    this.deps.log.info(changed, 'a feature of the rollout is switched');
  }

  /**
   * Logs which features are in use that this program lacks because it is older than the others. Logs once for each set
   * of such features.
   */
  private warnAboutMissingFeatures({ features }: RolloutState): void {
    const supported = new Set(this.deps.features.map(({ name }) => name));
    const missing = [...features]
      .filter(([name, { state }]) => state !== 'off' && !supported.has(name))
      .map(([name]) => name);
    const text = missing.join(' ');
    if (text !== this.loggedMissing && text !== '')
      this.deps.log.warn({ features: missing, release: RELEASE_NUMBER }, 'features are on that this release lacks');
    this.loggedMissing = text;
  }

  /**
   * Returns whether only the leader's write is missing before a feature is on: it is off, every controller supports it
   * and no operator's request or automatic revert keeps it off.
   */
  isReadyToSwitchOn(feature: string): boolean {
    const { mirror } = this.deps;
    const state = decodeRolloutState(mirror.get(ROLLOUT_STATE_KEY)?.value)?.features.get(feature);
    const requests = decodeOperatorRequests(mirror.get(ROLLOUT_WISHES_KEY)?.value);
    if (!requests || requests.paused || requests.features.get(feature)?.wish !== undefined) return false;
    if ((state?.state ?? 'off') !== 'off' || state?.stopped === true) return false;
    return this.nodes.every(({ announced }) => announced?.features.includes(feature) === true);
  }

  /** Returns how many records of a feature would have to be reverted; negative when they can no longer be reverted. */
  recordsToRevert(feature: string): number {
    return feature === GROUPED_PROGRESS
      ? [...this.deps.mirror.entriesIn(PROGRESS_PREFIX)].length
      : this.deps.recordsToRevert(feature);
  }

  /** Applies a change to the operators' requests and stores them. Any controller may do so. */
  async updateRequests(change: (requests: OperatorRequests) => OperatorRequests): Promise<RequestUpdateResult> {
    const { state, mirror } = this.deps;
    for (let attempt = 0; attempt < 4; attempt++) {
      const read = await state.get(ROLLOUT_WISHES_KEY);
      if (read.kind === 'unavailable') break;
      const before = read.kind === 'found' ? decodeOperatorRequests(read.entry.value) : NO_OPERATOR_REQUESTS;
      if (!before) return { kind: 'foreign' };
      const next = change(before);
      const value = encodeOperatorRequests(next);
      const version = read.kind === 'found' ? read.entry.version : 0;
      const guards = [{ key: ROLLOUT_WISHES_KEY, version: version as number }];
      const result = await state.txn(Urgency.accept, guards, [{ put: ROLLOUT_WISHES_KEY, value }]);
      if (result.kind === 'ok') {
        mirror.apply({ key: ROLLOUT_WISHES_KEY, value, removed: false, version: result.revision });
        return { kind: 'ok', requests: next };
      }
      if (result.kind === 'refused') break;
    }
    return { kind: 'unavailable' };
  }

  /** Monotonic time, the clock of `observations`. */
  get now(): Millis {
    return this.deps.runtime.now();
  }
}
