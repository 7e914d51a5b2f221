import { asList, asString, isObject, type Incarnation } from '../kernel/index.js';
import type { Fields } from '../state/index.js';

/**
 * What this program is, for controllers of other releases. It grows by one with every landing that changes what
 * controllers say to one another or store. 1 is what says nothing of itself: the releases before this slice.
 */
export const RELEASE = 5;

/** New behaviour that waits until every configured controller has it. */
export interface Feature {
  readonly name: string;
  /** Features that must be on before it. */
  readonly needs: readonly string[];
  /**
   * How long all controllers must have been there, unchanged, before it goes on, in milliseconds. 0 for what does no harm
   * in any hands by its own form: nothing is learned by waiting, and users or limits may not wait.
   */
  readonly wellForMs: number;
  /** It goes on only once an operator has allowed it. */
  readonly byOperator?: boolean;
}

/** Every configured controller has to have been there, unchanged, for so long before anything else goes on. */
export const WELL_FOR_MS = 20_000;

/**
 * Features of this program, in the order in which they go on. Each must be harmless in the hands of a release that
 * lacks it, for such a release can come back at any time: docs/rollout-design.md says how, one by one.
 */
export const GROUPED_PROGRESS = 'grouped-progress';
/** Jobs that await others are stored, in records that an earlier release leaves alone. */
export const PIPELINES = 'pipelines';
/**
 * Machines of shards may be put into pages, each within the state service's lower limits. That is done only once those
 * are in force: until then every release reads what is stored, and afterwards earlier ones could do nothing with it.
 */
export const PAGED_BLOCKS = 'paged-blocks';
/**
 * A user is told of a cancellation only when the holders know of it, and a holder that nobody reassures falls silent in
 * time (docs/cancel-design.md). Nothing is stored in another form, and an earlier release is only told, as before.
 */
export const CARRIED_CANCELLATIONS = 'carried-cancellations';
/**
 * The limits of teams are shared out between shards (docs/quota-design.md). Shards' records are sealed meanwhile, so that
 * an earlier release that comes back holds none. One that is alone could then do nothing: an operator allows it, and
 * switches it back before going back to such a release.
 */
export const QUOTA_SHARES = 'quota-shares';
export const FEATURES: readonly Feature[] = [
  { name: GROUPED_PROGRESS, needs: [], wellForMs: WELL_FOR_MS },
  { name: PIPELINES, needs: [], wellForMs: 0 },
  { name: PAGED_BLOCKS, needs: [], wellForMs: 0 },
  { name: CARRIED_CANCELLATIONS, needs: [], wellForMs: 0 },
  { name: QUOTA_SHARES, needs: [], wellForMs: 0, byOperator: true },
];

/** What a controller's key says of its program. */
export interface Announcement {
  readonly incarnation: Incarnation;
  readonly release: number;
  readonly features: readonly string[];
  /** The highest version of frames that it reads. */
  readonly frames: number;
  /** The highest version of each kind of record that it reads. */
  readonly records: Readonly<Record<string, number>>;
}

/** The fields beside the incarnation, which the first release writes and reads alone. */
export const encodeAnnouncement = (a: Omit<Announcement, 'incarnation'>): Fields => ({
  release: { number: a.release, features: a.features, frames: a.frames, records: a.records },
});

const FIRST = { release: 1, features: [], frames: 2, records: {} };
const count = (value: unknown, otherwise: number): number =>
  typeof value === 'number' && Number.isInteger(value) && value > 0 ? value : otherwise;

/** null: that key names no life of a controller. */
export function decodeAnnouncement(value: unknown): Announcement | null {
  const life = isObject(value) ? asString(value['incarnation']) : undefined;
  if (!isObject(value) || life === undefined) return null;
  const incarnation = life as Incarnation;
  const said = value['release'];
  if (!isObject(said)) return { incarnation, ...FIRST };
  const records = Object.entries(isObject(said['records']) ? said['records'] : {});
  return {
    incarnation,
    release: count(said['number'], FIRST.release),
    features: asList(said['features']).filter((name) => typeof name === 'string'),
    frames: count(said['frames'], FIRST.frames),
    records: Object.fromEntries(records.map(([kind, version]) => [kind, count(version, 1)])),
  };
}
