import type { Millis, Runtime } from '../kernel/index.js';
import { isForeign, SETTINGS, Urgency, type Mirror, type StateClient } from '../state/index.js';
import { decodeSettings, encodeSettings, SETTINGS_FORMAT, type OperatorSettings } from './settings.js';

/** How long a change is retried before its caller is told to come again, in milliseconds. */
export const CHANGE_DEADLINE_MS = 3500;
/** Changes that may wait on one node; further ones are refused at once. */
export const MAX_PENDING_CHANGES = 500;
/** Pause before another attempt, drawn evenly, so that nodes that collided do not collide again. */
const RETRY_MS = [20, 180] as const;

/** A change of the settings. It may be applied more than once, so it must be idempotent. */
export type SettingsChange = (settings: OperatorSettings) => OperatorSettings;

export type SettingsResult =
  /** `revision`: the state service's, of the record that holds them. */
  | { readonly kind: 'stored'; readonly settings: OperatorSettings; readonly revision: number }
  /** The stored settings are of a later release, which this one must not write over. */
  | { readonly kind: 'foreign' }
  /** With this change the record would exceed what the state service takes as one value. */
  | { readonly kind: 'too-large' }
  /** The state service gave no answer in time, or too many changes wait. The change may still be retried. */
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
 * Changes that arrive while a write is under way are committed together by the next one (group commit): a burst costs one
 * guarded write for each node instead of one for each change. A write that loses the race against another node is retried
 * on the fresh record after a random pause until each change's deadline.
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

  /** The settings that this node acts on. Asked for every machine in every round: decoded once for each value. */
  get current(): OperatorSettings {
    const value = this.mirror.get(SETTINGS)?.value;
    if (!this.decoded || this.decoded.value !== value) {
      // Those of a later release can't be read: what was known last goes on.
      const known = isForeign(value, SETTINGS_FORMAT) ? this.decoded?.settings : undefined;
      this.decoded = { value, settings: known ?? decodeSettings(value) };
    }
    return this.decoded.settings;
  }

  /** The state service's revision of the settings that this node acts on; 0: none were ever stored. */
  get revision(): number {
    return this.mirror.get(SETTINGS)?.version ?? 0;
  }

  /** The settings as they are stored now. */
  async read(): Promise<SettingsResult> {
    const stored = await this.fetch();
    return 'settings' in stored ? { kind: 'stored', settings: stored.settings, revision: stored.version } : stored;
  }

  /** Stores a change; settles within `CHANGE_DEADLINE_MS` and one request's timeout. */
  change(apply: SettingsChange): Promise<SettingsResult> {
    if (this.pending.length >= MAX_PENDING_CHANGES) return Promise.resolve(UNAVAILABLE);
    return new Promise((resolve) => {
      const deadline = (this.runtime.now() + CHANGE_DEADLINE_MS) as Millis;
      this.pending.push({ apply, deadline, resolve });
      void this.commitPending();
    });
  }

  private async commitPending(): Promise<void> {
    if (this.committing) return;
    this.committing = true;
    try {
      while (this.pending.length > 0) {
        const batch = this.pending;
        this.pending = [];
        const retry = await this.commit(batch);
        if (retry.length === 0) continue;
        await this.runtime.sleep(RETRY_MS[0] + this.runtime.random() * (RETRY_MS[1] - RETRY_MS[0]));
        this.pending = [...this.withinDeadline(retry), ...this.pending];
      }
    } finally {
      this.committing = false;
    }
  }

  private withinDeadline(changes: readonly PendingChange[]): PendingChange[] {
    const now = this.runtime.now();
    for (const { deadline, resolve } of changes) if (deadline <= now) resolve(UNAVAILABLE);
    return changes.filter(({ deadline }) => deadline > now);
  }

  /** One attempt to store a batch in one write. Resolves to the changes that are to be tried again. */
  private async commit(batch: readonly PendingChange[]): Promise<readonly PendingChange[]> {
    const stored = await this.fetch();
    if (!('settings' in stored)) {
      if (stored.kind === 'unavailable') return batch;
      for (const { resolve } of batch) resolve(stored);
      return [];
    }
    const settings = batch.reduce((changed, { apply }) => apply(changed), stored.settings);
    const value = encodeSettings(settings);
    const guards = [{ key: SETTINGS, version: stored.version }];
    // An unknown outcome is retried on a fresh read: changes are idempotent, and the guard voids the late write.
    const result = await this.state.txn(Urgency.accept, guards, [{ put: SETTINGS, value }]);
    if (result.kind === 'ok') {
      this.mirror.apply({ key: SETTINGS, value, removed: false, version: result.revision });
      for (const { resolve } of batch) resolve({ kind: 'stored', settings, revision: result.revision });
      return [];
    }
    if (result.kind === 'refused' && result.tooLarge === true) return this.commitSingly(batch);
    return batch;
  }

  /** The batch is too large for one value: each change on its own is stored or refused. */
  private async commitSingly(batch: readonly PendingChange[]): Promise<readonly PendingChange[]> {
    const [only] = batch;
    if (only && batch.length === 1) {
      only.resolve({ kind: 'too-large' });
      return [];
    }
    const retry: PendingChange[] = [];
    for (const change of batch) retry.push(...(await this.commit([change])));
    return retry;
  }

  private async fetch(): Promise<
    { readonly settings: OperatorSettings; readonly version: number } | { readonly kind: 'foreign' | 'unavailable' }
  > {
    const read = await this.state.get(SETTINGS);
    if (read.kind === 'unavailable') return { kind: 'unavailable' };
    if (read.kind === 'absent') return { settings: decodeSettings(null), version: 0 };
    const { value, version } = read.entry;
    if (isForeign(value, SETTINGS_FORMAT)) return { kind: 'foreign' };
    return { settings: decodeSettings(value), version };
  }
}
