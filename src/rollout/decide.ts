import type { Incarnation, Millis, NodeName, WallMillis } from '../kernel/index.js';
import type { Announcement, Feature } from './release.js';
import type { FeatureState, RolloutState, RolloutWishes, StoredFeature } from './record.js';

/** After a switch, controllers that end are counted for so long. */
export const PROBATION_MS = 60_000;

/** A configured controller, alive or not. */
export interface RolloutNode {
  readonly node: NodeName;
  /** What its key says; null: it has none now. */
  readonly announced: Announcement | null;
}

/** What the leader keeps in mind between two looks. */
export interface Watchfulness {
  /** Since when all configured controllers are there and none has been replaced; null: they are not. */
  readonly wellSince: Millis | null;
  /** Which lives were seen last. */
  readonly lives: ReadonlyMap<NodeName, Incarnation>;
  /** When controllers were seen to have ended, the latest last. */
  readonly ends: readonly Millis[];
}

export const UNWATCHED: Watchfulness = { wellSince: null, lives: new Map(), ends: [] };

/** One look at the controllers. Pure; `now` is steady time. */
export function watch(before: Watchfulness, nodes: readonly RolloutNode[], now: Millis): Watchfulness {
  const lives = new Map<NodeName, Incarnation>();
  let [whole, ended] = [true, 0];
  for (const { node, announced } of nodes) {
    const last = before.lives.get(node);
    if (announced) lives.set(node, announced.incarnation);
    else whole = false;
    if (last !== undefined && announced?.incarnation !== last) ended += 1;
  }
  const changed = ended > 0 || lives.size !== before.lives.size;
  const ends = [...before.ends.filter((at) => now - at < PROBATION_MS), ...Array<Millis>(ended).fill(now)];
  return { wellSince: !whole ? null : changed ? now : (before.wellSince ?? now), lives, ends };
}

export interface RolloutSnapshot {
  readonly now: Millis;
  readonly wall: WallMillis;
  /** Of the program that leads. Those of other programs are left as they are. */
  readonly features: readonly Feature[];
  readonly state: RolloutState;
  readonly wishes: RolloutWishes;
  readonly nodes: readonly RolloutNode[];
  readonly watched: Watchfulness;
  /** How much a feature has stored that has yet to be put back; below 0: it can't be put back any more. */
  leftOf(feature: string): number;
}

export interface RolloutDecision {
  /** What to store instead; null: nothing changes. */
  readonly next: RolloutState | null;
  /** The feature that changes, and why; for the log. */
  readonly changed: { readonly feature: string; readonly to: FeatureState; readonly why: string } | null;
  /** For each feature that isn't where it will be: what it waits for. */
  readonly waits: ReadonlyMap<string, string>;
}

const OFF: StoredFeature = { state: 'off', since: 0 as WallMillis, why: 'never on', stopped: false, finished: false };

/**
 * What the leader does next about features, at most one change at a time. Pure. The write that follows has to be
 * guarded by the leader's key, by the key of every node in `nodes`, and by both of the rollout's records: then all
 * that is said here of the controllers still holds in the moment in which it is stored.
 */
export function decideRollout(at: RolloutSnapshot): RolloutDecision {
  const waits = new Map<string, string>();
  const stored = (name: string): StoredFeature => at.state.features.get(name) ?? OFF;
  for (const feature of at.features) {
    const now = stored(feature.name);
    const found = nextOf(feature, now, at, stored);
    if (typeof found === 'string') {
      if (found !== '') waits.set(feature.name, found);
      continue;
    }
    const features = new Map(at.state.features).set(feature.name, {
      ...now,
      since: at.wall,
      ...found,
      stored: undefined,
    });
    const { state: to, why } = found;
    return { next: { ...at.state, features }, changed: { feature: feature.name, to, why }, waits };
  }
  return { next: null, changed: null, waits };
}

/** Why not every controller has a feature at this moment; null: every one has it. */
function lacking({ nodes }: RolloutSnapshot, name: string): string | null {
  const absent = nodes.filter(({ announced }) => announced === null);
  if (absent.length > 0) return `not there: ${absent.map(({ node }) => node).join(', ')}`;
  const without = nodes.filter(({ announced }) => !announced?.features.includes(name));
  return without.length > 0 ? `lacked by ${without.map(({ node }) => node).join(', ')}` : null;
}

type Change = Pick<StoredFeature, 'state' | 'why'> & Partial<StoredFeature>;

/** A change, or what is waited for; an empty text: nothing. */
function nextOf(
  feature: Feature,
  now: StoredFeature,
  at: RolloutSnapshot,
  stored: (name: string) => StoredFeature,
): Change | string {
  const { name, needs } = feature;
  const wish = at.wishes.features.get(name);
  switch (now.state) {
    case 'returning': {
      const left = at.leftOf(name);
      // What can't be put back is used as it is: it goes on again once all have it.
      if (left < 0) return lacking(at, name) === null ? { state: 'on', why: 'it cannot go back' } : 'it cannot go back';
      return left > 0
        ? `${left} records to be put back`
        : { state: 'off', why: now.why, stopped: now.stopped, finished: false };
    }
    case 'on': {
      if (now.finished) return '';
      const later = at.features.find((other) => other.needs.includes(name) && stored(other.name).state !== 'off');
      if (wish?.wish === 'back')
        return later
          ? `${later.name} needs it and goes back first`
          : { state: 'returning', why: 'an operator wants it back' };
      // More than one end for each controller within a minute: whatever ends them, this was the last thing that changed.
      // Only those since: a crash of all just before had nothing to do with it.
      const onForMs = at.wall - now.since;
      const ends = onForMs < PROBATION_MS ? at.watched.ends.filter((end) => at.now - end < onForMs).length : 0;
      if (ends > at.nodes.length && !later && feature.wellForMs > 0)
        return { state: 'returning', why: `${ends} ends of controllers after it went on`, stopped: true };
      if (at.wishes.finish.includes(name))
        return { ...now, why: 'an operator has closed the way back', finished: true };
      return '';
    }
    case 'off': {
      if (wish?.wish === 'hold' || wish?.wish === 'back') return 'an operator holds it';
      if (feature.byOperator === true && wish?.wish !== 'allow') return 'an operator has to allow it';
      if (at.wishes.paused) return 'the rollout is paused';
      if (now.stopped && !(wish && wish.at > now.since)) return `stopped: ${now.why}; an operator may allow it`;
      const need = needs.find((other) => stored(other).state !== 'on');
      if (need !== undefined) return `${need} is not on`;
      const lacked = lacking(at, name);
      if (lacked !== null) return lacked;
      const since = at.watched.wellSince;
      if (since === null || at.now - since < feature.wellForMs)
        return 'all controllers have it, and not for long enough';
      return { state: 'on', why: 'every controller has it', stopped: false };
    }
  }
}
