import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { incarnation, millis, nodeName, shardName, wallMillis, type Incarnation } from '../src/kernel/index.js';
import {
  decideRollout,
  decodeAnnouncement,
  decodeRolloutState,
  decodeOperatorRequests,
  encodeAnnouncement,
  encodeRolloutState,
  encodeOperatorRequests,
  EMPTY_ROLLOUT_STATE,
  NO_OPERATOR_REQUESTS,
  AUTO_REVERT_WINDOW_MS,
  MIN_STABLE_BEFORE_REPLACEMENT_MS,
  FeatureGates,
  NO_OBSERVATIONS,
  observeNodes,
  MIN_STABLE_BEFORE_SWITCH_ON_MS,
  replacementBlocker,
  type Announcement,
  type Feature,
  type FeatureRequest,
  type RolloutNode,
  type RolloutSnapshot,
  type RolloutState,
  type OperatorRequests,
  type NodeObservations,
} from '../src/rollout/index.js';
import { LIVE_PREFIX, Mirror, ROLLOUT_STATE_KEY, StateClient } from '../src/state/index.js';
import { SimulationHarness } from '../packages/region/test/simulation-harness.js';

const NAMES = ['n-0', 'n-1', 'n-2'].map(nodeName);
const FEATURES: readonly Feature[] = [
  { name: 'first', needs: [], minStableMs: MIN_STABLE_BEFORE_SWITCH_ON_MS },
  { name: 'second', needs: ['first'], minStableMs: MIN_STABLE_BEFORE_SWITCH_ON_MS },
];
const announcementOf = (incarnationId: string, features: readonly string[], release = 2): Announcement => ({
  ...{ incarnation: incarnation(incarnationId), release, features, frames: 3, records: { shard: 1 } },
});
const all = ['first', 'second'];
const registered = (features: readonly string[] = all): RolloutNode[] =>
  NAMES.map((node) => ({ node, announced: announcementOf(`${node}-a`, features) }));
const withRequest = (name: string, request: FeatureRequest, at = 50): OperatorRequests => ({
  ...NO_OPERATOR_REQUESTS,
  features: new Map([[name, { wish: request, at: wallMillis(at) }]]),
});
const isOn = (state: RolloutState, name: string): boolean => state.features.get(name)?.state === 'on';

/** All controllers have been registered for long enough. */
const STABLE: NodeObservations = { ...NO_OBSERVATIONS, stableSince: millis(0) };
const snapshotWith = (overrides: Partial<RolloutSnapshot> = {}): RolloutSnapshot => ({
  ...{
    now: millis(MIN_STABLE_BEFORE_SWITCH_ON_MS),
    wall: wallMillis(1000),
    features: FEATURES,
    state: EMPTY_ROLLOUT_STATE,
    requests: NO_OPERATOR_REQUESTS,
  },
  ...{ nodes: registered(), observations: STABLE, recordsToRevert: () => 0 },
  ...overrides,
});

test('a feature is switched on once all configured controllers have supported it for long enough', () => {
  assert.equal(decideRollout(snapshotWith()).changed?.feature, 'first');
  const early = decideRollout(snapshotWith({ now: millis(MIN_STABLE_BEFORE_SWITCH_ON_MS - 1) }));
  assert.equal(early.next, null);
  assert.match(early.waits.get('first') ?? '', /not for long enough/);
  const [one, two, three] = registered();
  assert.ok(one && two && three);
  const old = { ...two, announced: decodeAnnouncement({ incarnation: 'x' }) };
  assert.equal(decideRollout(snapshotWith({ nodes: [one, old, three] })).waits.get('first'), 'not supported by n-1');
  // A controller that is down counts too, because it may come back with the release that it ran before.
  const down = { ...three, announced: null };
  assert.equal(decideRollout(snapshotWith({ nodes: [one, two, down] })).waits.get('first'), 'not registered: n-2');
  assert.equal(decideRollout(snapshotWith()).waits.get('second'), undefined);
  const { next } = decideRollout(snapshotWith());
  assert.ok(next && isOn(next, 'first') && !isOn(next, 'second'));
  assert.equal(decideRollout(snapshotWith({ state: next })).changed?.feature, 'second');
});

