import type { CloudClient, MachineType, Rental } from '../cloud/index.js';
import { decodeJobSpec, type JobSpec } from '../jobs/index.js';
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
  maxBlockMachines,
  encodePage,
  addMachines,
  settlePendingWrites,
  type BlockMachine,
  type KnownShard,
  type ShardDirectory,
} from '../membership/index.js';
import type { PeerMessage, ShardSummary } from '../peers/index.js';
import type { UpcomingJob } from '../pipelines/index.js';
import type { Trail } from '../trail/index.js';
import {
  jobKey,
  JOBS_PREFIX,
  LEADER_KEY,
  PAGES_PREFIX,
  shardKey,
  Urgency,
  type Mirror,
  type StateClient,
} from '../state/index.js';
import type { WorkerMessage } from '../workers/index.js';
import { removeFromBlocks } from './block-removal.js';
import { machineKindKey, type PlannedRent, type UnassignedMachine } from './capacity.js';
import { ASSIGNMENT_POLICY, planAssignments } from './plan.js';
import { splitIntoCalls } from './rents.js';
import { SilentMachines } from './silent-machines.js';

/** What the leader needs from the rest of the node. */
export interface LeaderDeps {
  readonly self: NodeName;
  readonly state: StateClient;
  readonly mirror: Mirror;
  readonly cloud: CloudClient;
  readonly runtime: Runtime;
  readonly log: Logger;
  /** Event trail of this node; null when events are not recorded. */
  readonly trail: Trail | null;
  /** How far the cloud's list of machines may lag behind its actual state, in milliseconds. */
  readonly listLagMs: number;
  readonly shards: ShardDirectory;
  /** Returns this node's term (the revision of the leader key), or null while it is not the leader. */
  leaderTerm(): Revision | null;
  /** Returns the latest summary that each shard's holder has sent. */
  summaries(): readonly ShardSummary[];
  /** Returns jobs whose dependencies are expected to be done soon. */
  upcomingJobs(): readonly UpcomingJob[];
  /** Returns the machine types that the cloud offers, by name. */
  types(): ReadonlyMap<string, MachineType>;
  /** Sends a message to another node, or handles it locally if the holder is this node. */
  sendToPeer(holder: NodeName, message: PeerMessage): void;
  /** Requests another round of the leader soon. */
  requestRound(): void;
}

/** A machine that the cloud has listed or rented out, or whose worker has reported, during this term. */
interface KnownMachine {
  readonly id: MachineId;
  type: string;
  zone: string;
  spot: boolean;
  rentedAt: Millis;
  /** When its worker last reported while the machine was in no block; null: never. */
  reportedAt: Millis | null;
  /** Address of its worker, as listed by the cloud or reported; empty until then. */
  address: string;
  /** When the cloud's list last contained it; null: never. */
  listedAt: Millis | null;
  phase: Rental['phase'];
  /** Its deletion has been requested, so it must not be assigned to a shard. */
  deletionRequested: boolean;
}

const LIST_INTERVAL_MS = 2500;
/** A machine in no block is probed when its worker has not reported for this long. */
const SILENT_MACHINE_S = 25;
/** How long a kind of machine is not rented again after the cloud could not supply all that were requested. */
const SOLD_OUT_KIND_BACKOFF_MS = 15_000;
/** Minimum time between two transfer requests for the same machine. */
const TRANSFER_RETRY_MS = 3000;
/** How long a round waits for the watch to catch up before the round is skipped. */
const CATCH_UP_TIMEOUT_MS = 1500;
/** Written in place of a page that does not exist yet. Its epoch 0 is one that no head record refers to. */
const EMPTY_PAGE = encodePage(0, []);

/**
 * The leader's tasks: assigning machines to the shards' blocks, and renting and returning machines to control the size
 * and price of the fleet. A block is the set of machines that are assigned to one shard. While there is no leader, only
 * these tasks stop.
 */
