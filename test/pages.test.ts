import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { incarnation, machineId, nodeName, revision, shardName, type ShardName } from '../src/kernel/index.js';
import {
  decodePage,
  decodeShard,
  encodePage,
  encodeShard,
  addMachines,
  moveToPagesGuards,
  moveToRecordGuards,
  layOutPages,
  removeMachines,
  ShardDirectory,
  stageChanges,
  type BlockMachine,
  type KnownShard,
} from '../src/membership/index.js';
import {
  LEADER_KEY,
  LIVE_PREFIX,
  Mirror,
  PAGES_PREFIX,
  shardKey,
  StateClient,
  storedSizeBytes,
} from '../src/state/index.js';
import type { Guard, Op } from '../src/state/index.js';
import { SimulationHarness } from '../packages/region/test/simulation-harness.js';

const SHARDS = ['n-0', 'n-1'].map(shardName);
const MACHINES = Array.from({ length: 6 }, (_, i) => `m-${i}`);
/** Page limits of the processes: two machines fill a page of the first two, one machine fills a page of the third. */
const PAGE_BYTES = [150, 150, 115];
/** Limit of the state service on the guards in one transaction. */
const MAX_GUARDS = 20;
const SHARD_KEYS = 'live/shards/';
const machine = (id: string): BlockMachine => ({
  ...{ id: machineId(id), type: 'desk', zone: 'north', spot: false, address: '10.1.0.1:9000' },
});

/** A stored value and the revision that wrote it. */
interface Written {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** Model of the state service: keys with versions, guarded transactions, and the log that the watch delivers. */
class Store {
  revision = 10;
  readonly keys = new Map<string, Written>();
  readonly log: Written[] = [];

  txn(guards: readonly Guard[], ops: readonly Op[]): boolean {
    if (!guards.every(({ key, version }) => (this.keys.get(key)?.version ?? 0) === version)) return false;
    this.revision += 1;
    for (const op of ops) {
      if (!('put' in op)) continue;
      const written = { key: op.put, value: JSON.parse(JSON.stringify(op.value)) as unknown, version: this.revision };
      this.keys.set(op.put, written);
      this.log.push(written);
    }
    return true;
  }

  /** The machines of each block, as a reader with a complete view decodes them. */
  blocks(): Map<ShardName, string[]> {
    const blocks = new Map<ShardName, string[]>();
    for (const shard of SHARDS) {
      const value = decodeShard(this.keys.get(shardKey(shard))?.value);
      assert.ok(value);
      const pages = [...this.keys.values()].filter(({ key }) => key.startsWith(`${PAGES_PREFIX}${shard}.`));
      const paged = pages.map((page) => decodePage(page.value)).filter((page) => page?.epoch === value.epoch);
      const machines = value.epoch === null ? value.machines : paged.flatMap((page) => page?.machines ?? []);
      blocks.set(
        shard,
        machines.map(({ id }) => id),
      );
    }
    return blocks;
  }
}

/** The safeguards that the safety of blocks relies on. A run without any one of them must fail the check. */
interface Safeguards {
  /** The leader assigns machines only after its watch has reached its own election and the newest block it knows. */
  readonly caughtUp: boolean;
  /** The leader settles its writes of unknown outcome before it assigns another machine. */
  readonly settlesPendingWrites: boolean;
  /** Writes are guarded by the pages that they depend on. */
  readonly pageGuards: boolean;
  /** Writes are guarded by the records or heads that they depend on. */
  readonly recordGuards: boolean;
  /** Staged pages are guarded by the record that they are staged for. */
  readonly stageGuards: boolean;
  /** The write that turns a record into a head is guarded by the pages that were staged. */
  readonly moveGuards: boolean;
}
const ALL_SAFEGUARDS: Safeguards = {
  caughtUp: true,
  settlesPendingWrites: true,
  pageGuards: true,
  recordGuards: true,
  stageGuards: true,
  moveGuards: true,
};

/** The purpose of a write, which decides what safeguards apply to it. */
type WritePurpose = 'change' | 'stage' | 'moveToPages';

/** A write that hasn't reached the store yet, or may reach it again. */
interface PendingWrite {
  readonly guards: readonly Guard[];
  readonly ops: readonly Op[];
  readonly purpose?: WritePurpose;
}

/** Actions of a run; those that are listed repeatedly are drawn more often. */
const ALL_KINDS = [
  ...([
    'watch',
    'watch',
    'watch',
    'read',
    'grant',
    'grant',
    'move',
    'move',
    'move',
    'claim',
    'elect',
    'dropPending',
  ] as const),
  ...([
    'moveToPages',
    'moveToPages',
    'moveToRecord',
    'deliver',
    'deliver',
    'deliver',
    'deliverAgain',
    'release',
    'claimPaged',
  ] as const),
] as const;
/** Mostly actions that move machines between records and pages. */
const MOVE_KINDS = [
  'watch',
  'grant',
  'moveToPages',
  'moveToPages',
  'moveToPages',
  'claimPaged',
  'deliver',
  'moveToRecord',
] as const;
type Kind = (typeof ALL_KINDS)[number];
/** One step of a run: what happens, in which process, to which shard or machine, and whether the write is delayed. */
interface Action {
  readonly kind: Kind;
  readonly by: number;
  readonly pick: number;
  readonly late: boolean;
}

const actionsOf = (kinds: readonly Kind[]): fc.Arbitrary<Action[]> =>
  fc.array(fc.record({ kind: fc.constantFrom(...kinds), by: fc.nat(2), pick: fc.nat(1000), late: fc.boolean() }), {
    ...{ minLength: 60, maxLength: 200 },
  });

const limitsOf = ({ pageBytes }: SimulatedProcess): { maxRecordMachines: number; pageBytes: number } => ({
  maxRecordMachines: 9,
  pageBytes,
});

const lab = new SimulationHarness();
const { at } = lab.state();
const client = new StateClient(at, { rps: 1000, writeRps: 1000 }, lab.log, lab.process('10.0.0.1'));

/**
 * A process with its own mirror of the store, which follows the log in order and may read keys ahead of it, and its own
 * page limit.
 */
class SimulatedProcess {
  readonly mirror: Mirror;
  readonly directory: ShardDirectory;
  private watchPosition = 0;
  seenUpTo = 0;
  /** Keys with writes of unknown outcome that this process has yet to settle as the leader. */
  unsettledKeys: string[] = [];

