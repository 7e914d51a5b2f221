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
  foldGuards,
  layOut,
  leave,
  ShardDirectory,
  type BlockMachine,
  type KnownShard,
} from '../src/membership/index.js';
import { LEADER, LIVE, Mirror, pageKey, PAGES, shardKey, StateClient, valueBytes } from '../src/state/index.js';
import type { Guard, Op } from '../src/state/index.js';
import { Lab } from '../packages/region/test/lab.js';

const SHARDS = ['n-0', 'n-1'].map(shardName);
const MACHINES = Array.from({ length: 6 }, (_, i) => `m-${i}`);
/** Two machines fill a page. */
const PAGE_BYTES = 150;
const ROOM = { recordMost: 9, pageBytes: PAGE_BYTES };
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
}
const ALL: Rules = { settled: true, settles: true, pageGuards: true, heads: true };

interface Pending {
  readonly guards: readonly Guard[];
  readonly ops: readonly Op[];
}

const action = fc.record({
  kind: fc.constantFrom(
    ...(['see', 'see', 'see', 'read', 'grant', 'grant', 'move', 'move', 'move', 'claim', 'elect'] as const),
    ...(['flip', 'fold', 'arrive', 'arrive', 'arrive', 'release'] as const),
  ),
  pick: fc.nat(1000),
  late: fc.boolean(),
});
type Action = typeof action extends fc.Arbitrary<infer A> ? A : never;

const lab = new Lab();
const { at } = lab.state();
const client = new StateClient(at, { rps: 1000, writeRps: 1000 }, lab.log, lab.process('10.0.0.1'));

/**
 * One process sees the store by its mirror, in order and now and then ahead of it, and does what leaders and holders do by
 * what it sees; any of its writes may arrive late. After each write no machine is in two blocks, and none that was in one
 * is in none but by a release.
 */
