import type { CloudClient, MachineType, Rental } from '../cloud/index.js';
import { decodeSpec, type JobSpec } from '../jobs/index.js';
import {
  millis,
  type JobId,
  type Logger,
  type MachineId,
  type Millis,
  type NodeName,
  type Revision,
  type Runtime,
  type ShardName,
} from '../kernel/index.js';
import {
  blockLimit,
  encodePage,
  enter,
  leave,
  settleKey,
  type BlockMachine,
  type KnownShard,
  type ShardDirectory,
} from '../membership/index.js';
import type { PeerMessage, ShardSummary } from '../peers/index.js';
import type { Coming } from '../pipelines/index.js';
import type { Trail } from '../trail/index.js';
import {
  jobKey,
  JOBS,
  LEADER,
  PAGES,
  reread,
  shardKey,
  Urgency,
  type Mirror,
  type StateClient,
} from '../state/index.js';
import type { WorkerMessage } from '../workers/index.js';
import { inCalls, kindKey, LEASE_POLICY, planLeases, type LooseMachine, type RentWish } from './plan.js';

export interface LeaderDeps {
  readonly self: NodeName;
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly cloud: CloudClient;
  readonly runtime: Runtime;
  readonly log: Logger;
  /** null: nobody records. */
  readonly trail: Trail | null;
  readonly listLagMs: number;
  readonly shards: ShardDirectory;
  leading(): Revision | null;
  summaries(): readonly ShardSummary[];
  /** Jobs that will be ready soon. */
  coming(): readonly Coming[];
  types(): ReadonlyMap<string, MachineType>;
  tell(holder: NodeName, message: PeerMessage): void;
  nudge(): void;
}

interface Known {
  readonly id: MachineId;
  type: string;
  zone: string;
  spot: boolean;
  rentedAt: Millis;
  /** When its worker last reported without being in a block. */
  reportedAt: Millis | null;
  address: string;
  listedAt: Millis | null;
  phase: Rental['phase'];
  doomed: boolean;
}

const LIST_EVERY_MS = 2500;
const REFUSED_MS = 15_000;
const TRANSFER_PAUSE_MS = 3000;
/** How long the watch may take before a round is left out. */
const SETTLED_WITHIN_MS = 1500;
/** Pages written in one transaction. */
const PAGES_AT_ONCE = 4;
/** Of no epoch that any head names. */
const EMPTY_PAGE = encodePage(0, []);

/** The leader's duties: machine blocks, fleet size, price. Losing the leader costs only these. */
export class Leader {
  private readonly known = new Map<MachineId, Known>();
  private readonly refused = new Map<string, Millis>();
  private readonly asked = new Map<MachineId, Millis>();
  private readonly releasing = new Map<MachineId, Millis>();
  /** Deleted for certain. Lists lag: what they still show of these is past. */
  private readonly gone = new Set<MachineId>();
  private term: Revision | null = null;
  private listAt = millis(-1e9);
  private requests = 0;
  private startedAt: Millis;
  private listing = false;
  private renting = false;

  constructor(private readonly deps: LeaderDeps) {
    this.startedAt = deps.runtime.now();
  }

  /** A worker that is in no block reports: it is up and may be leased. */
  noteUp(message: WorkerMessage): void {
    const now = this.deps.runtime.now();
    const isNew = !this.known.get(message.machine)?.reportedAt;
    const known = this.learn(message.machine, message.type, message.zone, message.spot, now);
    if (isNew) this.deps.nudge();
    known.reportedAt = now;
    known.address = message.address;
  }

  private learn(id: MachineId, type: string, zone: string, spot: boolean, rentedAt: Millis): Known {
    let known = this.known.get(id);
    if (!known) {
      known = {
        id,
        type,
        zone,
        spot,
        rentedAt,
        reportedAt: null,
        address: '',
        listedAt: null,
        phase: 'booting',
        doomed: false,
      };
      this.known.set(id, known);
    }
    return known;
  }

  private bury(id: MachineId): void {
    this.known.delete(id);
    this.gone.add(id);
    if (this.gone.size > 2000) this.gone.delete([...this.gone][0] ?? id);
  }

