/** Keeps the quota records of all teams up to date and tells how much of a team's limit a shard may use. */

import type { TeamQuota } from '../config/index.js';
import type { Logger, Millis, Revision, Runtime, ShardName } from '../kernel/index.js';
import {
  reread,
  quotaKey,
  ROLLOUT_STATE_KEY,
  shardKey,
  Urgency,
  type Guard,
  type Mirror,
  type StateClient,
} from '../state/index.js';
import { isFiniteAmount, isZero, subtract, limitOf, ZERO_AMOUNT, minAmount, sum, type Amount } from './amount.js';
import { capOf, initialShares, heldBackBy, nextShares, unitsIn, type HeldBackBy, type TeamNeed } from './allocation.js';
import { NeedReports, type ShardNeeds } from './need-reports.js';
import { decodeQuota, encodeQuota, shareOf, type QuotaRecord } from './record.js';

/**
 * 'shared': limits are divided between shards; 'returning': the division is being reverted, and shares are being returned
 * to the account shards; 'whole': a team's account shard has its whole limit.
 */
export type QuotaMode = 'shared' | 'returning' | 'whole';

/** A shard that this node holds, as the quota code sees it. */
export interface QuotaHolder {
  readonly shard: ShardName;
  /** Revision of the claim by which this node holds the shard. */
  readonly claimedAt: Revision;
  /** Whether all tasks that may be on its machines are known and no handover is under way. */
  readonly settled: boolean;
  /**
   * Current use and waiting work of each team with a limit; use is infinite while tasks of unknown jobs may belong to
   * any team.
   */
  teamNeeds(): ReadonlyMap<string, TeamNeed>;
}

/** What {@link QuotaShares} needs from the rest of the program. */
export interface QuotaDeps {
  /** Teams by name, with their limits. */
  readonly teams: ReadonlyMap<string, TeamQuota>;
  readonly state: Pick<StateClient, 'txn' | 'get' | 'limits' | 'writers'>;
  readonly mirror: Pick<Mirror, 'get' | 'apply' | 'applyTxn'>;
  readonly runtime: Pick<Runtime, 'now'>;
  readonly log: Pick<Logger, 'info' | 'warn' | 'error'>;
  /** Whether limits are divided now. */
  mode(): QuotaMode;
  /** All shards. */
  shards(): readonly ShardName[];
  /** Record versions of the shards that are sealed, that is, which releases without quota shares can't claim. */
  sealed(): ReadonlyMap<ShardName, Revision>;
  /** The shards that this node holds. */
  holders(): Iterable<QuotaHolder>;
  /** Sends a shard's needs to the other controllers. */
  sendNeeds(needs: ShardNeeds): void;
  /**
   * Rewrites a shard's record with a guard on its version. Afterwards every earlier write that was guarded by the
   * record either is visible or can never be applied.
   */
  settlePendingWrites(shard: ShardName): Promise<void>;
}

/** Fraction of the state service's write rate that quota changes of all controllers together may use. */
const CHANGE_RATE_FRACTION = 0.12;
/** Size of a node's token bucket for changes, and so the largest number of changes in one transaction. */
const MAX_BURST_CHANGES = 6;
/** How often unchanged needs are sent again. */
const RESEND_UNCHANGED_MS = 800;
/** The shortest interval between two sends when the needs change. */
const MIN_SEND_INTERVAL_MS = 150;

/**
 * The account shard of a team: it has the team's whole limit unless that is divided. It is derived from a hash of the
 * name, so every controller chooses the same; null if there are no shards.
 */
export function accountShardOf(team: string, shards: readonly ShardName[]): ShardName | null {
  const hash = [...team].reduce((s, c) => (s * 31 + c.charCodeAt(0)) >>> 0, 7);
  return shards[hash % shards.length] ?? null;
}

