import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Region, type SimulationScenario } from '../src/index.js';
import { shortDay } from './test-days.js';

const DAY_S = 60;
const ZONES = ['north', 'south'];
const MACHINES_PER_ZONE = 120;
/** Too few for all machines at one controller, enough for those of its own block and its users. */
const MAX_CONNECTIONS = 300;

/** A day on which all machines are up at the start, and report to the leader until they are in a block. */
function manyMachinesDay(release: string): SimulationScenario {
  const day = shortDay(DAY_S, []);
  return {
    ...day,
    controllers: { ...day.controllers, max_connections: MAX_CONNECTIONS, releases: [release, release, release] },
    capacity: day.capacity.map((entry) => ({ ...entry, ordinary: MACHINES_PER_ZONE })),
    machines: ZONES.map((zone) => ({ type: 'desk', zone, spot: false, count: MACHINES_PER_ZONE })),
    classes: day.classes.map((c) =>
      c.name === 'letters' ? { ...c, initial: 60, per_minute: 20 } : { ...c, initial: 0, per_minute: 2 },
    ),
  };
}

/** A log line about one machine or several. */
interface MachineLine {
  readonly msg: string;
  readonly machine?: string;
  readonly machines?: readonly string[];
}

/** The machines that the leader returned although nobody had asked their holder to release them. */
async function machinesReturnedAsSilent(release: string): Promise<string[]> {
  const lines: MachineLine[] = [];
  const write = (line: string): void => void lines.push(JSON.parse(line) as MachineLine);
  const region = new Region({ day: manyMachinesDay(release), controllerLog: { level: 'info', write } });
  await region.play();
  const { breaches, defects } = region.close();
  assert.deepEqual([breaches, defects], [[], []]);
  const released = new Set(lines.filter(({ msg }) => msg.startsWith('asking the holder')).map((line) => line.machine));
  const returned = lines.filter(({ msg }) => msg.startsWith('returned unassigned machines'));
  return returned.flatMap(({ machines }) => machines ?? []).filter((id) => !released.has(id));
}

test('healthy machines that get no connection to the leader are not returned as silent', async () => {
  assert.deepEqual(await machinesReturnedAsSilent('this'), []);
  assert.ok((await machinesReturnedAsSilent('before-raised-tokens')).length > 0, 'an earlier release returns some');
});

const BURST_DAY_S = 30;
const BURST_JOBS = 400;
const BURST_MACHINES_PER_ZONE = 60;

/** A day that begins with more submissions than the state service takes changes for in its first half minute. */
function burstDay(release: string): SimulationScenario {
  const day = shortDay(BURST_DAY_S, []);
  return {
    ...day,
    controllers: { ...day.controllers, releases: [release, release, release] },
    state: { ...day.state, write_rps: 10 },
    machines: ZONES.map((zone) => ({ type: 'desk', zone, spot: false, count: BURST_MACHINES_PER_ZONE })),
    capacity: day.capacity.map((entry) => ({ ...entry, ordinary: BURST_MACHINES_PER_ZONE })),
    classes: day.classes.map((c) =>
      c.name === 'letters'
        ? { ...c, initial: BURST_JOBS, per_minute: BURST_JOBS }
        : { ...c, initial: 0, per_minute: 0 },
    ),
  };
}

/** How many machines have come into a block within a lease. */
async function assignedWithinLease(release: string): Promise<number> {
  const day = burstDay(release);
  let assigned = 0;
  const write = (line: string): void => {
    const { msg, time, machines } = JSON.parse(line) as MachineLine & { readonly time: number };
    if (msg === 'assigned machines to a shard' && time < day.workers.lease_s) assigned += machines?.length ?? 0;
  };
  const region = new Region({ day, controllerLog: { level: 'info', write } });
  await region.play();
  const { breaches, defects } = region.close();
  assert.deepEqual([breaches, defects], [[], []]);
  return assigned;
}

test('machines come into blocks while more jobs are submitted than the state service takes changes for', async () => {
  assert.equal(await assignedWithinLease('this'), ZONES.length * BURST_MACHINES_PER_ZONE);
  assert.ok((await assignedWithinLease('before-raised-tokens')) < 10, 'in an earlier release next to none do');
});
