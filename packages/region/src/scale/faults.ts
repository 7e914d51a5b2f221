import { isObject, type Runtime } from '../../../../src/kernel/index.js';
import type { Day, Trouble } from '../day/index.js';
import type { RegionParts } from '../parts.js';
import type { Luck } from '../sim/index.js';
import { chooseMachines } from '../troubles.js';
import type { ControllerProcesses } from './controllers.js';
import { ScaleError } from './errors.js';
import type { HollowFleet } from './fleet.js';

/** Troubles of a day that real processes can be given. */
const PLAYED = new Set<Trouble['kind']>([
  'machines_restart',
  'machines_die',
  'zone_cut',
  'controller_crash',
  'controller_pause',
  'state_outage',
  'state_slow',
  'burst',
]);

/** Refuses days whose troubles or machines real processes can't be given, naming the field. */
export function checkDay(day: Day): void {
  const spot = day.machines.findIndex((entry) => entry.spot);
  if (spot >= 0) throw new ScaleError(`${day.name}: machines.${spot}.spot: a scale run has no spot machines`);
  const offered = day.capacity.findIndex((entry) => entry.spot > 0);
  if (offered >= 0) throw new ScaleError(`${day.name}: capacity.${offered}.spot: a scale run has no spot machines`);
  const odd = day.troubles.findIndex(({ kind }) => !PLAYED.has(kind));
  const trouble = day.troubles[odd];
  if (trouble) throw new ScaleError(`${day.name}: troubles.${odd}.kind: a scale run can't play ${trouble.kind}`);
}

export interface FaultTargets {
  readonly day: Day;
  readonly parts: RegionParts;
  readonly fleet: HollowFleet;
  readonly controllers: ControllerProcesses;
  readonly runtime: Runtime;
  readonly luck: Luck;
}

function controllersOf({ parts, controllers }: FaultTargets, which: number | 'leader' | 'all'): string[] {
  const names = controllers.seats.map(({ name }) => name);
  if (which === 'all') return names;
  if (which !== 'leader') return names.slice(which, which + 1);
  const leader = parts.state.get('live/leader');
  return isObject(leader) && typeof leader['node'] === 'string' ? [leader['node']] : [];
}

/** Lets a trouble begin, and plans its end. A zone that is cut loses its workers; its controllers stay in reach. */
export function playFault(trouble: Trouble, targets: FaultTargets): void {
  const { day, parts, fleet, controllers, runtime, luck } = targets;
  const after = (seconds: number, work: () => void): void => void runtime.after(seconds * 1000, work);
  switch (trouble.kind) {
    case 'machines_restart':
      for (const { id } of chooseMachines(parts.cloud.up, luck, trouble)) fleet.fault(id, 'restart', trouble.down_s);
      break;
    case 'machines_die':
      for (const machine of chooseMachines(parts.cloud.up, luck, trouble)) parts.cloud.die(machine);
      break;
    case 'zone_cut': {
      const cut = parts.cloud.up.filter(({ zone }) => zone === trouble.zone);
      for (const { id } of cut) fleet.fault(id, 'cut');
      after(trouble.for_s, () => cut.forEach(({ id }) => fleet.fault(id, 'heal')));
      break;
    }
    case 'controller_crash':
      for (const name of controllersOf(targets, trouble.controller))
        controllers.crash(name, trouble.down_s ?? day.controllers.restart_s);
      break;
    case 'controller_pause':
      for (const name of controllersOf(targets, trouble.controller)) controllers.pause(name, trouble.for_s);
      break;
    case 'state_outage':
      parts.state.outage(true);
      after(trouble.for_s, () => parts.state.outage(false));
      break;
    case 'state_slow':
      parts.state.slowness = trouble.times;
      after(trouble.for_s, () => (parts.state.slowness = 1));
      break;
    case 'burst':
      parts.users.burst(trouble.class, trouble.times);
      after(trouble.for_s, () => parts.users.burst(trouble.class, 1));
      break;
    default:
      throw new ScaleError(`a scale run can't play ${trouble.kind}`);
  }
}