/** A change of one team's quota record that a shard's holder wants to write. */
interface QuotaChange {
  readonly team: string;
  readonly shard: ShardName;
  readonly key: string;
  readonly guards: readonly Guard[];
  /** The new record; null removes it. */
  readonly next: QuotaRecord | null;
  /** The longest wait for this team in any shard; changes with longer waits are written first. */
  readonly waitedMs: number;
}

/**
 * Divides the limits of teams between shards. Each team's shares are one record. A holder starts work only within its
 * shard's share, lowers that share only by its own guarded writes, and gives what it can spare to shards with waiting
 * work. A share belongs to the shard, so it passes to whichever node claims the shard. docs/quota-design.md has the
 * safety argument.
 */
export class QuotaShares {
  private readonly needReports = new NeedReports();
  /** Shares that writes in flight lower. The lower share applies until the outcome of the write is known. */
  private readonly lowered = new Map<string, Amount>();
  /** Decoded records by team, valid while the stored value is the same object. */
  private readonly decoded = new Map<
    string,
    { readonly value: unknown; readonly record: ReturnType<typeof decodeQuota> }
  >();
  /** Shards with a write in flight. */
  private readonly shardsBeingWritten = new Set<ShardName>();
  /** When each shard's needs were last sent, and their text for comparison. */
  private readonly lastSent = new Map<ShardName, { readonly at: Millis; readonly text: string }>();
  /** Teams whose unreadable record has been logged. */
  private readonly unreadable = new Set<string>();
  /** Changes that may be written now (token bucket). */
  private tokens = MAX_BURST_CHANGES;
  private refilledAt: Millis;

  constructor(private readonly deps: QuotaDeps) {
    this.refilledAt = deps.runtime.now();
  }

  /** Handles a report of needs from another holder. */
  recordNeeds(needs: ShardNeeds): void {
    this.needReports.record(needs, this.deps.runtime.now());
  }

  /** Whether work of teams with a limit is routed to any shard, like that of other teams. */
  get limitsAreShared(): boolean {
    return this.deps.mode() === 'shared';
  }

  /** Whether shares are being returned to the account shards. */
  get returning(): boolean {
    return this.deps.mode() === 'returning';
  }

  /** The account shard of a team; null if there are no shards. */
  accountShardOf(team: string): ShardName | null {
    return accountShardOf(team, this.deps.shards());
  }

  /** How much of a team's limit a shard may use now; null if the team has no limit. */
  capOf(team: string, shard: ShardName): Amount | null {
    const limit = limitOf(this.deps.teams.get(team));
    if (!limit) return null;
    const mode = this.deps.mode();
    if (mode === 'whole') return limit;
    const record = this.recordOf(team);
    if (record === 'foreign') return ZERO_AMOUNT;
    const cap = record ? capOf(limit, record, shard) : this.undividedCap(team, shard, limit);
    const lowered = this.lowered.get(loweredKey(team, shard));
    return lowered ? minAmount(cap, lowered) : cap;
  }

  /**
   * The cap while no record is stored: the account shard may use what no other shard uses. Tasks from before limits
   * were divided may run in other shards, so every shard must have reported once before the account shard starts
   * anything.
   */
  private undividedCap(team: string, shard: ShardName, limit: Amount): Amount {
    if (this.accountShardOf(team) !== shard) return ZERO_AMOUNT;
    let left = limit;
    for (const other of this.deps.shards()) {
      if (other === shard) continue;
      const use = this.needReports.lastUseOf(team, other);
      if (use) left = subtract(left, use);
      else if (!this.returning) return ZERO_AMOUNT;
    }
    return left;
  }

  /**
   * What the reported use of all shards leaves of a team's limit; null if the team has none or limits are not divided.
   */
  leftOf(team: string): Amount | null {
    const limit = limitOf(this.deps.teams.get(team));
    if (!limit || this.deps.mode() !== 'shared') return null;
    const needs = this.needReports.needsOf(team, this.deps.runtime.now());
    return subtract(limit, sum([...needs.values()].map(({ use }) => use)));
  }

