import { Region } from '../region.js';
import { fleetDay } from './fleet.js';

export interface Speed {
  readonly machines: number;
  readonly simulatedS: number;
  /** Real seconds that it took, measured by the caller's clock. */
  readonly tookS: number;
  readonly timesRealTime: number;
  readonly happeningsPerSimulatedS: number;
  readonly residentMb: number;
}

/** How fast a fleet of so many machines plays, from its start on; nothing fails. */
export async function measureSpeed(
  machines: number,
  simulatedS: number,
  clockMs: () => number,
  residentBytes: () => number,
): Promise<Speed> {
  const began = clockMs();
  const region = new Region({ day: fleetDay(machines, simulatedS) });
  await region.play();
  const tookS = (clockMs() - began) / 1000;
  const residentMb = Math.round(residentBytes() / 1e6);
  const { played } = region.world;
  region.close();
  return {
    ...{ machines, simulatedS, tookS, residentMb },
    timesRealTime: simulatedS / tookS,
    happeningsPerSimulatedS: Math.round(played / simulatedS),
  };
}
