import { asList, asString, isObject, wallMillis, type WallMillis } from '../kernel/index.js';
import { isForeign, unknownFields, type Fields } from '../state/index.js';

/** The newest version of the rollout's two records that this program reads. */
export const ROLLOUT_FORMAT = 1;

/** `returning`: no more used, while what it has stored is put back into the form from before it. */
export type FeatureState = 'off' | 'on' | 'returning';
const STATES: readonly FeatureState[] = ['off', 'on', 'returning'];

export interface StoredFeature {
  readonly state: FeatureState;
  /** When it came to be so. */
  readonly since: WallMillis;
  /** Why. */
  readonly why: string;
  /** It was switched off because controllers began to end: it stays off until an operator allows it after that. */
  readonly stopped: boolean;
  /** The way back is closed. */
  readonly finished: boolean;
  /** As it stands in the store, until this program changes it: a later release may say more of it. */
  readonly stored?: Fields | undefined;
}

/** Which features are on. Changed by the leader alone. */
export interface RolloutState {
  readonly features: ReadonlyMap<string, StoredFeature>;
  readonly rest: Fields;
}

export type FeatureWish = 'hold' | 'allow' | 'back';
export const FEATURE_WISHES: readonly FeatureWish[] = ['hold', 'allow', 'back'];

export interface StoredWish {
  readonly wish: FeatureWish;
  readonly at: WallMillis;
}

/** What operators want of the rollout. */
export interface RolloutWishes {
  /** Nothing goes on by itself. */
  readonly paused: boolean;
  readonly features: ReadonlyMap<string, StoredWish>;
  /** Features that are on and whose way back is to be closed. */
  readonly finish: readonly string[];
  readonly rest: Fields;
}

export const NO_STATE: RolloutState = { features: new Map(), rest: {} };
export const NO_WISHES: RolloutWishes = { paused: false, features: new Map(), finish: [], rest: {} };

const KNOWN_STATE: ReadonlySet<string> = new Set(['features']);
const KNOWN_WISHES: ReadonlySet<string> = new Set(['paused', 'features', 'finish']);

const entriesOf = (value: unknown): [string, Fields][] =>
  isObject(value) ? Object.entries(value).filter((entry): entry is [string, Fields] => isObject(entry[1])) : [];
const timeOf = (value: unknown): WallMillis => wallMillis(typeof value === 'number' ? value : 0);

/** null: of a version that this program can't read; absent is an empty one. */
export function decodeState(value: unknown): RolloutState | null {
  if (value === undefined || value === null) return NO_STATE;
  if (!isObject(value) || isForeign(value, ROLLOUT_FORMAT)) return null;
  const features = new Map<string, StoredFeature>();
  for (const [name, stored] of entriesOf(value['features'])) {
    features.set(name, {
      // A state of a later release: whatever it is, this program must not act on the feature.
      state: STATES.find((state) => state === stored['state']) ?? 'off',
      since: timeOf(stored['since']),
      why: asString(stored['why']) ?? '',
      stopped: stored['stopped'] === true,
      finished: stored['finished'] === true,
      stored,
    });
  }
  return { features, rest: unknownFields(value, KNOWN_STATE) };
}

export const encodeState = (state: RolloutState): Fields => ({
  ...state.rest,
  features: Object.fromEntries([...state.features].map(([name, feature]) => [name, feature.stored ?? feature])),
});

/** null: of a version that this program can't read. */
export function decodeWishes(value: unknown): RolloutWishes | null {
  if (value === undefined || value === null) return NO_WISHES;
  if (!isObject(value) || isForeign(value, ROLLOUT_FORMAT)) return null;
  const features = new Map<string, StoredWish>();
  for (const [name, stored] of entriesOf(value['features'])) {
    const wish = FEATURE_WISHES.find((known) => known === stored['wish']);
    if (wish) features.set(name, { wish, at: timeOf(stored['at']) });
  }
  return {
    paused: value['paused'] === true,
    features,
    finish: asList(value['finish']).filter((name) => typeof name === 'string'),
    rest: unknownFields(value, KNOWN_WISHES),
  };
}

export const encodeWishes = (wishes: RolloutWishes): Fields => ({
  ...wishes.rest,
  paused: wishes.paused,
  features: Object.fromEntries(wishes.features),
  finish: wishes.finish,
});