  async round(): Promise<void> {
    const term = this.deps.leading();
    if (term === null) {
      this.term = null;
      return;
    }
    // Its machines are in no block that is known here, and would be taken for loose ones.
    if (this.deps.shards.unreadable.size > 0) return;
    const now = this.deps.runtime.now();
    if (term !== this.term) {
      this.term = term;
      this.deps.trail?.note({ kind: 'leads' });
      this.known.clear();
      this.startedAt = now;
      this.listAt = millis(-1e9);
    }
    if (now - this.listAt > LIST_EVERY_MS && !this.listing && this.deps.cloud.mayCall()) void this.list(now);
    const shards = this.deps.shards.all;
    const summaries = this.deps.summaries().filter((s) => shards.get(s.shard)?.value.holder === s.holder);
    await this.removeLost(summaries, now);
    if (!(await this.settled(term))) return;
    await this.returnLoose(now);
    if (this.deps.types().size === 0 || !(await this.settled(term))) return;

    const loose: LooseMachine[] = [];
    for (const known of this.known.values()) {
      if (this.placed(known.id) || known.doomed || known.phase === 'failed' || this.releasing.has(known.id)) continue;
      const up = known.reportedAt !== null && now - known.reportedAt < 10_000;
      loose.push({ ...known, up, ageS: (now - known.rentedAt) / 1000 });
    }
    for (const [key, at] of this.refused) if (now - at > REFUSED_MS) this.refused.delete(key);
    const plan = planLeases({
      shards: summaries,
      loose,
      types: this.deps.types(),
      specOf: this.specOf,
      refused: new Set(this.refused.keys()),
      headroom: this.headroom(),
      coming: this.deps.coming(),
      ...LEASE_POLICY,
      ageOf: (id) => {
        const known = this.known.get(id);
        return known ? (now - known.rentedAt) / 1000 : 0;
      },
    });
    await this.grant(plan.grants, term);
    for (const { machine, from, to } of plan.transfers) this.ask(machine, from, to, shards, now);
    for (const { machine, from } of plan.releases) {
      this.deps.log.info({ machine, from }, 'giving an idle machine back');
      this.releasing.set(machine, now);
      this.ask(machine, from, null, shards, now);
    }
    // A new leader first lists what there is: renting twice costs money.
    const settled = [...this.known.values()].some((k) => k.listedAt !== null) || now - this.startedAt > 10_000;
    if (settled && plan.rents.length > 0) void this.rent(plan.rents, term);
  }

  private placed(id: MachineId): boolean {
    return this.deps.shards.shardOf(id) !== null;
  }

  private readonly specOf = (id: JobId): JobSpec | null => {
    const entry = this.deps.mirror.get(jobKey(id));
    return entry ? decodeSpec(entry.value) : null;
  };

  /** Of each class of services, its largest open job: as much must find room at once. */
  private headroom(): JobSpec[] {
    const largest = new Map<string, JobSpec>();
    for (const entry of this.deps.mirror.under(JOBS)) {
      const spec = decodeSpec(entry.value);
      if (!spec || spec.kind !== 'service') continue;
      const known = largest.get(spec.jobClass);
      if (!known || spec.tasks * spec.cpus > known.tasks * known.cpus) largest.set(spec.jobClass, spec);
    }
    return [...largest.values()];
  }

  private ask(
    machine: MachineId,
    from: ShardName,
    to: ShardName | null,
    shards: ReadonlyMap<ShardName, KnownShard>,
    now: Millis,
  ): void {
    if (now - (this.asked.get(machine) ?? -1e9) < TRANSFER_PAUSE_MS) return;
    this.asked.set(machine, now);
    const holder = shards.get(from)?.value.holder;
    if (holder !== undefined) this.deps.tell(holder, { kind: 'transfer', machine, to });
  }

  private async list(now: Millis): Promise<void> {
    this.listing = true;
    this.listAt = now;
    try {
      const rentals = await this.deps.cloud.list();
      if (!rentals) return;
      const at = this.deps.runtime.now();
      const listed = new Set<MachineId>();
      for (const r of rentals) {
        listed.add(r.id);
        if (this.gone.has(r.id)) continue;
        const known = this.learn(r.id, r.type, r.zone, r.spot, millis(at - r.ageS * 1000));
        known.rentedAt = millis(Math.min(known.rentedAt, at - r.ageS * 1000));
        known.listedAt = at;
        known.phase = r.phase;
      }
      // Lists lag and can go back: absence means something only after twice the lag.
      for (const [id, known] of this.known) {
        const seen = Math.max(known.listedAt ?? known.rentedAt, known.reportedAt ?? -1e9);
        if (!listed.has(id) && at - seen > 3 * this.deps.listLagMs + 5000) this.known.delete(id);
      }
    } finally {
      this.listing = false;
    }
  }