test('operators can hold, pause, revert and finish; a held feature does not hold another one', () => {
  const independent: readonly Feature[] = [
    { name: 'first', needs: [], minStableMs: MIN_STABLE_BEFORE_SWITCH_ON_MS },
    { name: 'other', needs: [], minStableMs: MIN_STABLE_BEFORE_SWITCH_ON_MS },
  ];
  const nodes = registered(['first', 'other']);
  const held = decideRollout(snapshotWith({ features: independent, nodes, requests: withRequest('first', 'hold') }));
  assert.equal(held.changed?.feature, 'other');
  assert.equal(
    decideRollout(snapshotWith({ requests: { ...NO_OPERATOR_REQUESTS, paused: true } })).waits.get('first'),
    'the rollout is paused',
  );
  const on = decideRollout(snapshotWith()).next ?? EMPTY_ROLLOUT_STATE;
  const both = decideRollout(snapshotWith({ state: on })).next ?? EMPTY_ROLLOUT_STATE;
  // A feature that depends on it is reverted first.
  assert.match(
    decideRollout(snapshotWith({ state: both, requests: withRequest('first', 'back') })).waits.get('first') ?? '',
    /second/,
  );
  const back = decideRollout(snapshotWith({ state: on, requests: withRequest('first', 'back') }));
  assert.equal(back.changed?.to, 'returning');
  const pending = decideRollout(
    snapshotWith({
      state: back.next ?? EMPTY_ROLLOUT_STATE,
      requests: withRequest('first', 'back'),
      recordsToRevert: () => 3,
    }),
  );
  assert.equal(pending.waits.get('first'), '3 records still to be reverted');
  const off = decideRollout(
    snapshotWith({ state: back.next ?? EMPTY_ROLLOUT_STATE, requests: withRequest('first', 'back') }),
  );
  assert.equal(off.changed?.to, 'off');
  assert.equal(
    decideRollout(snapshotWith({ state: off.next ?? EMPTY_ROLLOUT_STATE, requests: withRequest('first', 'back') }))
      .next,
    null,
  );
  const finished =
    decideRollout(snapshotWith({ state: on, requests: { ...NO_OPERATOR_REQUESTS, finish: ['first'] } })).next ??
    EMPTY_ROLLOUT_STATE;
  assert.equal(finished.features.get('first')?.finished, true);
  assert.equal(
    decideRollout(snapshotWith({ state: finished, requests: withRequest('first', 'back') })).changed?.feature,
    'second',
  );
});

test('a feature is reverted when controllers exit after the switch, and then waits for an operator', () => {
  const on = decideRollout(snapshotWith()).next ?? EMPTY_ROLLOUT_STATE;
  const afterSwitch = { now: millis(MIN_STABLE_BEFORE_SWITCH_ON_MS + 900), wall: wallMillis(1900) };
  const exits = (count: number, when = MIN_STABLE_BEFORE_SWITCH_ON_MS + 10): NodeObservations => ({
    ...STABLE,
    exitTimes: Array.from({ length: count }, () => millis(when)),
  });
  const features = FEATURES.slice(0, 1);
  // One exit per controller is what a rolling restart looks like.
  assert.equal(decideRollout(snapshotWith({ ...afterSwitch, features, state: on, observations: exits(3) })).next, null);
  // Exits before the feature was switched on had another cause.
  assert.equal(
    decideRollout(
      snapshotWith({
        ...afterSwitch,
        features,
        state: on,
        observations: exits(9, MIN_STABLE_BEFORE_SWITCH_ON_MS - 10),
      }),
    ).next,
    null,
  );
  assert.equal(
    decideRollout(
      snapshotWith({
        ...afterSwitch,
        features,
        state: on,
        observations: exits(4),
        wall: wallMillis(1000 + AUTO_REVERT_WINDOW_MS),
      }),
    ).next,
    null,
  );
  const stopped = decideRollout(snapshotWith({ ...afterSwitch, features, state: on, observations: exits(4) }));
  assert.equal(stopped.changed?.to, 'returning');
  const off =
    decideRollout(snapshotWith({ features, state: stopped.next ?? EMPTY_ROLLOUT_STATE, wall: wallMillis(2000) }))
      .next ?? EMPTY_ROLLOUT_STATE;
  const state = off;
  assert.match(decideRollout(snapshotWith({ features, state })).waits.get('first') ?? '', /^stopped: 4 ends/);
  // A request from before the feature was stopped does not count.
  assert.equal(
    decideRollout(snapshotWith({ features, state, requests: withRequest('first', 'allow', 1500) })).next,
    null,
  );
  assert.equal(
    decideRollout(snapshotWith({ features, state, requests: withRequest('first', 'allow', 2500) })).changed?.to,
    'on',
  );
});

/** A stored key of the model. */
interface Key<T> {
  value: T;
  version: number;
}

/** What a leader has read: a snapshot and the versions of the keys that it comes from. */
interface LeaderRead {
  readonly snapshot: RolloutSnapshot;
  readonly versions: readonly number[];
}

