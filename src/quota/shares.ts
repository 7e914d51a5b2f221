import type { TeamFacts } from '../config/index.js';
import type { Logger, Millis, Revision, Runtime, ShardName } from '../kernel/index.js';
import {
  reread,
  quotaKey,
  ROLLOUT_STATE,
  shardKey,
  Urgency,
  type Guard,
  type Mirror,
  type StateClient,
} from '../state/index.js';
import { isFinite, isNothing, less, limitOf, NOTHING, smaller, sum, type Amount } from './amount.js';
import { capOf, firstShares, heldBackBy, nextShares, unitsIn, type HeldBackBy, type TeamNeed } from './decide.js';
import { DemandBoard, type ShardDemand } from './demand.js';
import { decodeQuota, encodeQuota, shareOf, type QuotaRecord } from './record.js';

/** Limits are shared between shards; what was shared is being put back; or one shard has a team's whole limit. */
export type QuotaMode = 'shared' | 'returning' | 'whole';

/** A shard that this node holds, as far as quotas need to know it. */
export interface QuotaHolder {
  readonly shard: ShardName;
  readonly claimedAt: Revision;
  /** Everything that may be on its machines is known, and it is not changing hands. */
  readonly settled: boolean;
  /** Of each limited team, what may be in use now and what waits; endless use while tasks of unknown jobs may be anybody's. */
  teamNeeds(): ReadonlyMap<string, TeamNeed>;
}

export interface QuotaDeps {
  readonly teams: ReadonlyMap<string, TeamFacts>;
  readonly state: Pick<StateClient, 'txn' | 'get' | 'limits' | 'writers'>;
  readonly mirror: Pick<Mirror, 'get' | 'apply' | 'wrote'>;
  readonly runtime: Pick<Runtime, 'now'>;
  readonly log: Pick<Logger, 'info' | 'warn' | 'error'>;
  mode(): QuotaMode;
  /** All shards, and the versions of the records of those that are sealed against releases without shares. */
  shards(): readonly ShardName[];
  sealed(): ReadonlyMap<ShardName, Revision>;
  holders(): Iterable<QuotaHolder>;
  /** Tells what a shard needs to the other controllers. */
  tell(demand: ShardDemand): void;
  /** Rewrites a shard's record under guard: every write that was guarded by it then shows, or can never be carried out. */
  settle(shard: ShardName): Promise<void>;
}

/** Of the state service's changes a second, the part that shares may take, of all controllers together. */
const CHANGES_PART = 0.12;
/** Changes that a node may save up, and make in one transaction. */
const BURST = 6;
const TELL_EVERY_MS = 800;
const TELL_AGAIN_MS = 150;

/** The shard that has a team's whole limit unless it is shared: by the team's name, the same for every controller. */
export function accountOf(team: string, shards: readonly ShardName[]): ShardName | null {
  const hash = [...team].reduce((s, c) => (s * 31 + c.charCodeAt(0)) >>> 0, 7);
  return shards[hash % shards.length] ?? null;
}

interface Change {
  readonly team: string;
  readonly shard: ShardName;
  readonly key: string;
  readonly guards: readonly Guard[];
  /** null: the record goes. */
  readonly next: QuotaRecord | null;
  readonly waitedMs: number;
}

/**
 * Divides the limits of teams between shards. Each team's shares are one record; a holder starts work within its shard's
 * share only, lowers it by its own guarded writes, and gives what it can spare to shards that wait. A share belongs to
 * the shard: whoever claims that has it. The argument: docs/quota-design.md.
 */
export class QuotaShares {
  private readonly board = new DemandBoard();
  /** Shares that writes under way lower: until their outcome is known, the lower one holds. */
  private readonly lowered = new Map<string, Amount>();
  private readonly decoded = new Map<
    string,
    { readonly value: unknown; readonly record: ReturnType<typeof decodeQuota> }
  >();
  private readonly writing = new Set<ShardName>();
  private readonly toldAt = new Map<ShardName, { readonly at: Millis; readonly text: string }>();
  private readonly unreadable = new Set<string>();
  private allowance = BURST;
  private allowanceAt: Millis;

  constructor(private readonly deps: QuotaDeps) {
    this.allowanceAt = deps.runtime.now();
  }

  /** What another holder says. */
  hear(demand: ShardDemand): void {
    this.board.note(demand, this.deps.runtime.now());
  }

  /** Is work of this team sent to any shard, like that of teams without a limit? */
  get routesFreely(): boolean {
    return this.deps.mode() === 'shared';
  }

  /** What is shared is being put back. */
  get returning(): boolean {
    return this.deps.mode() === 'returning';
  }

  account(team: string): ShardName | null {
    return accountOf(team, this.deps.shards());
  }

  /** Up to where a shard may use a team's limit now; null: the team has none. */
  capOf(team: string, shard: ShardName): Amount | null {
    const limit = limitOf(this.deps.teams.get(team));
    if (!limit) return null;
    const mode = this.deps.mode();
    if (mode === 'whole') return limit;
    const record = this.recordOf(team);
    if (record === 'foreign') return NOTHING;
    const cap = record ? capOf(limit, record, shard) : this.undivided(team, shard, limit);
    const lowered = this.lowered.get(lowerKey(team, shard));
    return lowered ? smaller(cap, lowered) : cap;
  }