export class Leader {
  /** Machines known in this term, whether in a block or not. */
  private readonly known = new Map<MachineId, KnownMachine>();
  /** When the cloud last could not supply all requested machines of a kind, by the key of the kind. */
  private readonly soldOutKinds = new Map<string, Millis>();
  /** When a transfer or release of a machine was last requested from its holder, or a lost machine was deleted. */
  private readonly lastRequestAt = new Map<MachineId, Millis>();
  /** When the holder was asked to release an idle machine that is to be returned to the cloud. */
  private readonly releaseAskedAt = new Map<MachineId, Millis>();
  /**
   * Machines that are certainly deleted. The cloud's lists lag and may still contain them; such entries are ignored.
   */
  private readonly gone = new Set<MachineId>();
  private readonly silentMachines: SilentMachines;
  private term: Revision | null = null;
  private lastListAt = millis(-1e9);
  /** Number of rent calls made by this process. */
  private rentCalls = 0;
  /** When the current term was first seen here. */
  private startedAt: Millis;
  private listInFlight = false;
  private rentInFlight = false;
  /**
   * Submissions have kept an assignment from being written since nothing was left to assign. Assignments then take turns
   * with submissions instead of waiting for all of them.
   */
  private assignmentRefused = false;

  constructor(private readonly deps: LeaderDeps) {
    this.startedAt = deps.runtime.now();
    this.silentMachines = new SilentMachines({
      runtime: deps.runtime,
      heard: (message) => {
        this.recordUnassignedWorker(message);
      },
      requestRound: () => {
        deps.requestRound();
      },
    });
  }

  /** Records the report of a worker whose machine is in no block: the machine is up and may be assigned. */
  recordUnassignedWorker(message: WorkerMessage): void {
    const now = this.deps.runtime.now();
    const isNew = !this.known.get(message.machine)?.reportedAt;
    const known = this.getOrAddMachine(message.machine, message.type, message.zone, message.spot, now);
    if (isNew) this.deps.requestRound();
    known.reportedAt = now;
    known.address = message.address;
  }

  /** Returns the entry of a machine, adding a booting one if it is unknown. */
  private getOrAddMachine(id: MachineId, type: string, zone: string, spot: boolean, rentedAt: Millis): KnownMachine {
    let known = this.known.get(id);
    if (!known) {
      known = {
        ...{ id, type, zone, spot, rentedAt },
        ...{ reportedAt: null, address: '', listedAt: null, phase: 'booting', deletionRequested: false },
      };
      this.known.set(id, known);
    }
    return known;
  }

  /** Moves a machine to the deleted ones, of which the latest 2000 are remembered. */
  private markDeleted(id: MachineId): void {
    this.known.delete(id);
    this.gone.add(id);
    if (this.gone.size > 2000) this.gone.delete([...this.gone][0] ?? id);
  }

  /** Runs one reconciliation of machines, blocks and rentals; does nothing while this node is not the leader. */
  async round(): Promise<void> {
    const term = this.deps.leaderTerm();
    if (term === null) {
      this.term = null;
      return;
    }
    // Machines in a record that this release cannot read are in no known block and would be mistaken for unassigned ones.
    if (this.deps.shards.unreadable.size > 0) return;
    const now = this.deps.runtime.now();
    if (term !== this.term) {
      this.term = term;
      this.deps.trail?.record({ kind: 'leads' });
      this.known.clear();
      this.startedAt = now;
      this.lastListAt = millis(-1e9);
    }
    if (now - this.lastListAt > LIST_INTERVAL_MS && !this.listInFlight && this.deps.cloud.canCall())
      void this.list(now);
    const shards = this.deps.shards.all;
    const summaries = this.deps.summaries().filter((s) => shards.get(s.shard)?.value.holder === s.holder);
    await this.returnLost(summaries, now);
    if (!(await this.blocksAreConsistent(term))) return;
    await this.returnUnassigned(now);
    if (this.deps.types().size === 0 || !(await this.blocksAreConsistent(term))) return;

    const unassignedMachines: UnassignedMachine[] = [];
    for (const known of this.known.values()) {
      if (
        this.isInBlock(known.id) ||
        known.deletionRequested ||
        known.phase === 'failed' ||
        this.releaseAskedAt.has(known.id)
      )
        continue;
      const up = known.reportedAt !== null && now - known.reportedAt < 10_000;
      unassignedMachines.push({ ...known, up, ageS: (now - known.rentedAt) / 1000 });
    }
    for (const [key, at] of this.soldOutKinds) if (now - at > SOLD_OUT_KIND_BACKOFF_MS) this.soldOutKinds.delete(key);
    const plan = planAssignments({
      shards: summaries,
      unassigned: unassignedMachines,
      types: this.deps.types(),
      specOf: this.specOf,
      refused: new Set(this.soldOutKinds.keys()),
      headroom: this.serviceHeadroom(),
      upcoming: this.deps.upcomingJobs(),
      ...ASSIGNMENT_POLICY,
      machineAgeS: (id) => {
        const known = this.known.get(id);
        return known ? (now - known.rentedAt) / 1000 : 0;
      },
    });
    if (plan.assignments.length === 0) this.assignmentRefused = false;
    await this.assignMachines(plan.assignments, term);
    for (const { machine, from, to } of plan.transfers) this.requestTransfer(machine, from, to, shards, now);
    for (const { machine, from } of plan.releases) {
      this.deps.log.info({ machine, from }, 'asking the holder to release an idle machine');
      this.releaseAskedAt.set(machine, now);
      this.requestTransfer(machine, from, null, shards, now);
    }
    // A new leader waits up to 10 s for the cloud's list before it rents: renting the same capacity twice costs money.
    const rentalsKnown = [...this.known.values()].some((k) => k.listedAt !== null) || now - this.startedAt > 10_000;
    if (rentalsKnown && plan.rents.length > 0) void this.rentMachines(plan.rents, term);
  }

