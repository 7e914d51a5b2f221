import { asArray, asString, isObject, wallMillis, type WallMillis } from '../kernel/index.js';
import { isNewerFormat, unknownFields, type RecordFields } from '../state/index.js';

/** The newest format version of the two rollout records (the state and the requests) that this program reads. */
export const ROLLOUT_FORMAT = 1;

/**
 * `off`: not in use. `on`: in use. `returning`: being reverted; no longer in use, while the records that it wrote are converted back to
 * the format from before it.
 */
export type FeatureState = 'off' | 'on' | 'returning';
const FEATURE_STATES: readonly FeatureState[] = ['off', 'on', 'returning'];

/** The state of one feature as it is stored in the rollout state. */
export interface StoredFeature {
  readonly state: FeatureState;
  /** When the feature entered this state. */
  readonly since: WallMillis;
  /** Why the feature entered this state, for operators. */
  readonly why: string;
  /**
   * True when the feature was reverted automatically because controllers exited too often. It stays off until an
   * operator allows it after that moment.
   */
  readonly stopped: boolean;
  /** True when an operator has made the feature permanent: it can no longer be reverted. */
  readonly finished: boolean;
  /**
   * The stored fields as they were read, until this program changes the feature. They are written back unchanged,
   * because a later release may have stored fields that this program does not know.
   */
  readonly stored?: RecordFields | undefined;
}

/** The state of each feature. Only the leader writes it. */
export interface RolloutState {
  readonly features: ReadonlyMap<string, StoredFeature>;
  /** Fields of the record that this program does not know; written back unchanged. */
  readonly rest: RecordFields;
}

/**
 * An operator's request about one feature. `hold`: do not switch it on. `allow`: switch it on, also after an automatic
 * revert or when it requires approval. `back`: revert it and keep it off.
 */
export type FeatureRequest = 'hold' | 'allow' | 'back';
/** All values of `FeatureRequest`, as the admin API accepts them. */
export const FEATURE_REQUESTS: readonly FeatureRequest[] = ['hold', 'allow', 'back'];

/** An operator's request about one feature, as stored. */
export interface StoredRequest {
  readonly wish: FeatureRequest;
  /** When the operator made the request. */
  readonly at: WallMillis;
}

/** The operators' requests about the rollout. */
export interface OperatorRequests {
  /** True when no feature may be switched on automatically. */
  readonly paused: boolean;
  readonly features: ReadonlyMap<string, StoredRequest>;
  /** Features to be made permanent once they are on: they can then no longer be reverted. */
  readonly finish: readonly string[];
  /** Fields of the record that this program does not know; written back unchanged. */
  readonly rest: RecordFields;
}

/** The rollout state when no record is stored. */
export const EMPTY_ROLLOUT_STATE: RolloutState = { features: new Map(), rest: {} };
/** The operators' requests when no record is stored. */
export const NO_OPERATOR_REQUESTS: OperatorRequests = { paused: false, features: new Map(), finish: [], rest: {} };

const KNOWN_STATE_FIELDS: ReadonlySet<string> = new Set(['features']);
const KNOWN_REQUEST_FIELDS: ReadonlySet<string> = new Set(['paused', 'features', 'finish']);

const objectEntries = (value: unknown): [string, RecordFields][] =>
  isObject(value) ? Object.entries(value).filter((entry): entry is [string, RecordFields] => isObject(entry[1])) : [];
const wallTimeOrZero = (value: unknown): WallMillis => wallMillis(typeof value === 'number' ? value : 0);

/**
 * Decodes the rollout state; null when its format version is newer than this program reads. An absent record is empty.
 */
export function decodeRolloutState(value: unknown): RolloutState | null {
  if (value === undefined || value === null) return EMPTY_ROLLOUT_STATE;
  if (!isObject(value) || isNewerFormat(value, ROLLOUT_FORMAT)) return null;
  const features = new Map<string, StoredFeature>();
  for (const [name, stored] of objectEntries(value['features'])) {
    features.set(name, {
      // A later release may have stored a state that is unknown here. This program must then not use the feature.
      state: FEATURE_STATES.find((state) => state === stored['state']) ?? 'off',
      since: wallTimeOrZero(stored['since']),
      why: asString(stored['why']) ?? '',
      stopped: stored['stopped'] === true,
      finished: stored['finished'] === true,
      stored,
    });
  }
  return { features, rest: unknownFields(value, KNOWN_STATE_FIELDS) };
}

/** Encodes the rollout state. Features that this program has not changed keep their stored fields. */
export const encodeRolloutState = (state: RolloutState): RecordFields => ({
  ...state.rest,
  features: Object.fromEntries([...state.features].map(([name, feature]) => [name, feature.stored ?? feature])),
});

/** Decodes the operators' requests; null when their format version is newer than this program reads. */
export function decodeOperatorRequests(value: unknown): OperatorRequests | null {
  if (value === undefined || value === null) return NO_OPERATOR_REQUESTS;
  if (!isObject(value) || isNewerFormat(value, ROLLOUT_FORMAT)) return null;
  const features = new Map<string, StoredRequest>();
  for (const [name, stored] of objectEntries(value['features'])) {
    const request = FEATURE_REQUESTS.find((known) => known === stored['wish']);
    if (request) features.set(name, { wish: request, at: wallTimeOrZero(stored['at']) });
  }
  return {
    paused: value['paused'] === true,
    features,
    finish: asArray(value['finish']).filter((name) => typeof name === 'string'),
    rest: unknownFields(value, KNOWN_REQUEST_FIELDS),
  };
}

/** Encodes the operators' requests. */
export const encodeOperatorRequests = (requests: OperatorRequests): RecordFields => ({
  ...requests.rest,
  paused: requests.paused,
  features: Object.fromEntries(requests.features),
  finish: requests.finish,
});