  /** How many tasks of size `unit` a shard may start within its share, by the use that its holder has reported. */
  startableIn(team: string, shard: ShardName, unit: Amount): number {
    const cap = this.capOf(team, shard);
    if (!cap) return Number.POSITIVE_INFINITY;
    const use = this.needReports.needsOf(team, this.deps.runtime.now()).get(shard)?.use ?? ZERO_AMOUNT;
    return unitsIn(subtract(cap, use), unit);
  }

  /** The team's stored record, decoded; an unreadable record is logged once. */
  private recordOf(team: string): QuotaRecord | 'foreign' | null {
    const value = this.deps.mirror.get(quotaKey(team))?.value;
    const known = this.decoded.get(team);
    if (known && known.value === value) return known.record;
    const record = decodeQuota(value);
    this.decoded.set(team, { value, record });
    if (record !== 'foreign') this.unreadable.delete(team);
    else if (!this.unreadable.has(team)) {
      this.unreadable.add(team);
      this.deps.log.error(
        { team },
        "cannot read the team's quota record (damaged, or written by a later release): no tasks of the team are started",
      );
    }
    return record;
  }

  /** One reconcile pass: reports the needs of the shards held by this node and writes changes of shares. */
  reconcile(): void {
    const mode = this.deps.mode();
    if (mode === 'whole') {
      this.needReports.clear();
      return;
    }
    this.refill();
    for (const holder of this.deps.holders()) {
      if (!holder.settled) continue;
      const teams = holder.teamNeeds();
      const needs: ShardNeeds = { shard: holder.shard, claimedAt: holder.claimedAt, teams };
      this.needReports.record(needs, this.deps.runtime.now());
      this.sendIfDue(needs);
      if (!this.shardsBeingWritten.has(holder.shard)) this.writeChanges(holder.shard, teams, mode);
    }
  }

  /** Adds tokens to the bucket for the time since the last refill; all writers of the state service share the rate. */
  private refill(): void {
    const { state, runtime } = this.deps;
    const now = runtime.now();
    const tokensPerS = (state.limits.writeRps * CHANGE_RATE_FRACTION) / Math.max(1, state.writers);
    this.tokens = Math.min(MAX_BURST_CHANGES, this.tokens + ((now - this.refilledAt) / 1000) * tokensPerS);
    this.refilledAt = now;
  }

  /** Sends the needs soon when use or waiting work has changed, and periodically otherwise. */
  private sendIfDue(needs: ShardNeeds): void {
    const now = this.deps.runtime.now();
    const text = JSON.stringify([...needs.teams].map(([team, { use, waiting }]) => [team, use, waiting]));
    const last = this.lastSent.get(needs.shard);
    if (last && now - last.at < (last.text === text ? RESEND_UNCHANGED_MS : MIN_SEND_INTERVAL_MS)) return;
    this.lastSent.set(needs.shard, { at: now, text });
    this.deps.sendNeeds(needs);
  }

  /**
   * Plans the changes of all teams for one shard and writes those that the token bucket allows, the longest wait first.
   */
  private writeChanges(shard: ShardName, needs: ReadonlyMap<string, TeamNeed>, mode: QuotaMode): void {
    const changes: QuotaChange[] = [];
    for (const team of this.deps.teams.keys()) {
      const change = this.planChange(team, shard, needs.get(team), mode);
      if (change) changes.push(change);
    }
    if (changes.length === 0) return;
    changes.sort((a, b) => b.waitedMs - a.waitedMs);
    const most = Math.min(Math.floor(this.tokens), this.deps.state.limits.txnOps);
    const batch = this.selectBatch(changes, most);
    if (batch.length === 0) return;
    this.tokens -= batch.length;
    void this.write(shard, batch);
  }

