import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { incarnation, machineId, nodeName, revision, shardName, type ShardName } from '../src/kernel/index.js';
import {
  decodePage,
  decodeShard,
  encodePage,
  encodeShard,
  enter,
  moveToPagesGuards,
  foldGuards,
  layOutPages,
  leave,
  ShardDirectory,
  stageChanges,
  type BlockMachine,
  type KnownShard,
} from '../src/membership/index.js';
import { LEADER, LIVE, Mirror, PAGES, shardKey, StateClient, valueBytes } from '../src/state/index.js';
import type { Guard, Op } from '../src/state/index.js';
import { Lab } from '../packages/region/test/lab.js';

const SHARDS = ['n-0', 'n-1'].map(shardName);
const MACHINES = Array.from({ length: 6 }, (_, i) => `m-${i}`);
/** Two machines fill a page of two of the processes, one that of the third. */
const PAGE_BYTES = [150, 150, 115];
/** The state service takes so many conditions in one transaction. */
const MOST_CONDITIONS = 20;
const SHARD_KEYS = 'live/shards/';
const machine = (id: string): BlockMachine => ({
  ...{ id: machineId(id), type: 'desk', zone: 'north', spot: false, address: '10.1.0.1:9000' },
});

interface Written {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** What is stored, plainly. */
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