function play(actions: readonly Action[], rules: Rules): void {
  const store = new Store();
  const mirror = new Mirror(client, LIVE, lab.process('10.0.0.2'), lab.log);
  const directory = new ShardDirectory(mirror);
  let seen = 0;
  let seenUpTo = 0;
  const take = ({ key, value, version }: Written): void =>
    mirror.apply({ key, value, removed: false, version: revision(version) });
  const released = new Set<string>();
  let pending: Pending[] = [];
  let unsettled: string[] = [];
  let lives = 0;
  const check = (before: Map<ShardName, string[]>): void => {
    const all = [...store.blocks().values()].flat();
    assert.equal(new Set(all).size, all.length, `in two blocks: ${all.join(' ')}`);
    for (const id of [...before.values()].flat()) assert.ok(all.includes(id) || released.has(id), `${id} is lost`);
  };
  const write = ({ guards, ops }: Pending, late: boolean): boolean => {
    const kept = guards.filter(
      ({ key }) => (rules.pageGuards || !key.startsWith(PAGES)) && (rules.heads || !key.startsWith('live/shards/')),
    );
    if (late) {
      pending.push({ guards: kept, ops });
      return false;
    }
    const before = store.blocks();
    const done = store.txn(kept, ops);
    check(before);
    // One's own write is known at once.
    if (done) for (const op of ops) if ('put' in op) take(store.keys.get(op.put) as Written);
    return done;
  };
  for (const shard of SHARDS) {
    const made = { holder: nodeName(shard), incarnation: incarnation('a'), released: false, next: null, earlier: [] };
    store.txn([], [{ put: shardKey(shard), value: encodeShard({ ...made, machines: [], epoch: null }) }]);
  }
  store.txn([], [{ put: LEADER, value: { node: 'n-0' } }]);

  for (const { kind, pick, late } of actions) {
    const shard = SHARDS[pick % SHARDS.length] as ShardName;
    const other = SHARDS[(pick + 1) % SHARDS.length] as ShardName;
    const known: KnownShard | undefined = directory.all.get(shard);
    if (kind === 'see') {
      for (let n = 0; n <= pick % 3 && seen < store.log.length; n++) {
        // A whole revision at a time, as a watch has it.
        const { version } = store.log[seen] as Written;
        while (store.log[seen]?.version === version) take(store.log[seen++] as Written);
        seenUpTo = version;
      }
    } else if (kind === 'read') {
      const written = [...store.keys.values()][pick % store.keys.size];
      if (written) take(written);
    } else if (kind === 'arrive') {
      const [one] = pending.splice(pick % Math.max(1, pending.length), 1);
      const before = store.blocks();
      if (one) store.txn(one.guards, one.ops);
      check(before);
    } else if (kind === 'elect') {
      store.txn([], [{ put: LEADER, value: { node: 'n-1', pick } }]);
      // What the leader before has sent is void.
      unsettled = [];
    } else if (!known) continue;
    else if (kind === 'claim') {
      lives += 1;
      const value = encodeShard({ ...known.value, incarnation: incarnation(`b-${lives}`) });
      write(
        { guards: [{ key: shardKey(shard), version: known.version }], ops: [{ put: shardKey(shard), value }] },
        late,
      );
    } else if (kind === 'release') {
      const first = known.value.machines[0];
      const [left] = first ? leave(shard, known, new Set([first.id])) : [];
      if (!first || !left) continue;
      released.add(first.id);
      write(left.change, late);
    } else if (kind === 'move') {
      const target = directory.all.get(other);
      const first = known.value.machines[pick % Math.max(1, known.value.machines.length)];
      const [left] = first ? leave(shard, known, new Set([first.id])) : [];
      if (!target || !first || !left) continue;
      const entry = enter(other, target, [first], ROOM);
      if (entry.taken.length === 0) continue;
      const head = { key: shardKey(shard), version: known.version };
      const guards = [head, ...left.change.guards, ...entry.change.guards];
      write({ guards, ops: [...left.change.ops, ...entry.change.ops] }, late);
    } else if (kind === 'grant') {
      const leader = store.keys.get(LEADER) as Written;
      const term = mirror.get(LEADER)?.version;
      if (term !== leader.version) continue;
      if (rules.settles) for (const key of unsettled.splice(0)) settle(store, key, take);
      if (rules.settled && (directory.newest > seenUpTo || seenUpTo < term)) continue;
      const free = MACHINES.find((id) => directory.shardOf(machineId(id)) === null);
      const now = directory.all.get(shard);
      if (free === undefined || !now) continue;
      const { taken, change } = enter(shard, now, [machine(free)], ROOM);
      if (taken.length === 0) continue;
      const guards = [...change.guards, { key: LEADER, version: term }];
      for (const [name, { version }] of directory.all) {
        if (!guards.some(({ key }) => key === shardKey(name))) guards.push({ key: shardKey(name), version });
      }
      released.delete(free);
      if (!write({ guards, ops: change.ops }, late)) {
        for (const op of change.ops) if ('put' in op) unsettled.push(op.put);
      }
    } else if (kind === 'flip' && known.value.epoch === null) {
      const epoch = known.version;
      const pages = layOut(epoch, known.value.machines, PAGE_BYTES);
      const there = directory.pagesOf(shard);
      let staged = true;
      for (const [n, machines] of pages.entries()) {
        const key = pageKey(shard, n);
        const page = there.get(key);
        if (page?.epoch === epoch) continue;
        const guards = [{ key, version: page?.version ?? 0 }];
        staged = write({ guards, ops: [{ put: key, value: encodePage(epoch, machines) }] }, false) && staged;
      }
      const value = encodeShard({ ...known.value, epoch });
      if (staged)
        write({ guards: [{ key: shardKey(shard), version: epoch }], ops: [{ put: shardKey(shard), value }] }, late);
    } else if (kind === 'fold' && known.value.epoch !== null) {
      const guards = foldGuards(shard, known);
      const value = encodeShard({ ...known.value, epoch: null });
      write({ guards, ops: [{ put: shardKey(shard), value }] }, late);
    }
  }
  pending = [];
}

/** A write of unknown outcome is made void, or is seen. */
function settle(store: Store, key: string, take: (written: Written) => void): void {
  const written = store.keys.get(key);
  store.txn([], [{ put: key, value: written?.value ?? encodePage(0, []) }]);
  take(store.keys.get(key) as Written);
}

const actions = fc.array(action, { minLength: 20, maxLength: 120 });
const playAll = (rules: Rules): void => {
  fc.assert(
    fc.property(actions, (list) => play(list, rules)),
    { seed: 21, numRuns: 600 },
  );
};

test('no machine is in two blocks and none is lost, in records and pages, flipped, folded, claimed, with late writes', () => {
  playAll(ALL);
});

for (const left of ['settled', 'settles', 'pageGuards', 'heads'] as const) {
  test(`without "${left}" that is caught`, () => {
    assert.throws(
      () => playAll({ ...ALL, [left]: false }),
      (error: Error) => /in two blocks|is lost/.test(String(error.cause)),
    );
  });
}

test('pages are laid out alike by everybody, and each is within the limit', () => {
  const machines = Array.from({ length: 1077 }, (_, i) => ({
    ...machine(`host-${String(i).padStart(6, '0')}`),
    ...{ address: `10.1.${i >> 8}.${i & 255}:9000`, type: i % 3 === 0 ? 'dispensary' : 'theatre', spot: i % 2 === 0 },
  }));
  const pages = layOut(7, machines, 2048);
  assert.deepEqual(layOut(7, [...machines].reverse(), 2048), pages);
  for (const page of pages) assert.ok(valueBytes(encodePage(7, page)) <= 2048);
  assert.equal(pages.flat().length, 1077);
  assert.ok(pages.length < 32, String(pages.length));
});
