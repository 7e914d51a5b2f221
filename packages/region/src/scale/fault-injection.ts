/** Injects the faults of a day into the processes and models of a scale run. */

import { isObject, type Runtime } from '../../../../src/kernel/index.js';
import type { SimulationScenario, Fault } from '../scenario/index.js';
import type { RegionParts } from '../region-parts.js';
import type { RandomStream } from '../sim/index.js';
import { chooseMachines } from '../fault-injection.js';
import { delayRangeMs } from '../message-copies.js';
import type { ControllerProcesses } from './controller-processes.js';
import { ScaleError } from './errors.js';
import type { HollowFleet } from './hollow-fleet.js';

/** Kinds of faults that can be injected into real processes. */
const SUPPORTED_FAULTS = new Set<Fault['kind']>([
  'machines_restart',
  'machines_die',
  'zone_cut',
  'controller_crash',
  'controller_pause',
  'state_outage',
  'state_slow',
  'burst',
  'commands_again',
  'writes_again',
]);

/**
 * Checks that a scale run supports the machines and faults of a day.
 *
 * @throws ScaleError that names the unsupported field.
 */
export function checkScaleDay(day: SimulationScenario): void {
  const spotMachinesIndex = day.machines.findIndex((entry) => entry.spot);
  if (spotMachinesIndex >= 0)
    throw new ScaleError(`${day.name}: machines.${spotMachinesIndex}.spot: a scale run does not support spot machines`);
  const spotCapacityIndex = day.capacity.findIndex((entry) => entry.spot > 0);
  if (spotCapacityIndex >= 0)
    throw new ScaleError(`${day.name}: capacity.${spotCapacityIndex}.spot: a scale run does not support spot machines`);
  const unsupportedIndex = day.troubles.findIndex(({ kind }) => !SUPPORTED_FAULTS.has(kind));
  const fault = day.troubles[unsupportedIndex];
  const keptIndex = day.troubles.findIndex((trouble) => trouble.kind === 'commands_again' && trouble.for_next === true);
  if (keptIndex >= 0)
    throw new ScaleError(`${day.name}: troubles.${keptIndex}.for_next: a scale run does not support kept commands`);
  if (fault)
    throw new ScaleError(`${day.name}: troubles.${unsupportedIndex}.kind: a scale run does not support ${fault.kind}`);
}

/** What faults are injected into. */
export interface FaultTargets {
  readonly day: SimulationScenario;
  readonly parts: RegionParts;
  readonly fleet: HollowFleet;
  readonly controllers: ControllerProcesses;
  readonly runtime: Runtime;
  readonly random: RandomStream;
}

/** Returns the names of the controllers that a fault means; none if there is no leader now. */
function targetControllers({ parts, controllers }: FaultTargets, which: number | 'leader' | 'all'): string[] {
  const names = controllers.specs.map(({ name }) => name);
  if (which === 'all') return names;
  if (which !== 'leader') return names.slice(which, which + 1);
  const leader = parts.state.get('live/leader');
  return isObject(leader) && typeof leader['node'] === 'string' ? [leader['node']] : [];
}

/** Begins a fault and schedules its end. A zone cut only disconnects the workers of the zone; its controllers stay reachable. */
export function injectFault(fault: Fault, targets: FaultTargets): void {
  const { day, parts, fleet, controllers, runtime, random } = targets;
  const schedule = (seconds: number, action: () => void): void => void runtime.after(seconds * 1000, action);
  switch (fault.kind) {
    case 'machines_restart':
      for (const { id } of chooseMachines(parts.cloud.up, random, fault)) fleet.applyFault(id, 'restart', fault.down_s);
      break;
    case 'machines_die':
      for (const machine of chooseMachines(parts.cloud.up, random, fault)) parts.cloud.failMachine(machine);
      break;
    case 'zone_cut': {
      const cutMachines = parts.cloud.up.filter(({ zone }) => zone === fault.zone);
      for (const { id } of cutMachines) fleet.applyFault(id, 'cut');
      schedule(fault.for_s, () => cutMachines.forEach(({ id }) => fleet.applyFault(id, 'heal')));
      break;
    }
    case 'controller_crash':
      for (const name of targetControllers(targets, fault.controller))
        controllers.crash(name, fault.down_s ?? day.controllers.restart_s);
      break;
    case 'controller_pause':
      for (const name of targetControllers(targets, fault.controller)) controllers.pause(name, fault.for_s);
      break;
    case 'state_outage':
      parts.state.setOutage(true);
      schedule(fault.for_s, () => parts.state.setOutage(false));
      break;
    case 'state_slow':
      parts.state.slowness = fault.times;
      schedule(fault.for_s, () => (parts.state.slowness = 1));
      break;
    case 'commands_again':
      fleet.duplicateCommands({
        ...{ share: fault.share, lateMs: delayRangeMs(day, fault.late_s), afterRestart: fault.after_restart === true },
      });
      schedule(fault.for_s, () => fleet.duplicateCommands(null));
      break;
    case 'writes_again':
      parts.state.writeCopies = { share: fault.share, lateMs: delayRangeMs(day, fault.late_s) };
      schedule(fault.for_s, () => (parts.state.writeCopies = null));
      break;
    case 'burst':
      parts.users.setArrivalFactor(fault.class, fault.times);
      schedule(fault.for_s, () => parts.users.setArrivalFactor(fault.class, 1));
      break;
    default:
      throw new ScaleError(`a scale run does not support ${fault.kind}`);
  }
}