  /**
   * True once all blocks are known as they stood at one moment of this term. Only this leader puts machines that are in
   * no block into one; so what is in none then is in none until it says so. Before that, a machine that has just moved
   * from page to page may seem to be nowhere, and would be leased a second time, or given back with all that runs on it.
   */
  private async settled(term: Revision): Promise<boolean> {
    const { mirror, shards } = this.deps;
    const upTo = Math.max(shards.newest, term) as Revision;
    return (
      mirror.seenUpTo >= upTo || ((await mirror.reach(upTo, SETTLED_WITHIN_MS)) && mirror.seenUpTo >= shards.newest)
    );
  }

  private async grant(
    grants: readonly { readonly machine: MachineId; readonly to: ShardName }[],
    term: Revision,
  ): Promise<void> {
    const byShard = new Map<ShardName, MachineId[]>();
    for (const { machine, to } of grants) byShard.set(to, [...(byShard.get(to) ?? []), machine]);
    for (const [to, machines] of byShard) {
      for (let left: readonly MachineId[] = machines; left.length > 0;) {
        const given = await this.grantSome(to, left, term);
        // What was read to settle a write may be ahead of the watch: nothing more is known as of one moment.
        if (given === 'unknown') return;
        if (given.length === 0) break;
        left = left.filter((id) => !given.includes(id));
      }
    }
  }

  /** As many as one page or record takes; which they were. */
  private async grantSome(
    to: ShardName,
    machines: readonly MachineId[],
    term: Revision,
  ): Promise<readonly MachineId[] | 'unknown'> {
    const { state, mirror, runtime, log } = this.deps;
    const shards = this.deps.shards.all;
    const target = shards.get(to);
    if (!target || this.deps.leading() !== term) return [];
    const infos: BlockMachine[] = [];
    for (const id of machines) {
      const known = this.known.get(id);
      if (known && !this.placed(id))
        infos.push({ id, type: known.type, zone: known.zone, spot: known.spot, address: known.address });
    }
    const { limits } = state;
    const { taken, change } = enter(to, target, infos, {
      recordMost: blockLimit(limits.presentValueKb),
      pageBytes: limits.valueBytes,
    });
    if (taken.length === 0) return [];
    // Guarded by every shard: a machine must never be in two blocks, however late our view is. Of blocks in pages that
    // holds for their heads alone, and `settled` for the rest.
    const guards = new Map(
      [...shards].map(([name, { version }]) => [shardKey(name), { key: shardKey(name), version }]),
    );
    for (const { key, version } of change.guards) guards.set(key, { key, version: version as Revision });
    guards.set(LEADER, { key: LEADER, version: term });
    const result = await state.txn(Urgency.shard, [...guards.values()], change.ops);
    const ids = taken.map((m) => m.id);
    if (result.kind === 'ok') {
      log.info({ shard: to, machines: ids, term, revision: result.revision }, 'leased machines to a shard');
      mirror.wrote(change.ops, result.revision);
      return ids;
    }
    if (result.kind === 'unknown') {
      // It may still be applied, for as long as this term lasts, whatever we know of our lease meanwhile.
      const lasts = (): boolean => mirror.get(LEADER)?.version === term;
      for (const op of change.ops)
        if ('put' in op) {
          const absent = op.put.startsWith(PAGES) ? EMPTY_PAGE : undefined;
          await settleKey(op.put, state, mirror, runtime, lasts, (value) => value, absent);
        }
      return 'unknown';
    }
    return [];
  }

  /** Machines that their holder has given up for lost: deleted first, then taken out of the block. */
  private async removeLost(summaries: readonly ShardSummary[], now: Millis): Promise<void> {
    const lost = new Set<MachineId>();
    for (const s of summaries) {
      for (const m of s.machines) {
        if (!this.placed(m.id)) continue;
        const known = this.known.get(m.id);
        if (m.lost || (m.faulty && m.empty) || known?.phase === 'failed') lost.add(m.id);
      }
    }
    if (lost.size === 0 || !this.deps.cloud.mayCall()) return;
    const ids = [...lost].slice(0, 50);
    if (!(await this.deps.cloud.giveBack(ids))) return;
    this.deps.log.info({ machines: ids, term: this.term }, 'gave back machines that were lost or faulty');
    for (const id of ids) {
      this.bury(id);
      this.deps.trail?.note({ kind: 'returned', machine: id, why: 'lost or faulty' });
      this.asked.set(id, now);
    }
    await this.takeOut(new Set(ids));
  }

