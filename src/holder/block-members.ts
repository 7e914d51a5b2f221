import { millis, type MachineId, type Millis, type Revision, type ShardName } from '../kernel/index.js';
import type { BlockMachine, ShardValue } from '../membership/index.js';
import type { HolderDeps } from './deps.js';
import type { HeldMachine } from './held-machine.js';

/**
 * A removal from the block within this time after this holder reported the machine as lost proves that the leader has
 * deleted it.
 */
const LOSS_REPORT_VALID_MS = 30_000;
/** Report intervals after which the new holder of a missing machine has stopped the tasks that it does not know. */
const REPORTS_UNTIL_STOPPED = 2;
/** Maximum number of machines named in a log line. */
const MAX_MACHINES_LOGGED = 20;

/** Why it is certain that no task of this shard runs on a machine that is no longer in the block. */
type DepartureProof = 'nothing is there' | 'given up and deleted';

/**
 * Returns why no task of this shard can run on the machine any more, or null when tasks may still run there. Absence
 * from the block proves nothing, as the writer of the block may have seen an older version. `fenced`: the tasks that a
 * previous holder had there are known.
 */
function departureProof(machine: HeldMachine, fenced: boolean, now: Millis): DepartureProof | null {
  if (fenced && machine.tracker.empty) return 'nothing is there';
  const { reportedLostAt } = machine;
  return reportedLostAt !== null && now - reportedLostAt < LOSS_REPORT_VALID_MS ? 'given up and deleted' : null;
}

/**
 * When no task of this shard can run on a missing machine any more: its lease has expired, or its new holder has
 * stopped the tasks that it does not know.
 */
export const missingMachineEmptyAt = (machine: HeldMachine, leaseMs: number, reportMs: number): Millis =>
  millis(machine.tracker.leaseExpiresAt(leaseMs) + REPORTS_UNTIL_STOPPED * reportMs);

/** Key and revision of a change in the state service that adds or removes machines. */
export interface ChangeSource {
  readonly key: string;
  readonly revision: Revision;
}

/** A machine and how many tasks the shard had on it at a change. */
interface MachineTaskCount {
  readonly id: MachineId;
  readonly tasks: number;
}

const countTasks = ({ id, active }: HeldMachine): MachineTaskCount => ({ id, tasks: active.size });

/** Callbacks of `BlockMembers` into the shard. */
export interface BlockMemberHooks {
  /** Creates the state of a machine that joins the block. `base` is the revision that its fencing tokens start from. */
  createMachine(info: BlockMachine, base: Revision): HeldMachine;
  /** Whether the tasks that previous holders started on the machine are known. */
  isFenced(machine: HeldMachine): boolean;
  /** Called when the machine leaves this holder and no task of the shard is on it. */
  onMachineDeparted(machine: HeldMachine, why: string): void;
}

/**
 * Tracks the machines of a shard as they join and leave its block. A machine that disappears from the block while it
 * may run tasks is kept as missing: its absence alone does not prove that the tasks have stopped.
 */
export class BlockMembers {
  /** Machines of the block, and machines missing from it that may still run tasks of this shard. */
  readonly machines = new Map<MachineId, HeldMachine>();

  constructor(
    private readonly shard: ShardName,
    private readonly claimedAt: Revision,
    private readonly deps: Pick<HolderDeps, 'log' | 'runtime' | 'trail'>,
    private readonly hooks: BlockMemberHooks,
  ) {}

  /** Returns a machine if it is in the block. */
  findPresent(id: MachineId): HeldMachine | undefined {
    const machine = this.machines.get(id);
    return machine?.isMissing === true ? undefined : machine;
  }

  /** Number of machines that are not in the block but may still run tasks of this shard. */
  get missingCount(): number {
    let missing = 0;
    for (const machine of this.machines.values()) if (machine.isMissing) missing += 1;
    return missing;
  }

  /** Adds the machines of the block at the claim. */
  initialize(value: ShardValue): void {
    for (const info of value.machines) this.join(info, this.claimedAt);
  }

