import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { incarnation, millis, nodeName, shardName, wallMillis, type Incarnation } from '../src/kernel/index.js';
import {
  decideRollout,
  decodeAnnouncement,
  decodeState,
  decodeWishes,
  encodeAnnouncement,
  encodeState,
  encodeWishes,
  NO_STATE,
  NO_WISHES,
  PROBATION_MS,
  SETTLED_FOR_MS,
  Switches,
  UNWATCHED,
  watch,
  WELL_FOR_MS,
  whyNotNext,
  type Announcement,
  type Feature,
  type FeatureWish,
  type RolloutNode,
  type RolloutSnapshot,
  type RolloutState,
  type RolloutWishes,
  type Watchfulness,
} from '../src/rollout/index.js';
import { LIVE, Mirror, ROLLOUT_STATE, StateClient } from '../src/state/index.js';
import { Lab } from '../packages/region/test/lab.js';

const NAMES = ['n-0', 'n-1', 'n-2'].map(nodeName);
const FEATURES: readonly Feature[] = [
  { name: 'first', needs: [], wellForMs: WELL_FOR_MS },
  { name: 'second', needs: ['first'], wellForMs: WELL_FOR_MS },
];
const announced = (life: string, features: readonly string[], release = 2): Announcement => ({
  ...{ incarnation: incarnation(life), release, features, frames: 3, records: { shard: 1 } },
});
const all = ['first', 'second'];
const there = (features: readonly string[] = all): RolloutNode[] =>
  NAMES.map((node) => ({ node, announced: announced(`${node}-a`, features) }));
const wished = (name: string, wish: FeatureWish, at = 50): RolloutWishes => ({
  ...NO_WISHES,
  features: new Map([[name, { wish, at: wallMillis(at) }]]),
});
const isOn = (state: RolloutState, name: string): boolean => state.features.get(name)?.state === 'on';

/** Well for long enough. */
const WELL: Watchfulness = { ...UNWATCHED, wellSince: millis(0) };
const at = (more: Partial<RolloutSnapshot> = {}): RolloutSnapshot => ({
  ...{ now: millis(WELL_FOR_MS), wall: wallMillis(1000), features: FEATURES, state: NO_STATE, wishes: NO_WISHES },
  ...{ nodes: there(), watched: WELL, leftOf: () => 0 },
  ...more,
});

test('a feature goes on once every configured controller has it and has been there for long enough', () => {
  assert.equal(decideRollout(at()).changed?.feature, 'first');
  const early = decideRollout(at({ now: millis(WELL_FOR_MS - 1) }));
  assert.equal(early.next, null);
  assert.match(early.waits.get('first') ?? '', /not for long enough/);
  const [one, two, three] = there();
  assert.ok(one && two && three);
  const old = { ...two, announced: decodeAnnouncement({ incarnation: 'x' }) };
  assert.equal(decideRollout(at({ nodes: [one, old, three] })).waits.get('first'), 'lacked by n-1');
  // One that is down counts too: it may come back as the release that it was.
  const down = { ...three, announced: null };
  assert.equal(decideRollout(at({ nodes: [one, two, down] })).waits.get('first'), 'not there: n-2');
  assert.equal(decideRollout(at()).waits.get('second'), undefined);
  const { next } = decideRollout(at());
  assert.ok(next && isOn(next, 'first') && !isOn(next, 'second'));
  assert.equal(decideRollout(at({ state: next })).changed?.feature, 'second');
});