  /** Returns whether the machine is in a block. */
  private isInBlock(id: MachineId): boolean {
    return this.deps.shards.shardOf(id) !== null;
  }

  private readonly specOf = (id: JobId): JobSpec | null => {
    const entry = this.deps.mirror.get(jobKey(id));
    return entry ? decodeJobSpec(entry.value) : null;
  };

  /**
   * Returns the largest open job of each service class. Capacity for one more such job must be available at any time.
   */
  private serviceHeadroom(): JobSpec[] {
    const largest = new Map<string, JobSpec>();
    for (const entry of this.deps.mirror.entriesIn(JOBS_PREFIX)) {
      const spec = decodeJobSpec(entry.value);
      if (!spec || spec.kind !== 'service') continue;
      const known = largest.get(spec.jobClass);
      if (!known || spec.tasks * spec.cpus > known.tasks * known.cpus) largest.set(spec.jobClass, spec);
    }
    return [...largest.values()];
  }

  /** Asks a machine's holder to assign it to another shard, or to release it when `to` is null. */
  private requestTransfer(
    machine: MachineId,
    from: ShardName,
    to: ShardName | null,
    shards: ReadonlyMap<ShardName, KnownShard>,
    now: Millis,
  ): void {
    if (now - (this.lastRequestAt.get(machine) ?? -1e9) < TRANSFER_RETRY_MS) return;
    this.lastRequestAt.set(machine, now);
    const holder = shards.get(from)?.value.holder;
    if (holder !== undefined) this.deps.sendToPeer(holder, { kind: 'transfer', machine, to });
  }

  /** Updates the known machines from the cloud's list. */
  private async list(now: Millis): Promise<void> {
    this.listInFlight = true;
    this.lastListAt = now;
    try {
      const rentals = await this.deps.cloud.list();
      if (!rentals) return;
      const at = this.deps.runtime.now();
      const listed = new Set<MachineId>();
      for (const r of rentals) {
        listed.add(r.id);
        if (this.gone.has(r.id)) continue;
        const known = this.getOrAddMachine(r.id, r.type, r.zone, r.spot, millis(at - r.ageS * 1000));
        known.rentedAt = millis(Math.min(known.rentedAt, at - r.ageS * 1000));
        known.listedAt = at;
        if (known.address === '') known.address = r.address;
        known.phase = r.phase;
      }
      // Lists lag and can go back in time, so a machine's absence is conclusive only after twice the lag. The check
      // below waits for three times the lag plus 5 s.
      for (const [id, known] of this.known) {
        const seen = Math.max(known.listedAt ?? known.rentedAt, known.reportedAt ?? -1e9);
        if (!listed.has(id) && at - seen > 3 * this.deps.listLagMs + 5000) this.known.delete(id);
      }
    } finally {
      this.listInFlight = false;
    }
  }

  /**
   * Returns true once all blocks are known as of one revision of this term. Only this leader adds unassigned machines to
   * blocks, so a machine that is in no block at that revision stays unassigned until this leader assigns it. Before that,
   * a machine that has just moved from one page to another may appear to be in no block. It would then be assigned a
   * second time, or returned to the cloud together with everything that runs on it.
   */
  private async blocksAreConsistent(term: Revision): Promise<boolean> {
    const { mirror, shards } = this.deps;
    const upTo = Math.max(shards.newestRevision, term) as Revision;
    return (
      mirror.seenUpTo >= upTo ||
      ((await mirror.reach(upTo, CATCH_UP_TIMEOUT_MS)) && mirror.seenUpTo >= shards.newestRevision)
    );
  }