  /** Applies the block as it is stored now. */
  applyStored(value: ShardValue, source: ChangeSource): void {
    const wanted = new Set(value.machines.map(({ id }) => id));
    const { joined, back } = this.addMachines(value.machines, source.revision);
    const { departed, missing } = this.removeMachines(wanted);
    this.logChange(source, joined, 'machines have joined the block');
    this.logChange(source, back, 'machines that were missing are back in the block');
    for (const [why, machines] of departed)
      this.logChange({ ...source, why }, machines, 'machines have left the block');
    this.logChange(
      source,
      missing,
      'machines are missing from the block: their tasks count as running until their leases expire',
    );
  }

  private addMachines(
    infos: readonly BlockMachine[],
    revision: Revision,
  ): { readonly joined: MachineTaskCount[]; readonly back: MachineTaskCount[] } {
    const joined: MachineTaskCount[] = [];
    const back: MachineTaskCount[] = [];
    for (const info of infos) {
      const machine = this.machines.get(info.id);
      if (!machine) joined.push(countTasks(this.join(info, revision)));
      else if (machine.isMissing) back.push(countTasks(this.rejoin(machine, revision)));
      else if (machine.tracker.tokensAreShort) machine.tracker.rebaseToken(revision);
    }
    return { joined, back };
  }

  private join(info: BlockMachine, revision: Revision): HeldMachine {
    // A page may be older than the claim, but this holder's tokens must be higher than those of the previous holder.
    const machine = this.hooks.createMachine(info, revision > this.claimedAt ? revision : this.claimedAt);
    this.machines.set(info.id, machine);
    const { id, type, zone, spot } = info;
    this.deps.trail?.record({ kind: 'joined', machine: id, type, zone, spot });
    return machine;
  }

  /** Takes back a machine that was missing, with tokens above all that other holders used for it in between. */
  private rejoin(machine: HeldMachine, revision: Revision): HeldMachine {
    machine.isMissing = false;
    machine.tracker.rebaseToken(revision);
    return machine;
  }

  /** Removes machines that are no longer in the block, or marks them as missing if tasks may still run there. */
  private removeMachines(wanted: ReadonlySet<MachineId>): {
    readonly departed: ReadonlyMap<DepartureProof, MachineTaskCount[]>;
    readonly missing: MachineTaskCount[];
  } {
    const now = this.deps.runtime.now();
    const departed = new Map<DepartureProof, MachineTaskCount[]>();
    const missing: MachineTaskCount[] = [];
    for (const [id, machine] of this.machines) {
      if (wanted.has(id) || machine.isMissing) continue;
      const proof = departureProof(machine, this.hooks.isFenced(machine), now);
      const counted = countTasks(machine);
      if (proof === null) {
        machine.isMissing = true;
        machine.leaving = null;
        missing.push(counted);
        continue;
      }
      const list = departed.get(proof);
      if (list) list.push(counted);
      else departed.set(proof, [counted]);
      this.drop(machine, 'machine gone');
    }
    return { departed, missing };
  }

  /** Removes a missing machine after its lease: no task of this shard can run there any more. */
  expire(machine: HeldMachine): void {
    this.deps.log.info({ shard: this.shard, machine: machine.id }, 'lease of a missing machine has expired');
    this.drop(machine, 'lease over');
  }

  private drop(machine: HeldMachine, why: string): void {
    machine.tracker.expireLease();
    this.hooks.onMachineDeparted(machine, why);
    machine.commandSender.close();
    this.machines.delete(machine.id);
  }

  private logChange(
    source: ChangeSource & { readonly why?: DepartureProof },
    machines: readonly MachineTaskCount[],
    what: string,
  ): void {
    if (machines.length === 0) return;
    const named = machines.slice(0, MAX_MACHINES_LOGGED).map(({ id }) => id);
    const tasks = machines.reduce((sum, machine) => sum + machine.tasks, 0);
    const { shard } = this;
    this.deps.log.info({ shard, ...source, machines: named, count: machines.length, tasks }, what);
  }
}
