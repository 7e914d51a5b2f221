import { asArray, asString, isObject, type Incarnation } from '../kernel/index.js';
import type { RecordFields } from '../state/index.js';

/**
 * The number of this release, announced to controllers of other releases. It increases by one with every change to what
 * controllers send to one another or store. 1 stands for all releases from before there were announcements.
 */
export const RELEASE_NUMBER = 6;

/** New behaviour that is switched on only once every configured controller supports it. */
export interface Feature {
  readonly name: string;
  /** Features that must be on before this one. */
  readonly needs: readonly string[];
  /**
   * How long all controllers must have been registered without a replacement before the feature is switched on, in
   * milliseconds. 0 for features whose stored form is harmless to every release: waiting would show nothing, and users
   * or lower limits of the state service may not allow a delay.
   */
  readonly minStableMs: number;
  /** True when the feature is switched on only after an operator has allowed it. */
  readonly requiresApproval?: boolean;
}

/** `minStableMs` of features that are not harmless by their stored form alone. */
export const MIN_STABLE_BEFORE_SWITCH_ON_MS = 20_000;

// Features of this program. Each must be harmless to a release that lacks it, because a controller of such a release
// can come back at any time. docs/rollout-design.md explains this feature by feature.

/** Progress that the jobs' own records do not have yet is stored in one record per shard. */
export const GROUPED_PROGRESS = 'grouped-progress';
/** Jobs that await other jobs are accepted. They are stored in records that earlier releases leave alone. */
export const PIPELINES = 'pipelines';
/**
 * The machines of a shard may be stored in pages that each fit the state service's lower limits. Pages are written only
 * once those limits apply: until then every release can read what is stored, and afterwards earlier releases could not
 * use it.
 */
export const PAGED_BLOCKS = 'paged-blocks';
/**
 * A cancellation is confirmed to its user only after the shard holders have acknowledged it, and a holder that its
 * peers no longer confirm stops starting tasks and answering workers in time (docs/cancel-design.md). No record changes
 * its format, and controllers of an earlier release are only notified, as before.
 */
export const ACKNOWLEDGED_CANCELLATIONS = 'carried-cancellations';
/**
 * The limits of teams are divided between shards (docs/quota-design.md). Shard records are sealed while the feature is
 * on, so that a controller of an earlier release that comes back cannot hold a shard. If only controllers of earlier
 * releases were running, none of them could hold a sealed shard. The feature therefore requires an operator's approval, and an operator has to revert it
 * before going back to such a release.
 */
export const QUOTA_SHARES = 'quota-shares';
/** The features of this program, in the order in which they are switched on. */
export const FEATURES: readonly Feature[] = [
  { name: GROUPED_PROGRESS, needs: [], minStableMs: MIN_STABLE_BEFORE_SWITCH_ON_MS },
  { name: PIPELINES, needs: [], minStableMs: 0 },
  { name: PAGED_BLOCKS, needs: [], minStableMs: 0 },
  { name: ACKNOWLEDGED_CANCELLATIONS, needs: [], minStableMs: 0 },
  { name: QUOTA_SHARES, needs: [], minStableMs: 0, requiresApproval: true },
];

/** What a controller's key announces about its program. */
export interface Announcement {
  readonly incarnation: Incarnation;
  readonly release: number;
  /** The features that the controller supports. */
  readonly features: readonly string[];
  /** The newest version of peer frames that the controller reads. */
  readonly frames: number;
  /** The newest format version that the controller reads, by kind of record. */
  readonly records: Readonly<Record<string, number>>;
}

/**
 * Encodes the fields of a controller's key other than the incarnation. The first release writes and reads only the
 * incarnation.
 */
export const encodeAnnouncement = (announcement: Omit<Announcement, 'incarnation'>): RecordFields => ({
  release: {
    number: announcement.release,
    features: announcement.features,
    frames: announcement.frames,
    records: announcement.records,
  },
});

/** What a key without an announcement stands for: the first release. */
const FIRST_RELEASE = { release: 1, features: [], frames: 2, records: {} };
const positiveIntegerOr = (value: unknown, fallback: number): number =>
  typeof value === 'number' && Number.isInteger(value) && value > 0 ? value : fallback;

/** Decodes the value of a controller's key; null when it names no incarnation. */
export function decodeAnnouncement(value: unknown): Announcement | null {
  const incarnationText = isObject(value) ? asString(value['incarnation']) : undefined;
  if (!isObject(value) || incarnationText === undefined) return null;
  const incarnation = incarnationText as Incarnation;
  const announced = value['release'];
  if (!isObject(announced)) return { incarnation, ...FIRST_RELEASE };
  const records = Object.entries(isObject(announced['records']) ? announced['records'] : {});
  return {
    incarnation,
    release: positiveIntegerOr(announced['number'], FIRST_RELEASE.release),
    features: asArray(announced['features']).filter((name) => typeof name === 'string'),
    frames: positiveIntegerOr(announced['frames'], FIRST_RELEASE.frames),
    records: Object.fromEntries(records.map(([kind, version]) => [kind, positiveIntegerOr(version, 1)])),
  };
}