  /** Assigns unassigned machines to shards. */
  private async assignMachines(
    assignments: readonly { readonly machine: MachineId; readonly to: ShardName }[],
    term: Revision,
  ): Promise<void> {
    const byShard = new Map<ShardName, MachineId[]>();
    for (const { machine, to } of assignments) byShard.set(to, [...(byShard.get(to) ?? []), machine]);
    for (const [to, machines] of byShard) {
      for (let left: readonly MachineId[] = machines; left.length > 0;) {
        const assigned = await this.assignBatch(to, left, term);
        // Resolving a write of unknown outcome reads keys ahead of the watch, so the blocks are no longer known as of
        // one revision.
        if (assigned === 'unknown') return;
        if (assigned.length === 0) break;
        left = left.filter((id) => !assigned.includes(id));
      }
    }
  }

  /**
   * Assigns as many of the machines to a shard as fit into one page or record. Returns those assigned, an empty list if
   * the write was refused or the term has ended, or 'unknown' after a write of unknown outcome.
   */
  private async assignBatch(
    to: ShardName,
    machines: readonly MachineId[],
    term: Revision,
  ): Promise<readonly MachineId[] | 'unknown'> {
    const { state, mirror, runtime, log } = this.deps;
    const shards = this.deps.shards.all;
    const target = shards.get(to);
    if (!target || this.deps.leaderTerm() !== term) return [];
    const candidates: BlockMachine[] = [];
    for (const id of machines) {
      const known = this.known.get(id);
      if (known && !this.isInBlock(id))
        candidates.push({ id, type: known.type, zone: known.zone, spot: known.spot, address: known.address });
    }
    const { limits } = state;
    const { taken, change } = addMachines(to, target, candidates, {
      maxRecordMachines: maxBlockMachines(limits.currentMaxValueKb),
      pageBytes: limits.maxValueBytes,
    });
    if (taken.length === 0) return [];
    // The transaction is guarded by the record version of every shard: a machine must never be in two blocks, however
    // stale this node's view is. For blocks stored in pages, the guards cover only their head records, and
    // `blocksAreConsistent` covers the pages.
    const guards = new Map(
      [...shards].map(([name, { version }]) => [shardKey(name), { key: shardKey(name), version }]),
    );
    for (const { key, version } of change.guards) guards.set(key, { key, version: version as Revision });
    guards.set(LEADER_KEY, { key: LEADER_KEY, version: term });
    const urgency = this.assignmentRefused ? Urgency.accept : Urgency.shard;
    const result = await state.txn(urgency, [...guards.values()], change.ops);
    this.assignmentRefused ||= result.kind === 'refused';
    const ids = taken.map((m) => m.id);
    if (result.kind === 'ok') {
      log.info({ shard: to, machines: ids, term, revision: result.revision }, 'assigned machines to a shard');
      mirror.applyTxn(change.ops, result.revision);
      return ids;
    }
    if (result.kind === 'unknown') {
      // The write may still be applied for as long as this term lasts, regardless of what this node meanwhile knows
      // about its own lease.
      const termLasts = (): boolean => mirror.get(LEADER_KEY)?.version === term;
      for (const op of change.ops)
        if ('put' in op) {
          const absent = op.put.startsWith(PAGES_PREFIX) ? EMPTY_PAGE : undefined;
          await settlePendingWrites(op.put, state, mirror, runtime, termLasts, (value) => value, absent);
        }
      return 'unknown';
    }
    return [];
  }