test('operators hold, pause, take back and finish; one feature held does not hold another', () => {
  const loose: readonly Feature[] = [
    { name: 'first', needs: [], wellForMs: WELL_FOR_MS },
    { name: 'other', needs: [], wellForMs: WELL_FOR_MS },
  ];
  const nodes = there(['first', 'other']);
  const held = decideRollout(at({ features: loose, nodes, wishes: wished('first', 'hold') }));
  assert.equal(held.changed?.feature, 'other');
  assert.equal(
    decideRollout(at({ wishes: { ...NO_WISHES, paused: true } })).waits.get('first'),
    'the rollout is paused',
  );
  const on = decideRollout(at()).next ?? NO_STATE;
  const both = decideRollout(at({ state: on })).next ?? NO_STATE;
  // What needs it goes back first.
  assert.match(decideRollout(at({ state: both, wishes: wished('first', 'back') })).waits.get('first') ?? '', /second/);
  const back = decideRollout(at({ state: on, wishes: wished('first', 'back') }));
  assert.equal(back.changed?.to, 'returning');
  const left = decideRollout(at({ state: back.next ?? NO_STATE, wishes: wished('first', 'back'), leftOf: () => 3 }));
  assert.equal(left.waits.get('first'), '3 records to be put back');
  const off = decideRollout(at({ state: back.next ?? NO_STATE, wishes: wished('first', 'back') }));
  assert.equal(off.changed?.to, 'off');
  assert.equal(decideRollout(at({ state: off.next ?? NO_STATE, wishes: wished('first', 'back') })).next, null);
  const finished = decideRollout(at({ state: on, wishes: { ...NO_WISHES, finish: ['first'] } })).next ?? NO_STATE;
  assert.equal(finished.features.get('first')?.finished, true);
  assert.equal(decideRollout(at({ state: finished, wishes: wished('first', 'back') })).changed?.feature, 'second');
});

test('a feature goes off by itself when controllers begin to end after it, and then waits for an operator', () => {
  const on = decideRollout(at()).next ?? NO_STATE;
  const later = { now: millis(WELL_FOR_MS + 900), wall: wallMillis(1900) };
  const ends = (count: number, when = WELL_FOR_MS + 10): Watchfulness => ({
    ...WELL,
    ends: Array.from({ length: count }, () => millis(when)),
  });
  const features = FEATURES.slice(0, 1);
  // One end for each is what a roll looks like.
  assert.equal(decideRollout(at({ ...later, features, state: on, watched: ends(3) })).next, null);
  // What ended before it went on had another cause.
  assert.equal(decideRollout(at({ ...later, features, state: on, watched: ends(9, WELL_FOR_MS - 10) })).next, null);
  assert.equal(
    decideRollout(at({ ...later, features, state: on, watched: ends(4), wall: wallMillis(1000 + PROBATION_MS) })).next,
    null,
  );
  const stopped = decideRollout(at({ ...later, features, state: on, watched: ends(4) }));
  assert.equal(stopped.changed?.to, 'returning');
  const off = decideRollout(at({ features, state: stopped.next ?? NO_STATE, wall: wallMillis(2000) })).next ?? NO_STATE;
  const state = off;
  assert.match(decideRollout(at({ features, state })).waits.get('first') ?? '', /^stopped: 4 ends/);
  // An operator's word from before it stopped doesn't count.
  assert.equal(decideRollout(at({ features, state, wishes: wished('first', 'allow', 1500) })).next, null);
  assert.equal(decideRollout(at({ features, state, wishes: wished('first', 'allow', 2500) })).changed?.to, 'on');
});

interface Key<T> {
  value: T;
  version: number;
}

/** A leader's look: everything as it was then, with the versions of the keys. */
interface Look {
  readonly snapshot: RolloutSnapshot;
  readonly versions: readonly number[];
}

/**
 * The plain model: a store of versioned keys and the whole past, in which what must hold is asked of the past itself.
 * Leaders decide by the real code, on looks that may be old by the time they write.
 */
class PlainRegion {
  revision = 1;
  now = 0;
  readonly nodes = new Map(NAMES.map((name) => [name, { value: null, version: 0 } as Key<Announcement | null>]));
  state: Key<RolloutState> = { value: NO_STATE, version: 0 };
  wishes: Key<RolloutWishes> = { value: NO_WISHES, version: 0 };
  leader = 1;
  lives = 0;
  readonly watched: Watchfulness[] = [UNWATCHED, UNWATCHED];
  readonly looks: (Look | null)[] = [null, null];
  switched = 0;

