import { SETTINGS_FORMAT } from '../admin/index.js';
import { JOB_FORMAT, PROGRESS_FORMAT } from '../jobs/index.js';
import { PAGE_FORMAT, SHARD_FORMAT } from '../membership/index.js';
import { FRAME_VERSION } from '../peers/index.js';
import { QUOTA_FORMAT } from '../quota/index.js';
import { encodeAnnouncement, FEATURES, RELEASE_NUMBER, ROLLOUT_FORMAT } from '../rollout/index.js';

/** The newest format version of each kind of stored record that this release can read. */
const RECORD_FORMATS = {
  shard: SHARD_FORMAT,
  page: PAGE_FORMAT,
  job: JOB_FORMAT,
  progress: PROGRESS_FORMAT,
  settings: SETTINGS_FORMAT,
  rollout: ROLLOUT_FORMAT,
  quota: QUOTA_FORMAT,
};

/** Names of the rollout features that this release supports. */
export const FEATURE_NAMES: readonly string[] = FEATURES.map(({ name }) => name);

/** The encoded release announcement that a controller stores in its node key, next to its incarnation. */
export const ANNOUNCEMENT = encodeAnnouncement({
  release: RELEASE_NUMBER,
  features: FEATURE_NAMES,
  frames: FRAME_VERSION,
  records: RECORD_FORMATS,
});