/**
 * A reference model: a store of versioned keys whose actual content is checked at each switch. Leaders decide with the
 * real code, on reads that may be stale by the time they write.
 */
class ModelRegion {
  revision = 1;
  now = 0;
  readonly nodes = new Map(NAMES.map((name) => [name, { value: null, version: 0 } as Key<Announcement | null>]));
  state: Key<RolloutState> = { value: EMPTY_ROLLOUT_STATE, version: 0 };
  requests: Key<OperatorRequests> = { value: NO_OPERATOR_REQUESTS, version: 0 };
  leader = 1;
  incarnationCount = 0;
  readonly observations: NodeObservations[] = [NO_OBSERVATIONS, NO_OBSERVATIONS];
  readonly reads: (LeaderRead | null)[] = [null, null];
  switchCount = 0;

  get versions(): number[] {
    return [
      this.leader,
      this.state.version,
      this.requests.version,
      ...NAMES.map((n) => this.nodes.get(n)?.version ?? 0),
    ];
  }

  set(name: number, value: Announcement | null): void {
    const key = this.nodes.get(NAMES[name] ?? nodeName(''));
    if (!key || (key.value === null && value === null)) return;
    key.value = value;
    key.version = value === null ? 0 : ++this.revision;
  }

  read(leader: number): void {
    const nodes = NAMES.map((node) => ({ node, announced: this.nodes.get(node)?.value ?? null }));
    const observations = observeNodes(this.observations[leader] ?? NO_OBSERVATIONS, nodes, millis(this.now));
    this.observations[leader] = observations;
    this.reads[leader] = {
      snapshot: {
        ...{ now: millis(this.now), wall: wallMillis(this.now), features: FEATURES, nodes, observations },
        ...{ state: this.state.value, requests: this.requests.value, recordsToRevert: () => 0 },
      },
      versions: this.versions,
    };
  }

  /** Writes the decision based on a read, as the state service does: all guards hold, or nothing is written. */
  write(leader: number): void {
    const read = this.reads[leader];
    this.reads[leader] = null;
    if (!read) return;
    const { next, changed } = decideRollout(read.snapshot);
    if (!next || !changed || read.versions.some((version, i) => version !== this.versions[i])) return;
    if (changed.to === 'on') this.assertSafe(changed.feature);
    this.state = { value: next, version: ++this.revision };
    this.switchCount += 1;
  }

  /** Checks the actual state at the moment of the switch, not what the leader has read. */
  private assertSafe(feature: string): void {
    for (const name of NAMES) {
      const { value } = this.nodes.get(name) ?? { value: null };
      assert.ok(value, `${feature} is switched on while ${name} is not registered`);
      assert.ok(value.features.includes(feature), `${feature} is switched on while ${name} does not support it`);
    }
    for (const need of FEATURES.find((f) => f.name === feature)?.needs ?? [])
      assert.ok(isOn(this.state.value, need), `${feature} is switched on without ${need}`);
    const request = this.requests.value.features.get(feature)?.wish;
    assert.ok(
      request !== 'hold' && request !== 'back' && !this.requests.value.paused,
      `${feature} is switched on against a request`,
    );
  }
}

