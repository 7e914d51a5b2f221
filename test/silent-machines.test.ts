import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SilentMachines } from '../src/leasing/index.js';
import { machineId } from '../src/kernel/index.js';
import { serveJson } from '../packages/region/src/index.js';
import { SimulationHarness } from '../packages/region/test/simulation-harness.js';

const AT = { host: '10.1.0.1', port: 9000 };
const MACHINE = machineId('m-1');
const PROBE_MS = 1500;

/** A leader's view of one silent machine, whose address answers with the status of a machine of this name, if any. */
function silentMachine(answersAs: string | null) {
  const lab = new SimulationHarness();
  const status = { drifter: answersAs, tide: 1, tally: 1, helm: 0, pieces: [] };
  if (answersAs !== null)
    serveJson(lab.process(AT.host), AT, lab.log, () => Promise.resolve({ status: 200, body: status }));
  const heard: string[] = [];
  const silent = new SilentMachines({
    runtime: lab.process('10.0.0.1'),
    heard: ({ machine }) => void heard.push(machine),
    requestRound: () => undefined,
  });
  const isGone = (): boolean => silent.isGone(MACHINE, `${AT.host}:${AT.port}`);
  return { lab, heard, isGone };
}

test('a silent machine counts as gone only when its worker does not answer a probe, or another one answers', async () => {
  for (const [answersAs, gone] of [
    [MACHINE, false],
    ['m-2', true],
    [null, true],
  ] as const) {
    const { lab, heard, isGone } = silentMachine(answersAs);
    assert.equal(isGone(), false, 'silence alone is no evidence');
    await lab.advance(PROBE_MS);
    assert.equal(isGone(), gone);
    assert.deepEqual(heard, gone ? [] : [MACHINE]);
  }
});

test('a probe without an answer counts for a while only', async () => {
  const { lab, isGone } = silentMachine(null);
  isGone();
  await lab.advance(PROBE_MS);
  assert.ok(isGone());
  await lab.advance(20_000);
  assert.equal(isGone(), false);
});