  /**
   * Returns lost machines to the cloud: those that their holder reports as lost, or as faulty and empty, and those that
   * the cloud reports as failed. They are deleted first and then removed from their blocks.
   */
  private async returnLost(summaries: readonly ShardSummary[], now: Millis): Promise<void> {
    const lost = new Set<MachineId>();
    for (const s of summaries) {
      for (const m of s.machines) {
        if (!this.isInBlock(m.id)) continue;
        const known = this.known.get(m.id);
        if (m.lost || (m.faulty && m.empty) || known?.phase === 'failed') lost.add(m.id);
      }
    }
    if (lost.size === 0 || !this.deps.cloud.canCall()) return;
    const ids = [...lost].slice(0, 50);
    if (!(await this.deps.cloud.returnMachines(ids))) return;
    this.deps.log.info({ machines: ids, term: this.term }, 'gave back machines that were lost or faulty');
    for (const id of ids) {
      this.markDeleted(id);
      this.deps.trail?.record({ kind: 'returned', machine: id, why: 'lost or faulty' });
      this.lastRequestAt.set(id, now);
    }
    await removeFromBlocks(this.deps, new Set(ids));
  }

  /**
   * Returns unassigned machines to the cloud: those that their holder has released, that never came up, that have gone
   * silent or that failed, and those whose deletion was requested before.
   */
  private async returnUnassigned(now: Millis): Promise<void> {
    const ids: MachineId[] = [];
    for (const known of this.known.values()) {
      if (this.isInBlock(known.id)) continue;
      const bootS = this.deps.types().get(known.type)?.bootS ?? 60;
      const ageS = (now - known.rentedAt) / 1000;
      const silentS = (now - Math.max(known.reportedAt ?? -1e9, this.startedAt)) / 1000;
      const releaseAsked = now - (this.releaseAskedAt.get(known.id) ?? -1e9) < 60_000;
      const neverUp = known.phase === 'booting' && known.reportedAt === null && ageS > bootS * 3.5 + 10;
      const ended = releaseAsked || neverUp || known.phase === 'failed' || known.deletionRequested;
      const silent = known.phase === 'running' && silentS > SILENT_MACHINE_S;
      if (ended || (silent && this.silentMachines.isGone(known.id, known.address))) ids.push(known.id);
    }
    for (const [id, at] of this.releaseAskedAt) if (now - at > 60_000) this.releaseAskedAt.delete(id);
    if (ids.length === 0 || !this.deps.cloud.canCall()) return;
    const batch = ids.slice(0, 50);
    // The machines may be deleted from the moment of the request, so they are not assigned any more.
    for (const id of batch) {
      const known = this.known.get(id);
      if (known) known.deletionRequested = true;
    }
    if (!(await this.deps.cloud.returnMachines(batch))) return;
    this.deps.log.info({ machines: batch, term: this.term }, 'returned unassigned machines to the cloud');
    for (const id of batch) {
      const why = this.releaseAskedAt.has(id) ? 'idle' : 'in no block';
      this.markDeleted(id);
      this.deps.trail?.record({ kind: 'returned', machine: id, why });
      this.releaseAskedAt.delete(id);
    }
  }

  /** Rents machines from the cloud as planned, within its call rate and as long as the term lasts. */
  private async rentMachines(rents: readonly PlannedRent[], term: Revision): Promise<void> {
    if (this.rentInFlight) return;
    this.rentInFlight = true;
    try {
      // A request above the limit of one call is split into several calls. The kinds take turns, so that each gets some
      // calls when the call rate is limited.
      for (const rent of splitIntoCalls(rents)) {
        if (this.soldOutKinds.has(machineKindKey(rent.type, rent.zone, rent.spot))) continue;
        if (!this.deps.cloud.canCall() || this.deps.leaderTerm() !== term) return;
        this.rentCalls += 1;
        // The term is a revision and the counter only grows, so a name is never used twice.
        const name = `w${term}-${this.rentCalls}`;
        const result = await this.deps.cloud.rent({ ...rent, name });
        const now = this.deps.runtime.now();
        if (result.kind === 'rented') {
          const { type, zone, spot } = rent;
          for (const id of result.ids) {
            this.getOrAddMachine(id, type, zone, spot, now);
            this.deps.trail?.record({ kind: 'rented', machine: id, type, zone, spot });
          }
          this.deps.log.info({ ...rent, got: result.ids.length }, 'rented machines');
        }
        if (result.kind === 'no-capacity' || (result.kind === 'rented' && result.ids.length < rent.count)) {
          this.soldOutKinds.set(machineKindKey(rent.type, rent.zone, rent.spot), now);
          const { type, zone, spot, count: wanted } = rent;
          const got = result.kind === 'rented' ? result.ids.length : 0;
          this.deps.trail?.record({ kind: 'short', type, zone, spot, wanted, got });
        }
      }
    } finally {
      this.rentInFlight = false;
    }
  }
}