const nodeIndex = fc.integer({ min: 0, max: 2 });
const leaderIndex = fc.integer({ min: 0, max: 1 });
const event = fc.oneof(
  { weight: 2, arbitrary: fc.record({ do: fc.constant('end' as const), node: nodeIndex }) },
  {
    weight: 6,
    arbitrary: fc.record({
      ...{ do: fc.constant('begin' as const), node: nodeIndex },
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
  events: fc.array(event, { maxLength: 3 }),
  leader: leaderIndex,
  /** Time between the leader's two reads, in which nothing happens. */
  elapsedMs: fc.constantFrom(
    200,
    MIN_STABLE_BEFORE_SWITCH_ON_MS,
    MIN_STABLE_BEFORE_SWITCH_ON_MS,
    MIN_STABLE_BEFORE_SWITCH_ON_MS,
  ),
  /** An event between the leader's last read and its write; there may be no write. */
  meanwhile: fc.option(event, { freq: 2 }),
  writes: fc.constantFrom(true, true, true, false),
});

test('model: features are switched on, but never while a controller is missing or lacks them, even by a stale leader', () => {
  let totalSwitches = 0;
  fc.assert(
    fc.property(fc.array(step, { minLength: 5, maxLength: 30, size: 'max' }), (steps) => {
      const region = new ModelRegion();
      const start = (node: number, supported: readonly string[]): void =>
        region.set(node, announcementOf(`life-${++region.incarnationCount}`, supported));
      const apply = (s: typeof event extends fc.Arbitrary<infer T> ? T : never): void => {
        if (s.do === 'end') region.set(s.node, null);
        else if (s.do === 'begin') start(s.node, s.has);
        else if (s.do === 'elect') region.leader = ++region.revision;
        else if (s.do === 'pause')
          region.requests = { value: { ...region.requests.value, paused: s.on }, version: ++region.revision };
        else {
          const features = new Map(region.requests.value.features);
          features.set(s.feature, { wish: s.wish, at: wallMillis(region.now) });
          region.requests = { value: { ...region.requests.value, features }, version: ++region.revision };
        }
      };
      for (const i of [0, 1, 2]) start(i, all);
      for (const s of steps) {
        for (const e of s.events) apply(e);
        region.read(s.leader);
        region.now += s.elapsedMs;
        region.read(s.leader);
        if (s.meanwhile) apply(s.meanwhile);
        if (s.writes) region.write(s.leader);
      }
      // Without further events and with an operator's approval, also after an automatic revert, all features are
      // switched on.
      for (const i of [0, 1, 2]) start(i, all);
      for (let i = 0; i < 12; i++) {
        const allow = (name: string) => [name, { wish: 'allow' as const, at: wallMillis(region.now) }] as const;
        region.requests = {
          value: { ...NO_OPERATOR_REQUESTS, features: new Map(all.map(allow)) },
          version: ++region.revision,
        };
        region.read(0);
        region.write(0);
        region.now += MIN_STABLE_BEFORE_SWITCH_ON_MS;
      }
      for (const name of all) assert.ok(isOn(region.state.value, name), `${name} was never switched on`);
      totalSwitches += region.switchCount;
    }),
    { seed: 21, numRuns: 400 },
  );
  // Each run ends with two switches; the others happen while controllers start and stop.
  assert.ok(totalSwitches > 1000, String(totalSwitches));
});

test('model: an older release that registers between a leader’s read and its write makes the write fail', () => {
  const region = new ModelRegion();
  for (const i of [0, 1, 2]) region.set(i, announcementOf(`a-${i}`, all));
  region.read(0);
  region.now += MIN_STABLE_BEFORE_SWITCH_ON_MS;
  region.read(0);
  region.set(1, announcementOf('older', []));
  region.write(0);
  assert.equal(region.switchCount, 0);
  // The guards prevent it: with current versions in them, the same write goes through and the model detects it.
  region.set(1, announcementOf('newer', all));
  region.read(0);
  region.now += MIN_STABLE_BEFORE_SWITCH_ON_MS;
  region.read(0);
  const stale = region.reads[0];
  region.set(1, announcementOf('older again', []));
  assert.ok(stale);
  region.reads[0] = { ...stale, versions: region.versions };
  assert.throws(() => region.write(0), /first is switched on while n-1 does not support it/);
});

test('an announcement is decoded as it was encoded; a key of the first release has none', () => {
  const announcement = { release: 7, features: ['a'], frames: 4, records: { shard: 2 } };
  assert.deepEqual(decodeAnnouncement({ ...encodeAnnouncement(announcement), incarnation: 'x' }), {
    ...announcement,
    incarnation: 'x',
  });
  assert.deepEqual(decodeAnnouncement({ incarnation: 'x' }), {
    ...{ incarnation: 'x', release: 1, features: [], frames: 2, records: {} },
  });
  assert.equal(decodeAnnouncement({ release: {} }), null);
  for (const odd of [null, 7, [], { number: -1, features: [3, 'b'], frames: 'x', records: { job: 'y' } }])
    assert.ok(decodeAnnouncement({ incarnation: 'x', release: odd }));
});

test('rollout records are decoded as encoded; a newer format is not read, and unknown fields are kept', () => {
  const state = decideRollout(snapshotWith()).next ?? EMPTY_ROLLOUT_STATE;
  const withUnknownField = { ...(JSON.parse(JSON.stringify(encodeRolloutState(state))) as object), added: [1] };
  const read = decodeRolloutState(withUnknownField);
  assert.deepEqual(
    [...(read?.features ?? [])].map(([name, feature]) => [name, { ...feature, stored: undefined }]),
    [...state.features],
  );
  assert.deepEqual((read && encodeRolloutState(read))?.['added'], [1]);
  assert.equal(decodeRolloutState({ ...withUnknownField, v: 2 }), null);
  const requests = { ...withRequest('first', 'hold'), paused: true, finish: ['second'] };
  assert.deepEqual(decodeOperatorRequests(JSON.parse(JSON.stringify(encodeOperatorRequests(requests)))), requests);
  assert.equal(decodeOperatorRequests({ v: 9 }), null);
  // A state that only a later release knows does not make this program use the feature.
  const odd = decodeRolloutState({ features: { first: { state: 'half', since: 1 } } });
  assert.equal(odd?.features.get('first')?.state, 'off');
});

test('a process uses a feature that is on and that it supports; a record that it cannot read changes nothing', () => {
  const lab = new SimulationHarness();
  const runtime = lab.process('10.0.0.1');
  const mirror = new Mirror(
    new StateClient(lab.state().at, { rps: 9, writeRps: 9 }, lab.log, runtime),
    LIVE_PREFIX,
    runtime,
    lab.log,
  );
  const gates = new FeatureGates(mirror, new Set(['first']));
  const put = (value: unknown, version: number): void =>
    mirror.apply({ key: ROLLOUT_STATE_KEY, value, removed: false, version: version as never });
  assert.equal(gates.isOn('first'), false);
  put({ features: { first: { state: 'on' }, second: { state: 'on' } } }, 5);
  assert.deepEqual([gates.isOn('first'), gates.isOn('second')], [true, false]);
  put({ v: 2, features: {} }, 6);
  assert.equal(gates.isOn('first'), true);
  put({ features: { first: { state: 'returning' } } }, 7);
  assert.equal(gates.isOn('first'), false);
});

test('the next controller may be replaced when all are registered, none is leaving and no shard is displaced', () => {
  const shards = NAMES.map((node) => ({
    shard: shardName(node),
    holder: node as typeof node | null,
    unreadable: false,
  }));
  const replaceable = {
    now: millis(MIN_STABLE_BEFORE_REPLACEMENT_MS),
    nodes: registered(),
    shards,
    leaving: [],
    observations: STABLE,
  };
  const [first, ...rest] = shards;
  const [, second] = NAMES;
  assert.ok(first && second);
  assert.equal(replacementBlocker(replaceable), null);
  assert.match(
    replacementBlocker({ ...replaceable, now: millis(MIN_STABLE_BEFORE_REPLACEMENT_MS - 1) }) ?? '',
    /changed too recently/,
  );
  assert.match(replacementBlocker({ ...replaceable, leaving: [second] }) ?? '', /leaving: n-1/);
  assert.match(
    replacementBlocker({ ...replaceable, shards: [{ ...first, holder: second }, ...rest] }) ?? '',
    /held by n-1/,
  );
  assert.match(
    replacementBlocker({ ...replaceable, shards: [{ ...first, holder: null }, ...rest] }) ?? '',
    /without a holder: n-0/,
  );
  assert.match(
    replacementBlocker({ ...replaceable, shards: [{ ...first, unreadable: true }, ...rest] }) ?? '',
    /another release: n-0/,
  );
  const [, ...others] = registered();
  assert.match(
    replacementBlocker({ ...replaceable, nodes: [{ node: first.holder ?? second, announced: null }, ...others] }) ?? '',
    /not registered/,
  );
});

test('each controller exit is counted once and restarts the time since which the controllers are stable', () => {
  const withIncarnations = (...given: (string | null)[]): RolloutNode[] =>
    NAMES.map((node, i) => {
      const id = given[i] as Incarnation | null;
      return { node, announced: id === null ? null : announcementOf(id, all) };
    });
  let seen = observeNodes(NO_OBSERVATIONS, withIncarnations('a', 'b', 'c'), millis(0));
  assert.deepEqual([seen.stableSince, seen.exitTimes.length], [0, 0]);
  seen = observeNodes(seen, withIncarnations('a', 'b', 'c'), millis(500));
  assert.equal(seen.stableSince, 0);
  seen = observeNodes(seen, withIncarnations('a', null, 'c'), millis(1000));
  assert.deepEqual([seen.stableSince, seen.exitTimes], [null, [1000]]);
  seen = observeNodes(seen, withIncarnations('a', 'b2', 'c'), millis(2000));
  assert.deepEqual([seen.stableSince, seen.exitTimes], [2000, [1000]]);
  // A controller replaced between two observations.
  seen = observeNodes(seen, withIncarnations('a', 'b3', 'c'), millis(3000));
  assert.deepEqual([seen.stableSince, seen.exitTimes], [3000, [1000, 3000]]);
  seen = observeNodes(seen, withIncarnations('a', 'b3', 'c'), millis(1000 + AUTO_REVERT_WINDOW_MS));
  assert.deepEqual(seen.exitTimes, [3000]);
});