  /**
   * The changes that go into one transaction: at most `most`, and no more distinct guards than it may have.
   * A transaction may have four guards for each change.
   */
  private selectBatch(changes: readonly QuotaChange[], most: number): QuotaChange[] {
    const batch: QuotaChange[] = [];
    const keys = new Set<string>();
    for (const change of changes) {
      if (batch.length >= most) break;
      const added = change.guards.filter(({ key }) => !keys.has(key));
      if (keys.size + added.length > this.deps.state.limits.maxGuards) break;
      for (const { key } of added) keys.add(key);
      batch.push(change);
    }
    return batch;
  }

  /** The change that this shard's holder makes to a team's record; null if there is none. */
  private planChange(team: string, shard: ShardName, need: TeamNeed | undefined, mode: QuotaMode): QuotaChange | null {
    const { teams, mirror, runtime } = this.deps;
    const limit = limitOf(teams.get(team));
    const account = this.accountShardOf(team);
    const record = this.recordOf(team);
    const own = mirror.get(shardKey(shard));
    if (!limit || account === null || record === 'foreign' || !own) return null;
    const key = quotaKey(team);
    const all = this.needReports.needsOf(team, runtime.now());
    const waitedMs = Math.max(0, ...[...all.values()].map((other) => other.waitedMs));
    const shardGuard = { key: shardKey(shard), version: own.version as number };
    if (!record) {
      if (mode !== 'shared' || account !== shard) return null;
      return this.planInitialDivision(team, shard, limit, all, shardGuard, waitedMs);
    }
    const entry = mirror.get(key);
    const returning = mode === 'returning';
    const guards = [{ key, version: entry?.version ?? 0 }, shardGuard, ...(returning ? [] : this.rolloutGuards)];
    if (returning && account === shard && [...record.shares.keys()].every((other) => other === shard))
      return { team, shard, key, guards, next: null, waitedMs };
    const use = need?.use ?? ZERO_AMOUNT;
    const next = nextShares({ ...{ limit, record, self: shard, use, needs: all, account, returning } });
    return next && this.isStorable(team, next) ? { team, shard, key, guards, next, waitedMs } : null;
  }

  /**
   * Whether all shares are finite. Other numbers can't be read back and would stop the team for good; they are a
   * defect.
   */
  private isStorable(team: string, { shares }: QuotaRecord): boolean {
    const storable = [...shares.values()].every(isFiniteAmount);
    if (!storable)
      this.deps.log.error({ team, shares: [...shares] }, 'refusing to store quota shares that are not finite numbers');
    return storable;
  }

  /**
   * Guards on the rollout state as this node saw it, so that a delayed write fails once the feature is switched off.
   */
  private get rolloutGuards(): Guard[] {
    return [{ key: ROLLOUT_STATE_KEY, version: this.deps.mirror.get(ROLLOUT_STATE_KEY)?.version ?? 0 }];
  }

  /**
   * The change that divides a team's limit for the first time. It is made only when another shard uses some of the
   * limit or waits for it, every shard is sealed, and every holder has reported its use recently.
   */
  private planInitialDivision(
    team: string,
    shard: ShardName,
    limit: Amount,
    needs: ReadonlyMap<ShardName, TeamNeed>,
    shardGuard: Guard,
    waitedMs: number,
  ): QuotaChange | null {
    const { shards, sealed } = this.deps;
    const usedElsewhere = [...needs].some(
      ([other, { use, waiting }]) => other !== shard && !(isZero(use) && isZero(waiting)),
    );
    if (!usedElsewhere) return null;
    const versions = sealed();
    const seals: Guard[] = [];
    for (const other of shards()) {
      const version = versions.get(other);
      if (version === undefined || !needs.has(other)) return null;
      seals.push({ key: shardKey(other), version });
    }
    const first = initialShares(limit, shard, needs);
    if (!first) return null;
    const use = needs.get(shard)?.use ?? ZERO_AMOUNT;
    const next = nextShares({ ...{ limit, record: first, self: shard, use, needs, account: shard, returning: false } });
    const key = quotaKey(team);
    const guards = [{ key, version: 0 }, shardGuard, ...this.rolloutGuards, ...seals];
    const initial = next ?? first;
    return this.isStorable(team, initial) ? { team, shard, key, guards, next: initial, waitedMs } : null;
  }