  get versions(): number[] {
    return [this.leader, this.state.version, this.wishes.version, ...NAMES.map((n) => this.nodes.get(n)?.version ?? 0)];
  }

  set(name: number, value: Announcement | null): void {
    const key = this.nodes.get(NAMES[name] ?? nodeName(''));
    if (!key || (key.value === null && value === null)) return;
    key.value = value;
    key.version = value === null ? 0 : ++this.revision;
  }

  look(leader: number): void {
    const nodes = NAMES.map((node) => ({ node, announced: this.nodes.get(node)?.value ?? null }));
    const watched = watch(this.watched[leader] ?? UNWATCHED, nodes, millis(this.now));
    this.watched[leader] = watched;
    this.looks[leader] = {
      snapshot: {
        ...{ now: millis(this.now), wall: wallMillis(this.now), features: FEATURES, nodes, watched },
        ...{ state: this.state.value, wishes: this.wishes.value, leftOf: () => 0 },
      },
      versions: this.versions,
    };
  }

  /** Writes what a look has led to, as the state service would: all guards hold, or nothing happens. */
  write(leader: number): void {
    const look = this.looks[leader];
    this.looks[leader] = null;
    if (!look) return;
    const { next, changed } = decideRollout(look.snapshot);
    if (!next || !changed || look.versions.some((version, i) => version !== this.versions[i])) return;
    if (changed.to === 'on') this.mustBeSafe(changed.feature);
    this.state = { value: next, version: ++this.revision };
    this.switched += 1;
  }

  /** Asked of the truth in the moment of the switch, not of what the leader saw. */
  private mustBeSafe(feature: string): void {
    for (const name of NAMES) {
      const { value } = this.nodes.get(name) ?? { value: null };
      assert.ok(value, `${feature} goes on while ${name} is away`);
      assert.ok(value.features.includes(feature), `${feature} goes on while ${name} lacks it`);
    }
    for (const need of FEATURES.find((f) => f.name === feature)?.needs ?? [])
      assert.ok(isOn(this.state.value, need), `${feature} goes on without ${need}`);
    const wish = this.wishes.value.features.get(feature)?.wish;
    assert.ok(wish !== 'hold' && wish !== 'back' && !this.wishes.value.paused, `${feature} goes on against a wish`);
  }
}

const whose = fc.integer({ min: 0, max: 2 });
const leaders = fc.integer({ min: 0, max: 1 });
const happening = fc.oneof(
  { weight: 2, arbitrary: fc.record({ do: fc.constant('end' as const), node: whose }) },
  {
    weight: 6,
    arbitrary: fc.record({
      ...{ do: fc.constant('begin' as const), node: whose },
      has: fc.constantFrom([], ['first'], all, all, all, all, all, all),
    }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('elect' as const) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      do: fc.constant('wish' as const),
      feature: fc.constantFrom('first', 'second'),
      wish: fc.constantFrom('hold' as const, 'allow' as const, 'allow' as const, 'back' as const),
    }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('pause' as const), on: fc.constantFrom(true, false, false) }) },
);
const step = fc.record({
  happens: fc.array(happening, { maxLength: 3 }),
  leader: leaders,
  /** Between its two looks, with a time of peace between them. */
  passMs: fc.constantFrom(200, WELL_FOR_MS, WELL_FOR_MS, WELL_FOR_MS),
  /** Between its last look and its write, which may come much later, or never. */
  meanwhile: fc.option(happening, { freq: 2 }),
  writes: fc.constantFrom(true, true, true, false),
});