  private async takeOut(ids: ReadonlySet<MachineId>): Promise<void> {
    const { state, mirror, shards } = this.deps;
    for (let tries = 0; tries < 3; tries++) {
      const changes = [...shards.all].flatMap(([name, known]) => leave(name, known, ids).map(({ change }) => change));
      if (changes.length === 0) return;
      // Whole records go one by one: several of them may be more than a transaction takes.
      const whole = changes.some(({ ops }) => ops.some((op) => 'put' in op && !op.put.startsWith(PAGES)));
      const atOnce = whole ? 1 : Math.max(1, Math.min(state.limits.txnOps, PAGES_AT_ONCE));
      for (let at = 0; at < changes.length; at += atOnce) {
        const term = this.deps.leading();
        if (term === null) return;
        const batch = changes.slice(at, at + atOnce);
        const guards = [...batch.flatMap((change) => change.guards), { key: LEADER, version: term as number }];
        const ops = batch.flatMap((change) => change.ops);
        const result = await state.txn(Urgency.shard, guards, ops);
        if (result.kind === 'ok') {
          mirror.wrote(ops, result.revision);
          continue;
        }
        for (const { key } of batch.flatMap((change) => change.guards)) await reread(state, mirror, key);
      }
    }
  }

  /** Machines in no block that are to go: let go by their holder, never up, silent or failed. */
  private async returnLoose(now: Millis): Promise<void> {
    const ids: MachineId[] = [];
    for (const known of this.known.values()) {
      if (this.placed(known.id)) continue;
      const bootS = this.deps.types().get(known.type)?.bootS ?? 60;
      const ageS = (now - known.rentedAt) / 1000;
      const silentS = (now - Math.max(known.reportedAt ?? -1e9, this.startedAt)) / 1000;
      const letGo = now - (this.releasing.get(known.id) ?? -1e9) < 60_000;
      const neverUp = known.phase === 'booting' && known.reportedAt === null && ageS > bootS * 3.5 + 10;
      const silent = known.phase === 'running' && silentS > 25;
      if (letGo || neverUp || silent || known.phase === 'failed' || known.doomed) ids.push(known.id);
    }
    for (const [id, at] of this.releasing) if (now - at > 60_000) this.releasing.delete(id);
    if (ids.length === 0 || !this.deps.cloud.mayCall()) return;
    const batch = ids.slice(0, 50);
    // From the moment we ask, they may be gone: they are not leased any more.
    for (const id of batch) {
      const known = this.known.get(id);
      if (known) known.doomed = true;
    }
    if (!(await this.deps.cloud.giveBack(batch))) return;
    this.deps.log.info({ machines: batch, term: this.term }, 'gave machines back');
    for (const id of batch) {
      const why = this.releasing.has(id) ? 'idle' : 'in no block';
      this.bury(id);
      this.deps.trail?.note({ kind: 'returned', machine: id, why });
      this.releasing.delete(id);
    }
  }

  private async rent(wishes: readonly RentWish[], term: Revision): Promise<void> {
    if (this.renting) return;
    this.renting = true;
    try {
      // A wish for more than a call may ask for takes several; kinds take turns when calls are scarce.
      for (const wish of inCalls(wishes)) {
        if (this.refused.has(kindKey(wish.type, wish.zone, wish.spot))) continue;
        if (!this.deps.cloud.mayCall() || this.deps.leading() !== term) return;
        this.requests += 1;
        // The term is a revision and the number grows: no name is ever used twice.
        const name = `w${term}-${this.requests}`;
        const result = await this.deps.cloud.rent({ ...wish, name });
        const now = this.deps.runtime.now();
        if (result.kind === 'rented') {
          const { type, zone, spot } = wish;
          for (const id of result.ids) {
            this.learn(id, type, zone, spot, now);
            this.deps.trail?.note({ kind: 'rented', machine: id, type, zone, spot });
          }
          this.deps.log.info({ ...wish, got: result.ids.length }, 'rented machines');
        }
        if (result.kind === 'no-capacity' || (result.kind === 'rented' && result.ids.length < wish.count)) {
          this.refused.set(kindKey(wish.type, wish.zone, wish.spot), now);
          const { type, zone, spot, count: wanted } = wish;
          const got = result.kind === 'rented' ? result.ids.length : 0;
          this.deps.trail?.note({ kind: 'short', type, zone, spot, wanted, got });
        }
      }
    } finally {
      this.renting = false;
    }
  }
}