  /** Writes changes in one transaction. After a conflict or an unknown outcome, the records are read again. */
  private async write(shard: ShardName, changes: readonly QuotaChange[]): Promise<void> {
    const { state, mirror, log } = this.deps;
    this.shardsBeingWritten.add(shard);
    for (const { team, next } of changes) if (next) this.lowered.set(loweredKey(team, shard), shareOf(next, shard));
    const guards = new Map(changes.flatMap((change) => change.guards).map((guard) => [guard.key, guard]));
    const ops = changes.map(({ key, next }) => (next ? { put: key, value: encodeQuota(next) } : { remove: key }));
    try {
      const result = await state.txn(Urgency.shard, [...guards.values()], ops);
      if (result.kind === 'ok') {
        mirror.applyTxn(ops, result.revision);
        log.info({ shard, teams: changes.map(({ team }) => team) }, 'changed quota shares');
      } else {
        if (result.kind === 'unknown') await this.deps.settlePendingWrites(shard);
        if (result.kind !== 'refused') await this.reread(changes);
      }
    } finally {
      for (const { team } of changes) this.lowered.delete(loweredKey(team, shard));
      this.shardsBeingWritten.delete(shard);
    }
  }

  /** Reads the records again after another write came first or the outcome is unknown: the stored value decides. */
  private async reread(changes: readonly QuotaChange[]): Promise<void> {
    const { state, mirror } = this.deps;
    for (const { key } of changes) await reread(state, mirror, key);
  }

  /** For operators: how each team's limit is divided, and what each shard uses and waits for. */
  overview(): QuotaOverview[] {
    const now = this.deps.runtime.now();
    const overview: QuotaOverview[] = [];
    for (const [team, quota] of this.deps.teams) {
      const whole = limitOf(quota);
      if (!whole) continue;
      const record = this.recordOf(team);
      const shares = record && record !== 'foreign' ? Object.fromEntries(record.shares) : {};
      const all = this.needReports.needsOf(team, now);
      const needs = [...all].filter(([, { use, waiting }]) => !(isZero(use) && isZero(waiting)));
      overview.push({
        team,
        limit: { cpus: quota.cpusMax, gpus: quota.gpusMax },
        account: this.accountShardOf(team),
        heldBackBy: heldBackBy(whole, all),
        form: record === 'foreign' ? 'unreadable' : record ? 'shared' : 'whole',
        shares,
        needs: Object.fromEntries(
          needs.map(([shard, { use, waiting, waitedMs }]) => [shard, { use, waiting, waitedMs }]),
        ),
      });
    }
    return overview;
  }
}

/** One team's limit as operators see it. */
export interface QuotaOverview {
  readonly team: string;
  /** 0: no limit of that resource. */
  readonly limit: Amount;
  /** The account shard: it has the whole limit unless that is divided. */
  readonly account: ShardName | null;
  /** Why work that machines have room for does not start; null if none waits. Known only while limits are divided. */
  readonly heldBackBy: HeldBackBy | null;
  /** Whether the limit is stored undivided ('whole') or divided ('shared'), or its record can't be read. */
  readonly form: 'whole' | 'shared' | 'unreadable';
  readonly shares: Readonly<Record<string, Amount>>;
  readonly needs: Readonly<
    Record<string, { readonly use: Amount; readonly waiting: Amount; readonly waitedMs: number }>
  >;
}

/** Key of a team's share of a shard in `lowered`. */
const loweredKey = (team: string, shard: ShardName): string => `${shard} ${team}`;