  constructor(
    readonly node: string,
    readonly pageBytes: number,
    private readonly store: Store,
  ) {
    this.mirror = new Mirror(client, LIVE_PREFIX, lab.process(`10.0.1.${node.slice(2)}`), lab.log);
    this.directory = new ShardDirectory(this.mirror);
  }

  apply({ key, value, version }: Written): void {
    this.mirror.apply({ key, value, removed: false, version: revision(version) });
  }

  /** Applies all changes of the next revision. */
  advanceWatch(): void {
    const { log } = this.store;
    const next = log[this.watchPosition];
    if (!next) return;
    while (log[this.watchPosition]?.version === next.version) this.apply(log[this.watchPosition++] as Written);
    this.seenUpTo = next.version;
  }

  read(key: string): void {
    const written = this.store.keys.get(key);
    if (written) this.apply(written);
  }
}

/**
 * Runs three processes that act as leaders, holders and claimants. Each decides with the production code on what its
 * mirror shows, and any of its writes may arrive late, repeatedly, or never. Checks after each write that no machine is
 * in two blocks, and that a machine leaves its block for none only by a release.
 */
function runActions(actions: readonly Action[], safeguards: Safeguards): void {
  const store = new Store();
  const processes = PAGE_BYTES.map((bytes, i) => new SimulatedProcess(`n-${i}`, bytes, store));
  const released = new Set<string>();
  const pending: PendingWrite[] = [];
  let incarnations = 0;
  const check = (before: Map<ShardName, string[]>): void => {
    const all = [...store.blocks().values()].flat();
    assert.equal(new Set(all).size, all.length, `in two blocks: ${all.join(' ')}`);
    for (const id of [...before.values()].flat()) assert.ok(all.includes(id) || released.has(id), `${id} is lost`);
  };
  const isEnforced = (key: string, purpose: WritePurpose): boolean => {
    if (key.startsWith(PAGES_PREFIX))
      return safeguards.pageGuards && (purpose !== 'moveToPages' || safeguards.moveGuards);
    if (!key.startsWith(SHARD_KEYS)) return true;
    return safeguards.recordGuards && (purpose !== 'stage' || safeguards.stageGuards);
  };
  const deliver = ({ guards, ops }: PendingWrite): boolean => {
    const before = store.blocks();
    const done = store.txn(guards, ops);
    check(before);
    return done;
  };
  const write = (
    process: SimulatedProcess,
    { guards, ops, purpose = 'change' }: PendingWrite,
    late: boolean,
  ): boolean => {
    const enforced = { guards: guards.filter(({ key }) => isEnforced(key, purpose)), ops };
    if (late) {
      pending.push(enforced);
      return false;
    }
    const done = deliver(enforced);
    // A process knows its own write at once, and rereads the guards of a write that failed.
    if (done) for (const op of ops) if ('put' in op) process.read(op.put);
    if (!done) for (const { key } of guards) process.read(key);
    return done;
  };
  const moveToPages = (
    process: SimulatedProcess,
    shard: ShardName,
    known: KnownShard,
    newIncarnation: string,
    pick: number,
    late: boolean,
  ): void => {
    const changes = stageChanges(shard, known, process.directory.pagesOf(shard), process.pageBytes) ?? [];
    const lateIndex = late ? pick % (changes.length + 1) : -1;
    for (const [i, change] of changes.entries()) {
      if (!write(process, { ...change, purpose: 'stage' }, i === lateIndex)) return;
    }
    const existing = [...process.directory.pagesOf(shard).values()].filter((page) => page !== null);
    const guards = moveToPagesGuards(shard, known.version, existing, MAX_GUARDS);
    const value = encodeShard({ ...known.value, incarnation: incarnation(newIncarnation), epoch: known.version });
    const ops = [{ put: shardKey(shard), value }];
    write(process, { guards, ops, purpose: 'moveToPages' }, lateIndex === changes.length);
  };
  for (const [i, shard] of SHARDS.entries()) {
    const record = { holder: nodeName(shard), incarnation: incarnation('a'), released: false, next: null, earlier: [] };
    const machines = MACHINES.slice(2 * i, 2 * i + 2).map(machine);
    store.txn([], [{ put: shardKey(shard), value: encodeShard({ ...record, machines, epoch: null }) }]);
  }
  store.txn([], [{ put: LEADER_KEY, value: { node: 'n-0' } }]);

  for (const { kind, by, pick, late } of actions) {
    const process = processes[by % processes.length] as SimulatedProcess;
    const shard = SHARDS[pick % SHARDS.length] as ShardName;
    const other = SHARDS[(pick + 1) % SHARDS.length] as ShardName;
    const known: KnownShard | undefined = process.directory.all.get(shard);
    if (kind === 'watch') {
      for (let n = 0; n <= pick % 8; n++) process.advanceWatch();
    } else if (kind === 'read') {
      process.read([...store.keys.keys()][pick % store.keys.size] ?? '');
    } else if (kind === 'deliver') {
      const [delivered] = pending.splice(pick % Math.max(1, pending.length), 1);
      if (delivered) deliver(delivered);
    } else if (kind === 'deliverAgain') {
      const delivered = pending[pick % Math.max(1, pending.length)];
      if (delivered) deliver(delivered);
    } else if (kind === 'dropPending') {
      pending.splice(pick % Math.max(1, pending.length), 1);
    } else if (kind === 'elect') {
      store.txn([], [{ put: LEADER_KEY, value: { node: process.node } }]);
      // Pending writes of the previous leader are void, because they are guarded by its key.
      for (const each of processes) each.unsettledKeys = [];
    } else if (!known) continue;
    else if (kind === 'claim') {
      incarnations += 1;
      const value = encodeShard({ ...known.value, incarnation: incarnation(`b-${incarnations}`) });
      const guards = [{ key: shardKey(shard), version: known.version }];
      write(process, { guards, ops: [{ put: shardKey(shard), value }] }, late);
    } else if (kind === 'release') {
      const first = known.value.machines[0];
      const [removal] = first ? removeMachines(shard, known, new Set([first.id])) : [];
      if (!first || !removal) continue;
      released.add(first.id);
      write(process, removal.change, late);
    } else if (kind === 'move') {
      const target = process.directory.all.get(other);
      const first = known.value.machines[pick % Math.max(1, known.value.machines.length)];
      const [removal] = first ? removeMachines(shard, known, new Set([first.id])) : [];
      if (!target || !first || !removal) continue;
      const insertion = addMachines(other, target, [first], limitsOf(process));
      if (insertion.taken.length === 0) continue;
      const head = { key: shardKey(shard), version: known.version };
      const guards = [head, ...removal.change.guards, ...insertion.change.guards];
      write(process, { guards, ops: [...removal.change.ops, ...insertion.change.ops] }, late);
    } else if (kind === 'grant') {
      const leader = store.keys.get(LEADER_KEY) as Written;
      const term = process.mirror.get(LEADER_KEY)?.version;
      if (term !== leader.version || (leader.value as { node: string }).node !== process.node) continue;
      if (safeguards.settlesPendingWrites)
        for (const key of process.unsettledKeys.splice(0)) settlePendingWrite(store, key, process);
      if (safeguards.caughtUp && (process.directory.newestRevision > process.seenUpTo || process.seenUpTo < term))
        continue;
      const free = MACHINES.find((id) => process.directory.shardOf(machineId(id)) === null);
      const current = process.directory.all.get(shard);
      if (free === undefined || !current) continue;
      const { taken, change } = addMachines(shard, current, [machine(free)], limitsOf(process));
      if (taken.length === 0) continue;
      const guards = [...change.guards, { key: LEADER_KEY, version: term }];
      for (const [name, { version }] of process.directory.all) {
        if (!guards.some(({ key }) => key === shardKey(name))) guards.push({ key: shardKey(name), version });
      }
      released.delete(free);
      if (!write(process, { guards, ops: change.ops }, late)) {
        for (const op of change.ops) if ('put' in op) process.unsettledKeys.push(op.put);
      }
    } else if ((kind === 'moveToPages' || kind === 'claimPaged') && known.value.epoch === null) {
      incarnations += kind === 'claimPaged' ? 1 : 0;
      const newIncarnation = kind === 'claimPaged' ? `b-${incarnations}` : known.value.incarnation;
      moveToPages(process, shard, known, newIncarnation, pick, late);
    } else if (kind === 'moveToRecord' && known.value.epoch !== null) {
      const guards = moveToRecordGuards(shard, known);
      const value = encodeShard({ ...known.value, epoch: null });
      write(process, { guards, ops: [{ put: shardKey(shard), value }] }, late);
    }
  }
}

/** Rewrites a key, so that a pending write of unknown outcome has either taken effect or can no longer be applied. */
function settlePendingWrite(store: Store, key: string, process: SimulatedProcess): void {
  const written = store.keys.get(key);
  store.txn([], [{ put: key, value: written?.value ?? encodePage(0, []) }]);
  process.read(key);
}

const checkAll = (safeguards: Safeguards, kinds: readonly Kind[] = ALL_KINDS): void => {
  fc.assert(
    fc.property(actionsOf(kinds), (list) => runActions(list, safeguards)),
    { seed: 21, numRuns: 2000 },
  );
};

test('no machine is in two blocks or lost while blocks move between records and pages and writes are late', () => {
  checkAll(ALL_SAFEGUARDS);
  checkAll(ALL_SAFEGUARDS, MOVE_KINDS);
});

for (const omitted of [
  'caughtUp',
  'settlesPendingWrites',
  'pageGuards',
  'recordGuards',
  'stageGuards',
  'moveGuards',
] as const) {
  test(`without the safeguard "${omitted}" the model check fails`, () => {
    assert.throws(
      () => checkAll({ ...ALL_SAFEGUARDS, [omitted]: false }, omitted === 'moveGuards' ? MOVE_KINDS : ALL_KINDS),
      (error: Error) => /in two blocks|is lost/.test(String(error.cause)),
    );
  });
}

test('the layout of pages is deterministic, and each page is within the limit', () => {
  const machines = Array.from({ length: 1077 }, (_, i) => ({
    ...machine(`host-${String(i).padStart(6, '0')}`),
    ...{ address: `10.1.${i >> 8}.${i & 255}:9000`, type: i % 3 === 0 ? 'dispensary' : 'theatre', spot: i % 2 === 0 },
  }));
  const pages = layOutPages(7, machines, 2048);
  assert.deepEqual(layOutPages(7, [...machines].reverse(), 2048), pages);
  for (const page of pages) assert.ok(storedSizeBytes(encodePage(7, page)) <= 2048);
  assert.equal(pages.flat().length, 1077);
  assert.ok(pages.length < 32, String(pages.length));
});