  /**
   * Nothing is stored yet: the account's shard has what no other uses. Tasks may run elsewhere from before limits were
   * shared, so every shard has to be heard of once before anything is started on the strength of the whole limit.
   */
  private undivided(team: string, shard: ShardName, limit: Amount): Amount {
    if (this.account(team) !== shard) return NOTHING;
    let left = limit;
    for (const other of this.deps.shards()) {
      if (other === shard) continue;
      const use = this.board.lastUseOf(team, other);
      if (use) left = less(left, use);
      else if (!this.returning) return NOTHING;
    }
    return left;
  }

  /** What all shards together leave of a team's limit, as far as they have said; null: limits are not shared. */
  leftOf(team: string): Amount | null {
    const limit = limitOf(this.deps.teams.get(team));
    if (!limit || this.deps.mode() !== 'shared') return null;
    const needs = this.board.needsOf(team, this.deps.runtime.now());
    return less(limit, sum([...needs.values()].map(({ use }) => use)));
  }

  /** How many tasks of a size a shard may start within its share, as far as its holder has said what it uses. */
  startableIn(team: string, shard: ShardName, unit: Amount): number {
    const cap = this.capOf(team, shard);
    if (!cap) return Number.POSITIVE_INFINITY;
    const use = this.board.needsOf(team, this.deps.runtime.now()).get(shard)?.use ?? NOTHING;
    return unitsIn(less(cap, use), unit);
  }

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
        "a team's quota record can't be read by this release: nothing of the team is started",
      );
    }
    return record;
  }

  /** One round: tells what the shards that are held here need, and changes shares. */
  round(): void {
    const mode = this.deps.mode();
    if (mode === 'whole') {
      this.board.clear();
      return;
    }
    this.refill();
    for (const holder of this.deps.holders()) {
      if (!holder.settled) continue;
      const teams = holder.teamNeeds();
      const demand: ShardDemand = { shard: holder.shard, claimedAt: holder.claimedAt, teams };
      this.board.note(demand, this.deps.runtime.now());
      this.tell(demand);
      if (!this.writing.has(holder.shard)) this.change(holder.shard, teams, mode);
    }
  }

  private refill(): void {
    const { state, runtime } = this.deps;
    const now = runtime.now();
    const perS = (state.limits.writeRps * CHANGES_PART) / Math.max(1, state.writers);
    this.allowance = Math.min(BURST, this.allowance + ((now - this.allowanceAt) / 1000) * perS);
    this.allowanceAt = now;
  }

  /** At once when something has changed that others act on, and now and then in any case. */
  private tell(demand: ShardDemand): void {
    const now = this.deps.runtime.now();
    const text = JSON.stringify([...demand.teams].map(([team, { use, waiting }]) => [team, use, waiting]));
    const last = this.toldAt.get(demand.shard);
    if (last && now - last.at < (last.text === text ? TELL_EVERY_MS : TELL_AGAIN_MS)) return;
    this.toldAt.set(demand.shard, { at: now, text });
    this.deps.tell(demand);
  }

  private change(shard: ShardName, needs: ReadonlyMap<string, TeamNeed>, mode: QuotaMode): void {
    const changes: Change[] = [];
    for (const team of this.deps.teams.keys()) {
      const change = this.changeOf(team, shard, needs.get(team), mode);
      if (change) changes.push(change);
    }
    if (changes.length === 0) return;
    changes.sort((a, b) => b.waitedMs - a.waitedMs);
    const most = Math.min(Math.floor(this.allowance), this.deps.state.limits.txnOps);
    const batch = this.together(changes, most);
    if (batch.length === 0) return;
    this.allowance -= batch.length;
    void this.write(shard, batch);
  }

  /** Those that are made in one transaction: it may have four conditions for each change that it may make. */
  private together(changes: readonly Change[], most: number): Change[] {
    const batch: Change[] = [];
    const keys = new Set<string>();
    for (const change of changes) {
      if (batch.length >= most) break;
      const added = change.guards.filter(({ key }) => !keys.has(key));
      if (keys.size + added.length > this.deps.state.limits.conditions) break;
      for (const { key } of added) keys.add(key);
      batch.push(change);
    }
    return batch;
  }

  private changeOf(team: string, shard: ShardName, need: TeamNeed | undefined, mode: QuotaMode): Change | null {
    const { teams, mirror, runtime } = this.deps;
    const limit = limitOf(teams.get(team));
    const account = this.account(team);
    const record = this.recordOf(team);
    const own = mirror.get(shardKey(shard));
    if (!limit || account === null || record === 'foreign' || !own) return null;
    const key = quotaKey(team);
    const all = this.board.needsOf(team, runtime.now());
    const waitedMs = Math.max(0, ...[...all.values()].map((other) => other.waitedMs));
    const held = { key: shardKey(shard), version: own.version as number };
    if (!record) {
      if (mode !== 'shared' || account !== shard) return null;
      return this.firstChange(team, shard, limit, all, held, waitedMs);
    }
    const entry = mirror.get(key);
    const returning = mode === 'returning';
    const guards = [{ key, version: entry?.version ?? 0 }, held, ...(returning ? [] : this.switchedOn)];
    if (returning && account === shard && [...record.shares.keys()].every((other) => other === shard))
      return { team, shard, key, guards, next: null, waitedMs };
    const use = need?.use ?? NOTHING;
    const next = nextShares({ ...{ limit, record, self: shard, use, needs: all, account, returning } });
    return next && this.isSound(team, next) ? { team, shard, key, guards, next, waitedMs } : null;
  }

  /** What is no number could never be read back, and would stop the team for good: such a record is a defect. */
  private isSound(team: string, { shares }: QuotaRecord): boolean {
    const sound = [...shares.values()].every(isFinite);
    if (!sound) this.deps.log.error({ team, shares: [...shares] }, 'shares that are no numbers are not stored');
    return sound;
  }

  /** That the switch still stands as this node saw it: what is written late, after it went back, must fail. */
  private get switchedOn(): Guard[] {
    return [{ key: ROLLOUT_STATE, version: this.deps.mirror.get(ROLLOUT_STATE)?.version ?? 0 }];
  }

  /** Once another shard waits, every shard is sealed, and every holder has said what it uses. */
  private firstChange(
    team: string,
    shard: ShardName,
    limit: Amount,
    needs: ReadonlyMap<ShardName, TeamNeed>,
    held: Guard,
    waitedMs: number,
  ): Change | null {
    const { shards, sealed } = this.deps;
    const elsewhere = [...needs].some(
      ([other, { use, waiting }]) => other !== shard && !(isNothing(use) && isNothing(waiting)),
    );
    if (!elsewhere) return null;
    const versions = sealed();
    const seals: Guard[] = [];
    for (const other of shards()) {
      const version = versions.get(other);
      if (version === undefined || !needs.has(other)) return null;
      seals.push({ key: shardKey(other), version });
    }
    const first = firstShares(limit, shard, needs);
    if (!first) return null;
    const use = needs.get(shard)?.use ?? NOTHING;
    const next = nextShares({ ...{ limit, record: first, self: shard, use, needs, account: shard, returning: false } });
    const key = quotaKey(team);
    const guards = [{ key, version: 0 }, held, ...this.switchedOn, ...seals];
    const made = next ?? first;
    return this.isSound(team, made) ? { team, shard, key, guards, next: made, waitedMs } : null;
  }

  private async write(shard: ShardName, changes: readonly Change[]): Promise<void> {
    const { state, mirror, log } = this.deps;
    this.writing.add(shard);
    for (const { team, next } of changes) if (next) this.lowered.set(lowerKey(team, shard), shareOf(next, shard));
    const guards = new Map(changes.flatMap((change) => change.guards).map((guard) => [guard.key, guard]));
    const ops = changes.map(({ key, next }) => (next ? { put: key, value: encodeQuota(next) } : { remove: key }));
    try {
      const result = await state.txn(Urgency.shard, [...guards.values()], ops);
      if (result.kind === 'ok') {
        mirror.wrote(ops, result.revision);
        log.info({ shard, teams: changes.map(({ team }) => team) }, "shares of teams' limits have changed");
      } else {
        if (result.kind === 'unknown') await this.deps.settle(shard);
        if (result.kind !== 'refused') await this.reread(changes);
      }
    } finally {
      for (const { team } of changes) this.lowered.delete(lowerKey(team, shard));
      this.writing.delete(shard);
    }
  }

  /** Another's write came first, or the outcome was not known: what is stored decides. */
  private async reread(changes: readonly Change[]): Promise<void> {
    const { state, mirror } = this.deps;
    for (const { key } of changes) await reread(state, mirror, key);
  }

  /** For operators: how each team's limit lies, and what each shard uses and waits for. */
  overview(): QuotaOverview[] {
    const now = this.deps.runtime.now();
    const overview: QuotaOverview[] = [];
    for (const [team, facts] of this.deps.teams) {
      const whole = limitOf(facts);
      if (!whole) continue;
      const record = this.recordOf(team);
      const shares = record && record !== 'foreign' ? Object.fromEntries(record.shares) : {};
      const all = this.board.needsOf(team, now);
      const needs = [...all].filter(([, { use, waiting }]) => !(isNothing(use) && isNothing(waiting)));
      overview.push({
        team,
        limit: { cpus: facts.cpusMax, gpus: facts.gpusMax },
        account: this.account(team),
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

export interface QuotaOverview {
  readonly team: string;
  /** 0: none. */
  readonly limit: Amount;
  readonly account: ShardName | null;
  /** Why work that has room does not start; null: none waits. Known only while limits are shared. */
  readonly heldBackBy: HeldBackBy | null;
  readonly form: 'whole' | 'shared' | 'unreadable';
  readonly shares: Readonly<Record<string, Amount>>;
  readonly needs: Readonly<
    Record<string, { readonly use: Amount; readonly waiting: Amount; readonly waitedMs: number }>
  >;
}

const lowerKey = (team: string, shard: ShardName): string => `${shard} ${team}`;