  /** The machines of each block, as anybody who sees all of it would read them. */
  blocks(): Map<ShardName, string[]> {
    const blocks = new Map<ShardName, string[]>();
    for (const shard of SHARDS) {
      const value = decodeShard(this.keys.get(shardKey(shard))?.value);
      assert.ok(value);
      const pages = [...this.keys.values()].filter(({ key }) => key.startsWith(`${PAGES}${shard}.`));
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

/** Which parts of the argument hold; leaving one out must be caught. */
interface Rules {
  readonly settled: boolean;
  readonly settles: boolean;
  readonly pageGuards: boolean;
  readonly heads: boolean;
  /** Staged pages are guarded by the record that they are staged for. */
  readonly staged: boolean;
  /** A record becomes a head only of the pages that were staged. */
  readonly flipped: boolean;
}
const ALL: Rules = { settled: true, settles: true, pageGuards: true, heads: true, staged: true, flipped: true };

/** What a write is for. */
type Purpose = 'change' | 'stage' | 'flip';

interface Pending {
  readonly guards: readonly Guard[];
  readonly ops: readonly Op[];
  readonly purpose?: Purpose;
}

const KINDS = [
  ...(['see', 'see', 'see', 'read', 'grant', 'grant', 'move', 'move', 'move', 'claim', 'elect', 'forget'] as const),
  ...(['flip', 'flip', 'fold', 'arrive', 'arrive', 'arrive', 'repeat', 'release', 'claimPaged'] as const),
] as const;
/** What happens while records become heads, and little else. */
const FLIPPING = ['see', 'grant', 'flip', 'flip', 'flip', 'claimPaged', 'arrive', 'fold'] as const;
type Kind = (typeof KINDS)[number];
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

const roomOf = ({ pageBytes }: View): { recordMost: number; pageBytes: number } => ({ recordMost: 9, pageBytes });

const lab = new Lab();
const { at } = lab.state();
const client = new StateClient(at, { rps: 1000, writeRps: 1000 }, lab.log, lab.process('10.0.0.1'));

/** One process: it sees the store by a mirror of its own, in order and now and then ahead of it, under limits of its own. */
class View {
  readonly mirror: Mirror;
  readonly directory: ShardDirectory;
  private seen = 0;
  seenUpTo = 0;
  /** Writes of unknown outcome that it has yet to settle as the leader. */
  unsettled: string[] = [];

  constructor(
    readonly node: string,
    readonly pageBytes: number,
    private readonly store: Store,
  ) {
    this.mirror = new Mirror(client, LIVE, lab.process(`10.0.1.${node.slice(2)}`), lab.log);
    this.directory = new ShardDirectory(this.mirror);
  }

  take({ key, value, version }: Written): void {
    this.mirror.apply({ key, value, removed: false, version: revision(version) });
  }

  /** The next revision of the watch, whole. */
  see(): void {
    const { log } = this.store;
    const next = log[this.seen];
    if (!next) return;
    while (log[this.seen]?.version === next.version) this.take(log[this.seen++] as Written);
    this.seenUpTo = next.version;
  }

  read(key: string): void {
    const written = this.store.keys.get(key);
    if (written) this.take(written);
  }
}

/**
 * Three processes do what leaders, holders and claimants do, each by what it sees and by the project's own decisions; any
 * of their writes may arrive late, again, or never. After each write no machine is in two blocks, and none that was in
 * one is in none but by a release.
 */
function play(actions: readonly Action[], rules: Rules): void {
  const store = new Store();
  const views = PAGE_BYTES.map((bytes, i) => new View(`n-${i}`, bytes, store));
  const released = new Set<string>();
  const pending: Pending[] = [];
  let lives = 0;
  const check = (before: Map<ShardName, string[]>): void => {
    const all = [...store.blocks().values()].flat();
    assert.equal(new Set(all).size, all.length, `in two blocks: ${all.join(' ')}`);
    for (const id of [...before.values()].flat()) assert.ok(all.includes(id) || released.has(id), `${id} is lost`);
  };
  const keeps = (key: string, purpose: Purpose): boolean => {
    if (key.startsWith(PAGES)) return rules.pageGuards && (purpose !== 'flip' || rules.flipped);
    if (!key.startsWith(SHARD_KEYS)) return true;
    return rules.heads && (purpose !== 'stage' || rules.staged);
  };
  const arrive = ({ guards, ops }: Pending): boolean => {
    const before = store.blocks();
    const done = store.txn(guards, ops);
    check(before);
    return done;
  };
  const write = (view: View, { guards, ops, purpose = 'change' }: Pending, late: boolean): boolean => {
    const kept = { guards: guards.filter(({ key }) => keeps(key, purpose)), ops };
    if (late) {
      pending.push(kept);
      return false;
    }
    const done = arrive(kept);
    // One's own write is known at once, and so is what refused it.
    if (done) for (const op of ops) if ('put' in op) view.read(op.put);
    if (!done) for (const { key } of guards) view.read(key);
    return done;
  };
  const flip = (view: View, shard: ShardName, known: KnownShard, life: string, pick: number, late: boolean): void => {
    const changes = stageChanges(shard, known, view.directory.pagesOf(shard), view.pageBytes) ?? [];
    const lateOne = late ? pick % (changes.length + 1) : -1;
    for (const [i, change] of changes.entries()) {
      if (!write(view, { ...change, purpose: 'stage' }, i === lateOne)) return;
    }
    const there = [...view.directory.pagesOf(shard).values()].filter((page) => page !== null);
    const guards = moveToPagesGuards(shard, known.version, there, MOST_CONDITIONS);
    const value = encodeShard({ ...known.value, incarnation: incarnation(life), epoch: known.version });
    const ops = [{ put: shardKey(shard), value }];
    write(view, { guards, ops, purpose: 'flip' }, lateOne === changes.length);
  };
  for (const [i, shard] of SHARDS.entries()) {
    const made = { holder: nodeName(shard), incarnation: incarnation('a'), released: false, next: null, earlier: [] };
    const machines = MACHINES.slice(2 * i, 2 * i + 2).map(machine);
    store.txn([], [{ put: shardKey(shard), value: encodeShard({ ...made, machines, epoch: null }) }]);
  }
  store.txn([], [{ put: LEADER, value: { node: 'n-0' } }]);

  for (const { kind, by, pick, late } of actions) {
    const view = views[by % views.length] as View;
    const shard = SHARDS[pick % SHARDS.length] as ShardName;
    const other = SHARDS[(pick + 1) % SHARDS.length] as ShardName;
    const known: KnownShard | undefined = view.directory.all.get(shard);
    if (kind === 'see') {
      for (let n = 0; n <= pick % 8; n++) view.see();
    } else if (kind === 'read') {
      view.read([...store.keys.keys()][pick % store.keys.size] ?? '');
    } else if (kind === 'arrive') {
      const [one] = pending.splice(pick % Math.max(1, pending.length), 1);
      if (one) arrive(one);
    } else if (kind === 'repeat') {
      const one = pending[pick % Math.max(1, pending.length)];
      if (one) arrive(one);
    } else if (kind === 'forget') {
      pending.splice(pick % Math.max(1, pending.length), 1);
    } else if (kind === 'elect') {
      store.txn([], [{ put: LEADER, value: { node: view.node } }]);
      // What the leader before has sent is void.
      for (const one of views) one.unsettled = [];
    } else if (!known) continue;
    else if (kind === 'claim') {
      lives += 1;
      const value = encodeShard({ ...known.value, incarnation: incarnation(`b-${lives}`) });
      const guards = [{ key: shardKey(shard), version: known.version }];
      write(view, { guards, ops: [{ put: shardKey(shard), value }] }, late);
    } else if (kind === 'release') {
      const first = known.value.machines[0];
      const [left] = first ? leave(shard, known, new Set([first.id])) : [];
      if (!first || !left) continue;
      released.add(first.id);
      write(view, left.change, late);
    } else if (kind === 'move') {
      const target = view.directory.all.get(other);
      const first = known.value.machines[pick % Math.max(1, known.value.machines.length)];
      const [left] = first ? leave(shard, known, new Set([first.id])) : [];
      if (!target || !first || !left) continue;
      const entry = enter(other, target, [first], roomOf(view));
      if (entry.taken.length === 0) continue;
      const head = { key: shardKey(shard), version: known.version };
      const guards = [head, ...left.change.guards, ...entry.change.guards];
      write(view, { guards, ops: [...left.change.ops, ...entry.change.ops] }, late);
    } else if (kind === 'grant') {
      const leader = store.keys.get(LEADER) as Written;
      const term = view.mirror.get(LEADER)?.version;
      if (term !== leader.version || (leader.value as { node: string }).node !== view.node) continue;
      if (rules.settles) for (const key of view.unsettled.splice(0)) settle(store, key, view);
      if (rules.settled && (view.directory.newest > view.seenUpTo || view.seenUpTo < term)) continue;
      const free = MACHINES.find((id) => view.directory.shardOf(machineId(id)) === null);
      const now = view.directory.all.get(shard);
      if (free === undefined || !now) continue;
      const { taken, change } = enter(shard, now, [machine(free)], roomOf(view));
      if (taken.length === 0) continue;
      const guards = [...change.guards, { key: LEADER, version: term }];
      for (const [name, { version }] of view.directory.all) {
        if (!guards.some(({ key }) => key === shardKey(name))) guards.push({ key: shardKey(name), version });
      }
      released.delete(free);
      if (!write(view, { guards, ops: change.ops }, late)) {
        for (const op of change.ops) if ('put' in op) view.unsettled.push(op.put);
      }
    } else if ((kind === 'flip' || kind === 'claimPaged') && known.value.epoch === null) {
      lives += kind === 'claimPaged' ? 1 : 0;
      const life = kind === 'claimPaged' ? `b-${lives}` : known.value.incarnation;
      flip(view, shard, known, life, pick, late);
    } else if (kind === 'fold' && known.value.epoch !== null) {
      const guards = foldGuards(shard, known);
      const value = encodeShard({ ...known.value, epoch: null });
      write(view, { guards, ops: [{ put: shardKey(shard), value }] }, late);
    }
  }
}

/** A write of unknown outcome is made void, or is seen. */
function settle(store: Store, key: string, view: View): void {
  const written = store.keys.get(key);
  store.txn([], [{ put: key, value: written?.value ?? encodePage(0, []) }]);
  view.read(key);
}

const playAll = (rules: Rules, kinds: readonly Kind[] = KINDS): void => {
  fc.assert(
    fc.property(actionsOf(kinds), (list) => play(list, rules)),
    { seed: 21, numRuns: 2000 },
  );
};

test('no machine is in two blocks and none is lost, in records and pages, flipped, folded, claimed, with late writes', () => {
  playAll(ALL);
  playAll(ALL, FLIPPING);
});

for (const left of ['settled', 'settles', 'pageGuards', 'heads', 'staged', 'flipped'] as const) {
  test(`without "${left}" that is caught`, () => {
    assert.throws(
      () => playAll({ ...ALL, [left]: false }, left === 'flipped' ? FLIPPING : KINDS),
      (error: Error) => /in two blocks|is lost/.test(String(error.cause)),
    );
  });
}

test('pages are laid out alike by everybody, and each is within the limit', () => {
  const machines = Array.from({ length: 1077 }, (_, i) => ({
    ...machine(`host-${String(i).padStart(6, '0')}`),
    ...{ address: `10.1.${i >> 8}.${i & 255}:9000`, type: i % 3 === 0 ? 'dispensary' : 'theatre', spot: i % 2 === 0 },
  }));
  const pages = layOutPages(7, machines, 2048);
  assert.deepEqual(layOutPages(7, [...machines].reverse(), 2048), pages);
  for (const page of pages) assert.ok(valueBytes(encodePage(7, page)) <= 2048);
  assert.equal(pages.flat().length, 1077);
  assert.ok(pages.length < 32, String(pages.length));
});