test('model: no feature goes on while a controller is away or lacks it, however stale the leader; else it does', () => {
  let switches = 0;
  fc.assert(
    fc.property(fc.array(step, { minLength: 5, maxLength: 30, size: 'max' }), (steps) => {
      const region = new PlainRegion();
      const begin = (node: number, has: readonly string[]): void =>
        region.set(node, announced(`life-${++region.lives}`, has));
      const happen = (s: typeof happening extends fc.Arbitrary<infer T> ? T : never): void => {
        if (s.do === 'end') region.set(s.node, null);
        else if (s.do === 'begin') begin(s.node, s.has);
        else if (s.do === 'elect') region.leader = ++region.revision;
        else if (s.do === 'pause')
          region.wishes = { value: { ...region.wishes.value, paused: s.on }, version: ++region.revision };
        else {
          const features = new Map(region.wishes.value.features);
          features.set(s.feature, { wish: s.wish, at: wallMillis(region.now) });
          region.wishes = { value: { ...region.wishes.value, features }, version: ++region.revision };
        }
      };
      for (const i of [0, 1, 2]) begin(i, all);
      for (const s of steps) {
        for (const what of s.happens) happen(what);
        region.look(s.leader);
        region.now += s.passMs;
        region.look(s.leader);
        if (s.meanwhile) happen(s.meanwhile);
        if (s.writes) region.write(s.leader);
      }
      // Left in peace and allowed, also after it stopped by itself, all goes on.
      for (const i of [0, 1, 2]) begin(i, all);
      for (let i = 0; i < 12; i++) {
        const allow = (name: string) => [name, { wish: 'allow' as const, at: wallMillis(region.now) }] as const;
        region.wishes = { value: { ...NO_WISHES, features: new Map(all.map(allow)) }, version: ++region.revision };
        region.look(0);
        region.write(0);
        region.now += WELL_FOR_MS;
      }
      for (const name of all) assert.ok(isOn(region.state.value, name), `${name} never went on`);
      switches += region.switched;
    }),
    { seed: 21, numRuns: 400 },
  );
  // Two at the end of each play; the others while controllers came and went.
  assert.ok(switches > 1000, String(switches));
});

test('model: an older release that registers between a leader’s look and its write makes the write fail', () => {
  const region = new PlainRegion();
  for (const i of [0, 1, 2]) region.set(i, announced(`a-${i}`, all));
  region.look(0);
  region.now += WELL_FOR_MS;
  region.look(0);
  region.set(1, announced('older', []));
  region.write(0);
  assert.equal(region.switched, 0);
  // The guards are what stops it: such a look, written without them, is caught by the model.
  region.set(1, announced('newer', all));
  region.look(0);
  region.now += WELL_FOR_MS;
  region.look(0);
  const stale = region.looks[0];
  region.set(1, announced('older again', []));
  assert.ok(stale);
  region.looks[0] = { ...stale, versions: region.versions };
  assert.throws(() => region.write(0), /first goes on while n-1 lacks it/);
});

test('what a controller says of its program is read as it was written; a key of the first release says nothing', () => {
  const said = { release: 7, features: ['a'], frames: 4, records: { shard: 2 } };
  assert.deepEqual(decodeAnnouncement({ ...encodeAnnouncement(said), incarnation: 'x' }), {
    ...said,
    incarnation: 'x',
  });
  assert.deepEqual(decodeAnnouncement({ incarnation: 'x' }), {
    ...{ incarnation: 'x', release: 1, features: [], frames: 2, records: {} },
  });
  assert.equal(decodeAnnouncement({ release: {} }), null);
  for (const odd of [null, 7, [], { number: -1, features: [3, 'b'], frames: 'x', records: { job: 'y' } }])
    assert.ok(decodeAnnouncement({ incarnation: 'x', release: odd }));
});

test('the records of the rollout are read as they were written; a later one is not read, and nothing is forgotten', () => {
  const state = decideRollout(at()).next ?? NO_STATE;
  const grown = { ...(JSON.parse(JSON.stringify(encodeState(state))) as object), added: [1] };
  const read = decodeState(grown);
  assert.deepEqual(
    [...(read?.features ?? [])].map(([name, feature]) => [name, { ...feature, stored: undefined }]),
    [...state.features],
  );
  assert.deepEqual((read && encodeState(read))?.['added'], [1]);
  assert.equal(decodeState({ ...grown, v: 2 }), null);
  const wishes = { ...wished('first', 'hold'), paused: true, finish: ['second'] };
  assert.deepEqual(decodeWishes(JSON.parse(JSON.stringify(encodeWishes(wishes)))), wishes);
  assert.equal(decodeWishes({ v: 9 }), null);
  // A state that a later release has is no reason to act on the feature.
  const odd = decodeState({ features: { first: { state: 'half', since: 1 } } });
  assert.equal(odd?.features.get('first')?.state, 'off');
});

