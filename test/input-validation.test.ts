/** Tests of input validation: settings, submissions, worker reports and tunables. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseSettings, SettingsError } from '../src/config/index.js';
import { parseJobId, parseSubmission, unschedulableReason } from '../src/jobs/index.js';
import { decodeWorkerMessage } from '../src/workers/index.js';
import { decodeSettings, parseTunables } from '../src/admin/index.js';

/** A minimal valid settings file. */
export const SETTINGS = `
node = "n-0"
area = "z"
serve_on = "127.0.0.1:1"
cluster_listen = "127.0.0.1:2"
unheard_of = 3
[services]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[facts]
zones = ["z"]
[[facts.teams]]
name = "t"
cpus_max = 8.0
[facts.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 45.0
gang_peer_s = 5.0
cancel_s = 35.0
[facts.state]
rps = 150.0
write_rps = 20.0
value_kb = 32.0
txn_ops = 16
[facts.cloud]
rps = 4.0
list_lag_s = 5.0
`;

const submission = {
  ref: 'j-1',
  jobclass: 'c',
  owner: 't',
  shape: 'sweep',
  urgency: 'low',
  pieces: 2,
  vcpus: 2.0,
  accelerators: 0.0,
  ram_gb: 4.0,
  bundle: 'i',
  pull_gb: 1.0,
  hulls: null,
  berth: null,
  same_place: false,
  scatter: false,
  flotsam: true,
  expected_s: 10.0,
  mark_every_s: 0.0,
  mark_cost_s: 0.0,
  due_s: null,
};

test('settings: unknown fields are ignored; a missing or invalid field is named in one line', () => {
  assert.equal(parseSettings(SETTINGS).workers.leaseMs, 10_000);
  const invalid: [RegExp, string][] = [
    [/^serve_on: /, SETTINGS.replace('serve_on = "127.0.0.1:1"', 'serve_on = "nowhere"')],
    [/^node: /, SETTINGS.replace('node = "n-0"', '')],
    [/^facts\.workers\.lease_s: /, SETTINGS.replace('lease_s = 10.0', 'lease_s = "long"')],
    [/^not valid TOML: /, 'node = '],
  ];
  for (const [pattern, toml] of invalid) {
    assert.throws(
      () => parseSettings(toml),
      (error: unknown) =>
        error instanceof SettingsError && pattern.test(error.message) && !error.message.includes('\n'),
    );
  }
});

test('submissions: each missing, invalid or out-of-range field is rejected and named', () => {
  assert.ok(parseSubmission(submission).ok);
  const invalid: Record<string, unknown> = {
    ref: 'x-1',
    jobclass: 7,
    owner: null,
    shape: 'array',
    urgency: 'normal',
    pieces: 100_001,
    vcpus: -1,
    ram_gb: '4',
    hulls: 'small',
    expected_s: Infinity,
  };
  for (const [field, value] of Object.entries(invalid)) {
    const parsed = parseSubmission({ ...submission, [field]: value });
    assert.ok(!parsed.ok && parsed.reason.startsWith(field), field);
  }
  for (const body of [null, [], 'text', 3, {}]) assert.ok(!parseSubmission(body).ok);
});

test('submissions: only nullable fields may be omitted; any other missing or null field is named', () => {
  const nullable = ['hulls', 'berth', 'due_s'];
  for (const field of Object.keys(submission)) {
    const without = Object.fromEntries(Object.entries(submission).filter(([name]) => name !== field));
    for (const body of [without, { ...submission, [field]: null }]) {
      const parsed = parseSubmission(body);
      assert.equal(parsed.ok, nullable.includes(field), field);
      if (!parsed.ok) assert.ok(parsed.reason.startsWith(field), parsed.reason);
    }
  }
});

test('malformed job ids are rejected', () => {
  assert.equal(parseJobId('j-000412'), 'j-000412');
  for (const id of ['', 'j-', 'j-1/2', 'k-1', 'j-a b', '../live', `j-${'9'.repeat(200)}`])
    assert.equal(parseJobId(id), null);
});

test('a job that can never run is rejected with the reason', () => {
  const types = [
    {
      name: 's',
      cpus: 4,
      gpus: 0,
      memoryGb: 8,
      cacheGb: 1,
      fetchGbPerS: 1,
      price: 1,
      spotPrice: 1,
      bootS: 1,
      zones: ['z'],
    },
  ];
  const teams = parseSettings(SETTINGS).teams;
  const rejectionOf = (overrides: object): string | null => {
    const parsed = parseSubmission({ ...submission, ...overrides });
    assert.ok(parsed.ok);
    return unschedulableReason(parsed.spec, teams, types);
  };
  assert.equal(rejectionOf({}), null);
  assert.match(rejectionOf({ owner: 'u' }) ?? '', /unknown team/);
  assert.match(rejectionOf({ vcpus: 5.0 }) ?? '', /fits no allowed machine type/);
  assert.match(rejectionOf({ hulls: ['other'] }) ?? '', /fits no allowed machine type/);
  assert.equal(rejectionOf({ berth: 'z' }), null);
  assert.match(rejectionOf({ berth: 'nowhere' }) ?? '', /fits no allowed machine type/);
  // Two concurrent tasks confined to one zone, where spreading allows one; an array runs its tasks one after the other.
  assert.match(rejectionOf({ pieces: 2, shape: 'ensemble', scatter: true, same_place: true }) ?? '', /one zone/);
  assert.match(rejectionOf({ pieces: 2, shape: 'daemon', scatter: true, berth: 'z' }) ?? '', /one zone/);
  assert.equal(rejectionOf({ pieces: 1, shape: 'ensemble', scatter: true, same_place: true }), null);
  assert.equal(rejectionOf({ pieces: 2, scatter: true, same_place: true }), null);
  // The team limit must cover one task of an array, but all tasks of a gang or a service.
  assert.equal(rejectionOf({ pieces: 50, vcpus: 4.0 }), null);
  assert.match(rejectionOf({ pieces: 3, vcpus: 4.0, shape: 'ensemble' }) ?? '', /cpus/);
});

test('worker reports of any form are decoded or rejected without an exception', () => {
  fc.assert(
    fc.property(fc.jsonValue(), fc.jsonValue(), (a, b) => {
      const message = decodeWorkerMessage({ drifter: 'm', tide: 1, tally: 1, helm: 0, recall_s: a, pieces: b });
      assert.ok(message === null || message.machine === 'm');
      assert.equal(decodeWorkerMessage(a as unknown) === undefined, false);
    }),
    { seed: 9, numRuns: 500 },
  );
  assert.equal(decodeWorkerMessage({ drifter: 'm', tide: -1, tally: 1, helm: 0 }), null);
});

test("operators' tunables are validated, and malformed stored settings fall back to the defaults", () => {
  assert.deepEqual(parseTunables({ alpha: 0.4 }), { ok: true, patch: { alpha: 0.4 } });
  for (const body of [{ alpha: -1 }, { mu: 2 }, { gamma: 1 }, [], 'x', null]) assert.ok(!parseTunables(body).ok);
  const settings = decodeSettings({ tunables: { alpha: 'high' }, cordoned: ['m-1', 4] });
  assert.equal(settings.tunables.alpha, 0.5);
  assert.deepEqual([...settings.cordoned], ['m-1']);
});
