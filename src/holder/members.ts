import { millis, type MachineId, type Millis, type Revision, type ShardName } from '../kernel/index.js';
import type { BlockMachine, ShardValue } from '../membership/index.js';
import type { HolderDeps } from './deps.js';
import type { HeldMachine } from './machine.js';

/** A machine that this holder has given up is deleted and taken out of the block within this time. */
const GIVEN_UP_FOR_MS = 30_000;
/** Reports by which whoever has a missing machine now has stopped what it doesn't know there. */
const REPORTS_TO_STOP = 2;
/** A log line names so many machines at most. */
const NAMED_IN_LOG = 20;

/** How it is known that nothing of this shard runs on a machine that is not in the block any more. */
type DepartureProof = 'nothing is there' | 'given up and deleted';

/**
 * null: something may run there. Not to be in the block proves nothing: whoever wrote the block may have seen an older one.
 * `known`: what an earlier holder had there is known.
 */
function departureProof(machine: HeldMachine, known: boolean, now: Millis): DepartureProof | null {
  if (known && machine.belief.empty) return 'nothing is there';
  const { givenUpAt } = machine;
  return givenUpAt !== null && now - givenUpAt < GIVEN_UP_FOR_MS ? 'given up and deleted' : null;
}

/** From when on nothing can run on a missing machine, whoever has it now: its lease has run out, or all there was stopped. */
export const missingUntil = (machine: HeldMachine, leaseMs: number, reportMs: number): Millis =>
  millis(machine.belief.expiresAt(leaseMs) + REPORTS_TO_STOP * reportMs);

/** A change of the state service by which machines come and go. */
export interface BlockSource {
  readonly key: string;
  readonly revision: Revision;
}

/** A machine, and how many tasks of the shard may have been there at a change. */
interface Counted {
  readonly id: MachineId;
  readonly tasks: number;
}

const counted = ({ id, active }: HeldMachine): Counted => ({ id, tasks: active.size });

export interface MemberHooks {
  /** A machine has come into the block; what is commanded there must be newer than this revision. */
  make(info: BlockMachine, base: Revision): HeldMachine;
  /** What earlier holders have started on the machine is known. */
  isKnown(machine: HeldMachine): boolean;
  /** Nothing of this shard is on the machine, which is the holder's no more. */
  release(machine: HeldMachine, why: string): void;
}

/** Which machines a holder has: who joins and leaves by what change, and what is kept of those that are missing. */
export class BlockMembers {
  /** Those of the block, and those missing from it on which something of this shard may run. */
  readonly machines = new Map<MachineId, HeldMachine>();

  constructor(
    private readonly shard: ShardName,
    private readonly claimedAt: Revision,
    private readonly deps: Pick<HolderDeps, 'log' | 'runtime' | 'trail'>,
    private readonly hooks: MemberHooks,
  ) {}

  /** The machine, if it is in the block. */
  present(id: MachineId): HeldMachine | undefined {
    const machine = this.machines.get(id);
    return machine?.missing === true ? undefined : machine;
  }

  /** How many machines are not in the block while something of this shard may run on them. */
  get missing(): number {
    let missing = 0;
    for (const machine of this.machines.values()) if (machine.missing) missing += 1;
    return missing;
  }

  /** The block at the claim. */
  begin(value: ShardValue): void {
    for (const info of value.machines) this.join(info, this.claimedAt);
  }

  /** The block as it is now stored. */
  follow(value: ShardValue, source: BlockSource): void {
    const wanted = new Set(value.machines.map(({ id }) => id));
    const { joined, back } = this.admit(value.machines, source.revision);
    const { left, gone } = this.dismiss(wanted);
    this.tell(source, joined, 'machines have joined the block');
    this.tell(source, back, 'machines that were missing are back in the block');
    for (const [why, machines] of left) this.tell({ ...source, why }, machines, 'machines have left the block');
    this.tell(
      source,
      gone,
      'machines are missing from the block: what may run there counts until their leases are over',
    );
  }

  private admit(
    infos: readonly BlockMachine[],
    revision: Revision,
  ): { readonly joined: Counted[]; readonly back: Counted[] } {
    const joined: Counted[] = [];
    const back: Counted[] = [];
    for (const info of infos) {
      const machine = this.machines.get(info.id);
      if (!machine) joined.push(counted(this.join(info, revision)));
      else if (machine.missing) back.push(counted(this.rejoin(machine, revision)));
    }
    return { joined, back };
  }

  private join(info: BlockMachine, revision: Revision): HeldMachine {
    // A page may be older than the claim: what we command must be newer than what the holder before did.
    const machine = this.hooks.make(info, revision > this.claimedAt ? revision : this.claimedAt);
    this.machines.set(info.id, machine);
    const { id, type, zone, spot } = info;
    this.deps.trail?.note({ kind: 'joined', machine: id, type, zone, spot });
    return machine;
  }

  private rejoin(machine: HeldMachine, revision: Revision): HeldMachine {
    machine.missing = false;
    machine.belief.rebase(revision);
    return machine;
  }

  private dismiss(wanted: ReadonlySet<MachineId>): {
    readonly left: ReadonlyMap<DepartureProof, Counted[]>;
    readonly gone: Counted[];
  } {
    const now = this.deps.runtime.now();
    const left = new Map<DepartureProof, Counted[]>();
    const gone: Counted[] = [];
    for (const [id, machine] of this.machines) {
      if (wanted.has(id) || machine.missing) continue;
      const proof = departureProof(machine, this.hooks.isKnown(machine), now);
      const departed = counted(machine);
      if (proof === null) {
        machine.missing = true;
        machine.leaving = null;
        gone.push(departed);
        continue;
      }
      const list = left.get(proof);
      if (list) list.push(departed);
      else left.set(proof, [departed]);
      this.drop(machine, 'machine gone');
    }
    return { left, gone };
  }

  /** The lease of a missing machine is over: nothing runs there any more. */
  expire(machine: HeldMachine): void {
    this.deps.log.info({ shard: this.shard, machine: machine.id }, 'the lease of a missing machine is over');
    this.drop(machine, 'lease over');
  }

  private drop(machine: HeldMachine, why: string): void {
    machine.belief.expire();
    this.hooks.release(machine, why);
    machine.commandSender.close();
    this.machines.delete(machine.id);
  }

  private tell(
    source: BlockSource & { readonly why?: DepartureProof },
    machines: readonly Counted[],
    what: string,
  ): void {
    if (machines.length === 0) return;
    const named = machines.slice(0, NAMED_IN_LOG).map(({ id }) => id);
    const tasks = machines.reduce((sum, machine) => sum + machine.tasks, 0);
    const { shard } = this;
    this.deps.log.info({ shard, ...source, machines: named, count: machines.length, tasks }, what);
  }
}
