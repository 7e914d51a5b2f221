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
