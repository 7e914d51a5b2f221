/** Measures the speed of the simulation. */

import { Region } from '../region.js';
import { fleetDay } from './fleet-day.js';

/** How fast a fleet is simulated. */
export interface SpeedMeasurement {
  readonly machines: number;
  readonly simulatedS: number;
  /** Real seconds that the simulation took, by the clock of the caller. */
  readonly tookS: number;
  /** Simulated seconds per real second. */
  readonly timesRealTime: number;
  /** Events of the simulation per simulated second. */
  readonly happeningsPerSimulatedS: number;
  readonly residentMb: number;
}

/** Measures how fast a fleet of a given size is simulated from its start, without faults. */
export async function measureSpeed(
  machines: number,
  simulatedS: number,
  clockMs: () => number,
  residentBytes: () => number,
): Promise<SpeedMeasurement> {
  const startedMs = clockMs();
  const region = new Region({ day: fleetDay(machines, simulatedS) });
  await region.play();
  const tookS = (clockMs() - startedMs) / 1000;
  const residentMb = Math.round(residentBytes() / 1e6);
  const { executedCount } = region.world;
  region.close();
  return {
    ...{ machines, simulatedS, tookS, residentMb },
    timesRealTime: simulatedS / tookS,
    happeningsPerSimulatedS: Math.round(executedCount / simulatedS),
  };
}
