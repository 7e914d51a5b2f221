/** Reads and changes the operators' settings in the state service. */
import type { Millis, Runtime } from '../kernel/index.js';
import { isNewerFormat, SETTINGS_KEY, Urgency, type Mirror, type StateClient } from '../state/index.js';
import { decodeSettings, encodeSettings, SETTINGS_FORMAT, type OperatorSettings } from './settings.js';

/** How long a change is retried before its caller is told to retry. */
export const CHANGE_DEADLINE_MS = 3500;
/** Maximum number of changes that may wait on one node; further ones are refused at once. */
export const MAX_PENDING_CHANGES = 500;
/** Range of the random pause before a retry (uniform jitter), so that nodes that collided do not collide again. */
const RETRY_PAUSE_RANGE_MS = [20, 180] as const;

/** A change of the settings. It may be applied more than once, so it must be idempotent. */
export type SettingsChange = (settings: OperatorSettings) => OperatorSettings;

/** The outcome of a read or a change of the settings. */
export type SettingsResult =
  /** `revision`: the revision of the settings record in the state service. */
  | { readonly kind: 'stored'; readonly settings: OperatorSettings; readonly revision: number }
  /** The stored settings were written by a later release; this release must not overwrite them. */
  | { readonly kind: 'foreign' }
  /** With this change the record would exceed the maximum size of a value in the state service. */
  | { readonly kind: 'too-large' }
  /** The state service did not answer in time, or too many changes are waiting. The caller may retry the change. */
  | { readonly kind: 'unavailable' };

interface PendingChange {
  readonly apply: SettingsChange;
  readonly deadline: Millis;
  readonly resolve: (result: SettingsResult) => void;
}

const UNAVAILABLE: SettingsResult = { kind: 'unavailable' };

/**
 * Reads and changes the operators' settings, which are one record of the state service.
 *
 * Changes that arrive during a write are committed together by the next write (group commit): a burst costs one guarded
 * write per node instead of one per change. A write that conflicts with another node's write is retried on the fresh
 * record after a random pause until each change's deadline.
 */
export class SettingsStore {
  private decoded: { readonly value: unknown; readonly settings: OperatorSettings } | undefined;
  private pending: PendingChange[] = [];
  private committing = false;

  constructor(
    private readonly state: Pick<StateClient, 'get' | 'txn'>,
    private readonly mirror: Pick<Mirror, 'get' | 'apply'>,
    private readonly runtime: Pick<Runtime, 'now' | 'random' | 'sleep'>,
  ) {}

  /**
   * The settings that this node acts on. Read for every machine in every round, so each stored value is decoded once.
   */
  get current(): OperatorSettings {
    const value = this.mirror.get(SETTINGS_KEY)?.value;
    if (!this.decoded || this.decoded.value !== value) {
      // Settings of a later release can't be read: the last known settings stay in effect.
      const lastKnown = isNewerFormat(value, SETTINGS_FORMAT) ? this.decoded?.settings : undefined;
      this.decoded = { value, settings: lastKnown ?? decodeSettings(value) };
    }
    return this.decoded.settings;
  }

  /** Revision of the settings record that this node acts on; 0 if none was ever stored. */
  get revision(): number {
    return this.mirror.get(SETTINGS_KEY)?.version ?? 0;
  }

  /** Reads the stored settings from the state service. */
  async read(): Promise<SettingsResult> {
    const stored = await this.fetch();
    return 'settings' in stored ? { kind: 'stored', settings: stored.settings, revision: stored.version } : stored;
  }

  /** Stores a change; resolves within `CHANGE_DEADLINE_MS` plus one request timeout. */
  change(apply: SettingsChange): Promise<SettingsResult> {
    if (this.pending.length >= MAX_PENDING_CHANGES) return Promise.resolve(UNAVAILABLE);
    return new Promise((resolve) => {
      const deadline = (this.runtime.now() + CHANGE_DEADLINE_MS) as Millis;
      this.pending.push({ apply, deadline, resolve });
      void this.commitPending();
    });
  }

  /** Commits pending changes batch by batch until none is left; only one such loop runs at a time. */
  private async commitPending(): Promise<void> {
    if (this.committing) return;
    this.committing = true;
    try {
      while (this.pending.length > 0) {
        const batch = this.pending;
        this.pending = [];
        const retry = await this.commit(batch);
        if (retry.length === 0) continue;
        await this.runtime.sleep(
          RETRY_PAUSE_RANGE_MS[0] + this.runtime.random() * (RETRY_PAUSE_RANGE_MS[1] - RETRY_PAUSE_RANGE_MS[0]),
        );
        this.pending = [...this.withinDeadline(retry), ...this.pending];
      }
    } finally {
      this.committing = false;
    }
  }

  /** Resolves changes past their deadline as unavailable and returns the others. */
  private withinDeadline(changes: readonly PendingChange[]): PendingChange[] {
    const now = this.runtime.now();
    for (const { deadline, resolve } of changes) if (deadline <= now) resolve(UNAVAILABLE);
    return changes.filter(({ deadline }) => deadline > now);
  }

  /** Attempts to store a batch in one write. Resolves to the changes that must be retried. */
  private async commit(batch: readonly PendingChange[]): Promise<readonly PendingChange[]> {
    const stored = await this.fetch();
    if (!('settings' in stored)) {
      if (stored.kind === 'unavailable') return batch;
      for (const { resolve } of batch) resolve(stored);
      return [];
    }
    const settings = batch.reduce((changed, { apply }) => apply(changed), stored.settings);
    const value = encodeSettings(settings);
    const guards = [{ key: SETTINGS_KEY, version: stored.version }];
    // An unknown outcome is retried on a fresh read: changes are idempotent, and the guard rejects the late write.
    const result = await this.state.txn(Urgency.accept, guards, [{ put: SETTINGS_KEY, value }]);
    if (result.kind === 'ok') {
      this.mirror.apply({ key: SETTINGS_KEY, value, removed: false, version: result.revision });
      for (const { resolve } of batch) resolve({ kind: 'stored', settings, revision: result.revision });
      return [];
    }
    if (result.kind === 'refused' && result.tooLarge === true) return this.commitOneByOne(batch);
    return batch;
  }

  /**
   * Commits the changes of a batch that is too large for one value one at a time, so that each is stored or refused.
   */
  private async commitOneByOne(batch: readonly PendingChange[]): Promise<readonly PendingChange[]> {
    const [only] = batch;
    if (only && batch.length === 1) {
      only.resolve({ kind: 'too-large' });
      return [];
    }
    const retry: PendingChange[] = [];
    for (const change of batch) retry.push(...(await this.commit([change])));
    return retry;
  }

  /** Reads and decodes the settings record; version 0 if it is absent. */
  private async fetch(): Promise<
    { readonly settings: OperatorSettings; readonly version: number } | { readonly kind: 'foreign' | 'unavailable' }
  > {
    const read = await this.state.get(SETTINGS_KEY);
    if (read.kind === 'unavailable') return { kind: 'unavailable' };
    if (read.kind === 'absent') return { settings: decodeSettings(null), version: 0 };
    const { value, version } = read.entry;
    if (isNewerFormat(value, SETTINGS_FORMAT)) return { kind: 'foreign' };
    return { settings: decodeSettings(value), version };
  }
}