test('a process acts on a feature that is on and that it has; a record that it cannot read changes nothing', () => {
  const lab = new Lab();
  const runtime = lab.process('10.0.0.1');
  const mirror = new Mirror(
    new StateClient(lab.state().at, { rps: 9, writeRps: 9 }, lab.log, runtime),
    LIVE,
    runtime,
    lab.log,
  );
  const switches = new Switches(mirror, new Set(['first']));
  const put = (value: unknown, version: number): void =>
    mirror.apply({ key: ROLLOUT_STATE, value, removed: false, version: version as never });
  assert.equal(switches.on('first'), false);
  put({ features: { first: { state: 'on' }, second: { state: 'on' } } }, 5);
  assert.deepEqual([switches.on('first'), switches.on('second')], [true, false]);
  put({ v: 2, features: {} }, 6);
  assert.equal(switches.on('first'), true);
  put({ features: { first: { state: 'returning' } } }, 7);
  assert.equal(switches.on('first'), false);
});

test('the next controller may be replaced when all are there, nobody leaves and every shard is at home', () => {
  const shards = NAMES.map((node) => ({
    shard: shardName(node),
    holder: node as typeof node | null,
    unreadable: false,
  }));
  const good = { now: millis(SETTLED_FOR_MS), nodes: there(), shards, leaving: [], watched: WELL };
  const [first, ...rest] = shards;
  const [, second] = NAMES;
  assert.ok(first && second);
  assert.equal(whyNotNext(good), null);
  assert.match(whyNotNext({ ...good, now: millis(SETTLED_FOR_MS - 1) }) ?? '', /just come/);
  assert.match(whyNotNext({ ...good, leaving: [second] }) ?? '', /leaving: n-1/);
  assert.match(whyNotNext({ ...good, shards: [{ ...first, holder: second }, ...rest] }) ?? '', /held by n-1/);
  assert.match(whyNotNext({ ...good, shards: [{ ...first, holder: null }, ...rest] }) ?? '', /by nobody: n-0/);
  assert.match(
    whyNotNext({ ...good, shards: [{ ...first, unreadable: true }, ...rest] }) ?? '',
    /another release: n-0/,
  );
  const [, ...fewer] = there();
  assert.match(
    whyNotNext({ ...good, nodes: [{ node: first.holder ?? second, announced: null }, ...fewer] }) ?? '',
    /not there/,
  );
});

test('ends of controllers are counted once each, and being well begins anew with each of them', () => {
  const lives = (...given: (string | null)[]): RolloutNode[] =>
    NAMES.map((node, i) => {
      const life = given[i] as Incarnation | null;
      return { node, announced: life === null ? null : announced(life, all) };
    });
  let seen = watch(UNWATCHED, lives('a', 'b', 'c'), millis(0));
  assert.deepEqual([seen.wellSince, seen.ends.length], [0, 0]);
  seen = watch(seen, lives('a', 'b', 'c'), millis(500));
  assert.equal(seen.wellSince, 0);
  seen = watch(seen, lives('a', null, 'c'), millis(1000));
  assert.deepEqual([seen.wellSince, seen.ends], [null, [1000]]);
  seen = watch(seen, lives('a', 'b2', 'c'), millis(2000));
  assert.deepEqual([seen.wellSince, seen.ends], [2000, [1000]]);
  // Replaced between two looks.
  seen = watch(seen, lives('a', 'b3', 'c'), millis(3000));
  assert.deepEqual([seen.wellSince, seen.ends], [3000, [1000, 3000]]);
  seen = watch(seen, lives('a', 'b3', 'c'), millis(1000 + PROBATION_MS));
  assert.deepEqual(seen.ends, [3000]);
});
